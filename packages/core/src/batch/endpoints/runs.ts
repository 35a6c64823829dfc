/** Runs of tasks on endpoints: the room that they take, how they begin and how they are ended. */
import { change } from '../../shared/change.js';
import type { StepSpec } from '../model/job.js';
import { chargeRun } from '../accounts/quota.js';
import { dataCentreCountKey, rackCountKey } from '../domains/domains.js';
import { noteRunEnd, type NoteFields, type RunEvidence } from './run-end.js';
import {
  addOpenStep,
  poolOf,
  type BatchState,
  type EndpointState,
  type RunState,
  type StepRun,
  type Task,
} from '../model/state.js';

/**
 * Run numbers rise over holders without a write: the fence, then a count within it. More starts of
 * one task under one fence than this are not made.
 */
const RUNS_PER_FENCE = 1000;

/**
 * Gives the number below which all runs were begun by earlier holders.
 *
 * @param fence - The holder's fence.
 * @returns The number.
 */
export const firstRunNumber = (fence: number): number => fence * RUNS_PER_FENCE;

/**
 * Gives the next run number of a task.
 *
 * @param fence - The holder's fence.
 * @param lastRun - The highest number used so far.
 * @returns The number.
 */
export const nextRunNumber = (fence: number, lastRun: number): number =>
  Math.max(firstRunNumber(fence), lastRun) + 1;

/**
 * Gives the processors that a task takes of an endpoint's room.
 *
 * @param spec - The task's step.
 * @returns Thousandths of a core; none for one that fills gaps.
 */
export const reservedCpu = (spec: StepSpec): number => (spec.fillsGaps ? 0 : spec.cpuMillis);

/**
 * Tells whether a task of a step fits into the free room of an endpoint.
 *
 * @param endpoint - The endpoint.
 * @param spec - The step.
 * @returns True if it fits.
 */
export const fitsIn = ({ capacity, used }: EndpointState, spec: StepSpec): boolean =>
  used.cpuMillis + reservedCpu(spec) <= capacity.cpuMillis &&
  used.memoryMb + spec.memoryMb <= capacity.memoryMb &&
  used.accelerators + spec.accelerators <= capacity.accelerators;

const changeRoom = ({ used }: EndpointState, spec: StepSpec, sign: 1 | -1): void =>
  change(used, {
    cpuMillis: used.cpuMillis + sign * reservedCpu(spec),
    memoryMb: used.memoryMb + sign * spec.memoryMb,
    accelerators: used.accelerators + sign * spec.accelerators,
  });

const freeRoom = (state: BatchState, endpoint: EndpointState, spec: StepSpec): void => {
  changeRoom(endpoint, spec, -1);
  const roomRevision = state.roomRevision + 1;
  change(state, { roomRevision });
  change(endpoint, { roomRevision });
};

const changeCount = <Key>(counts: Map<Key, number>, key: Key, by: 1 | -1): void => {
  const count = (counts.get(key) ?? 0) + by;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
};

/** Counts a task of a step on its endpoint and in the domains of that. */
const changePlaces = (
  { perEndpoint, perDomain }: StepRun,
  { endpointId, domains }: EndpointState,
  by: 1 | -1,
): void => {
  changeCount(perEndpoint, endpointId, by);
  changeCount(perDomain, rackCountKey(domains), by);
  changeCount(perDomain, dataCentreCountKey(domains), by);
};

/**
 * Takes a task from those of its step that wait.
 *
 * @param step - The step, changed in place.
 * @param task - The task.
 */
export const leaveWaiting = (step: StepRun, task: Task): void =>
  change(step, { waiting: step.waiting.filter((index) => index !== task.index) });

/** Options for a run that begins or is found. */
export type AddRunOptions = {
  readonly endpoint: EndpointState;
  readonly step: StepRun;
  readonly task: Task;
  readonly run: number;
  readonly phase: RunState['phase'];
  readonly nowMs: number;
};

/**
 * Notes a run on an endpoint and takes its room.
 *
 * @param state - All that is known, changed in place.
 * @param options - The run.
 * @returns The run.
 */
