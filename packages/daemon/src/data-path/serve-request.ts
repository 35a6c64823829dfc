/**
 * The way of one request through this entry: checks, claim, slot, attempts, answer. Each end is
 * either a whole answer or a refusal with an honest verdict.
 */
import {
  brand,
  combineVerdicts,
  earnRetry,
  findDeclaration,
  mayRetry,
  noteOutcome,
  spendRetry,
  type Endpoint,
  type EndpointId,
  type RefusalReason,
  type ServiceName,
  type Verdict,
} from '@valvelatch/core';

import type { TraceHeaders } from '../observe/trace-types.js';
import { attempt, type WholeAnswer } from './attempt.js';
import type { ClaimOutcome, HeldClaim } from './claim-keeper.js';
import { classify, type Classified } from './classify.js';
import { callerHeader, headersToSend } from './headers.js';
import type { CallerRequest, RequestOutcome, ServeContext } from './request-types.js';
import type { ServiceGate } from './service-gate.js';

const OUTAGE_RETRY_AFTER_S = 2;
const PROMPT_RETRY_AFTER_S = 1;
const REMOTE_CONNECTIONS = 64;

/** The state of one request under way. */
type Run = {
  readonly context: ServeContext;
  readonly request: CallerRequest;
  readonly deadlineMs: number;
  readonly tried: string[];
  readonly verdicts: Verdict[];
  readonly triedEndpoints: EndpointId[];
  /** Endpoints that took the request and broke off without an answer. */
  brokenOff: number;
  /** The last whole answer that was an error of the endpoint's own. */
  lastError: WholeAnswer | null;
};

type RefusalOptions = {
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly verdict?: Verdict;
  readonly retryAfterS?: number;
};

const refuse = (
  run: Pick<Run, 'request' | 'tried'>,
  { reason, detail, verdict = 'notRun', retryAfterS = PROMPT_RETRY_AFTER_S }: RefusalOptions,
): RequestOutcome => ({
  kind: 'refusal',
  refusal: { reason, detail, verdict, retryAfterS, requestId: run.request.requestId },
  tried: run.tried,
});

const remainingMs = ({ context, deadlineMs }: Run): number => deadlineMs - context.nowMs();

/** Where an attempt goes, and with which headers besides the caller's. */
type Target = {
  readonly address: string;
  readonly mostConnections: number;
  readonly added: Readonly<Record<string, string>>;
  readonly mayStillSend?: () => boolean;
};

const sendTo = async (run: Run, { address, mostConnections, added, mayStillSend }: Target) => {
  const { context, request } = run;
  const isRemote = added[callerHeader.forwarded] !== undefined;
  const { traceparent } = request.headers as TraceHeaders;
  const hop = context.tracing.startHop(
    `${request.method} ${request.service}`,
    traceparent === undefined ? {} : { traceparent },
    { address, requestId: request.requestId },
  );
  const headers = headersToSend(request.headers, {
    ...added,
    ...hop.headers,
    [callerHeader.requestId]: request.requestId,
    [callerHeader.deadlineMs]: String(Math.max(1, Math.floor(remainingMs(run)))),
  });
  const result = await attempt(context.connections.to(address, mostConnections), {
    method: request.method,
    path: isRemote ? `/services/${request.service}${request.path}` : request.path,
    headers,
    body: request.body,
    requestId: request.requestId,
    timeoutMs: Math.max(1, remainingMs(run)),
    mostAnswerBytes: context.mostAnswerBytes,
    mayStillSend,
  });
  const classified = classify(result, isRemote);
  hop.end({
    outcome: classified.kind === 'good' ? 'answered' : classified.reason,
    isError: classified.kind === 'bad',
  });
  return classified;
};

const tryEndpoint = async (run: Run, gate: ServiceGate, endpoint: Endpoint) => {
  const { context, request } = run;
  const startedMs = context.nowMs();
  const classified = await sendTo(run, {
    address: endpoint.address,
    mostConnections: context.connectionShare(request.service, endpoint),
    added: {},
    mayStillSend: () => context.nowMs() < endpoint.shareUntilMs,
  });
  const nowMs = context.nowMs();
  const outcome = classified.kind === 'good' ? 'answered' : classified.outcome;
  noteOutcome(endpoint, outcome, nowMs - startedMs, gate.endpoints(), nowMs);
  gate.release(endpoint, request.callerId);
  return classified;
};

const noteBad = (run: Run, where: string, bad: Extract<Classified, { kind: 'bad' }>): void => {
  const state = run;
  state.tried.push(`${where}: ${bad.reason} (${bad.verdict}): ${bad.detail}`);
  state.verdicts.push(bad.verdict);
  const hasTaken = bad.verdict !== 'notRun' && bad.reason === 'endpoint-unreachable';
  if (hasTaken) state.brokenOff += 1;
  if (bad.answer) state.lastError = bad.answer;
};

const giveUp = (run: Run, options: RefusalOptions): RequestOutcome => {
  const verdict = combineVerdicts(run.verdicts);
  // An endpoint's own whole answer says more than a refusal made up here.
  if (run.lastError && verdict === 'ran') return { kind: 'answer', answer: run.lastError };
  return refuse(run, { ...options, verdict });
};

