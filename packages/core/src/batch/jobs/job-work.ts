/** Estimates the work of a job from the run times of earlier tasks of its kinds. */
import type { BatchJob, StepSpec } from '../model/job.js';
import type { BatchState } from '../model/state.js';
import { estimateRunTime, estimateWorkTime } from './run-times.js';
import { taskKindOf } from './step-times.js';

const MILLIS = 1000;

/** The estimated work of a job: in total, the duration of its critical path, and that path's work time. */
export type JobWork = {
  readonly coreMs: number;
  readonly criticalPathMs: number;
  readonly criticalWorkMs: number;
};

/** The longest chain of dependent steps if each step takes the given time, in milliseconds. */
const longestChainMs = (steps: readonly StepSpec[], timeOf: (spec: StepSpec) => number): number => {
  const ends: number[] = [];
  steps.forEach((spec) => {
    const startMs = Math.max(0, ...spec.after.map((number) => ends[number] ?? 0));
    ends.push(startMs + timeOf(spec));
  });
  return Math.max(0, ...ends);
};

/**
 * Estimates the work of a job.
 *
 * @param state - The batch state with the run times.
 * @param job - The job.
 * @returns The work in core-milliseconds, and the durations in milliseconds.
 */
export const estimateJobWork = (state: BatchState, { steps, queue }: BatchJob): JobWork => {
  const timeOf = (spec: StepSpec): number =>
    estimateRunTime(state.runTimes, taskKindOf(queue, spec), spec.estimateMs);
  const workTimeOf = (spec: StepSpec): number =>
    estimateWorkTime(state.runTimes, taskKindOf(queue, spec), spec.estimateMs);
  const stepWorks = steps.map((spec) => (spec.taskCount * spec.cpuMillis * timeOf(spec)) / MILLIS);
  return {
    coreMs: stepWorks.reduce((sum, one) => sum + one, 0),
    criticalPathMs: longestChainMs(steps, timeOf),
    criticalWorkMs: longestChainMs(steps, workTimeOf),
  };
};
