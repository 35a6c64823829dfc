/**
 * The story. The operator was told that a wave of maintenance was completed, and all 17 hosts of it
 * went down afterwards. The wave had just been ordered when the holder of control was replaced, and
 * the platform's list of hosts was away at that moment. The new holder's first reading of the list
 * failed, and it went on with what it had: no hosts. A host that the list does not have counted as
 * gone for good, so that each host of the wave was accounted for, 0.2 s after the holder had recovered.
 *
 * The evidence. With the list away (resetting, silent, slow or answering 503) and the holder replaced,
 * four plays of four reported the wave so; with either of the two alone none did. The holder's log
 * says `host-list-lost listAgeMs=never` and `wave-reported state=completed done=0 unlisted=17 listed=0`.
 * Once the list was back the same holder reported the wave as running and took its hosts down.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { HostId } from '@valvelatch/core/shared/ids';

import { type SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, started } from '../testing/virtual-time.fixtures.js';

const WITHIN_MS = 40_000;
const MAXIMUM = 2;

describe('a wave that is reported as completed', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const hostsOf = (fleet: SimFleet): HostId[] =>
    Array.from(fleet.hosts.values())
      .filter(({ pool }) => pool === 'alpha')
      .map(({ hostId }) => hostId);

  const orderWave = (fleet: SimFleet, maximum = MAXIMUM): HostId[] => {
    const hosts = hostsOf(fleet);
    fleet.order({ waveNumber: 1, hosts, withinMs: WITHIN_MS, maximum });
    return hosts;
  };

  const reportsOf = (fleet: SimFleet): readonly unknown[] =>
    fleet.logged
      .filter(({ event }) => event === 'wave-reported')
      .map(({ fields }) => (fields as { state: string }).state);

  describe('by a holder that cannot read the list of hosts', () => {
    it('is not, while the list has never been read: none of its hosts has gone down', async () => {
      const fleet = await started({ hostsPerPool: 6 });
      await advance(2000);
      fleet.faults.isHostListDown = true;
      orderWave(fleet);
      fleet.kill(holderOf(fleet));
      await advance(6000);
      expect(holderOf(fleet).control.term()?.fleet.waves()).toHaveLength(1);
      expect(reportsOf(fleet)).not.toContain('completed');
      fleet.faults.isHostListDown = false;
      await advance(30_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });
  });

  describe('by a list that leaves out a host that stays', () => {
    it('is not, before the host has gone down like all others', async () => {
      // A list of several pages is no picture of one moment: what moves between pages is left out.
      const fleet = await started({ hostsPerPool: 6 });
      await advance(2000);
      const hosts = orderWave(fleet, 1);
      while (fleet.maintained.size < hosts.length - 1) await advance(20);
      const last = hosts.find((hostId) => !fleet.maintained.has(`1/${hostId}`)) as HostId;
      fleet.faults.leftOut.add(last);
      await advance(900);
      fleet.faults.leftOut.clear();
      await advance(20_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });
  });

  describe('by orders that the platform refuses', () => {
    it('is not, and they are sent again until the hosts have gone down', async () => {
      // The platform refuses an order of a wave that it has not read yet.
      const fleet = await started({ hostsPerPool: 6 });
      await advance(2000);
      const hosts = orderWave(fleet);
      hosts.forEach((hostId) => fleet.faults.refused.add(hostId));
      await advance(6000);
      expect(reportsOf(fleet)).not.toContain('completed');
      fleet.faults.refused.clear();
      await advance(30_000);
      expect(fleet.broken).toEqual([]);
      expect(fleet.waveStatus.get(1)).toBe('completed');
    });
  });
});
