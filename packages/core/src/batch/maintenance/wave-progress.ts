/** Tracks the progress of a maintenance wave per host and tells when the wave is complete. */
import type { HostId } from '../../shared/ids.js';
import type { TaskKey } from '../model/job.js';
import type { StepRun } from '../model/job-state.js';
import { hostPresence, type HostInventory, type HostPresence } from '../pools/host-inventory.js';

/** A maintenance wave as the platform requested it. */
export type MaintenanceRequest = {
  readonly waveNumber: number;
  readonly hosts: readonly HostId[];
  /** Time in which the wave should be complete, in ms from when it was first seen. */
  readonly withinMs: number;
  /** Maximum number of hosts that may be down for the wave at the same time. */
  readonly maximum: number;
};

/** Progress of one host of a wave. */
export type MaintenanceHost = {
  /**
   * `waiting`: in normal use. `closing`: draining, gets no new work. `asked`: an order to go down was sent and its
   * answer is not known. `refused`: the platform rejected the order. `down`: the order was carried out. `done`: the
   * host has come back since.
   */
  phase: 'waiting' | 'closing' | 'asked' | 'refused' | 'down' | 'done';
  /** When the phase was entered, in ms of the monotonic clock. */
  phaseSinceMs: number;
  /** When an order last went unanswered, so that it may have been carried out. -Infinity if every order was answered. */
  lastUnansweredAtMs: number;
  /** Why the host has not gone down yet; '' if nothing blocks it. */
  reason: string;
  /** The long-running steps that had tasks on the host when it was ordered down. */
  stepsTakenDown: ReadonlySet<StepRun>;
};

/** A maintenance wave with its progress. */
export type MaintenanceWave = {
  readonly request: MaintenanceRequest;
  /** When this control holder first saw the wave, in ms of the monotonic clock. */
  readonly firstSeenAtMs: number;
  readonly hosts: Map<HostId, MaintenanceHost>;
  /** Long-running tasks that were moved off hosts of the wave. A task moves at most once per wave. */
  readonly movedTasks: Set<TaskKey>;
  /** Forecast from the last planning pass of whether the wave can finish in time. */
  forecast: WaveForecast;
};

/** Forecast of whether a wave can finish in time. */
export type WaveForecast = {
  /** Lower bound on the number of hosts that will miss the deadline. */
  readonly lateHosts: number;
  /** Why hosts will be late; '' if none will. */
  readonly reason: string;
};

/** What is known about hosts, as input for decisions on a wave. */
export type KnownHosts = {
  readonly inventory: HostInventory;
  /** How long a host is down for maintenance, in ms, including a margin for the lag of the host list. */
  readonly downMs: number;
};

/**
 * The host list may omit a host for as long as the host is down. A host that has been missing for this much longer,
 * which covers at least two reads of the list, counts as gone. A wave with such a host completes later by this margin.
 */
const GONE_MARGIN_MS = 1000;

/**
 * Creates the progress record of a wave.
 *
 * @param request - The wave as requested.
 * @param done - The hosts that were completed under an earlier holder.
 * @param nowMs - The current time.
 * @returns The wave, with all other hosts waiting.
 */
export const createMaintenanceWave = (
  request: MaintenanceRequest,
  done: readonly HostId[],
  nowMs: number,
): MaintenanceWave => ({
  request,
  firstSeenAtMs: nowMs,
  movedTasks: new Set(),
  forecast: { lateHosts: 0, reason: '' },
  hosts: new Map(
    request.hosts.map((hostId) => [
      hostId,
      {
        phase: done.includes(hostId) ? 'done' : 'waiting',
        phaseSinceMs: nowMs,
        lastUnansweredAtMs: -Infinity,
        reason: '',
        stepsTakenDown: new Set(),
      },
    ]),
  ),
});

/** The answer to an order for a host to go down; `unknown` if no answer arrived. */
export type HostOrderOutcome = 'done' | 'busy' | 'refused' | 'unknown';

/** Only `done` confirms that a host went down. A refused order must not count as done, and it must be retried. */
const phaseAfterOutcome: Readonly<Record<HostOrderOutcome, MaintenanceHost['phase']>> = {
  done: 'down',
  busy: 'closing',
  refused: 'refused',
  unknown: 'asked',
};

/**
 * Applies the answer to an order for a host of a wave. Ignored unless an order to that host is awaiting its answer.
 *
 * @param wave - The wave, changed in place.
 * @param hostId - The host.
 * @param outcome - The answer.
 * @param nowMs - The current time.
 */
export const applyOrderOutcome = (
  wave: MaintenanceWave,
  hostId: HostId,
  outcome: HostOrderOutcome,
  nowMs: number,
): void => {
  const host = wave.hosts.get(hostId);
  if (!host || host.phase !== 'asked') return;
  host.phase = phaseAfterOutcome[outcome];
  host.phaseSinceMs = nowMs;
  if (outcome === 'unknown') host.lastUnansweredAtMs = nowMs;
  if (outcome === 'refused') host.reason = 'the platform refuses the order';
};

/**
 * Tells whether a host of a wave is present in the host list.
 *
 * @param sight - What is known about hosts.
 * @param hostId - The host.
 * @returns Its presence; `gone` only after the host has been missing for longer than maintenance can explain.
 */
export const presenceInWave = ({ inventory, downMs }: KnownHosts, hostId: HostId): HostPresence =>
  hostPresence(inventory, hostId, downMs + GONE_MARGIN_MS);

/**
 * Tells whether a host may be down for its wave, in which case it counts against the wave's maximum.
 *
 * @param sight - What is known about hosts.
 * @param hostId - The host.
 * @param host - Its progress.
 * @returns True also if an earlier holder may have ordered the host down without recording it.
 */
export const mayBeDown = (
  sight: KnownHosts,
  hostId: HostId,
  { phase, lastUnansweredAtMs }: MaintenanceHost,
): boolean => {
  const { inventory, downMs } = sight;
  // A host that died while it was down would otherwise block the remaining hosts forever.
  if (presenceInWave(sight, hostId) === 'gone') return false;
  if (phase === 'down' || phase === 'asked') return true;
  // The refusal of a repeated order says nothing about the first order, which may have been carried out. Only a read of
  // the host list after the first order's downtime does.
  if (phase !== 'done' && inventory.lastRequestedAtMs < lastUnansweredAtMs + downMs) return true;
  const listed = inventory.hosts.get(hostId);
  return listed ? listed.state === 'maintenance' : phase !== 'done';
};

/**
 * Tells whether a wave is complete: every host has been down and is back, or is gone.
 *
 * @param sight - What is known about hosts.
 * @param wave - The wave.
 * @returns True if it may be reported as completed.
 */
export const isWaveComplete = (sight: KnownHosts, wave: MaintenanceWave): boolean =>
  Array.from(wave.hosts).every(([hostId, { phase }]) => {
    const isBack = phase === 'done' && sight.inventory.hosts.get(hostId)?.state !== 'maintenance';
    return isBack || presenceInWave(sight, hostId) === 'gone';
  });
