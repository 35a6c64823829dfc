/**
 * The holder's side of one endpoint: sends orders, asks again and again what runs and what has
 * ended, and keeps the lease of what runs there.
 */
import {
  closeStart,
  createAnswerTimes,
  applyReport,
  applyStartOutcome,
  applyStopAnswer,
  dropTicket,
  openStart,
  type BatchEffect,
  type BatchState,
  type EndpointState,
  type LinkDelay,
  type OrderWindow,
  type OrderError,
  type StartOrder,
  type StartOutcome,
} from '@valvelatch/core/batch';
import type { EndpointId } from '@valvelatch/core/shared/ids';
import type { Result } from 'ts-results-es';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { createAcknowledgement } from './acknowledgement.js';
import type { EndpointOrders, OrderTarget } from './ports.js';

/**
 * For how long an endpoint keeps what runs there without contact with the holder. Longer than a
 * takeover of control, so that tasks outlive their holder; no longer than the shortest bound that
 * platforms set (6 s), so that work of a lost host is soon begun again.
 */
export const ENDPOINT_LEASE_MS = 6000;
/**
 * An endpoint's clock may be 2 % slow. A time on it is reckoned as if it were, so that no lease is longer
 * than 1.02 times what is meant, however old the reading is: whoever comes next counts with that.
 */
const SLOWEST_CLOCK = 0.98;
/** On a clock that is not slow a lease is shorter by 2 % of the reading's age: no more than 0.6 s. */
const CLOCK_FRESH_MS = 30_000;
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
/** An order to start is sent again under the same run number before the task goes elsewhere. */
const START_TRIES = 2;
/** So many questions without an answer in a row show that an endpoint is not just slow once. */
const MISSES_TO_WITHHOLD = 2;
/** Pause between questions while a run is being stopped, which takes up to `stopMs` (900). */
const STOPPING_MS = 100;
/** Ends wait so long to be written before the endpoint is asked without acknowledging them. */
const SAVE_PATIENCE_MS = 80;
/** An endpoint that turned a task away for want of room gets nothing new for this time. */
const FULL_MS = 150;
const UNHEALTHY_MS = 1000;
const STOP_TRIES = 40;
/** After these a stop is sent again: without it a run whose start had no answer would never be given up. */
const STOP_AGAIN: ReadonlySet<OrderError['reason']> = new Set([
  'no-answer',
  'unreachable',
  'unhealthy',
]);

/** What a link needs of the term that it belongs to. */
export type LinkContext = {
  readonly state: BatchState;
  readonly orders: EndpointOrders;
  /** What delays the answers of all endpoints alike. */
  readonly linkDelay: LinkDelay;
  /** Starts under way at all endpoints. */
  readonly window: OrderWindow;
  readonly endpointLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** True while this entry surely is the holder. */
  readonly mayOrder: () => boolean;
  /** Something changed: places may be found. */
  readonly poke: () => void;
  /** Ends were applied and are to be written. */
  readonly wantSave: () => void;
  readonly onFenceLost: () => void;
  /** The address belongs to another endpoint, which has answered just now. */
  readonly onReplaced: (endpointId: EndpointId) => void;
  /** A later life of the endpoint has answered just now. */
  readonly onRestarted: (endpointId: EndpointId) => void;
};

