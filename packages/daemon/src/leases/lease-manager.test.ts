/**
 * Guards against a released lease whose row still names its former holder. If the response to a renewal is
 * lost, the manager knows an older version of the row than the table has, so its release conflicts with its own
 * renewal. When a conflict counted as a completed release, the row was never freed.
 *
 * In a run where the control holder was partitioned off with a third of the entries, it gave control up after
 * 3.6 s. No entry took control for another 3.7 s, although every entry that still reached the table read the
 * lease twice a second: they waited until the lease had lapsed. When the row showed the release (`holder=none`),
 * the next holder took control 0.2 s later.
 */
import { createTableModel } from '@valvelatch/core/replay/table-model';
import type { LeaseRow } from '@valvelatch/core/leases/lease';
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLeaseManager } from './lease-manager.js';

const SELF = brand<EntryId>('holder');
const DURATION_MS = 8000;
const RENEW_AFTER_MS = 1000;

describe('a holder that gives up its lease', () => {
  const setUp = () => {
    const rows = createTableModel();
    const network = { dropsResponses: false, refusesConnections: false, onCommit: () => {} };
    let nowMs = 0;
    const table = {
      read: async (keys: readonly string[]) => Ok(keys.map((key) => rows.read(key))),
      transact: async ({ checks, writes }: Parameters<TableClient['transact']>[0]) => {
        if (network.refusesConnections)
          return Err({ kind: 'unreachable', detail: 'refused' } as const);
        const outcome = rows.transact(checks, writes);
        network.onCommit();
        if (network.dropsResponses) return Err({ kind: 'unknown', detail: 'no answer' } as const);
        return outcome.kind === 'committed'
          ? Ok(outcome)
          : Ok({ ...outcome, rows: checks.map(({ key }) => rows.read(key)) });
      },
    } as unknown as TableClient;
    const keeper = createLeaseManager({
      table,
      name: 'control',
      self: SELF,
      durationMs: DURATION_MS,
      renewAfterMs: RENEW_AFTER_MS,
      nowMs: () => nowMs,
    });
    const holder = () => (rows.read('lease/control').value as LeaseRow | null)?.holder;
    return {
      keeper,
      rows,
      network,
      holder,
      advanceClock: (ms: number) => {
        nowMs += ms;
      },
    };
  };

  it('frees the row by a release', async () => {
    const { keeper, holder } = setUp();
    await keeper.tick();
    expect(holder()).toBe(SELF);
    expect(await keeper.release()).toBe(true);
    expect(holder()).toBeNull();
  });

  it('frees the row after a renewal whose response was lost', async () => {
    const { keeper, network, holder, advanceClock } = setUp();
    await keeper.tick();
    advanceClock(RENEW_AFTER_MS * 2);
    network.dropsResponses = true;
    await keeper.tick();
    network.dropsResponses = false;
    expect(await keeper.release()).toBe(true);
    expect(holder()).toBeNull();
  });

  it('frees the row after two renewals whose responses were lost', async () => {
    const { keeper, network, holder, advanceClock } = setUp();
    await keeper.tick();
    network.dropsResponses = true;
    advanceClock(RENEW_AFTER_MS * 2);
    await keeper.tick();
    advanceClock(RENEW_AFTER_MS * 2);
    await keeper.tick();
    network.dropsResponses = false;
    expect(await keeper.release()).toBe(true);
    expect(holder()).toBeNull();
  });

  it('does not change a row that another entry has taken meanwhile', async () => {
    const { keeper, holder, rows } = setUp();
    await keeper.tick();
    const { value, version } = rows.read('lease/control');
    const taken = { ...(value as LeaseRow), holder: brand<EntryId>('next'), epoch: 2 };
    rows.transact([{ key: 'lease/control', version }], [{ key: 'lease/control', value: taken }]);
    expect(await keeper.release()).toBe(true);
    expect(holder()).toBe('next');
  });

  describe('by abandoning it without a write', () => {
    it('does not renew it in a tick that had begun before', async () => {
      // A renewal would keep a holder in the row that no longer acts, and the other entries would wait for its lease
      // to lapse again.
      const { keeper, advanceClock, rows } = setUp();
      await keeper.tick();
      advanceClock(RENEW_AFTER_MS * 2);
      const { version } = rows.read('lease/control');
      const ticking = keeper.tick();
      keeper.abandon();
      await ticking;
      expect(keeper.holds()).toBe(false);
      expect(rows.read('lease/control').version).toBe(version);
    });

    it('does not hold it again if the response to an earlier renewal arrives afterwards', async () => {
      const { keeper, network, advanceClock } = setUp();
      await keeper.tick();
      advanceClock(RENEW_AFTER_MS * 2);
      network.onCommit = () => keeper.abandon();
      await keeper.tick();
      expect(keeper.holds()).toBe(false);
    });

    it('does not hold it again if a release that had begun before fails', async () => {
      const { keeper, network } = setUp();
      await keeper.tick();
      network.refusesConnections = true;
      const releasing = keeper.release();
      keeper.abandon();
      expect(await releasing).toBe(false);
      expect(keeper.holds()).toBe(false);
    });

    it('acquires it again only under a new epoch', async () => {
      const { keeper } = setUp();
      await keeper.tick();
      const epoch = keeper.epoch();
      keeper.abandon();
      await keeper.tick();
      expect(keeper.holds()).toBe(true);
      expect(keeper.epoch()).toBeGreaterThan(epoch);
    });
  });
});
