/** Clients of the object store, the host list and the workers of a data centre. */
import type { HostId, JobId, ObservedTask, PlacementRow } from '@valvelatch/core';
import type { Result } from 'ts-results-es';

import { createHttpJson, successBody, type HttpJsonOptions } from './http-json.js';
import type { PlatformError } from './platform-error.js';

type AsyncResult<Body> = Promise<Result<Body, PlatformError>>;

/** A client of the object store. */
export type ObjectClient = {
  readonly put: (key: string, value: unknown) => AsyncResult<null>;
  /** Returns null when the object does not exist. */
  readonly get: <Value>(key: string) => AsyncResult<Value | null>;
  readonly close: () => Promise<void>;
};

/**
 * Creates a client of the object store.
 *
 * @param options - The address, the timeout and the number of connections.
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

/** A host as the platform's host list reports it; the list lags behind the actual state. */
export type ListedHost = {
  readonly hostId: HostId;
  readonly state: 'live' | 'leaving' | 'gone';
  /** How often the host has booted. */
  readonly boots: number;
};

/** A client of the host list, which also reboots hosts. */
export type HostListClient = {
  readonly list: () => AsyncResult<readonly ListedHost[]>;
  /** Requests a reboot. Repeated requests with the same `requestName` cause one reboot. */
  readonly reboot: (hostId: HostId, requestName: string) => AsyncResult<null>;
  readonly close: () => Promise<void>;
};

/**
 * Creates a client of the host list.
 *
 * @param options - The address, the timeout and the number of connections.
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

/** The resources and the run time of a task, as a worker needs them to start it. */
export type TaskSpec = {
  readonly slots: number;
  readonly connections: number;
  readonly runTimeMs: number;
  readonly cores: number;
};

/** The reported CPU usage of one task; it lags behind the actual usage. */
export type TaskUsage = {
  readonly jobId: JobId;
  readonly hostId: HostId;
  readonly usedCores: number;
};

/** A client of the workers of one data centre. */
export type WorkerClient = {
  readonly tasks: () => AsyncResult<readonly ObservedTask[]>;
  readonly usage: () => AsyncResult<readonly TaskUsage[]>;
  readonly start: (placement: PlacementRow, spec: TaskSpec) => AsyncResult<null>;
  readonly drain: (task: ObservedTask) => AsyncResult<null>;
  readonly stop: (task: ObservedTask) => AsyncResult<null>;
  /** Renews the tasks' leases. Tasks that the workers do not know are ignored. */
  readonly renew: (tasks: readonly ObservedTask[]) => AsyncResult<null>;
  readonly close: () => Promise<void>;
};

/**
 * Creates a client of the workers of a data centre.
 *
 * @param options - The address, the timeout and the number of connections.
 * @returns The client.
 */
export const createWorkerClient = (options: HttpJsonOptions): WorkerClient => {
  const http = createHttpJson(options);
  const post = async (path: string, body: unknown): AsyncResult<null> =>
    successBody<null>(await http.request({ method: 'POST', path, body }));
  const toTaskRef = ({ jobId, epoch }: ObservedTask) => ({ jobId, epoch });
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
    drain: (task) => post('/tasks/drain', toTaskRef(task)),
    stop: (task) => post('/tasks/stop', toTaskRef(task)),
    renew: (tasks) => post('/tasks/renew', { tasks: tasks.map(toTaskRef) }),
    close: http.close,
  };
};
