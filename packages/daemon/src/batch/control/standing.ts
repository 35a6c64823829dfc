/**
 * Which entry should hold control. The holder's work grows with the fleet, and entries differ in
 * processor and link: one of the strongest takes the lease, a weaker one only if none of them does.
 */
import type { EntryId } from '@valvelatch/core/shared/ids';

/**
 * Some 3 to 5 MB a second go with one core: a holder of 300 endpoints put 1.04 MB a second on its link
 * and used 0.25 of a core. An entry is as strong as what it has less of.
 */
const LINK_BYTES_PER_S_AND_CORE = 3_400_000;

/**
 * Tells how much of a holder's work an entry can carry.
 *
 * @param cores - How many cores it may use.
 * @param linkBytesPerS - What its link carries each way.
 * @returns Its strength, in cores.
 */
export const strengthOf = (cores: number, linkBytesPerS: number): number =>
  Math.min(cores, linkBytesPerS / LINK_BYTES_PER_S_AND_CORE);

/** An entry with this share of the strongest one's strength counts as strong. */
const STRONG_SHARE = 0.8;
/**
 * A free lease is left to stronger entries for this time: they look each 400 ms, and one that has
 * just started reads the operator's configuration first.
 */
export const YIELD_MS = 1200;
/** A weak holder looks so often for a stronger entry to hand over to. */
export const HAND_OVER_LOOK_MS = 4000;

/** How an entry stands among the others. */
export type Standing = {
  /** False while a stronger entry is known, or the others are not known yet. */
  readonly isStrong: () => boolean;
  /** A stronger entry that answers that it would take control. */
  readonly findStronger: () => Promise<EntryId | undefined>;
};

/** The standing of an entry of a fleet whose entries are all alike. */
export const EQUAL_STANDING: Standing = {
  isStrong: () => true,
  findStronger: async () => undefined,
};

export type StandingOptions = {
  /** How much this entry can carry, by `strengthOf`. */
  readonly strength: number;
  /** The same of all others; undefined until they were read once. */
  readonly othersStrength: () => ReadonlyMap<EntryId, number> | undefined;
  /** Asks another entry whether it would take control; rejects without an answer. */
  readonly ask: (entryId: EntryId) => Promise<unknown>;
};

/**
 * Builds the standing of an entry.
 *
 * @param options - Its strength and the others'.
 * @returns The standing.
 */
export const createStanding = ({ strength, othersStrength, ask }: StandingOptions): Standing => {
  const stronger = (): readonly EntryId[] =>
    Array.from(othersStrength() ?? [])
      .filter(([, others]) => strength < others * STRONG_SHARE)
      .sort(([, left], [, right]) => right - left)
      .map(([entryId]) => entryId);

  const isWilling = async (entryId: EntryId): Promise<boolean> => {
    try {
      return (await ask(entryId)) === true;
    } catch {
      // Its row outlives an entry that is gone: no answer is what is expected of those.
      return false;
    }
  };

  return {
    isStrong: () => othersStrength() !== undefined && stronger().length === 0,
    findStronger: async () => {
      const names = stronger();
      const willing = await Promise.all(names.map(isWilling));
      return names.find((_, index) => willing[index]);
    },
  };
};

/** A gap between two looks above this leaves open what happened to the lease in between. */
const MOST_BETWEEN_LOOKS_MS = 1000;

/**
 * Watches how long a lease has been seen free. Only looks that were answered count: after an outage
 * of the table all entries find the lease free at once, and the strong ones still go first.
 *
 * @returns A function that takes one look and says whether stronger entries have had their time.
 */
export const createYielding = (): ((isFree: boolean, nowMs: number) => boolean) => {
  let freeSinceMs = Infinity;
  let lookedAtMs = -Infinity;
  return (isFree, nowMs) => {
    const hasGap = nowMs - lookedAtMs > MOST_BETWEEN_LOOKS_MS;
    lookedAtMs = nowMs;
    if (!isFree) freeSinceMs = Infinity;
    else if (hasGap || freeSinceMs === Infinity) freeSinceMs = nowMs;
    return isFree && nowMs - freeSinceMs >= YIELD_MS;
  };
};
