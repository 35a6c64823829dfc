/** A new holder takes over the stored demand history, also if the first read of it fails. */
import { createBatchState, recordRunTime, type DemandHistoryRow } from '@valvelatch/core/batch';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLog } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import {
  createDemandHistoryStore,
  type DemandHistoryStoreOptions,
} from './demand-history-store.js';

const EARLIER_ROW: DemandHistoryRow = {
  onsets: [['alpha', 1000]],
  heights: [['alpha', 40]],
  runTimes: [['alpha/quick', 640, 200]],
};

describe('the stored demand history', () => {
  const createKeeper = (table: DemandHistoryStoreOptions['table']) => {
    const state = createBatchState(2);
    const log = createLog({ sink: () => undefined });
    const times = { nowMs: () => 5000, wallClockMs: () => 5000 };
    return { state, keeper: createDemandHistoryStore({ table, state, log, ...times }) };
  };

  describe('if the table does not answer the first read', () => {
    /** A table with one row, which does not answer the first read. */
    const createTable = () => {
      const stored = { row: EARLIER_ROW as unknown, calls: 0 };
      const table: DemandHistoryStoreOptions['table'] = {
        read: async () => {
          stored.calls += 1;
          if (stored.calls === 1) return Err({ kind: 'unknown', detail: 'no answer' });
          return Ok([{ key: batchKey.demandHistory, value: stored.row, version: 1 }]);
        },
        transact: async ({ writes }) => {
          stored.row = writes[0]?.value;
          return Ok({ kind: 'committed', version: 2 });
        },
      };
      return { stored, table };
    };

    it('is not overwritten: the next save reads it and adds to it', async () => {
      // If an unread row counted as empty, the save would overwrite it, and its history (here 200 recorded run
      // times) would be lost for good.
      const { stored, table } = createTable();
      const { state, keeper } = createKeeper(table);
      await keeper.restore();
      recordRunTime(state.runTimes, 'alpha/slow', 2100);
      await keeper.save();
      await keeper.save();
      const { runTimes, heights } = stored.row as DemandHistoryRow;
      expect(runTimes.map(([kind]) => kind).sort()).toEqual(['alpha/quick', 'alpha/slow']);
      expect(heights).toEqual([['alpha', 40]]);
    });
  });
});
