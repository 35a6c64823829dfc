/** Keeps the hosts known in a term, as of the platform's list of hosts. */
import {
  createHostInventory,
  dropUnlistedPendingReports,
  addPendingReports,
  markPoolsWithDownHosts,
  findDeadEndpoints,
  applyHostList,
  type BatchState,
  type HostedEndpoint,
  type HostInventory,
  type ListedHost,
  type InventoryChange,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import type { EndpointId, HostId } from '@valvelatch/core/shared/ids';
import type { PlatformError } from '@valvelatch/platform';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { GoneEvidence } from '../endpoints/endpoint-roster.js';
import type { HostPort } from '../ports.js';

/** The maximum number of hosts named in a log line, since whole racks may appear or disappear at once. */
const MAX_LOGGED_HOSTS = 12;

export type HostRosterOptions = {
  readonly port: Pick<HostPort, 'list'>;
  readonly state: BatchState;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The monotonic clock. */
  readonly nowMs: () => number;
  /** Removes an endpoint that the list shows to be gone. */
  readonly dropEndpoint: (endpointId: EndpointId, evidence: GoneEvidence) => void;
};

export type HostRoster = {
  /** Reads the list. If the platform does not answer, the inventory keeps its content and age. */
  readonly refresh: () => Promise<void>;
  readonly inventory: () => HostInventory;
};

/**
 * Formats the age of the list of hosts for a log line.
 *
 * @param ageMs - The age in milliseconds; Infinity if the list was never read.
 * @returns The age in whole milliseconds, or `never`.
 */
export const formatListAge = (ageMs: number): number | string =>
  ageMs === Infinity ? 'never' : Math.round(ageMs);

const formatHostIds = (hostIds: readonly HostId[]): string =>
  hostIds.slice(0, MAX_LOGGED_HOSTS).join(',');

/**
 * Creates the host roster of a term.
 *
 * @param options - The source of the list, and the state that is updated from it.
 * @returns The roster. Its inventory is empty until the list has been read.
 */
export const createHostRoster = ({
  port,
  state,
  log,
  metrics,
  nowMs,
  dropEndpoint,
}: HostRosterOptions): HostRoster => {
  const inventory = createHostInventory();
  /** The endpoints in the first list of the term. */
  let expected: readonly HostedEndpoint[] = [];
  /** How many reads of the list have failed since the last one that succeeded. */
  let failures = 0;

  /** An unavailable list is read again four times a second; only the first failure and the recovery are logged. */
  const recordListFailure = (error: PlatformError): void => {
    metrics.count('host_list_failed');
    failures += 1;
    if (failures > 1) return;
    const { hosts, lastRequestedAtMs } = inventory;
    log.warn('host-list-lost', {
      ...error,
      hosts: hosts.size,
      listAgeMs: formatListAge(nowMs() - lastRequestedAtMs),
    });
  };

  const recordListAnswer = (): void => {
    if (failures === 0) return;
    log.info('host-list-regained', { failures, hosts: inventory.hosts.size });
    failures = 0;
  };

  /** Logs which hosts were added to the list or are missing from it, since waves depend on them. */
  const logChanges = ({ added, missing }: InventoryChange, isFirst: boolean): void => {
    if (added.length + missing.length === 0) return;
    log.info('hosts-listed', {
      hosts: inventory.hosts.size,
      added: added.length,
      missing: missing.length,
      // The hosts of the first list are not named: all of them are new to this term.
      addedHosts: isFirst ? undefined : formatHostIds(added),
      missingHosts: isFirst ? undefined : formatHostIds(missing),
    });
  };

  /** Records that endpoints on the hosts of the first list may run tasks that an earlier holder started. */
  const recordExpectedEndpoints = (list: readonly ListedHost[]): void => {
    const running = list.flatMap(({ instanceId, hostId, pool }) =>
      instanceId === null ? [] : [{ instanceId, hostId, pool }],
    );
    expected = running;
    addPendingReports(state, running);
    markPoolsWithDownHosts(state, list);
    change(state, { isHostListAwaited: false });
  };

  const applyList = (list: readonly ListedHost[], askedAtMs: number): void => {
    const isFirst = inventory.lastRequestedAtMs === -Infinity;
    logChanges(applyHostList(inventory, list, askedAtMs), isFirst);
    list.forEach(({ hostId, instanceId }) => {
      const endpoint = instanceId && state.currentIncarnations.get(instanceId);
      if (endpoint) endpoint.hostId = hostId;
    });
    if (state.isHostListAwaited) recordExpectedEndpoints(list);
    dropUnlistedPendingReports(state, expected, inventory.hosts, nowMs());
    findDeadEndpoints(state, inventory.hosts, askedAtMs).forEach(({ endpointId, cause }) =>
      dropEndpoint(endpointId, { cause, atMs: askedAtMs }),
    );
  };

  const refresh = async (): Promise<void> => {
    const askedAtMs = nowMs();
    const list = await port.list();
    metrics.count('host_lists');
    if (list.isErr()) {
      recordListFailure(list.error);
      return;
    }
    applyList(list.value, askedAtMs);
    recordListAnswer();
    metrics.gauge('hosts_listed', inventory.hosts.size);
  };

  return { refresh, inventory: () => inventory };
};
