/** Which endpoints are kept for tasks under which others crashed, and what may begin there. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type EndpointId, type JobId } from '../../shared/ids.js';
import {
  answer,
  FIRST,
  POOL,
  SECOND,
  scheduleWritten,
  see,
  writeRows,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { giveUpReason } from './endpoint-crashes.js';
import { instanceOf, lifeOf } from '../model/endpoint-life.js';
import { expectReports } from '../endpoints/endpoints.js';
import { removeEndpoint, settleGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { cancelJob } from '../jobs/jobs.js';
import { progressOf, restoreJob } from '../jobs/progress.js';
import { endpointsOf, schedulePool } from '../placement/schedule.js';
import {
  createBatchState,
  type BatchState,
  type EndpointCrash,
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
  state.jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.tasks ?? [];

const placesOf = (state: BatchState, jobId: JobId): readonly EndpointId[] =>
  tasksOf(state, jobId).flatMap((task) => endpointsOf(state, task));

/** An endpoint answers that all runs there run. */
const hear = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
  const running = runs.map(({ task, run }) => ({
    task: task.key,
    run,
    checkpoint: '',
    percent: 100,
    figure: 0,
  }));
  answer(state, { endpointId, running, askedAtMs: nowMs - 1, nowMs });
};

/** All that runs on some endpoints is done. */
const endAll = (state: BatchState, endpointIds: readonly EndpointId[], nowMs: number): void =>
  endpointIds.forEach((endpointId) => {
    const runs = Array.from(state.endpoints.get(endpointId)?.runs.values() ?? []);
    const ended = runs.map(({ task, run }, index) => ({
      number: index + 1,
      task: task.key,
      run,
      kind: 'done' as const,
      checkpoint: '',
    }));
    answer(state, { endpointId, ended, askedAtMs: nowMs - 1, nowMs });
  });

const crash = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 10, nowMs });
  settleGoneEndpoints(state, nowMs);
};

/** Of a job of so many tasks one or more ran on the first of three endpoints as it crashed. */
const afterCrash = (step: Partial<StepSpec> = {}): BatchState => {
  const state = createBatchState(2);
  see(state, FIRST);
  hear(state, FIRST, 10);
  submit(state, SUSPECT, step, 20);
  schedulePool(state, POOL, 20);
  [SECOND, THIRD].forEach((endpointId) => {
    see(state, endpointId, 25);
    hear(state, endpointId, 30);
  });
  crash(state, FIRST, 1000);
  return state;
};

describe('crashes about the time of a task', () => {
  /** Two others crash 0.7 and 0.2 s before the task's endpoint. */
  const isCorrelatedWith = ([one, other]: readonly [EndpointId, EndpointId]): boolean => {
    const state = createBatchState(2);
    see(state, FIRST);
    hear(state, FIRST, 10);
    submit(state, SUSPECT, {}, 20);
    schedulePool(state, POOL, 20);
    see(state, one, 30);
    crash(state, one, 300);
    see(state, other, 400);
    crash(state, other, 800);
    crash(state, FIRST, 1000);
    return tasksOf(state, SUSPECT)[0]?.crashes[0]?.isCorrelated ?? false;
  };

  it('have a cause of their own if two other endpoints crashed', () => {
    expect(isCorrelatedWith([SECOND, THIRD])).toBe(true);
  });

  it('say nothing if one other endpoint crashed in each of two lives', () => {
    expect(isCorrelatedWith([lifeOf(SECOND, 1), lifeOf(SECOND, 2)])).toBe(false);
  });
});

