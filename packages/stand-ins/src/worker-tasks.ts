/** The tasks that the stand-in for workers runs, each while its lease lasts. */
import { change } from '@valvelatch/core/shared/change';

import { startExecutor, type ExecutorFault, type StandInExecutor } from './executor.js';

type TaskSpec = {
  readonly slots: number;
  readonly connections: number;
  readonly runTimeMs: number;
  readonly cores: number;
};

/** A request to start a task of a job under an epoch. */
export type StartRequest = {
  readonly jobId: string;
  readonly epoch: number;
  readonly hostId: string;
  readonly leaseMs: number;
  readonly service: string | null;
  readonly spec: TaskSpec;
};

/** A task that has been started. */
export type Task = StartRequest & {
  /** `leaving`: the task is being drained. */
  phase: 'starting' | 'running' | 'leaving' | 'done' | 'failed';
  leaseUntilMs: number;
  /** Set for the tasks of a service, once their executor runs. */
  executor: StandInExecutor | null;
  /** Ends the run of a job; null for the tasks of a service. */
  timer: NodeJS.Timeout | null;
};

/** A task as requests refer to it: requests with another epoch than the running one have no effect. */
export type TaskReference = { readonly jobId: string; readonly epoch: number };

/** Counts of requests. */
type RequestTotals = {
  served: number;
  /** Requests that were refused because all slots of an executor were in use. */
  overSlots: number;
  /** Requests that were in flight when their task was stopped. */
  cutRequests: number;
};

/** What the tasks have done, including those that have ended. */
export type TaskTotals = Readonly<RequestTotals> & {
  /** How often each idempotency key was executed. */
  readonly executions: Readonly<Record<string, number>>;
  /** Starts that were refused because the job was running under another epoch. */
  readonly doubleStarts: number;
};

export type WorkerTasksOptions = {
  /** How long an executor works on a request that does not say otherwise, in milliseconds. */
  readonly workMs: number;
  readonly isHostUp: (hostId: string) => boolean;
  /** Whether jobs on a host fail when their run time is over. */
  readonly failsTasks: (hostId: string) => boolean;
};

/**
 * Creates the tasks of the stand-in, none of which has started.
 *
 * @param options - What the tasks have to know of their hosts.
 * @returns The current tasks by job id, and the functions that change them.
 */
export const createWorkerTasks = ({ workMs, isHostUp, failsTasks }: WorkerTasksOptions) => {
  const tasks = new Map<string, Task>();
  const endedEpochs = new Map<string, number>();
  const executions = new Map<string, number>();
  /** The totals of the tasks that have ended. */
  const endedTotals: RequestTotals = { served: 0, overSlots: 0, cutRequests: 0 };
  let doubleStarts = 0;

  const addTotalsOf = (executor: StandInExecutor) => {
    endedTotals.served += executor.stats.served;
    endedTotals.overSlots += executor.stats.overSlots;
    executor.executions.forEach((count, key) =>
      executions.set(key, (executions.get(key) ?? 0) + count),
    );
  };

  const endEpoch = ({ jobId, epoch }: TaskReference): void => {
    endedEpochs.set(jobId, Math.max(epoch, endedEpochs.get(jobId) ?? 0));
  };

  const endTask = async (task: Task, isPlanned: boolean): Promise<void> => {
    tasks.delete(task.jobId);
    endEpoch(task);
    if (task.timer) clearTimeout(task.timer);
    if (!task.executor) return;
    addTotalsOf(task.executor);
    const cutCount = await task.executor.close();
    if (isPlanned) endedTotals.cutRequests += cutCount;
  };

  const runJob = (task: Task): void => {
    const timer = setTimeout(() => {
      change(task, { phase: failsTasks(task.hostId) ? 'failed' : 'done' });
    }, task.spec.runTimeMs);
    change(task, { phase: 'running', timer });
  };

  const runExecutor = async (task: Task): Promise<void> => {
    const executor = await startExecutor({ name: task.jobId, slots: task.spec.slots, workMs });
    change(task, { executor, phase: 'running' });
  };

  /** Returns why a start is refused, or null when it is accepted. */
  const findRefusal = (start: StartRequest): string | null => {
    if (!isHostUp(start.hostId)) return 'host is not up';
    if (start.epoch <= (endedEpochs.get(start.jobId) ?? 0)) return 'this epoch has ended';
    const running = tasks.get(start.jobId);
    if (running && running.epoch !== start.epoch) {
      doubleStarts += 1;
      return `epoch ${running.epoch} is running`;
    }
    return null;
  };

  /** Starts a task unless it runs already. Returns why the start is refused, or null when it is accepted. */
  const start = async (request: StartRequest): Promise<string | null> => {
    const refusal = findRefusal(request);
    if (refusal !== null) return refusal;
    if (tasks.has(request.jobId)) return null;
    const task: Task = {
      ...request,
      phase: 'starting',
      leaseUntilMs: performance.now() + request.leaseMs,
      executor: null,
      timer: null,
    };
    tasks.set(request.jobId, task);
    if (request.service === null) runJob(task);
    else await runExecutor(task);
    return null;
  };

  /** Returns the task that a request refers to, unless the job now runs under another epoch. */
  const findTask = ({ jobId, epoch }: TaskReference): Task | undefined => {
    const task = tasks.get(jobId);
    return task?.epoch === epoch ? task : undefined;
  };

  const drain = (reference: TaskReference): void => {
    const task = findTask(reference);
    if (task && task.phase === 'running') task.phase = 'leaving';
  };

  /** Stops a task, and refuses starts of its job with this epoch or a lower one from now on. */
  const stop = async (reference: TaskReference): Promise<void> => {
    const task = findTask(reference);
    if (task) await endTask(task, true);
    endEpoch(reference);
  };

  const renewLeases = (references: readonly TaskReference[]): void =>
    references.forEach((reference) => {
      const task = findTask(reference);
      if (task) task.leaseUntilMs = performance.now() + task.leaseMs;
    });

  const endTasksOn = async (hostId: string): Promise<void> => {
    const hostTasks = Array.from(tasks.values()).filter((task) => task.hostId === hostId);
    await Promise.all(hostTasks.map((task) => endTask(task, false)));
  };

  const endExpiredTasks = (): void => {
    const nowMs = performance.now();
    tasks.forEach((task) => {
      if (task.phase !== 'done' && task.phase !== 'failed' && nowMs > task.leaseUntilMs) {
        void endTask(task, false);
      }
    });
  };

  const endAll = async (): Promise<void> => {
    await Promise.all(Array.from(tasks.values(), (task) => endTask(task, false)));
  };

  const setExecutorFault = (jobId: string, fault: ExecutorFault): void => {
    tasks.forEach((task) => {
      if (jobId === '*' || task.jobId === jobId) task.executor?.setFault(fault);
    });
  };

  const totals = (): TaskTotals => {
    const executionCounts = new Map(executions);
    const sums = { ...endedTotals };
    tasks.forEach(({ executor }) => {
      if (!executor) return;
      sums.served += executor.stats.served;
      sums.overSlots += executor.stats.overSlots;
      executor.executions.forEach((count, key) =>
        executionCounts.set(key, (executionCounts.get(key) ?? 0) + count),
      );
    });
    return { executions: Object.fromEntries(executionCounts), ...sums, doubleStarts };
  };

  return {
    tasks: tasks as ReadonlyMap<string, Task>,
    start,
    drain,
    stop,
    renewLeases,
    endTasksOn,
    endExpiredTasks,
    endAll,
    setExecutorFault,
    totals,
  };
};
