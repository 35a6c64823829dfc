import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createGroupCommit } from './group-commit.js';
import type { TableTransaction, TransactionOutcome } from './table-client.js';

const write = (key: string): TableTransaction => ({ checks: [], writes: [{ key, value: {} }] });

const wait = (ms = 5): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A table whose transactions stay unanswered until `answer` is called, oldest first. */
const createManualTable = () => {
  const sent: string[][] = [];
  const answers: (() => void)[] = [];
  const transact = ({ writes }: TableTransaction) => {
    sent.push(writes.map(({ key }) => key));
    return new Promise<Ok<TransactionOutcome>>((resolve) => {
      answers.push(() => resolve(Ok({ kind: 'committed', version: sent.length })));
    });
  };
  return { sent, transact, answer: () => answers.shift()?.() };
};

describe('queued transactions', () => {
  it('share one table transaction once the one in flight is answered', async () => {
    const { sent, transact, answer } = createManualTable();
    const group = createGroupCommit({ table: { transact }, windowMs: 1 });
    const first = group.submit(write('a'));
    await wait();
    const others = [group.submit(write('b')), group.submit(write('c'))];
    answer();
    await first;
    await wait();
    answer();
    expect((await Promise.all(others)).every((outcome) => outcome.isOk())).toBe(true);
    expect(sent).toEqual([['a'], ['b', 'c']]);
  });

  it('are not sent once they are withdrawn, and end with the error kind `unreachable`', async () => {
    const { sent, transact, answer } = createManualTable();
    const group = createGroupCommit({ table: { transact }, windowMs: 1 });
    let isStillWanted = true;
    const first = group.submit(write('a'));
    await wait();
    const withdrawn = group.submit(write('b'), () => isStillWanted);
    const kept = group.submit(write('c'), () => true);
    isStillWanted = false;
    answer();
    await first;
    await wait();
    answer();
    const [withdrawnOutcome, keptOutcome] = await Promise.all([withdrawn, kept]);
    expect(withdrawnOutcome.isErr() && withdrawnOutcome.error.kind).toBe('unreachable');
    expect(keptOutcome.isOk()).toBe(true);
    expect(sent).toEqual([['a'], ['c']]);
  });
});
