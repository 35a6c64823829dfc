/** Attempts a request once: at an endpoint of this entry, or at another entry that has endpoints of the service. */
import { recordOutcome, type Endpoint } from '@valvelatch/core';

import type { TraceHeaders } from '../observe/trace-types.js';
import { sendAttempt } from './attempt.js';
import { classifyAttempt } from './classify-attempt.js';
import { callerHeader, selectRequestHeaders } from './headers.js';
import {
  endWithoutSuccess,
  recordFailure,
  remainingMs,
  type RequestState,
} from './request-state.js';
import type { RequestOutcome } from './request-types.js';
import type { ServiceAdmission } from './service-admission.js';

/** Maximum number of connections to another entry for forwarded requests. */
const MAX_CONNECTIONS_PER_ENTRY = 64;

/** The receiver of an attempt, and the headers added to those of the caller. */
type Target = {
  readonly address: string;
  readonly maxConnections: number;
  readonly addedHeaders: Readonly<Record<string, string>>;
  /** Asked just before the attempt is sent; if it returns false, the attempt fails without being sent. */
  readonly isSendAllowed?: () => boolean;
};

const sendToTarget = async (
  requestState: RequestState,
  { address, maxConnections, addedHeaders, isSendAllowed }: Target,
) => {
  const { context, request } = requestState;
  const isRemote = addedHeaders[callerHeader.forwarded] !== undefined;
  const { traceparent } = request.headers as TraceHeaders;
  const hop = context.tracing.startHop(
    `${request.method} ${request.service}`,
    traceparent === undefined ? {} : { traceparent },
    { address, requestId: request.requestId },
  );
  const headers = selectRequestHeaders(request.headers, {
    ...addedHeaders,
    ...hop.headers,
    [callerHeader.requestId]: request.requestId,
    [callerHeader.deadlineMs]: String(Math.max(1, Math.floor(remainingMs(requestState)))),
  });
  const result = await sendAttempt(context.connections.poolFor(address, maxConnections), {
    method: request.method,
    path: isRemote ? `/services/${request.service}${request.path}` : request.path,
    headers,
    body: request.body,
    requestId: request.requestId,
    timeoutMs: Math.max(1, remainingMs(requestState)),
    maxResponseBytes: context.maxResponseBytes,
    isSendAllowed,
  });
  const classified = classifyAttempt(result, isRemote);
  hop.end({
    outcome: classified.kind === 'good' ? 'answered' : classified.reason,
    isError: classified.kind === 'bad',
  });
  return classified;
};

/**
 * Attempts a request at an endpoint, records the outcome for the endpoint's ejection and releases its slot.
 *
 * @param requestState - The request.
 * @param admission - The admission of the service, which granted the slot.
 * @param endpoint - The endpoint.
 * @returns The response of the endpoint, or the failure.
 */
export const tryEndpoint = async (
  requestState: RequestState,
  admission: ServiceAdmission,
  endpoint: Endpoint,
) => {
  const { context, request } = requestState;
  const startedMs = context.nowMs();
  const classified = await sendToTarget(requestState, {
    address: endpoint.address,
    maxConnections: context.maxConnectionsFor(request.service, endpoint),
    addedHeaders: {},
    isSendAllowed: () => context.nowMs() < endpoint.slotShareExpiresAtMs,
  });
  const nowMs = context.nowMs();
  const outcome = classified.kind === 'good' ? 'answered' : classified.outcome;
  recordOutcome(endpoint, outcome, nowMs - startedMs, admission.endpoints(), nowMs);
  admission.release(endpoint, request.callerId);
  return classified;
};

/**
 * Forwards a request to another entry that has endpoints of the service.
 *
 * @param requestState - The request.
 * @returns The outcome; undefined if there is no such entry, or if the request has been forwarded before.
 */
export const forwardToOtherEntry = async (
  requestState: RequestState,
): Promise<RequestOutcome | undefined> => {
  const { context, request } = requestState;
  if (request.isForwarded) return undefined;
  const remote = context.pickReadyEntry(request.service);
  if (!remote) return undefined;
  context.metrics.count('forwarded');
  const classified = await sendToTarget(requestState, {
    address: remote.callersUrl,
    maxConnections: MAX_CONNECTIONS_PER_ENTRY,
    addedHeaders: {
      [callerHeader.forwarded]: context.createForwardProof(request.requestId),
      [callerHeader.caller]: request.callerId,
    },
  });
  if (classified.kind === 'good') return { kind: 'answer', answer: classified.answer };
  recordFailure(requestState, `entry ${remote.entryId}`, classified);
  return endWithoutSuccess(requestState, classified);
};
