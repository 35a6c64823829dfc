/** What is told of each run that stops being known, and of tasks that are started again. */
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type JobId, type PoolName } from '../shared/ids.js';
import { seeEndpoint } from './endpoints.js';
import { taskKey, type BatchJob, type StepSpec } from './job.js';
import { cancelJob, takeInJob } from './jobs.js';
import {
  applyReport,
  applyStartOutcome,
  applyStopAnswer,
  removeEndpoint,
  type EndKind,
  type EndReport,
  type RunningReport,
  type StartAnswer,
} from './reports.js';
import { schedulePool } from './schedule.js';
import { createBatchState, takeEffects, type BatchState } from './state.js';
import { watchRuns } from './watch-runs.js';

const JOB = brand<JobId>('00000000000000aa');
const POOL = brand<PoolName>('alpha');
const FIRST = brand<EndpointId>('i-0000000001');
const SECOND = brand<EndpointId>('i-0000000002');
const TASK = taskKey(JOB, 0, 0, 0);

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

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: POOL,
  spec: '',
  steps: [step],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

const policy = { priority: 0, maxAttempts: 2, stretch: 2, targetLatencyMs: 600 };

const see = (state: BatchState, endpointId: EndpointId): void => {
  seeEndpoint(
    state,
    {
      endpointId,
      pool: POOL,
      hostId: null,
      address: '',
      dataCentre: '',
      labels: [],
      capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      isDraining: false,
    },
    0,
  );
};

type Answer = {
  readonly endpointId?: EndpointId;
  readonly running?: readonly RunningReport[];
  readonly ended?: readonly EndReport[];
  readonly askedAtMs: number;
  readonly nowMs: number;
};

const answer = (
  state: BatchState,
  { endpointId = FIRST, running = [], ended = [], askedAtMs, nowMs }: Answer,
): void => applyReport(state, endpointId, { running, ended, askedAtMs, nowMs });

const endOf = (run: number, kind: EndKind): EndReport => ({
  number: 1,
  task: TASK,
  run,
  kind,
  checkpoint: '',
});

const noted = (state: BatchState, event: string): readonly object[] =>
  takeEffects(state).flatMap((effect) =>
    effect.kind === 'note' && effect.event === event ? [effect.fields] : [],
  );

const ended = (state: BatchState): readonly object[] => noted(state, 'run-ended');

const START: StartAnswer = { task: TASK, run: 2001, outcome: 'started', nowMs: 150 };

/** The task is ordered to start at 100 ms, on an endpoint that answered a question of 50 ms. */
const ordered = (): BatchState => {
  const state = createBatchState(2);
  takeInJob(state, { job, policy, nowMs: 0, todayMs: 0 });
  see(state, FIRST);
  answer(state, { askedAtMs: 50, nowMs: 60 });
  schedulePool(state, POOL, 100);
  takeEffects(state);
  return state;
};

/** It is confirmed at 150 ms. */
const begun = (): BatchState => {
  const state = ordered();
  applyStartOutcome(state, FIRST, START);
  return state;
};

