/** What a holder logs about runs that end or are given up, and about tasks that it starts again. */
import type { SimulatedEndpoint } from '@valvelatch/core/batch';
import type { InstanceId } from '@valvelatch/core/shared/ids';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  phaseOf,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

type Fields = Readonly<Record<string, string | number | undefined>>;

const linesOf = (fleet: SimFleet, event: string): readonly Fields[] =>
  fleet.loggedEvents.filter((line) => line.event === event).map(({ fields }) => fields as Fields);

const runEndLines = (fleet: SimFleet): readonly Fields[] => linesOf(fleet, 'run-ended');

const runNameOf = ({ task, run }: Fields): string => `${task}/${run}`;

/** The endpoint with the most runs. */
const findBusiestEndpoint = (fleet: SimFleet): SimulatedEndpoint => {
  const [first] = Array.from(fleet.endpoints.values()).sort(
    (one, other) => other.runs.size - one.runs.size,
  );
  if (!first || first.runs.size === 0) throw new Error('nothing runs');
  return first;
};

/** Cuts the endpoint off: not even the response to a list request in flight is received. */
const disconnect = (fleet: SimFleet, instanceId: InstanceId): void =>
  fleet.entries.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));

/** Starts two tasks that run on one endpoint for 30 s. */
const startTwoTasks = async () => {
  const fleet = await createStartedFleet();
  fleet.submit({ pool: 'alpha', steps: [{ taskCount: 2 }], runMs: 30_000 });
  await advanceTime(1500);
  const { instanceId, endpointId } = findBusiestEndpoint(fleet);
  return { fleet, instanceId, endpointId };
};

describe('the log of a holder', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('has one line for each run if nothing fails', async () => {
    const fleet = await createStartedFleet();
    const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 40 }] });
    await advanceTime(8000);
    expect(phaseOf(fleet, job)).toBe('completed');
    const lines = runEndLines(fleet);
    expect(new Set(lines.map(runNameOf)).size).toBe(40);
    expect(lines).toHaveLength(40);
    lines.forEach((line) =>
      expect(line).toMatchObject({ cause: 'reported', detail: 'done', next: 'done' }),
    );
  });

  it('names the runs of an endpoint that the list of hosts shows as gone, with the age of the list', async () => {
    const { fleet, instanceId, endpointId } = await startTwoTasks();
    fleet.faults.hostListMs = 300;
    disconnect(fleet, instanceId);
    fleet.crash(instanceId);
    await advanceTime(4000);
    const goneLines = linesOf(fleet, 'endpoint-gone');
    expect(goneLines).toMatchObject([{ endpoint: endpointId, runs: 2 }]);
    const lines = runEndLines(fleet);
    expect(lines).toHaveLength(2);
    lines.forEach((line) => {
      expect(line).toMatchObject({ cause: 'endpoint-gone', detail: 'host-list', next: 'again' });
      expect(line.ageMs).toBeGreaterThanOrEqual(300);
      expect(line.soleForMs).toBeGreaterThan(0);
      // The runs are given up in the next cycle, a millisecond later.
      expect(Number(line.ageMs) - Number(goneLines[0]?.ageMs)).toBeLessThanOrEqual(1);
    });
  });

  describe('of endpoints that crash while they run a task', () => {
    /** Crashes the endpoint of the only job this many times. */
    const crashRepeatedly = async (times: number): Promise<SimFleet> => {
      const fleet = await createStartedFleet();
      fleet.submit({ pool: 'alpha', steps: [{}], runMs: 30_000 });
      for (let time = 0; time < times; time += 1) {
        await advanceTime(1500);
        fleet.crash(findBusiestEndpoint(fleet).instanceId);
      }
      await advanceTime(1500);
      return fleet;
    };

    it('tells the number of crashes, how they were counted, when the first was, and what is known of the last', async () => {
      const lines = runEndLines(await crashRepeatedly(2));
      expect(lines).toMatchObject([
        {
          crashes: 1,
          countedBy: '1',
          firstAgoMs: 0,
          isConfirmed: true,
          isSoleSuspect: true,
          others: 0,
        },
        { crashes: 2, countedBy: '1,1', isConfirmed: true, isSoleSuspect: true, others: 0 },
      ]);
      expect(lines[0]?.livedMs).toBeGreaterThan(500);
      expect(lines[1]?.firstAgoMs).toBeGreaterThan(1000);
    });

    it('tells for each endpoint whether it crashed by itself', async () => {
      const fleet = await crashRepeatedly(1);
      expect(linesOf(fleet, 'endpoint-gone')).toMatchObject([{ isCrash: true }]);
    });

    it('counts no crash if the host went through maintenance', async () => {
      const fleet = await createStartedFleet({ hostsPerPool: 2 });
      fleet.submit({ pool: 'alpha', steps: [{ isLasting: true, mayMiss: 1 }] });
      await advanceTime(1500);
      fleet.orderWave({
        waveNumber: 1,
        hosts: [findBusiestEndpoint(fleet).hostId],
        withinMs: 20_000,
        maximum: 1,
      });
      await advanceTime(8000);
      expect(fleet.maintained.size).toBe(1);
      linesOf(fleet, 'endpoint-gone').forEach((line) => expect(line.isCrash).toBe(false));
      runEndLines(fleet).forEach((line) => expect(line.crashes).toBeUndefined());
    });
  });

  it('tells which run a task had before it was started again', async () => {
    const { fleet, instanceId } = await startTwoTasks();
    fleet.crash(instanceId);
    await advanceTime(4000);
    const restartLines = linesOf(fleet, 'task-started-again');
    const before = runEndLines(fleet).map(runNameOf);
    expect(restartLines.map(({ task, runBefore }) => `${task}/${runBefore}`)).toEqual(before);
  });

  it('names the runs of an unreachable endpoint when its lease ends', async () => {
    const { fleet, instanceId, endpointId } = await startTwoTasks();
    disconnect(fleet, instanceId);
    await advanceTime(9000);
    expect(linesOf(fleet, 'endpoint-lease-ended')).toMatchObject([{ endpoint: endpointId }]);
    const lines = runEndLines(fleet);
    expect(lines).toHaveLength(2);
    lines.forEach((line) => {
      expect(line).toMatchObject({ endpoint: endpointId, cause: 'lease-over', next: 'again' });
      expect(line.ageMs).toBeGreaterThanOrEqual(0);
      expect(line.ageMs).toBeLessThanOrEqual(100);
      expect(line.silentMs).toBeGreaterThan(6000);
      expect(line.soleForMs).toBeGreaterThan(0);
    });
  });

  it('has no line for an ended run after the control term, but still one for the endpoint that is gone', async () => {
    const { fleet, instanceId, endpointId } = await startTwoTasks();
    fleet.faults.hostListMs = 300;
    disconnect(fleet, instanceId);
    fleet.crash(instanceId);
    await advanceTime(200);
    const term = requireHolder(fleet).control.term();
    await term?.stop();
    await advanceTime(400);
    expect(linesOf(fleet, 'endpoint-gone')).toMatchObject([{ endpoint: endpointId, runs: 2 }]);
    expect(runEndLines(fleet)).toEqual([]);
  });
});
