/**
 * Leases with fencing epochs. Clocks of different hosts are never compared: an entry takes a lease
 * only after it has itself observed the row unchanged for the whole duration plus a margin, and the
 * holder counts the duration from before it sent the renewal.
 */
import type { EntryId } from '../shared/ids.js';

/**
 * The row of a lease. `renewals` grows at each renewal and shows watchers that the holder is alive.
 */
export type LeaseRow = {
  readonly holder: EntryId | null;
  readonly epoch: number;
  readonly renewals: number;
  readonly durationMs: number;
  /**
   * Only in a row whose holder released the lease: for how long the holder had not performed those
   * actions that a new holder must delay after taking over, in milliseconds.
   */
  readonly idleMs?: number;
  /**
   * For how many milliseconds after this row was written earlier holders may still act, according
   * to their own clocks. Omitted if no earlier holder may still act.
   */
  readonly earlierMs?: number;
};

const isWhole = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

/**
 * Tells whether the value of a row is that of a lease.
 *
 * @param value - The value.
 * @returns False if it cannot be read; the lease may then be held by anybody.
 */
export const isLeaseRow = (value: unknown): value is LeaseRow => {
  if (typeof value !== 'object' || value === null) return false;
  const { holder, epoch, renewals, idleMs = 0, earlierMs = 0 } = value as Partial<LeaseRow>;
  const isHolderReadable = holder === null || typeof holder === 'string';
  const areTimesReadable = Number.isFinite(idleMs) && Number.isFinite(earlierMs);
  return isHolderReadable && areTimesReadable && isWhole(epoch) && isWhole(renewals);
};

/** The state of a lease at one entry. Times are in milliseconds of its own monotonic clock. */
export type LeaseState = {
  readonly self: EntryId;
  readonly durationMs: number;
  readonly marginMs: number;
  readonly renewAfterMs: number;
  /** The row as last read, with its version in the table; version -1 before the first read. */
  readonly lastRead: { readonly row: LeaseRow | null; readonly version: number };
  /** When the row was first observed with this version. */
  readonly unchangedSinceMs: number;
  /** The time until which this entry may act as the holder. */
  readonly heldUntilMs: number;
  /** The epoch under which this process last took the lease; -1 if it never did. */
  readonly ownEpoch: number;
  /** The time until which earlier holders may still act, according to their own clocks. */
  readonly earlierHoldersUntilMs: number;
};

/** The next action on a lease. */
export type LeaseAction =
  | { readonly kind: 'wait' }
  | { readonly kind: 'write'; readonly row: LeaseRow; readonly expectedVersion: number };

export type LeaseOptions = {
  readonly self: EntryId;
  readonly durationMs?: number;
  readonly marginMs?: number;
  /** Time from one renewal to the next, in milliseconds; by default a third of the duration. */
  readonly renewAfterMs?: number;
};

const DEFAULT_DURATION_MS = 6000;
const DEFAULT_MARGIN_MS = 1500;
/** The default time between renewals, as a fraction of the duration. */
const RENEW_FRACTION = 0.33;

/**
 * Creates the state of an entry that has not read the row yet.
 *
 * @param options - The entry, the duration, and the margin for clock drift, in milliseconds.
 * @returns The state.
 */
export const createLeaseState = ({
  self,
  durationMs = DEFAULT_DURATION_MS,
  marginMs = DEFAULT_MARGIN_MS,
  renewAfterMs = durationMs * RENEW_FRACTION,
}: LeaseOptions): LeaseState => ({
  self,
  durationMs,
  marginMs,
  renewAfterMs,
  lastRead: { row: null, version: -1 },
  unchangedSinceMs: 0,
  heldUntilMs: -Infinity,
  ownEpoch: -1,
  earlierHoldersUntilMs: -Infinity,
});

/**
 * Updates the state with a reading of the row.
 *
 * @param state - The previous state.
 * @param reading - The row and its version; version 0 means that there is no row.
 * @param nowMs - The monotonic time at which the reading arrived, in milliseconds.
 * @returns The new state.
 */
export const updateLeaseFromRead = (
  state: LeaseState,
  reading: { readonly row: LeaseRow | null; readonly version: number },
  nowMs: number,
): LeaseState => {
  if (reading.version === state.lastRead.version) return state;
  const isNotHolder = reading.row?.holder !== state.self;
  return {
    ...state,
    lastRead: reading,
    unchangedSinceMs: nowMs,
    heldUntilMs: isNotHolder ? -Infinity : state.heldUntilMs,
  };
};

