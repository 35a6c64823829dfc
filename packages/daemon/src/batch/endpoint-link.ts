/**
 * The holder's side of one endpoint: sends orders, asks again and again what runs and what has
 * ended, and keeps the lease of what runs there.
 */
import {
  applyReport,
  applyStartOutcome,
  applyStopAnswer,
  dropTicket,
  type BatchEffect,
  type BatchState,
  type EndpointState,
  type OrderError,
  type StartOutcome,
} from '@valvelatch/core/batch';
import type { EndpointId } from '@valvelatch/core/shared/ids';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { EndpointOrders, OrderTarget } from './ports.js';

/**
 * For how long an endpoint keeps what runs there without word from the holder. Longer than a
 * takeover of control, so that tasks outlive their holder; shorter than the platform's longest
 * (`holdMaxMs`, 10,000), so that work of a lost host is soon begun again.
 */
export const ENDPOINT_LEASE_MS = 6000;
/** An endpoint's clock may be 2 % slow, and its reading is as old as the last answer. */
const CLOCK_SLACK = 1.05;
const CLOCK_MARGIN_MS = 200;
/** How long an answer may wait for an end. */
const WAIT_MS = 1000;
/** Beside tasks that fill gaps the figures must be fresher. */
const WAIT_SHARED_MS = 500;
const WAIT_START_MS = 200;
/** Ends that come within this time share one question. */
const GATHER_MS = 20;
const RETRY_MS = 250;
/** Pause between questions while a run is being stopped, which takes up to `stopMs` (900). */
const STOPPING_MS = 100;
/** Ends wait so long to be written before the endpoint is asked without acknowledging them. */
const SAVE_PATIENCE_MS = 80;
/** An endpoint that turned a task away for want of room gets nothing new for this time. */
const FULL_MS = 150;
const UNHEALTHY_MS = 1000;
const STOP_TRIES = 40;

/** What a link needs of the term that it belongs to. */
export type LinkContext = {
  readonly state: BatchState;
  readonly orders: EndpointOrders;
  readonly endpointLeaseMs: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** True while this entry surely is the holder. */
  readonly mayOrder: () => boolean;
  /** Something changed: places may be found. */
  readonly poke: () => void;
  /** Ends were taken in and are to be written. */
  readonly wantSave: () => void;
  readonly onFenceLost: () => void;
  /** The address belongs to another endpoint now. */
  readonly onReplaced: (endpointId: EndpointId) => void;
};

