/** Cancellations that a holder learns of before their jobs. */
import { createBatchState, type Caller } from '@valvelatch/core/batch';
import { brand, type AccountName, type JobId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import { createCancellations } from './cancellations.js';

const ANSWERABLE_MS = 1000;
const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const jobIdOf = (number: number): JobId => brand(number.toString(16).padStart(16, '0'));

const setUp = () => {
  const world = { nowMs: 0, isTableUp: true };
  const deleted: string[] = [];
  const transact: BatchTable['transact'] = async ({ writes }) => {
    if (!world.isTableUp) return Err({ kind: 'unknown', detail: 'no answer' });
    deleted.push(...writes.map(({ key }) => key));
    return Ok({ kind: 'committed', version: 1 });
  };
  const cancellations = createCancellations({
    state: createBatchState(1),
    ended: { findStatus: () => undefined },
    table: { transact },
    guard: () => ({ key: batchKey.guard, version: 1 }),
    log,
    answerableMs: () => ANSWERABLE_MS,
    nowMs: () => world.nowMs,
    wallClockMs: () => world.nowMs,
  });
  const learn = (number: number, caller: Caller = null) =>
    cancellations.apply({ jobId: jobIdOf(number), caller, source: 'feed' });
  return { world, deleted, cancellations, learn };
};

describe('cancellations whose jobs never come', () => {
  it('do not leave their rows in the table for ever', async () => {
    const { world, deleted, cancellations, learn } = setUp();
    learn(1);
    learn(1, brand<AccountName>('north'));
    world.nowMs = ANSWERABLE_MS;
    learn(2);
    await cancellations.deleteExpiredRows();
    expect(deleted).toEqual([]);
    world.nowMs = ANSWERABLE_MS * 2;
    await cancellations.deleteExpiredRows();
    expect(deleted).toEqual([
      batchKey.cancel(jobIdOf(1), null),
      batchKey.cancel(jobIdOf(1), brand('north')),
    ]);
  });

  it('are deleted later if the table did not answer', async () => {
    const { world, deleted, cancellations, learn } = setUp();
    learn(1);
    world.nowMs = ANSWERABLE_MS * 2;
    world.isTableUp = false;
    await cancellations.deleteExpiredRows();
    world.isTableUp = true;
    await cancellations.deleteExpiredRows();
    expect(deleted).toEqual([batchKey.cancel(jobIdOf(1), null)]);
  });

  it('do not fill the memory of the holder', async () => {
    const { world, deleted, cancellations, learn } = setUp();
    for (let number = 0; number < 20_050; number += 1) learn(number);
    world.nowMs = ANSWERABLE_MS * 2;
    await cancellations.deleteExpiredRows();
    expect(deleted[0]).toBe(batchKey.cancel(jobIdOf(50), null));
  });
});
