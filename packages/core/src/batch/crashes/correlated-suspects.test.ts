/** Tests on endpoints that crash at once while each runs a task with a supposed crash: no task is the cause of all. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type EndpointId, type JobId } from '../../shared/ids.js';
import {
  addEndpoint,
  applyAnswer,
  scheduleAfterWrites,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { giveUpRunsOfGoneEndpoints, removeEndpoint } from '../endpoints/gone-endpoints.js';
import { createBatchState, type BatchState, type EndpointCrash } from '../model/state.js';

const ENDPOINTS = [1, 2, 3, 4, 5, 6, 7, 8].map((index) => brand<EndpointId>(`i-000000000${index}`));
const JOBS = ['b1', 'b2', 'b3'].map((end) => brand<JobId>(`00000000000000${end}`));
const STARTED_AT_MS = 20_000;

const SUPPOSED_CRASH: EndpointCrash = {
  run: 1001,
  livedMs: 0,
  isKnown: false,
  isConfirmed: false,
  isSuspected: true,
  isSoleSuspect: true,
  isCorrelated: false,
  fence: 1,
  countedAtMs: 0,
};

const taskOf = (state: BatchState, jobId: JobId) => {
  const task = state.jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.tasks.at(0);
  if (!task) throw new Error('no such task');
  return task;
};

const hear = (state: BatchState, nowMs: number): void =>
  ENDPOINTS.filter((id) => state.endpoints.has(id)).forEach((endpointId) => {
    const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
    const running = runs.map(({ task, run }) => ({
      task: task.key,
      run,
      checkpoint: '',
      percent: 1,
      figure: 0,
    }));
    applyAnswer(state, { endpointId, running, requestedAtMs: nowMs - 1, nowMs });
  });

/** Three endpoints crash at once, each with one task, under which an endpoint may have crashed before. */
const crashThreeAtOnce = (crashes: readonly EndpointCrash[]): readonly EndpointCrash[] => {
  const state = createBatchState(2);
  change(state, { takenOverAtMs: 0 });
  ENDPOINTS.forEach((id) => addEndpoint(state, id));
  hear(state, 10);
  JOBS.forEach((jobId) => {
    submitJob(state, jobId, { nowMs: STARTED_AT_MS, step: { cpuMillis: 8000 } });
    change(taskOf(state, jobId), { crashes });
    const job = state.jobs.get(jobId);
    if (job) state.suspectJobs.add(job);
  });
  hear(state, STARTED_AT_MS - 1);
  scheduleAfterWrites(state, STARTED_AT_MS);
  hear(state, STARTED_AT_MS + 10);
  const busy = ENDPOINTS.filter((id) => (state.endpoints.get(id)?.runs.size ?? 0) > 0);
  expect(busy).toHaveLength(JOBS.length);
  const atMs = STARTED_AT_MS + 100;
  busy.forEach((id) => removeEndpoint(state, id, { detail: 'host-list', atMs, nowMs: atMs }));
  giveUpRunsOfGoneEndpoints(state, atMs);
  return JOBS.flatMap((jobId) => taskOf(state, jobId).crashes.slice(-1));
};

describe('three endpoints that crash at once, each with one task', () => {
  it('are correlated if no endpoint has crashed under their tasks', () => {
    expect(crashThreeAtOnce([]).map(({ isCorrelated }) => isCorrelated)).toEqual([
      true,
      true,
      true,
    ]);
  });

  it('are correlated if endpoints are only supposed to have crashed under their tasks', () => {
    const counted = crashThreeAtOnce([SUPPOSED_CRASH]);
    expect(counted.map(({ isCorrelated }) => isCorrelated)).toEqual([true, true, true]);
  });
});
