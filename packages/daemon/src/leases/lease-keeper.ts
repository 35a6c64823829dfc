/** Keeps one lease of the platform's table: reads, takes, renews and gives it up. */
import {
  confirmLease,
  createLeaseState,
  holdsLease,
  nextLeaseStep,
  observeLease,
  type LeaseRow,
  type LeaseState,
} from '@valvelatch/core/leases/lease';
import { rowKey } from '@valvelatch/core/rows/rows';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { EntryId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';

/** A lease as its owner uses it. */
export type LeaseKeeper = {
  /** Reads the row and takes or renews the lease if it is due. */
  readonly tick: () => Promise<void>;
  readonly holds: () => boolean;
  /** Until when the lease is held, by this entry's clock; in the past once it has lapsed. */
  readonly heldUntilMs: () => number;
  readonly epoch: () => number;
  /** The version of the fence row, which changes with each new holder. */
  readonly fence: () => { readonly key: string; readonly version: number };
  readonly lastRow: () => LeaseRow | null;
  /** How long the row has been watched without a change, in milliseconds. */
  readonly unchangedForMs: () => number;
  /** Who held the lease before this entry took it last; null for nobody. */
  readonly takenFrom: () => EntryId | null;
  /** For how long the row had been watched without a change when the lease was taken last. */
  readonly watchedMs: () => number;
  /** Until when holders before may still act, by their own clocks. */
  readonly earlierUntilMs: () => number;
  /** What the holder before told when it gave the lease up. */
  readonly idleBeforeMs: () => number;
  /** Gives the lease up; false if that could not be written, and the lease is still held. */
  readonly release: (idleMs?: number) => Promise<boolean>;
  /**
   * Stops acting on the lease without writing anything. What is under way does not give it back: this entry
   * holds it again only by taking it under a new epoch.
   */
  readonly abandon: () => void;
};

export type LeaseKeeperOptions = {
  readonly table: TableClient;
  readonly name: string;
  readonly self: EntryId;
  readonly durationMs: number;
  readonly marginMs?: number;
  /** How long after a renewal the holder renews again; a third of the duration if left out. */
  readonly renewAfterMs?: number;
  /** False for one that only watches. */
  readonly mayTake?: () => boolean;
  /** False for one that may not take back even its own lease once that has lapsed. */
  readonly mayRetake?: () => boolean;
  /** Without a change for so long another's lease is free; undefined for its whole duration. */
  readonly freeAfterMs?: () => number | undefined;
  /** Work that must be done before each taking or renewal; false puts it off. */
  readonly beforeWrite?: () => Promise<boolean>;
  readonly nowMs?: () => number;
};

const MARGIN_FRACTION = 0.25;
/** Up to this share of the time to the next renewal a held lease is neither read nor renewed. */
const SECURE_FRACTION = 0.9;
/** A release is written anew once for each renewal that it did not know of: two lost in a row at most. */
const RELEASE_TRIES = 3;

/**
 * Builds a keeper.
 *
 * @param options - The table, the lease's name and duration, and who wants it.
 * @returns The keeper.
 */
export const createLeaseKeeper = ({
  table,
  name,
  self,
  durationMs,
  marginMs = durationMs * MARGIN_FRACTION,
  renewAfterMs,
  mayTake = () => true,
  mayRetake = () => true,
  freeAfterMs = () => undefined,
  beforeWrite = async () => true,
  nowMs = () => performance.now(),
}: LeaseKeeperOptions): LeaseKeeper => {
  const key = rowKey.lease(name);
  const fenceKey = rowKey.fence(name);
  let state = createLeaseState({
    self,
    durationMs,
    marginMs,
    ...(renewAfterMs === undefined ? {} : { renewAfterMs }),
  });
  let fenceVersion = 0;
  let releases = 0;
  /** The epoch under which the lease was to be taken last; the answer may have been lost. */
  let takenEpoch = -1;
  let lastHolder: EntryId | null = null;
  let watchedMs = 0;
  let lastIdleMs = 0;

  const write = async (
    row: LeaseRow,
    expectedVersion: number,
    releasesBefore: number,
  ): Promise<void> => {
    const sentAtMs = nowMs();
    const isTaking = row.renewals === 0;
    const outcome = await table.transact({
      checks: [{ key, version: expectedVersion }],
      writes: [
        { key, value: row },
        ...(isTaking ? [{ key: fenceKey, value: { epoch: row.epoch } }] : []),
      ],
    });
    if (outcome.isErr() || outcome.value.kind === 'conflict') return;
    // The late answer to a renewal must not take back what was given up meanwhile.
    if (releases !== releasesBefore) return;
    const { version } = outcome.value;
    if (isTaking) fenceVersion = version;
    state = confirmLease(state, { row, version }, sentAtMs);
  };

  /** Far from its end a lease that is held needs no reading: nobody else can take it. */
  const isSecure = (): boolean =>
    state.heldUntilMs - nowMs() > durationMs - state.renewAfterMs * SECURE_FRACTION &&
    state.seen.row?.holder === self;

  /** Where the row shows this entry's own taking, whose answer was lost, it still follows the one before. */
  const noteTaking = (before: LeaseRow | null, epoch: number): void => {
    const isOwnTaking = before?.holder === self && before.epoch === takenEpoch;
    takenEpoch = epoch;
    if (isOwnTaking) return;
    lastHolder = before?.holder ?? null;
    watchedMs = nowMs() - state.unchangedSinceMs;
    lastIdleMs = before?.idleMs ?? 0;
  };

  const tick = async (): Promise<void> => {
    if (isSecure()) return;
    const releasesBefore = releases;
    const rows = await table.read([key]);
    // What was read before the lease was given up must not lead to a write for it.
    if (rows.isErr() || releases !== releasesBefore) return;
    const [row] = rows.value;
    const value = (row?.value ?? null) as LeaseRow | null;
    state = observeLease(state, { row: value, version: row?.version ?? 0 }, nowMs());
    // A lapsed lease that nobody has taken since may be taken again by its last holder.
    const isOwn = value?.holder === self;
    const isHeld = isOwn && holdsLease(state, nowMs());
    if (!isHeld && !(isOwn && mayRetake()) && !mayTake()) return;
    const step = nextLeaseStep(state, nowMs(), freeAfterMs());
    if (step.kind === 'write' && (await beforeWrite())) {
      if (step.row.renewals === 0) noteTaking(value, step.row.epoch);
      await write(step.row, step.expectedVersion, releasesBefore);
    }
  };

  /** The row as it is after a conflict; undefined if it cannot be read. */
  const readAfterConflict = async (
    rows: readonly TableRow[] | undefined,
  ): Promise<LeaseState['seen'] | undefined> => {
    const told = rows?.find((row) => row.key === key);
    const [row] = told ? [told] : (await table.read([key])).unwrapOr([]);
    return row && { row: row.value as LeaseRow | null, version: row.version };
  };

  const writeFreed = (
    seen: LeaseState['seen'],
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
   * Frees the row. A renewal whose answer was lost has moved it on: it is still this holder's, and
   * left as it is, others would wait for it to lapse (3.7 s in a fleet of 33 entries).
   *
   * @returns False if the row may still name this holder.
   */
  const freeRow = async (held: LeaseState['seen'], idleMs?: number): Promise<boolean> => {
    let seen = held;
    for (let attempt = 0; attempt < RELEASE_TRIES; attempt += 1) {
      const outcome = await writeFreed(seen, idleMs);
      // Without an answer the row may be free already, and the lease is not acted upon any more.
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

  const letGo = (): number => {
    releases += 1;
    state = { ...state, heldUntilMs: -Infinity, ownEpoch: -1 };
    return releases;
  };

  const release = async (idleMs?: number): Promise<boolean> => {
    const held = state;
    if (!held.seen.row || !holdsLease(held, nowMs())) return true;
    const ownRelease = letGo();
    const isFreed = await freeRow(held.seen, idleMs);
    // One that was abandoned meanwhile is not held again.
    if (!isFreed && releases === ownRelease) state = held;
    return isFreed;
  };

  const abandon = (): void => {
    letGo();
    // A later taking follows a holder that has resigned, not a taking whose answer was lost.
    takenEpoch = -1;
  };

  return {
    tick,
    holds: () => holdsLease(state, nowMs()),
    heldUntilMs: () => state.heldUntilMs,
    epoch: () => state.seen.row?.epoch ?? 0,
    fence: () => ({ key: fenceKey, version: fenceVersion }),
    lastRow: () => state.seen.row,
    unchangedForMs: () => (state.seen.version < 0 ? 0 : nowMs() - state.unchangedSinceMs),
    takenFrom: () => lastHolder,
    watchedMs: () => watchedMs,
    earlierUntilMs: () => state.earlierUntilMs,
    idleBeforeMs: () => lastIdleMs,
    release,
    abandon,
  };
};
