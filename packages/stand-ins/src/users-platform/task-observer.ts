/** Checks the invariants of tasks at the executors as events happen. */
import {
  parseTaskKey,
  type EndedRunReport,
  type EndpointObserver,
  type SimulatedTask,
  type TaskKey,
} from '@valvelatch/core/batch';

import type { StandInExecutor } from './executor-service.js';

export type TaskObserverOptions = {
  readonly executors: () => readonly StandInExecutor[];
  /** The needs and the behaviour of every task. */
  readonly needs: SimulatedTask;
  /** Violated invariants are appended to it. */
  readonly violations: string[];
  /** The jobs of started tasks are added to it. */
  readonly startedJobs: Set<string>;
};

/**
 * Creates an observer of the executors.
 *
 * @param options - The executors, and where the observations go.
 * @returns The observer.
 */
export const createTaskObserver = ({
  executors,
  needs,
  violations,
  startedJobs,
}: TaskObserverOptions): EndpointObserver => {
  const acknowledgedTasks = new Set<TaskKey>();
  return {
    taskOf: () => needs,
    onStart: (endpoint, task, run) => {
      const others = executors().filter(
        ({ model }) => model !== endpoint && model.isUp() && model.runs.has(task),
      );
      if (others.length > 0) violations.push(`${task} run ${run} is on two executors`);
      if (acknowledgedTasks.has(task))
        violations.push(`${task} run ${run} started after its end was acknowledged`);
      const name = parseTaskKey(task);
      if (name) startedJobs.add(name.jobId);
      else violations.push(`${task} is not a valid task key`);
    },
    onEnd: () => undefined,
    onAcknowledged: ({ task, kind }: EndedRunReport) => {
      if (kind === 'done') acknowledgedTasks.add(task);
    },
  };
};
