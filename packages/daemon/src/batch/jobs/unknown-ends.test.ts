/** Guards against runs whose ends this build cannot read: they were never acknowledged, or counted as failures. */
import type { SimulatedEndpoint, TaskKey } from '@valvelatch/core/batch';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import {
  advanceTime,
  createStartedFleet,
  FAKED_TIMERS,
  phaseOf,
  requireHolder,
} from '../testing/virtual-time.fixtures.js';

/** One more than the attempts that a task has. */
const UNKNOWN_ENDS = 4;
const RUN_MS = 3000;
/** Longer than a job takes to start, and a task to start again after its run was stopped. */
const MAX_WAIT_MS = 5000;
const POLL_MS = 50;

const endpointsOf = (fleet: SimFleet): readonly SimulatedEndpoint[] =>
  Array.from(fleet.endpoints.values());

/** Has an endpoint list the ends of runs that were stopped as ends of an unknown kind. */
const hideStops = (endpoint: SimulatedEndpoint): void => {
  const { list } = endpoint;
  Object.assign(endpoint, {
    list: async (order: Parameters<SimulatedEndpoint['list']>[0]) =>
      (await list(order)).map((answer) => ({
        ...answer,
        ended: answer.ended.map((end) =>
          end.kind === 'stopped' ? { ...end, kind: 'unknown' as const } : end,
        ),
      })),
  });
};

const findRuns = (fleet: SimFleet) =>
  endpointsOf(fleet).flatMap((endpoint) =>
    Array.from(endpoint.runs.values(), (run) => ({ endpoint, ...run })),
  );

/** Waits until a task runs, ends the run without an order of its holder, and returns the task. */
const endNextRun = async (fleet: SimFleet): Promise<TaskKey | undefined> => {
  const isRunning = (): boolean => findRuns(fleet).some(({ isStopping }) => !isStopping);
  for (let ms = 0; ms < MAX_WAIT_MS && !isRunning(); ms += POLL_MS) await advanceTime(POLL_MS);
  const fence = requireHolder(fleet).control.term()?.state.fence ?? 0;
  const [one] = findRuns(fleet).filter(({ isStopping }) => !isStopping);
  if (one) one.endpoint.stop({ fence, task: one.task, run: one.run });
  return one?.task;
};

/** Counts the ends that endpoints keep because no holder has acknowledged them. */
const countUnacknowledged = async (fleet: SimFleet): Promise<number> => {
  const fence = requireHolder(fleet).control.term()?.state.fence ?? 0;
  const answers = await Promise.all(
    endpointsOf(fleet).map((one) => one.list({ fence, acknowledged: 0, waitMs: 0 })),
  );
  return answers.flatMap((answer) => answer.unwrap().ended).length;
};

describe('a task whose runs end in a way that this build cannot read', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('runs again until it is done, and each of these ends is acknowledged', async () => {
    const fleet = await createStartedFleet();
    endpointsOf(fleet).forEach(hideStops);
    const job = fleet.submit({ pool: 'alpha', steps: [{ taskCount: 1 }], runMs: RUN_MS });
    for (let count = 0; count < UNKNOWN_ENDS; count += 1) {
      expect(await endNextRun(fleet)).toBe(`${job}.0.0.0`);
    }
    expect(phaseOf(fleet, job)).toBe('live');
    await advanceTime(RUN_MS + MAX_WAIT_MS);
    expect(phaseOf(fleet, job)).toBe('completed');
    expect(await countUnacknowledged(fleet)).toBe(0);
    expect(fleet.violations).toEqual([]);
  });
});
