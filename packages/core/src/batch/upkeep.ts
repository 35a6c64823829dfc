/**
 * Maintenance waves over hosts: spare and empty hosts first, then those whose short tasks have
 * drained, within every lasting step's budget and the wave's maximum.
 */
import type { HostId } from '../shared/ids.js';
import { change } from '../shared/change.js';
import type { HostPresence } from './host-inventory.js';
import {
  findBudgetObstacle,
  isQuiet,
  lastingSteps,
  moveOneAway,
  type BudgetObstacle,
} from './hosts.js';
import type { BatchState, EndpointState, StepRun } from './state.js';
import {
  mayBeDown,
  presenceInWave,
  type HostSight,
  type UpkeepHost,
  type UpkeepWave,
} from './upkeep-progress.js';

/** What is to be done about a host of a wave. */
export type UpkeepStep = {
  readonly wave: UpkeepWave;
  readonly hostId: HostId;
  readonly reason: string;
};

/** Short tasks on a host get this long to end before the host is taken down all the same. */
const DRAIN_PATIENCE_MS = 3000;
/** A host drains for up to 3 s, is down for 2 s, and its lasting tasks take a second to be back. */
const ROUND_MS = 4000;
/**
 * Kept for budgets that have to wait for each other, for a change of the holder and an outage of 4 s:
 * with 9 s, 3 to 5 of 22 hosts were late on a day with both.
 */
const RESERVE_MS = 12_000;
/** Hosts that drain while others are down, so that the next one is ready. */
const CLOSING_AHEAD = 2;
/** An order without an answer is sent again after this time. */
const ASK_AGAIN_MS = 1000;

/** What planning needs to know of hosts. */
export type UpkeepWorld = HostSight & {
  readonly state: BatchState;
  /** Some pool is short of room. */
  readonly isShort: boolean;
};

const endpointOf = (
  { state, inventory: { hosts } }: UpkeepWorld,
  hostId: HostId,
): EndpointState | undefined => {
  const endpointId = hosts.get(hostId)?.endpointId;
  return endpointId ? state.endpoints.get(endpointId) : undefined;
};

/** An order that was refused is sent again after this time: the platform may not know the wave yet. */
const REFUSED_AGAIN_MS = 1500;

/** Moves hosts on by what the list and the time say. */
const settle = ({ inventory, downMs }: UpkeepWorld, wave: UpkeepWave, nowMs: number): void => {
  const { hosts, listedAtMs } = inventory;
  wave.hosts.forEach((host, hostId) => {
    const isUp = hosts.get(hostId)?.state === 'up';
    if (host.phase === 'down' && isUp && listedAtMs - host.sinceMs > downMs) {
      change(host, { phase: 'done', sinceMs: listedAtMs });
    }
    if (host.phase === 'refused' && nowMs - host.sinceMs > REFUSED_AGAIN_MS) {
      change(host, { phase: 'waiting', sinceMs: nowMs });
    }
  });
};

/** What is said of a host that cannot be ordered since it is not listed. */
const unlistedReasons: Readonly<Record<Exclude<HostPresence, 'listed'>, string>> = {
  unknown: 'the list of hosts has not been read yet',
  missing: 'the list of hosts does not show it',
  gone: 'it has left the list of hosts for good',
};

const noteUnlisted = (world: UpkeepWorld, wave: UpkeepWave): void => {
  wave.hosts.forEach((host, hostId) => {
    const presence = presenceInWave(world, hostId);
    if (host.phase === 'done' || presence === 'listed') return;
    change(host, { reason: unlistedReasons[presence] });
  });
};

const markAwaited = (world: UpkeepWorld, wave: UpkeepWave): void => {
  wave.hosts.forEach(({ phase }, hostId) => {
    const endpoint = endpointOf(world, hostId);
    if (endpoint) endpoint.isAwaited = phase === 'waiting' || phase === 'closing';
  });
};

/** Fewer runs first; spare and empty hosts before all. */
const weightOf = (world: UpkeepWorld, hostId: HostId): number => {
  const endpoint = endpointOf(world, hostId);
  if (!endpoint) return 0;
  const { used, capacity, runs } = endpoint;
  const lasting = Array.from(runs.values()).filter(({ step }) => step.spec.isLasting).length;
  return runs.size === 0 ? 0 : 1 + lasting + used.cpuMillis / Math.max(1, capacity.cpuMillis);
};

const close = (world: UpkeepWorld, host: UpkeepHost, hostId: HostId, nowMs: number): void => {
  const endpoint = endpointOf(world, hostId);
  const sinceMs = host.phase === 'waiting' ? nowMs : host.sinceMs;
  change(host, { phase: 'closing', sinceMs });
  if (endpoint) endpoint.isClosing = true;
};

/** A host that may not go now must not be kept empty: what others need room for could be it. */
const reopen = (world: UpkeepWorld, host: UpkeepHost, hostId: HostId): void => {
  const endpoint = endpointOf(world, hostId);
  if (host.phase === 'closing') change(host, { phase: 'waiting' });
  if (endpoint) endpoint.isClosing = false;
};

/** Tells whether hosts can be left for later: the rest must take no longer than what is left then. */
const hasTimeLeft = ({ order, seenAtMs }: UpkeepWave, left: number, nowMs: number): boolean => {
  const neededMs = Math.ceil(left / order.maximum) * ROUND_MS + RESERVE_MS;
  return seenAtMs + order.withinMs - nowMs > neededMs;
};

