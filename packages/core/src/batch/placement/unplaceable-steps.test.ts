/** A step whose capacity is free, behind steps that no endpoint can hold. */
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import { createBatchState, type BatchState } from '../model/state.js';
import {
  addEndpoint,
  applyAnswer,
  FIRST,
  JOB,
  POOL,
  submitJob,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { endpointsOf, schedulePool } from './schedule.js';

/** As many steps as one scheduling pass tries without success. */
const UNPLACEABLE_STEPS = 40;
const DURATION_MS = 10_000;
const REPORT_INTERVAL_MS = 500;

const unplaceableJob = (index: number): JobId => brand<JobId>(`f${`${index}`.padStart(15, '0')}`);

const createStateWithUnplaceableSteps = (): BatchState => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: 0, nowMs: 1 });
  Array.from({ length: UNPLACEABLE_STEPS }, (_, index) => unplaceableJob(index)).forEach((jobId) =>
    submitJob(state, jobId, { step: { requiredLabel: 'none-has-it' }, nowMs: 1 }),
  );
  submitJob(state, JOB, { nowMs: 2 });
  return state;
};

describe('a step that an endpoint has capacity for', () => {
  it.each([10, 30, 100])(
    'is not starved by older steps that no endpoint can hold, with a scheduling pass each %i ms',
    (passIntervalMs) => {
      const state = createStateWithUnplaceableSteps();
      for (let nowMs = 10; nowMs < DURATION_MS; nowMs += passIntervalMs) {
        if (nowMs % REPORT_INTERVAL_MS < passIntervalMs)
          applyAnswer(state, { requestedAtMs: nowMs - 1, nowMs });
        schedulePool(state, POOL, nowMs);
      }
      expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
    },
  );
});
