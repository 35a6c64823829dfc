/** Guards against jobs that are failed for attempts that no task is known to have had. */
import { describe, expect, it } from 'vitest';

import {
  addEndpoint,
  applyAnswer,
  createStateWithJob,
  FIRST,
  JOB,
  SECOND,
  submitJob,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { change } from '../../shared/change.js';
import { brand, type JobId } from '../../shared/ids.js';
import type { EndedRunReport } from '../endpoints/endpoint-report.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import { taskKey, type StepSpec, type TaskKey } from '../model/job.js';
import { createBatchState, type BatchState, type JobState } from '../model/state.js';
import type { ProgressRow } from './progress.js';
import { restoreJob } from './restore-job.js';

/** Values of `maxAttempts` in a row that was damaged or that another build has written; none tells a limit. */
const ODD_LIMITS: readonly unknown[] = [null, undefined, 0, -1, '1', '', true, [], [1], {}];

const OTHER_JOB = brand<JobId>('00000000000000bb');

type Restored = {
  readonly failed?: unknown;
  readonly done?: string;
  readonly maxAttempts?: unknown;
  readonly steps?: readonly Partial<StepSpec>[];
};

/** Restores the default job from rows in which its first task has the given failed runs. */
const restore = ({
  failed,
  done = '0',
  maxAttempts = 3,
  steps = [{}],
}: Restored): JobState | undefined => {
  const { job, policy } = createStateWithJob().jobs.get(JOB) ?? {};
  if (!job || !policy) throw new Error('the state does not contain the default job');
  const rows = failed === undefined ? {} : { failed: [[0, failed]] };
  const state = createBatchState(3);
  restoreJob(state, {
    job: { ...job, steps: steps.map((step) => ({ ...DEFAULT_STEP, ...step })) },
    policy: { ...policy, maxAttempts: maxAttempts as number },
    progress: { 0: { 0: { done, ...rows } } } as unknown as ProgressRow,
    nowMs: 0,
    wallClockMs: 0,
  });
  return state.jobs.get(JOB);
};

const failedEnd = (number: number, run: number): EndedRunReport => ({
  number,
  task: TASK,
  run,
  kind: 'failed',
  checkpoint: '',
});

const stateWithEndpoints = (maxAttempts: unknown = 3): BatchState => {
  const state = createStateWithJob({ isInherited: true, maxAttempts: maxAttempts as number });
  [FIRST, SECOND].forEach((endpointId) => addEndpoint(state, endpointId));
  return state;
};

describe('a job with a task that failed', () => {
  describe('as its rows tell the next holder', () => {
    it('is failed with as many distinct failed runs as it has attempts', () => {
      expect(restore({ failed: [1001, 1002, 2001] })?.phase).toBe('failed');
    });

    it('is not failed with fewer', () => {
      expect(restore({ failed: [1001, 1002] })?.phase).toBe('running');
    });

    it.each([
      [[1001, 1001, 1001]],
      [[1001, 1002, 1002, 1001]],
      [[null, null, null]],
      [[1001, null, null]],
      [['1', 1001, 1002]],
      [[1001, 1002, 1.5]],
      ['abc'],
    ])('is not failed by the runs %j, of which fewer are distinct and numbers', (failed) => {
      expect(restore({ failed })?.phase).not.toBe('failed');
    });

    it.each([['abc'], [[null, 1001]], [[]], [{}], [null]])(
      'is started with a run number if its row has %j for failed runs',
      (failed) => {
        const task = restore({ failed })?.occurrences.get(0)?.steps[0]?.tasks.at(0);
        expect(Number.isSafeInteger(task?.lastRun)).toBe(true);
      },
    );

    it('is not failed by a task that is done, whatever its other runs were', () => {
      const steps = [{ taskCount: 2 }];
      expect(restore({ failed: [1001, 1002, 1003], done: '1', steps })?.phase).toBe('running');
      expect(restore({ failed: [1001, 1002, 1003], done: '2', steps })?.phase).toBe('failed');
    });

    it.each(ODD_LIMITS)('is not failed while its limit is %j', (maxAttempts) => {
      expect(restore({ maxAttempts })?.phase).not.toBe('failed');
      expect(restore({ maxAttempts, failed: [1001, 1002] })?.phase).not.toBe('failed');
    });
  });

  describe('as its endpoints report', () => {
    it.each(ODD_LIMITS)('is not failed while its limit is %j', (maxAttempts) => {
      const state = stateWithEndpoints(maxAttempts);
      applyAnswer(state, { ended: [failedEnd(1, 1001)], requestedAtMs: 1, nowMs: 2 });
      expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
      expect(taskOf(state)).toMatchObject({ phase: 'waiting', failedRuns: [1001] });
    });

    it.each(['0.0.', '0.0.00', '0.0.0x0', '0.0. 0', '0.0.-0', '.0.0', '0.0.0e3', '00.0.0'])(
      'is not failed by ends of %j, which is not the name of the task',
      (name) => {
        const state = stateWithEndpoints();
        const ended = [1, 2, 3].map((number) => ({
          ...failedEnd(number, 1000 + number),
          task: `${JOB}.${name}` as TaskKey,
        }));
        applyAnswer(state, { ended, requestedAtMs: 1, nowMs: 2 });
        expect(state.jobs.get(JOB)?.phase).toBe('pending');
        expect(taskOf(state)).toMatchObject({ phase: 'waiting', failedRuns: [] });
      },
    );

    it('is not failed by a task that is done when the ends of its other runs are heard', () => {
      const state = stateWithEndpoints();
      submitJob(state, OTHER_JOB, { step: { taskCount: 2 } });
      const task = taskKey(OTHER_JOB, 0, 0, 0);
      const done: EndedRunReport = { ...failedEnd(1, 1004), task, kind: 'done' };
      applyAnswer(state, { ended: [done], requestedAtMs: 1, nowMs: 2 });
      const ended = [1, 2, 3].map((number) => ({ ...failedEnd(number, 1000 + number), task }));
      applyAnswer(state, { endpointId: SECOND, ended, requestedAtMs: 3, nowMs: 4 });
      expect(state.jobs.get(OTHER_JOB)?.phase).not.toBe('failed');
    });

    it('is not failed by ends that a damaged row counted more than once', () => {
      const state = stateWithEndpoints();
      change(taskOf(state), { failedRuns: [1001, 1001] });
      applyAnswer(state, { ended: [failedEnd(1, 1002)], requestedAtMs: 1, nowMs: 2 });
      expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
    });
  });
});
