/** A rack or a data centre that becomes unreachable under load, and false alarms. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { InstanceId, JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const DISCONNECTED_MS = 6000;
const POLL_MS = 10;

describe('a fleet of four data centres with two racks each, under load', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Starts a fleet on which tasks of 1 s use some 190 of 256 cores. */
  const startLoadedFleet = async (seed = 11) => {
    const domains = { hostsPerRack: 4, dataCentres: 4 };
    const fleet = await createStartedFleet({ hostsPerPool: 32, domains, accounts: [], seed });
    const jobs: JobId[] = [];
    const submission = setInterval(() => {
      const steps = [{ taskCount: 8, cpuMillis: 1400 }];
      jobs.push(fleet.submit({ pool: 'alpha', steps, runMs: 1000 }));
    }, 60);
    await advanceTime(4000);
    return { fleet, jobs, stopLoad: () => clearInterval(submission) };
  };

  const instancesIn = (fleet: SimFleet, name: string): ReadonlySet<InstanceId> =>
    new Set(
      Array.from(fleet.hosts.values())
        .filter(({ labels, dataCentre }) => labels[0] === name || String(dataCentre) === name)
        .flatMap(({ instanceId }) => instanceId ?? []),
    );

  const disconnect = (fleet: SimFleet, lost: ReadonlySet<InstanceId>): void =>
    fleet.entries.forEach(({ unreachableEndpoints }) =>
      lost.forEach((one) => unreachableEndpoints.add(one)),
    );

  const reconnect = (fleet: SimFleet): void =>
    fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.clear());

  const linesOf = (fleet: SimFleet, event: string): readonly object[] =>
    fleet.loggedEvents.filter((line) => line.event === event).map(({ fields }) => fields);

  /** Waits until a domain is suspected, and returns that time. */
  const waitUntilSuspected = async (fleet: SimFleet, name: string): Promise<number> => {
    const isSuspected = (): boolean =>
      linesOf(fleet, 'domain-suspected').some(
        (fields) => 'domain' in fields && String(fields.domain).endsWith(name),
      );
    for (let waitedMs = 0; !isSuspected(); waitedMs += POLL_MS) {
      expect(waitedMs).toBeLessThan(2000);
      await advanceTime(POLL_MS);
    }
    return performance.now();
  };

  /**
   * Counts the runs whose first start order was sent to one of these instances after the given time. Repeats are
   * ignored.
   */
  const countStartsInto = (
    fleet: SimFleet,
    lost: ReadonlySet<InstanceId>,
    suspectedAtMs: number,
  ): number => {
    const firstSent = new Map<string, { readonly instanceId: InstanceId; readonly atMs: number }>();
    fleet.startsSent.forEach(({ instanceId, task, run, atMs }) => {
      const key = `${task} ${run}`;
      if (!firstSent.has(key)) firstSent.set(key, { instanceId, atMs });
    });
    return Array.from(firstSent.values()).filter(
      ({ instanceId, atMs }) => atMs > suspectedAtMs && lost.has(instanceId),
    ).length;
  };

  const expectAllCompleted = async (fleet: SimFleet, jobs: readonly JobId[]): Promise<void> => {
    await advanceTime(20_000);
    const phases = jobs.map((jobId) => phaseOf(fleet, jobId));
    expect(phases.filter((phase) => phase !== 'completed')).toEqual([]);
    expect(fleet.violations).toEqual([]);
  };

  ['rack-0', 'rack-2', 'rack-3', 'dc-0', 'dc-1'].forEach((name) =>
    it(`has no start order sent into ${name} once several of its endpoints do not respond`, async () => {
      // Guards against detecting each endpoint only by itself: start orders then go to its idle neighbours, and again
      // to each endpoint once it is no longer withheld.
      const { fleet, jobs, stopLoad } = await startLoadedFleet();
      const lost = instancesIn(fleet, name);
      const lostAtMs = performance.now();
      disconnect(fleet, lost);
      const suspectedAtMs = await waitUntilSuspected(fleet, name);
      expect(suspectedAtMs - lostAtMs).toBeLessThan(1000);
      await advanceTime(DISCONNECTED_MS);
      expect(countStartsInto(fleet, lost, suspectedAtMs)).toBe(0);
      reconnect(fleet);
      await advanceTime(2000);
      expect(linesOf(fleet, 'domain-back')).toHaveLength(linesOf(fleet, 'domain-suspected').length);
      stopLoad();
      await expectAllCompleted(fleet, jobs);
    }),
  );

  it('starts tasks in a rack again within one list request after a false alarm', async () => {
    const { fleet, jobs, stopLoad } = await startLoadedFleet();
    const lost = instancesIn(fleet, 'rack-0');
    disconnect(fleet, lost);
    await advanceTime(120);
    reconnect(fleet);
    const suspectedAtMs = await waitUntilSuspected(fleet, 'rack-0');
    await advanceTime(100);
    expect(linesOf(fleet, 'domain-back')).toMatchObject([
      { domain: 'dc-0/rack-0', relief: 'answered' },
    ]);
    await advanceTime(1000);
    expect(countStartsInto(fleet, lost, suspectedAtMs)).toBeGreaterThan(0);
    stopLoad();
    await expectAllCompleted(fleet, jobs);
  });

  it('suspects no rack if a single endpoint does not respond', async () => {
    const { fleet, jobs, stopLoad } = await startLoadedFleet();
    const [one] = instancesIn(fleet, 'rack-0');
    disconnect(fleet, new Set(one ? [one] : []));
    await advanceTime(DISCONNECTED_MS);
    reconnect(fleet);
    expect(linesOf(fleet, 'domain-suspected')).toEqual([]);
    stopLoad();
    await expectAllCompleted(fleet, jobs);
  });
});
