/** Checks how the changes of a turn are batched into transactions, on conflicts and when the lease is lost. */
import { brand, createTableModel, type ControlChange } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../observe/metrics.js';
import { createChangeWriter } from './change-writer.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** Builds a change that writes one row if it is at the given version. */
const changeOf = (key: string, version = 0): ControlChange => ({
  kind: 'write',
  subject: key,
  reason: 'test',
  checks: [{ key, version }],
  writes: [{ key, value: 'new' }],
});

const setUp = (mayWrite: () => boolean = () => true) => {
  const rows = createTableModel();
  const sizes: number[] = [];
  const committed: string[] = [];
  const table = {
    transact: async ({ checks, writes }: Parameters<TableClient['transact']>[0]) => {
      sizes.push(writes.length);
      return Ok(rows.transact(checks, writes));
    },
  } as unknown as TableClient;
  const write = createChangeWriter({
    pool: brand('main'),
    table,
    mayWrite,
    log,
    metrics: createMetrics(),
    onChange: ({ subject }) => committed.push(subject),
  });
  return { write, sizes, committed };
};

const rowKeys = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `row/${index}`);

describe('the changes of a turn', () => {
  it('share transactions of 32', async () => {
    const { write, sizes, committed } = setUp();
    const outcome = await write(rowKeys(40).map((key) => changeOf(key)));
    expect(outcome).toEqual({ committedCount: 40, isLeaseLost: false });
    expect([sizes, committed]).toEqual([[32, 8], rowKeys(40)]);
  });

  it('are written one by one after a conflict, and all but the conflicting one are committed', async () => {
    const { write, sizes, committed } = setUp();
    const outcome = await write([changeOf('a'), changeOf('b', 7), changeOf('c')]);
    expect(outcome).toEqual({ committedCount: 2, isLeaseLost: false });
    expect([sizes, committed]).toEqual([
      [3, 1, 1, 1],
      ['a', 'c'],
    ]);
  });

  it('are skipped until the next turn if they depend on a row that an earlier change of the turn writes', async () => {
    const { write, committed } = setUp();
    expect((await write([changeOf('a'), changeOf('a')])).committedCount).toBe(1);
    expect(committed).toEqual(['a']);
  });

  it('are not written after the lease is lost, and the outcome reports it', async () => {
    let transactionsLeft = 1;
    const { write, sizes } = setUp(() => {
      transactionsLeft -= 1;
      return transactionsLeft >= 0;
    });
    const outcome = await write(rowKeys(40).map((key) => changeOf(key)));
    expect(outcome).toEqual({ committedCount: 32, isLeaseLost: true });
    expect(sizes).toEqual([32]);
  });
});
