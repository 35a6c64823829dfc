/** Looks up the queue that a request addresses, by its host name and the longest matching path prefix. */
import type { PoolName } from '../../shared/ids.js';
import { indexAccounts, type AccountIndex, type ClientAccount } from '../model/accounts.js';
import type { QueueName, QueuePolicy } from '../model/job.js';
import type { DeclaredPool } from '../pools/listed-hosts.js';

/** A queue as the configuration declares it. */
export type DeclaredQueue = {
  readonly name: QueueName;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly pool: PoolName;
  readonly policy: QueuePolicy;
  /** How long a client waits for a response. */
  readonly timeoutMs: number;
  /** Whether callers need no API key. */
  readonly isOpenToAll: boolean;
};

/** The part of the configuration that batch processing uses. */
export type BatchConfiguration = {
  readonly version: number;
  readonly queues: readonly DeclaredQueue[];
  readonly pools: readonly DeclaredPool[];
  readonly accounts: readonly ClientAccount[];
};

/** An index over the queues of one configuration. */
export type QueueIndex = {
  readonly configuration: BatchConfiguration;
  /** The queue with the longest path prefix of the path on this host name; undefined if there is none. */
  readonly findQueue: (hostName: string, path: string) => DeclaredQueue | undefined;
  readonly byName: ReadonlyMap<QueueName, DeclaredQueue>;
  readonly accounts: AccountIndex;
};

/**
 * Builds the index. The time of a lookup depends on the length of the path, not on the number of queues.
 *
 * @param configuration - The configuration.
 * @returns The index.
 */
export const indexQueues = (configuration: BatchConfiguration): QueueIndex => {
  const byHost = new Map<string, Map<string, DeclaredQueue>>();
  configuration.queues.forEach((queue) => {
    const prefixes = byHost.get(queue.hostName) ?? new Map<string, DeclaredQueue>();
    prefixes.set(queue.pathPrefix, queue);
    byHost.set(queue.hostName, prefixes);
  });
  const findQueue = (hostName: string, path: string): DeclaredQueue | undefined => {
    const prefixes = byHost.get(hostName);
    if (!prefixes) return undefined;
    for (let end = path.length; end > 0; end -= 1) {
      const queue = prefixes.get(path.slice(0, end));
      if (queue) return queue;
    }
    return undefined;
  };
  return {
    configuration,
    findQueue,
    byName: new Map(configuration.queues.map((queue) => [queue.name, queue])),
    accounts: indexAccounts(configuration.accounts),
  };
};

/**
 * Chooses the newer of two versions of the configuration: a delayed or stale read never replaces a newer version.
 *
 * @param known - The version in use; undefined before the first read.
 * @param read - The version that was read.
 * @returns The index of the newer version; the version in use if both are equal.
 */
export const newerConfiguration = (
  known: QueueIndex | undefined,
  read: BatchConfiguration,
): QueueIndex => {
  if (known && known.configuration.version >= read.version) return known;
  return indexQueues(read);
};
