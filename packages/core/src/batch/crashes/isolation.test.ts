/**
 * Tests which endpoints are isolated for suspects, the tasks under which endpoints crashed, and what may start there.
 */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import {
  brand,
  type AccountName,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '../../shared/ids.js';
import { setAccounts } from '../accounts/quota.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  scheduleAfterWrites,
  addEndpoint,
  markRowsWritten,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { giveUpReason } from './endpoint-crashes.js';
import { instanceIdOf, endpointIdOf } from '../model/endpoint-incarnation.js';
import { addPendingReports, upsertEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { addJob, cancelJob } from '../jobs/job-lifecycle.js';
import { buildProgressRow } from '../jobs/progress.js';
import { restoreJob } from '../jobs/restore-job.js';
import { endpointsOf, schedulePool } from '../placement/schedule.js';
import {
  createBatchState,
  type BatchState,
  type EndpointCrash,
  type EndpointState,
  type JobState,
  type Task,
} from '../model/state.js';

const THIRD = brand<EndpointId>('i-0000000003');
const FOURTH = brand<EndpointId>('i-0000000004');
const SUSPECT = brand<JobId>('00000000000000a1');
const OTHER = brand<JobId>('00000000000000b2');

const submit = (state: BatchState, jobId: JobId, step: Partial<StepSpec>, nowMs: number): void =>
  submitJob(state, jobId, { step, nowMs });

const tasksOf = (state: BatchState, jobId: JobId): readonly Task[] =>
  state.jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.tasks.all() ?? [];

const placesOf = (state: BatchState, jobId: JobId): readonly EndpointId[] =>
  tasksOf(state, jobId).flatMap((task) => endpointsOf(state, task));

/** Has an endpoint report all of its runs as running. */
const reportRunning = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
  const running = runs.map(({ task, run }) => ({
    task: task.key,
    run,
    checkpoint: '',
    percent: 100,
    figure: 0,
  }));
  applyAnswer(state, { endpointId, running, requestedAtMs: nowMs - 1, nowMs });
};

/** Has endpoints report all of their runs as done. */
const reportAllDone = (
  state: BatchState,
  endpointIds: readonly EndpointId[],
  nowMs: number,
): void =>
  endpointIds.forEach((endpointId) => {
    const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
    const ended = runs.map(({ task, run }, index) => ({
      number: index + 1,
      task: task.key,
      run,
      kind: 'done' as const,
      checkpoint: '',
    }));
    applyAnswer(state, { endpointId, ended, requestedAtMs: nowMs - 1, nowMs });
  });

const crash = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 10, nowMs });
  giveUpRunsOfGoneEndpoints(state, nowMs);
};

/** Creates a state in which the first of three endpoints has crashed while it ran the tasks of a job. */
const afterCrash = (step: Partial<StepSpec> = {}): BatchState => {
  const state = createBatchState(2);
  addEndpoint(state, FIRST);
  reportRunning(state, FIRST, 10);
  submit(state, SUSPECT, step, 20);
  schedulePool(state, POOL, 20);
  [SECOND, THIRD].forEach((endpointId) => {
    addEndpoint(state, endpointId, 25);
    reportRunning(state, endpointId, 30);
  });
  crash(state, FIRST, 1000);
  return state;
};

describe('crashes of other endpoints at about the same time', () => {
  /** Two other endpoints crash 0.7 s and 0.2 s before the endpoint of a task. */
  const isCorrelatedWith = ([one, other]: readonly [EndpointId, EndpointId]): boolean => {
    const state = createBatchState(2);
    addEndpoint(state, FIRST);
    reportRunning(state, FIRST, 10);
    submit(state, SUSPECT, {}, 20);
    schedulePool(state, POOL, 20);
    addEndpoint(state, one, 30);
    crash(state, one, 300);
    addEndpoint(state, other, 400);
    crash(state, other, 800);
    crash(state, FIRST, 1000);
    return tasksOf(state, SUSPECT)[0]?.crashes[0]?.isCorrelated ?? false;
  };

  it('mark a crash as correlated if two other endpoints crashed', () => {
    expect(isCorrelatedWith([SECOND, THIRD])).toBe(true);
  });

  it('do not mark a crash as correlated if one other endpoint crashed twice', () => {
    expect(isCorrelatedWith([endpointIdOf(SECOND, 1), endpointIdOf(SECOND, 2)])).toBe(false);
  });
});

