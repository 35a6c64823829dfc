/** How the reports of endpoints are applied. */
import { describe, expect, it } from 'vitest';

import {
  applyAnswer,
  FIRST,
  SECOND,
  addEndpoint,
  createStateWithJob,
  JOB,
  submitJob,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import { change } from '../../shared/change.js';
import { brand, type EndpointId, type JobId } from '../../shared/ids.js';
import { taskKey } from '../model/job.js';
import type { EndedRunReport, RunningReport } from './endpoint-report.js';
import { createBatchState, type BatchState } from '../model/state.js';

const stateWith = (...endpointIds: EndpointId[]): BatchState => {
  const state = createStateWithJob({ isInherited: true });
  endpointIds.forEach((endpointId) => addEndpoint(state, endpointId));
  return state;
};

const failed = (number: number, run: number): EndedRunReport => ({
  number,
  task: TASK,
  run,
  kind: 'failed',
  checkpoint: '',
});

const running = (run: number): RunningReport => ({
  task: TASK,
  run,
  checkpoint: '',
  percent: 50,
  figure: 0,
});

const report = (
  state: BatchState,
  endpointId: EndpointId,
  ended: readonly EndedRunReport[],
): void => applyAnswer(state, { endpointId, ended, requestedAtMs: 1, nowMs: 2 });

describe('reports of endpoints', () => {
  it('count each failed run, in whatever order endpoints list them', () => {
    // Guards the limit of attempts if a holder is lost before it has stored three failures: the next holder then
    // receives them from several endpoints, not in the order of the run numbers.
    const state = stateWith(FIRST, SECOND);
    report(state, SECOND, [failed(1, 1003)]);
    report(state, FIRST, [failed(1, 1001), failed(2, 1002)]);
    expect(state.jobs.get(JOB)?.phase).toBe('failed');
  });

  it('count a failure once if it is listed repeatedly', () => {
    const state = stateWith(FIRST);
    report(state, FIRST, [failed(1, 1001)]);
    report(state, FIRST, [failed(1, 1001)]);
    report(state, FIRST, [failed(1, 1001)]);
    expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
  });

  describe('of runs that ended in a way that is not known', () => {
    const unknown = (number: number, run: number): EndedRunReport => ({
      ...failed(number, run),
      kind: 'unknown',
    });

    it('count no failure, and put the task back into the queue each time', () => {
      const state = stateWith(FIRST);
      [1001, 1002, 1003, 1004].forEach((run, index) => {
        const atMs = 10 * run;
        applyAnswer(state, { running: [running(run)], requestedAtMs: atMs, nowMs: atMs + 1 });
        expect(taskOf(state).phase).toBe('placed');
        const ended = [unknown(index + 1, run)];
        applyAnswer(state, { ended, requestedAtMs: atMs + 2, nowMs: atMs + 3 });
        expect(taskOf(state)).toMatchObject({ phase: 'waiting', failedRuns: [] });
      });
      expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
    });

    it('start the task again from the checkpoint that they name', () => {
      const state = stateWith(FIRST);
      report(state, FIRST, [{ ...unknown(1, 1001), checkpoint: 'saved' }]);
      expect(taskOf(state).checkpoint).toBe('saved');
    });
  });

  describe('of failures of tasks of three long-running jobs', () => {
    const jobIds = ['b1', 'b2', 'b3'].map((end) => brand<JobId>(end.padStart(16, '0')));

    const failAll = (state: BatchState, endpointId: EndpointId, run: number): void => {
      const ended = jobIds.map((jobId, index) => ({
        ...failed(index + 1, run),
        task: taskKey(jobId, 0, 0, 0),
      }));
      report(state, endpointId, ended);
    };

    const isWithheld = (state: BatchState, endpointId: EndpointId): boolean =>
      (state.endpoints.get(endpointId)?.withheldReason ?? '') !== '';

    const stateWithLongRunningJobs = (): BatchState => {
      const state = stateWith(FIRST, SECOND);
      jobIds.forEach((jobId) => submitJob(state, jobId, { step: { isLasting: true } }));
      return state;
    };

    it('withhold an endpoint on which they fail first', () => {
      const state = stateWithLongRunningJobs();
      failAll(state, FIRST, 1001);
      expect(isWithheld(state, FIRST)).toBe(true);
    });

    it('withhold an endpoint on which each of them fails repeatedly', () => {
      const state = stateWithLongRunningJobs();
      jobIds.forEach((jobId, index) => {
        const task = taskKey(jobId, 0, 0, 0);
        report(state, FIRST, [{ ...failed(2 * index + 1, 1001), task }]);
        report(state, FIRST, [{ ...failed(2 * index + 2, 1002), task }]);
      });
      expect(isWithheld(state, FIRST)).toBe(true);
    });

    it('do not withhold the next endpoint on which the same tasks fail', () => {
      const state = stateWithLongRunningJobs();
      failAll(state, FIRST, 1001);
      failAll(state, SECOND, 1002);
      expect(isWithheld(state, SECOND)).toBe(false);
    });
  });

  describe('of a run with a lower number than one that was announced or has crashed its endpoint', () => {
    it.each(['stopped', 'lapsed', 'failed'] as const)(
      'put the task back into the queue once the run has ended as %s',
      (kind) => {
        const state = stateWith(FIRST);
        change(taskOf(state), { lastRun: 2001 });
        applyAnswer(state, { running: [running(1001)], requestedAtMs: 1, nowMs: 2 });
        expect(taskOf(state).phase).toBe('placed');
        const ended = [{ ...failed(1, 1001), kind }];
        applyAnswer(state, { ended, requestedAtMs: 10, nowMs: 12 });
        expect(taskOf(state).phase).toBe('waiting');
      },
    );
  });

  describe('of two runs of one task', () => {
    const ended = (kind: EndedRunReport['kind'], run: number): EndedRunReport => ({
      ...failed(1, run),
      kind,
    });

    it('leave the task with a run that goes on when a higher one that did not hold it has ended', () => {
      const state = stateWith(FIRST, SECOND);
      applyAnswer(state, { running: [running(1001)], requestedAtMs: 1, nowMs: 2 });
      const end = { ended: [ended('stopped', 1002)], requestedAtMs: 3, nowMs: 4 };
      applyAnswer(state, { endpointId: SECOND, ...end });
      expect(taskOf(state).phase).toBe('placed');
    });

    it('leave the task with a later run that goes on when an earlier one that was adopted has ended', () => {
      const state = stateWith(FIRST, SECOND);
      applyAnswer(state, { running: [running(1001)], requestedAtMs: 1, nowMs: 2 });
      const started = { running: [running(2001)], requestedAtMs: 3, nowMs: 4 };
      change(taskOf(state), { phase: 'waiting' });
      applyAnswer(state, { endpointId: SECOND, ...started });
      applyAnswer(state, { ended: [ended('stopped', 1001)], requestedAtMs: 30, nowMs: 31 });
      expect(taskOf(state).phase).toBe('placed');
    });

    it('leave a long-running task with its run when the end of an earlier one is reported late as done', () => {
      const state = createBatchState(2);
      submitJob(state, JOB, { step: { isLasting: true }, isInherited: true });
      [FIRST, SECOND].forEach((endpointId) => addEndpoint(state, endpointId));
      const started = { running: [running(1002)], requestedAtMs: 1, nowMs: 2 };
      applyAnswer(state, { endpointId: SECOND, ...started });
      applyAnswer(state, { ended: [ended('done', 1001)], requestedAtMs: 3, nowMs: 4 });
      expect(taskOf(state).phase).toBe('placed');
    });

    it('put the task back when the run that holds it fails under a number that has failed before', () => {
      const state = stateWith(FIRST, SECOND);
      applyAnswer(state, { ended: [failed(1, 1001)], requestedAtMs: 1, nowMs: 2 });
      const started = { running: [running(1001)], requestedAtMs: 5, nowMs: 6 };
      applyAnswer(state, { endpointId: SECOND, ...started });
      expect(taskOf(state).phase).toBe('placed');
      const end = { ended: [failed(1, 1001)], requestedAtMs: 10, nowMs: 11 };
      applyAnswer(state, { endpointId: SECOND, ...end });
      expect(taskOf(state).phase).toBe('waiting');
    });
  });

  describe('that list a run neither as running nor as ended', () => {
    const phaseAfter = (hasMoreEnds: boolean): string => {
      const state = stateWith(FIRST);
      applyAnswer(state, { running: [running(1001)], requestedAtMs: 1, nowMs: 2 });
      applyAnswer(state, { hasMoreEnds, requestedAtMs: 10, nowMs: 12 });
      return taskOf(state).phase;
    };

    it('put the task back into the queue if they list all ended runs', () => {
      expect(phaseAfter(false)).toBe('waiting');
    });

    it('leave the run unchanged if they do not list all ended runs', () => {
      // While the table is unavailable, ended runs accumulate: 21 per second with tasks of 0.8 s on 32 cores.
      expect(phaseAfter(true)).toBe('placed');
    });
  });
});
