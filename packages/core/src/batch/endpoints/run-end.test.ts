/** Log lines for each run that is removed from the state, and for tasks that are restarted. */
import { describe, expect, it } from 'vitest';

import {
  FIRST,
  JOB,
  POOL,
  SECOND,
  TASK,
  applyAnswer,
  addEndpoint,
  createStateWithJob,
  scheduleAfterWrites,
} from '../testing/batch-state.fixtures.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from './gone-endpoints.js';
import { cancelJob } from '../jobs/job-lifecycle.js';
import { applyStartOutcome, applyStopResponse, type StartResponse } from './order-responses.js';
import type { RunEndKind, EndedRunReport } from './endpoint-report.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, removeEffects, type BatchState } from '../model/state.js';
import { handleStalledAndLapsedRuns } from './stalled-runs.js';

const endOf = (run: number, kind: RunEndKind): EndedRunReport => ({
  number: 1,
  task: TASK,
  run,
  kind,
  checkpoint: '',
});

const loggedFields = (state: BatchState, event: string): readonly object[] =>
  removeEffects(state).flatMap((effect) =>
    effect.kind === 'note' && effect.event === event ? [effect.fields] : [],
  );

const runEndLogs = (state: BatchState): readonly object[] => loggedFields(state, 'run-ended');

const START_ANSWER: StartResponse = { task: TASK, run: 2001, outcome: 'started', nowMs: 150 };

/** The start order is sent at 100 ms, to an endpoint whose list was requested at 50 ms. */
const stateWithOrderedRun = (): BatchState => {
  const state = createStateWithJob({ maxAttempts: 2 });
  addEndpoint(state, FIRST);
  applyAnswer(state, { requestedAtMs: 50, nowMs: 60 });
  schedulePool(state, POOL, 100);
  removeEffects(state);
  return state;
};

/** The run is confirmed at 150 ms. */
const stateWithConfirmedRun = (): BatchState => {
  const state = stateWithOrderedRun();
  applyStartOutcome(state, FIRST, START_ANSWER);
  return state;
};