export type EndpointLink = {
  readonly target: OrderTarget;
  /** The highest end that was taken in. */
  readonly takenNumber: () => number;
  /** Tells that ends up to this number are written. */
  readonly acknowledge: (number: number) => void;
  readonly perform: (effect: Extract<BatchEffect, { kind: 'start' | 'stop' | 'pace' }>) => void;
  /** Asks until something has been answered, then as long as anything runs there. */
  readonly watch: () => void;
  /** False from an unanswered question to the next answer. */
  readonly isHeard: () => boolean;
  readonly close: () => void;
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const outcomeOf = (error: OrderError): StartOutcome =>
  error.verdict === 'notRun' ? 'rejected' : 'unknown';

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
  let taken = 0;
  let acknowledged = 0;
  let isWatching = false;
  let isClosed = false;
  let isHeard = true;

  const endpoint = (): EndpointState | undefined => state.endpoints.get(endpointId);

  const noteClock = ({ clockMs }: { readonly clockMs: number }): void => {
    clock = { clockMs, atMs: nowMs() };
  };

  /** A time on the endpoint's clock, and the note of when what it covers has surely ended. */
  const keepUntil = (): number | undefined => {
    const known = endpoint();
    if (!clock || !known) return undefined;
    const ageMs = nowMs() - clock.atMs;
    const leaseEndsAtMs = nowMs() + endpointLeaseMs * CLOCK_SLACK + ageMs * 0.05 + CLOCK_MARGIN_MS;
    known.leaseEndsAtMs = Math.max(known.leaseEndsAtMs, leaseEndsAtMs);
    return Math.floor(clock.clockMs + ageMs + endpointLeaseMs);
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
    const known = endpoint();
    const withholdMs = { room: FULL_MS, unhealthy: UNHEALTHY_MS }[error.reason as string];
    if (!known || withholdMs === undefined) return;
    known.withheldUntilMs = Math.max(known.withheldUntilMs, nowMs() + withholdMs);
    known.withheldReason = error.reason;
  };

  const start = async (effect: Extract<BatchEffect, { kind: 'start' }>): Promise<void> => {
    const keepUntilMs = keepUntil();
    const { task, run, spec, checkpoint, ticket } = effect;
    if (keepUntilMs === undefined || !context.mayOrder() || isClosed) {
      applyStartOutcome(state, endpointId, task, run, 'rejected', nowMs());
      return;
    }
    const order = { task, run, spec, checkpoint, ticket, keepUntilMs, fence: state.fence };
    const sentAtMs = nowMs();
    const answer = await orders.start(target, order);
    metrics.time('order_start', (nowMs() - sentAtMs) * 1000);
    if (answer.isOk()) {
      noteClock(answer.value);
      applyStartOutcome(state, endpointId, task, run, 'started', nowMs());
      log.debug('task-started', { task, run, endpoint: endpointId, reason: effect.reason });
      return;
    }
    noteError('start', answer.error, { task, run });
    if (answer.error.reason === 'ticket') dropTicket(state, task, endpointId);
    applyStartOutcome(state, endpointId, task, run, outcomeOf(answer.error), nowMs());
    context.poke();
  };

  const stop = async ({
    task,
    run,
    reason,
  }: Extract<BatchEffect, { kind: 'stop' }>): Promise<void> => {
    log.info('task-stop', { task, run, endpoint: endpointId, reason });
    for (let attempt = 0; attempt < STOP_TRIES && !isClosed && context.mayOrder(); attempt += 1) {
      const answer = await orders.stop(target, { task, run, fence: state.fence });
      if (answer.isOk()) {
        applyStopAnswer(state, endpointId, task, run, nowMs());
        watch();
        return;
      }
      noteError('stop', answer.error, { task, run });
      if (answer.error.verdict === 'notRun' && answer.error.reason !== 'unreachable') return;
      await pause(RETRY_MS);
    }
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
    if (acknowledged < taken || !endpoint()?.isKnown) return 0;
    const runs = Array.from(endpoint()?.runs.values() ?? []);
    if (runs.some(({ phase }) => phase === 'stopping')) return 0;
    // Until a lasting task is seen at work, no other of its step may be taken away.
    if (runs.some(({ step, percent }) => step.spec.isLasting && percent < 100))
      return WAIT_START_MS;
    return runs.some(({ step }) => step.spec.fillsGaps) ? WAIT_SHARED_MS : WAIT_MS;
  };

  /** Asks once. An endpoint that did not answer is asked without keeping what runs there. */
  const ask = async (): Promise<boolean> => {
    const askedAtMs = nowMs();
    const keepUntilMs = isHeard ? keepUntil() : undefined;
    const answer = await orders.list(target, {
      fence: state.fence,
      acknowledged,
      waitMs: isHeard ? waitMs() : 0,
      ...(keepUntilMs === undefined ? {} : { keepUntilMs }),
    });
    metrics.count('endpoint_looks');
    if (isClosed) return false;
    if (answer.isErr()) {
      if (isHeard)
        log.warn('endpoint-silent', { endpoint: endpointId, runs: endpoint()?.runs.size });
      isHeard = false;
      const known = endpoint();
      if (known) known.withheldUntilMs = Math.max(known.withheldUntilMs, nowMs() + UNHEALTHY_MS);
      noteError('list', answer.error, {});
      return false;
    }
    if (!isHeard) log.info('endpoint-heard', { endpoint: endpointId });
    isHeard = true;
    noteClock(answer.value);
    const { running, ended } = answer.value;
    const fresh = ended.filter(({ number }) => number > taken);
    fresh.forEach(({ number }) => {
      taken = Math.max(taken, number);
    });
    fresh.forEach(({ task, run, kind }) => {
      if (kind !== 'done') log.info('task-ended', { task, run, kind, endpoint: endpointId });
    });
    state.clockMs = nowMs();
    applyReport(state, endpointId, { running, ended: fresh, askedAtMs, nowMs: nowMs() });
    if (taken > acknowledged) context.wantSave();
    context.poke();
    return true;
  };

  const needsWatch = (): boolean => {
    const known = endpoint();
    return known !== undefined && (known.runs.size > 0 || !known.isKnown || acknowledged < taken);
  };

  const pauseAfter = async (isAnswered: boolean): Promise<void> => {
    if (!isAnswered) {
      await pause(RETRY_MS);
      return;
    }
    const isStopping = Array.from(endpoint()?.runs.values() ?? []).some(
      ({ phase }) => phase === 'stopping',
    );
    await pause(isStopping ? STOPPING_MS : GATHER_MS);
    const untilMs = nowMs() + SAVE_PATIENCE_MS;
    while (acknowledged < taken && nowMs() < untilMs) await pause(GATHER_MS);
  };

  const run = async (): Promise<void> => {
    while (!isClosed && needsWatch()) {
      if (!context.mayOrder()) await pause(RETRY_MS);
      else await pauseAfter(await ask());
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
    acknowledge: (number) => {
      acknowledged = Math.max(acknowledged, number);
    },
    perform: (effect) => {
      if (effect.kind === 'start') void start(effect).then(watch);
      if (effect.kind === 'stop') void stop(effect);
      if (effect.kind === 'pace') void pace(effect);
    },
    watch,
    isHeard: () => isHeard,
    close: () => {
      isClosed = true;
      orders.forget(target);
    },
  };
};
