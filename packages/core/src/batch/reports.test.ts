/** What is made of the reports of endpoints. */
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type JobId, type PoolName } from '../shared/ids.js';
import { seeEndpoint } from './endpoints.js';
import { taskKey, type BatchJob, type StepSpec } from './job.js';
import { takeInJob } from './jobs.js';
import { applyReport, type EndReport, type RunningReport } from './reports.js';
import { createBatchState, type BatchState } from './state.js';

const step: StepSpec = {
  taskCount: 1,
  cpuMillis: 1000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isGang: false,
  isRackLocal: false,
  requiredLabel: '',
  nearRack: '',
  mostPerEndpoint: 0,
  isSpeculative: false,
  isLasting: false,
  mayMiss: 0,
  image: '',
  targetMs: 0,
  fillsGaps: false,
  savesProgress: false,
};

const JOB = brand<JobId>('00000000000000aa');

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: brand('alpha'),
  spec: '',
  steps: [step],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

const stateWith = (...names: string[]): BatchState => {
  const state = createBatchState(2);
  const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
  takeInJob(state, { job, policy, nowMs: 0, todayMs: 0, isInherited: true });
  names.forEach((name) => {
    seeEndpoint(
      state,
      {
        endpointId: brand<EndpointId>(name),
        pool: brand<PoolName>('alpha'),
        hostId: null,
        address: '',
        dataCentre: '',
        labels: [],
        capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
        isDraining: false,
      },
      0,
    );
  });
  return state;
};

const TASK = taskKey(JOB, 0, 0, 0);

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

const report = (state: BatchState, name: string, ended: readonly EndReport[]): void =>
  applyReport(state, brand<EndpointId>(name), {
    running: [],
    ended,
    hasMoreEnds: false,
    askedAtMs: 1,
    nowMs: 2,
  });

describe('reports of endpoints', () => {
  it('count each failed run once, in whatever order endpoints list them again', () => {
    // Guards the budget of attempts where a holder is lost before it has written three failures.
    const state = stateWith('first', 'second');
    report(state, 'second', [failed(1, 1003)]);
    report(state, 'first', [failed(1, 1001), failed(2, 1002)]);
    expect(state.jobs.get(JOB)?.phase).toBe('failed');
  });

  it('count a failure that is listed again only once', () => {
    const state = stateWith('first');
    report(state, 'first', [failed(1, 1001)]);
    report(state, 'first', [failed(1, 1001)]);
    report(state, 'first', [failed(1, 1001)]);
    expect(state.jobs.get(JOB)?.phase).not.toBe('failed');
  });

  describe('that name neither the run nor its end', () => {
    const answer = (hasMoreEnds: boolean) => {
      const state = stateWith('first');
      const endpointId = brand<EndpointId>('first');
      const at = { ended: [], hasMoreEnds: false };
      applyReport(state, endpointId, { ...at, running: [running(1001)], askedAtMs: 1, nowMs: 2 });
      const later = { running: [], ended: [], hasMoreEnds, askedAtMs: 10, nowMs: 12 };
      applyReport(state, endpointId, later);
      return state.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks[0]?.phase;
    };

    it('show that it is gone if they list all that has ended', () => {
      expect(answer(false)).toBe('waiting');
    });

    it('show nothing if more has ended than they list', () => {
      // While the table is away ends gather: 21 a second of tasks of 0.8 s on 32 cores.
      expect(answer(true)).toBe('placed');
    });
  });
});
