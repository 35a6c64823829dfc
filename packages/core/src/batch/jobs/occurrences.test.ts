/** Guards against recurring jobs whose due times take memory, row space or processor time by their number. */
import { fc, test } from '@fast-check/vitest';
import { describe, expect, it } from 'vitest';

import { brand, type JobId, type PoolName } from '../../shared/ids.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import { parseTaskKey, type BatchJob, type TaskKeyParts } from '../model/job.js';
import { createBatchState, poolOf, type BatchState, type JobState } from '../model/state.js';
import {
  addJob,
  completeTask,
  findReportedTask,
  findTask,
  startDueOccurrences,
} from './job-lifecycle.js';
import { buildProgressRow, hasStartedTasks, isProgressRow } from './progress.js';
import { restoreJob } from './restore-job.js';

const ROW_BYTES = 65_536;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
const POOL = brand<PoolName>('p');
const JOB = brand<JobId>('5c0e7a21d94b36f8');
const WALL_CLOCK_MS = 1_700_000_000_000;

/** A job that is due once a second and whose due times are all past. */
const createJob = (repeats: number, tasks = 2, stepCount = 1): BatchJob => ({
  jobId: JOB,
  queue: brand('q'),
  pool: POOL,
  spec: '',
  steps: Array.from({ length: stepCount }, (_, number) => ({
    ...DEFAULT_STEP,
    taskCount: tasks,
    after: number === 0 ? [] : [number - 1],
  })),
  repeats,
  firstDueAtMs: WALL_CLOCK_MS - (repeats + 1) * 1000,
  intervalMs: 1000,
  acceptedAtMs: WALL_CLOCK_MS,
});

const tick = (state: BatchState): void =>
  state.recurringJobs.forEach((job) => startDueOccurrences(state, job, 0, WALL_CLOCK_MS));

/** Lists the tasks that may start now. */
const listWaiting = (state: BatchState): readonly TaskKeyParts[] =>
  Array.from(poolOf(state, POOL).openSteps).flatMap(({ tasks, waiting }) =>
    waiting.flatMap((index) => parseTaskKey(tasks.at(index)?.key ?? '') ?? []),
  );

const complete = (state: BatchState, name: TaskKeyParts): void => {
  const found = findTask(state, name);
  if (found) completeTask(state, found.step, found.task);
};

const rowBytesOf = (job: JobState): number => JSON.stringify(buildProgressRow(job)).length;

/** What the build before this one requires of a row that it reads. */
const isReadByEarlierBuild = (row: unknown): boolean =>
  Object.values(row as object).every(
    (steps) =>
      typeof steps === 'object' &&
      !Array.isArray(steps) &&
      Object.values(steps as object).every((step) => typeof step === 'object'),
  );

const start = (job: BatchJob): { state: BatchState; job: JobState } => {
  const state = createBatchState(1);
  const times = { nowMs: 0, wallClockMs: WALL_CLOCK_MS };
  return { state, job: addJob(state, { job, policy: POLICY, ...times }) };
};

/** Lets the next holder restore the job from its row. */
const restore = ({ job }: JobState, row: unknown): { state: BatchState; job: JobState } => {
  const state = createBatchState(2);
  const progress = JSON.parse(JSON.stringify(row)) as ReturnType<typeof buildProgressRow>;
  const times = { nowMs: 0, wallClockMs: WALL_CLOCK_MS };
  return { state, job: restoreJob(state, { job, policy: POLICY, progress, ...times }) };
};

