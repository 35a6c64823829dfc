/**
 * The holder's connection to one endpoint. It sends orders, repeatedly requests the list of active and ended runs,
 * and extends the lease of the runs there.
 */
import {
  createEndpointDelayEstimator,
  isSuspected,
  recordAnswered,
  recordUnanswered,
  type BatchEffect,
  type EndpointState,
  type OrderError,
} from '@valvelatch/core/batch';
import type { Result } from 'ts-results-es';

import { createAcknowledgementTracker } from './acknowledgement.js';

import type { LinkContext } from './link-context.js';
import { createEndpointPolling } from './endpoint-polling.js';
import { createListRequestSender } from './list-requests.js';
import type { OrderTarget } from '../ports.js';
import { createOrderErrorRecorder } from './order-errors.js';
import { createRemoteClock } from '../remote-clock.js';
import { createStartOrderSender } from './start-orders.js';
import { createStopOrderSender } from './stop-orders.js';

/**
 * For how long an endpoint keeps its runs without contact with the holder. It is longer than a takeover of control,
 * so that tasks outlive their holder. It is no longer than the shortest limit that platforms set (6 s), so that tasks
 * of a lost host are soon started again.
 */
export const ENDPOINT_LEASE_MS = 6000;
/**
 * A lease may end later than its nominal length by this factor and margin, because the endpoint's clock may be slow
 * and its response late.
 */
const LEASE_CLOCK_FACTOR = 1.05;
const LEASE_MARGIN_MS = 200;

/** The effects that are carried out over the link of one endpoint. */
export type LinkEffect = Extract<BatchEffect, { kind: 'start' | 'stop' | 'pace' | 'ask' }>;

export type EndpointLink = {
  readonly target: OrderTarget;
  /** Returns the number of the last ended run that was applied; 0 if there is none. */
  readonly lastAppliedEnd: () => number;
  /** Records that the ended runs up to this number are stored. */
  readonly recordStored: (number: number) => void;
  /** Returns until when a list request to this incarnation may reach the next one, in milliseconds; 0 if none may. */
  readonly lateArrivalUntilMs: () => number;
  /** Sends the order of an effect. */
  readonly perform: (effect: LinkEffect) => void;
  /**
   * Sends list requests until the endpoint has listed all its runs, and for as long as it has runs, its domain is suspected or
   * ended runs of it are not stored and acknowledged yet.
   */
  readonly startPolling: () => void;
  readonly close: () => void;
};

/**
 * Opens a link to an endpoint.
 *
 * @param target - The endpoint.
 * @param context - The dependencies that the links of the control term share.
 * @returns The link, which has sent nothing yet.
 */