/**
 * Checks whether the entry may act as the holder.
 *
 * @param state - The state.
 * @param nowMs - The monotonic time, in milliseconds.
 * @returns True while no other entry can have taken the lease by waiting out its full duration.
 */
export const holdsLease = (state: LeaseState, nowMs: number): boolean => nowMs < state.heldUntilMs;

/** Checks whether the lease has no holder or its holder has not renewed it for long enough. */
const isFreeToTake = (
  state: LeaseState,
  nowMs: number,
  freeAfterMs: number | undefined,
): boolean => {
  const { row } = state.lastRead;
  if (!row || row.holder === null) return true;
  const neededMs = freeAfterMs ?? row.durationMs + state.marginMs;
  return nowMs - state.unchangedSinceMs >= neededMs;
};

/**
 * Returns for how many milliseconds earlier holders may still act if the lease is taken now. All
 * earlier holders count, not only the last one: a holder that was cut off may still be active after
 * two later holders took the lease early and released it or crashed.
 */
const earlierRemainingMs = (
  { lastRead: { row }, self, marginMs, unchangedSinceMs }: LeaseState,
  nowMs: number,
): number => {
  if (!row) return 0;
  const hasHolderStopped = row.holder === null || row.holder === self;
  const holderRemainingMs = hasHolderStopped ? 0 : row.durationMs + marginMs;
  const unchangedMs = nowMs - unchangedSinceMs;
  return Math.max(holderRemainingMs, row.earlierMs ?? 0) - unchangedMs;
};

/** Returns the row with `earlierMs` set, or without it if no earlier holder may still act. */
const withEarlierMs = (
  { holder, epoch, renewals, durationMs }: LeaseRow,
  earlierMs: number,
): LeaseRow => ({
  holder,
  epoch,
  renewals,
  durationMs,
  ...(earlierMs > 0 ? { earlierMs: Math.ceil(earlierMs) } : {}),
});

/**
 * Decides whether to take or renew the lease now.
 *
 * @param state - The state; without a reading of the row the result is a wait.
 * @param nowMs - The monotonic time, in milliseconds.
 * @param freeAfterMs - The lease is free once its row has not changed for this time; by default the
 * duration plus the margin. A shorter time is safe only for a lease whose holder's orders are
 * fenced, because the previous holder may still act.
 * @returns A write with the row version that it depends on, or a wait.
 */
export const nextLeaseAction = (
  state: LeaseState,
  nowMs: number,
  freeAfterMs?: number,
): LeaseAction => {
  const { row, version } = state.lastRead;
  if (version < 0) return { kind: 'wait' };
  const { durationMs, renewAfterMs, self, earlierHoldersUntilMs } = state;
  // This process took the current epoch, so no other entry has held the lease since, however long
  // ago it expired: it can be renewed.
  if (row && row.holder === self && row.epoch === state.ownEpoch) {
    if (state.heldUntilMs - nowMs > durationMs - renewAfterMs) return { kind: 'wait' };
    const renewedRow = { ...row, durationMs, renewals: row.renewals + 1 };
    const renewal = withEarlierMs(renewedRow, earlierHoldersUntilMs - nowMs);
    return { kind: 'write', row: renewal, expectedVersion: version };
  }
  if (row?.holder !== self && !isFreeToTake(state, nowMs, freeAfterMs)) return { kind: 'wait' };
  // A restarted process takes a new epoch, so that late writes of its previous run are fenced off.
  const takenRow = { holder: self, epoch: (row?.epoch ?? 0) + 1, renewals: 0, durationMs };
  const takeover = withEarlierMs(takenRow, earlierRemainingMs(state, nowMs));
  return { kind: 'write', row: takeover, expectedVersion: version };
};

/**
 * Updates the state after a write of this entry was committed.
 *
 * @param state - The previous state.
 * @param written - The written row and its new version.
 * @param sentAtMs - The monotonic time just before the write was sent, in milliseconds.
 * @returns The state in which this entry holds the lease as of `sentAtMs`.
 */
export const confirmLease = (
  state: LeaseState,
  written: { readonly row: LeaseRow; readonly version: number },
  sentAtMs: number,
): LeaseState => ({
  ...state,
  lastRead: written,
  unchangedSinceMs: sentAtMs,
  heldUntilMs: sentAtMs + written.row.durationMs,
  ownEpoch: written.row.epoch,
  earlierHoldersUntilMs: sentAtMs + (written.row.earlierMs ?? 0),
});
