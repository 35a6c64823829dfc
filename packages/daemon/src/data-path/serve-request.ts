/**
 * Serves a request: checks it, claims its key, acquires a slot, and attempts it. The outcome is either
 * a complete response or a refusal whose verdict states whether the request may have run.
 */
import {
  addRetryTokens,
  brand,
  canRetry,
  findDeclaration,
  takeRetryToken,
  type ServiceName,
  type Verdict,
} from '@valvelatch/core';

import { forwardToOtherEntry, tryEndpoint } from './attempt-targets.js';
import { callerHeader } from './headers.js';
import { claimInTime, settleClaim } from './request-claim.js';
import {
  endWithoutSuccess,
  recordFailure,
  refuse,
  remainingMs,
  type RefusalOptions,
  type RequestState,
} from './request-state.js';
import type { CallerRequest, RequestOutcome, ServeContext } from './request-types.js';
import type { ServiceAdmission } from './service-admission.js';

/** `retry-after` of refusals caused by the platform or a missing configuration, in seconds. */
const OUTAGE_RETRY_AFTER_S = 2;

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