describe('a job with many due times in the past', () => {
  it('has a state for a few of them at a time, and a row of bounded size', () => {
    const { state, job } = start(createJob(86_400, 6));
    for (let round = 0; round < 50; round += 1) {
      expect(job.occurrences.size).toBeLessThan(100);
      expect(rowBytesOf(job)).toBeLessThan(ROW_BYTES / 4);
      listWaiting(state).forEach((name) => complete(state, name));
      tick(state);
    }
    expect(job.doneBelow).toBeGreaterThan(300);
  });

  it('runs each of them once, and is completed after the last one', () => {
    const { state, job } = start(createJob(5000));
    const done = new Set<string>();
    for (let round = 0; round < 5000 && job.phase === 'pending'; round += 1) {
      listWaiting(state).forEach((name) => {
        const key = `${name.occurrence}.${name.index}`;
        expect(done.has(key)).toBe(false);
        done.add(key);
        complete(state, name);
      });
      tick(state);
    }
    expect(job.phase).toBe('completed');
    expect(done.size).toBe(10_000);
    expect(state.recurringJobs.size).toBe(0);
  });

  it('starts nothing more while its tasks wait for capacity', () => {
    const { state, job } = start(createJob(86_400, 6));
    const before = job.occurrences.size;
    for (let round = 0; round < 20; round += 1) tick(state);
    expect(job.occurrences.size).toBe(before);
    expect(listWaiting(state).length).toBeLessThan(100);
  });

  it('starts the next ones while later steps of earlier ones wait for their turn', () => {
    const { state, job } = start(createJob(10, 30, 3));
    for (let round = 0; round < 10; round += 1) {
      // All tasks whose turn has come are placed, and none has ended.
      poolOf(state, POOL).openSteps.forEach((step) => step.waiting.splice(0));
      tick(state);
    }
    expect(job.nextOccurrence).toBe(10);
  });

  it('has one of them at a time while there is no memory for more', () => {
    const { state, job } = start(createJob(100));
    listWaiting(state).forEach((name) => complete(state, name));
    Object.assign(state, { occurrenceBytesLeft: 0 });
    tick(state);
    expect(job.occurrences.size).toBe(1);
  });

  it('counts all of them as arrived work when they are due', () => {
    const { state } = start(createJob(86_400, 6));
    const some = start(createJob(10, 6));
    const coresOf = (one: BatchState): number => poolOf(one, POOL).demand.rates(0).slowCores;
    expect(coresOf(state) / coresOf(some.state)).toBeCloseTo(8640, 0);
    const before = coresOf(state);
    listWaiting(state).forEach((name) => complete(state, name));
    tick(state);
    expect(coresOf(state)).toBe(before);
  });

  it('is not begun before its first due time, nor further than the clock', () => {
    const future = start({ ...createJob(10), firstDueAtMs: WALL_CLOCK_MS + 1000 });
    expect(future.job.occurrences.size).toBe(0);
    const partly = start({ ...createJob(10), firstDueAtMs: WALL_CLOCK_MS - 2500 });
    expect(partly.job.nextOccurrence).toBe(3);
  });

  test.prop(
    [
      fc.integer({ min: 1, max: 700 }),
      fc.integer({ min: 1, max: 3 }),
      fc.integer({ min: 1, max: 2 }),
      fc.array(fc.tuple(fc.nat(), fc.integer({ min: 0, max: 9 })), { maxLength: 2500 }),
    ],
    { seed: 1, numRuns: 60 },
  )(
    'runs each task once in any order of ends and over changes of the holder',
    (repeats, tasks, stepCount, events) => {
      let play = start(createJob(repeats, tasks, stepCount));
      const done = new Set<string>();
      const endOne = (pick: number): void => {
        const waiting = listWaiting(play.state);
        const name = waiting[pick % Math.max(1, waiting.length)];
        if (!name) return;
        const key = `${name.occurrence}.${name.step}.${name.index}`;
        expect(done.has(key)).toBe(false);
        done.add(key);
        complete(play.state, name);
      };
      events.forEach(([pick, action]) => {
        if (action === 0) tick(play.state);
        else if (action === 1) {
          const row = buildProgressRow(play.job);
          expect(isProgressRow(JSON.parse(JSON.stringify(row)))).toBe(true);
          expect(JSON.stringify(row).length).toBeLessThan(ROW_BYTES);
          if (play.job.phase !== 'completed') play = restore(play.job, row);
        } else endOne(pick);
      });
      for (let round = 0; round < 100_000 && play.job.phase !== 'completed'; round += 1) {
        tick(play.state);
        listWaiting(play.state).forEach(() => endOne(0));
      }
      expect(play.job.phase).toBe('completed');
      expect(done.size).toBe(repeats * tasks * stepCount);
    },
  );

  describe('in its row', () => {
    const finishSome = (repeats: number, rounds: number) => {
      const play = start(createJob(repeats));
      for (let round = 0; round < rounds; round += 1) {
        listWaiting(play.state).forEach((name) => complete(play.state, name));
        tick(play.state);
      }
      return play;
    };

    it('lists the done ones as the earlier build does, if there are few', () => {
      const { job } = finishSome(3, 1);
      expect(buildProgressRow(job)).toEqual({
        0: { 0: { done: '3' } },
        1: { 0: { done: '3' } },
        2: { 0: { done: '3' } },
      });
    });

    it('names the done ones by a number if there are many, which the earlier build leaves alone', () => {
      const { job } = finishSome(86_400, 20);
      const row = buildProgressRow(job);
      expect(row.doneBelow).toBeGreaterThan(100);
      expect(isReadByEarlierBuild(row)).toBe(false);
      expect(hasStartedTasks(row)).toBe(true);
    });

    it('is read if the earlier build wrote it, whatever its number of done ones', () => {
      const { job } = start(createJob(86_400));
      const numbers = Array.from({ length: 2500 }, (_, number) => number);
      const row = Object.fromEntries(numbers.map((number) => [number, { 0: { done: '3' } }]));
      const { job: restored } = restore(job, { ...row, 2500: { 0: { done: '1' } }, 2501: {} });
      expect(restored.doneBelow).toBe(2500);
      expect(restored.occurrences.get(2500)?.steps[0]?.doneCount).toBe(1);
    });

    it.each([{ doneBelow: -1 }, { doneBelow: 'x' }, { doneAhead: 7 }, { doneAhead: [null] }])(
      'counts as unreadable if it is %j',
      (odd) => {
        expect(isProgressRow(odd)).toBe(false);
      },
    );
  });

  describe('of which one is done', () => {
    it('does not start it again when an endpoint lists its task once more', () => {
      const { state, job } = start(createJob(86_400));
      listWaiting(state).forEach((name) => complete(state, name));
      tick(state);
      const before = job.occurrences.size;
      const found = findReportedTask(state, { jobId: JOB, occurrence: 0, step: 0, index: 1 });
      expect(found?.task.phase).toBe('done');
      if (found) completeTask(state, found.step, found.task);
      expect(job.occurrences.size).toBe(before);
      expect(job.occurrences.has(0)).toBe(false);
    });
  });
});
