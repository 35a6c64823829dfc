import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createGroupCommit } from './group-commit.js';
import type { TableTransaction, TransactionOutcome } from './table-client.js';

const write = (key: string): TableTransaction => ({ checks: [], writes: [{ key, value: {} }] });

const tick = (ms = 5): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A table that answers when it is told to. */
const slowTable = () => {
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

describe('transactions that wait in the line', () => {
  it('share the next transaction of the table', async () => {
    const { sent, transact, answer } = slowTable();
    const group = createGroupCommit({ table: { transact }, windowMs: 1 });
    const first = group.submit(write('a'));
    await tick();
    const others = [group.submit(write('b')), group.submit(write('c'))];
    answer();
    await first;
    await tick();
    answer();
    expect((await Promise.all(others)).every((outcome) => outcome.isOk())).toBe(true);
    expect(sent).toEqual([['a'], ['b', 'c']]);
  });

  it('are not sent once they are withdrawn, and are told to be unsent', async () => {
    const { sent, transact, answer } = slowTable();
    const group = createGroupCommit({ table: { transact }, windowMs: 1 });
    let isWanted = true;
    const first = group.submit(write('a'));
    await tick();
    const withdrawn = group.submit(write('b'), () => isWanted);
    const kept = group.submit(write('c'), () => true);
    isWanted = false;
    answer();
    await first;
    await tick();
    answer();
    const [lost, written] = await Promise.all([withdrawn, kept]);
    expect(lost.isErr() && lost.error.kind).toBe('unreachable');
    expect(written.isOk()).toBe(true);
    expect(sent).toEqual([['a'], ['c']]);
  });
});