export type EndpointLink = {
  readonly target: OrderTarget;
  /** The highest end that was applied. */
  readonly takenNumber: () => number;
  /** Tells that ends up to this number are written. */
  readonly acknowledge: (number: number) => void;
  /** Until when a question to this life may be carried out by the next; 0 if none may. */
  readonly lateUntilMs: () => number;
  readonly perform: (effect: Extract<BatchEffect, { kind: 'start' | 'stop' | 'pace' }>) => void;
  /** Asks until something has been answered, then as long as anything runs there. */
  readonly watch: () => void;
  readonly close: () => void;
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

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
  let clock: { readonly clockMs: number; readonly atMs: number } | undefined;
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
  const answerTimes = createAnswerTimes(context.linkDelay);
  const stopsUnderWay = new Set<string>();

  const isResponsive = (): boolean => misses < MISSES_TO_WITHHOLD;

  const endpoint = (): EndpointState | undefined => state.endpoints.get(endpointId);

  const noteClock = ({ clockMs }: { readonly clockMs: number }): void => {
    clock = { clockMs, atMs: nowMs() };
  };

  /** A time on the endpoint's clock, and the note of when what it covers has surely ended. */
  const keepUntil = (): number | undefined => {
    const known = endpoint();
    if (!clock || !known) return undefined;
    const ageMs = nowMs() - clock.atMs;
    const leaseEndsAtMs = nowMs() + endpointLeaseMs * CLOCK_SLACK + CLOCK_MARGIN_MS;
    known.leaseEndsAtMs = Math.max(known.leaseEndsAtMs, leaseEndsAtMs);
    return Math.floor(clock.clockMs + ageMs * SLOWEST_CLOCK + endpointLeaseMs);
  };

  const isClockOld = (): boolean => clock !== undefined && nowMs() - clock.atMs > CLOCK_FRESH_MS;

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
    if (answer.isErr() && answer.error.reason === 'no-answer') answerTimes.noteMiss(tookMs);
    else if (answer.isOk()) answerTimes.note(tookMs);
    return answer;
  };

  /** Sends a start as one of those under way. */
  const sendCounted = async (order: StartOrder): ReturnType<EndpointOrders['start']> => {
    const sentAtMs = nowMs();
    context.window.begin();
    const answer = await timed((timeoutMs) => orders.start(target, order, timeoutMs));
    const tookMs = nowMs() - sentAtMs;
    const isLost = answer.isErr() && answer.error.reason === 'no-answer';
    if (isLost && !context.linkDelay.isAtFault()) context.window.drop();
    else context.window.end(tookMs, nowMs());
    metrics.time('order_start', tookMs * 1000);
    return answer;
  };

  /**
   * Sends a start. One without an answer is sent again: the endpoint begins a run once, however
   * often it is ordered to, so the task need not be barred here and begun elsewhere.
   */
  const sendStart = async (
    order: StartOrder,
  ): Promise<{ readonly outcome: StartOutcome; readonly error?: OrderError }> => {
    let isFirstLost = false;
    for (let attempt = 1; ; attempt += 1) {
      openStart(state, endpointId, order, nowMs());
      const answer = await sendCounted(order);
      const isAnswered = answer.isOk() || answer.error.verdict === 'notRun';
      if (isAnswered && !isFirstLost) closeStart(state, endpointId, order);
      if (answer.isOk()) {
        noteClock(answer.value);
        return { outcome: 'started' };
      }
      const { error } = answer;
      noteError('start', error, { task: order.task, run: order.run, attempt });
      // The run that was begun by the first order has ended already.
      if (isFirstLost && error.reason === 'old') return { outcome: 'started' };
      if (error.verdict === 'notRun')
        return { outcome: isFirstLost ? 'unknown' : 'rejected', error };
      if (attempt === START_TRIES || isClosed || !context.mayOrder()) {
        return { outcome: 'unknown', error };
      }
      isFirstLost = true;
    }
  };

  /** An endpoint that stood empty was not asked for long: tasks that begin there together wait for one answer. */
  const refreshClock = async (): Promise<void> => {
    clockAnswer ??= ask(0).finally(() => {
      clockAnswer = undefined;
    });
    await clockAnswer;
  };

  const start = async (effect: Extract<BatchEffect, { kind: 'start' }>): Promise<void> => {
    const { task, run, spec, checkpoint, ticket } = effect;
    if (isClockOld()) await refreshClock();
    // It may have been given up while the answer was awaited, and must not begin after that.
    if (endpoint()?.runs.get(task)?.run !== run) return;
    const keepUntilMs = keepUntil();
    if (keepUntilMs === undefined || !context.mayOrder() || isClosed) {
      const reason = 'not-sent';
      applyStartOutcome(state, endpointId, {
        task,
        run,
        outcome: 'rejected',
        reason,
        nowMs: nowMs(),
      });
      return;
    }
    const order = { task, run, spec, checkpoint, ticket, keepUntilMs, fence: state.fence };
    const { outcome, error } = await sendStart(order);
    if (error?.reason === 'ticket') dropTicket(state, task, endpointId);
    const reason = error?.reason;
    applyStartOutcome(state, endpointId, { task, run, outcome, reason, nowMs: nowMs() });
    if (outcome !== 'started') {
      context.poke();
      return;
    }
    log.debug('task-started', { task, run, endpoint: endpointId, reason: effect.reason });
  };

  const sendStop = async ({
    task,
    run,
    reason,
  }: Extract<BatchEffect, { kind: 'stop' }>): Promise<void> => {
    log.info('task-stop', { task, run, endpoint: endpointId, reason });
    for (let attempt = 0; attempt < STOP_TRIES && !isClosed && context.mayOrder(); attempt += 1) {
      const order = { task, run, fence: state.fence };
      const answer = await timed((timeoutMs) => orders.stop(target, order, timeoutMs));
      if (answer.isOk()) {
        applyStopAnswer(state, endpointId, task, run, nowMs());
        // A question that waits for an end does not tell that the run is not there.
        if (endpoint()?.runs.get(task)?.run === run) await ask(0);
        watch();
        return;
      }
      noteError('stop', answer.error, { task, run });
      if (!STOP_AGAIN.has(answer.error.reason)) return;
      await pause(RETRY_MS);
    }
  };

  /** Each report of a run that is not known here asks for its stop anew: one is under way at most. */
  const stop = async (effect: Extract<BatchEffect, { kind: 'stop' }>): Promise<void> => {
    const name = `${effect.task}/${effect.run}`;
    if (stopsUnderWay.has(name)) return;
    stopsUnderWay.add(name);
    await sendStop(effect).finally(() => stopsUnderWay.delete(name));
  };

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
    if (acknowledgement.written() < taken || !endpoint()?.isKnown) return 0;
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
    const askedAtMs = nowMs();
    const keepUntilMs = isResponsive() ? keepUntil() : undefined;
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
    const overMs = nowMs() - askedAtMs - order.waitMs;
    if (answer.isErr()) {
      if (answer.error.reason === 'no-answer') answerTimes.noteMiss(Math.max(0, overMs));
      noteMiss(answer.error, acknowledged);
      return false;
    }
    // One that came sooner did not wait for its time: how long it was under way is not known.
    if (overMs >= 0) answerTimes.note(overMs);
    if (!isResponsive()) log.info('endpoint-answers', { endpoint: endpointId });
    misses = 0;
    acknowledgement.noteAnswer(acknowledged);
    noteClock(answer.value);
    // Answers on different connections may pass each other, and so may the questions.
    if (askedAtMs < (endpoint()?.reportedAtMs ?? 0) || answer.value.clockMs < reportClockMs) {
      return true;
    }
    reportClockMs = answer.value.clockMs;
    const { running, ended, hasMoreEnds } = answer.value;
    const fresh = ended.filter(({ number }) => number > taken);
    state.clockMs = nowMs();
    const report = { running, ended: fresh, hasMoreEnds, askedAtMs, nowMs: nowMs() };
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
      (known.runs.size > 0 || !known.isKnown || acknowledgement.written() < taken)
    );
  };

  const pauseAfter = async (isAnswered: boolean): Promise<void> => {
    if (!isAnswered) {
      if (!isResponsive()) await pause(RETRY_MS);
      return;
    }
    const isStopping = Array.from(endpoint()?.runs.values() ?? []).some(
      ({ phase }) => phase === 'stopping',
    );
    const gatherMs = gatherForMs(context.linkDelay.meanMs());
    await pause(isStopping ? Math.max(STOPPING_MS, gatherMs) : gatherMs);
    const untilMs = nowMs() + Math.max(SAVE_PATIENCE_MS, gatherMs);
    while (acknowledgement.written() < taken && nowMs() < untilMs) await pause(GATHER_MS);
  };

  const run = async (): Promise<void> => {
    while (!isClosed && needsWatch()) {
      if (!context.mayOrder()) await pause(RETRY_MS);
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

  return {
    target,
    takenNumber: () => taken,
    acknowledge: acknowledgement.noteWritten,
    lateUntilMs: acknowledgement.lateUntilMs,
    perform: (effect) => {
      if (effect.kind === 'start') void start(effect).then(watch);
      if (effect.kind === 'stop') void stop(effect);
      if (effect.kind === 'pace') void pace(effect);
    },
    watch,
    close: () => {
      isClosed = true;
      answerTimes.close();
      orders.forget(target);
    },
  };
};
