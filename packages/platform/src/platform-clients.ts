/** Clients of the object store, of the list of hosts and of the workers of a data centre. */
import type { HostId, JobId, ObservedTask, PlacementRow } from '@valvelatch/core';
import type { Result } from 'ts-results-es';

import { createHttpJson, successBody, type HttpJsonOptions } from './http-json.js';
import type { PlatformError } from './platform-error.js';

type Answer<Body> = Promise<Result<Body, PlatformError>>;

/** The object store. */
export type ObjectClient = {
  readonly put: (key: string, value: unknown) => Answer<null>;
  /** Gives null where there is no such object. */
  readonly get: <Value>(key: string) => Answer<Value | null>;
  readonly close: () => Promise<void>;
};

/**
 * Opens a client of the object store.
 *
 * @param options - The address and the bound on time.
 * @returns The client.
 */
export const createObjectClient = (options: HttpJsonOptions): ObjectClient => {
  const http = createHttpJson(options);
  const pathOf = (key: string) => `/objects/${encodeURIComponent(key)}`;
  return {
    put: async (key, body) =>
      successBody<null>(await http.request({ method: 'PUT', path: pathOf(key), body })),
    get: async <Value>(key: string) => {
      const result = await http.request({ method: 'GET', path: pathOf(key) });
      return successBody<{ value: Value | null }>(result).map(({ value }) => value);
    },
    close: http.close,
  };
};

/** A host in the platform's lagging list. */
export type ListedHost = {
  readonly hostId: HostId;
  readonly state: 'live' | 'leaving' | 'gone';
  readonly boots: number;
};

/** The list of hosts and the power over them. */
export type HostListClient = {
  readonly list: () => Answer<readonly ListedHost[]>;
  /** Asks for a reboot; repeated requests of one name count once. */
  readonly reboot: (hostId: HostId, requestName: string) => Answer<null>;
  readonly close: () => Promise<void>;
};

/**
 * Opens a client of the list of hosts.
 *
 * @param options - The address and the bound on time.
 * @returns The client.
 */
export const createHostListClient = (options: HttpJsonOptions): HostListClient => {
  const http = createHttpJson(options);
  return {
    list: async () => {
      const result = await http.request({ method: 'GET', path: '/hosts' });
      return successBody<{ hosts: readonly ListedHost[] }>(result).map(({ hosts }) => hosts);
    },
    reboot: async (hostId, requestName) => {
      const path = `/hosts/${encodeURIComponent(hostId)}/reboot`;
      return successBody<null>(await http.request({ method: 'POST', path, body: { requestName } }));
    },
    close: http.close,
  };
};

/** What a worker needs to run a task. */
export type TaskSpec = {
  readonly slots: number;
  readonly connections: number;
  readonly runTimeMs: number;
  readonly cores: number;
};

/** The reported use of one task; it lags. */
export type TaskUsage = {
  readonly jobId: JobId;
  readonly hostId: HostId;
  readonly usedCores: number;
};

/** The workers of one data centre. */
export type WorkerClient = {
  readonly tasks: () => Answer<readonly ObservedTask[]>;
  readonly usage: () => Answer<readonly TaskUsage[]>;
  readonly start: (placement: PlacementRow, spec: TaskSpec) => Answer<null>;
  readonly drain: (task: ObservedTask) => Answer<null>;
  readonly stop: (task: ObservedTask) => Answer<null>;
  /** Renews leases; tasks that the workers do not know are passed over. */
  readonly renew: (tasks: readonly ObservedTask[]) => Answer<null>;
  readonly close: () => Promise<void>;
};

/**
 * Opens a client of the workers of a data centre.
 *
 * @param options - The address and the bound on time.
 * @returns The client.
 */
export const createWorkerClient = (options: HttpJsonOptions): WorkerClient => {
  const http = createHttpJson(options);
  const post = async (path: string, body: unknown): Answer<null> =>
    successBody<null>(await http.request({ method: 'POST', path, body }));
  const named = ({ jobId, epoch }: ObservedTask) => ({ jobId, epoch });
  return {
    tasks: async () => {
      const result = await http.request({ method: 'GET', path: '/tasks' });
      return successBody<{ tasks: readonly ObservedTask[] }>(result).map(({ tasks }) => tasks);
    },
    usage: async () => {
      const result = await http.request({ method: 'GET', path: '/usage' });
      return successBody<{ usage: readonly TaskUsage[] }>(result).map(({ usage }) => usage);
    },
    start: ({ jobId, epoch, hostId, leaseMs, service }, spec) =>
      post('/tasks/start', { jobId, epoch, hostId, leaseMs, service, spec }),
    drain: (task) => post('/tasks/drain', named(task)),
    stop: (task) => post('/tasks/stop', named(task)),
    renew: (tasks) => post('/tasks/renew', { tasks: tasks.map(named) }),
    close: http.close,
  };
};
