/** Orders that other entries carry, in virtual time: what they cost and what the loss of a relay costs. */
import type { JobId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimEntry, SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, phaseOf, started } from '../testing/virtual-time.fixtures.js';

const JOBS = 40;
const EVERY_MS = 200;
/** The load below puts 100 bytes a millisecond on the holder's link. */
const LINK_BYTES_PER_MS = 150;
const RELAYING = { hostsPerPool: 6, mayRelayOrders: true };

describe('orders of a holder whose link is busy', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const othersOf = (fleet: SimFleet): readonly SimEntry[] =>
    fleet.entries.filter((entry) => entry !== holderOf(fleet));

  const play = async (strike: (fleet: SimFleet, turn: number) => void = () => undefined) => {
    const fleet = await started({ ...RELAYING, linkBytesPerMs: LINK_BYTES_PER_MS });
    const jobs: JobId[] = [];
    for (let turn = 0; turn < JOBS; turn += 1) {
      const pool = turn % 2 ? 'alpha' : 'beta';
      jobs.push(fleet.submit({ pool, steps: [{ taskCount: 12 }], runMs: 800, specBytes: 1200 }));
      await advance(EVERY_MS);
      strike(fleet, turn);
    }
    await advance(12_000);
    expect(fleet.broken).toEqual([]);
    expect(jobs.filter((job) => phaseOf(fleet, job) !== 'completed')).toEqual([]);
    return fleet;
  };

  it('go over others, and leave a fifth of the bytes with the holder', async () => {
    const fleet = await play();
    expect(fleet.logged.map(({ event }) => event)).toContain('orders-relayed');
    const others = othersOf(fleet).reduce((sum, { orderBytes }) => sum + orderBytes.out, 0);
    expect(holderOf(fleet).orderBytes.out).toBeLessThan(others / 3);
  });

  it('stay direct where the link is not busy', async () => {
    const fleet = await started({ ...RELAYING, linkBytesPerMs: LINK_BYTES_PER_MS * 10 });
    const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 12 }], specBytes: 1200 });
    await advance(5000);
    expect(phaseOf(fleet, job)).toBe('completed');
    expect(fleet.logged.map(({ event }) => event)).not.toContain('orders-relayed');
  });

  it('break nothing when a relay is killed', async () => {
    await play((fleet, turn) => {
      const [relay] = othersOf(fleet);
      if (turn === 20 && relay) fleet.kill(relay);
    });
  });

  it('break nothing when a relay freezes and sends what it was told 3 s later', async () => {
    await play((fleet, turn) => {
      const [relay] = othersOf(fleet);
      if (turn === 20) Object.assign(relay ?? {}, { isFrozen: true });
      if (turn === 35) Object.assign(relay ?? {}, { isFrozen: false });
    });
  });

  it('go directly to an endpoint that its relay cannot reach', async () => {
    const fleet = await play((one, turn) => {
      if (turn !== 15) return;
      othersOf(one).forEach(({ cutFrom }) =>
        Array.from(one.endpoints.keys()).forEach((endpointId) => cutFrom.add(endpointId)),
      );
    });
    expect(fleet.logged.filter(({ event }) => event === 'endpoint-lease-ended')).toEqual([]);
  });
});
