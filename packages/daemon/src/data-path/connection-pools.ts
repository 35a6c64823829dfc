/** Connection pools for endpoints and other entries, one per address. */
import { Pool } from 'undici';

/** The connection pools of this entry. */
export type ConnectionPools = {
  /** Returns the pool of an address. `maxConnections` only applies when the pool is created. */
  readonly poolFor: (address: string, maxConnections: number) => Pool;
  /** Closes the pools of all addresses that are not in the given set. */
  readonly closeAllExcept: (addresses: ReadonlySet<string>) => void;
  /** Destroys all pools, including their requests in flight. */
  readonly close: () => Promise<void>;
};

/** Options of the pools. `connectTimeoutMs` limits the time to establish a connection. */
export type ConnectionPoolsOptions = { readonly connectTimeoutMs?: number };

/**
 * Creates the set of pools, which is empty at first.
 *
 * @param options - The timeout for establishing a connection.
 * @returns The set of pools.
 */
export const createConnectionPools = ({
  connectTimeoutMs = 1000,
}: ConnectionPoolsOptions = {}): ConnectionPools => {
  const pools = new Map<string, Pool>();

  const poolFor = (address: string, maxConnections: number): Pool => {
    const existing = pools.get(address);
    if (existing) return existing;
    const pool = new Pool(address, {
      connections: Math.max(1, maxConnections),
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      // Each request has its own deadline, so timers of the pool would only add overhead.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(address, pool);
    return pool;
  };

  return {
    poolFor,
    closeAllExcept: (addresses) => {
      pools.forEach((pool, address) => {
        if (addresses.has(address)) return;
        pools.delete(address);
        // `close` waits for requests in flight.
        pool.close().catch(() => undefined);
      });
    },
    close: async () => {
      await Promise.all(Array.from(pools.values(), (pool) => pool.destroy()));
    },
  };
};
