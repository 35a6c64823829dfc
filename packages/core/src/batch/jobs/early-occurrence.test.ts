/** An occurrence that is not due here, of which an endpoint reports a task as done. */
import { describe, expect, it } from 'vitest';

import { brand } from '../../shared/ids.js';
import { answer, FIRST, JOB, see, stateWithJob } from '../testing/batch-state.fixtures.js';
import { taskKey } from '../model/job.js';
import { takeInJob } from './jobs.js';
import { createScheduleCycle } from '../placement/schedule-cycle.js';

const TIMED = brand<typeof JOB>('00000000000000bb');

describe('an occurrence that an earlier holder began, and that is not due here', () => {
  it('has no further task begun before its time', () => {
    const state = stateWithJob();
    const one = state.jobs.get(JOB);
    if (!one) throw new Error('there is no job');
    const steps = one.job.steps.map((step) => ({ ...step, taskCount: 2 }));
    const job = {
      ...one.job,
      jobId: TIMED,
      steps,
      repeats: 2,
      firstDueAtMs: 60_000,
      intervalMs: 1000,
    };
    state.jobs.delete(JOB);
    state.pools.clear();
    takeInJob(state, { job, policy: one.policy, nowMs: 0, todayMs: 0, isInherited: true });
    see(state, FIRST);
    const task = taskKey(TIMED, 0, 0, 0);
    const ended = [{ number: 1, task, run: 1001, kind: 'done', checkpoint: '' } as const];
    answer(state, { ended, askedAtMs: 1, nowMs: 2 });
    createScheduleCycle(state)(10, 100);
    const starts = state.effects.filter(({ kind }) => kind === 'start');
    expect(starts).toEqual([]);
  });
});
