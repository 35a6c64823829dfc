/**
 * Decides which entry should hold control. The holder's work grows with the fleet, and entries differ in
 * CPU and link capacity. An entry with close to the highest capacity takes the lease, and one with less
 * capacity takes it only if none of those does.
 */
import type { EntryId } from '@valvelatch/core/shared/ids';

/**
 * Link bandwidth that a holder needs for each core that it uses, within 3 to 5 MB/s. A holder of 300 endpoints
 * sends 1.04 MB/s and uses 0.25 cores. The scarcer of the two resources limits an entry's capacity.
 */
const LINK_BYTES_PER_S_PER_CORE = 3_400_000;

/**
 * Computes an entry's capacity for the work of the control holder.
 *
 * @param cores - How many cores the entry may use.
 * @param linkBytesPerS - The bandwidth of its link in each direction.
 * @returns The capacity, in cores.
 */
export const computeHolderCapacity = (cores: number, linkBytesPerS: number): number =>
  Math.min(cores, linkBytesPerS / LINK_BYTES_PER_S_PER_CORE);

/** An entry is preferred as holder if its capacity is at least this share of the highest one. */
const PREFERRED_CAPACITY_SHARE = 0.8;
/**
 * How long an entry leaves a free lease to entries with more capacity. Those check the lease every 400 ms,
 * and one that has just started has to read the operator's configuration first.
 */
export const YIELD_TO_HIGHER_CAPACITY_MS = 1200;
/** Interval at which a holder that is not preferred looks for an entry with more capacity to hand control over to. */
export const HANDOVER_CHECK_INTERVAL_MS = 4000;

/** Whether an entry is preferred as holder, compared with the other entries. */
export type HolderPreference = {
  /** False while an entry with clearly more capacity is known, or the other entries are not known yet. */
  readonly isPreferred: () => boolean;
  /**
   * Asks the entries with clearly more capacity than this one whether they would take control, and returns the
   * one with the highest capacity that agrees; undefined if none does.
   */
  readonly findHigherCapacityEntry: () => Promise<EntryId | undefined>;
};

/** For an entry of a fleet whose entries all have the same capacity: each of them is preferred. */
export const EQUAL_PREFERENCE: HolderPreference = {
  isPreferred: () => true,
  findHigherCapacityEntry: async () => undefined,
};

export type HolderPreferenceOptions = {
  /** This entry's capacity, in cores. */
  readonly capacity: number;
  /** The capacities of all other entries; undefined until they were read once. */
  readonly othersCapacity: () => ReadonlyMap<EntryId, number> | undefined;
  /** Asks another entry whether it would take control; rejects if there is no answer. */
  readonly ask: (entryId: EntryId) => Promise<unknown>;
};

/**
 * Builds the preference of an entry as holder.
 *
 * @param options - The capacity of this entry and of the others.
 * @returns The preference.
 */
export const createHolderPreference = ({
  capacity,
  othersCapacity,
  ask,
}: HolderPreferenceOptions): HolderPreference => {
  const listStrongerEntries = (): readonly EntryId[] =>
    Array.from(othersCapacity() ?? [])
      .filter(([, others]) => capacity < others * PREFERRED_CAPACITY_SHARE)
      .sort(([, left], [, right]) => right - left)
      .map(([entryId]) => entryId);

  const isWilling = async (entryId: EntryId): Promise<boolean> => {
    try {
      return (await ask(entryId)) === true;
    } catch {
      // The row of an entry outlives its process, so some entries never answer.
      return false;
    }
  };

  return {
    isPreferred: () => othersCapacity() !== undefined && listStrongerEntries().length === 0,
    findHigherCapacityEntry: async () => {
      const candidates = listStrongerEntries();
      const willing = await Promise.all(candidates.map(isWilling));
      return candidates.find((_, index) => willing[index]);
    },
  };
};

/** After a longer gap between two observations it is unknown whether the lease stayed free in between. */
const MAX_OBSERVATION_GAP_MS = 1000;

/**
 * Measures how long a lease has been observed as free. The time restarts after a gap without observations: after an
 * outage of the table all entries find the lease free at the same moment, and the preferred ones must still go first.
 *
 * @returns A function that records one observation and returns whether the lease has been left to entries with more
 *   capacity for long enough.
 */
export const createYieldTimer = (): ((isFree: boolean, nowMs: number) => boolean) => {
  let freeSinceMs = Infinity;
  let lastObservedAtMs = -Infinity;
  return (isFree, nowMs) => {
    const hasGap = nowMs - lastObservedAtMs > MAX_OBSERVATION_GAP_MS;
    lastObservedAtMs = nowMs;
    if (!isFree) freeSinceMs = Infinity;
    else if (hasGap || freeSinceMs === Infinity) freeSinceMs = nowMs;
    return isFree && nowMs - freeSinceMs >= YIELD_TO_HIGHER_CAPACITY_MS;
  };
};
