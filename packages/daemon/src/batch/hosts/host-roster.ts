/** The hosts that a term knows, by the platform's list. */
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

/** A line names so many hosts at most: whole racks come and go at once. */
const MOST_NAMED = 12;

export type HostRosterOptions = {
  readonly port: Pick<HostPort, 'list'>;
  readonly state: BatchState;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly dropEndpoint: (endpointId: EndpointId, evidence: GoneEvidence) => void;
};

export type HostRoster = {
  /** Reads the list; without an answer what was known stays as it is, with its age. */
  readonly refresh: () => Promise<void>;
  readonly inventory: () => HostInventory;
};

/**
 * Writes the age of the list for a log.
 *
 * @param ageMs - The age in milliseconds; Infinity if it was never read.
 * @returns The age, or `never`.
 */
export const ageText = (ageMs: number): number | string =>
  ageMs === Infinity ? 'never' : Math.round(ageMs);

const nameSome = (hostIds: readonly HostId[]): string => hostIds.slice(0, MOST_NAMED).join(',');

/**
 * Builds the roster of a term.
 *
 * @param options - The list, and what follows from it.
 * @returns The roster, which has read nothing yet.
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
  let expected: readonly HostedEndpoint[] = [];
  /** Readings without an answer since the last answer. */
  let failures = 0;

  /** While the list is away it is asked four times a second: the first and the last are logged. */
  const noteFailure = (error: PlatformError): void => {
    metrics.count('host_list_failed');
    failures += 1;
    if (failures > 1) return;
    const { hosts, lastRequestedAtMs } = inventory;
    log.warn('host-list-lost', {
      ...error,
      hosts: hosts.size,
      listAgeMs: ageText(nowMs() - lastRequestedAtMs),
    });
  };

  const noteAnswer = (): void => {
    if (failures === 0) return;
    log.info('host-list-regained', { failures, hosts: inventory.hosts.size });
    failures = 0;
  };

  /** A host that leaves the list or comes changes what waves wait for. */
  const noteChanges = ({ added, missing }: InventoryChange, isFirst: boolean): void => {
    if (added.length + missing.length === 0) return;
    log.info('hosts-listed', {
      hosts: inventory.hosts.size,
      added: added.length,
      missing: missing.length,
      // Nobody asks which hosts a holder found there first.
      addedHosts: isFirst ? undefined : nameSome(added),
      missingHosts: isFirst ? undefined : nameSome(missing),
    });
  };

  /** Endpoints on the hosts of the first reading may run what an earlier holder began. */
  const expectEndpoints = (list: readonly ListedHost[]): void => {
    const living = list.flatMap(({ instanceId, hostId, pool }) =>
      instanceId === null ? [] : [{ instanceId, hostId, pool }],
    );
    expected = living;
    addPendingReports(state, living);
    markPoolsWithDownHosts(state, list);
    change(state, { isHostListAwaited: false });
  };

  const take = (list: readonly ListedHost[], askedAtMs: number): void => {
    const isFirst = inventory.lastRequestedAtMs === -Infinity;
    noteChanges(applyHostList(inventory, list, askedAtMs), isFirst);
    list.forEach(({ hostId, instanceId }) => {
      const endpoint = instanceId && state.currentIncarnations.get(instanceId);
      if (endpoint) endpoint.hostId = hostId;
    });
    if (state.isHostListAwaited) expectEndpoints(list);
    dropUnlistedPendingReports(state, expected, inventory.hosts, nowMs());
    findDeadEndpoints(state, inventory.hosts, askedAtMs).forEach(({ endpointId, cause }) =>
      dropEndpoint(endpointId, { reason: cause, atMs: askedAtMs }),
    );
  };

  const refresh = async (): Promise<void> => {
    const askedAtMs = nowMs();
    const list = await port.list();
    metrics.count('host_lists');
    if (list.isErr()) {
      noteFailure(list.error);
      return;
    }
    take(list.value, askedAtMs);
    noteAnswer();
    metrics.gauge('hosts_listed', inventory.hosts.size);
  };

  return { refresh, inventory: () => inventory };
};
