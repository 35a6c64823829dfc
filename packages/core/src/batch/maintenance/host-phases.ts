/** Keeps the phases of the hosts of waves, and what their endpoints must know of them, up to date. */
import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { HostPresence } from '../pools/host-inventory.js';
import type { MaintenanceContext } from './host-rules.js';
import { endpointOnHost } from './wave-hosts.js';
import { presenceInWave, type MaintenanceHost, type MaintenanceWave } from './wave-progress.js';

/** A refused order is sent again after this time, because the platform may not have known the wave yet. */
const RETRY_REFUSED_MS = 1500;

/**
 * Marks a host as done. If it had already been down under an earlier control holder, it did not go down again: its
 * endpoint has been running all along and must be reopened to new work.
 */
const markDone = (context: MaintenanceContext, hostId: HostId, host: MaintenanceHost): void => {
  const endpoint = endpointOnHost(context, hostId);
  change(host, { phase: 'done', phaseSinceMs: context.inventory.lastRequestedAtMs });
  if (endpoint) change(endpoint, { isCordoned: false });
};

/** Advances the phases of hosts by the host list and the elapsed time. */
const advancePhases = (context: MaintenanceContext, wave: MaintenanceWave, nowMs: number): void => {
  const {
    inventory: { hosts, lastRequestedAtMs },
    downMs,
  } = context;
  wave.hosts.forEach((host, hostId) => {
    const isUp = hosts.get(hostId)?.state === 'up';
    if (host.phase === 'down' && isUp && lastRequestedAtMs - host.phaseSinceMs > downMs) {
      markDone(context, hostId, host);
    }
    if (host.phase === 'refused' && nowMs - host.phaseSinceMs > RETRY_REFUSED_MS) {
      change(host, { phase: 'waiting', phaseSinceMs: nowMs });
    }
  });
};

/** The reasons shown for a host that cannot be ordered down because it is not listed. */
const unlistedReasons: Readonly<Record<Exclude<HostPresence, 'listed'>, string>> = {
  unknown: 'the list of hosts has not been read yet',
  missing: 'the list of hosts does not show it',
  gone: 'it has left the list of hosts for good',
};

const recordUnlistedReasons = (context: MaintenanceContext, wave: MaintenanceWave): void => {
  wave.hosts.forEach((host, hostId) => {
    const presence = presenceInWave(context, hostId);
    if (host.phase === 'done' || presence === 'listed') return;
    change(host, { reason: unlistedReasons[presence] });
  });
};

const PENDING_PHASES: ReadonlySet<MaintenanceHost['phase']> = new Set([
  'waiting',
  'closing',
  'refused',
]);

/** Tells whether a wave has yet to take a host down. */
const isPendingIn =
  (hostId: HostId) =>
  ({ hosts }: MaintenanceWave): boolean => {
    const host = hosts.get(hostId);
    return host !== undefined && PENDING_PHASES.has(host.phase);
  };

/** Marks endpoints on hosts with pending maintenance. A host in two waves stays marked until both have taken it down. */
const markPendingMaintenance = (
  context: MaintenanceContext,
  waves: readonly MaintenanceWave[],
): void =>
  waves
    .flatMap(({ hosts }) => Array.from(hosts.keys()))
    .forEach((hostId) => {
      const endpoint = endpointOnHost(context, hostId);
      if (endpoint) change(endpoint, { hasMaintenanceAhead: waves.some(isPendingIn(hostId)) });
    });

const ORDERED_PHASES: ReadonlySet<MaintenanceHost['phase']> = new Set(['asked', 'down']);

/**
 * Tells whether a host was ordered down, did not refuse, and is not known to be back.
 *
 * @param host - The host.
 * @returns True from the order on, also while the order has no answer.
 */
export const isOrderedDown = ({ phase }: MaintenanceHost): boolean => ORDERED_PHASES.has(phase);

/**
 * Counts the tasks on hosts that were ordered down as unavailable for every disruption budget. An answer that an
 * endpoint gave before the order took effect would otherwise count them as available again.
 *
 * @param context - Hosts and endpoints; the runs on the hosts are changed in place.
 * @param wave - The wave.
 */
export const countOrderedAsUnavailable = (
  context: MaintenanceContext,
  wave: MaintenanceWave,
): void =>
  wave.hosts.forEach((host, hostId) => {
    if (!isOrderedDown(host)) return;
    endpointOnHost(context, hostId)?.runs.forEach((run) => change(run, { percent: 0 }));
  });

/**
 * Updates the hosts of all waves and their endpoints before a planning pass.
 *
 * @param context - Hosts and endpoints, changed in place.
 * @param waves - The waves, changed in place.
 * @param nowMs - The current time.
 */
export const updateHostPhases = (
  context: MaintenanceContext,
  waves: readonly MaintenanceWave[],
  nowMs: number,
): void => {
  waves.forEach((wave) => {
    advancePhases(context, wave, nowMs);
    recordUnlistedReasons(context, wave);
    countOrderedAsUnavailable(context, wave);
  });
  markPendingMaintenance(context, waves);
};
