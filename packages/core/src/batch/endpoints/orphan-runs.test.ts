/** The capacity of runs that an endpoint was ordered to stop although no task of the holder is to run there. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import {
  addEndpoint,
  applyAnswer,
  createStateWithJob,
  FIRST,
  JOB,
  markRowsWritten,
  POOL,
  scheduleAfterWrites,
  SECOND,
  submitJob,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { change } from '../../shared/change.js';
import { cancelJob } from '../jobs/job-lifecycle.js';
import { taskKey, type TaskKey } from '../model/job.js';
import { removeEffects, type BatchState } from '../model/state.js';
import { removeEndpoint } from './gone-endpoints.js';
import { applyStopResponse } from './order-responses.js';
import type { RunningReport } from './endpoint-report.js';
import { isSchedulable } from './schedulable-endpoints.js';
import { handleStalledAndLapsedRuns } from './stalled-runs.js';

const OTHER = brand<JobId>('00000000000000cc');
/** The number of the run that an earlier holder started. */
const FORMER_RUN = 1001;
/** The capacity of an endpoint of the fixtures. */
const ENDPOINT_CPU = 8000;

const listed = (task: TaskKey): RunningReport => ({
  task,
  run: FORMER_RUN,
  checkpoint: '',
  percent: 50,
  figure: 0,
});

/** A new holder whose only job was cancelled, and to which the endpoint lists a run of it. */
const createStateWithOrphan = (): BatchState => {
  const state = createStateWithJob({ isInherited: true });
  addEndpoint(state, FIRST);
  cancelJob(state, JOB, null);
  applyAnswer(state, { running: [listed(TASK)], requestedAtMs: 10, nowMs: 12 });
  return state;
};

const usedCpu = (state: BatchState): number | undefined =>
  state.endpoints.get(FIRST)?.used.cpuMillis;

const countStops = (state: BatchState): number =>
  removeEffects(state).filter(({ kind }) => kind === 'stop').length;

/** Submits a job that needs the whole endpoint, and tells whether it is started. */
const isStarted = (state: BatchState, nowMs: number): boolean => {
  submitJob(state, OTHER, { step: { cpuMillis: ENDPOINT_CPU } });
  scheduleAfterWrites(state, nowMs);
  return state.endpoints.get(FIRST)?.runs.has(taskKey(OTHER, 0, 0, 0)) === true;
};

describe('a run of a cancelled job that an earlier holder started', () => {
  // Guards against starts over the capacity of endpoints that don't guard it.
  it('keeps its capacity until its end is listed', () => {
    const state = createStateWithOrphan();
    expect(isStarted(state, 20)).toBe(false);
    applyAnswer(state, { running: [listed(TASK)], requestedAtMs: 30, nowMs: 32 });
    expect(isStarted(state, 40)).toBe(false);
    const end = { number: 1, task: TASK, run: FORMER_RUN, kind: 'stopped' as const };
    applyAnswer(state, { ended: [{ ...end, checkpoint: '' }], requestedAtMs: 50, nowMs: 52 });
    expect(isStarted(state, 60)).toBe(true);
  });

  it('counts once, however often it is listed', () => {
    const state = createStateWithOrphan();
    const once = usedCpu(state);
    applyAnswer(state, { running: [listed(TASK)], requestedAtMs: 30, nowMs: 32 });
    expect(usedCpu(state)).toBe(once);
    expect(once).toBeGreaterThan(0);
  });

  it('keeps its capacity while rows of the list cannot be read, unless its end is listed', () => {
    const state = createStateWithOrphan();
    const gaps = { hasMoreEnds: true, hasUnreadableRows: true };
    applyAnswer(state, { ...gaps, requestedAtMs: 30, nowMs: 32 });
    expect(usedCpu(state)).toBeGreaterThan(0);
    const end = { number: 1, task: TASK, run: FORMER_RUN, kind: 'stopped' as const };
    const ended = [{ ...end, checkpoint: '' }];
    applyAnswer(state, { ...gaps, ended, requestedAtMs: 50, nowMs: 52 });
    expect(usedCpu(state)).toBe(0);
  });

  it('counts no longer once the lease of its silent endpoint is over', () => {
    const state = createStateWithOrphan();
    const endpoint = state.endpoints.get(FIRST);
    if (endpoint) change(endpoint, { leaseEndsAtMs: 7000 });
    handleStalledAndLapsedRuns(state, 6999);
    expect(usedCpu(state)).toBeGreaterThan(0);
    handleStalledAndLapsedRuns(state, 7000);
    expect(usedCpu(state)).toBe(0);
  });

  it('counts no longer once its endpoint is gone', () => {
    const state = createStateWithOrphan();
    const endpoint = state.endpoints.get(FIRST);
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 40, nowMs: 40 });
    expect(endpoint?.used).toEqual({ cpuMillis: 0, memoryMb: 0, accelerators: 0 });
  });

  it('is ordered to stop again only if the order was not answered, or had no effect for long', () => {
    const state = createStateWithOrphan();
    expect(countStops(state)).toBe(1);
    const listAgain = (atMs: number): number => {
      applyAnswer(state, { running: [listed(TASK)], requestedAtMs: atMs, nowMs: atMs + 2 });
      return countStops(state);
    };
    expect(listAgain(30)).toBe(1);
    applyStopResponse(state, FIRST, TASK, FORMER_RUN, 40);
    expect(listAgain(50)).toBe(0);
    expect(listAgain(3041)).toBe(1);
  });
});

