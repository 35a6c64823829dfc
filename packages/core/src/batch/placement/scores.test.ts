/** Where tasks of short steps go by each policy of placement. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type JobId } from '../../shared/ids.js';
import type { StepSpec } from '../model/job.js';
import { isPlacementPolicy, type PlacementPolicy } from '../model/placement-policy.js';
import { createBatchState, type BatchState, type EndpointState } from '../model/state.js';
import { POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { seeFleet, type RackedFleet } from '../testing/domains.fixtures.js';
import { schedulePool } from './schedule.js';

const FLEET: RackedFleet = { racks: 4, hostsPerRack: 2, dataCentres: 2 };

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const place = (
  placementPolicy: PlacementPolicy,
  fleet: RackedFleet = FLEET,
): {
  readonly state: BatchState;
  readonly endpoints: readonly EndpointState[];
  readonly submit: (number: number, step: Partial<StepSpec>) => readonly number[];
} => {
  const state = createBatchState(2);
  change(state, { placementPolicy });
  const endpoints = seeFleet(state, fleet);
  const submit = (number: number, step: Partial<StepSpec>): readonly number[] => {
    submitJob(state, jobIdOf(number), { step });
    schedulePool(state, POOL, 20);
    return endpoints.map(
      ({ runs }) =>
        Array.from(runs.values()).filter(({ step: { job } }) => job.job.jobId === jobIdOf(number))
          .length,
    );
  };
  return { state, endpoints, submit };
};

describe('the policy of placement of short steps', () => {
  it('is the fullest endpoint if nothing else is chosen', () => {
    expect(createBatchState(2).placementPolicy).toBe('fullest');
    const { submit } = place('fullest');
    expect(submit(1, { taskCount: 4 })).toEqual([4, 0, 0, 0, 0, 0, 0, 0]);
  });

  it('accepts its three names only', () => {
    expect(['fullest', 'spread', 'together', '', 'Spread'].map(isPlacementPolicy)).toEqual([
      true,
      true,
      true,
      false,
      false,
    ]);
  });

  describe('spread', () => {
    it('places the tasks of a step evenly over racks, on the fullest endpoint of each', () => {
      const { submit } = place('spread');
      expect(submit(1, { taskCount: 8 })).toEqual([2, 0, 2, 0, 2, 0, 2, 0]);
    });

    it('goes elsewhere than where a task has failed', () => {
      const { state, endpoints } = place('spread', { racks: 2, hostsPerRack: 1 });
      submitJob(state, jobIdOf(1), { step: { taskCount: 2 } });
      state.jobs
        .get(jobIdOf(1))
        ?.occurrences.get(0)
        ?.steps[0]?.tasks.forEach((task) =>
          change(task, { avoid: endpoints[0]?.endpointId ?? null }),
        );
      schedulePool(state, POOL, 20);
      expect(endpoints.map(({ runs }) => runs.size)).toEqual([0, 2]);
    });

    it('is as the fullest endpoint where no endpoint has a rack', () => {
      const { submit } = place('spread', { ...FLEET, hasRacks: false });
      expect(submit(1, { taskCount: 10 })).toEqual([8, 2, 0, 0, 0, 0, 0, 0]);
    });
  });

  describe('together', () => {
    /** Another job fills each first host of a rack but for so many cores. */
    const beside = (cores: number) => {
      const placed = place('together');
      [0, 2, 4, 6].forEach((index) => {
        const endpoint = placed.endpoints[index];
        if (endpoint) change(endpoint.used, { cpuMillis: 8000 - cores * 1000 });
      });
      return placed;
    };

    it('places tasks on a host, then in a rack, where tasks of the job stand', () => {
      // By fullness the job would stand on all four hosts that are nearly full, in four racks.
      expect(beside(2).submit(1, { taskCount: 4 })).toEqual([2, 2, 0, 0, 0, 0, 0, 0]);
    });

    it('follows the job, not the step: a second step stands where the first does', () => {
      const { state, endpoints } = beside(2);
      const step = { taskCount: 1 };
      submitJob(state, jobIdOf(1), { step });
      submitJob(state, jobIdOf(2), { step });
      const [first, second] = [1, 2].map(
        (number) => state.jobs.get(jobIdOf(number))?.occurrences.get(0)?.steps[0],
      );
      if (!first || !second) throw new Error('there is no step');
      second.perEndpoint.set(endpoints[7]?.endpointId ?? brand(''), 1);
      first.occurrence.steps.push(second);
      schedulePool(state, POOL, 20);
      expect(endpoints[7]?.runs.size).toBe(2);
    });

    it('counts another job for nothing', () => {
      const { submit } = beside(1);
      expect(submit(1, { taskCount: 1 })).toEqual([1, 0, 0, 0, 0, 0, 0, 0]);
      expect(submit(2, { taskCount: 1 })).toEqual([0, 0, 1, 0, 0, 0, 0, 0]);
    });
  });

  it('says nothing of long-running steps', () => {
    const { submit } = place('together');
    expect(submit(1, { taskCount: 4, isLasting: true })).toEqual([1, 0, 1, 0, 1, 0, 1, 0]);
  });
});
