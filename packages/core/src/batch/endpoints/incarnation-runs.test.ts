/** Runs that may be in a later incarnation of the endpoint than the one they were sent to. */
import { beforeEach, describe, expect, it } from 'vitest';

import type { EndpointId } from '../../shared/ids.js';
import {
  applyAnswer,
  FIRST_RUN,
  JOB,
  SECOND,
  addEndpoint,
  createStateWithJob,
  TASK,
  taskOf,
  scheduleAfterWrites,
} from '../testing/batch-state.fixtures.js';
import { instanceIdOf, endpointIdOf } from '../model/endpoint-incarnation.js';
import { blockUnansweredStarts } from './incarnation-runs.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from './gone-endpoints.js';
import { cancelJob } from '../jobs/job-lifecycle.js';
import { recordStartsAnswered, MAX_ORDER_DELAY_MS, recordStartSent } from './unanswered-starts.js';
import { applyStartOutcome, applyStopResponse } from './order-responses.js';
import type { RunEndKind } from './endpoint-report.js';
import { endpointsOf } from '../placement/schedule.js';
import {
  removeEffects,
  type BatchEffect,
  type BatchState,
  type GoneCause,
} from '../model/state.js';
import { handleStalledAndLapsedRuns } from './stalled-runs.js';

const FIRST_INCARNATION = endpointIdOf('i-0000000001', 1_700_000_000_000);
const NEXT_INCARNATION = endpointIdOf('i-0000000001', 1_700_000_000_900);
const SENT_AT_MS = 1000;
const GONE_AT_MS = 1400;
const RESPONSE_AT_MS = 1900;
const ORDERED_RUN = { task: TASK, run: FIRST_RUN };

const runningReport = { ...ORDERED_RUN, checkpoint: '', percent: 10, figure: 0 };
const endOf = (kind: RunEndKind) => ({ ...ORDERED_RUN, number: 1, kind, checkpoint: '' });

