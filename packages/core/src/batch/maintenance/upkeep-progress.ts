/** How far a maintenance wave is, host by host, and when it is completed. */
import type { HostId } from '../../shared/ids.js';
import type { TaskKey } from '../model/job.js';
import type { StepRun } from '../model/job-state.js';
import { presenceOf, type HostInventory, type HostPresence } from '../pools/host-inventory.js';

/** A wave as it was ordered. */
export type UpkeepOrder = {
  readonly waveNumber: number;
  readonly hosts: readonly HostId[];
  readonly withinMs: number;
  /** How many hosts may be down for it at once. */
  readonly maximum: number;
};

/** What is known of one host of a wave. */
export type UpkeepHost = {
  /**
   * `asked`: an order was sent and its answer is not known. `refused`: the platform would not carry
   * it out. `down`: it was carried out. `done`: the host is back since.
   */
  phase: 'waiting' | 'closing' | 'asked' | 'refused' | 'down' | 'done';
  sinceMs: number;
  /** When an order had no answer last: it may have been carried out. -Infinity if none was lost. */
  unansweredAtMs: number;
  /** Why it has not gone down yet; '' where nothing stands in the way. */
  reason: string;
  /** The lasting steps that it took tasks of along as it was ordered down. */
  took: ReadonlySet<StepRun>;
};

/** A wave with its progress. */
export type UpkeepWave = {
  readonly order: UpkeepOrder;
  readonly seenAtMs: number;
  readonly hosts: Map<HostId, UpkeepHost>;
  /** Lasting tasks that were moved off hosts of it: each moves once. */
  readonly moved: Set<TaskKey>;
  /** Whether it can be in time, as planned last. */
  outlook: WaveOutlook;
};

/** Whether a wave can be in time. */
export type WaveOutlook = {
  /** How many hosts are expected to be late, at least. */
  readonly lateHosts: number;
  /** Why; '' where none is. */
  readonly reason: string;
};

/** What is known of hosts, to judge a wave by. */
export type HostSight = {
  readonly inventory: HostInventory;
  /** How long a host is down, with a margin for the list's lag. */
  readonly downMs: number;
};

/**
 * A list may leave a host out for as long as it is down. One that has been missing for a second more,
 * two readings at least, is gone; each wave with such a host is completed so much later.
 */
const GONE_MARGIN_MS = 1000;

/**
 * Builds the progress of a wave.
 *
 * @param order - The wave.
 * @param done - The hosts that an earlier holder saw through.
 * @param nowMs - The time.
 * @returns The wave.
 */
export const createUpkeepWave = (
  order: UpkeepOrder,
  done: readonly HostId[],
  nowMs: number,
): UpkeepWave => ({
  order,
  seenAtMs: nowMs,
  moved: new Set(),
  outlook: { lateHosts: 0, reason: '' },
  hosts: new Map(
    order.hosts.map((hostId) => [
      hostId,
      {
        phase: done.includes(hostId) ? 'done' : 'waiting',
        sinceMs: nowMs,
        unansweredAtMs: -Infinity,
        reason: '',
        took: new Set(),
      },
    ]),
  ),
});

/** What an order to a host was answered. */
export type HostOrderOutcome = 'done' | 'busy' | 'refused' | 'unknown';

/** Only `done` says that a host went down; a refused order must not count, nor be the last. */
const phaseAfter: Readonly<Record<HostOrderOutcome, UpkeepHost['phase']>> = {
  done: 'down',
  busy: 'closing',
  refused: 'refused',
  unknown: 'asked',
};

/**
 * Applies the answer to an order of a wave.
 *
 * @param wave - The wave, changed in place.
 * @param hostId - The host.
 * @param outcome - The answer.
 * @param nowMs - The time.
 */
export const applyUpkeepAnswer = (
  wave: UpkeepWave,
  hostId: HostId,
  outcome: HostOrderOutcome,
  nowMs: number,
): void => {
  const host = wave.hosts.get(hostId);
  if (!host || host.phase !== 'asked') return;
  host.phase = phaseAfter[outcome];
  host.sinceMs = nowMs;
  if (outcome === 'unknown') host.unansweredAtMs = nowMs;
  if (outcome === 'refused') host.reason = 'the platform refuses the order';
};

/**
 * Tells whether a host of a wave is there.
 *
 * @param sight - What is known of hosts.
 * @param hostId - The host.
 * @returns `gone` only after it has been missing for longer than any host that is down for a wave.
 */
export const presenceInWave = ({ inventory, downMs }: HostSight, hostId: HostId): HostPresence =>
  presenceOf(inventory, hostId, downMs + GONE_MARGIN_MS);

/**
 * Tells whether a host may be down for its wave, so that it counts against the maximum.
 *
 * @param sight - What is known of hosts.
 * @param hostId - The host.
 * @param host - Its progress.
 * @returns True also where an earlier holder may have ordered it down without writing that.
 */
export const mayBeDown = (
  sight: HostSight,
  hostId: HostId,
  { phase, unansweredAtMs }: UpkeepHost,
): boolean => {
  const { inventory, downMs } = sight;
  // One that died while it was down would hold up the others for good.
  if (presenceInWave(sight, hostId) === 'gone') return false;
  if (phase === 'down' || phase === 'asked') return true;
  // That a repeated order is refused says nothing of the first one; a reading after its time does.
  if (phase !== 'done' && inventory.listedAtMs < unansweredAtMs + downMs) return true;
  const listed = inventory.hosts.get(hostId);
  return listed ? listed.state === 'maintenance' : phase !== 'done';
};

/**
 * Tells whether a wave is complete: each host has been down and is back, or has left for good.
 *
 * @param sight - What is known of hosts.
 * @param wave - The wave.
 * @returns True if it may be reported as completed.
 */
export const isUpkeepComplete = (sight: HostSight, wave: UpkeepWave): boolean =>
  Array.from(wave.hosts).every(([hostId, { phase }]) => {
    const isBack = phase === 'done' && sight.inventory.hosts.get(hostId)?.state !== 'maintenance';
    return isBack || presenceInWave(sight, hostId) === 'gone';
  });
