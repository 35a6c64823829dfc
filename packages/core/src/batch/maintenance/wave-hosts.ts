/** Looks up what belongs to a host of a wave. */
import type { HostId } from '../../shared/ids.js';
import { rackOf } from '../endpoints/endpoints.js';
import type { EndpointState } from '../model/state.js';
import type { MaintenanceContext } from './host-rules.js';

/**
 * Finds the endpoint on a host.
 *
 * @param context - Hosts and endpoints.
 * @param hostId - The host.
 * @returns The current incarnation; undefined if the host is not listed or has no endpoint.
 */
export const endpointOnHost = (
  { state, inventory: { hosts } }: MaintenanceContext,
  hostId: HostId,
): EndpointState | undefined => {
  const instanceId = hosts.get(hostId)?.instanceId;
  return instanceId ? state.currentIncarnations.get(instanceId) : undefined;
};

/**
 * Gives the rack of a host.
 *
 * @param context - Hosts and endpoints.
 * @param hostId - The host.
 * @returns The rack; empty if the host is not listed or belongs to none.
 */
export const rackOfHost = ({ inventory: { hosts } }: MaintenanceContext, hostId: HostId): string =>
  rackOf({ labels: hosts.get(hostId)?.labels ?? [] });
