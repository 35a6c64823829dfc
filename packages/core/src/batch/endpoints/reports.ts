/** Applies the reports of endpoints: which runs are active, which have ended and how. */
import type { EndpointId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { recordAnswered } from '../domains/suspected-domains.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { blockUnlistedRuns, moveListedRuns } from './incarnation-runs.js';
import { parseTaskKey, taskKey, type TaskKey } from '../model/job.js';
import { findReportedTask } from '../jobs/job-lifecycle.js';
import { recordRunEnd, type RunEvidence, type TaskWithStep } from './run-end.js';
import { mustBeStopped, replaceOrphanRuns } from './orphan-runs.js';
import { listingAfter } from './listing-status.js';
import { endRunWithoutReport } from './unreported-runs.js';
import { addRun, dropRun } from './runs.js';
import {
  isFinal,
  poolOf,
  type BatchState,
  type EndpointState,
  type OrphanRun,
  type RunState,
  type StepRun,
  type Task,
} from '../model/state.js';
import type { EndedRunReport, EndpointReport, RunningReport } from './endpoint-report.js';
import { endHandlers } from './run-end-handlers.js';
import { recordTrialSeen } from '../crashes/announced-start-record.js';
import { closeTrial, withdrawUnknownTrials } from '../crashes/trials.js';

type ReportTimes = Pick<EndpointReport, 'requestedAtMs' | 'nowMs' | 'clockMs'>;

/** How long a run took by its endpoint's clock, which no delay of orders and reports adds to, at most `ranMs`. */
const workedMsOf = ({ startClockMs }: RunState, clockMs: number | undefined, ranMs: number) =>
  startClockMs === undefined || clockMs === undefined
    ? ranMs
    : Math.min(ranMs, Math.max(0, clockMs - startClockMs));

/** Finds the task that an endpoint names; none if the name only resembles that of a task, as a damaged one may. */
const findNamedTask = (state: BatchState, key: TaskKey): TaskWithStep | undefined => {
  const name = parseTaskKey(key);
  if (!name || taskKey(name.jobId, name.occurrence, name.step, name.index) !== key)
    return undefined;
  return findReportedTask(state, name);
};

const applyEnd = (
  state: BatchState,
  endpoint: EndpointState,
  end: EndedRunReport,
  { requestedAtMs, nowMs, clockMs }: ReportTimes,
): void => {
  const { task, run, kind } = end;
  const known = endpoint.runs.get(task);
  const taskWithStep = findNamedTask(state, task);
  const evidence: RunEvidence = { cause: 'reported', atMs: requestedAtMs, detail: kind };
  if (taskWithStep) change(taskWithStep.step.job, { hasStarted: true });
  const applyEndWithRunTime = (ranMs: number, workedMs: number): void => {
    if (!taskWithStep || isFinal(taskWithStep.step.job.phase)) return;
    endHandlers[kind](state, { ...taskWithStep, end, endpoint, ranMs, workedMs });
  };
  if (known?.run === run) {
    const ranMs = nowMs - known.startedAtMs;
    const workedMs = workedMsOf(known, clockMs, ranMs);
    const updateTask = (): void => applyEndWithRunTime(ranMs, workedMs);
    dropRun(state, { endpoint, run: known, evidence, nowMs, updateTask });
    return;
  }
  const updateTask = (): void => applyEndWithRunTime(0, 0);
  const startedAtMs = undefined;
  recordRunEnd(state, {
    endpoint,
    task,
    run,
    taskWithStep,
    startedAtMs,
    evidence,
    nowMs,
    updateTask,
  });
};

const updateRun = (
  state: BatchState,
  run: RunState,
  report: RunningReport,
  { requestedAtMs, nowMs }: ReportTimes,
): void => {
  const { task, step, phase, percent, progressAtMs, confirmedAtMs, startedByMs } = run;
  change(step.job, { hasStarted: true });
  change(run, {
    confirmedAtMs: Math.min(confirmedAtMs, nowMs),
    startedByMs: Math.min(startedByMs, nowMs),
    isListed: true,
    phase: phase === 'stopping' ? phase : 'running',
    progressAtMs: report.percent > percent ? nowMs : progressAtMs,
    percent: report.percent,
    loadFigure: report.figure,
  });
  recordTrialSeen(state, run);
  if (requestedAtMs >= state.formerOrdersEndAtMs) task.isLocated = true;
  if (report.checkpoint !== '') task.checkpoint = report.checkpoint;
  if (step.spec.isLasting && report.percent >= 100) task.unavailableSinceMs = 0;
};

const mayAdopt = (found: { readonly step: StepRun; readonly task: Task } | undefined): boolean =>
  found !== undefined && found.task.phase === 'waiting' && !isFinal(found.step.job.phase);

/**
 * Handles a listed run that this holder does not know. An earlier holder started it; it is adopted or stopped.
 *
 * @returns The run if it is to be stopped; undefined if it is adopted.
 */
const applyUnknownRun = (
  state: BatchState,
  endpoint: EndpointState,
  report: RunningReport,
  times: ReportTimes,
): OrphanRun | undefined => {
  const { requestedAtMs, nowMs } = times;
  const found = findNamedTask(state, report.task);
  if (found && mayAdopt(found)) {
    const run = addRun(state, { endpoint, ...found, run: report.run, phase: 'running', nowMs });
    // The start order was sent before this holder took over, and the endpoint has been running the task since then.
    change(run, { startedByMs: Math.min(nowMs, state.takenOverAtMs) });
    updateRun(state, run, report, times);
    return undefined;
  }
  const { task, run } = report;
  const known = endpoint.orphanRuns.get(task);
  const orphan: OrphanRun =
    known?.run === run
      ? known
      : { task, run, step: found?.step, firstListedAtMs: nowMs, stopAnsweredAtMs: Infinity };
  const reason = found
    ? `job is ${found.step.job.phase} or the task runs elsewhere`
    : 'job is not known';
  if (mustBeStopped(orphan, requestedAtMs))
    state.effects.push({ kind: 'stop', endpointId: endpoint.endpointId, task, run, reason });
  return orphan;
};

/** The orphan runs after a report. One that is missing from a list with unreadable rows may still be there. */
const orphanRunsAfter = (
  { orphanRuns, runs }: EndpointState,
  listed: readonly OrphanRun[],
  { ended, hasUnreadableRows = false }: EndpointReport,
): ReadonlyMap<TaskKey, OrphanRun> => {
  const hasEnded = ({ task, run }: OrphanRun): boolean =>
    runs.has(task) || ended.some((end) => end.task === task && end.run === run);
  const kept = hasUnreadableRows
    ? Array.from(orphanRuns.values()).filter((one) => !hasEnded(one))
    : [];
  return new Map([...kept, ...listed].map((one) => [one.task, one]));
};

/**
 * Marks runs as ended that were confirmed, or whose stop order was answered, before the list request and that are
 * listed neither as running nor as ended.
 */
const endUnlistedRuns = (
  state: BatchState,
  endpoint: EndpointState,
  listed: ReadonlySet<TaskKey>,
  { requestedAtMs, nowMs }: ReportTimes,
): void =>
  endpoint.runs.forEach((run) => {
    const wasConfirmed = run.confirmedAtMs < requestedAtMs;
    const mustBeListed = wasConfirmed || run.stopAnsweredAtMs < requestedAtMs;
    if (!mustBeListed || listed.has(run.task.key)) return;
    const detail = wasConfirmed ? 'confirmed-before' : 'stop-answered';
    const evidence: RunEvidence = { cause: 'not-listed', atMs: requestedAtMs, detail };
    endRunWithoutReport(state, { endpoint, run, evidence, nowMs });
  });

/** Updates what the endpoint has listed, and logs it each time that this changes to or from an incomplete list. */
const updateListing = (
  state: BatchState,
  endpoint: EndpointState,
  { running, ended, ...response }: EndpointReport,
): void => {
  const before = endpoint.listing;
  const listing = listingAfter(before, response);
  if (listing === before) return;
  change(endpoint, { listing });
  if (before === 'none' && listing === 'complete') return;
  state.effects.push({
    kind: 'note',
    event: 'endpoint-listing',
    fields: {
      endpoint: endpoint.endpointId,
      listing,
      before,
      running: running.length,
      ended: ended.length,
      runs: endpoint.runs.size,
    },
  });
};

/** Waits for further lists of an endpoint that can list more, and no longer for one that has listed everything. */
const updateAwaitedReports = (
  state: BatchState,
  { endpointId, pool, listing }: EndpointState,
): void => {
  const { unreportedInstances } = poolOf(state, pool);
  if (listing === 'complete') unreportedInstances.delete(instanceIdOf(endpointId));
  if (listing === 'ends-missing') unreportedInstances.add(instanceIdOf(endpointId));
};

/**
 * Applies a list response of an endpoint. Ended runs are applied first, because a run that has ended is not running.
 * The endpoint lists ended runs again until they are acknowledged; the caller leaves out those that were applied before.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpointId - The endpoint.
 * @param report - Its response.
 */
export const applyReport = (
  state: BatchState,
  endpointId: EndpointId,
  report: EndpointReport,
): void => {
  const { running, ended, hasMoreEnds, requestedAtMs, nowMs, clockMs } = report;
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  const times: ReportTimes = {
    requestedAtMs,
    nowMs,
    ...(clockMs === undefined ? {} : { clockMs }),
  };
  if (endpoint.listing !== 'complete') {
    moveListedRuns(state, endpoint, [...running, ...ended]);
    if (!hasMoreEnds) blockUnlistedRuns(state, endpoint, nowMs);
  }
  ended.forEach((end) => applyEnd(state, endpoint, end, times));
  const listed = new Set<TaskKey>();
  const orphans = running.flatMap((active) => {
    listed.add(active.task);
    const run = endpoint.runs.get(active.task);
    if (!run) return applyUnknownRun(state, endpoint, active, times) ?? [];
    if (run.run === active.run) {
      closeTrial(state, endpoint, run);
      updateRun(state, run, active, times);
    }
    return [];
  });
  replaceOrphanRuns(state, endpoint, orphanRunsAfter(endpoint, orphans, report));
  if (!hasMoreEnds) {
    endUnlistedRuns(state, endpoint, listed, times);
    withdrawUnknownTrials(state, endpointId, listed);
  }
  recordAnswered(state, endpoint, nowMs);
  updateListing(state, endpoint, report);
  change(endpoint, { reportedAtMs: requestedAtMs, expiredRuns: [] });
  updateAwaitedReports(state, endpoint);
};
