/** How the tasks of long-running steps are spread over racks and data centres to limit what the loss of one stops. */
import { describe, expect, it } from 'vitest';

import { brand, type DomainId, type JobId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { createBatchState, type BatchState, type StepRun } from '../model/state.js';
import type { StepSpec } from '../model/job.js';
import { schedulePool } from '../placement/schedule.js';
import { applyAnswer, POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { addEndpointAt, addFleet } from '../testing/domains.fixtures.js';
import { describeSpread } from './spread.js';

const JOB_ID = brand<JobId>('00000000000000bb');
const OTHER_ID = brand<JobId>('00000000000000cc');

const LONG_RUNNING: Partial<StepSpec> = {
  taskCount: 24,
  isLasting: true,
  mayMiss: 2,
  cpuMillis: 1000,
};

const stepOf = (state: BatchState, jobId = JOB_ID): StepRun => {
  const step = state.jobs.get(jobId)?.occurrences.get(0)?.steps[0];
  if (!step) throw new Error('the job has no step');
  return step;
};

const submit = (state: BatchState, step: Partial<StepSpec> = {}, jobId = JOB_ID): void => {
  submitJob(state, jobId, { step: { ...LONG_RUNNING, ...step } });
  schedulePool(state, POOL, 20);
};

/** Counts the tasks of the step per rack or data centre, in the order in which the endpoints were seen. */
const countBy = (
  state: BatchState,
  key: 'rack' | 'dataCentre',
  step = stepOf(state),
): readonly number[] => {
  const counts = new Map<DomainId | null, number>();
  state.endpoints.forEach(({ runs, domains }) => {
    const tasksHere = Array.from(runs.values()).filter((run) => run.step === step).length;
    counts.set(domains[key], (counts.get(domains[key]) ?? 0) + tasksHere);
  });
  return Array.from(counts.values());
};

describe('the tasks of a long-running step', () => {
  it('are spread evenly over racks and data centres, so that the loss of one stops only its share of them', () => {
    // Without spreading, tasks are packed: the fullest endpoint gets eight tasks, and a single rack gets all of them.
    const state = createBatchState(2);
    addFleet(state, { racks: 12, hostsPerRack: 5, dataCentres: 4 });
    submit(state);
    expect(countBy(state, 'rack')).toEqual(Array.from({ length: 12 }, () => 2));
    expect(countBy(state, 'dataCentre')).toEqual([6, 6, 6, 6]);
  });

  it('go to the data centre with the fewest of them, among racks with equally many', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 9, hostsPerRack: 2, dataCentres: 3 });
    submit(state, { taskCount: 3 });
    expect(countBy(state, 'dataCentre')).toEqual([1, 1, 1]);
  });

  it('are placed again, after all hosts of a rack are gone, in the racks with the fewest of them', () => {
    const state = createBatchState(2);
    const endpoints = addFleet(state, { racks: 4, hostsPerRack: 4, dataCentres: 2 });
    submit(state, { taskCount: 8 });
    endpoints.slice(0, 4).forEach(({ endpointId }) => {
      removeEndpoint(state, endpointId, { detail: 'host-ordered', atMs: 30, nowMs: 30 });
    });
    giveUpRunsOfGoneEndpoints(state, 40);
    schedulePool(state, POOL, 50);
    expect(Array.from(countBy(state, 'rack')).sort()).toEqual([2, 3, 3]);
    expect(state.domains.size).toBe(5);
  });

  it('do not start on an endpoint on which they have failed, even if that would spread them better', () => {
    const state = createBatchState(2);
    const [first] = addFleet(state, { racks: 2, hostsPerRack: 1 });
    submitJob(state, JOB_ID, { step: { ...LONG_RUNNING, taskCount: 2 } });
    stepOf(state)
      .tasks.all()
      .forEach((task) => change(task, { avoidedEndpoint: first?.endpointId ?? null }));
    schedulePool(state, POOL, 20);
    expect(countBy(state, 'rack')).toEqual([0, 2]);
  });

  it('do not start on endpoints whose hosts await maintenance, even if that would spread them better', () => {
    const state = createBatchState(2);
    const endpoints = addFleet(state, { racks: 2, hostsPerRack: 2 });
    endpoints.slice(0, 2).forEach((endpoint) => change(endpoint, { hasMaintenanceAhead: true }));
    submit(state, { taskCount: 4 });
    expect(countBy(state, 'rack')).toEqual([0, 4]);
  });

  it('prefer a rack without a task of the step over an endpoint near their data', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 2, hostsPerRack: 2 });
    submit(state, { taskCount: 4, nearRack: 'rack-0' });
    expect(countBy(state, 'rack')).toEqual([2, 2]);
  });

  it('are spread over racks with the same label in two data centres as over two racks', () => {
    const state = createBatchState(2);
    ['dc-0', 'dc-1'].forEach((dataCentre, number) => {
      const { endpointId } = addEndpointAt(state, { number, dataCentre, rack: 'rack-0' });
      applyAnswer(state, { endpointId, requestedAtMs: 5, nowMs: 10 });
    });
    submit(state, { taskCount: 2 });
    expect(countBy(state, 'rack')).toEqual([1, 1]);
  });
});

describe('placements that spreading must not change', () => {
  const tasksPerEndpoint = (
    state: BatchState,
    jobId = JOB_ID,
  ): readonly (readonly [string, number])[] => Array.from(stepOf(state, jobId).perEndpoint).sort();

  it('places long-running tasks on the fullest endpoint if the endpoints have no rack', () => {
    // Endpoints without a rack label may still be in different data centres.
    const state = createBatchState(2);
    addFleet(state, { racks: 4, hostsPerRack: 2, dataCentres: 2, hasRacks: false });
    submit(state, { taskCount: 10 });
    expect(tasksPerEndpoint(state)).toEqual([
      ['i-0000000000', 8],
      ['i-0000000001', 2],
    ]);
  });

  it('places tasks of short steps on the fullest endpoint, even if the endpoints have racks', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 4, hostsPerRack: 2, dataCentres: 2 });
    submit(state, { taskCount: 10, isLasting: false });
    expect(tasksPerEndpoint(state)).toEqual([
      ['i-0000000000', 8],
      ['i-0000000001', 2],
    ]);
  });

  it('spreads each long-running step by the counts of its own tasks only', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 4, hostsPerRack: 2 });
    submit(state, { taskCount: 4 });
    submit(state, { taskCount: 4 }, OTHER_ID);
    expect(countBy(state, 'rack', stepOf(state, OTHER_ID))).toEqual([1, 1, 1, 1]);
  });
});

describe('describeSpread', () => {
  it('names the domains whose loss would stop the most tasks', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 12, hostsPerRack: 5, dataCentres: 4 });
    submit(state, { mayMiss: 6 });
    expect(describeSpread(state, stepOf(state))).toBe(
      'over 12 racks, at most 2 in one (dc-0/rack-0); over 4 data centres, at most 6 in one (dc-0)',
    );
  });

  it('reports that no spread could keep the loss of one domain within the disruption budget', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 12, hostsPerRack: 5, dataCentres: 4 });
    submit(state);
    expect(describeSpread(state, stepOf(state))).toContain(
      'over 4 data centres, at most 6 in one (dc-0), and 2 may be missed: 4 data centres are too few for that',
    );
  });

  it('is empty for short steps', () => {
    const state = createBatchState(2);
    addFleet(state, { racks: 2, hostsPerRack: 2 });
    submit(state, { isLasting: false });
    expect(describeSpread(state, stepOf(state))).toBe('');
  });
});
