/** Workers in virtual time: hosts that run tasks under leases, reboot, fail and come back. */
import { change } from '../shared/change.js';
import type { ObservedTask } from '../control/reconcile.js';
import type { PlacementRow } from '../rows/rows.js';
import type { DataCentreId, HostId, JobId } from '../shared/ids.js';

/** A task on a host. */
export type ModelTask = {
  readonly jobId: JobId;
  readonly epoch: number;
  readonly hostId: HostId;
  readonly service: string | null;
  readonly leaseMs: number;
  phase: ObservedTask['phase'];
  leaseUntilMs: number;
  /** When its phase changes by itself: it has started, or it has run. */
  changesAtMs: number;
};

/** A host. */
export type ModelHost = {
  readonly hostId: HostId;
  readonly dataCentre: DataCentreId;
  state: 'up' | 'rebooting' | 'dead';
  isLeaving: boolean;
  failsTasks: boolean;
  boots: number;
  backAtMs: number;
};

/** Times of the model, in milliseconds. */
export type WorkerTimes = {
  readonly startMs: number;
  readonly rebootMs: number;
};

/** What has gone wrong, if anything has. */
export type WorkerFaults = {
  /** Tasks that were serving when their host was rebooted as planned. */
  cutTasks: number;
  /** Moments at which two tasks of one job ran at the same time. */
  doubleRuns: number;
};

export type WorkersModel = {
  readonly hosts: ReadonlyMap<HostId, ModelHost>;
  readonly tasks: () => readonly ModelTask[];
  readonly observed: (dataCentre: DataCentreId) => readonly ObservedTask[];
  readonly start: (placement: PlacementRow, runTimeMs: number, nowMs: number) => void;
  readonly drain: (task: ObservedTask) => void;
  readonly stop: (task: ObservedTask) => void;
  readonly renew: (task: ObservedTask, nowMs: number) => void;
  readonly reboot: (hostId: HostId, requestName: string, nowMs: number) => void;
  readonly kill: (hostId: HostId) => void;
  readonly revive: (hostId: HostId) => void;
  /** Lets time pass: starts end, jobs end, leases lapse, hosts come back. */
  readonly advance: (nowMs: number) => void;
  readonly faults: WorkerFaults;
};

const LONG = Number.MAX_SAFE_INTEGER;

const isLive = ({ phase }: ModelTask): boolean => phase !== 'done' && phase !== 'failed';

/**
 * Builds the workers.
 *
 * @param places - Each host with its data centre.
 * @param times - The times of the model.
 * @returns The workers, all hosts up and without tasks.
 */
export const createWorkersModel = (
  places: ReadonlyMap<HostId, DataCentreId>,
  { startMs, rebootMs }: WorkerTimes,
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
        backAtMs: 0,
      },
    ]),
  );
  let tasks: ModelTask[] = [];
  const runTimes = new Map<string, number>();
  const ended = new Set<string>();
  const rebootRequests = new Set<string>();
  const faults: WorkerFaults = { cutTasks: 0, doubleRuns: 0 };

  const keyOf = ({ jobId, epoch }: { jobId: JobId; epoch: number }): string => `${jobId}@${epoch}`;
  const find = (wanted: ObservedTask): ModelTask | undefined =>
    tasks.find((task) => keyOf(task) === keyOf(wanted));

  const end = (gone: readonly ModelTask[]): void => {
    gone.forEach((task) => ended.add(keyOf(task)));
    const keys = new Set(gone.map(keyOf));
    tasks = tasks.filter((task) => !keys.has(keyOf(task)));
  };

  const start = (placement: PlacementRow, runTimeMs: number, nowMs: number): void => {
    const { jobId, epoch, hostId, service, leaseMs } = placement;
    const key = keyOf(placement);
    if (hosts.get(hostId)?.state !== 'up' || ended.has(key)) return;
    if (tasks.some((task) => keyOf(task) === key)) return;
    if (tasks.some((task) => task.jobId === jobId && isLive(task))) faults.doubleRuns += 1;
    runTimes.set(key, runTimeMs);
    tasks.push({
      jobId,
      epoch,
      hostId,
      service,
      leaseMs,
      phase: 'starting',
      leaseUntilMs: nowMs + leaseMs,
      changesAtMs: nowMs + startMs,
    });
  };

  const tasksOn = (hostId: HostId) => tasks.filter((task) => task.hostId === hostId);

  const changePhase = (task: ModelTask, nowMs: number): void => {
    if (nowMs < task.changesAtMs || !isLive(task)) return;
    if (task.phase === 'starting') {
      const runTimeMs = runTimes.get(keyOf(task)) ?? 0;
      change(task, {
        phase: 'running',
        changesAtMs: task.service === null ? nowMs + runTimeMs : LONG,
      });
      return;
    }
    const { failsTasks = false } = hosts.get(task.hostId) ?? {};
    if (task.service === null) change(task, { phase: failsTasks ? 'failed' : 'done' });
  };

  return {
    hosts,
    tasks: () => tasks,
    observed: (dataCentre) =>
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
      const task = find(wanted);
      if (task && isLive(task)) task.phase = 'leaving';
    },
    stop: (wanted) => {
      const task = find(wanted);
      if (task) end([task]);
      ended.add(keyOf(wanted));
    },
    renew: (wanted, nowMs) => {
      const task = find(wanted);
      if (task) task.leaseUntilMs = nowMs + task.leaseMs;
    },
    reboot: (hostId, requestName, nowMs) => {
      const host = hosts.get(hostId);
      if (!host || host.state !== 'up' || rebootRequests.has(requestName)) return;
      rebootRequests.add(requestName);
      faults.cutTasks += tasksOn(hostId).filter(
        ({ phase }) => phase !== 'done' && phase !== 'failed',
      ).length;
      end(tasksOn(hostId));
      host.state = 'rebooting';
      host.backAtMs = nowMs + rebootMs;
    },
    kill: (hostId) => {
      const host = hosts.get(hostId);
      if (host) host.state = 'dead';
      end(tasksOn(hostId));
    },
    revive: (hostId) => {
      const host = hosts.get(hostId);
      if (!host || host.state !== 'dead') return;
      host.state = 'up';
      host.boots += 1;
    },
    advance: (nowMs) => {
      tasks.forEach((task) => changePhase(task, nowMs));
      end(tasks.filter((task) => isLive(task) && nowMs > task.leaseUntilMs));
      hosts.forEach((host) => {
        if (host.state !== 'rebooting' || nowMs < host.backAtMs) return;
        change(host, { state: 'up', boots: host.boots + 1 });
      });
    },
    faults,
  };
};
