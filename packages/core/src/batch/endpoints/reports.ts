/** What endpoints report: which tasks run, which have ended and how. */
import type { EndpointId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { noteAnswered } from '../domains/outage.js';
import { instanceOf } from '../model/endpoint-life.js';
import { followRuns } from './followed-runs.js';
import { parseTaskKey, type TaskKey } from '../model/job.js';
import { endJob, findReportedTask, markDone } from '../jobs/jobs.js';
import { chargeStrays } from '../accounts/quota.js';
import { learnRunTime } from '../jobs/run-times.js';
import { noteRunEnd, type RunEvidence } from './run-end.js';
import { loseRun } from './lost-runs.js';
import { addRun, dropRun, requeue } from './runs.js';
import {
  isFinal,
  poolOf,
  type BatchState,
  type EndpointState,
  type RunState,
  type StepRun,
  type Task,
} from '../model/state.js';
import { noteDone, noteFailure } from './health.js';
import { closeTrial } from '../crashes/trials.js';

/** How a run ended, by the endpoint's word. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run as an endpoint lists it. */
export type RunningReport = {
  readonly task: TaskKey;
  readonly run: number;
  readonly checkpoint: string;
  /** How far the work is; a lasting task is at work at 100. */
  readonly percent: number;
  /** A serving task's tail of answer times in milliseconds, another's processors in use. */
  readonly figure: number;
};

/** An end as an endpoint lists it, again and again until it is acknowledged. */
export type EndReport = {
  /** Rises by one with each end in the endpoint's life. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
};

/** An answer of an endpoint. */
export type EndpointReport = {
  readonly running: readonly RunningReport[];
  readonly ended: readonly EndReport[];
  /** The endpoint has more ends than it lists at once: a run that is not named may have ended. */
  readonly hasMoreEnds: boolean;
  /** When the question was sent: runs that were started later may be missing from the answer. */
  readonly askedAtMs: number;
  readonly nowMs: number;
};

type EndHandler = (
  state: BatchState,
  context: {
    readonly step: StepRun;
    readonly task: Task;
    readonly end: EndReport;
    readonly endpoint: EndpointState;
    readonly ranMs: number;
  },
) => void;

const giveBack: EndHandler = (state, { step, task, end }) => {
  if (end.checkpoint !== '') change(task, { checkpoint: end.checkpoint });
  if (task.lastRun <= end.run) requeue(state, step, task);
};

const fail: EndHandler = (state, context) => {
  const { step, task, end, endpoint } = context;
  if (task.failedRuns.includes(end.run)) return;
  change(task, { avoid: endpoint.endpointId });
  noteFailure(state, endpoint, step.job.job.jobId);
  if (step.spec.isLasting) {
    giveBack(state, context);
    return;
  }
  change(task, { failedRuns: [...task.failedRuns, end.run] });
  const { job } = step;
  const failures = task.failedRuns.length;
  if (failures >= job.policy.maxAttempts) {
    endJob(state, job, 'failed', `task ${task.key} failed ${failures} times, which is maxAttempts`);
    return;
  }
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
  giveBack(state, context);
};

const finish: EndHandler = (state, { step, task, endpoint, ranMs }) => {
  noteDone(endpoint);
  if (step.spec.isLasting) {
    requeue(state, step, task);
    return;
  }
  if (ranMs > 0 && task.checkpoint === '') learnRunTime(state.runTimes, step.kind, ranMs);
  if (step.spec.isGang) step.tasks.forEach((member) => markDone(state, step, member));
  else markDone(state, step, task);
};

const endHandlers: Readonly<Record<EndKind, EndHandler>> = {
  done: finish,
  failed: fail,
  stopped: giveBack,
  lapsed: giveBack,
  broken: giveBack,
  alone: giveBack,
};

type AnswerTimes = Pick<EndpointReport, 'askedAtMs' | 'nowMs'>;

const applyEnd = (
  state: BatchState,
  endpoint: EndpointState,
  end: EndReport,
  { askedAtMs, nowMs }: AnswerTimes,
): void => {
  const { task, run, kind } = end;
  const known = endpoint.runs.get(task);
  const name = parseTaskKey(task);
  const found = name && findReportedTask(state, name);
  const evidence: RunEvidence = { cause: 'reported', atMs: askedAtMs, detail: kind };
  if (found) change(found.step.job, { hasBegun: true });
  const settleAfter = (ranMs: number): void => {
    if (!found || isFinal(found.step.job.phase)) return;
    endHandlers[kind](state, { ...found, end, endpoint, ranMs });
  };
  if (known?.run === run) {
    const settle = (): void => settleAfter(nowMs - known.startedAtMs);
    dropRun(state, { endpoint, run: known, evidence, nowMs, settle });
    return;
  }
  const settle = (): void => settleAfter(0);
  const startedAtMs = undefined;
  noteRunEnd(state, { endpoint, task, run, found, startedAtMs, evidence, nowMs, settle });
};

const updateRun = (
  { formerOrdersEndAtMs }: BatchState,
  run: RunState,
  report: RunningReport,
  { askedAtMs, nowMs }: AnswerTimes,
): void => {
  const { task, step, phase, percent, progressAtMs, confirmedAtMs, begunByMs } = run;
  change(step.job, { hasBegun: true });
  change(run, {
    confirmedAtMs: Math.min(confirmedAtMs, nowMs),
    begunByMs: Math.min(begunByMs, nowMs),
    isListed: true,
    phase: phase === 'stopping' ? phase : 'running',
    progressAtMs: report.percent > percent ? nowMs : progressAtMs,
    percent: report.percent,
    figure: report.figure,
  });
  if (askedAtMs >= formerOrdersEndAtMs) task.isLocated = true;
  if (report.checkpoint !== '') task.checkpoint = report.checkpoint;
  if (step.spec.isLasting && report.percent >= 100) task.awaySinceMs = 0;
};

const mayAdopt = (found: { readonly step: StepRun; readonly task: Task } | undefined): boolean =>
  found !== undefined && found.task.phase === 'waiting' && !isFinal(found.step.job.phase);

/**
 * A run that is not known here was begun by an earlier holder: it is taken over or stopped.
 *
 * @returns The step of one that is stopped.
 */
const applyUnknownRun = (
  state: BatchState,
  endpoint: EndpointState,
  report: RunningReport,
  times: AnswerTimes,
): StepRun | undefined => {
  const { nowMs } = times;
  const name = parseTaskKey(report.task);
  const found = name && findReportedTask(state, name);
  if (found && mayAdopt(found)) {
    const run = addRun(state, { endpoint, ...found, run: report.run, phase: 'running', nowMs });
    // Whoever ordered it did so before this holder took over, and the endpoint has lived with it since.
    change(run, { begunByMs: Math.min(nowMs, state.takenOverAtMs) });
    updateRun(state, run, report, times);
    return undefined;
  }
  state.effects.push({
    kind: 'stop',
    endpointId: endpoint.endpointId,
    task: report.task,
    run: report.run,
    reason: found
      ? `job is ${found.step.job.phase} or the task runs elsewhere`
      : 'job is not known',
  });
  return found?.step;
};

/** Runs that were confirmed, or barred, before the question and are neither running nor ended. */
const loseUnlisted = (
  state: BatchState,
  endpoint: EndpointState,
  listed: ReadonlySet<TaskKey>,
  { askedAtMs, nowMs }: AnswerTimes,
): void =>
  endpoint.runs.forEach((run) => {
    const wasConfirmed = run.confirmedAtMs < askedAtMs;
    const isSettled = wasConfirmed || run.stopAnsweredAtMs < askedAtMs;
    if (!isSettled || listed.has(run.task.key)) return;
    const detail = wasConfirmed ? 'confirmed-before' : 'stop-answered';
    const evidence: RunEvidence = { cause: 'not-listed', atMs: askedAtMs, detail };
    loseRun(state, { endpoint, run, evidence, nowMs });
  });

/**
 * Applies what an endpoint answered. Ends come first: a run that has ended is not running. The
 * endpoint lists ends again until they are acknowledged; those applied before are left out.
 *
 * @param state - All that is known, changed in place.
 * @param endpointId - Who answered.
 * @param report - Its answer.
 */
export const applyReport = (
  state: BatchState,
  endpointId: EndpointId,
  { running, ended, hasMoreEnds, askedAtMs, nowMs }: EndpointReport,
): void => {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  const times: AnswerTimes = { askedAtMs, nowMs };
  if (!endpoint.isKnown && !hasMoreEnds) {
    followRuns(state, endpoint, { named: [...running, ...ended], nowMs });
  }
  ended.forEach((end) => applyEnd(state, endpoint, end, times));
  const listed = new Set<TaskKey>();
  const strays = running.flatMap((report) => {
    listed.add(report.task);
    const run = endpoint.runs.get(report.task);
    if (!run) return applyUnknownRun(state, endpoint, report, times) ?? [];
    if (run.run === report.run) {
      closeTrial(state, endpoint, run);
      updateRun(state, run, report, times);
    }
    return [];
  });
  chargeStrays(state, endpoint, strays);
  if (!hasMoreEnds) loseUnlisted(state, endpoint, listed, times);
  noteAnswered(state, endpoint, nowMs);
  change(endpoint, { isKnown: true, reportedAtMs: askedAtMs, lapsedRuns: [] });
  poolOf(state, endpoint.pool).notReported.delete(instanceOf(endpointId));
};