describe('a run that ended as its endpoint reports', () => {
  it('is told with the time of the question, the kind of end and what becomes of the task', () => {
    const state = begun();
    answer(state, { ended: [endOf(2001, 'done')], askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'reported',
        detail: 'done',
        evidenceAgeMs: 100,
        silentMs: 950,
        ranMs: 900,
        next: 'done',
      },
    ]);
  });

  it('is told before the end of its job', () => {
    const state = begun();
    answer(state, { ended: [endOf(2001, 'done')], askedAtMs: 900, nowMs: 1000 });
    expect(takeEffects(state).map(({ kind }) => kind)).toEqual(['note', 'save']);
  });

  it('is followed by another if it failed, until the job is over', () => {
    const state = begun();
    answer(state, { ended: [endOf(2001, 'failed')], askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toMatchObject([{ detail: 'failed', next: 'again' }]);
    schedulePool(state, POOL, 1100);
    answer(state, { ended: [endOf(2002, 'failed')], askedAtMs: 1900, nowMs: 2000 });
    expect(ended(state)).toMatchObject([{ run: 2002, detail: 'failed', next: 'job-over' }]);
  });

  it('is followed by none if its job was cancelled', () => {
    const state = begun();
    cancelJob(state, JOB);
    answer(state, { ended: [endOf(2001, 'stopped')], askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toMatchObject([{ detail: 'stopped', next: 'job-over' }]);
  });

  it('is told as not known if it had been counted as ended before', () => {
    const state = begun();
    answer(state, { askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toMatchObject([{ cause: 'not-listed', next: 'again' }]);
    answer(state, { ended: [endOf(2001, 'done')], askedAtMs: 1100, nowMs: 1150 });
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'reported',
        detail: 'done',
        evidenceAgeMs: 50,
        silentMs: 250,
        isKnown: false,
        next: 'done',
      },
    ]);
  });

  it('changes nothing for a task that a later run has', () => {
    const state = begun();
    const running = [{ task: TASK, run: 2001, checkpoint: '', percent: 10, figure: 0 }];
    answer(state, { running, ended: [endOf(1001, 'lapsed')], askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toMatchObject([{ run: 1001, isKnown: false, next: 'none' }]);
  });

  it('is told also where its job is not known', () => {
    const state = createBatchState(2);
    see(state, FIRST);
    answer(state, { ended: [endOf(1001, 'stopped')], askedAtMs: 40, nowMs: 50 });
    expect(ended(state)).toMatchObject([
      { task: TASK, run: 1001, silentMs: 'never', isKnown: false, next: 'none' },
    ]);
  });

  it('is told once where its job is not known, though the endpoint is forgotten and lists it again', () => {
    const state = createBatchState(2);
    see(state, FIRST);
    answer(state, { ended: [endOf(1001, 'stopped')], askedAtMs: 40, nowMs: 50 });
    removeEndpoint(state, FIRST, { detail: 'unlisted', atMs: 60, nowMs: 60 });
    see(state, FIRST);
    answer(state, { ended: [endOf(1001, 'stopped')], askedAtMs: 70, nowMs: 80 });
    expect(ended(state)).toHaveLength(1);
  });
});

describe('a run that its endpoint lists no longer', () => {
  it('is told as confirmed before the question', () => {
    const state = begun();
    answer(state, { askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'not-listed',
        detail: 'confirmed-before',
        evidenceAgeMs: 100,
        silentMs: 950,
        ranMs: 900,
        next: 'again',
      },
    ]);
  });

  it('is told as barred before the question if only its stop was answered', () => {
    const state = ordered();
    applyStartOutcome(state, FIRST, { ...START, outcome: 'unknown' });
    applyStopAnswer(state, FIRST, TASK, 2001, 200);
    answer(state, { askedAtMs: 900, nowMs: 1000 });
    expect(ended(state)).toMatchObject([{ cause: 'not-listed', detail: 'stop-answered' }]);
  });
});

describe('a run whose lease is over', () => {
  /** The lease is over at 7,000 ms. */
  const silent = (soleHolderUntilMs: number): BatchState => {
    const state = begun();
    Object.assign(state.endpoints.get(FIRST) ?? {}, { leaseEndsAtMs: 7000 });
    Object.assign(state, { soleHolderUntilMs });
    return state;
  };

  it('is told with the age of the end of the lease, and how long this holder is the only one', () => {
    const state = silent(8000);
    expect(watchRuns(state, 7040)).toEqual([{ endpointId: FIRST, endedAtMs: 7000 }]);
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'lease-over',
        detail: 'not-extended',
        evidenceAgeMs: 40,
        silentMs: 6990,
        soleForMs: 960,
        ranMs: 6940,
        next: 'again',
      },
    ]);
  });

  it('is not counted as ended, and not told, while another entry may be the holder', () => {
    const state = silent(7030);
    expect(watchRuns(state, 7040)).toEqual([]);
    expect(ended(state)).toEqual([]);
  });
});

describe('a run whose endpoint is gone', () => {
  it('is told with the age of the list, also where another entry may be the holder', () => {
    const state = begun();
    Object.assign(state, { soleHolderUntilMs: 4000 });
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 4900, nowMs: 5000 });
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'endpoint-gone',
        detail: 'host-list',
        evidenceAgeMs: 100,
        silentMs: 4950,
        soleForMs: -1000,
        ranMs: 4900,
        next: 'again',
      },
    ]);
  });
});

describe('a run whose start was refused', () => {
  it('is told with the reason of the refusal', () => {
    const state = ordered();
    applyStartOutcome(state, FIRST, { ...START, outcome: 'rejected', reason: 'room' });
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'start-refused',
        detail: 'room',
        evidenceAgeMs: 0,
        silentMs: 100,
        ranMs: 50,
        next: 'again',
      },
    ]);
  });
});

describe('a task that is started', () => {
  const again = (state: BatchState): readonly object[] => noted(state, 'task-started-again');

  it('is not told as started again the first time', () => {
    const state = createBatchState(2);
    takeInJob(state, { job, policy, nowMs: 0, todayMs: 0 });
    see(state, FIRST);
    answer(state, { askedAtMs: 50, nowMs: 60 });
    schedulePool(state, POOL, 100);
    expect(takeEffects(state).map(({ kind }) => kind)).toEqual(['start']);
  });

  it('is told as started again with the run before and how long it has waited since', () => {
    const state = begun();
    see(state, SECOND);
    answer(state, { endpointId: SECOND, askedAtMs: 100, nowMs: 120 });
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 4900, nowMs: 5000 });
    schedulePool(state, POOL, 5300);
    expect(again(state)).toEqual([
      { task: TASK, run: 2002, endpoint: SECOND, runBefore: 2001, waitedMs: 300 },
    ]);
  });

  it('is told so as well where the run before was begun by another holder', () => {
    const state = createBatchState(2);
    takeInJob(state, { job, policy, nowMs: 0, todayMs: 0, isInherited: true });
    see(state, FIRST);
    answer(state, { ended: [endOf(1001, 'lapsed')], askedAtMs: 50, nowMs: 60 });
    schedulePool(state, POOL, 100);
    expect(again(state)).toEqual([
      { task: TASK, run: 2001, endpoint: FIRST, runBefore: 1001, waitedMs: 40 },
    ]);
  });
});
