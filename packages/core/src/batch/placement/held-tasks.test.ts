/** What operators are told about tasks that do not begin although there is capacity for them. */
import { beforeEach, describe, expect, it } from 'vitest';

import {
  addEndpoint,
  applyAnswer,
  createStateWithJob,
  FIRST,
  FIRST_RUN,
  JOB,
  POOL,
  SECOND,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { change } from '../../shared/change.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import { applyStartOutcome, applyStopResponse } from '../endpoints/order-responses.js';
import { recordStartSent } from '../endpoints/unanswered-starts.js';
import type { BatchState, EndpointCrash } from '../model/state.js';
import { listHeldTasks } from './held-tasks.js';
import { schedulePool } from './schedule.js';

const START = { task: TASK, run: FIRST_RUN };
const CRASH: EndpointCrash = {
  run: FIRST_RUN - 1,
  livedMs: 0,
  isKnown: true,
  isConfirmed: true,
  isSuspected: true,
  isSoleSuspect: true,
  isCorrelated: false,
  fence: 2,
  countedAtMs: 0,
};

describe('a task that does not begin', () => {
  let state: BatchState;

  const listReasons = (nowMs: number): readonly string[] =>
    listHeldTasks(state, nowMs).map(({ reason }) => reason);

  beforeEach(() => {
    state = createStateWithJob();
    addEndpoint(state, FIRST);
    applyAnswer(state, { endpointId: FIRST, requestedAtMs: 9, nowMs: 10 });
    addEndpoint(state, SECOND);
  });

  it('is not listed while no endpoint has capacity for it', () => {
    const endpoint = state.endpoints.get(FIRST);
    if (endpoint) change(endpoint, { isDraining: true });
    expect(listReasons(20)).toEqual([]);
  });

  it('is listed as waiting for its order while an endpoint has capacity', () => {
    expect(listHeldTasks(state, 20)).toEqual([{ task: TASK, pool: POOL, reason: 'order' }]);
  });

  it('is listed while its crash record is not written, and then while it needs an endpoint of its own', () => {
    const job = state.jobs.get(JOB);
    if (!job) throw new Error('the job is not known');
    change(taskOf(state), { crashes: [CRASH] });
    state.suspectJobs.add(job);
    change(job, { crashRecordRevision: 1 });
    expect(listReasons(20)).toEqual(['crash-record-unwritten']);
    change(job, { writtenCrashRecordRevision: 1 });
    expect(listReasons(20)).toEqual(['isolation']);
  });

  describe('once its start was ordered', () => {
    beforeEach(() => {
      schedulePool(state, POOL, 20);
      recordStartSent(state, FIRST, START, 20);
    });

    it('is listed while the order is not answered, and not once the run is confirmed', () => {
      expect(listHeldTasks(state, 30)).toEqual([
        { task: TASK, pool: POOL, reason: 'start-unanswered', run: FIRST_RUN, endpointId: FIRST },
      ]);
      applyStartOutcome(state, FIRST, { ...START, outcome: 'started', nowMs: 40 });
      expect(listReasons(50)).toEqual([]);
    });

    it('is listed while the order to stop it is not answered, or its end is not listed', () => {
      applyStartOutcome(state, FIRST, { ...START, outcome: 'unknown', nowMs: 40 });
      expect(listReasons(50)).toEqual(['stop-unanswered']);
      applyStopResponse(state, FIRST, TASK, FIRST_RUN, 60);
      expect(listReasons(70)).toEqual(['stop-answered']);
    });

    it('is listed while its endpoint is gone and may still start it', () => {
      removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 40, nowMs: 50 });
      expect(listReasons(60)).toEqual(['gone-start-in-transit']);
    });

    it('is listed if no endpoint has its run', () => {
      state.endpoints.get(FIRST)?.runs.clear();
      const [job] = state.jobs.values();
      expect(job?.phase).toBe('running');
      expect(listReasons(60)).toEqual(['no-run']);
    });
  });
});