/** What has to end on a host before it goes; '' if nothing has to. */
const findDelay = (world: UpkeepWorld, hostId: HostId, host: UpkeepHost, nowMs: number): string => {
  const endpoint = endpointOf(world, hostId);
  const isLivedOn = (world.inventory.hosts.get(hostId)?.endpointId ?? null) !== null;
  // What an endpoint runs is known once it has answered this holder.
  if (isLivedOn && !endpoint?.isKnown) return 'its endpoint has not answered yet';
  if (!endpoint || isQuiet(endpoint) || nowMs - host.sinceMs > DRAIN_PATIENCE_MS) return '';
  return `${endpoint.runs.size} tasks are to end first`;
};

/** Tasks on a host that was ordered down are away from now on, for the budgets of the others. */
const countAsAway = (world: UpkeepWorld, hostId: HostId): void => {
  endpointOf(world, hostId)?.runs.forEach((run) => {
    Object.assign(run, { percent: 0 });
  });
};

/** Which budget forbids that a host goes now; '' if none does. */
const findBar = (
  obstacle: BudgetObstacle | undefined,
  lasting: ReadonlySet<StepRun>,
  claimed: ReadonlySet<StepRun>,
): string => {
  if (obstacle) return obstacle.reason;
  const shared = Array.from(lasting).find((step) => claimed.has(step));
  return shared ? `job ${shared.job.job.jobId} gives another host first` : '';
};

/** More tasks of one step stand here than may be missed: the host never goes with all of them. */
const isOvercrowded = ({ runs }: EndpointState, { step }: BudgetObstacle): boolean =>
  Array.from(runs.values()).filter((run) => run.step === step && run.phase !== 'stopping').length >
  step.spec.mayMiss;

/**
 * Plans the next steps of a wave.
 *
 * @param world - Hosts and endpoints; endpoints that drain are marked as closing.
 * @param wave - The wave, changed in place.
 * @param nowMs - The time.
 * @returns The hosts to order down now.
 */
export const planUpkeep = (
  world: UpkeepWorld,
  wave: UpkeepWave,
  nowMs: number,
): readonly UpkeepStep[] => {
  settle(world, wave, nowMs);
  noteUnlisted(world, wave);
  markAwaited(world, wave);
  const entries = Array.from(wave.hosts);
  const again = entries
    .filter(([, host]) => host.phase === 'asked' && nowMs - host.sinceMs > ASK_AGAIN_MS)
    .map(([hostId]) => ({ wave, hostId, reason: 'the order had no answer' }));
  const under = entries.filter(([hostId, host]) => mayBeDown(world, hostId, host)).length;
  const candidates = entries
    .filter(([hostId, { phase }]) => {
      const isOpen = phase === 'waiting' || phase === 'closing';
      return isOpen && world.inventory.hosts.get(hostId)?.state === 'up';
    })
    .sort(
      ([left, { phase: leftPhase }], [right, { phase: rightPhase }]) =>
        Number(rightPhase === 'closing') - Number(leftPhase === 'closing') ||
        weightOf(world, left) - weightOf(world, right),
    );
  const free = Math.max(0, wave.order.maximum - under);
  const going: UpkeepStep[] = [];
  const claimed = new Set<StepRun>();
  const isRelaxed = hasTimeLeft(wave, candidates.length, nowMs);
  let closing = 0;
  candidates.forEach(([hostId, host]) => {
    const endpoint = endpointOf(world, hostId);
    const lasting = endpoint ? lastingSteps(endpoint) : new Set<StepRun>();
    if (isRelaxed && (world.isShort || (endpoint && !isQuiet(endpoint)))) {
      const what = world.isShort ? 'room is short' : 'it is at work';
      Object.assign(host, { reason: `${what}, and there is time left` });
      reopen(world, host, hostId);
      return;
    }
    const isFull = closing >= wave.order.maximum + CLOSING_AHEAD;
    const obstacle = endpoint && findBudgetObstacle(world.state, endpoint);
    if (endpoint && obstacle && !isFull && isOvercrowded(endpoint, obstacle)) {
      closing += 1;
      close(world, host, hostId, nowMs);
      moveOneAway(world.state, endpoint, obstacle, nowMs);
      Object.assign(host, { reason: obstacle.reason });
      return;
    }
    const bar = isFull
      ? 'as many hosts as may go are before it'
      : findBar(obstacle, lasting, claimed);
    Object.assign(host, { reason: bar });
    if (bar !== '') {
      reopen(world, host, hostId);
      return;
    }
    closing += 1;
    lasting.forEach((step) => claimed.add(step));
    close(world, host, hostId, nowMs);
    const delay =
      going.length >= free
        ? `${wave.order.maximum} hosts are down, which is the maximum`
        : findDelay(world, hostId, host, nowMs);
    Object.assign(host, { reason: delay });
    if (delay !== '') return;
    going.push({ wave, hostId, reason: `wave ${wave.order.waveNumber}: no budget forbids it` });
    Object.assign(host, { phase: 'asked', sinceMs: nowMs });
    countAsAway(world, hostId);
  });
  return [...again, ...going];
};
