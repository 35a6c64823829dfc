/** Endpoints as they come, change and go, by the platform's list. */
import type { DataCentreId, EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { domainsOf, joinDomains } from '../domains/domains.js';
import { instanceOf } from '../model/endpoint-life.js';
import {
  isSoleHolder,
  poolOf,
  type BatchState,
  type Capacity,
  type EndpointState,
} from '../model/state.js';

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
  /** For how much longer it says that it is slow; 0 if left out. */
  readonly coldLeftMs?: number;
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
  const coldUntilMs = nowMs + (sighting.coldLeftMs ?? 0);
  if (known) {
    known.coldUntilMs = coldUntilMs;
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
    coldUntilMs,
    isClosing: false,
    isAwaited: false,
    leaseEndsAtMs: 0,
    idleSinceMs: nowMs,
    roomRevision: 0,
    seenAtMs: nowMs,
    reportedAtMs: 0,
    unansweredSinceMs: Infinity,
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

/** An endpoint that the list of hosts has named, with the host that it was on. */
export type HostedEndpoint = { readonly instanceId: InstanceId; readonly hostId: HostId };

/** Never seen in the list of endpoints: the end of one that was seen is settled with what ran there. */
const isNeverSeen = ({ lives, goneEndpoints }: BatchState, instanceId: InstanceId): boolean =>
  !lives.has(instanceId) &&
  !Array.from(goneEndpoints.keys()).some((endpointId) => instanceOf(endpointId) === instanceId);

/**
 * Stops waiting for endpoints that no list of endpoints has named, once a later list of hosts has their host without
 * them. How their runs ended another holder may have heard, so only one that is surely the only one does so.
 *
 * @param state - All that is known, changed in place.
 * @param expected - The endpoints of the first reading of the list of hosts.
 * @param hosts - The hosts of a later reading.
 * @param nowMs - The time.
 */
export const dropUnseenReports = (
  state: BatchState,
  expected: readonly HostedEndpoint[],
  hosts: ReadonlyMap<HostId, { readonly instanceId: InstanceId | null }>,
  nowMs: number,
): void => {
  const isAnyAwaited = Array.from(state.pools.values()).some((pool) => pool.notReported.size > 0);
  if (!isAnyAwaited || !isSoleHolder(state, nowMs)) return;
  expected
    .filter(({ instanceId, hostId }) => {
      const host = hosts.get(hostId);
      return host !== undefined && host.instanceId !== instanceId && isNeverSeen(state, instanceId);
    })
    .forEach(({ instanceId }) =>
      state.pools.forEach(({ notReported }) => notReported.delete(instanceId)),
    );
};
