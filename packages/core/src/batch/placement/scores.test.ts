/** Where each placement policy places the tasks of short steps. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type JobId } from '../../shared/ids.js';
import type { StepSpec } from '../model/job.js';
import { isPlacementPolicy, type PlacementPolicy } from '../model/placement-policy.js';
import { createBatchState, type BatchState, type EndpointState } from '../model/state.js';
import { POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { addFleet, type RackedFleet } from '../testing/domains.fixtures.js';
import { schedulePool } from './schedule.js';

const FLEET: RackedFleet = { racks: 4, hostsPerRack: 2, dataCentres: 2 };

const jobIdOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

const setUp = (
  placementPolicy: PlacementPolicy,
  fleet: RackedFleet = FLEET,
): {
  readonly state: BatchState;
  readonly endpoints: readonly EndpointState[];
  readonly submit: (number: number, step: Partial<StepSpec>) => readonly number[];
} => {
  const state = createBatchState(2);
  change(state, { placementPolicy });
  const endpoints = addFleet(state, fleet);
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

describe('the placement policy of short steps', () => {
  it('prefers the fullest endpoint by default', () => {
    expect(createBatchState(2).placementPolicy).toBe('fullest');
    const { submit } = setUp('fullest');
    expect(submit(1, { taskCount: 4 })).toEqual([4, 0, 0, 0, 0, 0, 0, 0]);
  });

  it('accepts only its three names', () => {
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
      const { submit } = setUp('spread');
      expect(submit(1, { taskCount: 8 })).toEqual([2, 0, 2, 0, 2, 0, 2, 0]);
    });

    it('avoids the endpoint on which a task has failed', () => {
      const { state, endpoints } = setUp('spread', { racks: 2, hostsPerRack: 1 });
      submitJob(state, jobIdOf(1), { step: { taskCount: 2 } });
      state.jobs
        .get(jobIdOf(1))
        ?.occurrences.get(0)
        ?.steps[0]?.tasks.all()
        .forEach((task) => change(task, { avoidedEndpoint: endpoints[0]?.endpointId ?? null }));
      schedulePool(state, POOL, 20);
      expect(endpoints.map(({ runs }) => runs.size)).toEqual([0, 2]);
    });

    it('places on the fullest endpoint if no endpoint has a rack', () => {
      const { submit } = setUp('spread', { ...FLEET, hasRacks: false });
      expect(submit(1, { taskCount: 10 })).toEqual([8, 2, 0, 0, 0, 0, 0, 0]);
    });
  });

  describe('together', () => {
    /** Fills the first host of each rack except for this many cores. */
    const setUpWithFreeCores = (freeCores: number) => {
      const fixture = setUp('together');
      [0, 2, 4, 6].forEach((index) => {
        const endpoint = fixture.endpoints[index];
        if (endpoint) change(endpoint.used, { cpuMillis: 8000 - freeCores * 1000 });
      });
      return fixture;
    };

    it('prefers hosts, then racks, that hold tasks of the same job', () => {
      // By fullness alone the job would be placed on the four nearly full hosts, in four racks.
      expect(setUpWithFreeCores(2).submit(1, { taskCount: 4 })).toEqual([2, 2, 0, 0, 0, 0, 0, 0]);
    });

    it('places tasks beside other steps of the same job, not only beside their own step', () => {
      const { state, endpoints } = setUpWithFreeCores(2);
      const step = { taskCount: 1 };
      submitJob(state, jobIdOf(1), { step });
      submitJob(state, jobIdOf(2), { step });
      const [first, second] = [1, 2].map(
        (number) => state.jobs.get(jobIdOf(number))?.occurrences.get(0)?.steps[0],
      );
      if (!first || !second) throw new Error('the submitted jobs have no first step');
      second.perEndpoint.set(endpoints[7]?.endpointId ?? brand(''), 1);
      first.occurrence.steps.push(second);
      schedulePool(state, POOL, 20);
      expect(endpoints[7]?.runs.size).toBe(2);
    });

    it('gives no preference to endpoints that hold tasks of another job', () => {
      const { submit } = setUpWithFreeCores(1);
      expect(submit(1, { taskCount: 1 })).toEqual([1, 0, 0, 0, 0, 0, 0, 0]);
      expect(submit(2, { taskCount: 1 })).toEqual([0, 0, 1, 0, 0, 0, 0, 0]);
    });
  });

  it('does not affect the placement of long-running steps', () => {
    const { submit } = setUp('together');
    expect(submit(1, { taskCount: 4, isLasting: true })).toEqual([1, 0, 1, 0, 1, 0, 1, 0]);
  });
});
