/** What is told of each run that stops being known, and of tasks that are started again. */
import { describe, expect, it } from 'vitest';

import {
  FIRST,
  JOB,
  POOL,
  SECOND,
  TASK,
  answer,
  see,
  stateWithJob,
  scheduleWritten,
} from '../testing/batch-state.fixtures.js';
import { removeEndpoint, settleGoneEndpoints } from './gone-endpoints.js';
import { cancelJob } from '../jobs/jobs.js';
import { applyStartOutcome, applyStopAnswer, type StartAnswer } from './order-answers.js';
import { type EndKind, type EndReport } from './reports.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, takeEffects, type BatchState } from '../model/state.js';
import { watchRuns } from './watch-runs.js';

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
  const state = stateWithJob({ maxAttempts: 2 });
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
        ageMs: 100,
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
    cancelJob(state, JOB, null);
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
        ageMs: 50,
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
        ageMs: 100,
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
    const endpoint = state.endpoints.get(FIRST);
    Object.assign(endpoint ?? {}, { leaseEndsAtMs: 7000 });
    endpoint?.runs.forEach((run) => Object.assign(run, { isListed: true }));
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
        ageMs: 40,
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
  it('is told with the age of the list once it counts as ended, and not before', () => {
    const state = begun();
    Object.assign(state, { soleHolderUntilMs: 4000 });
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 4900, nowMs: 5000 });
    settleGoneEndpoints(state, 5000);
    expect(ended(state)).toEqual([]);
    Object.assign(state, { soleHolderUntilMs: 8000 });
    settleGoneEndpoints(state, 6000);
    expect(ended(state)).toEqual([
      {
        task: TASK,
        run: 2001,
        endpoint: FIRST,
        cause: 'endpoint-gone',
        detail: 'host-list',
        ageMs: 1100,
        silentMs: 5950,
        soleForMs: 2000,
        ranMs: 5900,
        crashes: 1,
        countedBy: '2',
        firstAgoMs: 0,
        livedMs: 0,
        isConfirmed: false,
        isSuspected: true,
        isSoleSuspect: true,
        isCorrelated: false,
        others: 0,
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
        ageMs: 0,
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
    const state = stateWithJob();
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
    settleGoneEndpoints(state, 5000);
    scheduleWritten(state, 5300);
    expect(again(state)).toEqual([
      { task: TASK, run: 2002, endpoint: SECOND, runBefore: 2001, waitedMs: 300 },
    ]);
  });

  it('is told so as well where the run before was begun by another holder', () => {
    const state = stateWithJob({ isInherited: true });
    see(state, FIRST);
    answer(state, { ended: [endOf(1001, 'lapsed')], askedAtMs: 50, nowMs: 60 });
    schedulePool(state, POOL, 100);
    expect(again(state)).toEqual([
      { task: TASK, run: 2001, endpoint: FIRST, runBefore: 1001, waitedMs: 40 },
    ]);
  });
});
