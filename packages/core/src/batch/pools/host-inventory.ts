/**
 * Hosts as far as they are known by readings of the platform's list. A reading may fail, lag, or leave
 * a host out: what is not seen in it is not gone by that.
 */
import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { HostView } from './hosts.js';

/**
 * Whether a host is there. `unknown`: the list was never read. `missing`: the last readings lack it,
 * for too short a time to say more. `gone`: it has been lacking for so long that it does not come back.
 */
export type HostPresence = 'unknown' | 'listed' | 'missing' | 'gone';

/** What readings of the list have shown. */
export type HostInventory = {
  /** The hosts of the last reading. */
  readonly hosts: ReadonlyMap<HostId, HostView>;
  /** When the first and the last reading were asked for; infinite before there was one. */
  readonly firstListedAtMs: number;
  readonly listedAtMs: number;
  /** Hosts that were listed once, by the first reading that lacks them. */
  readonly missingSinceMs: ReadonlyMap<HostId, number>;
};

/** How a reading differs from the one before. */
export type InventoryChange = {
  readonly added: readonly HostId[];
  readonly missing: readonly HostId[];
};

/**
 * Hosts are replaced under new names all the time: 3,400 a day at 21,000 hosts. One that is forgotten
 * counts from the first reading on, and so as gone.
 */
const FORGET_AFTER_MS = 600_000;

/**
 * Builds an inventory of which nothing has been read.
 *
 * @returns The inventory.
 */
export const createHostInventory = (): HostInventory => ({
  hosts: new Map(),
  firstListedAtMs: Infinity,
  listedAtMs: -Infinity,
  missingSinceMs: new Map(),
});

/**
 * Applies a whole reading of the list.
 *
 * @param inventory - What was known, changed in place.
 * @param list - The hosts.
 * @param askedAtMs - When it was asked for; a reading older than the last one is passed over.
 * @returns What the reading changed.
 */
export const takeHostList = (
  inventory: HostInventory,
  list: readonly HostView[],
  askedAtMs: number,
): InventoryChange => {
  const { hosts: before, firstListedAtMs, listedAtMs, missingSinceMs } = inventory;
  if (askedAtMs < listedAtMs) return { added: [], missing: [] };
  const hosts = new Map(list.map((host) => [host.hostId, host]));
  const missing = Array.from(before.keys()).filter((hostId) => !hosts.has(hostId));
  const stillMissing = Array.from(missingSinceMs).filter(
    ([hostId, sinceMs]) => !hosts.has(hostId) && askedAtMs - sinceMs < FORGET_AFTER_MS,
  );
  change(inventory, {
    hosts,
    firstListedAtMs: Math.min(firstListedAtMs, askedAtMs),
    listedAtMs: askedAtMs,
    missingSinceMs: new Map([
      ...stillMissing,
      ...missing.map((hostId) => [hostId, askedAtMs] as const),
    ]),
  });
  return { added: Array.from(hosts.keys()).filter((hostId) => !before.has(hostId)), missing };
};

/**
 * Tells whether a host is there.
 *
 * @param inventory - What is known.
 * @param hostId - The host; one that no reading has named counts from the first reading on.
 * @param goneAfterMs - How long readings must have lacked a host before it counts as gone.
 * @returns What can be said of it.
 */
export const presenceOf = (
  { hosts, firstListedAtMs, listedAtMs, missingSinceMs }: HostInventory,
  hostId: HostId,
  goneAfterMs: number,
): HostPresence => {
  if (listedAtMs === -Infinity) return 'unknown';
  if (hosts.has(hostId)) return 'listed';
  const sinceMs = missingSinceMs.get(hostId) ?? firstListedAtMs;
  return listedAtMs - sinceMs >= goneAfterMs ? 'gone' : 'missing';
};
