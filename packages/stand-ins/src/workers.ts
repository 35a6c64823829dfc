/** A stand-in for the workers of one data centre: hosts that run tasks while their leases last. */
import { change } from '@valvelatch/core/shared/change';
import fastify from 'fastify';
import { request } from 'undici';

import type { ExecutorFault } from './executor.js';
import {
  createWorkerTasks,
  type StartRequest,
  type TaskReference,
  type TaskTotals,
} from './worker-tasks.js';

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
export type WorkersReport = TaskTotals & { readonly dataCentre: string };

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
  const workerTasks = createWorkerTasks({
    workMs,
    isHostUp: (hostId) => hosts.get(hostId)?.state === 'up',
    failsTasks: (hostId) => hosts.get(hostId)?.failsTasks ?? false,
  });
  const { tasks, endTasksOn, setExecutorFault } = workerTasks;

  app.post('/tasks/start', async (incoming, reply) => {
    const reason = await workerTasks.start(incoming.body as StartRequest);
    return reason === null ? reply.send(null) : reply.code(409).send({ reason });
  });

  app.post('/tasks/drain', (incoming, reply) => {
    workerTasks.drain(incoming.body as TaskReference);
    return reply.send(null);
  });

  app.post('/tasks/stop', async (incoming, reply) => {
    await workerTasks.stop(incoming.body as TaskReference);
    return reply.send(null);
  });

  app.post('/tasks/renew', (incoming, reply) => {
    const { tasks: references } = incoming.body as { tasks: readonly TaskReference[] };
    workerTasks.renewLeases(references);
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

  const setHost = async (hostId: string, changes: Partial<Host>): Promise<void> => {
    const host = hosts.get(hostId);
    if (!host) return;
    change(host, changes);
    if (host.state === 'dead') await endTasksOn(hostId);
  };

  const report = (): WorkersReport => ({ dataCentre, ...workerTasks.totals() });

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
    setInterval(workerTasks.endExpiredTasks, LEASE_CHECK_MS),
  ];

  const close = async (): Promise<void> => {
    timers.forEach(clearInterval);
    await workerTasks.endAll();
    app.server.closeAllConnections();
    await app.close();
  };
  const servedBy = (jobId: string): number => tasks.get(jobId)?.executor?.stats.served ?? 0;
  return { url, report, servedBy, setHost, setExecutorFault, close };
};
