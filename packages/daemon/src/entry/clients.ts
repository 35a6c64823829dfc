/** The clients of the platform that an entry uses. */
import {
  createHostListClient,
  createObjectClient,
  createTableClient,
  createWorkerClient,
  withBatchedReads,
  withPulse,
  type HostListClient,
  type ObjectClient,
  type TableClient,
  type WorkerClient,
} from '@valvelatch/platform';

import type { Settings } from '../settings/settings.js';

export type Clients = {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly hostList: HostListClient;
  readonly workers: WorkerClient;
  readonly close: () => Promise<void>;
};

/**
 * Opens the clients; connections are made when they are needed.
 *
 * @param settings - The addresses and the bound on each request.
 * @returns The clients.
 */
export const createClients = (settings: Settings): Clients => {
  const timeoutMs = settings['platform-timeout-ms'];
  const platform = { url: settings['platform-url'], timeoutMs };
  const table = withPulse(withBatchedReads(createTableClient(platform)));
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
