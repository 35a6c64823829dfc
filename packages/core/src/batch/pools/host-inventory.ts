/**
 * The hosts known from the platform's host list, which is read repeatedly. A read may fail, return an outdated list or
 * omit a host, so a host that is absent from one read does not count as gone.
 */
import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { ListedHost } from './listed-hosts.js';

/**
 * What the host list tells about a host. `unknown`: the list has not been read yet. `listed`: the latest list contains
 * it. `missing`: the latest lists omit it, but not for long enough to count as gone. `gone`: the lists have omitted it
 * for so long that it is not expected back.
 */
export type HostPresence = 'unknown' | 'listed' | 'missing' | 'gone';

/** The latest host list, and the hosts that recent lists have omitted. */
export type HostInventory = {
  /** The hosts of the latest list. */
  readonly hosts: ReadonlyMap<HostId, ListedHost>;
  /** When the first list was requested; Infinity before the first read. */
  readonly firstRequestedAtMs: number;
  /** When the latest list was requested; -Infinity before the first read. */
  readonly lastRequestedAtMs: number;
  /** Formerly listed hosts, with the request time of the first list that omits them. */
  readonly missingSinceMs: ReadonlyMap<HostId, number>;
};

/** How a list differs from the previous one. */
export type InventoryChange = {
  readonly added: readonly HostId[];
  readonly missing: readonly HostId[];
};

/**
 * Missing hosts are forgotten after this time, because hosts are continually replaced by hosts with new names: 3,400 a
 * day in a fleet of 21,000. A forgotten host counts as missing since the first list, and therefore as gone.
 */
const FORGET_AFTER_MS = 600_000;

/**
 * Creates an inventory for which no list has been read.
 *
 * @returns The inventory.
 */
export const createHostInventory = (): HostInventory => ({
  hosts: new Map(),
  firstRequestedAtMs: Infinity,
  lastRequestedAtMs: -Infinity,
  missingSinceMs: new Map(),
});

/**
 * Applies a complete host list.
 *
 * @param inventory - The inventory, changed in place.
 * @param list - The listed hosts.
 * @param requestedAtMs - When the list was requested; a list that was requested before the latest one is ignored.
 * @returns The hosts that were added to the list and those that are newly missing.
 */
export const applyHostList = (
  inventory: HostInventory,
  list: readonly ListedHost[],
  requestedAtMs: number,
): InventoryChange => {
  const { hosts: before, firstRequestedAtMs, lastRequestedAtMs, missingSinceMs } = inventory;
  if (requestedAtMs < lastRequestedAtMs) return { added: [], missing: [] };
  const hosts = new Map(list.map((host) => [host.hostId, host]));
  const missing = Array.from(before.keys()).filter((hostId) => !hosts.has(hostId));
  const stillMissing = Array.from(missingSinceMs).filter(
    ([hostId, sinceMs]) => !hosts.has(hostId) && requestedAtMs - sinceMs < FORGET_AFTER_MS,
  );
  change(inventory, {
    hosts,
    firstRequestedAtMs: Math.min(firstRequestedAtMs, requestedAtMs),
    lastRequestedAtMs: requestedAtMs,
    missingSinceMs: new Map([
      ...stillMissing,
      ...missing.map((hostId) => [hostId, requestedAtMs] as const),
    ]),
  });
  return { added: Array.from(hosts.keys()).filter((hostId) => !before.has(hostId)), missing };
};

/**
 * Determines what the host list tells about a host.
 *
 * @param inventory - The inventory.
 * @param hostId - The host; one that no list has contained counts as missing since the first list.
 * @param goneAfterMs - How long the lists must have omitted a host before it counts as gone.
 * @returns The presence of the host.
 */
export const hostPresence = (
  { hosts, firstRequestedAtMs, lastRequestedAtMs, missingSinceMs }: HostInventory,
  hostId: HostId,
  goneAfterMs: number,
): HostPresence => {
  if (lastRequestedAtMs === -Infinity) return 'unknown';
  if (hosts.has(hostId)) return 'listed';
  const sinceMs = missingSinceMs.get(hostId) ?? firstRequestedAtMs;
  return lastRequestedAtMs - sinceMs >= goneAfterMs ? 'gone' : 'missing';
};
