/** Which orders to stop a run are sent again. */
import { describe, expect, it } from 'vitest';

import {
  addEndpoint,
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { brand, type EndpointId, type JobId } from '../../shared/ids.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, type BatchState, type EndpointState } from '../model/state.js';
import { applyStopResponse } from './order-responses.js';
import { stopRun } from './runs.js';
import { listRunsToStopAgain } from './runs-to-stop-again.js';

const LONG_RUNNING = brand<JobId>('00000000000000c3');

describe('an order to stop a run of a long-running step', () => {
  const endpointOf = (state: BatchState, endpointId: EndpointId): EndpointState => {
    const endpoint = state.endpoints.get(endpointId);
    if (!endpoint) throw new Error('the endpoint is not known');
    return endpoint;
  };

  /** Has an endpoint list its runs as running, with this progress; at 100 percent they are ready. */
  const report = (
    state: BatchState,
    endpointId: EndpointId,
    percent: number,
    nowMs: number,
  ): void => {
    const running = Array.from(endpointOf(state, endpointId).runs.values(), ({ task, run }) => ({
      task: task.key,
      run,
      checkpoint: '',
      percent,
      figure: 0,
    }));
    applyAnswer(state, { endpointId, running, requestedAtMs: nowMs - 1, nowMs });
  };

  /** Two endpoints run one task each, and one task may be missing. The first is to be stopped. */
  const createStateWithRunToStop = (): BatchState => {
    const state = createBatchState(2);
    [FIRST, SECOND].forEach((endpointId) => {
      addEndpoint(state, endpointId);
      report(state, endpointId, 100, 10);
    });
    const step = { taskCount: 2, isLasting: true, mostPerEndpoint: 1, mayMiss: 1 };
    submitJob(state, LONG_RUNNING, { step });
    schedulePool(state, POOL, 20);
    Object.assign(state, { clockMs: 100 });
    [FIRST, SECOND].forEach((endpointId) => report(state, endpointId, 100, 100));
    const endpoint = endpointOf(state, FIRST);
    endpoint.runs.forEach((run) => stopRun(state, endpoint, run, 'moved'));
    return state;
  };

  const countAgain = (state: BatchState): number =>
    listRunsToStopAgain(state, endpointOf(state, FIRST)).length;

  it('is sent again while the other tasks are ready', () => {
    expect(countAgain(createStateWithRunToStop())).toBe(1);
  });

  it('is not sent again while another task is not ready and no further one may be missing', () => {
    const state = createStateWithRunToStop();
    Object.assign(endpointOf(state, SECOND).runs.values().next().value ?? {}, { percent: 50 });
    expect(countAgain(state)).toBe(0);
  });

  it('is sent again if the run is still listed long after the answer', () => {
    const state = createStateWithRunToStop();
    endpointOf(state, FIRST).runs.forEach(({ task, run }) =>
      applyStopResponse(state, FIRST, task.key, run, 200),
    );
    expect(countAgain(state)).toBe(0);
    Object.assign(state, { clockMs: 4000 });
    [FIRST, SECOND].forEach((endpointId) => report(state, endpointId, 100, 4000));
    expect(countAgain(state)).toBe(1);
  });
});
