/** Access to the table through neighbours while the platform refuses calls of some entries. */
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { BatchTable } from '../ports.js';
import { createRelayedTable } from './relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const UNREACHABLE = { kind: 'unreachable', detail: 'the store answered 503' } as const;

const unreachableTable: BatchTable = {
  read: async () => Err(UNREACHABLE),
  scan: async () => Err(UNREACHABLE),
  transact: async () => Err(UNREACHABLE),
  feed: () => ({ next: async () => Err(UNREACHABLE) }),
};

const servedAnswer = { isOk: true, value: { kind: 'committed', version: 7 } };
const refusedAnswer = { isOk: false, value: UNREACHABLE };

const createTable = (answers: Readonly<Record<string, object>>, nowMs = () => 1000) => {
  const asked: string[] = [];
  const table = createRelayedTable({
    table: unreachableTable,
    neighbours: () => Object.keys(answers).map((name) => brand<EntryId>(name)),
    ask: async (entryId) => {
      asked.push(entryId);
      return answers[entryId];
    },
    log,
    metrics: createMetrics(),
    nowMs,
  });
  return { table, asked };
};

const write = { checks: [], writes: [] };

describe('a table that refuses the calls of this entry', () => {
  it('is reached through the second neighbour if it also refuses the first', async () => {
    // If only one neighbour were asked, the control lease would expire whenever the table also refused that neighbour.
    const { table } = createTable({ b: refusedAnswer, c: servedAnswer, d: servedAnswer });
    const outcome = await table.transact(write);
    expect(outcome.isOk() && outcome.value).toEqual({ kind: 'committed', version: 7 });
  });

  it('is asked first through the neighbour whose last call succeeded', async () => {
    const { table, asked } = createTable({ b: refusedAnswer, c: servedAnswer });
    await table.transact(write);
    asked.length = 0;
    await table.transact(write);
    expect(asked[0]).toBe('c');
  });

  it('is not asked through neighbours for a while after it refused all that were asked', async () => {
    const { table, asked } = createTable({
      b: refusedAnswer,
      c: refusedAnswer,
      d: refusedAnswer,
      e: refusedAnswer,
    });
    await table.transact(write);
    const first = asked.length;
    await table.transact(write);
    expect(asked).toHaveLength(first);
  });

  it('is asked to renew a lease through a neighbour before the direct call has timed out', async () => {
    const unanswered = new Promise<never>(() => {});
    const table = createRelayedTable({
      table: { ...unreachableTable, transact: () => unanswered },
      neighbours: () => ['b', 'c'].map((name) => brand<EntryId>(name)),
      ask: (entryId) => (entryId === 'b' ? unanswered : Promise.resolve(servedAnswer)),
      log,
      metrics: createMetrics(),
      random: () => 0,
    });
    const startedAtMs = performance.now();
    const outcome = await table.transact({
      checks: [],
      writes: [{ key: 'lease/control', value: {} }],
    });
    expect(outcome.isOk()).toBe(true);
    expect(performance.now() - startedAtMs).toBeLessThan(1500);
  });

  it('is not asked again on behalf of a neighbour just after it refused this entry', async () => {
    let calls = 0;
    const table = createRelayedTable({
      table: {
        ...unreachableTable,
        read: async () => {
          calls += 1;
          return Err(UNREACHABLE);
        },
      },
      neighbours: () => [],
      ask: async () => servedAnswer,
      log,
      metrics: createMetrics(),
      nowMs: () => 1000,
    });
    await table.read(['lease/control']);
    const answer = await table.callForNeighbour({ kind: 'read', keys: ['job/a'] });
    expect([answer.isOk, calls]).toEqual([false, 1]);
  });

  it('gives an unknown outcome if a neighbour did not answer, and unreachable if all refused', async () => {
    const { table } = createTable({ b: refusedAnswer });
    const failing = createRelayedTable({
      table: unreachableTable,
      neighbours: () => [brand<EntryId>('b')],
      ask: async () => {
        throw new Error('no answer');
      },
      log,
      metrics: createMetrics(),
      nowMs: () => 1000,
    });
    const lost = await failing.transact(write);
    const known = await table.transact(write);
    expect(lost.isErr() && lost.error.kind).toBe('unknown');
    expect(known.isErr() && known.error.kind).toBe('unreachable');
  });
});

describe('the time without an answer of the table', () => {
  const silentTable = (isAnswering: () => boolean) => {
    const clock = { nowMs: 1000 };
    const table = createRelayedTable({
      table: {
        ...unreachableTable,
        read: () => (isAnswering() ? Promise.resolve(Ok([])) : new Promise(() => {})),
      },
      neighbours: () => [],
      ask: async () => refusedAnswer,
      log,
      metrics: createMetrics(),
      nowMs: () => clock.nowMs,
    });
    return { table, clock };
  };

  it('is counted from the first unanswered call on, before that call times out', async () => {
    const { table, clock } = silentTable(() => false);
    expect(table.unansweredForMs()).toBe(0);
    void table.read(['lease/control']);
    clock.nowMs += 700;
    expect(table.unansweredForMs()).toBe(700);
  });

  it('ends when a probe is answered, even if earlier calls are still unanswered', async () => {
    let isAnswering = false;
    const { table, clock } = silentTable(() => isAnswering);
    void table.read(['lease/control']);
    clock.nowMs += 700;
    isAnswering = true;
    table.probe();
    await Promise.resolve();
    await Promise.resolve();
    expect(table.unansweredForMs()).toBe(0);
  });
});
