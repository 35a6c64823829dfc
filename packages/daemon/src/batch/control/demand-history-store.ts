/** Stores a holder's demand history (demand and run times) in a row, for the next holder. */
import {
  toDemandHistoryRow,
  restoreDemandHistoryRow,
  type BatchState,
  type DemandHistoryRow,
} from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

export type DemandHistoryStoreOptions = {
  readonly table: Pick<BatchTable, 'read' | 'transact'>;
  readonly state: BatchState;
  readonly log: Log;
  readonly nowMs: () => number;
  readonly wallClockMs: () => number;
};

export type DemandHistoryStore = {
  /** Reads the stored history into the state; if the table does not answer, the next `save` tries again. */
  readonly restore: () => Promise<void>;
  /** Writes the history if it has changed since it was last written. */
  readonly save: () => Promise<void>;
};

/** A text and numbers; more may follow. */
const isTuple = (value: unknown, numbers: number): boolean =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  value.length > numbers &&
  value.slice(1, 1 + numbers).every((item) => Number.isFinite(item));

const areTuples = (value: unknown, numbers: number): boolean =>
  Array.isArray(value) && value.every((item) => isTuple(item, numbers));

/** An unreadable history is not used, and is overwritten: the holder learns a new one. */
const isDemandHistoryRow = (value: unknown): value is DemandHistoryRow => {
  if (typeof value !== 'object' || value === null) return false;
  const { onsets, heights, runTimes } = value as Partial<DemandHistoryRow>;
  return areTuples(onsets, 1) && areTuples(heights, 1) && areTuples(runTimes, 2);
};

/**
 * Builds the demand history store of a term.
 *
 * @param options - The state and the table.
 * @returns The store.
 */
export const createDemandHistoryStore = ({
  table,
  state,
  log,
  nowMs,
  wallClockMs,
}: DemandHistoryStoreOptions): DemandHistoryStore => {
  let lastSavedJson = '';
  /** Until the row has been read it must not be overwritten, as it may hold the history of earlier holders. */
  let hasReadRow = false;

  const restore = async (): Promise<void> => {
    const rows = await table.read([batchKey.demandHistory]);
    if (rows.isErr()) {
      log.warn('learned-not-read', rows.error);
      return;
    }
    hasReadRow = true;
    const row = rows.value[0]?.value;
    if (!row) return;
    if (!isDemandHistoryRow(row)) {
      log.error('own-row-unreadable', { key: batchKey.demandHistory });
      return;
    }
    restoreDemandHistoryRow(state, row, nowMs(), wallClockMs());
    log.info('learned-read', { peaks: row.onsets.length, kinds: row.runTimes.length });
  };

  const save = async (): Promise<void> => {
    if (!hasReadRow) await restore();
    if (!hasReadRow) return;
    const row = toDemandHistoryRow(state, nowMs(), wallClockMs());
    const json = JSON.stringify([row.heights, row.runTimes, row.onsets.length]);
    if (json === lastSavedJson) return;
    const outcome = await table.transact({
      checks: [],
      writes: [{ key: batchKey.demandHistory, value: row }],
    });
    if (outcome.isOk()) lastSavedJson = json;
    else log.debug('learned-not-written', outcome.error);
  };

  return { restore, save };
};
