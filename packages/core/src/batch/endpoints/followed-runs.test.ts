/** Runs that may be in the life after the one that they were ordered to. */
import { beforeEach, describe, expect, it } from 'vitest';

import type { EndpointId } from '../../shared/ids.js';
import {
  answer,
  FIRST_RUN,
  JOB,
  SECOND,
  see,
  stateWithJob,
  TASK,
  taskOf,
  scheduleWritten,
} from '../testing/batch-state.fixtures.js';
import { instanceOf, lifeOf } from '../model/endpoint-life.js';
import { barOpenStarts } from './followed-runs.js';
import { removeEndpoint, settleGoneEndpoints } from './gone-endpoints.js';
import { cancelJob } from '../jobs/jobs.js';
import { closeStart, LATEST_ORDER_MS, openStart } from './open-starts.js';
import { applyStartOutcome, applyStopAnswer } from './order-answers.js';
import type { EndKind } from './reports.js';
import { endpointsOf } from '../placement/schedule.js';
import { takeEffects, type BatchEffect, type BatchState, type GoneCause } from '../model/state.js';
import { watchRuns } from './watch-runs.js';

const LIFE = lifeOf('i-0000000001', 1_700_000_000_000);
const NEXT = lifeOf('i-0000000001', 1_700_000_000_900);
const SENT_AT_MS = 1000;
const GONE_AT_MS = 1400;
const HEARD_AT_MS = 1900;
const START = { task: TASK, run: FIRST_RUN };

const running = { ...START, checkpoint: '', percent: 10, figure: 0 };
const endOf = (kind: EndKind) => ({ ...START, number: 1, kind, checkpoint: '' });

