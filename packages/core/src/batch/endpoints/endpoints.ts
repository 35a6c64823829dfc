/** Endpoints as they come, change and go, by the platform's list. */
import type { DataCentreId, EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { domainsOf, joinDomains } from '../domains/domains.js';
import { instanceOf } from '../model/endpoint-life.js';
import { poolOf, type BatchState, type Capacity, type EndpointState } from '../model/state.js';

/** An endpoint as it describes itself. */
export type EndpointSighting = {
  readonly endpointId: EndpointId;
  readonly pool: PoolName;
  readonly hostId: HostId | null;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  readonly isDraining: boolean;
};

/**
 * Applies a sighting of an endpoint. Capacity and labels of one life never change.
 *
 * @param state - All that is known, changed in place.
 * @param sighting - The endpoint.
 * @param nowMs - The time.
 * @returns Its state.
 */
export const seeEndpoint = (
  state: BatchState,
  sighting: EndpointSighting,
  nowMs: number,
): EndpointState => {
  const known = state.endpoints.get(sighting.endpointId);
  if (known) {
    known.isDraining = sighting.isDraining;
    known.hasAnnouncedEnd = known.hasAnnouncedEnd || sighting.isDraining;
    known.hostId = sighting.hostId ?? known.hostId;
    return known;
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
    lapsedRuns: [],
    strays: [],
    isKnown: false,
    isDraining: sighting.isDraining,
    hasAnnouncedEnd: sighting.isDraining,
    withheldUntilMs: 0,
    withheldReason: '',
    isClosing: false,
    isAwaited: false,
    leaseEndsAtMs: 0,
    idleSinceMs: nowMs,
    roomRevision: 0,
    seenAtMs: nowMs,
    reportedAtMs: 0,
    health: { failedJobs: new Set(), strikes: 0 },
  };
  state.endpoints.set(endpoint.endpointId, endpoint);
  joinDomains(state, endpoint);
  state.lives.set(instanceOf(endpoint.endpointId), endpoint);
  return endpoint;
};

/**
 * Names the rack of an endpoint.
 *
 * @param endpoint - The endpoint, with its labels.
 * @returns The rack's label, or '' for one without.
 */
export const rackOf = ({ labels }: Pick<EndpointState, 'labels'>): string =>
  labels.find((one) => one.includes('-')) ?? '';

/**
 * Notes the endpoints that may run tasks of an earlier holder.
 *
 * @param state - All that is known, changed in place.
 * @param endpoints - The endpoints by pool, also those without an address.
 */
export const expectReports = (
  state: BatchState,
  endpoints: readonly { readonly instanceId: InstanceId; readonly pool: PoolName }[],
): void => {
  endpoints.forEach(({ instanceId, pool }) => {
    const known = poolOf(state, pool);
    if (!state.lives.get(instanceId)?.isKnown) known.notReported.add(instanceId);
  });
};
