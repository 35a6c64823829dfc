/**
 * Endpoints whose incarnation is over. Their runs have ended, but the holder does not know how. If another entry may
 * have become the holder, that entry may have received the report that a run is done before the endpoint went away.
 * Runs are therefore given up only while this entry is certainly the only holder.
 */
import type { EndpointId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { withdrawTrial } from '../crashes/announced-start-record.js';
import { addRecentCrashes, isCrash } from '../crashes/correlated-crashes.js';
import { crashLogFields, assessCrash, recordCrash } from '../crashes/endpoint-crashes.js';
import { lastReportedRuns } from '../crashes/observation-period.js';
import { removeFromDomains } from '../domains/domains.js';
import { stopAwaitingGone } from '../domains/suspected-domains.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { mayRunInNextIncarnation } from './incarnation-runs.js';
import { failJobIfCrashing } from '../jobs/crashing-jobs.js';
import { endRunWithoutReport } from './unreported-runs.js';
import { replaceOrphanRuns } from './orphan-runs.js';
import { withdrawRun } from './runs.js';
import { recordRunEnd, type LogFields, type RunEvidence } from './run-end.js';
import {
  isFinal,
  isSoleHolder,
  poolOf,
  type BatchState,
  type GoneEndpoint,
  type RunState,
} from '../model/state.js';

/** The evidence that an endpoint is gone, when it held, and the current time. */
export type GoneEvidence = Pick<GoneEndpoint, 'detail' | 'atMs'> & { readonly nowMs: number };

/**
 * Marks an endpoint as gone. It gets no new tasks and its capacity no longer counts. Tasks that ran there, and
 * inherited tasks that may have run there, wait until `giveUpRunsOfGoneEndpoints` gives their runs up. Runs that were not
 * ordered yet are withdrawn at once.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint.
 * @param end - The evidence.
 */
export const removeEndpoint = (
  state: BatchState,
  endpointId: EndpointId,
  { detail, atMs, nowMs }: GoneEvidence,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  state.endpoints.delete(endpointId);
  removeFromDomains(state, endpoint);
  stopAwaitingGone(state, endpoint, nowMs);
  replaceOrphanRuns(state, endpoint, new Map());
  const instanceId = instanceIdOf(endpointId);
  if (state.currentIncarnations.get(instanceId) === endpoint)
    state.currentIncarnations.delete(instanceId);
  Array.from(endpoint.runs.values())
    .filter(({ phase }) => phase === 'announced')
    .forEach((run) => withdrawRun(state, endpoint, run, nowMs));
  endpoint.runs.forEach(({ step, task }) => {
    if (step.spec.isLasting && task.unavailableSinceMs === 0)
      change(task, { unavailableSinceMs: nowMs });
  });
  const gone = { endpoint, detail, atMs, crashesByRun: null, hasSuccessorAnswered: false };
  state.goneEndpoints.set(endpointId, gone);
};

/** Assesses for each run of a gone endpoint whether the crash counts against it, while all its runs are still known. */
const assessRuns = (state: BatchState, gone: GoneEndpoint, nowMs: number): void => {
  const assessed = lastReportedRuns(gone.endpoint).flatMap((run) => {
    const crash = assessCrash(state, gone, run, nowMs);
    return crash ? [[run, crash] as const] : [];
  });
  change(gone, { crashesByRun: new Map(assessed) });
};

/** Counts an endpoint crash against the tasks whose runs ended with it, and returns the log fields for these runs. */
const countCrashes = (
  state: BatchState,
  { endpoint, crashesByRun }: GoneEndpoint,
  runs: readonly RunState[],
  nowMs: number,
): ReadonlyMap<RunState, LogFields> => {
  const assessed = runs.flatMap((run) => {
    const isLive = run.task.phase !== 'done' && !isFinal(run.step.job.phase);
    const crash = isLive ? crashesByRun?.get(run) : undefined;
    return crash ? [{ run, crash }] : [];
  });
  assessed.forEach(({ run, crash }) => recordCrash(state, run, crash));
  const wallClockMs = nowMs + state.wallClockOffsetMs;
  return new Map(assessed.map(({ run }) => [run, crashLogFields(run, endpoint, wallClockMs)]));
};

/** Logs the end of the endpoint also for a run that was given up earlier, when the endpoint's lease ended. */
const logLapsedRunEnd = (
  state: BatchState,
  { endpoint, detail, atMs }: GoneEndpoint,
  run: RunState,
  fields: LogFields | undefined,
  nowMs: number,
): void => {
  const { task, step } = run;
  recordRunEnd(state, {
    endpoint,
    task: task.key,
    run: run.run,
    taskWithStep: { task, step },
    startedAtMs: undefined,
    evidence: { cause: 'endpoint-gone', atMs, detail },
    nowMs,
    fields,
    updateTask: () => failJobIfCrashing(state, run),
  });
};

/**
 * Stops waiting for the endpoint's report: runs that an earlier holder started there have ended as well. After a
 * restart they may be in a later incarnation that has not responded yet, so the report is still awaited.
 */
const stopAwaitingReport = (state: BatchState, { endpoint, detail }: GoneEndpoint): void => {
  if (detail === 'restarted') return;
  poolOf(state, endpoint.pool).unreportedInstances.delete(instanceIdOf(endpoint.endpointId));
};

/** Gives up the runs that ended with an endpoint. Runs that may be in its next incarnation are kept. */
const giveUpRuns = (state: BatchState, gone: GoneEndpoint, nowMs: number): void => {
  const { endpoint, detail, atMs } = gone;
  const evidence: RunEvidence = { cause: 'endpoint-gone', atMs, detail };
  const endedRuns = Array.from(endpoint.runs.values()).filter(
    (run) => !mayRunInNextIncarnation(state, gone, run, nowMs),
  );
  const lapsed = endpoint.expiredRuns;
  const fieldsOf = countCrashes(state, gone, [...endedRuns, ...lapsed], nowMs);
  endedRuns.forEach((run) => {
    const fields = fieldsOf.get(run);
    if (!isCrash(gone)) withdrawTrial(state, run.step, run.task, run.run);
    const onRequeued = (): void => failJobIfCrashing(state, run);
    endRunWithoutReport(state, { endpoint, run, evidence, nowMs, fields, onRequeued });
  });
  lapsed.forEach((run) => logLapsedRunEnd(state, gone, run, fieldsOf.get(run), nowMs));
  change(endpoint, { expiredRuns: [] });
  if (endpoint.runs.size === 0) state.goneEndpoints.delete(endpoint.endpointId);
};

/**
 * Gives up the runs of endpoints that are gone, unless another entry may be the holder. While this entry is the only
 * holder, no other entry can have received the result of a run, and a gone endpoint reports to no later holder.
 *
 * @param state - The holder's batch state, modified in place.
 * @param nowMs - The current time.
 */
export const giveUpRunsOfGoneEndpoints = (state: BatchState, nowMs: number): void => {
  if (state.goneEndpoints.size === 0 || !isSoleHolder(state, nowMs)) return;
  const gone = Array.from(state.goneEndpoints.values());
  const unjudged = gone.filter(({ crashesByRun }) => crashesByRun === null);
  addRecentCrashes(state, unjudged, nowMs);
  unjudged.forEach((one) => {
    assessRuns(state, one, nowMs);
    stopAwaitingReport(state, one);
  });
  gone.forEach((one) => giveUpRuns(state, one, nowMs));
};
