/**
 * Serves a request: checks it, claims its key, acquires a slot, and attempts it. The outcome is either
 * a complete response or a refusal whose verdict states whether the request may have run.
 */
import {
  brand,
  combineVerdicts,
  addRetryTokens,
  findDeclaration,
  canRetry,
  recordOutcome,
  takeRetryToken,
  type Endpoint,
  type EndpointId,
  type RefusalReason,
  type ServiceName,
  type Verdict,
} from '@valvelatch/core';

import type { TraceHeaders } from '../observe/trace-types.js';
import { sendAttempt, type CompleteResponse } from './attempt.js';
import type { ClaimOutcome, HeldClaim } from './claim-store.js';
import { classifyAttempt, type AttemptClassification } from './classify-attempt.js';
import { callerHeader, selectRequestHeaders } from './headers.js';
import type { CallerRequest, RequestOutcome, ServeContext } from './request-types.js';
import type { ServiceAdmission } from './service-admission.js';

/** `retry-after` of refusals caused by the platform or a missing configuration, in seconds. */
const OUTAGE_RETRY_AFTER_S = 2;
const DEFAULT_RETRY_AFTER_S = 1;
/** Maximum number of connections to another entry for forwarded requests. */
const MAX_CONNECTIONS_PER_ENTRY = 64;

/** The state of one request in flight. */
type RequestState = {
  readonly context: ServeContext;
  readonly request: CallerRequest;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** A description of each failed attempt. */
  readonly tried: string[];
  readonly verdicts: Verdict[];
  readonly triedEndpoints: EndpointId[];
  /** Number of attempts that may have run and ended without a response of the endpoint. */
  attemptsWithoutResponse: number;
  /** The last complete error response of an endpoint, or null if there was none. */
  lastError: CompleteResponse | null;
};

type RefusalOptions = {
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly verdict?: Verdict;
  readonly retryAfterS?: number;
};

const refuse = (
  requestState: Pick<RequestState, 'request' | 'tried'>,
  { reason, detail, verdict = 'notRun', retryAfterS = DEFAULT_RETRY_AFTER_S }: RefusalOptions,
): RequestOutcome => ({
  kind: 'refusal',
  refusal: { reason, detail, verdict, retryAfterS, requestId: requestState.request.requestId },
  tried: requestState.tried,
});

const remainingMs = ({ context, deadlineMs }: RequestState): number => deadlineMs - context.nowMs();

/** The receiver of an attempt, and the headers added to those of the caller. */
type Target = {
  readonly address: string;
  readonly maxConnections: number;
  readonly addedHeaders: Readonly<Record<string, string>>;
  readonly mayStillSend?: () => boolean;
};

const sendToTarget = async (
  requestState: RequestState,
  { address, maxConnections, addedHeaders, mayStillSend: isSendAllowed }: Target,
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

const tryEndpoint = async (
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
    mayStillSend: () => context.nowMs() < endpoint.slotShareExpiresAtMs,
  });
  const nowMs = context.nowMs();
  const outcome = classified.kind === 'good' ? 'answered' : classified.outcome;
  recordOutcome(endpoint, outcome, nowMs - startedMs, admission.endpoints(), nowMs);
  admission.release(endpoint, request.callerId);
  return classified;
};

const recordFailure = (
  requestState: RequestState,
  receiver: string,
  failure: Extract<AttemptClassification, { kind: 'bad' }>,
): void => {
  const mutableState = requestState;
  mutableState.tried.push(`${receiver}: ${failure.reason} (${failure.verdict}): ${failure.detail}`);
  mutableState.verdicts.push(failure.verdict);
  const endedWithoutResponse =
    failure.verdict !== 'notRun' && failure.reason === 'endpoint-unreachable';
  if (endedWithoutResponse) mutableState.attemptsWithoutResponse += 1;
  if (failure.answer) mutableState.lastError = failure.answer;
};

const endWithoutSuccess = (requestState: RequestState, options: RefusalOptions): RequestOutcome => {
  const verdict = combineVerdicts(requestState.verdicts);
  // The endpoint's own error response is more informative than a refusal of this entry.
  if (requestState.lastError && verdict === 'ran')
    return { kind: 'answer', answer: requestState.lastError };
  return refuse(requestState, { ...options, verdict });
};

const mayAttemptAgain = (
  requestState: RequestState,
  admission: ServiceAdmission,
  verdict: Verdict,
): boolean =>
  canRetry({
    isRepeatable: requestState.request.isRepeatable,
    verdict,
    attemptsMade: requestState.verdicts.length,
    brokenOffEndpoints: requestState.attemptsWithoutResponse,
    remainingMs: remainingMs(requestState),
    expectedAttemptMs: admission.smoothedRequestMs(),
  }) && takeRetryToken(admission.retryBudget);

/**
 * Forwards a request to another entry that has endpoints of the service. Returns undefined if there
 * is none, or if the request has been forwarded before.
 */