export const addRun = (
  state: BatchState,
  { endpoint, step, task, run, phase, nowMs }: AddRunOptions,
): RunState => {
  const { job } = step;
  const begun: RunState = {
    task,
    step,
    run,
    phase,
    startedAtMs: nowMs,
    confirmedAtMs: phase === 'running' ? nowMs : Infinity,
    begunByMs: phase === 'running' ? nowMs : Infinity,
    isListed: false,
    stopAnsweredAtMs: Infinity,
    percent: 0,
    figure: 0,
    pacePercent: 100,
    pacedAtMs: 0,
    progressAtMs: nowMs,
  };
  if (task.phase === 'waiting') leaveWaiting(step, task);
  change(task, { phase: 'placed', lastRun: Math.max(task.lastRun, run) });
  changeRoom(endpoint, step.spec, 1);
  chargeRun(state, step, 1);
  changePlaces(step, endpoint, 1);
  endpoint.runs.set(task.key, begun);
  if (step.waiting.length === 0) poolOf(state, job.job.pool).open.delete(step);
  if (phase === 'running') job.hasBegun = true;
  if (job.phase === 'pending') job.phase = 'running';
  return begun;
};

/** Options for a run that is on another life of its endpoint than was thought. */
export type MoveRunOptions = Pick<AddRunOptions, 'phase'> & {
  readonly from: EndpointState;
  readonly to: EndpointState;
  readonly run: RunState;
};

/**
 * Counts a run on the life of its endpoint that has it.
 *
 * @param state - All that is known, changed in place.
 * @param options - The run, and the two lives.
 * @returns The run there.
 */
export const moveRun = (state: BatchState, { from, to, run, phase }: MoveRunOptions): RunState => {
  const { task, step, startedAtMs } = run;
  from.runs.delete(task.key);
  freeRoom(state, from, step.spec);
  chargeRun(state, step, -1);
  changePlaces(step, from, -1);
  return addRun(state, { endpoint: to, step, task, run: run.run, phase, nowMs: startedAtMs });
};

/** Options for a run that has ended. */
export type DropRunOptions = {
  readonly endpoint: EndpointState;
  readonly run: RunState;
  readonly evidence: RunEvidence;
  readonly nowMs: number;
  /** What else its line tells. */
  readonly fields?: NoteFields | undefined;
  /** What follows for the task and its job. */
  readonly settle: () => void;
};

/**
 * Forgets a run that has surely ended, gives its room back, and does what follows. Each run that
 * stops being known goes through here.
 *
 * @param state - All that is known, changed in place.
 * @param options - The run, what shows that it has ended, and what follows.
 */
export const dropRun = (
  state: BatchState,
  { endpoint, run, evidence, nowMs, fields, settle }: DropRunOptions,
): void => {
  const { task, step, startedAtMs } = run;
  if (!endpoint.runs.delete(task.key)) return;
  freeRoom(state, endpoint, step.spec);
  chargeRun(state, step, -1);
  changePlaces(step, endpoint, -1);
  if (endpoint.runs.size === 0) change(endpoint, { idleSinceMs: nowMs });
  noteRunEnd(state, {
    endpoint,
    task: task.key,
    run: run.run,
    found: { step, task },
    startedAtMs,
    evidence,
    nowMs,
    fields,
    settle,
  });
};

/**
 * Puts a task back to those that wait, unless its job has ended.
 *
 * @param state - All that is known, changed in place.
 * @param step - Its step.
 * @param task - The task.
 */
export const requeue = (state: BatchState, step: StepRun, task: Task): void => {
  if (task.phase !== 'placed') return;
  change(task, { phase: 'waiting' });
  step.waiting.push(task.index);
  const { job } = step;
  const isLive = job.phase === 'running' || job.phase === 'pending';
  if (isLive && step.isOpen) addOpenStep(state, step);
};

/**
 * Orders a run to be stopped. Its room stays taken until its end is listed.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - Where it runs.
 * @param run - The run.
 * @param reason - Why.
 */
export const stopRun = (
  state: BatchState,
  endpoint: EndpointState,
  run: RunState,
  reason: string,
): void => {
  if (run.phase === 'stopping') return;
  change(run, { phase: 'stopping' });
  state.effects.push({
    kind: 'stop',
    endpointId: endpoint.endpointId,
    task: run.task.key,
    run: run.run,
    reason,
  });
};