describe('a run on an endpoint that restarts under the same id', () => {
  let state: BatchState;
  let effects: BatchEffect[];

  const runCycle = (nowMs: number): void => {
    giveUpRunsOfGoneEndpoints(state, nowMs);
    scheduleAfterWrites(state, nowMs);
    effects.push(...removeEffects(state));
  };

  const respond = (endpointId: EndpointId, nowMs: number, lists: object = {}): void =>
    applyAnswer(state, { endpointId, requestedAtMs: nowMs - 2, nowMs, ...lists });

  const stopOrdersAt = (endpointId: EndpointId) =>
    effects.filter((one) => one.kind === 'stop' && one.endpointId === endpointId);

  const loseEndpoint = (detail: GoneCause): void => {
    removeEndpoint(state, FIRST_INCARNATION, { detail, atMs: GONE_AT_MS, nowMs: GONE_AT_MS });
    runCycle(GONE_AT_MS);
  };

  const registerNextIncarnation = (): void => {
    addEndpoint(state, NEXT_INCARNATION, RESPONSE_AT_MS - 10);
    const next = state.endpoints.get(NEXT_INCARNATION);
    if (next) blockUnansweredStarts(state, next, RESPONSE_AT_MS - 10);
  };

  /** The task is ordered to start on the first incarnation; a second endpoint could run it as well. */
  beforeEach(() => {
    state = createStateWithJob();
    effects = [];
    addEndpoint(state, FIRST_INCARNATION);
    respond(FIRST_INCARNATION, 10);
    runCycle(SENT_AT_MS);
    recordStartSent(state, FIRST_INCARNATION, ORDERED_RUN, SENT_AT_MS);
    addEndpoint(state, SECOND);
    respond(SECOND, 30);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST_INCARNATION]);
  });

  const answerStart = (): void => {
    recordStartsAnswered(state, FIRST_INCARNATION, ORDERED_RUN);
    applyStartOutcome(state, FIRST_INCARNATION, {
      ...ORDERED_RUN,
      outcome: 'started',
      nowMs: SENT_AT_MS + 5,
    });
  };

  describe('whose start order was answered and that has not been listed yet', () => {
    beforeEach(() => {
      answerStart();
      loseEndpoint('restarted');
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      expect(taskOf(state).phase).toBe('placed');
      registerNextIncarnation();
    });

    it('moves to the next incarnation if that lists it as running, and no crash is counted', () => {
      respond(NEXT_INCARNATION, RESPONSE_AT_MS, { running: [runningReport] });
      runCycle(RESPONSE_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT_INCARNATION]);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN);
      expect(taskOf(state).crashes).toEqual([]);
      expect(stopOrdersAt(NEXT_INCARNATION)).toEqual([]);
    });

    it('completes if the next incarnation lists it as done', () => {
      respond(NEXT_INCARNATION, RESPONSE_AT_MS, { ended: [endOf('done')] });
      runCycle(RESPONSE_AT_MS);
      expect(state.jobs.get(JOB)?.phase).toBe('completed');
    });

    it('moves also if the list of the next incarnation leaves out ended runs', () => {
      const lists = { running: [runningReport], hasMoreEnds: true };
      respond(NEXT_INCARNATION, RESPONSE_AT_MS, lists);
      runCycle(RESPONSE_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT_INCARNATION]);
      expect(stopOrdersAt(NEXT_INCARNATION)).toEqual([]);
    });

    it('is replaced only once the next incarnation has listed everything without it', () => {
      respond(NEXT_INCARNATION, RESPONSE_AT_MS, { hasMoreEnds: true });
      runCycle(RESPONSE_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      respond(NEXT_INCARNATION, RESPONSE_AT_MS + 20);
      runCycle(RESPONSE_AT_MS + 20);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
    });

    it('is replaced by a new run, and a crash is counted, once the next incarnation does not list it', () => {
      respond(NEXT_INCARNATION, RESPONSE_AT_MS);
      runCycle(RESPONSE_AT_MS);
      expect(endpointsOf(state, taskOf(state))).toHaveLength(1);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      expect(taskOf(state).crashes).toHaveLength(1);
    });

    it('is started elsewhere after the longest lease if no later incarnation ever answers', () => {
      runCycle(SENT_AT_MS + 10_000);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      runCycle(SENT_AT_MS + 11_000);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });
  });

  it('is stopped in the next incarnation if its job was cancelled before that incarnation answered', () => {
    answerStart();
    loseEndpoint('restarted');
    registerNextIncarnation();
    cancelJob(state, JOB, null);
    respond(NEXT_INCARNATION, RESPONSE_AT_MS, { running: [runningReport] });
    runCycle(RESPONSE_AT_MS);
    expect(stopOrdersAt(NEXT_INCARNATION)).toMatchObject([ORDERED_RUN]);
  });

  it('fails its job once it is blocked in the next incarnation, if its task has caused too many crashes', () => {
    const crash = { livedMs: 0, isKnown: true, isConfirmed: true, isSuspected: true, fence: 2 };
    const blame = { ...crash, isSoleSuspect: true, isCorrelated: false, countedAtMs: 0 };
    const crashes = [1, 2, 3].map((run) => ({ ...blame, run }));
    Object.assign(taskOf(state), { crashes });
    loseEndpoint('restarted');
    registerNextIncarnation();
    respond(NEXT_INCARNATION, RESPONSE_AT_MS);
    runCycle(RESPONSE_AT_MS);
    expect(state.jobs.get(JOB)?.phase).toBe('failed');
  });

  it('counts as started also if the answer arrives after its incarnation was found to be over', () => {
    loseEndpoint('restarted');
    answerStart();
    runCycle(GONE_AT_MS + 10);
    expect(endpointsOf(state, taskOf(state))).toEqual([]);
    registerNextIncarnation();
    respond(NEXT_INCARNATION, RESPONSE_AT_MS, { running: [runningReport] });
    runCycle(RESPONSE_AT_MS);
    expect(endpointsOf(state, taskOf(state))).toEqual([NEXT_INCARNATION]);
    expect(taskOf(state).lastRun).toBe(FIRST_RUN);
  });

  describe('whose start order was not answered', () => {
    it.each(['restarted', 'host-list', 'host-ordered'] as const)(
      'is not started elsewhere while the order may reach the next incarnation (%s)',
      (detail) => {
        loseEndpoint(detail);
        runCycle(SENT_AT_MS + MAX_ORDER_DELAY_MS - 1);
        expect(endpointsOf(state, taskOf(state))).toEqual([]);
        runCycle(SENT_AT_MS + MAX_ORDER_DELAY_MS + 1);
        expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
      },
    );

    it.each(['host-taken', 'replaced', 'succeeded'] as const)(
      'is started elsewhere at once if there can be no later incarnation (%s)',
      (detail) => {
        loseEndpoint(detail);
        expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
      },
    );

    it('is started again only after the next incarnation has confirmed the stop order that blocks it', () => {
      loseEndpoint('restarted');
      registerNextIncarnation();
      respond(NEXT_INCARNATION, RESPONSE_AT_MS);
      runCycle(RESPONSE_AT_MS);
      expect(stopOrdersAt(NEXT_INCARNATION)).toMatchObject([ORDERED_RUN]);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT_INCARNATION]);
      applyStopResponse(state, NEXT_INCARNATION, TASK, FIRST_RUN, RESPONSE_AT_MS + 10);
      respond(NEXT_INCARNATION, RESPONSE_AT_MS + 20);
      runCycle(RESPONSE_AT_MS + 20);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      expect(taskOf(state).crashes).toHaveLength(1);
    });

    it('is blocked in the next incarnation also if the first list of that left out ended runs', () => {
      loseEndpoint('restarted');
      registerNextIncarnation();
      respond(NEXT_INCARNATION, RESPONSE_AT_MS, { hasMoreEnds: true });
      runCycle(RESPONSE_AT_MS);
      expect(stopOrdersAt(NEXT_INCARNATION)).toEqual([]);
      respond(NEXT_INCARNATION, RESPONSE_AT_MS + 20);
      runCycle(RESPONSE_AT_MS + 20);
      expect(stopOrdersAt(NEXT_INCARNATION)).toMatchObject([ORDERED_RUN]);
      expect(endpointsOf(state, taskOf(state))).toEqual([NEXT_INCARNATION]);
    });

    it('is blocked in the next incarnation also if its task has been started again before', () => {
      applyStartOutcome(state, FIRST_INCARNATION, {
        ...ORDERED_RUN,
        outcome: 'unknown',
        nowMs: SENT_AT_MS + 50,
      });
      applyStopResponse(state, FIRST_INCARNATION, TASK, FIRST_RUN, SENT_AT_MS + 60);
      respond(FIRST_INCARNATION, SENT_AT_MS + 80);
      runCycle(SENT_AT_MS + 80);
      expect(taskOf(state).lastRun).toBe(FIRST_RUN + 1);
      loseEndpoint('restarted');
      registerNextIncarnation();
      runCycle(RESPONSE_AT_MS);
      expect(stopOrdersAt(NEXT_INCARNATION)).toMatchObject([ORDERED_RUN]);
    });

    it('is not given up at the end of the lease of a silent endpoint, which may have restarted unnoticed', () => {
      const endpoint = state.endpoints.get(FIRST_INCARNATION);
      Object.assign(endpoint ?? {}, { leaseEndsAtMs: 7000 });
      expect(handleStalledAndLapsedRuns(state, 7100)).toEqual([]);
      expect(handleStalledAndLapsedRuns(state, SENT_AT_MS + MAX_ORDER_DELAY_MS + 1)).toHaveLength(
        1,
      );
    });
  });

  it('is started elsewhere at once if its own incarnation had listed it', () => {
    answerStart();
    respond(FIRST_INCARNATION, SENT_AT_MS + 100, { running: [runningReport] });
    loseEndpoint('restarted');
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    expect(taskOf(state).crashes).toHaveLength(1);
  });

  it('is stopped if it comes from a late order of an earlier holder and its task runs elsewhere', () => {
    answerStart();
    respond(FIRST_INCARNATION, SENT_AT_MS + 100, { running: [runningReport] });
    loseEndpoint('restarted');
    registerNextIncarnation();
    respond(NEXT_INCARNATION, RESPONSE_AT_MS, {
      running: [{ ...runningReport, run: FIRST_RUN - 1000 }],
    });
    runCycle(RESPONSE_AT_MS);
    expect(stopOrdersAt(NEXT_INCARNATION)).toMatchObject([{ task: TASK, run: FIRST_RUN - 1000 }]);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });

  it('is tracked for each incarnation separately, even if they follow each other quickly', () => {
    answerStart();
    respond(FIRST_INCARNATION, SENT_AT_MS + 100, { running: [runningReport] });
    Object.assign(state, { soleHolderUntilMs: 0 });
    loseEndpoint('restarted');
    registerNextIncarnation();
    removeEndpoint(state, NEXT_INCARNATION, {
      detail: 'restarted',
      atMs: RESPONSE_AT_MS,
      nowMs: RESPONSE_AT_MS,
    });
    expect(Array.from(state.goneEndpoints.keys())).toEqual([FIRST_INCARNATION, NEXT_INCARNATION]);
    expect(state.currentIncarnations.has(instanceIdOf(FIRST_INCARNATION))).toBe(false);
    Object.assign(state, { soleHolderUntilMs: Infinity });
    runCycle(RESPONSE_AT_MS + 10);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });
});
