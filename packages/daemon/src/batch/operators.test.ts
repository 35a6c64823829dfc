/** What operators are told of hosts and waves by a holder that cannot read the list of hosts. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { answerOperator } from './operators.js';
import { type SimFleet } from './testing/sim-fleet.fixtures.js';
import { advance, FAKED, holderOf, started } from './testing/virtual-time.fixtures.js';

describe('an operator who asks', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const ask = (fleet: SimFleet, method: string, kind: string, name = '') =>
    answerOperator(holderOf(fleet).control, { method, body: { kind, name } }, 1);

  describe('a holder that has never read the list of hosts', () => {
    const withoutList = async (): Promise<SimFleet> => {
      const fleet = await started({ hostsPerPool: 3 });
      const hosts = Array.from(fleet.hosts.keys()).slice(0, 2);
      fleet.order({ waveNumber: 1, hosts, withinMs: 40_000, maximum: 1 });
      fleet.faults.isHostListDown = true;
      fleet.kill(holderOf(fleet));
      await advance(5000);
      return fleet;
    };

    it('is told that nothing can be said, not that there are no hosts', async () => {
      // An empty list reads like a fleet that is gone.
      const fleet = await withoutList();
      const detail = 'the list of hosts has not been read yet';
      expect(ask(fleet, 'get', 'hosts')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'get', 'pools')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'explain', 'host', 'h-alpha-0')).toEqual({ kind: 'unavailable', detail });
      expect(ask(fleet, 'get', 'jobs')?.kind).toBe('ok');
    });

    it('is told the wave as running, and why each host waits', async () => {
      const fleet = await withoutList();
      expect(ask(fleet, 'get', 'waves')).toMatchObject({ value: [{ phase: 'running' }] });
      expect(ask(fleet, 'explain', 'wave', '1')).toMatchObject({
        value: {
          reasons: [0, 1].map((index) => ({
            of: `host h-alpha-${index}`,
            reason: 'waiting: the list of hosts has not been read yet',
          })),
        },
      });
    });

    it('is answered once the list has been read', async () => {
      const fleet = await withoutList();
      fleet.faults.isHostListDown = false;
      await advance(1000);
      expect(ask(fleet, 'get', 'hosts')?.kind).toBe('ok');
      expect(ask(fleet, 'explain', 'host', 'h-alpha-0')?.kind).toBe('ok');
    });
  });
});
