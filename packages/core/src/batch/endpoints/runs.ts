/** Runs of tasks on endpoints: how they start, which capacity they take, and how they end. */
import { change } from '../../shared/change.js';
import type { StepSpec } from '../model/job.js';
import { chargeRun } from '../accounts/quota.js';
import { dataCentreCountKey, rackCountKey } from '../domains/domains.js';
import { recordRunEnd, type LogFields, type RunEvidence } from './run-end.js';
import {
  addOpenStep,
  poolOf,
  type BatchState,
  type EndpointState,
  type RunState,
  type StepRun,
  type Task,
} from '../model/state.js';

/** A run ends well within this time after its endpoint has answered the order to stop it (`stopMs`, 0.9 s). */
export const STOP_COMPLETED_WITHIN_MS = 3000;

/**
 * Returns the CPU capacity that a task reserves on an endpoint.
 *
 * @param spec - The task's step.
 * @returns CPU in thousandths of a core; 0 for a task that only fills gaps in the capacity.
 */
export const reservedCpu = (spec: StepSpec): number => (spec.fillsGaps ? 0 : spec.cpuMillis);

/**
 * Tells whether a task of a step fits into the free capacity of an endpoint.
 *
 * @param endpoint - The endpoint.
 * @param spec - The step.
 * @returns True if it fits.
 */
export const fitsIn = ({ capacity, used }: EndpointState, spec: StepSpec): boolean =>
  used.cpuMillis + reservedCpu(spec) <= capacity.cpuMillis &&
  used.memoryMb + spec.memoryMb <= capacity.memoryMb &&
  used.accelerators + spec.accelerators <= capacity.accelerators;

const changeUsed = ({ used }: EndpointState, spec: StepSpec, sign: 1 | -1): void =>
  change(used, {
    cpuMillis: used.cpuMillis + sign * reservedCpu(spec),
    memoryMb: used.memoryMb + sign * spec.memoryMb,
    accelerators: used.accelerators + sign * spec.accelerators,
  });

const freeCapacity = (state: BatchState, endpoint: EndpointState, spec: StepSpec): void => {
  changeUsed(endpoint, spec, -1);
  const freeCapacityRevision = state.freeCapacityRevision + 1;
  change(state, { freeCapacityRevision });
  change(endpoint, { freeCapacityRevision });
};

const changeCount = <Key>(counts: Map<Key, number>, key: Key, by: 1 | -1): void => {
  const count = (counts.get(key) ?? 0) + by;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
};

/** Updates the number of the step's tasks on the endpoint, in its rack and in its data centre. */
const changeTaskCounts = (
  { perEndpoint, perDomain }: StepRun,
  { endpointId, domains }: EndpointState,
  by: 1 | -1,
): void => {
  changeCount(perEndpoint, endpointId, by);
  changeCount(perDomain, rackCountKey(domains), by);
  changeCount(perDomain, dataCentreCountKey(domains), by);
};

/**
 * Reserves the capacity of a run on an endpoint, and counts the run in its account's usage and in the spread of its step.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param step - The step of the run's task.
 */
export const reserveForRun = (state: BatchState, endpoint: EndpointState, step: StepRun): void => {
  changeUsed(endpoint, step.spec, 1);
  chargeRun(state, step, 1);
  changeTaskCounts(step, endpoint, 1);
};

/**
 * Takes back what `reserveForRun` has reserved.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param step - The step of the run's task.
 */
export const releaseRun = (state: BatchState, endpoint: EndpointState, step: StepRun): void => {
  freeCapacity(state, endpoint, step.spec);
  chargeRun(state, step, -1);
  changeTaskCounts(step, endpoint, -1);
};

/**
 * Removes a task from the waiting tasks of its step.
 *
 * @param step - The step, modified in place.
 * @param task - The task.
 */
export const removeFromWaiting = ({ waiting }: StepRun, { index }: Task): void => {
  const position = waiting.indexOf(index);
  if (position >= 0) waiting.splice(position, 1);
};

/** Options for a run that is started, or that an endpoint lists. */
export type AddRunOptions = {
  readonly endpoint: EndpointState;
  readonly step: StepRun;
  readonly task: Task;
  readonly run: number;
  readonly phase: RunState['phase'];
  readonly nowMs: number;
};

/**
 * Adds a run to an endpoint and takes its capacity.
 *
 * @param state - The holder's batch state, modified in place.
 * @param options - The run.
 * @returns The run.
 */