const mayGoOn = (run: Run, gate: ServiceGate, verdict: Verdict): boolean =>
  mayRetry({
    isRepeatable: run.request.isRepeatable,
    verdict,
    attemptsMade: run.verdicts.length,
    brokenOff: run.brokenOff,
    remainingMs: remainingMs(run),
    expectedAttemptMs: gate.usualMs(),
  }) && spendRetry(gate.retryBudget);

/** Passes a request on to an entry that can serve it, where this one cannot. */
const tryRemote = async (run: Run): Promise<RequestOutcome | undefined> => {
  const { context, request } = run;
  if (request.isForwarded) return undefined;
  const remote = context.otherEntry(request.service);
  if (!remote) return undefined;
  context.metrics.count('forwarded');
  const classified = await sendTo(run, {
    address: remote.callersUrl,
    mostConnections: REMOTE_CONNECTIONS,
    added: {
      [callerHeader.forwarded]: context.forwardProof(request.requestId),
      [callerHeader.caller]: request.callerId,
    },
  });
  if (classified.kind === 'good') return { kind: 'answer', answer: classified.answer };
  noteBad(run, `entry ${remote.entryId}`, classified);
  return giveUp(run, classified);
};

const attemptUntilDone = async (run: Run, gate: ServiceGate): Promise<RequestOutcome> => {
  earnRetry(gate.retryBudget);
  for (;;) {
    const slot = await gate.acquire({
      callerId: run.request.callerId,
      deadlineMs: run.deadlineMs,
      exclude: run.triedEndpoints,
    });
    if (slot.kind === 'none') {
      const isNowhere = slot.reason === 'no-endpoint' && run.verdicts.length === 0;
      const remote = isNowhere ? await tryRemote(run) : undefined;
      return remote ?? giveUp(run, slot);
    }
    const { endpoint } = slot;
    const classified = await tryEndpoint(run, gate, endpoint);
    if (classified.kind === 'good') return { kind: 'answer', answer: classified.answer };
    noteBad(run, endpoint.endpointId, classified);
    run.triedEndpoints.push(endpoint.endpointId);
    if (!mayGoOn(run, gate, classified.verdict)) return giveUp(run, classified);
    run.context.metrics.count('retries');
  }
};

/** Waits for a claim no longer than the request may take; a claim that comes later is released. */
const claimInTime = async (run: Run, key: string): Promise<ClaimOutcome> => {
  const { context, request } = run;
  const pending = context.claims.claim({ ...request, key });
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<'late'>((resolve) => {
    timer = setTimeout(() => resolve('late'), Math.max(1, remainingMs(run)));
  });
  const first = await Promise.race([pending, late]);
  clearTimeout(timer);
  if (first !== 'late') return first;
  void pending.then((outcome) => (outcome.kind === 'claimed' ? outcome.claim.release() : null));
  return {
    kind: 'refused',
    verdict: 'notRun',
    reason: 'claim-unavailable',
    detail: 'the claim could not be written before the deadline',
  };
};

const settled = (claim: HeldClaim, outcome: RequestOutcome): Promise<void> => {
  if (outcome.kind === 'answer') return claim.finish(outcome.answer);
  if (outcome.kind === 'refusal' && outcome.refusal.verdict === 'notRun') return claim.release();
  return Promise.resolve();
};

const settleClaim = (claim: HeldClaim, outcome: RequestOutcome): void => {
  // Without its outcome the claim stands, and a resend is told that it may have run.
  settled(claim, outcome).catch(() => undefined);
};

const serveOnce = async (run: Run, gate: ServiceGate): Promise<RequestOutcome> => {
  const { key } = run.request;
  if (key === null) {
    return refuse(run, {
      reason: 'key-required',
      detail: `a request that is not repeatable needs the header ${callerHeader.key}`,
    });
  }
  const claimed = await claimInTime(run, key);
  if (claimed.kind === 'replay') return claimed;
  if (claimed.kind === 'refused') {
    const retryAfterS = OUTAGE_RETRY_AFTER_S;
    return refuse(run, { ...claimed, retryAfterS });
  }
  const outcome = await attemptUntilDone(run, gate);
  settleClaim(claimed.claim, outcome);
  return outcome;
};

const openingRefusal = (
  context: ServeContext,
  request: CallerRequest,
): RefusalOptions | undefined => {
  if (context.isStopping()) {
    return { reason: 'entry-stopping', detail: 'this entry is being stopped; another will serve' };
  }
  if (!context.isConfigurationKnown()) {
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
 * @param context - What this entry has and knows.
 * @param request - The request.
 * @returns The whole answer, or the refusal with its verdict; it never rejects for a fault outside.
 */
export const serveRequest = async (
  context: ServeContext,
  request: CallerRequest,
): Promise<RequestOutcome> => {
  const tried: string[] = [];
  const opening = openingRefusal(context, request);
  if (opening) return refuse({ request, tried }, opening);
  const service = findDeclaration(context.configuration(), 'Service', request.service);
  const longestMs = service?.spec.requestTimeoutMs ?? 0;
  const run: Run = {
    context,
    request,
    deadlineMs: context.nowMs() + Math.min(longestMs, request.wantedMs ?? longestMs),
    tried,
    verdicts: [],
    triedEndpoints: [],
    brokenOff: 0,
    lastError: null,
  };
  const gate = context.gate(brand<ServiceName>(request.service));
  const needsClaim = !request.isRepeatable && !request.isForwarded;
  return needsClaim ? serveOnce(run, gate) : attemptUntilDone(run, gate);
};
