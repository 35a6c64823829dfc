/**
 * Workers in virtual time: hosts that run tasks under leases, reboot, fail and return to service.
 */
import { change } from '../shared/change.js';
import type { ObservedTask } from '../control/reconcile.js';
import type { PlacementRow } from '../rows/rows.js';
import type { DataCentreId, HostId, JobId } from '../shared/ids.js';

/** A task on a host. Its `service` is null if it belongs to a job that ends by itself. */
export type ModelTask = {
  readonly jobId: JobId;
  readonly epoch: number;
  readonly hostId: HostId;
  readonly service: string | null;
  readonly leaseMs: number;
  phase: ObservedTask['phase'];
  leaseUntilMs: number;
  /** When its phase changes next: from starting to running, or from running to its end. */
  nextPhaseAtMs: number;
};

/** A host. `rebootEndsAtMs` is when its reboot ends; it applies only while `state` is `rebooting`. */
export type ModelHost = {
  readonly hostId: HostId;
  readonly dataCentre: DataCentreId;
  state: 'up' | 'rebooting' | 'dead';
  isLeaving: boolean;
  failsTasks: boolean;
  boots: number;
  rebootEndsAtMs: number;
};

/** How long the start of a task and the reboot of a host take, in milliseconds. */
export type WorkerTimes = {
  readonly taskStartMs: number;
  readonly rebootMs: number;
};

/** Counts of invariant violations; all are 0 in a correct run. */
export type InvariantViolations = {
  /** Unfinished tasks that a planned reboot of their host terminated. */
  interruptedTasks: number;
  /** Starts of a task while another task of the same job was live. */
  duplicateRuns: number;
};

export type WorkersModel = {
  readonly hosts: ReadonlyMap<HostId, ModelHost>;
  readonly tasks: () => readonly ModelTask[];
  readonly listObservedTasks: (dataCentre: DataCentreId) => readonly ObservedTask[];
  readonly start: (placement: PlacementRow, runTimeMs: number, nowMs: number) => void;
  readonly drain: (task: ObservedTask) => void;
  readonly stop: (task: ObservedTask) => void;
  readonly renew: (task: ObservedTask, nowMs: number) => void;
  readonly rebootHost: (hostId: HostId, requestName: string, nowMs: number) => void;
  readonly crashHost: (hostId: HostId) => void;
  readonly restartHost: (hostId: HostId) => void;
  /**
   * Advances the model to `nowMs`: completes due starts and runs, ends tasks whose lease has
   * expired, and returns hosts whose reboot is complete.
   */
  readonly advance: (nowMs: number) => void;
  readonly violations: InvariantViolations;
};

const NEVER_MS = Number.MAX_SAFE_INTEGER;

const isLive = ({ phase }: ModelTask): boolean => phase !== 'done' && phase !== 'failed';

/**
 * Builds the workers.
 *
 * @param places - The data centre of each host.
 * @param times - How long starts and reboots take.
 * @returns The workers; all hosts are up and run no tasks.
 */