describe('a task under which an endpoint crashed', () => {
  it('is started only after the crash has been written to its row', () => {
    const state = afterCrash();
    schedulePool(state, POOL, 1010);
    expect(placesOf(state, SUSPECT)).toEqual([]);
    scheduleAfterWrites(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  it('is started only after its announced start has been written, too', () => {
    const state = afterCrash();
    markRowsWritten(state);
    schedulePool(state, POOL, 1010);
    expect(placesOf(state, SUSPECT)).toEqual([]);
    markRowsWritten(state);
    schedulePool(state, POOL, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  describe('and whose start a lost holder had announced', () => {
    /** The next holder hears all endpoints but the one that was to start the task. */
    const takeOver = () => {
      const before = afterCrash();
      markRowsWritten(before);
      schedulePool(before, POOL, 1010);
      const job = before.jobs.get(SUSPECT) as JobState;
      const named = tasksOf(before, SUSPECT)[0]?.trial?.endpointId as EndpointId;
      const state = createBatchState(3);
      restoreJob(state, {
        job: job.job,
        policy: job.policy,
        progress: buildProgressRow(job),
        nowMs: 2000,
        wallClockMs: 2000,
      });
      [SECOND, THIRD]
        .filter((endpointId) => endpointId !== named)
        .forEach((endpointId) => {
          addEndpoint(state, endpointId, 2000);
          reportRunning(state, endpointId, 2010);
        });
      return { state, named };
    };

    const crashesOf = (state: BatchState) => tasksOf(state, SUSPECT)[0]?.crashes;

    it('has the announced start counted as a crash if no endpoint reports the run', () => {
      const { state } = takeOver();
      scheduleAfterWrites(state, 2020);
      expect(crashesOf(state)).toMatchObject([
        { isSuspected: true },
        { isConfirmed: false, isSuspected: true, fence: 3 },
      ]);
    });

    it('has no crash counted while an endpoint that may run it has not answered', () => {
      const { state, named } = takeOver();
      state.inheritedLeasesEndAtMs = 9000;
      addPendingReports(state, [{ instanceId: instanceIdOf(named), pool: POOL }]);
      scheduleAfterWrites(state, 2020);
      expect(crashesOf(state)).toHaveLength(1);
    });

    it('has no crash counted for a start that was never sent, as its endpoint answers without the run', () => {
      const { state, named } = takeOver();
      addEndpoint(state, named, 2000);
      reportRunning(state, named, 2015);
      crash(state, named, 2018);
      scheduleAfterWrites(state, 2020);
      expect(crashesOf(state)).toHaveLength(1);
      expect(placesOf(state, SUSPECT)).toHaveLength(1);
      expect(tasksOf(state, SUSPECT)[0]?.trial).toMatchObject({ run: 3001, isInherited: false });
    });
  });

  it('has an endpoint to itself until the endpoint has survived the observation period', () => {
    const state = afterCrash();
    scheduleAfterWrites(state, 1020);
    const [place] = placesOf(state, SUSPECT);
    submit(state, OTHER, { taskCount: 12 }, 1030);
    schedulePool(state, POOL, 1030);
    expect(placesOf(state, OTHER)).toHaveLength(8);
    expect(placesOf(state, OTHER)).not.toContain(place);
    reportRunning(state, place as EndpointId, 1040);
    reportRunning(state, place as EndpointId, 1400);
    schedulePool(state, POOL, 1410);
    expect(placesOf(state, OTHER)).toContain(place);
  });

  it('waits until runs of other jobs have ended, but at most 2 s for those that survived the observation period', () => {
    const state = afterCrash();
    submit(state, OTHER, { taskCount: 2, mostPerEndpoint: 1, cpuMillis: 6000 }, 1000);
    schedulePool(state, POOL, 1000);
    markRowsWritten(state);
    const pass = (nowMs: number): readonly EndpointId[] => {
      [SECOND, THIRD].forEach((endpointId) => reportRunning(state, endpointId, nowMs));
      scheduleAfterWrites(state, nowMs);
      return placesOf(state, SUSPECT);
    };
    expect(pass(1100)).toEqual([]);
    expect(pass(2900)).toEqual([]);
    expect(pass(3100)).toHaveLength(1);
  });

  it('is placed on an endpoint that the limit per endpoint of its own step leaves free', () => {
    const state = createBatchState(2);
    const addLiveEndpoint = (endpointId: EndpointId, nowMs: number): void => {
      addEndpoint(state, endpointId, nowMs);
      reportRunning(state, endpointId, nowMs + 1);
    };
    [FIRST, SECOND].forEach((endpointId) => addLiveEndpoint(endpointId, 10));
    submit(state, SUSPECT, { taskCount: 2, mostPerEndpoint: 1, isLasting: true }, 20);
    schedulePool(state, POOL, 20);
    [THIRD, FOURTH].forEach((endpointId) => addLiveEndpoint(endpointId, 25));
    [FIRST, SECOND].forEach((endpointId) => crash(state, endpointId, 1000));
    scheduleAfterWrites(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
    [1040, 1400].forEach((nowMs) =>
      [THIRD, FOURTH].forEach((id) => reportRunning(state, id, nowMs)),
    );
    scheduleAfterWrites(state, 1410);
    expect(new Set(placesOf(state, SUSPECT))).toEqual(new Set([THIRD, FOURTH]));
  });

  /** The crash is written only after tasks of another job have taken all capacity. */
  const inFullPool = (step: Partial<StepSpec> = {}): BatchState => {
    const state = afterCrash(step);
    submit(state, OTHER, { taskCount: 16 }, 10);
    schedulePool(state, POOL, 1000);
    expect(placesOf(state, OTHER)).toHaveLength(16);
    markRowsWritten(state);
    return state;
  };

  it('is not blocked by any number of unplaceable jobs ahead of it', () => {
    const state = inFullPool();
    Array.from({ length: 60 }).forEach((_, index) => {
      const jobId = brand<JobId>(`${index}`.padStart(16, '0'));
      submit(state, jobId, { cpuMillis: 8000, taskCount: 2 }, 10);
    });
    schedulePool(state, POOL, 1410);
    reportAllDone(state, [SECOND, THIRD], 1500);
    scheduleAfterWrites(state, 1510);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  it('keeps the endpoint isolated for it while placement of its step is not retried', () => {
    // The ninth task of the step had not started when the endpoint crashed, so it needs no isolation, and it cannot
    // be placed.
    const state = inFullPool({ taskCount: 9 });
    const later = brand<JobId>('00000000000000d4');
    schedulePool(state, POOL, 1001);
    submit(state, later, { taskCount: 16 }, 1002);
    reportAllDone(state, [SECOND], 1003);
    scheduleAfterWrites(state, 1004);
    expect(placesOf(state, later)).toEqual([]);
    expect(placesOf(state, SUSPECT)).toEqual(Array.from({ length: 8 }, () => SECOND));
  });

  it('leaves most of a pool to other jobs, however many suspects wait', () => {
    const state = afterCrash({ taskCount: 8 });
    scheduleAfterWrites(state, 1020);
    expect(new Set(placesOf(state, SUSPECT)).size).toBe(1);
    submit(state, OTHER, {}, 1030);
    schedulePool(state, POOL, 1030);
    expect(placesOf(state, OTHER)).toHaveLength(1);
  });

  it('is started with all members of its gang, away from runs of other jobs', () => {
    const state = afterCrash({ taskCount: 8, isGang: true });
    submit(state, OTHER, {}, 1010);
    scheduleAfterWrites(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(8);
    expect(placesOf(state, SUSPECT)).not.toContain(placesOf(state, OTHER)[0]);
  });
});

describe('an endpoint that crashed', () => {
  it('is not recorded against tasks of a job that has ended, and leaves no suspect job behind', () => {
    const state = createBatchState(2);
    addEndpoint(state, FIRST);
    reportRunning(state, FIRST, 10);
    submit(state, SUSPECT, {}, 20);
    schedulePool(state, POOL, 20);
    cancelJob(state, SUSPECT, null);
    crash(state, FIRST, 1000);
    expect(tasksOf(state, SUSPECT)[0]?.crashes).toEqual([]);
    expect(state.suspectJobs.size).toBe(0);
  });

  const isSuspectedOf = (state: BatchState, jobId: JobId): boolean | undefined =>
    tasksOf(state, jobId)[0]?.crashes.at(-1)?.isSuspected;

  /** Crashes an endpoint with one run that it has been alive with for the given time, and one that has just started. */
  const crashBesideRunOf = (livedMs: number): BatchState => {
    const state = createBatchState(2);
    addEndpoint(state, FIRST);
    reportRunning(state, FIRST, 10);
    submit(state, OTHER, {}, 20);
    schedulePool(state, POOL, 20);
    reportRunning(state, FIRST, 100);
    reportRunning(state, FIRST, 101 + livedMs);
    submit(state, SUSPECT, {}, 110 + livedMs);
    schedulePool(state, POOL, 110 + livedMs);
    crash(state, FIRST, 1000 + livedMs);
    return state;
  };

  it('does not make a run a suspect that it had survived for the observation period', () => {
    const state = crashBesideRunOf(600);
    expect(isSuspectedOf(state, OTHER)).toBe(false);
    expect(isSuspectedOf(state, SUSPECT)).toBe(true);
  });

  it('makes a run the sole suspect only if all others had run there for 2 s', () => {
    const isSoleSuspectAfter = (livedMs: number) =>
      tasksOf(crashBesideRunOf(livedMs), SUSPECT)[0]?.crashes[0]?.isSoleSuspect;
    expect([isSoleSuspectAfter(600), isSoleSuspectAfter(2000)]).toEqual([false, true]);
  });

  it('does not make a run a suspect that had started under an earlier holder', () => {
    const state = createBatchState(2);
    change(state, { takenOverAtMs: 0 });
    submit(state, OTHER, {}, 10);
    addEndpoint(state, FIRST);
    const running = [
      { task: taskKey(OTHER, 0, 0, 0), run: 1001, checkpoint: '', percent: 5, figure: 0 },
    ];
    applyAnswer(state, { endpointId: FIRST, running, requestedAtMs: 500, nowMs: 510 });
    crash(state, FIRST, 1000);
    expect(isSuspectedOf(state, OTHER)).toBe(false);
  });

  it('is not added to crashes from before an endpoint survived the task when deciding to give up', () => {
    const crashOf = (isSuspected: boolean, index: number): EndpointCrash => ({
      run: 2001 + index,
      livedMs: isSuspected ? 0 : 800,
      isKnown: true,
      isConfirmed: true,
      isSuspected,
      isSoleSuspect: isSuspected,
      isCorrelated: false,
      fence: 2,
      countedAtMs: 0,
    });
    const reasonAfter = (...crashes: readonly boolean[]) =>
      giveUpReason({ key: taskKey(OTHER, 0, 0, 0), crashes: crashes.map(crashOf) });
    expect(reasonAfter(true, false, true)).toBeUndefined();
    expect(reasonAfter(false, true, true)).toContain('3 endpoints crashed');
    expect(reasonAfter(true, false, true, false)).toContain('4 endpoints crashed');
  });

  it('is not recorded against a long-running task that had run there for 5 s', () => {
    const state = createBatchState(2);
    addEndpoint(state, FIRST);
    reportRunning(state, FIRST, 10);
    submit(state, OTHER, { isLasting: true }, 20);
    schedulePool(state, POOL, 20);
    reportRunning(state, FIRST, 100);
    reportRunning(state, FIRST, 6000);
    crash(state, FIRST, 7000);
    expect(tasksOf(state, OTHER)[0]?.crashes).toEqual([]);
  });
});

describe('a task that waits for an endpoint of its own', () => {
  const ACCOUNT = brand<AccountName>('client-a');
  const CRASH: EndpointCrash = {
    run: 1001,
    livedMs: 0,
    isKnown: true,
    isConfirmed: true,
    isSuspected: true,
    isSoleSuspect: true,
    isCorrelated: false,
    fence: 1,
    countedAtMs: 0,
  };

  const CORRELATED: EndpointCrash = { ...CRASH, isSoleSuspect: false, isCorrelated: true };

  const suspectAllTasks = (
    state: BatchState,
    jobId: JobId,
    crashes: readonly EndpointCrash[] = [CRASH],
  ): void => {
    const job = state.jobs.get(jobId);
    if (job) state.suspectJobs.add(job);
    tasksOf(state, jobId).forEach((task) => change(task, { crashes }));
  };

  const describeEndpoint = (endpointId: EndpointId) => ({
    endpointId,
    hostId: null,
    address: '',
    dataCentre: brand<DataCentreId>(''),
    labels: [],
    capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
    isDraining: false,
  });

  const addEndpoints = (state: BatchState, ...endpointIds: readonly EndpointId[]): void =>
    endpointIds.forEach((endpointId) => {
      addEndpoint(state, endpointId);
      reportRunning(state, endpointId, 10);
    });

  it('is not kept waiting by a full endpoint while another one has capacity', () => {
    const state = createBatchState(2);
    addEndpoints(state, FIRST);
    submit(state, OTHER, { cpuMillis: 7000 }, 20);
    schedulePool(state, POOL, 20);
    expect(placesOf(state, OTHER)).toEqual([FIRST]);
    addEndpoints(state, SECOND);
    ['c3', 'd4'].forEach((last) =>
      submit(state, brand<JobId>(`00000000000000${last}`), { cpuMillis: 1200 }, 30),
    );
    change(state.endpoints.get(FIRST) as EndpointState, { isCordoned: true });
    schedulePool(state, POOL, 30);
    change(state.endpoints.get(FIRST) as EndpointState, { isCordoned: false });
    expect(state.endpoints.get(SECOND)?.runs.size).toBe(2);
    submit(state, SUSPECT, { cpuMillis: 3750 }, 40);
    suspectAllTasks(state, SUSPECT);
    for (let nowMs = 200; nowMs <= 10_000; nowMs += 200) {
      [FIRST, SECOND].forEach((endpointId) => reportRunning(state, endpointId, nowMs));
      markRowsWritten(state);
      schedulePool(state, POOL, nowMs);
    }
    expect(placesOf(state, SUSPECT)).toEqual([SECOND]);
  });

  describe('in a pool that is mostly free, with a small run on each endpoint', () => {
    /** Counts how many of three jobs are started, each on an endpoint of its own; one elsewhere crashed at 0.4 s. */
    const countStarted = (nowMs: number, crashOfTask: EndpointCrash): number => {
      const state = createBatchState(2);
      const endpointIds = [FIRST, SECOND, THIRD, FOURTH];
      addEndpoints(state, ...endpointIds);
      const elsewhere = brand<PoolName>('beta');
      const crashed = brand<EndpointId>('i-0000000005');
      upsertEndpoint(state, { ...describeEndpoint(crashed), pool: elsewhere }, 0);
      submit(state, OTHER, { taskCount: 4, mostPerEndpoint: 1, isLasting: true }, 20);
      schedulePool(state, POOL, 20);
      const suspects = [1, 2, 3].map((last) => brand<JobId>(`00000000000000e${last}`));
      suspects.forEach((jobId) => {
        submit(state, jobId, {}, 30);
        suspectAllTasks(state, jobId, [crashOfTask, crashOfTask, crashOfTask]);
      });
      crash(state, crashed, 400);
      [400, nowMs - 10].forEach((atMs) =>
        endpointIds.forEach((one) => reportRunning(state, one, atMs)),
      );
      [nowMs, nowMs + 10].forEach((atMs) => scheduleAfterWrites(state, atMs));
      return suspects.filter((jobId) => placesOf(state, jobId).length > 0).length;
    };

    it('shares a quarter of the endpoints with other suspects while endpoints crash', () => {
      expect(countStarted(1000, CORRELATED)).toBe(1);
    });

    it('shares half of them once none has crashed for 3 s, if its own crashed with others', () => {
      expect(countStarted(3500, CORRELATED)).toBe(2);
    });

    it('shares a quarter of them at any time if it may explain its crashes', () => {
      expect(countStarted(3500, { ...CRASH, isSoleSuspect: false })).toBe(1);
    });
  });

  it('is not kept from it by another one whose account has reached its maximum', () => {
    const state = createBatchState(2);
    addEndpoints(state, FIRST, SECOND);
    const maximum = { cpuMillis: 2000, memoryMb: 0, accelerators: 0 };
    const limits = { maximum, weight: 1 };
    setAccounts(state, new Map([[ACCOUNT, limits]]));
    state.usage.set(ACCOUNT, { ...maximum });
    submitJob(state, SUSPECT, { owner: { account: ACCOUNT, maximum }, nowMs: 20 });
    submitJob(state, OTHER, { nowMs: 30 });
    [SUSPECT, OTHER].forEach((jobId) => suspectAllTasks(state, jobId));
    scheduleAfterWrites(state, 40);
    expect(placesOf(state, SUSPECT)).toEqual([]);
    expect(placesOf(state, OTHER)).toHaveLength(1);
  });

  it('is not kept from it by endpoints of other pools that are isolated', () => {
    const state = createBatchState(2);
    addEndpoints(state, FIRST);
    submit(state, SUSPECT, {}, 20);
    suspectAllTasks(state, SUSPECT);
    scheduleAfterWrites(state, 40);
    expect(placesOf(state, SUSPECT)).toEqual([FIRST]);
    const elsewhere = brand<PoolName>('beta');
    upsertEndpoint(state, { ...describeEndpoint(SECOND), pool: elsewhere }, 0);
    applyAnswer(state, { endpointId: SECOND, requestedAtMs: 49, nowMs: 50 });
    const other = state.jobs.get(SUSPECT) as JobState;
    const job = { ...other.job, jobId: OTHER, pool: elsewhere };
    addJob(state, { job, policy: other.policy, nowMs: 50, wallClockMs: 50 });
    suspectAllTasks(state, OTHER);
    markRowsWritten(state);
    schedulePool(state, elsewhere, 60);
    markRowsWritten(state);
    schedulePool(state, elsewhere, 70);
    expect(placesOf(state, OTHER)).toEqual([SECOND]);
  });

  describe('beside a suspect of another job on the only endpoint', () => {
    /** Tells whether the tasks of both jobs are started; the last endpoint crashed at 2 s. */
    const areBothStarted = (
      crashes: readonly EndpointCrash[],
      { step = {}, nowMs = 5000 }: { step?: Partial<StepSpec>; nowMs?: number } = {},
    ): boolean => {
      const state = createBatchState(2);
      addEndpoints(state, FIRST, SECOND);
      crash(state, SECOND, 2000);
      submit(state, OTHER, {}, 20);
      suspectAllTasks(state, OTHER, [CORRELATED]);
      submit(state, SUSPECT, step, 30);
      suspectAllTasks(state, SUSPECT, crashes);
      scheduleAfterWrites(state, nowMs);
      scheduleAfterWrites(state, nowMs + 10);
      return [OTHER, SUSPECT].every((jobId) => placesOf(state, jobId).length > 0);
    };

    it('is started there if each of its crashes came together with others', () => {
      expect(areBothStarted([CORRELATED])).toBe(true);
      expect(areBothStarted([CORRELATED, CORRELATED])).toBe(true);
    });

    it('waits if it may explain one of its crashes, or one more might have it given up', () => {
      expect(areBothStarted([CRASH])).toBe(false);
      expect(areBothStarted([CORRELATED, CRASH])).toBe(false);
      expect(areBothStarted([CORRELATED, CORRELATED, CORRELATED])).toBe(false);
    });

    it('waits if it belongs to a gang', () => {
      expect(areBothStarted([CORRELATED], { step: { isGang: true, taskCount: 2 } })).toBe(false);
    });

    it('waits until no endpoint has crashed for 3 s', () => {
      expect(areBothStarted([CORRELATED], { nowMs: 4900 })).toBe(false);
      expect(areBothStarted([CORRELATED], { nowMs: 5100 })).toBe(true);
    });
  });
});