describe('a run of a task that runs elsewhere', () => {
  it('keeps its capacity and counts as a task of its step there', () => {
    const state = createStateWithJob();
    submitJob(state, OTHER, { step: { taskCount: 2, mostPerEndpoint: 1 } });
    addEndpoint(state, FIRST);
    applyAnswer(state, { requestedAtMs: 10, nowMs: 11 });
    scheduleAfterWrites(state, 20);
    addEndpoint(state, SECOND);
    const task = taskKey(OTHER, 0, 0, 0);
    const running = [listed(task)];
    applyAnswer(state, { endpointId: SECOND, running, requestedAtMs: 30, nowMs: 31 });
    expect(state.endpoints.get(SECOND)?.used.cpuMillis).toBeGreaterThan(0);
    scheduleAfterWrites(state, 40);
    expect(state.endpoints.get(SECOND)?.runs.size).toBe(0);
    applyAnswer(state, { endpointId: SECOND, requestedAtMs: 50, nowMs: 51 });
    scheduleAfterWrites(state, 60);
    expect(state.endpoints.get(SECOND)?.runs.size).toBe(1);
    expect(taskOf(state).phase).toBe('placed');
  });
});

describe('a run of a job that is not known', () => {
  const isUsable = (state: BatchState, nowMs: number): boolean => {
    const endpoint = state.endpoints.get(FIRST);
    return endpoint !== undefined && isSchedulable(state, endpoint, nowMs);
  };

  const createStateWithUnknownRun = (name: TaskKey): BatchState => {
    const state = createStateWithJob();
    addEndpoint(state, FIRST);
    applyAnswer(state, { running: [listed(name)], requestedAtMs: 10, nowMs: 12 });
    markRowsWritten(state);
    return state;
  };

  it('keeps its endpoint from new work until its end is listed', () => {
    const state = createStateWithUnknownRun(taskKey(OTHER, 0, 0, 0));
    expect(countStops(state)).toBe(1);
    expect(isUsable(state, 20)).toBe(false);
    applyAnswer(state, { requestedAtMs: 30, nowMs: 32 });
    expect(isUsable(state, 40)).toBe(true);
  });

  it('keeps its endpoint from new work for ten seconds at most, however long it is listed', () => {
    const task = taskKey(OTHER, 0, 0, 0);
    const state = createStateWithUnknownRun(task);
    applyAnswer(state, { running: [listed(task)], requestedAtMs: 9000, nowMs: 9002 });
    expect(isUsable(state, 10_011)).toBe(false);
    expect(isUsable(state, 10_012)).toBe(true);
  });

  it('keeps no endpoint from new work if its name is that of no task', () => {
    const state = createStateWithUnknownRun(brand<TaskKey>('no-task'));
    expect(isUsable(state, 20)).toBe(true);
    expect(state.pools.get(POOL)).toBeDefined();
  });
});
