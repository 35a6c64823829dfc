/** What is made of the reports of endpoints. */
import { describe, expect, it } from 'vitest';

import {
  answer,
  FIRST,
  SECOND,
  see,
  stateWithJob,
  JOB,
  TASK,
  taskOf,
} from '../testing/batch-state.fixtures.js';
import type { EndpointId } from '../../shared/ids.js';
import type { EndReport, RunningReport } from './reports.js';
import type { BatchState } from '../model/state.js';

const stateWith = (...endpointIds: EndpointId[]): BatchState => {
  const state = stateWithJob({ isInherited: true });
  endpointIds.forEach((endpointId) => see(state, endpointId));
  return state;
};

const failed = (number: number, run: number): EndReport => ({
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

const report = (state: BatchState, endpointId: EndpointId, ended: readonly EndReport[]): void =>
  answer(state, { endpointId, ended, askedAtMs: 1, nowMs: 2 });

describe('reports of endpoints', () => {
  it('count each failed run once, in whatever order endpoints list them again', () => {
    // Guards the budget of attempts where a holder is lost before it has written three failures.
    const state = stateWith(FIRST, SECOND);
    report(state, SECOND, [failed(1, 1003)]);
    report(state, FIRST, [failed(1, 1001), failed(2, 1002)]);
    expect(state.jobs.get(JOB)?.phase).toBe('failed');
  });

  it('count a failure that is listed again only once', () => {
    const state = stateWith(FIRST);
    report(state, FIRST, [failed(1, 1001)]);
    report(state, FIRST, [failed(1, 1001)]);
    report(state, FIRST, [failed(1, 1001)]);
    expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
  });

  describe('that name neither the run nor its end', () => {
    const phaseAfter = (hasMoreEnds: boolean): string => {
      const state = stateWith(FIRST);
      answer(state, { running: [running(1001)], askedAtMs: 1, nowMs: 2 });
      answer(state, { hasMoreEnds, askedAtMs: 10, nowMs: 12 });
      return taskOf(state).phase;
    };

    it('show that it is gone if they list all that has ended', () => {
      expect(phaseAfter(false)).toBe('waiting');
    });

    it('show nothing if more has ended than they list', () => {
      // While the table is away ends gather: 21 a second of tasks of 0.8 s on 32 cores.
      expect(phaseAfter(true)).toBe('placed');
    });
  });
});
