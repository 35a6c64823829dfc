/**
 * The holder's side of one endpoint: sends orders, asks again and again what runs and what has
 * ended, and keeps the lease of what runs there.
 */
import {
  createEndpointDelayEstimator,
  applyReport,
  isSuspected,
  recordAnswered,
  recordUnanswered,
  type BatchEffect,
  type EndpointState,
  type OrderError,
} from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import { sleep } from '../../shared/sleep.js';
import { createAcknowledgement } from './acknowledgement.js';
import { createEndpointClock } from './endpoint-clock.js';
import type { LinkContext } from './link-context.js';
import type { OrderTarget } from '../ports.js';
import { createStartOrders } from './start-orders.js';
import { createStopOrders } from './stop-orders.js';

/**
 * For how long an endpoint keeps what runs there without contact with the holder. Longer than a
 * takeover of control, so that tasks outlive their holder; no longer than the shortest bound that
 * platforms set (6 s), so that work of a lost host is soon begun again.
 */
export const ENDPOINT_LEASE_MS = 6000;
/** A lease ends so much later by an endpoint's slow clock and a late answer. */
const CLOCK_SLACK = 1.05;
const CLOCK_MARGIN_MS = 200;
/** How long an answer may wait for an end. */
const WAIT_MS = 400;
/** Beside tasks that fill gaps the figures must be fresher. */
const WAIT_SHARED_MS = 500;
const WAIT_START_MS = 200;
/** Ends that come within this time share one question. */
const GATHER_MS = 20;
/**
 * Where answers are late, endpoints are asked as much less often: ends gather there, and a question
 * answers for more of them. No longer than this, or leases of 6 s would hang on a question or two.
 */
const MOST_GATHER_MS = 1000;

const gatherForMs = (delayMs: number): number =>
  Math.min(MOST_GATHER_MS, Math.max(GATHER_MS, delayMs));
const RETRY_MS = 250;
/** So many questions without an answer in a row show that an endpoint is not just slow once. */
const MISSES_TO_WITHHOLD = 2;
/** Pause between questions while a run is being stopped, which takes up to `stopMs` (900). */
const STOPPING_MS = 100;
/** Ends wait so long to be written before the endpoint is asked without acknowledging them. */
const SAVE_PATIENCE_MS = 80;
/** An endpoint that turned a task away for want of room gets nothing new for this time. */
const FULL_MS = 150;
const UNHEALTHY_MS = 1000;

/** What is done over the link of one endpoint. */
export type LinkEffect = Extract<BatchEffect, { kind: 'start' | 'stop' | 'pace' | 'ask' }>;

export type EndpointLink = {
  readonly target: OrderTarget;
  /** The highest end that was applied. */
  readonly takenNumber: () => number;
  /** Tells that ends up to this number are written. */
  readonly acknowledge: (number: number) => void;
  /** Until when a question to this life may be carried out by the next; 0 if none may. */
  readonly lateUntilMs: () => number;
  readonly perform: (effect: LinkEffect) => void;
  /** Asks until something has been answered, then as long as anything runs there. */
  readonly watch: () => void;
  readonly close: () => void;
};

/**
 * Opens a link to an endpoint.
 *
 * @param target - The endpoint.
 * @param context - The term of the holder.
 * @returns The link.
 */