describe('a task under which an endpoint crashed', () => {
  it('is begun only once that is written', () => {
    const state = afterCrash();
    schedulePool(state, POOL, 1010);
    expect(placesOf(state, SUSPECT)).toEqual([]);
    scheduleWritten(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  it('is begun only once its start is written, too', () => {
    const state = afterCrash();
    writeRows(state);
    schedulePool(state, POOL, 1010);
    expect(placesOf(state, SUSPECT)).toEqual([]);
    writeRows(state);
    schedulePool(state, POOL, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  describe('and that a lost holder had announced', () => {
    const inherited = (): BatchState => {
      const before = afterCrash();
      writeRows(before);
      schedulePool(before, POOL, 1010);
      const job = before.jobs.get(SUSPECT) as JobState;
      const state = createBatchState(3);
      restoreJob(state, {
        job: job.job,
        policy: job.policy,
        progress: progressOf(job),
        nowMs: 2000,
        todayMs: 2000,
      });
      see(state, SECOND, 2000);
      hear(state, SECOND, 2010);
      return state;
    };

    it('counts as crashed once no endpoint tells of its run', () => {
      const state = inherited();
      scheduleWritten(state, 2020);
      expect(tasksOf(state, SUSPECT)[0]?.crashes).toMatchObject([
        { isSuspected: true },
        { isConfirmed: false, isSuspected: true, fence: 3 },
      ]);
    });

    it('does not count while an endpoint that may run it has not answered', () => {
      const state = inherited();
      state.inheritedLeasesEndAtMs = 9000;
      expectReports(state, [{ instanceId: instanceOf(THIRD), pool: POOL }]);
      scheduleWritten(state, 2020);
      expect(tasksOf(state, SUSPECT)[0]?.crashes).toHaveLength(1);
    });
  });

  it('has an endpoint to itself until that was heard to live with it', () => {
    const state = afterCrash();
    scheduleWritten(state, 1020);
    const [place] = placesOf(state, SUSPECT);
    submit(state, OTHER, { taskCount: 12 }, 1030);
    schedulePool(state, POOL, 1030);
    expect(placesOf(state, OTHER)).toHaveLength(8);
    expect(placesOf(state, OTHER)).not.toContain(place);
    hear(state, place as EndpointId, 1040);
    hear(state, place as EndpointId, 1400);
    schedulePool(state, POOL, 1410);
    expect(placesOf(state, OTHER)).toContain(place);
  });

  it('waits until runs of others have ended, but no longer than 2 s for those that last', () => {
    const state = afterCrash();
    submit(state, OTHER, { taskCount: 2, mostPerEndpoint: 1, cpuMillis: 6000 }, 1000);
    schedulePool(state, POOL, 1000);
    writeRows(state);
    const pass = (nowMs: number): readonly EndpointId[] => {
      [SECOND, THIRD].forEach((endpointId) => hear(state, endpointId, nowMs));
      scheduleWritten(state, nowMs);
      return placesOf(state, SUSPECT);
    };
    expect(pass(1100)).toEqual([]);
    expect(pass(2900)).toEqual([]);
    expect(pass(3100)).toHaveLength(1);
  });

  it('is given a place where antiaffinity leaves one, not beside those of its own step', () => {
    const state = createBatchState(2);
    const live = (endpointId: EndpointId, nowMs: number): void => {
      see(state, endpointId, nowMs);
      hear(state, endpointId, nowMs + 1);
    };
    [FIRST, SECOND].forEach((endpointId) => live(endpointId, 10));
    submit(state, SUSPECT, { taskCount: 2, mostPerEndpoint: 1, isLasting: true }, 20);
    schedulePool(state, POOL, 20);
    [THIRD, FOURTH].forEach((endpointId) => live(endpointId, 25));
    [FIRST, SECOND].forEach((endpointId) => crash(state, endpointId, 1000));
    scheduleWritten(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
    [1040, 1400].forEach((nowMs) => [THIRD, FOURTH].forEach((id) => hear(state, id, nowMs)));
    schedulePool(state, POOL, 1410);
    expect(new Set(placesOf(state, SUSPECT))).toEqual(new Set([THIRD, FOURTH]));
  });

  /** Nothing has been written yet, and other tasks have taken all room meanwhile. */
  const inFullPool = (step: Partial<StepSpec> = {}): BatchState => {
    const state = afterCrash(step);
    submit(state, OTHER, { taskCount: 16 }, 10);
    schedulePool(state, POOL, 1000);
    expect(placesOf(state, OTHER)).toHaveLength(16);
    writeRows(state);
    return state;
  };

  it('is not kept waiting by others that find no place, however many go before it', () => {
    const state = inFullPool();
    Array.from({ length: 60 }).forEach((_, index) => {
      const jobId = brand<JobId>(`${index}`.padStart(16, '0'));
      submit(state, jobId, { cpuMillis: 8000, taskCount: 2 }, 10);
    });
    schedulePool(state, POOL, 1410);
    endAll(state, [SECOND, THIRD], 1500);
    scheduleWritten(state, 1510);
    expect(placesOf(state, SUSPECT)).toHaveLength(1);
  });

  it('keeps the endpoint that is emptied for it while its step is not tried again', () => {
    // The ninth task of the step had not begun, may stand beside others, and finds no place.
    const state = inFullPool({ taskCount: 9 });
    const later = brand<JobId>('00000000000000d4');
    schedulePool(state, POOL, 1001);
    submit(state, later, { taskCount: 16 }, 1002);
    endAll(state, [SECOND], 1003);
    scheduleWritten(state, 1004);
    expect(placesOf(state, later)).toEqual([]);
    expect(placesOf(state, SUSPECT)).toEqual(Array.from({ length: 8 }, () => SECOND));
  });

  it('leaves most of a pool to others, however many wait so', () => {
    const state = afterCrash({ taskCount: 8 });
    scheduleWritten(state, 1020);
    expect(new Set(placesOf(state, SUSPECT)).size).toBe(1);
    submit(state, OTHER, {}, 1030);
    schedulePool(state, POOL, 1030);
    expect(placesOf(state, OTHER)).toHaveLength(1);
  });

  it('has all members of its gang begun with it, where nothing of others is', () => {
    const state = afterCrash({ taskCount: 8, isGang: true });
    submit(state, OTHER, {}, 1010);
    scheduleWritten(state, 1020);
    expect(placesOf(state, SUSPECT)).toHaveLength(8);
    expect(placesOf(state, SUSPECT)).not.toContain(placesOf(state, OTHER)[0]);
  });
});

describe('an endpoint that crashed', () => {
  it('is held against no task of a job that is over, and nothing is kept of it', () => {
    const state = createBatchState(2);
    see(state, FIRST);
    hear(state, FIRST, 10);
    submit(state, SUSPECT, {}, 20);
    schedulePool(state, POOL, 20);
    cancelJob(state, SUSPECT, null);
    crash(state, FIRST, 1000);
    expect(tasksOf(state, SUSPECT)[0]?.crashes).toEqual([]);
    expect(state.suspectJobs.size).toBe(0);
  });

  const blamedOf = (state: BatchState, jobId: JobId): boolean | undefined =>
    tasksOf(state, jobId)[0]?.crashes.at(-1)?.isSuspected;

  /** One run with which the endpoint was heard to live for so long, beside one that has just begun. */
  const besideOneOf = (livedMs: number): BatchState => {
    const state = createBatchState(2);
    see(state, FIRST);
    hear(state, FIRST, 10);
    submit(state, OTHER, {}, 20);
    schedulePool(state, POOL, 20);
    hear(state, FIRST, 100);
    hear(state, FIRST, 101 + livedMs);
    submit(state, SUSPECT, {}, 110 + livedMs);
    schedulePool(state, POOL, 110 + livedMs);
    crash(state, FIRST, 1000 + livedMs);
    return state;
  };

  it('is not held against a run with which it had been heard to live', () => {
    const state = besideOneOf(600);
    expect(blamedOf(state, OTHER)).toBe(false);
    expect(blamedOf(state, SUSPECT)).toBe(true);
  });

  it('proves something of a run only if the others had been there for 2 s', () => {
    const proves = (livedMs: number) =>
      tasksOf(besideOneOf(livedMs), SUSPECT)[0]?.crashes[0]?.isSoleSuspect;
    expect([proves(600), proves(2000)]).toEqual([false, true]);
  });

  it('is not held against a run of an earlier holder that it had had since before', () => {
    const state = createBatchState(2);
    change(state, { takenOverAtMs: 0 });
    submit(state, OTHER, {}, 10);
    see(state, FIRST);
    const running = [
      { task: taskKey(OTHER, 0, 0, 0), run: 1001, checkpoint: '', percent: 5, figure: 0 },
    ];
    answer(state, { endpointId: FIRST, running, askedAtMs: 500, nowMs: 510 });
    crash(state, FIRST, 1000);
    expect(blamedOf(state, OTHER)).toBe(false);
  });

  it('proves nothing together with one before an endpoint that lived with the task', () => {
    const crashOf = (isSuspected: boolean): EndpointCrash => ({
      run: 2001,
      livedMs: isSuspected ? 0 : 800,
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

  it('is not held against a long-running task that had run there for long', () => {
    const state = createBatchState(2);
    see(state, FIRST);
    hear(state, FIRST, 10);
    submit(state, OTHER, { isLasting: true }, 20);
    schedulePool(state, POOL, 20);
    hear(state, FIRST, 100);
    hear(state, FIRST, 6000);
    crash(state, FIRST, 7000);
    expect(tasksOf(state, OTHER)[0]?.crashes).toEqual([]);
  });
});
