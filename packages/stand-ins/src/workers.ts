/** A stand-in for the workers of one data centre: hosts that run tasks while their leases last. */
import { change } from '@valvelatch/core/shared/change';
import fastify from 'fastify';
import { request } from 'undici';

import { startExecutor, type ExecutorFault, type StandInExecutor } from './executor.js';

type TaskSpec = {
  readonly slots: number;
  readonly connections: number;
  readonly runTimeMs: number;
  readonly cores: number;
};

type StartRequest = {
  readonly jobId: string;
  readonly epoch: number;
  readonly hostId: string;
  readonly leaseMs: number;
  readonly service: string | null;
  readonly spec: TaskSpec;
};

type Task = StartRequest & {
  /** `leaving`: the task is being drained. */
  phase: 'starting' | 'running' | 'leaving' | 'done' | 'failed';
  leaseUntilMs: number;
  /** Set for the tasks of a service, once their executor runs. */
  executor: StandInExecutor | null;
  /** Ends the run of a job; null for the tasks of a service. */
  timer: NodeJS.Timeout | null;
};

type Host = {
  state: 'up' | 'rebooting' | 'dead';
  boots: number;
  /** Whether jobs on this host fail when their run time is over. */
  failsTasks: boolean;
  /** Whether the host reports itself as leaving. */
  leaving: boolean;
};

/** Options for the stand-in. */
export type WorkersOptions = {
  readonly dataCentre: string;
  readonly hostIds: readonly string[];
  readonly platformUrl: string;
  readonly host?: string;
  readonly port?: number;
  /** How long a reboot takes. */
  readonly rebootMs?: number;
  /** How long an executor works on a request that does not say otherwise. */
  readonly workMs?: number;
};

/** What the stand-in has observed, for checks in tests and in the quickstart. */
export type WorkersReport = {
  readonly dataCentre: string;
  /** How often each idempotency key was executed. */
  readonly executions: Readonly<Record<string, number>>;
  readonly served: number;
  /** Requests that were refused because all slots of an executor were in use. */
  readonly overSlots: number;
  /** Requests that were in flight when their task was stopped. */
  readonly cutRequests: number;
  /** Starts that were refused because the job was running under another epoch. */
  readonly doubleStarts: number;
};

/** A running stand-in. */
export type StandInWorkers = {
  readonly url: string;
  readonly report: () => WorkersReport;
  /** Number of requests that the current task of a job has answered. */
  readonly servedBy: (jobId: string) => number;
  readonly setHost: (hostId: string, changes: Partial<Host>) => Promise<void>;
  /** Sets the fault of the executor of a job, or of all executors for the job id `*`. */
  readonly setExecutorFault: (jobId: string, fault: ExecutorFault) => void;
  readonly close: () => Promise<void>;
};

const HEARTBEAT_MS = 300;
const LEASE_CHECK_MS = 200;

/** Totals of the tasks that have ended. */
type EndedTotals = { served: number; overSlots: number; cutRequests: number };

/**
 * Starts the stand-in.
 *
 * @param options - The data centre, its hosts and the platform's address; times in milliseconds.
 * @returns The running stand-in.
 */
