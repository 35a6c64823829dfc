/** Keeps what a holder has learned in a row, for the next one. */
import {
  toLearnedRow,
  restoreLearnedRow,
  type BatchState,
  type LearnedRow,
} from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';

export type LearnedKeeperOptions = {
  readonly table: Pick<BatchTable, 'read' | 'transact'>;
  readonly state: BatchState;
  readonly log: Log;
  readonly nowMs: () => number;
  readonly todayMs: () => number;
};

export type LearnedKeeper = {
  /** Applies what the holder before has learned; without an answer the next `save` tries again. */
  readonly restore: () => Promise<void>;
  /** Writes what has been learned, if anything is new. */
  readonly save: () => Promise<void>;
};

/**
 * Builds the keeper of a term.
 *
 * @param options - The state and the table.
 * @returns The keeper.
 */
export const createLearnedKeeper = ({
  table,
  state,
  log,
  nowMs,
  todayMs,
}: LearnedKeeperOptions): LearnedKeeper => {
  let savedText = '';
  /** A row that was not read holds what others have learned: it must not be written over. */
  let isRead = false;

  const restore = async (): Promise<void> => {
    const rows = await table.read([batchKey.learned]);
    if (rows.isErr()) {
      log.warn('learned-not-read', rows.error);
      return;
    }
    isRead = true;
    const row = rows.value[0]?.value as LearnedRow | null | undefined;
    if (!row) return;
    restoreLearnedRow(state, row, nowMs(), todayMs());
    log.info('learned-read', { peaks: row.onsets.length, kinds: row.runTimes.length });
  };

  const save = async (): Promise<void> => {
    if (!isRead) await restore();
    if (!isRead) return;
    const row = toLearnedRow(state, nowMs(), todayMs());
    const text = JSON.stringify([row.heights, row.runTimes, row.onsets.length]);
    if (text === savedText) return;
    const outcome = await table.transact({
      checks: [],
      writes: [{ key: batchKey.learned, value: row }],
    });
    if (outcome.isOk()) savedText = text;
    else log.debug('learned-not-written', outcome.error);
  };

  return { restore, save };
};
