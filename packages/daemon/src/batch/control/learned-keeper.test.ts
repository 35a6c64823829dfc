/** What a holder has learned is handed on, also where reading it fails at first. */
import { createBatchState, recordRunTime, type LearnedRow } from '@valvelatch/core/batch';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLog } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import { createLearnedKeeper, type LearnedKeeperOptions } from './learned-keeper.js';

const EARLIER: LearnedRow = {
  onsets: [['alpha', 1000]],
  heights: [['alpha', 40]],
  runTimes: [['alpha/quick', 640, 200]],
};

describe('what a holder has learned', () => {
  const keeperOf = (table: LearnedKeeperOptions['table']) => {
    const state = createBatchState(2);
    const log = createLog({ sink: () => undefined });
    const times = { nowMs: () => 5000, todayMs: () => 5000 };
    return { state, keeper: createLearnedKeeper({ table, state, log, ...times }) };
  };

  describe('where the first reading has no answer', () => {
    /** A table that does not answer the first call, and keeps one row. */
    const createTable = () => {
      const kept = { row: EARLIER as unknown, calls: 0 };
      const table: LearnedKeeperOptions['table'] = {
        read: async () => {
          kept.calls += 1;
          if (kept.calls === 1) return Err({ kind: 'unknown', detail: 'no answer' });
          return Ok([{ key: batchKey.learned, value: kept.row, version: 1 }]);
        },
        transact: async ({ writes }) => {
          kept.row = writes[0]?.value;
          return Ok({ kind: 'committed', version: 2 });
        },
      };
      return { kept, table };
    };

    it('is not written over: the next call reads it and adds to it', async () => {
      // A row that could not be read is not an empty one: what 200 ends had taught was lost for good.
      const { kept, table } = createTable();
      const { state, keeper } = keeperOf(table);
      await keeper.restore();
      recordRunTime(state.runTimes, 'alpha/slow', 2100);
      await keeper.save();
      await keeper.save();
      const { runTimes, heights } = kept.row as LearnedRow;
      expect(runTimes.map(([kind]) => kind).sort()).toEqual(['alpha/quick', 'alpha/slow']);
      expect(heights).toEqual([['alpha', 40]]);
    });
  });
});