export const startWorkers = async ({
  dataCentre,
  hostIds,
  platformUrl,
  host: listenHost = '127.0.0.1',
  port = 0,
  rebootMs = 1000,
  workMs = 5,
}: WorkersOptions): Promise<StandInWorkers> => {
  const app = fastify();
  const hosts = new Map<string, Host>(
    hostIds.map((hostId) => [hostId, { state: 'up', boots: 1, failsTasks: false, leaving: false }]),
  );
  const tasks = new Map<string, Task>();
  const endedEpochs = new Map<string, number>();
  const executions = new Map<string, number>();
  const endedTotals: EndedTotals = { served: 0, overSlots: 0, cutRequests: 0 };
  let doubleStarts = 0;

  const addTotalsOf = (executor: StandInExecutor) => {
    endedTotals.served += executor.stats.served;
    endedTotals.overSlots += executor.stats.overSlots;
    executor.executions.forEach((count, key) =>
      executions.set(key, (executions.get(key) ?? 0) + count),
    );
  };

  const endTask = async (task: Task, isPlanned: boolean): Promise<void> => {
    tasks.delete(task.jobId);
    endedEpochs.set(task.jobId, Math.max(task.epoch, endedEpochs.get(task.jobId) ?? 0));
    if (task.timer) clearTimeout(task.timer);
    if (!task.executor) return;
    addTotalsOf(task.executor);
    const cutCount = await task.executor.close();
    if (isPlanned) endedTotals.cutRequests += cutCount;
  };

  const runJob = (task: Task): void => {
    const timer = setTimeout(() => {
      change(task, { phase: hosts.get(task.hostId)?.failsTasks ? 'failed' : 'done' });
    }, task.spec.runTimeMs);
    change(task, { phase: 'running', timer });
  };

  const runExecutor = async (task: Task): Promise<void> => {
    const executor = await startExecutor({ name: task.jobId, slots: task.spec.slots, workMs });
    change(task, { executor, phase: 'running' });
  };

  /** Returns why a start is refused, or null when it is accepted. */
  const findRefusal = (start: StartRequest): string | null => {
    if (hosts.get(start.hostId)?.state !== 'up') return 'host is not up';
    if (start.epoch <= (endedEpochs.get(start.jobId) ?? 0)) return 'this epoch has ended';
    const running = tasks.get(start.jobId);
    if (running && running.epoch !== start.epoch) {
      doubleStarts += 1;
      return `epoch ${running.epoch} is running`;
    }
    return null;
  };

  app.post('/tasks/start', async (incoming, reply) => {
    const start = incoming.body as StartRequest;
    const refusal = findRefusal(start);
    if (refusal !== null) return reply.code(409).send({ reason: refusal });
    if (tasks.has(start.jobId)) return reply.send(null);
    const task: Task = {
      ...start,
      phase: 'starting',
      leaseUntilMs: performance.now() + start.leaseMs,
      executor: null,
      timer: null,
    };
    tasks.set(start.jobId, task);
    if (start.service === null) runJob(task);
    else await runExecutor(task);
    return reply.send(null);
  });

  /** Returns the task that a request refers to, unless the job now runs under another epoch. */
  const findTask = (body: unknown): Task | undefined => {
    const { jobId, epoch } = body as { jobId: string; epoch: number };
    const task = tasks.get(jobId);
    return task?.epoch === epoch ? task : undefined;
  };

  app.post('/tasks/drain', (incoming, reply) => {
    const task = findTask(incoming.body);
    if (task && task.phase === 'running') {
      task.phase = 'leaving';
    }
    return reply.send(null);
  });

  app.post('/tasks/stop', async (incoming, reply) => {
    const { jobId, epoch } = incoming.body as { jobId: string; epoch: number };
    const task = findTask(incoming.body);
    if (task) await endTask(task, true);
    endedEpochs.set(jobId, Math.max(epoch, endedEpochs.get(jobId) ?? 0));
    return reply.send(null);
  });

  app.post('/tasks/renew', (incoming, reply) => {
    const { tasks: references } = incoming.body as { tasks: readonly unknown[] };
    references.forEach((reference) => {
      const task = findTask(reference);
      if (task) task.leaseUntilMs = performance.now() + task.leaseMs;
    });
    return reply.send(null);
  });

  app.get('/tasks', (_, reply) =>
    reply.send({
      tasks: Array.from(tasks.values(), ({ jobId, epoch, hostId, phase, service, executor }) => ({
        jobId,
        epoch,
        hostId,
        phase,
        service,
        address: executor?.address ?? null,
      })),
    }),
  );

  app.get('/usage', (_, reply) =>
    reply.send({
      usage: Array.from(tasks.values(), ({ jobId, hostId, spec }) => ({
        jobId,
        hostId,
        usedCores: spec.cores / 2,
      })),
    }),
  );

  const endTasksOn = async (hostId: string): Promise<void> => {
    const hostTasks = Array.from(tasks.values()).filter((task) => task.hostId === hostId);
    await Promise.all(hostTasks.map((task) => endTask(task, false)));
  };

  const reboot = async (hostId: string): Promise<void> => {
    const host = hosts.get(hostId);
    if (!host || host.state !== 'up') return;
    host.state = 'rebooting';
    await endTasksOn(hostId);
    setTimeout(() => {
      host.state = 'up';
      host.boots += 1;
    }, rebootMs);
  };

  const sendHeartbeat = async (): Promise<void> => {
    const liveHosts = Array.from(hosts).filter(([, { state }]) => state !== 'dead');
    const body = liveHosts.map(([hostId, { state, boots, leaving }]) => ({
      hostId,
      boots,
      state: leaving || state === 'rebooting' ? 'leaving' : 'live',
    }));
    const response = await request(`${platformUrl}/hosts/heartbeat`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ hosts: body }),
      signal: AbortSignal.timeout(1000),
    });
    const { reboot: hostsToReboot } = (await response.body.json()) as { reboot: readonly string[] };
    await Promise.all(hostsToReboot.map(reboot));
  };

  const endExpiredTasks = (): void => {
    const nowMs = performance.now();
    tasks.forEach((task) => {
      if (task.phase !== 'done' && task.phase !== 'failed' && nowMs > task.leaseUntilMs) {
        void endTask(task, false);
      }
    });
  };

  const setHost = async (hostId: string, changes: Partial<Host>): Promise<void> => {
    const host = hosts.get(hostId);
    if (!host) return;
    change(host, changes);
    if (host.state === 'dead') await endTasksOn(hostId);
  };

  const setExecutorFault = (jobId: string, fault: ExecutorFault): void => {
    tasks.forEach((task) => {
      if (jobId === '*' || task.jobId === jobId) task.executor?.setFault(fault);
    });
  };

  const report = (): WorkersReport => {
    const sums = new Map(executions);
    const totals = { ...endedTotals };
    tasks.forEach(({ executor }) => {
      if (!executor) return;
      totals.served += executor.stats.served;
      totals.overSlots += executor.stats.overSlots;
      executor.executions.forEach((count, key) => sums.set(key, (sums.get(key) ?? 0) + count));
    });
    return { dataCentre, executions: Object.fromEntries(sums), ...totals, doubleStarts };
  };

  app.get('/stand-in/report', (_, reply) => reply.send(report()));
  app.post('/stand-in/host', async (incoming, reply) => {
    const { hostId, ...changes } = incoming.body as { hostId: string } & Partial<Host>;
    await setHost(hostId, changes);
    return reply.send(null);
  });
  app.post('/stand-in/executor', (incoming, reply) => {
    const { jobId, fault } = incoming.body as { jobId: string; fault: ExecutorFault };
    setExecutorFault(jobId, fault);
    return reply.send(null);
  });

  const url = await app.listen({ host: listenHost, port });
  // A heartbeat that fails because the platform is unreachable is ignored; the next one is sent anyway.
  const tryHeartbeat = () => {
    sendHeartbeat().catch(() => undefined);
  };
  tryHeartbeat();
  const timers = [
    setInterval(tryHeartbeat, HEARTBEAT_MS),
    setInterval(endExpiredTasks, LEASE_CHECK_MS),
  ];

  const close = async (): Promise<void> => {
    timers.forEach(clearInterval);
    await Promise.all(Array.from(tasks.values(), (task) => endTask(task, false)));
    app.server.closeAllConnections();
    await app.close();
  };
  const servedBy = (jobId: string): number => tasks.get(jobId)?.executor?.stats.served ?? 0;
  return { url, report, servedBy, setHost, setExecutorFault, close };
};