export const createEndpointLink = (target: OrderTarget, context: LinkContext): EndpointLink => {
  const { state, orders, endpointLeaseMs, log, metrics, nowMs } = context;
  const { endpointId } = target;
  const clock = createEndpointClock(nowMs);
  /** The endpoint's own time of the answer that was applied last. */
  let reportClockMs = 0;
  let taken = 0;
  const acknowledgement = createAcknowledgement(context.nowMs);
  let isWatching = false;
  let isClosed = false;
  /** Questions without an answer since the last answer. */
  let misses = 0;
  /** The answer that the clock is to be read from, while one is awaited. */
  let clockAnswer: Promise<boolean> | undefined;
  const answerTimes = createEndpointDelayEstimator(context.linkDelay);

  const isResponsive = (): boolean => misses < MISSES_TO_WITHHOLD;

  const endpoint = (): EndpointState | undefined => state.endpoints.get(endpointId);

  const isSuspect = (): boolean => {
    const known = endpoint();
    return known !== undefined && isSuspected(state, known);
  };

  /** Where so many endpoints miss that the cause is this entry's own link, nothing shows about their domains. */
  const noteSilence = (): void => {
    if (context.linkDelay.isLocalFault()) return;
    recordUnanswered(state, endpointId, nowMs());
    if (isSuspect()) context.poke();
  };

  const noteVoice = (): void => {
    const known = endpoint();
    if (known) recordAnswered(state, known, nowMs());
  };

  /** A time on the endpoint's clock, and the note of when what it covers has surely ended. */
  const keepUntil = (): number | undefined => {
    const known = endpoint();
    const untilMs = clock.after(endpointLeaseMs);
    if (untilMs === undefined || !known) return undefined;
    const leaseEndsAtMs = nowMs() + endpointLeaseMs * CLOCK_SLACK + CLOCK_MARGIN_MS;
    known.leaseEndsAtMs = Math.max(known.leaseEndsAtMs, leaseEndsAtMs);
    return untilMs;
  };

  const noteError = (
    order: string,
    error: OrderError,
    fields: Record<string, string | number>,
  ): void => {
    metrics.count(`order_${order}_${error.reason.replace('-', '_')}`);
    log.info('order-failed', { order, endpoint: endpointId, ...fields, ...error });
    if (error.reason === 'fence') context.onFenceLost();
    if (error.reason === 'other-endpoint') context.onReplaced(endpointId);
    if (error.reason === 'other-life') context.onRestarted(endpointId);
    const known = endpoint();
    const withholdMs = { room: FULL_MS, unhealthy: UNHEALTHY_MS }[error.reason as string];
    if (!known || withholdMs === undefined) return;
    known.withheldUntilMs = Math.max(known.withheldUntilMs, nowMs() + withholdMs);
    known.withheldReason = error.reason;
  };

  /** Sends an order and learns how long its answer takes; a refusal is an answer too. */
  const timed = async <Answer>(
    send: (timeoutMs: number) => Promise<Result<Answer, OrderError>>,
  ): Promise<Result<Answer, OrderError>> => {
    const sentAtMs = nowMs();
    const answer = await send(answerTimes.timeoutMs());
    const tookMs = nowMs() - sentAtMs;
    if (answer.isErr() && answer.error.reason === 'no-answer') {
      answerTimes.recordMiss(tookMs);
      noteSilence();
    } else if (answer.isOk()) {
      answerTimes.recordResponse(tookMs);
      noteVoice();
    }
    return answer;
  };

  /** An endpoint that stood empty was not asked for long: tasks that begin there together wait for one answer. */
  const refreshClock = async (): Promise<void> => {
    if (!clock.isOld()) return;
    clockAnswer ??= ask(0).finally(() => {
      clockAnswer = undefined;
    });
    await clockAnswer;
  };

  const start = createStartOrders({
    target,
    context,
    refreshClock,
    keepUntil: () => keepUntil(),
    noteClock: clock.note,
    send: timed,
    noteError: (error, fields) => noteError('start', error, fields),
    isClosed: () => isClosed,
  });

  const stop = createStopOrders({
    target,
    context,
    send: timed,
    noteError: (error, fields) => noteError('stop', error, fields),
    // A question that waits for an end does not tell that the run is not there.
    onStopped: async ({ task, run }) => {
      if (endpoint()?.runs.get(task)?.run === run) await ask(0);
      watch();
    },
    isClosed: () => isClosed,
  });

  const pace = async ({
    task,
    run,
    percent,
    reason,
  }: Extract<BatchEffect, { kind: 'pace' }>): Promise<void> => {
    if (!context.mayOrder() || isClosed) return;
    log.info('task-paced', { task, run, percent, endpoint: endpointId, reason });
    const answer = await orders.pace(target, { task, run, percent, fence: state.fence });
    if (answer.isErr()) noteError('pace', answer.error, { task, run });
  };

  const waitMs = (): number => {
    if (isSuspect() || acknowledgement.written() < taken || !endpoint()?.hasReported) return 0;
    const runs = Array.from(endpoint()?.runs.values() ?? []);
    if (runs.some(({ phase }) => phase === 'stopping')) return 0;
    // Until a lasting task is seen at work, no other of its step may be taken away.
    if (runs.some(({ step, percent }) => step.spec.isLasting && percent < 100))
      return WAIT_START_MS;
    return runs.some(({ step }) => step.spec.fillsGaps) ? WAIT_SHARED_MS : WAIT_MS;
  };

  /** One lost answer costs no more than asking again; an endpoint that misses two is withheld. */
  const noteMiss = (error: OrderError, acknowledged: number): void => {
    misses += 1;
    acknowledgement.noteMiss(acknowledged);
    noteError('list', error, { misses });
    if (isResponsive()) return;
    const known = endpoint();
    if (misses === MISSES_TO_WITHHOLD) {
      log.warn('endpoint-silent', { endpoint: endpointId, runs: known?.runs.size });
    }
    if (known) known.withheldUntilMs = Math.max(known.withheldUntilMs, nowMs() + UNHEALTHY_MS);
  };

  /** Asks once. An endpoint that does not answer is asked without keeping what runs there. */
  const ask = async (patienceMs: number): Promise<boolean> => {
    const requestedAtMs = nowMs();
    const keepUntilMs = isResponsive() && !isSuspect() ? keepUntil() : undefined;
    const acknowledged = acknowledgement.toSend(gatherForMs(context.linkDelay.meanMs()));
    const order = {
      fence: state.fence,
      acknowledged,
      waitMs: misses === 0 ? patienceMs : 0,
      ...(keepUntilMs === undefined ? {} : { keepUntilMs }),
    };
    const timeoutMs = answerTimes.timeoutMs();
    const answer = await orders.list(target, order, timeoutMs);
    metrics.count('endpoint_looks');
    if (isClosed) return false;
    const overMs = nowMs() - requestedAtMs - order.waitMs;
    if (answer.isErr()) {
      if (answer.error.reason === 'no-answer') {
        answerTimes.recordMiss(Math.max(0, overMs));
        noteSilence();
      }
      noteMiss(answer.error, acknowledged);
      return false;
    }
    // One that came sooner did not wait for its time: how long it was under way is not known.
    if (overMs >= 0) answerTimes.recordResponse(overMs);
    if (!isResponsive()) log.info('endpoint-answers', { endpoint: endpointId });
    misses = 0;
    acknowledgement.noteAnswer(acknowledged);
    clock.note(answer.value);
    // Answers on different connections may pass each other, and so may the questions.
    if (requestedAtMs < (endpoint()?.reportedAtMs ?? 0) || answer.value.clockMs < reportClockMs) {
      return true;
    }
    reportClockMs = answer.value.clockMs;
    const { running, ended, hasMoreEnds } = answer.value;
    const fresh = ended.filter(({ number }) => number > taken);
    state.clockMs = nowMs();
    const report = { running, ended: fresh, hasMoreEnds, requestedAtMs, nowMs: nowMs() };
    applyReport(state, endpointId, report);
    // Only what was applied may be acknowledged.
    taken = Math.max(taken, ...fresh.map(({ number }) => number));
    if (taken > acknowledgement.written()) context.wantSave();
    context.poke();
    return true;
  };

  const needsWatch = (): boolean => {
    const known = endpoint();
    return (
      known !== undefined &&
      (known.runs.size > 0 ||
        !known.hasReported ||
        isSuspect() ||
        acknowledgement.written() < taken)
    );
  };

  const pauseAfter = async (isAnswered: boolean): Promise<void> => {
    if (!isAnswered) {
      if (!isResponsive()) await sleep(RETRY_MS);
      return;
    }
    const isStopping = Array.from(endpoint()?.runs.values() ?? []).some(
      ({ phase }) => phase === 'stopping',
    );
    const gatherMs = gatherForMs(context.linkDelay.meanMs());
    await sleep(isStopping ? Math.max(STOPPING_MS, gatherMs) : gatherMs);
    const untilMs = nowMs() + Math.max(SAVE_PATIENCE_MS, gatherMs);
    while (acknowledgement.written() < taken && nowMs() < untilMs) await sleep(GATHER_MS);
  };

  const run = async (): Promise<void> => {
    while (!isClosed && needsWatch()) {
      if (!context.mayOrder()) await sleep(RETRY_MS);
      else await pauseAfter(await ask(waitMs()));
    }
  };

  const watch = (): void => {
    if (isWatching || isClosed) return;
    isWatching = true;
    void run()
      .catch((error: unknown) => {
        log.error('endpoint-watch-failed', { endpoint: endpointId, detail: String(error) });
      })
      .finally(() => {
        isWatching = false;
      });
  };

  /** A question that is under way may wait for an end: another one that does not wait is sent beside it. */
  const askNow = (): void => {
    if (isWatching && context.mayOrder() && !isClosed) void ask(0);
    watch();
  };

  return {
    target,
    takenNumber: () => taken,
    acknowledge: acknowledgement.noteWritten,
    lateUntilMs: acknowledgement.lateUntilMs,
    perform: (effect) => {
      if (effect.kind === 'start') void start(effect).then(watch);
      if (effect.kind === 'stop') void stop(effect);
      if (effect.kind === 'pace') void pace(effect);
      if (effect.kind === 'ask') askNow();
    },
    watch,
    close: () => {
      isClosed = true;
      answerTimes.close();
      orders.forget(target);
    },
  };
};
