/** Answers about a lease that come late or never, beside its release and its taking. */
import type { LeaseRow } from '@valvelatch/core/leases/lease';
import { createTableModel } from '@valvelatch/core/replay/table-model';
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLeaseKeeper } from './lease-keeper.js';

const KEY = 'lease/control';
const DURATION_MS = 8000;
const RENEW_AFTER_MS = 1300;

const setUp = () => {
  const rows = createTableModel();
  const clock = { nowMs: 0 };
  const link = { losesAnswers: false, holdsAnswers: false };
  const held: (() => void)[] = [];
  const table = {
    read: async (keys: readonly string[]) => Ok(keys.map((key) => rows.read(key))),
    transact: async ({ checks, writes }: Parameters<TableClient['transact']>[0]) => {
      const outcome = rows.transact(checks, writes);
      const told = checks.map(({ key }) => rows.read(key));
      if (link.losesAnswers) return Err({ kind: 'unknown', detail: 'no answer' } as const);
      if (link.holdsAnswers) {
        await new Promise<void>((resolve) => {
          held.push(resolve);
        });
      }
      return Ok(outcome.kind === 'committed' ? outcome : { ...outcome, rows: told });
    },
  } as unknown as TableClient;
  const keeperOf = (name: string) =>
    createLeaseKeeper({
      table,
      name: 'control',
      self: brand<EntryId>(name),
      durationMs: DURATION_MS,
      renewAfterMs: RENEW_AFTER_MS,
      nowMs: () => clock.nowMs,
    });
  const holder = () => (rows.read(KEY).value as LeaseRow | null)?.holder;
  /** Lets what is ready go on. */
  const settle = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  const answerNext = async () => {
    held.shift()?.();
    await settle();
  };
  return { keeperOf, clock, link, holder, settle, answerNext };
};

describe('a lease that is given up while a renewal is under way', () => {
  it('is not held again by the late answer to the renewal', async () => {
    const { keeperOf, clock, link, holder, settle, answerNext } = setUp();
    const keeper = keeperOf('first');
    await keeper.tick();
    clock.nowMs = RENEW_AFTER_MS * 2;
    link.holdsAnswers = true;
    void keeper.tick();
    await settle();
    void keeper.release();
    await settle();
    // The renewal is answered, and so is the conflict of the release with it.
    await answerNext();
    await answerNext();
    expect(holder()).toBeNull();
    expect(keeper.holds()).toBe(false);
  });
});

describe('a lease whose taking had no answer', () => {
  it('still tells from whom it was taken, and how long that one had been idle', async () => {
    const { keeperOf, clock, link, holder } = setUp();
    const [first, second] = [keeperOf('first'), keeperOf('second')];
    await first.tick();
    await second.tick();
    await first.release(700);
    link.losesAnswers = true;
    await second.tick();
    expect(holder()).toBe('second');
    link.losesAnswers = false;
    clock.nowMs += 500;
    await second.tick();
    expect(second.holds()).toBe(true);
    expect([second.takenFrom(), second.idleBeforeMs()]).toEqual([null, 700]);
  });
});
