/**
 * Sends list requests to one endpoint and applies their responses: the runs there, the ended ones, and the endpoint's
 * clock.
 */
import {
  applyReport,
  requestDeferredJobsOf,
  type EndpointClock,
  type EndpointDelayEstimator,
  type EndpointLists,
  type ListOrder,
  type OrderError,
} from '@valvelatch/core/batch';

import type { OrderTarget } from '../ports.js';
import type { RemoteClock } from '../remote-clock.js';
import type { AcknowledgementTracker } from './acknowledgement.js';
import type { LinkContext } from './link-context.js';
import { computeListPauseMs } from './list-timing.js';
import { UNHEALTHY_WITHHOLD_MS, withholdWork, type OrderErrorRecorder } from './order-errors.js';

/** The number of consecutive unanswered list requests that show that an endpoint is not merely slow once. */
const MISSES_TO_WITHHOLD = 2;

type ListResponse = EndpointClock & EndpointLists;

export type ListRequestSenderOptions = {
  readonly target: OrderTarget;
  readonly context: LinkContext;
  readonly clock: Pick<RemoteClock, 'recordReading'>;
  readonly acknowledgement: AcknowledgementTracker;
  readonly delayEstimator: EndpointDelayEstimator;
  /** True while the endpoint's rack or data centre is suspected. */
  readonly isDomainSuspected: () => boolean;
  /**
   * Computes the time on the endpoint's clock until which it keeps its runs, in milliseconds; undefined while its
   * clock is unknown.
   */
  readonly computeLeaseEnd: () => number | undefined;
  /** Records a missing response as evidence against the endpoint's domains. */
  readonly recordNoResponse: () => void;
  readonly recordError: OrderErrorRecorder;
  /** Called after each report that was applied. */
  readonly onReportApplied: () => void;
  /** True once the link is closed. */
  readonly isClosed: () => boolean;
};

export type ListRequestSender = {
  /**
   * Sends one list request and applies the response. If the endpoint does not respond, its last report could not be
   * applied or its domain is suspected, the request does not extend the lease of its runs.
   *
   * @param maxWaitMs - For how long the endpoint may hold back the response until a run ends, in milliseconds.
   * @returns True if the endpoint responded while the link was open.
   */
  readonly send: (maxWaitMs: number) => Promise<boolean>;
  /** False after several list requests in a row without a response. */
  readonly isResponsive: () => boolean;
  /** The number of the last ended run that was applied; 0 if there is none. */
  readonly lastAppliedNumber: () => number;
};

/**
 * Creates the sender of list requests of a link.
 *
 * @param options - The endpoint and the parts of its link that the sender uses.
 * @returns The sender, which has sent nothing yet.
 */
export const createListRequestSender = ({
  target,
  context,
  clock,
  acknowledgement,
  delayEstimator,
  isDomainSuspected,
  computeLeaseEnd,
  recordNoResponse,
  recordError,
  onReportApplied,
  isClosed,
}: ListRequestSenderOptions): ListRequestSender => {
  const { state, orders, log, metrics, nowMs } = context;
  const { endpointId } = target;
  /** The endpoint's clock in the response that was applied last, in milliseconds. */
  let reportClockMs = 0;
  /** False while the last report could not be applied, so that what runs there is not known. */
  let isLastReportApplied = true;
  /** The number of the last ended run that was applied. */
  let lastAppliedNumber = 0;
  /** The number of unanswered list requests since the last response. */
  let misses = 0;

  const isResponsive = (): boolean => misses < MISSES_TO_WITHHOLD;

  const createOrder = (maxWaitMs: number): ListOrder => {
    const mayExtendLease = isResponsive() && isLastReportApplied && !isDomainSuspected();
    const keepUntilMs = mayExtendLease ? computeLeaseEnd() : undefined;
    const acknowledged = acknowledgement.computeNumberToSend(
      computeListPauseMs(context.sharedDelayEstimator.meanMs()),
    );
    return {
      fence: state.fence,
      acknowledged,
      waitMs: misses === 0 ? maxWaitMs : 0,
      ...(keepUntilMs === undefined ? {} : { keepUntilMs }),
    };
  };

  /**
   * Records an unanswered list request. A single one only costs another request; after two in a row the endpoint gets
   * no new work for a time.
   */
  const recordMiss = (error: OrderError, acknowledged: number): void => {
    misses += 1;
    acknowledgement.recordMiss(acknowledged);
    recordError('list', error, { misses });
    if (isResponsive()) return;
    const endpoint = state.endpoints.get(endpointId);
    if (misses === MISSES_TO_WITHHOLD) {
      log.warn('endpoint-silent', { endpoint: endpointId, runs: endpoint?.runs.size });
    }
    if (endpoint) withholdWork(endpoint, nowMs() + UNHEALTHY_WITHHOLD_MS);
  };

  const handleError = (error: OrderError, acknowledged: number, delayMs: number): void => {
    if (error.reason === 'no-answer') {
      delayEstimator.recordMiss(Math.max(0, delayMs));
      recordNoResponse();
    }
    recordMiss(error, acknowledged);
  };

  /** Records that the endpoint responded, and how late. */
  const recordResponse = (response: ListResponse, acknowledged: number, delayMs: number): void => {
    // A response before the end of the wait was held back for an unknown time, so its delay on the network is
    // unknown.
    if (delayMs >= 0) delayEstimator.recordResponse(delayMs);
    if (!isResponsive()) log.info('endpoint-answers', { endpoint: endpointId });
    misses = 0;
    acknowledgement.recordResponse(acknowledged);
    clock.recordReading(response);
  };

  /** List requests on different connections may overtake each other, and so may their responses. */
  const isOutdated = ({ clockMs }: ListResponse, requestedAtMs: number): boolean =>
    requestedAtMs < (state.endpoints.get(endpointId)?.reportedAtMs ?? 0) || clockMs < reportClockMs;

  const applyResponse = (response: ListResponse, requestedAtMs: number): void => {
    const { ended, clockMs } = response;
    reportClockMs = clockMs;
    const newEnds = ended.filter(({ number }) => number > lastAppliedNumber);
    state.clockMs = nowMs();
    const report = { ...response, ended: newEnds, requestedAtMs, nowMs: nowMs() };
    isLastReportApplied = false;
    if (
      requestDeferredJobsOf(
        state,
        [...newEnds, ...response.running].map(({ task }) => task),
      )
    ) {
      metrics.count('reports_awaiting_deferred_jobs');
      return;
    }
    applyReport(state, endpointId, report);
    isLastReportApplied = true;
    // Only ended runs that were applied may be acknowledged.
    lastAppliedNumber = Math.max(lastAppliedNumber, ...newEnds.map(({ number }) => number));
    if (lastAppliedNumber > acknowledgement.storedNumber()) context.requestSave();
    onReportApplied();
    context.requestScheduling();
  };

  const send = async (maxWaitMs: number): Promise<boolean> => {
    const requestedAtMs = nowMs();
    const order = createOrder(maxWaitMs);
    const response = await orders.list(target, order, delayEstimator.timeoutMs());
    metrics.count('endpoint_looks');
    if (isClosed()) return false;
    const delayMs = nowMs() - requestedAtMs - order.waitMs;
    if (response.isErr()) {
      handleError(response.error, order.acknowledged, delayMs);
      return false;
    }
    recordResponse(response.value, order.acknowledged, delayMs);
    if (!isOutdated(response.value, requestedAtMs)) applyResponse(response.value, requestedAtMs);
    return true;
  };

  return { send, isResponsive, lastAppliedNumber: () => lastAppliedNumber };
};
