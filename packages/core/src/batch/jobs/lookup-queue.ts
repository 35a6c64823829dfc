/** Which queue a request names, by its host name and the longest path prefix. */
import type { PoolName } from '../../shared/ids.js';
import { indexAccounts, type AccountIndex, type ClientAccount } from '../model/accounts.js';
import type { QueueName, QueuePolicy } from '../model/job.js';
import type { PoolView } from '../pools/hosts.js';

/** A queue as the configuration declares it. */
export type QueueView = {
  readonly name: QueueName;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly pool: PoolName;
  readonly policy: QueuePolicy;
  /** How long a client waits for an answer. */
  readonly timeoutMs: number;
  /** Its callers need no key. */
  readonly isOpenToAll: boolean;
};

/** The configuration as far as batch work needs it. */
export type BatchConfiguration = {
  readonly version: number;
  readonly queues: readonly QueueView[];
  readonly pools: readonly PoolView[];
  readonly accounts: readonly ClientAccount[];
};

/** An index over the queues of one configuration. */
export type QueueIndex = {
  readonly configuration: BatchConfiguration;
  readonly find: (hostName: string, path: string) => QueueView | undefined;
  readonly byName: ReadonlyMap<QueueName, QueueView>;
  readonly accounts: AccountIndex;
};

/**
 * Builds an index, so that a look-up does not take longer with more queues.
 *
 * @param configuration - The configuration.
 * @returns The index.
 */
export const indexQueues = (configuration: BatchConfiguration): QueueIndex => {
  const byHost = new Map<string, Map<string, QueueView>>();
  configuration.queues.forEach((queue) => {
    const prefixes = byHost.get(queue.hostName) ?? new Map<string, QueueView>();
    prefixes.set(queue.pathPrefix, queue);
    byHost.set(queue.hostName, prefixes);
  });
  const find = (hostName: string, path: string): QueueView | undefined => {
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
    find,
    byName: new Map(configuration.queues.map((queue) => [queue.name, queue])),
    accounts: indexAccounts(configuration.accounts),
  };
};

/**
 * Chooses between two readings of the configuration: a late or stale one never replaces a newer.
 *
 * @param known - What is in force, if anything is.
 * @param read - What was read.
 * @returns The newer of both.
 */
export const newerConfiguration = (
  known: QueueIndex | undefined,
  read: BatchConfiguration,
): QueueIndex => {
  if (known && known.configuration.version >= read.version) return known;
  return indexQueues(read);
};