describe('a run on an endpoint that starts again under its id', () => {
  let state: BatchState;
  let effects: BatchEffect[];

  const cycle = (nowMs: number): void => {
    settleGoneEndpoints(state, nowMs);
    scheduleWritten(state, nowMs);
    effects.push(...takeEffects(state));
  };

  const hear = (endpointId: EndpointId, nowMs: number, lists: object = {}): void =>
    answer(state, { endpointId, askedAtMs: nowMs - 2, nowMs, ...lists });

  const stopsAt = (endpointId: EndpointId) =>
    effects.filter((one) => one.kind === 'stop' && one.endpointId === endpointId);

  const lose = (detail: GoneCause): void => {
    removeEndpoint(state, LIFE, { detail, atMs: GONE_AT_MS, nowMs: GONE_AT_MS });
    cycle(GONE_AT_MS);
  };

  const seeNext = (): void => {
    see(state, NEXT, HEARD_AT_MS - 10);
    const next = state.endpoints.get(NEXT);
    if (next) barOpenStarts(state, next, HEARD_AT_MS - 10);
  };

  /** The task is ordered to begin on the first life; there is another endpoint to begin it on. */
  beforeEach(() => {
    state = stateWithJob();
    effects = [];
    see(state, LIFE);
    hear(LIFE, 10);
    cycle(SENT_AT_MS);
    openStart(state, LIFE, START, SENT_AT_MS);
    see(state, SECOND);
    hear(SECOND, 30);
    expect(endpointsOf(state, taskOf(state))).toEqual([LIFE]);
  });

  const answerStart = (): void => {
    closeStart(state, LIFE, START);
    applyStartOutcome(state, LIFE, { ...START, outcome: 'started', nowMs: SENT_AT_MS + 5 });
  };

  describe('whose start was answered, and that no list has named', () => {
    beforeEach(() => {
      answerStart();
      lose('restarted');
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      expect(taskOf(state).phase).toBe('placed');
      seeNext();
    });

    it('stays where it is if the next life lists it', () => {
      hear(NEXT, HEARD_AT_MS, { running: [running] });
      cycle(HEARD_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT]);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN);
      expect(taskOf(state).crashes).toEqual([]);
      expect(stopsAt(NEXT)).toEqual([]);
    });

    it('is done if the next life lists its end', () => {
      hear(NEXT, HEARD_AT_MS, { ended: [endOf('done')] });
      cycle(HEARD_AT_MS);
      expect(state.jobs.get(JOB)?.phase).toBe('completed');
    });

    it('is begun elsewhere once the next life lists nothing of it, and its crash is counted', () => {
      hear(NEXT, HEARD_AT_MS);
      cycle(HEARD_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toHaveLength(1);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      expect(taskOf(state).crashes).toHaveLength(1);
    });

    it('is begun elsewhere at last if no later life is ever heard', () => {
      cycle(SENT_AT_MS + 10_000);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      cycle(SENT_AT_MS + 11_000);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });
  });

  it('is stopped in the next life if its job was cancelled before that was heard', () => {
    answerStart();
    lose('restarted');
    seeNext();
    cancelJob(state, JOB, null);
    hear(NEXT, HEARD_AT_MS, { running: [running] });
    cycle(HEARD_AT_MS);
    expect(stopsAt(NEXT)).toMatchObject([START]);
  });

  it('is given up once it is barred, if its crash was one too many', () => {
    const crash = { run: 1, livedMs: 0, isConfirmed: true, isSuspected: true, fence: 2 };
    const blame = { ...crash, isSoleSuspect: true, isCorrelated: false, countedAtMs: 0 };
    Object.assign(taskOf(state), { crashes: [blame, blame, blame] });
    lose('restarted');
    seeNext();
    hear(NEXT, HEARD_AT_MS);
    cycle(HEARD_AT_MS);
    expect(state.jobs.get(JOB)?.phase).toBe('failed');
  });

  it('is counted as answered also where the answer comes after its life was found over', () => {
    lose('restarted');
    answerStart();
    cycle(GONE_AT_MS + 10);
    expect(endpointsOf(state, taskOf(state))).toEqual([]);
    seeNext();
    hear(NEXT, HEARD_AT_MS, { running: [running] });
    cycle(HEARD_AT_MS);
    expect(endpointsOf(state, taskOf(state))).toEqual([NEXT]);
    expect(taskOf(state).lastRun).toBe(FIRST_RUN);
  });

  describe('whose start had no answer', () => {
    it.each(['restarted', 'host-list', 'host-ordered'] as const)(
      'is not begun elsewhere while the order may reach the next life (%s)',
      (detail) => {
        lose(detail);
        cycle(SENT_AT_MS + LATEST_ORDER_MS - 1);
        expect(endpointsOf(state, taskOf(state))).toEqual([]);
        cycle(SENT_AT_MS + LATEST_ORDER_MS + 1);
        expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
      },
    );

    it.each(['host-taken', 'replaced', 'succeeded'] as const)(
      'is begun elsewhere at once where no later life can come (%s)',
      (detail) => {
        lose(detail);
        expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
      },
    );

    it('is barred in the next life first, and begun elsewhere once that holds', () => {
      lose('restarted');
      seeNext();
      hear(NEXT, HEARD_AT_MS);
      cycle(HEARD_AT_MS);
      expect(stopsAt(NEXT)).toMatchObject([START]);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT]);
      applyStopAnswer(state, NEXT, TASK, FIRST_RUN, HEARD_AT_MS + 10);
      hear(NEXT, HEARD_AT_MS + 20);
      cycle(HEARD_AT_MS + 20);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      expect(taskOf(state).crashes).toHaveLength(1);
    });

    it('is barred in the next life also after its task was begun elsewhere', () => {
      applyStartOutcome(state, LIFE, { ...START, outcome: 'unknown', nowMs: SENT_AT_MS + 50 });
      applyStopAnswer(state, LIFE, TASK, FIRST_RUN, SENT_AT_MS + 60);
      hear(LIFE, SENT_AT_MS + 80);
      cycle(SENT_AT_MS + 80);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      lose('restarted');
      seeNext();
      cycle(HEARD_AT_MS);
      expect(stopsAt(NEXT)).toMatchObject([START]);
    });

    it('is held also where its endpoint is only silent, and may have started again unheard', () => {
      const endpoint = state.endpoints.get(LIFE);
      Object.assign(endpoint ?? {}, { leaseEndsAtMs: 7000 });
      expect(watchRuns(state, 7100)).toEqual([]);
      expect(watchRuns(state, SENT_AT_MS + LATEST_ORDER_MS + 1)).toHaveLength(1);
    });
  });

  it('is begun elsewhere at once if its own life had listed it', () => {
    answerStart();
    hear(LIFE, SENT_AT_MS + 100, { running: [running] });
    lose('restarted');
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    expect(taskOf(state).crashes).toHaveLength(1);
  });

  it('that a former holder ordered, late, is stopped while its task runs elsewhere', () => {
    answerStart();
    hear(LIFE, SENT_AT_MS + 100, { running: [running] });
    lose('restarted');
    seeNext();
    hear(NEXT, HEARD_AT_MS, { running: [{ ...running, run: FIRST_RUN - 1000 }] });
    cycle(HEARD_AT_MS);
    expect(stopsAt(NEXT)).toMatchObject([{ task: TASK, run: FIRST_RUN - 1000 }]);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });

  it('keeps each of its lives apart, however fast they follow', () => {
    answerStart();
    hear(LIFE, SENT_AT_MS + 100, { running: [running] });
    Object.assign(state, { soleHolderUntilMs: 0 });
    lose('restarted');
    seeNext();
    removeEndpoint(state, NEXT, { detail: 'restarted', atMs: HEARD_AT_MS, nowMs: HEARD_AT_MS });
    expect(Array.from(state.goneEndpoints.keys())).toEqual([LIFE, NEXT]);
    expect(state.lives.has(instanceOf(LIFE))).toBe(false);
    Object.assign(state, { soleHolderUntilMs: Infinity });
    cycle(HEARD_AT_MS + 10);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });
});