const forwardToOtherEntry = async (
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

const attemptUntilDone = async (
  requestState: RequestState,
  admission: ServiceAdmission,
): Promise<RequestOutcome> => {
  addRetryTokens(admission.retryBudget);
  for (;;) {
    const slot = await admission.acquire({
      callerId: requestState.request.callerId,
      deadlineMs: requestState.deadlineMs,
      excludedEndpoints: requestState.triedEndpoints,
    });
    if (slot.kind === 'none') {
      const canForward = slot.reason === 'no-endpoint' && requestState.verdicts.length === 0;
      const remote = canForward ? await forwardToOtherEntry(requestState) : undefined;
      return remote ?? endWithoutSuccess(requestState, slot);
    }
    const { endpoint } = slot;
    const classified = await tryEndpoint(requestState, admission, endpoint);
    if (classified.kind === 'good') return { kind: 'answer', answer: classified.answer };
    recordFailure(requestState, endpoint.endpointId, classified);
    requestState.triedEndpoints.push(endpoint.endpointId);
    if (!mayAttemptAgain(requestState, admission, classified.verdict))
      return endWithoutSuccess(requestState, classified);
    requestState.context.metrics.count('retries');
  }
};

/** Waits for a claim until the deadline of the request; a claim made later is released. */
const claimInTime = async (requestState: RequestState, key: string): Promise<ClaimOutcome> => {
  const { context, request } = requestState;
  const pending = context.claims.claim({ ...request, key });
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<'late'>((resolve) => {
    timer = setTimeout(() => resolve('late'), Math.max(1, remainingMs(requestState)));
  });
  const winner = await Promise.race([pending, timeout]);
  clearTimeout(timer);
  if (winner !== 'late') return winner;
  void pending.then((outcome) => (outcome.kind === 'claimed' ? outcome.claim.release() : null));
  return {
    kind: 'refused',
    verdict: 'notRun',
    reason: 'claim-unavailable',
    detail: 'the claim could not be written before the deadline',
  };
};

const writeClaimOutcome = (claim: HeldClaim, outcome: RequestOutcome): Promise<void> => {
  if (outcome.kind === 'answer') return claim.complete(outcome.answer);
  if (outcome.kind === 'refusal' && outcome.refusal.verdict === 'notRun') return claim.release();
  return Promise.resolve();
};

const settleClaim = (claim: HeldClaim, outcome: RequestOutcome): void => {
  // If the outcome cannot be written, the claim stays, and a resend is told that the request may
  // have run.
  writeClaimOutcome(claim, outcome).catch(() => undefined);
};

const serveWithClaim = async (
  requestState: RequestState,
  admission: ServiceAdmission,
): Promise<RequestOutcome> => {
  const { idempotencyKey } = requestState.request;
  if (idempotencyKey === null) {
    return refuse(requestState, {
      reason: 'key-required',
      detail: `a request that is not repeatable needs the header ${callerHeader.key}`,
    });
  }
  const claimed = await claimInTime(requestState, idempotencyKey);
  if (claimed.kind === 'replay') return claimed;
  if (claimed.kind === 'refused') {
    const retryAfterS = OUTAGE_RETRY_AFTER_S;
    return refuse(requestState, { ...claimed, retryAfterS });
  }
  const outcome = await attemptUntilDone(requestState, admission);
  settleClaim(claimed.claim, outcome);
  return outcome;
};

const checkPreconditions = (
  context: ServeContext,
  request: CallerRequest,
): RefusalOptions | undefined => {
  if (context.isStopping()) {
    return { reason: 'entry-stopping', detail: 'this entry is being stopped; another will serve' };
  }
  if (!context.hasConfiguration()) {
    const detail = 'this entry does not know the configuration yet';
    return { reason: 'no-configuration', detail, retryAfterS: OUTAGE_RETRY_AFTER_S };
  }
  if (!findDeclaration(context.configuration(), 'Service', request.service)) {
    const { revision } = context.configuration();
    const detail = `no service named '${request.service}' is declared at revision ${revision}`;
    return { reason: 'unknown-service', detail };
  }
  return undefined;
};

/**
 * Serves one request.
 *
 * @param context - The dependencies.
 * @param request - The request.
 * @returns A complete response, or a refusal with its verdict. Failures of endpoints, other entries or
 * the platform never reject the promise.
 */
export const serveRequest = async (
  context: ServeContext,
  request: CallerRequest,
): Promise<RequestOutcome> => {
  const tried: string[] = [];
  const preconditionRefusal = checkPreconditions(context, request);
  if (preconditionRefusal) return refuse({ request, tried }, preconditionRefusal);
  const service = findDeclaration(context.configuration(), 'Service', request.service);
  const maxTimeoutMs = service?.spec.requestTimeoutMs ?? 0;
  const requestState: RequestState = {
    context,
    request,
    deadlineMs:
      context.nowMs() + Math.min(maxTimeoutMs, request.requestedTimeoutMs ?? maxTimeoutMs),
    tried,
    verdicts: [],
    triedEndpoints: [],
    attemptsWithoutResponse: 0,
    lastError: null,
  };
  const admission = context.admissionFor(brand<ServiceName>(request.service));
  const needsClaim = !request.isRepeatable && !request.isForwarded;
  return needsClaim
    ? serveWithClaim(requestState, admission)
    : attemptUntilDone(requestState, admission);
};
