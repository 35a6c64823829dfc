/** A rack or a data centre that falls silent under load, and false alarms. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { InstanceId, JobId } from '@valvelatch/core/shared/ids';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import { advance, FAKED, phaseOf, started } from '../testing/virtual-time.fixtures.js';

const SILENT_MS = 6000;
const LOOK_MS = 10;

describe('a fleet of four data centres with two racks each, under load', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Some 190 of 256 cores are in use by tasks of a second. */
  const loaded = async (seed = 11) => {
    const domains = { hostsPerRack: 4, dataCentres: 4 };
    const fleet = await started({ hostsPerPool: 32, domains, accounts: [], seed });
    const jobs: JobId[] = [];
    const work = setInterval(() => {
      const steps = [{ taskCount: 8, cpuMillis: 1400 }];
      jobs.push(fleet.submit({ pool: 'alpha', steps, runMs: 1000 }));
    }, 60);
    await advance(4000);
    return { fleet, jobs, endWork: () => clearInterval(work) };
  };

  const instancesIn = (fleet: SimFleet, name: string): ReadonlySet<InstanceId> =>
    new Set(
      Array.from(fleet.hosts.values())
        .filter(({ labels, dataCentre }) => labels[0] === name || String(dataCentre) === name)
        .flatMap(({ instanceId }) => instanceId ?? []),
    );

  const silence = (fleet: SimFleet, lost: ReadonlySet<InstanceId>): void =>
    fleet.entries.forEach(({ cutFrom }) => lost.forEach((one) => cutFrom.add(one)));

  const heal = (fleet: SimFleet): void => fleet.entries.forEach(({ cutFrom }) => cutFrom.clear());

  const linesOf = (fleet: SimFleet, event: string): readonly object[] =>
    fleet.logged.filter((line) => line.event === event).map(({ fields }) => fields);

  /** Waits until a domain is suspected. */
  const suspected = async (fleet: SimFleet, name: string): Promise<number> => {
    const isSuspected = (): boolean =>
      linesOf(fleet, 'domain-suspected').some(
        (fields) => 'domain' in fields && String(fields.domain).endsWith(name),
      );
    for (let waitedMs = 0; !isSuspected(); waitedMs += LOOK_MS) {
      expect(waitedMs).toBeLessThan(2000);
      await advance(LOOK_MS);
    }
    return performance.now();
  };

  /** Runs whose first order to start was sent to one of these since then; an order without an answer is sent again. */
  const startsInto = (fleet: SimFleet, lost: ReadonlySet<InstanceId>, sinceMs: number): number => {
    const firstSent = new Map<string, { readonly instanceId: InstanceId; readonly atMs: number }>();
    fleet.startsSent.forEach(({ instanceId, task, run, atMs }) => {
      const key = `${task} ${run}`;
      if (!firstSent.has(key)) firstSent.set(key, { instanceId, atMs });
    });
    return Array.from(firstSent.values()).filter(
      ({ instanceId, atMs }) => atMs > sinceMs && lost.has(instanceId),
    ).length;
  };

  const expectAllDone = async (fleet: SimFleet, jobs: readonly JobId[]): Promise<void> => {
    await advance(20_000);
    const phases = jobs.map((jobId) => phaseOf(fleet, jobId));
    expect(phases.filter((phase) => phase !== 'completed')).toEqual([]);
    expect(fleet.broken).toEqual([]);
  };

  ['rack-0', 'rack-2', 'rack-3', 'dc-0', 'dc-1'].forEach((name) =>
    it(`has no start sent into ${name} once several of its endpoints do not answer`, async () => {
      // Each endpoint was noticed by itself: starts went to those that were idle, and again to each withheld one.
      const { fleet, jobs, endWork } = await loaded();
      const lost = instancesIn(fleet, name);
      const lostAtMs = performance.now();
      silence(fleet, lost);
      const sinceMs = await suspected(fleet, name);
      expect(sinceMs - lostAtMs).toBeLessThan(1000);
      await advance(SILENT_MS);
      expect(startsInto(fleet, lost, sinceMs)).toBe(0);
      heal(fleet);
      await advance(2000);
      expect(linesOf(fleet, 'domain-back')).toHaveLength(linesOf(fleet, 'domain-suspected').length);
      endWork();
      await expectAllDone(fleet, jobs);
    }),
  );

  it('gives starts to a rack again after the time of one question where the alarm was false', async () => {
    const { fleet, jobs, endWork } = await loaded();
    const lost = instancesIn(fleet, 'rack-0');
    silence(fleet, lost);
    await advance(120);
    heal(fleet);
    const sinceMs = await suspected(fleet, 'rack-0');
    await advance(100);
    expect(linesOf(fleet, 'domain-back')).toMatchObject([
      { domain: 'dc-0/rack-0', relief: 'answered' },
    ]);
    await advance(1000);
    expect(startsInto(fleet, lost, sinceMs)).toBeGreaterThan(0);
    endWork();
    await expectAllDone(fleet, jobs);
  });

  it('suspects no rack as single endpoints miss an answer', async () => {
    const { fleet, jobs, endWork } = await loaded();
    const [one] = instancesIn(fleet, 'rack-0');
    silence(fleet, new Set(one ? [one] : []));
    await advance(SILENT_MS);
    heal(fleet);
    expect(linesOf(fleet, 'domain-suspected')).toEqual([]);
    endWork();
    await expectAllDone(fleet, jobs);
  });
});
