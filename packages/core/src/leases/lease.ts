/**
 * Leases with fencing. No clocks are compared between hosts: the taker waits until it has itself
 * watched the row unchanged for the whole duration plus a margin, and the holder counts from
 * before it sent the renewal.
 */
import type { EntryId } from '../shared/ids.js';

/** The row of a lease. `renewals` changes at each renewal, so that watchers see that its holder runs. */
export type LeaseRow = {
  readonly holder: EntryId | null;
  readonly epoch: number;
  readonly renewals: number;
  readonly durationMs: number;
  /** In a row that was given up: how long its holder had not acted on what must not be hurried. */
  readonly idleMs?: number;
  /**
   * For how long after this row was written holders before this one may still act, by their own
   * clocks. Left out for none.
   */
  readonly earlierMs?: number;
};

/** What one entry knows of a lease. Times are of its own monotonic clock. */
export type LeaseState = {
  readonly self: EntryId;
  readonly durationMs: number;
  readonly marginMs: number;
  readonly renewAfterMs: number;
  /** The row as last read, with its version in the table. */
  readonly seen: { readonly row: LeaseRow | null; readonly version: number };
  /** When the row was first seen with this content. */
  readonly unchangedSinceMs: number;
  /** Until when this entry may act as the holder. */
  readonly heldUntilMs: number;
  /** The epoch under which this process took the lease last; -1 before. */
  readonly ownEpoch: number;
  /** Until when holders before may still act, by their own clocks. */
  readonly earlierUntilMs: number;
};

/** What to do about a lease at this moment. */
export type LeaseStep =
  | { readonly kind: 'wait' }
  | { readonly kind: 'write'; readonly row: LeaseRow; readonly expectedVersion: number };

export type LeaseOptions = {
  readonly self: EntryId;
  readonly durationMs?: number;
  readonly marginMs?: number;
  /** How long after a renewal the holder renews again; a third of the duration if left out. */
  readonly renewAfterMs?: number;
};

const DEFAULT_DURATION_MS = 6000;
const DEFAULT_MARGIN_MS = 1500;
/** A holder renews after this share of the duration. */
const RENEW_FRACTION = 0.33;

/**
 * Builds the state of an entry that has not read the row yet.
 *
 * @param options - Who asks, the duration, and the margin for drift of clocks, in milliseconds.
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
  seen: { row: null, version: -1 },
  unchangedSinceMs: 0,
  heldUntilMs: -Infinity,
  ownEpoch: -1,
  earlierUntilMs: -Infinity,
});

/**
 * Takes in a reading of the row.
 *
 * @param state - What was known.
 * @param reading - The row and its version; version 0 means that there is no row.
 * @param nowMs - The monotonic time at which the reading came in.
 * @returns What is known now.
 */
export const observeLease = (
  state: LeaseState,
  reading: { readonly row: LeaseRow | null; readonly version: number },
  nowMs: number,
): LeaseState => {
  if (reading.version === state.seen.version) return state;
  const lost = reading.row?.holder !== state.self;
  return {
    ...state,
    seen: reading,
    unchangedSinceMs: nowMs,
    heldUntilMs: lost ? -Infinity : state.heldUntilMs,
  };
};

/**
 * Tells whether the entry may act as the holder.
 *
 * @param state - What is known.
 * @param nowMs - The monotonic time.
 * @returns True while the lease surely has not been taken by another.
 */
export const holdsLease = (state: LeaseState, nowMs: number): boolean => nowMs < state.heldUntilMs;

const isFree = (state: LeaseState, nowMs: number, freeAfterMs: number | undefined): boolean => {
  const { row } = state.seen;
  if (!row || row.holder === null) return true;
  const neededMs = freeAfterMs ?? row.durationMs + state.marginMs;
  return nowMs - state.unchangedSinceMs >= neededMs;
};

/**
 * For how long holders before may still act if the lease is taken now. All of them count, not only the
 * last: one that was cut off may outlive two that took the lease early and gave it up or died.
 */
const earlierForMs = (
  { seen: { row }, self, marginMs, unchangedSinceMs }: LeaseState,
  nowMs: number,
): number => {
  if (!row) return 0;
  const isOver = row.holder === null || row.holder === self;
  const lastMs = isOver ? 0 : row.durationMs + marginMs;
  const watchedMs = nowMs - unchangedSinceMs;
  return Math.max(lastMs, row.earlierMs ?? 0) - watchedMs;
};

const withEarlier = (
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
 * @param state - What is known; the row must have been read.
 * @param nowMs - The monotonic time.
 * @param freeAfterMs - Without a change for so long the lease is free; its duration and the margin
 * if left out. A shorter time is only for owners whose orders are fenced: the holder may still act.
 * @returns A write with the version that it depends on, or a wait.
 */
export const nextLeaseStep = (
  state: LeaseState,
  nowMs: number,
  freeAfterMs?: number,
): LeaseStep => {
  const { row, version } = state.seen;
  if (version < 0) return { kind: 'wait' };
  const { durationMs, renewAfterMs, self, earlierUntilMs } = state;
  // The epoch is this process's own: nobody has held the lease since, however long ago it lapsed.
  if (row && row.holder === self && row.epoch === state.ownEpoch) {
    if (state.heldUntilMs - nowMs > durationMs - renewAfterMs) return { kind: 'wait' };
    const renewed = { ...row, durationMs, renewals: row.renewals + 1 };
    const renewal = withEarlier(renewed, earlierUntilMs - nowMs);
    return { kind: 'write', row: renewal, expectedVersion: version };
  }
  if (row?.holder !== self && !isFree(state, nowMs, freeAfterMs)) return { kind: 'wait' };
  // A process that was started anew takes a new epoch: writes of its last life must not pass.
  const taken = { holder: self, epoch: (row?.epoch ?? 0) + 1, renewals: 0, durationMs };
  const taking = withEarlier(taken, earlierForMs(state, nowMs));
  return { kind: 'write', row: taking, expectedVersion: version };
};

/**
 * Takes in that a write of this entry was committed.
 *
 * @param state - What was known.
 * @param written - The row and its new version.
 * @param sentAtMs - The monotonic time before the write was sent.
 * @returns The state of the holder.
 */
export const confirmLease = (
  state: LeaseState,
  written: { readonly row: LeaseRow; readonly version: number },
  sentAtMs: number,
): LeaseState => ({
  ...state,
  seen: written,
  unchangedSinceMs: sentAtMs,
  heldUntilMs: sentAtMs + written.row.durationMs,
  ownEpoch: written.row.epoch,
  earlierUntilMs: sentAtMs + (written.row.earlierMs ?? 0),
});
