/** Connections to endpoints and to other entries: one pool for each address. */
import { Pool } from 'undici';

/** The pools. */
export type Connections = {
  readonly to: (address: string, most: number) => Pool;
  /** Closes pools of addresses that are not in use any more. */
  readonly keepOnly: (addresses: ReadonlySet<string>) => void;
  readonly close: () => Promise<void>;
};

export type ConnectionsOptions = { readonly connectTimeoutMs?: number };

/**
 * Builds the pools.
 *
 * @param options - The bound on connecting, in milliseconds.
 * @returns The pools.
 */
export const createConnections = ({
  connectTimeoutMs = 1000,
}: ConnectionsOptions = {}): Connections => {
  const pools = new Map<string, Pool>();

  const to = (address: string, most: number): Pool => {
    const known = pools.get(address);
    if (known) return known;
    const pool = new Pool(address, {
      connections: Math.max(1, most),
      pipelining: 1,
      connect: { timeout: connectTimeoutMs },
      // The deadline of each request bounds it; the pool's own timers would cost without use.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(address, pool);
    return pool;
  };

  return {
    to,
    keepOnly: (addresses) => {
      pools.forEach((pool, address) => {
        if (addresses.has(address)) return;
        pools.delete(address);
        // Closing waits for what is in flight.
        pool.close().catch(() => undefined);
      });
    },
    close: async () => {
      await Promise.all(Array.from(pools.values(), (pool) => pool.destroy()));
    },
  };
};
