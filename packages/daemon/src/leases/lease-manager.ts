/** Maintains one lease in the platform's table: reads, acquires, renews and releases it. */
import {
  confirmLease,
  createLeaseState,
  holdsLease,
  isLeaseRow,
  nextLeaseAction,
  updateLeaseFromRead,
  type LeaseRow,
  type LeaseState,
} from '@valvelatch/core/leases/lease';
import { rowKey } from '@valvelatch/core/rows/rows';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { EntryId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';

/** A lease from the side of an entry that holds it, competes for it or only watches it. */
export type LeaseManager = {
  /** Reads the row and acquires or renews the lease if that is due. */
  readonly tick: () => Promise<void>;
  /** Whether this entry holds the lease now. */
  readonly holds: () => boolean;
  /**
   * Time until which this entry holds the lease, by its own clock, in milliseconds. In the past once the lease has
   * lapsed; -Infinity if this entry has not acquired it, has given it up or has seen it taken by another.
   */
  readonly heldUntilMs: () => number;
  /** The epoch in the last known row; 0 if there is no row. */
  readonly epoch: () => number;
  /** Key of the fence row and its version as this entry last wrote it. Each acquisition changes the version. */
  readonly fence: () => { readonly key: string; readonly version: number };
  /** The row as last read or written; null if there is none or it has not been read. */
  readonly lastRow: () => LeaseRow | null;
  /** How long this entry has seen the row unchanged, in milliseconds; 0 before it has read the row. */
  readonly unchangedForMs: () => number;
  /** The holder that the row named when this entry last acquired the lease; null if it named none. */
  readonly previousHolder: () => EntryId | null;
  /** How long this entry had seen the row unchanged when it last acquired the lease, in milliseconds. */
  readonly unchangedBeforeAcquisitionMs: () => number;
  /**
   * Time until which earlier holders may still act because by their own clocks they hold the lease; in
   * milliseconds of this entry's clock, and in the past if there are none.
   */
  readonly earlierHoldersUntilMs: () => number;
  /** The idle time that the previous holder wrote when it released the lease, in milliseconds; 0 if it wrote none. */
  readonly previousHolderIdleMs: () => number;
  /**
   * Releases the lease and optionally writes for how long this entry has been idle, in milliseconds. Resolves to
   * false if the release could not be written; the lease is then still held, unless it was abandoned meanwhile.
   */
  readonly release: (idleMs?: number) => Promise<boolean>;
  /**
   * Gives up the lease without writing anything. Reads and writes in flight do not restore it: this entry holds
   * it again only after acquiring it under a new epoch.
   */
  readonly abandon: () => void;
};

export type LeaseManagerOptions = {
  readonly table: TableClient;
  readonly name: string;
  readonly self: EntryId;
  readonly durationMs: number;
  /**
   * How long beyond its duration another holder's lease must be unchanged to be free, in milliseconds; a quarter of
   * the duration by default.
   */
  readonly marginMs?: number;
  /** How long after a renewal the holder renews again; about a third of the duration by default. */
  readonly renewAfterMs?: number;
  /** Returns false for an entry that only watches the lease. Every entry may acquire it by default. */
  readonly mayAcquire?: () => boolean;
  /**
   * Returns false if the last holder may not, by this right alone, acquire its own lapsed lease again; it then
   * needs `mayAcquire`.
   */
  readonly mayReacquire?: () => boolean;
  /**
   * How long the row of another holder must be unchanged until the lease is free, in milliseconds; undefined for
   * the whole duration and the margin.
   */
  readonly freeAfterMs?: () => number | undefined;
  /** Runs before each acquisition or renewal; the write is skipped if it resolves to false. */
  readonly beforeWrite?: () => Promise<boolean>;
  /** Called at each read of a row that is not that of a lease; the lease is then neither acquired nor renewed. */
  readonly onUnreadableRow?: () => void;
  readonly nowMs?: () => number;
};

/** Default margin, as a share of the duration. */
const MARGIN_FRACTION = 0.25;
/** A held lease is neither read nor renewed during this share of the renewal interval. */
const SKIPPED_CHECK_FRACTION = 0.9;
/**
 * Attempts to write a release. Each renewal whose response was lost costs one attempt, because the release then
 * conflicts with it. Three attempts cover two such renewals in a row.
 */
const MAX_RELEASE_ATTEMPTS = 3;

/**
 * Creates a lease manager.
 *
 * @param options - The table, the lease's name and duration, and the entry that uses it.
 * @returns The manager, which does not hold the lease yet.
 */
export const createLeaseManager = ({
  table,
  name,
  self,
  durationMs,
  marginMs = durationMs * MARGIN_FRACTION,
  renewAfterMs,
  mayAcquire = () => true,
  mayReacquire = () => true,
  freeAfterMs = () => undefined,
  beforeWrite = async () => true,
  onUnreadableRow = () => undefined,
  nowMs = () => performance.now(),
}: LeaseManagerOptions): LeaseManager => {
  const key = rowKey.lease(name);
  const fenceKey = rowKey.fence(name);
  let state = createLeaseState({
    self,
    durationMs,
    marginMs,
    ...(renewAfterMs === undefined ? {} : { renewAfterMs }),
  });
  let fenceVersion = 0;
  /** Counts releases and abandonments, so that responses to requests sent before one are ignored. */
  let relinquishCount = 0;
  /** Epoch of the last attempt to acquire the lease, whose response may have been lost; -1 for none. */
  let lastAttemptedEpoch = -1;
  let previousHolder: EntryId | null = null;
  let watchedMs = 0;
  let previousIdleMs = 0;

  /** Writes an acquisition or renewal and updates the state if it was committed. */
  const write = async (
    row: LeaseRow,
    expectedVersion: number,
    relinquishCountBefore: number,
  ): Promise<void> => {
    const sentAtMs = nowMs();
    const isAcquisition = row.renewals === 0;
    const outcome = await table.transact({
      checks: [{ key, version: expectedVersion }],
      writes: [
        { key, value: row },
        ...(isAcquisition ? [{ key: fenceKey, value: { epoch: row.epoch } }] : []),
      ],
    });
    if (outcome.isErr() || outcome.value.kind === 'conflict') return;
    // A late response must not restore a lease that was given up after the request was sent.
    if (relinquishCount !== relinquishCountBefore) return;
    const { version } = outcome.value;
    if (isAcquisition) fenceVersion = version;
    state = confirmLease(state, { row, version }, sentAtMs);
  };

  /** Whether the held lease is so far from its end that no other entry can acquire it; it need not be read then. */
  const canSkipCheck = (): boolean =>
    state.heldUntilMs - nowMs() > durationMs - state.renewAfterMs * SKIPPED_CHECK_FRACTION &&
    state.lastRead.row?.holder === self;

  /**
   * Records the previous holder before an acquisition is written. If the row shows this entry's own acquisition,
   * whose response was lost, the previous holder is still the one recorded for that attempt.
   */
  const recordPreviousHolder = (before: LeaseRow | null, epoch: number): void => {
    const isOwnAcquisition = before?.holder === self && before.epoch === lastAttemptedEpoch;
    lastAttemptedEpoch = epoch;
    if (isOwnAcquisition) return;
    previousHolder = before?.holder ?? null;
    watchedMs = nowMs() - state.unchangedSinceMs;
    previousIdleMs = before?.idleMs ?? 0;
  };

  const tick = async (): Promise<void> => {
    if (canSkipCheck()) return;
    const relinquishCountBefore = relinquishCount;
    const rows = await table.read([key]);
    // A row that was requested before the lease was given up must not lead to an acquisition or renewal.
    if (rows.isErr() || relinquishCount !== relinquishCountBefore) return;
    const [row] = rows.value;
    const value = row?.value ?? null;
    if (value !== null && !isLeaseRow(value)) {
      onUnreadableRow();
      return;
    }
    state = updateLeaseFromRead(state, { row: value, version: row?.version ?? 0 }, nowMs());
    // The last holder may acquire its own lapsed lease again if nobody else has taken it.
    const isOwn = value?.holder === self;
    const isHeld = isOwn && holdsLease(state, nowMs());
    if (!isHeld && !(isOwn && mayReacquire()) && !mayAcquire()) return;
    const step = nextLeaseAction(state, nowMs(), freeAfterMs());
    if (step.kind === 'write' && (await beforeWrite())) {
      if (step.row.renewals === 0) recordPreviousHolder(value, step.row.epoch);
      await write(step.row, step.expectedVersion, relinquishCountBefore);
    }
  };

  /** Returns the current row after a conflict, from the response if it has it; undefined if it cannot be read. */
  const readAfterConflict = async (
    rows: readonly TableRow[] | undefined,
  ): Promise<LeaseState['lastRead'] | undefined> => {
    const reported = rows?.find((row) => row.key === key);
    const [row] = reported ? [reported] : (await table.read([key])).unwrapOr([]);
    return row && { row: row.value as LeaseRow | null, version: row.version };
  };

  /** Writes the row without a holder, on condition that it still has the given version. */
  const writeReleasedRow = (
    seen: LeaseState['lastRead'],
    idleMs: number | undefined,
  ): ReturnType<TableClient['transact']> => {
    const idle = idleMs === undefined ? {} : { idleMs };
    const renewals = (seen.row?.renewals ?? 0) + 1;
    const value = { ...seen.row, holder: null, renewals, ...idle };
    return table.transact({
      checks: [{ key, version: seen.version }],
      writes: [{ key, value }],
    });
  };

  /**
   * Writes the release. If the response to a renewal was lost, the first attempt conflicts with that renewal: the
   * row has a newer version but still names this holder. It must then be released at the new version; otherwise
   * the other entries would wait for the lease to lapse (3.7 s in a fleet of 33 entries).
   *
   * @returns False if the row may still name this holder.
   */
  const releaseRow = async (held: LeaseState['lastRead'], idleMs?: number): Promise<boolean> => {
    let seen = held;
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
      const outcome = await writeReleasedRow(seen, idleMs);
      // If the request may have reached the table, the row may be free already, so the lease counts as released.
      if (outcome.isErr()) return outcome.error.kind !== 'unreachable';
      if (outcome.value.kind === 'committed') return true;
      const current = await readAfterConflict(outcome.value.rows);
      if (!current) return false;
      const isOwn = current.row?.holder === self && current.row.epoch === held.row?.epoch;
      if (!isOwn) return true;
      seen = current;
    }
    return false;
  };

  /** Stops holding the lease locally and returns the new value of the counter. */
  const relinquish = (): number => {
    relinquishCount += 1;
    state = { ...state, heldUntilMs: -Infinity, ownEpoch: -1 };
    return relinquishCount;
  };

  const release = async (idleMs?: number): Promise<boolean> => {
    const held = state;
    if (!held.lastRead.row || !holdsLease(held, nowMs())) return true;
    const ownRelinquishCount = relinquish();
    const isReleased = await releaseRow(held.lastRead, idleMs);
    // A lease that was abandoned meanwhile is not held again.
    if (!isReleased && relinquishCount === ownRelinquishCount) state = held;
    return isReleased;
  };

  const abandon = (): void => {
    relinquish();
    // The next acquisition follows a holder that has given up the lease, not an attempt whose response was lost.
    lastAttemptedEpoch = -1;
  };

  return {
    tick,
    holds: () => holdsLease(state, nowMs()),
    heldUntilMs: () => state.heldUntilMs,
    epoch: () => state.lastRead.row?.epoch ?? 0,
    fence: () => ({ key: fenceKey, version: fenceVersion }),
    lastRow: () => state.lastRead.row,
    unchangedForMs: () => (state.lastRead.version < 0 ? 0 : nowMs() - state.unchangedSinceMs),
    previousHolder: () => previousHolder,
    unchangedBeforeAcquisitionMs: () => watchedMs,
    earlierHoldersUntilMs: () => state.earlierHoldersUntilMs,
    previousHolderIdleMs: () => previousIdleMs,
    release,
    abandon,
  };
};
