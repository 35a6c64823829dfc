/** The table through neighbours, while the platform turns some entries away. */
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { BatchTable } from '../ports.js';
import { createRelayedTable } from './relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const AWAY = { kind: 'unreachable', detail: 'the store answered 503' } as const;

const turnedAway: BatchTable = {
  read: async () => Err(AWAY),
  scan: async () => Err(AWAY),
  transact: async () => Err(AWAY),
  feed: () => ({ next: async () => Err(AWAY) }),
};

const served = { isOk: true, value: { kind: 'committed', version: 7 } };
const refused = { isOk: false, value: AWAY };

const relayed = (answers: Readonly<Record<string, object>>, nowMs = () => 1000) => {
  const asked: string[] = [];
  const table = createRelayedTable({
    table: turnedAway,
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

describe('a table that turns this entry away', () => {
  it('is reached through the next neighbour where the first is turned away too', async () => {
    // With one neighbour asked, control lapsed where that one was turned away as well.
    const { table } = relayed({ b: refused, c: served, d: served });
    const outcome = await table.transact(write);
    expect(outcome.isOk() && outcome.value).toEqual({ kind: 'committed', version: 7 });
  });

  it('is next asked through the neighbour that was served', async () => {
    const { table, asked } = relayed({ b: refused, c: served });
    await table.transact(write);
    asked.length = 0;
    await table.transact(write);
    expect(asked[0]).toBe('c');
  });

  it('is left alone for a while where all that were asked are turned away', async () => {
    const { table, asked } = relayed({ b: refused, c: refused, d: refused, e: refused });
    await table.transact(write);
    const first = asked.length;
    await table.transact(write);
    expect(asked).toHaveLength(first);
  });

  it('keeps a lease alive through a neighbour before the own way has timed out', async () => {
    const slow = new Promise<never>(() => {});
    const table = createRelayedTable({
      table: { ...turnedAway, transact: () => slow },
      neighbours: () => ['b', 'c'].map((name) => brand<EntryId>(name)),
      ask: (entryId) => (entryId === 'b' ? slow : Promise.resolve(served)),
      log,
      metrics: createMetrics(),
      random: () => 0,
    });
    const beganAtMs = performance.now();
    const outcome = await table.transact({
      checks: [],
      writes: [{ key: 'lease/control', value: {} }],
    });
    expect(outcome.isOk()).toBe(true);
    expect(performance.now() - beganAtMs).toBeLessThan(1500);
  });

  it('answers neighbours at once while it is turned away itself', async () => {
    let calls = 0;
    const table = createRelayedTable({
      table: {
        ...turnedAway,
        read: async () => {
          calls += 1;
          return Err(AWAY);
        },
      },
      neighbours: () => [],
      ask: async () => served,
      log,
      metrics: createMetrics(),
      nowMs: () => 1000,
    });
    await table.read(['lease/control']);
    const answer = await table.answerNeighbour({ kind: 'read', keys: ['job/a'] });
    expect([answer.isOk, calls]).toEqual([false, 1]);
  });

  it('is unknown in its outcome where one neighbour did not answer', async () => {
    const { table } = relayed({ b: refused });
    const failing = createRelayedTable({
      table: turnedAway,
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

describe('the silence of a table', () => {
  const silentTable = (isAnswering: () => boolean) => {
    const clock = { nowMs: 1000 };
    const table = createRelayedTable({
      table: {
        ...turnedAway,
        read: () => (isAnswering() ? Promise.resolve(Ok([])) : new Promise(() => {})),
      },
      neighbours: () => [],
      ask: async () => refused,
      log,
      metrics: createMetrics(),
      nowMs: () => clock.nowMs,
    });
    return { table, clock };
  };

  it('is counted from the first call without an answer, before its time-out', async () => {
    const { table, clock } = silentTable(() => false);
    expect(table.silentForMs()).toBe(0);
    void table.read(['lease/control']);
    clock.nowMs += 700;
    expect(table.silentForMs()).toBe(700);
  });

  it('ends with a probe that is answered while earlier calls still wait', async () => {
    let isAnswering = false;
    const { table, clock } = silentTable(() => isAnswering);
    void table.read(['lease/control']);
    clock.nowMs += 700;
    isAnswering = true;
    table.probe();
    await Promise.resolve();
    await Promise.resolve();
    expect(table.silentForMs()).toBe(0);
  });
});
