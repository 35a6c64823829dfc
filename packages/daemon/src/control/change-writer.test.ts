/** Changes of a turn that share transactions, with conflicts and a lease that is lost meanwhile. */
import { brand, createTableModel, type ControlChange } from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../observe/metrics.js';
import { createChangeWriter } from './change-writer.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** A change of one row that must be at a version. */
const changeOf = (key: string, version = 0): ControlChange => ({
  kind: 'write',
  subject: key,
  reason: 'test',
  checks: [{ key, version }],
  writes: [{ key, value: 'new' }],
});

const writerOn = (mayWrite: () => boolean = () => true) => {
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

const namesTo = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `row/${index}`);

describe('the changes of a turn', () => {
  it('share transactions of 32', async () => {
    const { write, sizes, committed } = writerOn();
    const outcome = await write(namesTo(40).map((name) => changeOf(name)));
    expect(outcome).toEqual({ committedCount: 40, isStopped: false });
    expect([sizes, committed]).toEqual([[32, 8], namesTo(40)]);
  });

  it('are written one by one where one of them conflicts, and the others are committed', async () => {
    const { write, sizes, committed } = writerOn();
    const outcome = await write([changeOf('a'), changeOf('b', 7), changeOf('c')]);
    expect(outcome).toEqual({ committedCount: 2, isStopped: false });
    expect([sizes, committed]).toEqual([
      [3, 1, 1, 1],
      ['a', 'c'],
    ]);
  });

  it('wait for the next turn where they depend on a row that is written before them', async () => {
    const { write, committed } = writerOn();
    expect((await write([changeOf('a'), changeOf('a')])).committedCount).toBe(1);
    expect(committed).toEqual(['a']);
  });

  it('are not written after the lease is lost, which is said', async () => {
    let transactionsLeft = 1;
    const { write, sizes } = writerOn(() => {
      transactionsLeft -= 1;
      return transactionsLeft >= 0;
    });
    const outcome = await write(namesTo(40).map((name) => changeOf(name)));
    expect(outcome).toEqual({ committedCount: 32, isStopped: true });
    expect(sizes).toEqual([32]);
  });
});