export const createEndpointLink = (target: OrderTarget, context: LinkContext): EndpointLink => {
  const { state, orders, endpointLeaseMs, log, nowMs } = context;
  const { endpointId } = target;
  const clock = createRemoteClock(nowMs);
  const acknowledgement = createAcknowledgementTracker(context.nowMs);
  let isClosed = false;
  /** The list request in flight from whose response the clock is read; undefined if there is none. */
  let pendingClockRequest: Promise<boolean> | undefined;
  const delayEstimator = createEndpointDelayEstimator(context.sharedDelayEstimator);

  const findEndpoint = (): EndpointState | undefined => state.endpoints.get(endpointId);

  const isDomainSuspected = (): boolean => {
    const endpoint = findEndpoint();
    return endpoint !== undefined && isSuspected(state, endpoint);
  };

  /**
   * Records a missing response as evidence against the endpoint's domains. If so many endpoints do not respond that
   * this entry's own link is the cause, a missing response says nothing about domains and is not recorded.
   */
  const recordNoResponse = (): void => {
    if (context.sharedDelayEstimator.isLocalFault()) return;
    recordUnanswered(state, endpointId, nowMs());
    if (isDomainSuspected()) context.requestScheduling();
  };

  /** Records that the endpoint responded. */
  const recordEndpointResponse = (): void => {
    const endpoint = findEndpoint();
    if (endpoint) recordAnswered(state, endpoint, nowMs());
  };

  /**
   * Computes the lease end for the next order on the endpoint's clock, in milliseconds, and records when that lease
   * has certainly ended. Undefined while the endpoint or its clock is unknown.
   */
  const keepUntil = (): number | undefined => {
    const endpoint = findEndpoint();
    const untilMs = clock.estimateTimeAfter(endpointLeaseMs);
    if (untilMs === undefined || !endpoint) return undefined;
    const leaseEndsAtMs = nowMs() + endpointLeaseMs * LEASE_CLOCK_FACTOR + LEASE_MARGIN_MS;
    endpoint.leaseEndsAtMs = Math.max(endpoint.leaseEndsAtMs, leaseEndsAtMs);
    return untilMs;
  };

  const recordOrderError = createOrderErrorRecorder(endpointId, context);

  /**
   * Sends an order and records the delay of its response. A rejection is a response as well, so it does not count as
   * a miss.
   */
  const sendTimed = async <Value>(
    send: (timeoutMs: number) => Promise<Result<Value, OrderError>>,
  ): Promise<Result<Value, OrderError>> => {
    const sentAtMs = nowMs();
    const response = await send(delayEstimator.timeoutMs());
    const durationMs = nowMs() - sentAtMs;
    if (response.isErr() && response.error.reason === 'no-answer') {
      delayEstimator.recordMiss(durationMs);
      recordNoResponse();
    } else if (response.isOk()) {
      delayEstimator.recordResponse(durationMs);
      recordEndpointResponse();
    }
    return response;
  };

  /**
   * Reads the clock again if the last reading is too old, as on an endpoint that had no runs and got no list
   * requests. Tasks that start there together wait for the same response.
   */
  const refreshClock = async (): Promise<void> => {
    if (!clock.isReadingTooOld()) return;
    pendingClockRequest ??= listRequests.send(0).finally(() => {
      pendingClockRequest = undefined;
    });
    await pendingClockRequest;
  };

  const start = createStartOrderSender({
    target,
    context,
    refreshClock,
    computeLeaseEnd: keepUntil,
    recordClockReading: clock.recordReading,
    send: sendTimed,
    recordError: (error, fields) => recordOrderError('start', error, fields),
    isClosed: () => isClosed,
  });

  const stopOrders = createStopOrderSender({
    target,
    context,
    send: sendTimed,
    recordError: (error, fields) => recordOrderError('stop', error, fields),
    // The list request in flight may be waiting for a run to end, and until then does not show that this run is gone.
    onStopped: async ({ task, run }) => {
      if (findEndpoint()?.runs.get(task)?.run === run) await listRequests.send(0);
      polling.start();
    },
    isClosed: () => isClosed,
  });

  const pace = async ({
    task,
    run,
    percent,
    reason,
  }: Extract<BatchEffect, { kind: 'pace' }>): Promise<void> => {
    if (!context.isCertainlyHolder() || isClosed) return;
    log.info('task-paced', { task, run, percent, endpoint: endpointId, reason });
    const response = await orders.setPace(target, { task, run, percent, fence: state.fence });
    if (response.isErr()) recordOrderError('pace', response.error, { task, run });
  };

  const listRequests = createListRequestSender({
    target,
    context,
    clock,
    acknowledgement,
    delayEstimator,
    isDomainSuspected,
    computeLeaseEnd: keepUntil,
    recordNoResponse,
    recordError: recordOrderError,
    onReportApplied: stopOrders.repeatUnanswered,
    isClosed: () => isClosed,
  });

  const polling = createEndpointPolling({
    endpointId,
    context,
    findEndpoint,
    isDomainSuspected,
    isResponsive: listRequests.isResponsive,
    acknowledgement,
    lastAppliedNumber: listRequests.lastAppliedNumber,
    sendListRequest: listRequests.send,
    isClosed: () => isClosed,
  });

  return {
    target,
    lastAppliedEnd: listRequests.lastAppliedNumber,
    recordStored: acknowledgement.recordStored,
    lateArrivalUntilMs: acknowledgement.lateArrivalUntilMs,
    perform: (effect) => {
      if (effect.kind === 'start') void start(effect).then(polling.start);
      if (effect.kind === 'stop') void stopOrders.stop(effect);
      if (effect.kind === 'pace') void pace(effect);
      if (effect.kind === 'ask') polling.requestReportNow();
    },
    startPolling: polling.start,
    close: () => {
      isClosed = true;
      delayEstimator.close();
      orders.release(target);
    },
  };
};
