/** Repeats list requests to one endpoint for as long as its reports are needed. */
import { hasListedRuns, type EndpointState, type RunState } from '@valvelatch/core/batch';
import type { EndpointId } from '@valvelatch/core/shared/ids';

import { sleep } from '../../shared/sleep.js';
import type { AcknowledgementTracker } from './acknowledgement.js';
import type { LinkContext } from './link-context.js';
import {
  computeListPauseMs,
  computeReportWaitMs,
  isStopping,
  MIN_LIST_PAUSE_MS,
  SAVE_WAIT_MS,
  STOPPING_LIST_PAUSE_MS,
  UNREADABLE_LIST_WAIT_MS,
} from './list-timing.js';

const RETRY_MS = 250;

export type EndpointPollingOptions = {
  readonly endpointId: EndpointId;
  readonly context: Pick<
    LinkContext,
    'isCertainlyHolder' | 'sharedDelayEstimator' | 'log' | 'nowMs'
  >;
  /** The endpoint in the state; undefined once it is removed. */
  readonly findEndpoint: () => EndpointState | undefined;
  /** True while the endpoint's rack or data centre is suspected. */
  readonly isDomainSuspected: () => boolean;
  /** False after several list requests in a row without a response. */
  readonly isResponsive: () => boolean;
  readonly acknowledgement: Pick<AcknowledgementTracker, 'storedNumber' | 'isUnconfirmed'>;
  /** The number of the last ended run that was applied; 0 if there is none. */
  readonly lastAppliedNumber: () => number;
  /**
   * Sends one list request, whose response the endpoint may hold back for `maxWaitMs`, and applies the response;
   * resolves to true if the endpoint responded.
   */
  readonly sendListRequest: (maxWaitMs: number) => Promise<boolean>;
  /** True once the link is closed. */
  readonly isClosed: () => boolean;
};

export type EndpointPolling = {
  /**
   * Sends list requests until the endpoint has listed all its runs, and for as long as it has runs, its domain is suspected or
   * ended runs of it are not stored and acknowledged yet.
   */
  readonly start: () => void;
  /** Sends a list request that does not wait, next to the one in flight, which may be waiting for a run to end. */
  readonly requestReportNow: () => void;
};

/**
 * Creates the polling of an endpoint.
 *
 * @param options - The endpoint, and the parts of its link that the polling uses.
 * @returns The polling, which has sent nothing yet.
 */
export const createEndpointPolling = ({
  endpointId,
  context,
  findEndpoint,
  isDomainSuspected,
  isResponsive,
  acknowledgement,
  lastAppliedNumber,
  sendListRequest,
  isClosed,
}: EndpointPollingOptions): EndpointPolling => {
  const { log, nowMs } = context;
  let isPolling = false;

  const listRuns = (): readonly RunState[] => Array.from(findEndpoint()?.runs.values() ?? []);

  const hasUnstoredEnds = (): boolean => acknowledgement.storedNumber() < lastAppliedNumber();

  const needsReports = (): boolean => {
    const endpoint = findEndpoint();
    return (
      endpoint !== undefined &&
      (endpoint.runs.size + endpoint.orphanRuns.size > 0 ||
        endpoint.listing !== 'complete' ||
        isDomainSuspected() ||
        hasUnstoredEnds() ||
        acknowledgement.isUnconfirmed())
    );
  };

  /** Computes for how long the endpoint may hold back the response to the next list request. */
  const computeListWaitMs = (): number => {
    const endpoint = findEndpoint();
    if (!endpoint || isDomainSuspected() || hasUnstoredEnds() || !hasListedRuns(endpoint)) return 0;
    if (endpoint.orphanRuns.size > 0) return 0;
    if (endpoint.listing === 'rows-unreadable') return UNREADABLE_LIST_WAIT_MS;
    return computeReportWaitMs(listRuns());
  };

  /** Waits for a time until the applied ends are stored, so that the next list request acknowledges them. */
  const waitForSave = async (timeoutMs: number): Promise<void> => {
    const untilMs = nowMs() + timeoutMs;
    while (hasUnstoredEnds() && nowMs() < untilMs) await sleep(MIN_LIST_PAUSE_MS);
  };

  const pauseAfterResponse = async (): Promise<void> => {
    const pauseMs = computeListPauseMs(context.sharedDelayEstimator.meanMs());
    const isAnyStopping = listRuns().some(isStopping) || (findEndpoint()?.orphanRuns.size ?? 0) > 0;
    await sleep(isAnyStopping ? Math.max(STOPPING_LIST_PAUSE_MS, pauseMs) : pauseMs);
    await waitForSave(Math.max(SAVE_WAIT_MS, pauseMs));
  };

  const pollOnce = async (): Promise<void> => {
    if (!context.isCertainlyHolder()) await sleep(RETRY_MS);
    else if (await sendListRequest(computeListWaitMs())) await pauseAfterResponse();
    else if (!isResponsive()) await sleep(RETRY_MS);
  };

  const recordBrokenPoll = async (error: unknown): Promise<void> => {
    log.error('endpoint-watch-failed', { endpoint: endpointId, detail: String(error) });
    await sleep(RETRY_MS);
  };

  /** A request that throws must not end the loop, because the runs there would not be followed any more. */
  const pollWhileNeeded = async (): Promise<void> => {
    while (!isClosed() && needsReports()) await pollOnce().catch(recordBrokenPoll);
  };

  const start = (): void => {
    if (isPolling || isClosed()) return;
    isPolling = true;
    void pollWhileNeeded().finally(() => {
      isPolling = false;
    });
  };

  return {
    start,
    requestReportNow: () => {
      if (isPolling && context.isCertainlyHolder() && !isClosed()) void sendListRequest(0);
      start();
    },
  };
};