export const createWorkersModel = (
  places: ReadonlyMap<HostId, DataCentreId>,
  { taskStartMs, rebootMs }: WorkerTimes,
): WorkersModel => {
  const hosts = new Map<HostId, ModelHost>(
    Array.from(places, ([hostId, dataCentre]) => [
      hostId,
      {
        hostId,
        dataCentre,
        state: 'up',
        isLeaving: false,
        failsTasks: false,
        boots: 1,
        rebootEndsAtMs: 0,
      },
    ]),
  );
  let tasks: ModelTask[] = [];
  const runTimes = new Map<string, number>();
  const endedKeys = new Set<string>();
  const rebootRequests = new Set<string>();
  const violations: InvariantViolations = { interruptedTasks: 0, duplicateRuns: 0 };

  const taskKey = ({ jobId, epoch }: { jobId: JobId; epoch: number }): string =>
    `${jobId}@${epoch}`;
  const findTask = (wanted: ObservedTask): ModelTask | undefined =>
    tasks.find((task) => taskKey(task) === taskKey(wanted));

  const removeTasks = (removed: readonly ModelTask[]): void => {
    removed.forEach((task) => endedKeys.add(taskKey(task)));
    const keys = new Set(removed.map(taskKey));
    tasks = tasks.filter((task) => !keys.has(taskKey(task)));
  };

  const start = (placement: PlacementRow, runTimeMs: number, nowMs: number): void => {
    const { jobId, epoch, hostId, service, leaseMs } = placement;
    const key = taskKey(placement);
    if (hosts.get(hostId)?.state !== 'up' || endedKeys.has(key)) return;
    if (tasks.some((task) => taskKey(task) === key)) return;
    if (tasks.some((task) => task.jobId === jobId && isLive(task))) violations.duplicateRuns += 1;
    runTimes.set(key, runTimeMs);
    tasks.push({
      jobId,
      epoch,
      hostId,
      service,
      leaseMs,
      phase: 'starting',
      leaseUntilMs: nowMs + leaseMs,
      nextPhaseAtMs: nowMs + taskStartMs,
    });
  };

  const tasksOn = (hostId: HostId) => tasks.filter((task) => task.hostId === hostId);

  const changePhase = (task: ModelTask, nowMs: number): void => {
    if (nowMs < task.nextPhaseAtMs || !isLive(task)) return;
    if (task.phase === 'starting') {
      const runTimeMs = runTimes.get(taskKey(task)) ?? 0;
      change(task, {
        phase: 'running',
        nextPhaseAtMs: task.service === null ? nowMs + runTimeMs : NEVER_MS,
      });
      return;
    }
    const { failsTasks = false } = hosts.get(task.hostId) ?? {};
    if (task.service === null) change(task, { phase: failsTasks ? 'failed' : 'done' });
  };

  return {
    hosts,
    tasks: () => tasks,
    listObservedTasks: (dataCentre) =>
      tasks
        .filter(({ hostId }) => hosts.get(hostId)?.dataCentre === dataCentre)
        .map(({ jobId, epoch, hostId, phase, service }) => ({
          jobId,
          epoch,
          hostId,
          phase,
          service,
          address: null,
        })),
    start,
    drain: (wanted) => {
      const task = findTask(wanted);
      if (task && isLive(task)) task.phase = 'leaving';
    },
    stop: (wanted) => {
      const task = findTask(wanted);
      if (task) removeTasks([task]);
      endedKeys.add(taskKey(wanted));
    },
    renew: (wanted, nowMs) => {
      const task = findTask(wanted);
      if (task) task.leaseUntilMs = nowMs + task.leaseMs;
    },
    rebootHost: (hostId, requestName, nowMs) => {
      const host = hosts.get(hostId);
      if (!host || host.state !== 'up' || rebootRequests.has(requestName)) return;
      rebootRequests.add(requestName);
      violations.interruptedTasks += tasksOn(hostId).filter(
        ({ phase }) => phase !== 'done' && phase !== 'failed',
      ).length;
      removeTasks(tasksOn(hostId));
      host.state = 'rebooting';
      host.rebootEndsAtMs = nowMs + rebootMs;
    },
    crashHost: (hostId) => {
      const host = hosts.get(hostId);
      if (host) host.state = 'dead';
      removeTasks(tasksOn(hostId));
    },
    restartHost: (hostId) => {
      const host = hosts.get(hostId);
      if (!host || host.state !== 'dead') return;
      host.state = 'up';
      host.boots += 1;
    },
    advance: (nowMs) => {
      tasks.forEach((task) => changePhase(task, nowMs));
      removeTasks(tasks.filter((task) => isLive(task) && nowMs > task.leaseUntilMs));
      hosts.forEach((host) => {
        if (host.state !== 'rebooting' || nowMs < host.rebootEndsAtMs) return;
        change(host, { state: 'up', boots: host.boots + 1 });
      });
    },
    violations,
  };
};
