/**
 * Guards against starting an occurrence too early: an endpoint reports a completed task of an occurrence that an
 * earlier control holder started by a clock that was ahead, and that is not due yet by the clock of this one.
 */
import { describe, expect, it } from 'vitest';

import { brand } from '../../shared/ids.js';
import {
  applyAnswer,
  FIRST,
  JOB,
  addEndpoint,
  createStateWithJob,
} from '../testing/batch-state.fixtures.js';
import { taskKey } from '../model/job.js';
import { addJob } from './job-lifecycle.js';
import { createScheduleCycle } from '../placement/schedule-cycle.js';

const REPEATED_JOB = brand<typeof JOB>('00000000000000bb');

describe('an occurrence that an earlier control holder started and that is not due yet by this clock', () => {
  it('starts no further task before it is due', () => {
    const state = createStateWithJob();
    const original = state.jobs.get(JOB);
    if (!original) throw new Error('the state has no job');
    const steps = original.job.steps.map((step) => ({ ...step, taskCount: 2 }));
    const job = {
      ...original.job,
      jobId: REPEATED_JOB,
      steps,
      repeats: 2,
      firstDueAtMs: 60_000,
      intervalMs: 1000,
    };
    state.jobs.delete(JOB);
    state.pools.clear();
    addJob(state, { job, policy: original.policy, nowMs: 0, wallClockMs: 0, isInherited: true });
    addEndpoint(state, FIRST);
    const task = taskKey(REPEATED_JOB, 0, 0, 0);
    const ended = [{ number: 1, task, run: 1001, kind: 'done', checkpoint: '' } as const];
    applyAnswer(state, { ended, requestedAtMs: 1, nowMs: 2 });
    createScheduleCycle(state)(10, 100);
    const starts = state.effects.filter(({ kind }) => kind === 'start');
    expect(starts).toEqual([]);
  });
});
