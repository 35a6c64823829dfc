/** Checks the release and the acquisition of a lease if responses of the table arrive late or never. */
import type { LeaseRow } from '@valvelatch/core/leases/lease';
import { createTableModel } from '@valvelatch/core/replay/table-model';
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLeaseManager } from './lease-manager.js';

const KEY = 'lease/control';
const DURATION_MS = 8000;
const RENEW_AFTER_MS = 1300;

const setUp = () => {
  const rows = createTableModel();
  const clock = { nowMs: 0 };
  const network = { dropsResponses: false, delaysResponses: false };
  const pendingResponses: (() => void)[] = [];
  const table = {
    read: async (keys: readonly string[]) => Ok(keys.map((key) => rows.read(key))),
    transact: async ({ checks, writes }: Parameters<TableClient['transact']>[0]) => {
      const outcome = rows.transact(checks, writes);
      const currentRows = checks.map(({ key }) => rows.read(key));
      if (network.dropsResponses) return Err({ kind: 'unknown', detail: 'no answer' } as const);
      if (network.delaysResponses) {
        await new Promise<void>((resolve) => {
          pendingResponses.push(resolve);
        });
      }
      return Ok(outcome.kind === 'committed' ? outcome : { ...outcome, rows: currentRows });
    },
  } as unknown as TableClient;
  const createKeeper = (name: string) =>
    createLeaseManager({
      table,
      name: 'control',
      self: brand<EntryId>(name),
      durationMs: DURATION_MS,
      renewAfterMs: RENEW_AFTER_MS,
      nowMs: () => clock.nowMs,
    });
  const holder = () => (rows.read(KEY).value as LeaseRow | null)?.holder;
  /** Runs all callbacks that are ready. */
  const runReadyCallbacks = () =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  const deliverNextResponse = async () => {
    pendingResponses.shift()?.();
    await runReadyCallbacks();
  };
  return { createKeeper, clock, network, holder, runReadyCallbacks, deliverNextResponse };
};

describe('a lease that is released while a renewal is in flight', () => {
  it('is not held again when the response to the renewal arrives late', async () => {
    const { createKeeper, clock, network, holder, runReadyCallbacks, deliverNextResponse } =
      setUp();
    const keeper = createKeeper('first');
    await keeper.tick();
    clock.nowMs = RENEW_AFTER_MS * 2;
    network.delaysResponses = true;
    void keeper.tick();
    await runReadyCallbacks();
    void keeper.release();
    await runReadyCallbacks();
    // Delivers the response to the renewal, then the conflict that the release met because of that renewal.
    await deliverNextResponse();
    await deliverNextResponse();
    expect(holder()).toBeNull();
    expect(keeper.holds()).toBe(false);
  });
});

describe('a lease whose acquisition got no response', () => {
  it('still reports the previous holder and how long it had been idle', async () => {
    const { createKeeper, clock, network, holder } = setUp();
    const [first, second] = [createKeeper('first'), createKeeper('second')];
    await first.tick();
    await second.tick();
    await first.release(700);
    network.dropsResponses = true;
    await second.tick();
    expect(holder()).toBe('second');
    network.dropsResponses = false;
    clock.nowMs += 500;
    await second.tick();
    expect(second.holds()).toBe(true);
    expect([second.previousHolder(), second.previousHolderIdleMs()]).toEqual([null, 700]);
  });
});
