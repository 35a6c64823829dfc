/**
 * Endpoints whose life is over. Their runs run no more, but how they ended is not known here: where
 * another entry may have become the holder, it may have heard that one is done before the endpoint
 * went. So what ran there is given up only while this holder is surely the only one.
 */
import type { EndpointId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import {
  crashFields,
  judgeCrash,
  lastRunsOf,
  noteCrashes,
  recordCrash,
} from '../crashes/endpoint-crashes.js';
import { leaveDomains } from '../domains/domains.js';
import { instanceOf } from '../model/endpoint-life.js';
import { mayBeFollowed } from './followed-runs.js';
import { giveUpIfDue } from '../jobs/give-up.js';
import { loseRun } from './lost-runs.js';
import { chargeStrays } from '../accounts/quota.js';
import { noteRunEnd, type NoteFields, type RunEvidence } from './run-end.js';
import {
  isFinal,
  isSoleHolder,
  poolOf,
  type BatchState,
  type GoneEndpoint,
  type RunState,
} from '../model/state.js';

/** What shows that an endpoint is gone, and the time. */
export type EndpointEnd = Pick<GoneEndpoint, 'detail' | 'atMs'> & { readonly nowMs: number };

/**
 * Takes an endpoint for gone. Nothing is placed or counted there any more; tasks that ran there, and
 * inherited ones that may have, wait until `settleGoneEndpoints` gives them up.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - The endpoint.
 * @param end - What shows it.
 */
export const removeEndpoint = (
  state: BatchState,
  endpointId: EndpointId,
  { detail, atMs, nowMs }: EndpointEnd,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  state.endpoints.delete(endpointId);
  leaveDomains(state, endpoint);
  chargeStrays(state, endpoint, []);
  const instanceId = instanceOf(endpointId);
  if (state.lives.get(instanceId) === endpoint) state.lives.delete(instanceId);
  endpoint.runs.forEach(({ step, task }) => {
    if (step.spec.isLasting && task.awaySinceMs === 0) change(task, { awaySinceMs: nowMs });
  });
  const gone = { endpoint, detail, atMs, verdicts: null, isFollowed: false };
  state.goneEndpoints.set(endpointId, gone);
};

/** Judges what the end of an endpoint says of each run that was there, while all of them are known. */
const judge = (state: BatchState, gone: GoneEndpoint, nowMs: number): void => {
  const judged = lastRunsOf(gone.endpoint).flatMap((run) => {
    const crash = judgeCrash(state, gone, run, nowMs);
    return crash ? [[run, crash] as const] : [];
  });
  change(gone, { verdicts: new Map(judged) });
};

/** Counts the end of an endpoint against the tasks of runs that ended with it; gives what their lines tell of it. */
const countCrashes = (
  state: BatchState,
  { endpoint, verdicts }: GoneEndpoint,
  runs: readonly RunState[],
  nowMs: number,
): ReadonlyMap<RunState, NoteFields> => {
  const judged = runs.flatMap((run) => {
    const isLive = run.task.phase !== 'done' && !isFinal(run.step.job.phase);
    const crash = isLive ? verdicts?.get(run) : undefined;
    return crash ? [{ run, crash }] : [];
  });
  judged.forEach(({ run, crash }) => recordCrash(state, run, crash));
  const todayMs = nowMs + state.todayAheadMs;
  return new Map(judged.map(({ run }) => [run, crashFields(run.task, endpoint, todayMs)]));
};

/** A run that was given up before tells of its endpoint's end all the same. */
const settleLapsed = (
  state: BatchState,
  { endpoint, detail, atMs }: GoneEndpoint,
  run: RunState,
  fields: NoteFields | undefined,
  nowMs: number,
): void => {
  const { task, step } = run;
  noteRunEnd(state, {
    endpoint,
    task: task.key,
    run: run.run,
    found: { task, step },
    startedAtMs: undefined,
    evidence: { cause: 'endpoint-gone', atMs, detail },
    nowMs,
    fields,
    settle: () => giveUpIfDue(state, run),
  });
};

/** What an earlier holder began there has ended too, unless a later life that has not answered may run it. */
const expectNoReport = (state: BatchState, { endpoint, detail }: GoneEndpoint): void => {
  if (detail === 'restarted') return;
  poolOf(state, endpoint.pool).notReported.delete(instanceOf(endpoint.endpointId));
};

/** Gives up the runs that ended with an endpoint; those that may be in its next life stay. */
const settle = (state: BatchState, gone: GoneEndpoint, nowMs: number): void => {
  const { endpoint, detail, atMs } = gone;
  const evidence: RunEvidence = { cause: 'endpoint-gone', atMs, detail };
  const over = Array.from(endpoint.runs.values()).filter(
    (run) => !mayBeFollowed(state, gone, run, nowMs),
  );
  const lapsed = endpoint.lapsedRuns;
  const fieldsOf = countCrashes(state, gone, [...over, ...lapsed], nowMs);
  over.forEach((run) => {
    const fields = fieldsOf.get(run);
    const afterwards = (): void => giveUpIfDue(state, run);
    loseRun(state, { endpoint, run, evidence, nowMs, fields, afterwards });
  });
  lapsed.forEach((run) => settleLapsed(state, gone, run, fieldsOf.get(run), nowMs));
  change(endpoint, { lapsedRuns: [] });
  if (endpoint.runs.size === 0) state.goneEndpoints.delete(endpoint.endpointId);
};

/**
 * Gives up what ran on endpoints that are gone, unless another entry may be the holder: until then no
 * other can have heard how a run ended, and from then on nobody can hear it from them.
 *
 * @param state - All that is known, changed in place.
 * @param nowMs - The time.
 */
export const settleGoneEndpoints = (state: BatchState, nowMs: number): void => {
  if (state.goneEndpoints.size === 0 || !isSoleHolder(state, nowMs)) return;
  const gone = Array.from(state.goneEndpoints.values());
  const fresh = gone.filter(({ verdicts }) => verdicts === null);
  noteCrashes(state, fresh, nowMs);
  fresh.forEach((one) => {
    judge(state, one, nowMs);
    expectNoReport(state, one);
  });
  gone.forEach((one) => settle(state, one, nowMs));
};