describe('a run that its endpoint reports as ended', () => {
  it('is logged with the age of the list, the kind of end and what follows for the task', () => {
    const state = stateWithConfirmedRun();
    applyAnswer(state, { ended: [endOf(2001, 'done')], requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toEqual([
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

  it('is logged before its job is saved as ended', () => {
    const state = stateWithConfirmedRun();
    applyAnswer(state, { ended: [endOf(2001, 'done')], requestedAtMs: 900, nowMs: 1000 });
    expect(removeEffects(state).map(({ kind }) => kind)).toEqual(['note', 'save']);
  });

  it('is followed by another run after a failure, until the job is over', () => {
    const state = stateWithConfirmedRun();
    applyAnswer(state, { ended: [endOf(2001, 'failed')], requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toMatchObject([{ detail: 'failed', next: 'again' }]);
    schedulePool(state, POOL, 1100);
    applyAnswer(state, { ended: [endOf(2002, 'failed')], requestedAtMs: 1900, nowMs: 2000 });
    expect(runEndLogs(state)).toMatchObject([{ run: 2002, detail: 'failed', next: 'job-over' }]);
  });

  it('is not followed by another run if its job was cancelled', () => {
    const state = stateWithConfirmedRun();
    cancelJob(state, JOB, null);
    applyAnswer(state, { ended: [endOf(2001, 'stopped')], requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toMatchObject([{ detail: 'stopped', next: 'job-over' }]);
  });

  it('is logged as not known if it was considered ended before', () => {
    const state = stateWithConfirmedRun();
    applyAnswer(state, { requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toMatchObject([{ cause: 'not-listed', next: 'again' }]);
    applyAnswer(state, { ended: [endOf(2001, 'done')], requestedAtMs: 1100, nowMs: 1150 });
    expect(runEndLogs(state)).toEqual([
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

  it('changes nothing for a task that has a later run', () => {
    const state = stateWithConfirmedRun();
    const running = [{ task: TASK, run: 2001, checkpoint: '', percent: 10, figure: 0 }];
    applyAnswer(state, {
      running,
      ended: [endOf(1001, 'lapsed')],
      requestedAtMs: 900,
      nowMs: 1000,
    });
    expect(runEndLogs(state)).toMatchObject([{ run: 1001, isKnown: false, next: 'none' }]);
  });

  it('is logged also if its job is not known', () => {
    const state = createBatchState(2);
    addEndpoint(state, FIRST);
    applyAnswer(state, { ended: [endOf(1001, 'stopped')], requestedAtMs: 40, nowMs: 50 });
    expect(runEndLogs(state)).toMatchObject([
      { task: TASK, run: 1001, silentMs: 'never', isKnown: false, next: 'none' },
    ]);
  });
});

describe('a run that its endpoint no longer lists', () => {
  it('is logged as confirmed before the list request', () => {
    const state = stateWithConfirmedRun();
    applyAnswer(state, { requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toEqual([
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

  it('is logged as blocked before the list request if only its stop order was answered', () => {
    const state = stateWithOrderedRun();
    applyStartOutcome(state, FIRST, { ...START_ANSWER, outcome: 'unknown' });
    applyStopResponse(state, FIRST, TASK, 2001, 200);
    applyAnswer(state, { requestedAtMs: 900, nowMs: 1000 });
    expect(runEndLogs(state)).toMatchObject([{ cause: 'not-listed', detail: 'stop-answered' }]);
  });
});

describe('a run whose lease has ended', () => {
  /** The lease of the silent endpoint ends at 7,000 ms. */
  const stateWithSilentEndpoint = (soleHolderUntilMs: number): BatchState => {
    const state = stateWithConfirmedRun();
    const endpoint = state.endpoints.get(FIRST);
    Object.assign(endpoint ?? {}, { leaseEndsAtMs: 7000 });
    endpoint?.runs.forEach((run) => Object.assign(run, { isListed: true }));
    Object.assign(state, { soleHolderUntilMs });
    return state;
  };

  it('is logged with the time since the end of the lease and the time for which this entry is the only holder', () => {
    const state = stateWithSilentEndpoint(8000);
    expect(handleStalledAndLapsedRuns(state, 7040)).toEqual([
      { endpointId: FIRST, endedAtMs: 7000 },
    ]);
    expect(runEndLogs(state)).toEqual([
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

  it('is neither considered ended nor logged while another entry may be the holder', () => {
    const state = stateWithSilentEndpoint(7030);
    expect(handleStalledAndLapsedRuns(state, 7040)).toEqual([]);
    expect(runEndLogs(state)).toEqual([]);
  });
});

describe('a run whose endpoint is gone', () => {
  it('is logged with the age of the host list when it is considered ended, and not before', () => {
    const state = stateWithConfirmedRun();
    Object.assign(state, { soleHolderUntilMs: 4000 });
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 4900, nowMs: 5000 });
    giveUpRunsOfGoneEndpoints(state, 5000);
    expect(runEndLogs(state)).toEqual([]);
    Object.assign(state, { soleHolderUntilMs: 8000 });
    giveUpRunsOfGoneEndpoints(state, 6000);
    expect(runEndLogs(state)).toEqual([
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
        seenBy: 'start-answer',
        known: 1,
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
  it('is logged with the reason for the refusal', () => {
    const state = stateWithOrderedRun();
    applyStartOutcome(state, FIRST, { ...START_ANSWER, outcome: 'rejected', reason: 'room' });
    expect(runEndLogs(state)).toEqual([
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

describe('the start of a task', () => {
  const restartLogs = (state: BatchState): readonly object[] =>
    loggedFields(state, 'task-started-again');

  it('is not logged as a restart the first time', () => {
    const state = createStateWithJob();
    addEndpoint(state, FIRST);
    applyAnswer(state, { requestedAtMs: 50, nowMs: 60 });
    schedulePool(state, POOL, 100);
    expect(removeEffects(state).map(({ kind }) => kind)).toEqual(['start']);
  });

  it('is logged as a restart with the previous run and the time waited since its end', () => {
    const state = stateWithConfirmedRun();
    addEndpoint(state, SECOND);
    applyAnswer(state, { endpointId: SECOND, requestedAtMs: 100, nowMs: 120 });
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 4900, nowMs: 5000 });
    giveUpRunsOfGoneEndpoints(state, 5000);
    scheduleAfterWrites(state, 5300);
    expect(restartLogs(state)).toEqual([
      { task: TASK, run: 2002, endpoint: SECOND, runBefore: 2001, waitedMs: 300 },
    ]);
  });

  it('is logged as a restart also if another holder started the previous run', () => {
    const state = createStateWithJob({ isInherited: true });
    addEndpoint(state, FIRST);
    applyAnswer(state, { ended: [endOf(1001, 'lapsed')], requestedAtMs: 50, nowMs: 60 });
    schedulePool(state, POOL, 100);
    expect(restartLogs(state)).toEqual([
      { task: TASK, run: 2001, endpoint: FIRST, runBefore: 1001, waitedMs: 40 },
    ]);
  });
});
