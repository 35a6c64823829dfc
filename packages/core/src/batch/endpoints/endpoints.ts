/** Registers and updates endpoints from the platform's endpoint list. */
import type { DataCentreId, EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { domainsOf, addToDomains } from '../domains/domains.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import {
  isSoleHolder,
  poolOf,
  type BatchState,
  type Capacity,
  type EndpointState,
} from '../model/state.js';

/** An endpoint as it describes itself. */
export type EndpointDescription = {
  readonly endpointId: EndpointId;
  readonly pool: PoolName;
  readonly hostId: HostId | null;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  readonly isDraining: boolean;
  /** For how much longer the endpoint expects to be slow; 0 if undefined. */
  readonly coldLeftMs?: number;
};

/**
 * Registers an endpoint or updates its state. Capacity and labels don't change within one incarnation.
 *
 * @param state - The holder's batch state, modified in place.
 * @param sighting - The endpoint's description of itself.
 * @param nowMs - The current time.
 * @returns The endpoint's state.
 */
export const upsertEndpoint = (
  state: BatchState,
  sighting: EndpointDescription,
  nowMs: number,
): EndpointState => {
  const existing = state.endpoints.get(sighting.endpointId);
  const coldUntilMs = nowMs + (sighting.coldLeftMs ?? 0);
  if (existing) {
    existing.coldUntilMs = coldUntilMs;
    existing.isDraining = sighting.isDraining;
    existing.hasAnnouncedEnd = existing.hasAnnouncedEnd || sighting.isDraining;
    existing.hostId = sighting.hostId ?? existing.hostId;
    return existing;
  }
  const endpoint: EndpointState = {
    endpointId: sighting.endpointId,
    pool: sighting.pool,
    hostId: sighting.hostId,
    dataCentre: sighting.dataCentre,
    labels: sighting.labels,
    domains: domainsOf(sighting.dataCentre, rackOf(sighting)),
    capacity: sighting.capacity,
    used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    runs: new Map(),
    expiredRuns: [],
    orphanRuns: new Map(),
    listing: 'none',
    isDraining: sighting.isDraining,
    hasAnnouncedEnd: sighting.isDraining,
    withheldUntilMs: 0,
    withheldReason: '',
    coldUntilMs,
    isCordoned: false,
    hasMaintenanceAhead: false,
    leaseEndsAtMs: 0,
    idleSinceMs: nowMs,
    freeCapacityRevision: 0,
    seenAtMs: nowMs,
    reportedAtMs: 0,
    unansweredSinceMs: Infinity,
    health: { failedJobs: new Set(), unansweredJobs: new Set(), withholdCount: 0 },
  };
  state.endpoints.set(endpoint.endpointId, endpoint);
  addToDomains(state, endpoint);
  state.currentIncarnations.set(instanceIdOf(endpoint.endpointId), endpoint);
  return endpoint;
};

/**
 * Returns the rack of an endpoint.
 *
 * @param endpoint - The endpoint, with its labels.
 * @returns The rack's label, or '' if the endpoint has none.
 */
export const rackOf = ({ labels }: Pick<EndpointState, 'labels'>): string =>
  labels.find((label) => label.includes('-')) ?? '';

/**
 * Records the endpoints that may still run tasks started by an earlier holder.
 *
 * @param state - The holder's batch state, modified in place.
 * @param endpoints - The endpoints with their pools, including those without an address.
 */
export const addPendingReports = (
  state: BatchState,
  endpoints: readonly { readonly instanceId: InstanceId; readonly pool: PoolName }[],
): void => {
  endpoints.forEach(({ instanceId, pool }) => {
    const known = poolOf(state, pool);
    const listing = state.currentIncarnations.get(instanceId)?.listing;
    if (listing !== 'complete') known.unreportedInstances.add(instanceId);
  });
};

/** An endpoint from the host list, with the host that it was on. */
export type HostedEndpoint = { readonly instanceId: InstanceId; readonly hostId: HostId };

/** True if no endpoint list has named the endpoint. Otherwise its end is handled together with its runs. */
const wasNeverListed = (
  { currentIncarnations, goneEndpoints }: BatchState,
  instanceId: InstanceId,
): boolean =>
  !currentIncarnations.has(instanceId) &&
  !Array.from(goneEndpoints.keys()).some((endpointId) => instanceIdOf(endpointId) === instanceId);

/**
 * Stops waiting for reports of endpoints that no endpoint list has named, once a later host list shows their host
 * without them. Another holder may have received the results of their runs, so this is done only while this entry is
 * certainly the only holder.
 *
 * @param state - The holder's batch state, modified in place.
 * @param expected - The endpoints in the first host list.
 * @param hosts - The hosts in a later list.
 * @param nowMs - The current time.
 */
export const dropUnlistedPendingReports = (
  state: BatchState,
  expected: readonly HostedEndpoint[],
  hosts: ReadonlyMap<HostId, { readonly instanceId: InstanceId | null }>,
  nowMs: number,
): void => {
  const isAnyReportAwaited = Array.from(state.pools.values()).some(
    (pool) => pool.unreportedInstances.size > 0,
  );
  if (!isAnyReportAwaited || !isSoleHolder(state, nowMs)) return;
  expected
    .filter(({ instanceId, hostId }) => {
      const host = hosts.get(hostId);
      return (
        host !== undefined && host.instanceId !== instanceId && wasNeverListed(state, instanceId)
      );
    })
    .forEach(({ instanceId }) =>
      state.pools.forEach(({ unreportedInstances }) => unreportedInstances.delete(instanceId)),
    );
};
