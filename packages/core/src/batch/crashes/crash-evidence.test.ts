/** Tests on what counted crashes rest, and which of them may fail a job. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type EndpointId, type JobId } from '../../shared/ids.js';
import {
  addEndpoint,
  applyAnswer,
  FIRST,
  markRowsWritten,
  POOL,
  scheduleAfterWrites,
  SECOND,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { addPendingReports } from '../endpoints/endpoints.js';
import { giveUpRunsOfGoneEndpoints, removeEndpoint } from '../endpoints/gone-endpoints.js';
import { applyStartOutcome } from '../endpoints/order-responses.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { buildProgressRow, restoreJob } from '../jobs/progress.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, type BatchState, type JobState, type Task } from '../model/state.js';

const SUSPECT = brand<JobId>('00000000000000a1');
const THIRD = brand<EndpointId>('i-0000000003');

const jobOf = (state: BatchState): JobState => state.jobs.get(SUSPECT) as JobState;
const taskOf = (state: BatchState): Task =>
  jobOf(state).occurrences.get(0)?.steps[0]?.tasks[0] as Task;

/** Has an endpoint answer that it runs what it was ordered to. */
const reportRunning = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
  const running = runs.map(({ task, run }) => ({
    task: task.key,
    run,
    checkpoint: '',
    percent: 1,
    figure: 0,
  }));
  applyAnswer(state, { endpointId, running, requestedAtMs: nowMs - 1, nowMs });
};

const crash = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 10, nowMs });
  giveUpRunsOfGoneEndpoints(state, nowMs);
};

/** A holder that has announced and ordered the second start of a task, on one of two endpoints. */
const orderAnnouncedStart = (): { state: BatchState; endpointId: EndpointId } => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  reportRunning(state, FIRST, 10);
  submitJob(state, SUSPECT, { nowMs: 20 });
  schedulePool(state, POOL, 20);
  [SECOND, THIRD].forEach((endpointId) => {
    addEndpoint(state, endpointId, 25);
    reportRunning(state, endpointId, 30);
  });
  crash(state, FIRST, 1000);
  scheduleAfterWrites(state, 1010);
  return { state, endpointId: taskOf(state).trial?.endpointId as EndpointId };
};

/** The next holder, which has read the job's row and has heard all endpoints but the one of the announced start. */
const takeOver = (before: BatchState, endpointId: EndpointId): BatchState => {
  const { job, policy } = jobOf(before);
  const progress = buildProgressRow(jobOf(before));
  const state = createBatchState(3);
  restoreJob(state, { job, policy, progress, nowMs: 2000, wallClockMs: 2000 });
  [SECOND, THIRD]
    .filter((other) => other !== endpointId)
    .forEach((other) => {
      addEndpoint(state, other, 2000);
      reportRunning(state, other, 2010);
    });
  return state;
};

const confirmStart = (state: BatchState, endpointId: EndpointId): void => {
  const { key, lastRun } = taskOf(state);
  const started = { task: key, run: lastRun, outcome: 'started' as const, nowMs: 1015 };
  applyStartOutcome(state, endpointId, started);
  markRowsWritten(state);
};

describe('an announced start of a holder that was lost', () => {
  it('counts as a sighted crash if its run was seen and its endpoint is gone', () => {
    const { state: before, endpointId } = orderAnnouncedStart();
    confirmStart(before, endpointId);
    const state = takeOver(before, endpointId);
    scheduleAfterWrites(state, 2020);
    expect(taskOf(state).crashes.at(-1)).toMatchObject({
      run: 2002,
      basis: 'sighted',
      isConfirmed: true,
      isSoleSuspect: false,
    });
  });

  it('is only a supposed crash if its run was not seen', () => {
    const { state: before, endpointId } = orderAnnouncedStart();
    const state = takeOver(before, endpointId);
    scheduleAfterWrites(state, 2020);
    expect(taskOf(state).crashes.at(-1)).toMatchObject({ basis: 'announced', isConfirmed: false });
  });

  it('is only a supposed crash if its endpoint may be unreachable', () => {
    const { state: before, endpointId } = orderAnnouncedStart();
    confirmStart(before, endpointId);
    const state = takeOver(before, endpointId);
    addPendingReports(state, [{ instanceId: instanceIdOf(endpointId), pool: POOL }]);
    change(state, { inheritedLeasesEndAtMs: 2015 });
    scheduleAfterWrites(state, 2020);
    expect(taskOf(state).crashes.at(-1)).toMatchObject({ basis: 'announced', isConfirmed: false });
  });
});