export const addRun = (
  state: BatchState,
  { endpoint, step, task, run, phase, nowMs }: AddRunOptions,
): RunState => {
  const { job } = step;
  const newRun: RunState = {
    task,
    step,
    run,
    phase,
    startedAtMs: nowMs,
    startClockMs: undefined,
    confirmedAtMs: phase === 'running' ? nowMs : Infinity,
    startedByMs: phase === 'running' ? nowMs : Infinity,
    isConclusive: false,
    isListed: false,
    stopAnsweredAtMs: Infinity,
    percent: 0,
    loadFigure: 0,
    pacePercent: 100,
    pacedAtMs: 0,
    progressAtMs: nowMs,
  };
  if (task.phase === 'waiting') removeFromWaiting(step, task);
  change(task, { phase: 'placed', lastRun: Math.max(task.lastRun, run) });
  reserveForRun(state, endpoint, step);
  endpoint.runs.set(task.key, newRun);
  if (step.waiting.length === 0) poolOf(state, job.job.pool).openSteps.delete(step);
  if (phase === 'running') job.hasStarted = true;
  if (job.phase === 'pending' && phase !== 'announced') job.phase = 'running';
  return newRun;
};

/** Options for a run that is in another incarnation of its endpoint than assumed. */
export type MoveRunOptions = Pick<AddRunOptions, 'phase'> & {
  readonly from: EndpointState;
  readonly to: EndpointState;
  readonly run: RunState;
};

/**
 * Moves a run to the incarnation of its endpoint in which it actually is.
 *
 * @param state - The holder's batch state, modified in place.
 * @param options - The run, and the two incarnations.
 * @returns The state of the run in the new incarnation.
 */
export const moveRun = (state: BatchState, { from, to, run, phase }: MoveRunOptions): RunState => {
  const { task, step, startedAtMs } = run;
  from.runs.delete(task.key);
  releaseRun(state, from, step);
  return addRun(state, { endpoint: to, step, task, run: run.run, phase, nowMs: startedAtMs });
};

/** Options for a run that has ended. */
export type DropRunOptions = {
  readonly endpoint: EndpointState;
  readonly run: RunState;
  readonly evidence: RunEvidence;
  readonly nowMs: number;
  /** Additional fields of the log line. */
  readonly fields?: LogFields | undefined;
  /** Updates the task and its job. */
  readonly updateTask: () => void;
};

/**
 * Removes a run that has certainly ended, frees its capacity, and updates its task and job. Each run that ends
 * leaves the state through this function; `moveRun` only moves a run.
 *
 * @param state - The holder's batch state, modified in place.
 * @param options - The run, the evidence that it has ended, and the update of the task and its job.
 */
export const dropRun = (
  state: BatchState,
  { endpoint, run, evidence, nowMs, fields, updateTask }: DropRunOptions,
): void => {
  const { task, step, startedAtMs } = run;
  if (!endpoint.runs.delete(task.key)) return;
  releaseRun(state, endpoint, step);
  if (endpoint.runs.size === 0) change(endpoint, { idleSinceMs: nowMs });
  recordRunEnd(state, {
    endpoint,
    task: task.key,
    run: run.run,
    taskWithStep: { step, task },
    startedAtMs,
    evidence,
    nowMs,
    fields,
    updateTask,
  });
};

/**
 * Tells whether an endpoint, or one that is gone and whose runs are not given up yet, has a run of a task.
 *
 * @param state - The holder's batch state.
 * @param step - The task's step.
 * @param task - The task.
 * @returns True while such a run is known.
 */
export const isHeldByRun = (
  { endpoints, goneEndpoints }: BatchState,
  { perEndpoint }: StepRun,
  { key }: Task,
): boolean =>
  Array.from(perEndpoint.keys()).some(
    (endpointId) =>
      endpoints.get(endpointId)?.runs.has(key) === true ||
      goneEndpoints.get(endpointId)?.endpoint.runs.has(key) === true,
  );

/**
 * Puts a task back into the queue, unless its job has ended.
 *
 * @param state - The holder's batch state, modified in place.
 * @param step - The task's step.
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
 * Removes a run that certainly was not ordered, and puts its task back into the queue.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint that was to start it.
 * @param run - The run.
 * @param nowMs - The current time.
 */
export const withdrawRun = (
  state: BatchState,
  endpoint: EndpointState,
  run: RunState,
  nowMs: number,
): void => {
  const evidence: RunEvidence = { cause: 'start-refused', atMs: nowMs, detail: 'not-sent' };
  const updateTask = (): void => requeue(state, run.step, run.task);
  dropRun(state, { endpoint, run, evidence, nowMs, updateTask });
};

/**
 * Orders an endpoint to stop a run. The capacity of the run stays reserved until the endpoint lists its end.
 * A run that was not ordered yet is withdrawn instead.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoint - The endpoint.
 * @param run - The run.
 * @param reason - The reason that operators see.
 */
export const stopRun = (
  state: BatchState,
  endpoint: EndpointState,
  run: RunState,
  reason: string,
): void => {
  if (run.phase === 'stopping') return;
  if (run.phase === 'announced') {
    withdrawRun(state, endpoint, run, state.clockMs);
    return;
  }
  change(run, { phase: 'stopping' });
  state.effects.push({
    kind: 'stop',
    endpointId: endpoint.endpointId,
    task: run.task.key,
    run: run.run,
    reason,
  });
};
