/** Clients through which an entry reaches the platform and its workers. */
import {
  createHostListClient,
  createObjectClient,
  createTableClient,
  createWorkerClient,
  withBatchedReads,
  withControlChangeMarker,
  type HostListClient,
  type ObjectClient,
  type TableClient,
  type WorkerClient,
} from '@valvelatch/platform';

import type { Settings } from '../settings/settings.js';

/** Clients of the platform's table, object store and host list, and of the workers' API. */
export type Clients = {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly hostList: HostListClient;
  readonly workers: WorkerClient;
  /** Closes all clients. */
  readonly close: () => Promise<void>;
};

/**
 * Creates the clients. Each one connects when it sends its first request.
 *
 * @param settings - The addresses and the timeout of each request.
 * @returns The clients.
 */
export const createClients = (settings: Settings): Clients => {
  const timeoutMs = settings['platform-timeout-ms'];
  const platform = { url: settings['platform-url'], timeoutMs };
  const table = withControlChangeMarker(withBatchedReads(createTableClient(platform)));
  const objects = createObjectClient(platform);
  const hostList = createHostListClient(platform);
  const workers = createWorkerClient({ url: settings['workers-url'], timeoutMs });
  return {
    table,
    objects,
    hostList,
    workers,
    close: async () => {
      await Promise.all([table.close(), objects.close(), hostList.close(), workers.close()]);
    },
  };
};
