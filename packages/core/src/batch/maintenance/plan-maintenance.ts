/**
 * Plans maintenance waves over hosts. Spare and empty hosts go down first, then hosts whose short tasks have ended, within
 * the disruption budget of every long-running step and the maximum of each wave.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { HostPresence } from '../pools/host-inventory.js';
import { rackOf } from '../endpoints/endpoints.js';
import { countReady, budgetedLongRunningSteps, moveOneTask } from '../pools/listed-hosts.js';
import type { EndpointState, StepRun } from '../model/state.js';
import { sortCandidates } from './candidate-order.js';
import { moveTasksEarly } from './early-moves.js';
import {
  mayBeDown,
  presenceInWave,
  type MaintenanceHost,
  type MaintenanceWave,
} from './wave-progress.js';
import {
  decideHostAction,
  type Candidate,
  type HostDecision,
  type PlanningPass,
  type MaintenanceContext,
} from './host-rules.js';
import { planWave } from './wave-plan.js';

/** An order for a host of a wave to go down, with the reason for the operators' view. */
export type HostMaintenanceOrder = {
  readonly wave: MaintenanceWave;
  readonly hostId: HostId;
  readonly reason: string;
};

/** An order without an answer is sent again after this time. */
const RETRY_UNANSWERED_MS = 1000;
/** A refused order is sent again after this time, because the platform may not have known the wave yet. */
const RETRY_REFUSED_MS = 1500;

const endpointOf = (
  { state, inventory: { hosts } }: MaintenanceContext,
  hostId: HostId,
): EndpointState | undefined => {
  const instanceId = hosts.get(hostId)?.instanceId;
  return instanceId ? state.currentIncarnations.get(instanceId) : undefined;
};

const rackOfHost = ({ inventory: { hosts } }: MaintenanceContext, hostId: HostId): string =>
  rackOf({ labels: hosts.get(hostId)?.labels ?? [] });

/**
 * Marks a host as done. If it had already been down under an earlier control holder, it did not go down again: its
 * endpoint has been running all along and must be reopened to new work.
 */
const markDone = (world: MaintenanceContext, hostId: HostId, host: MaintenanceHost): void => {
  const endpoint = endpointOf(world, hostId);
  change(host, { phase: 'done', phaseSinceMs: world.inventory.lastRequestedAtMs });
  if (endpoint) change(endpoint, { isCordoned: false });
};

/** Advances the phases of hosts by the host list and the elapsed time. */
const advancePhases = (world: MaintenanceContext, wave: MaintenanceWave, nowMs: number): void => {
  const {
    inventory: { hosts, lastRequestedAtMs },
    downMs,
  } = world;
  wave.hosts.forEach((host, hostId) => {
    const isUp = hosts.get(hostId)?.state === 'up';
    if (host.phase === 'down' && isUp && lastRequestedAtMs - host.phaseSinceMs > downMs) {
      markDone(world, hostId, host);
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

const recordUnlistedReasons = (world: MaintenanceContext, wave: MaintenanceWave): void => {
  wave.hosts.forEach((host, hostId) => {
    const presence = presenceInWave(world, hostId);
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
  world: MaintenanceContext,
  waves: readonly MaintenanceWave[],
): void =>
  waves
    .flatMap(({ hosts }) => Array.from(hosts.keys()))
    .forEach((hostId) => {
      const endpoint = endpointOf(world, hostId);
      if (endpoint) change(endpoint, { hasMaintenanceAhead: waves.some(isPendingIn(hostId)) });
    });

const ORDERED_PHASES: ReadonlySet<MaintenanceHost['phase']> = new Set(['asked', 'down']);

/**
 * Counts the tasks on hosts that were ordered down as unavailable for every disruption budget. An answer that an
 * endpoint gave before the order took effect would otherwise count them as available again.
 */
const countOrderedAsUnavailable = (world: MaintenanceContext, wave: MaintenanceWave): void =>
  wave.hosts.forEach(({ phase }, hostId) => {
    if (!ORDERED_PHASES.has(phase)) return;
    endpointOf(world, hostId)?.runs.forEach((run) => change(run, { percent: 0 }));
  });

const canBeOrdered = (
  { inventory }: MaintenanceContext,
  hostId: HostId,
  { phase }: MaintenanceHost,
): boolean => {
  const isOpen = phase === 'waiting' || phase === 'closing';
  return isOpen && inventory.hosts.get(hostId)?.state === 'up';
};

const candidateOf = (
  world: MaintenanceContext,
  hostId: HostId,
  host: MaintenanceHost,
): Candidate => {
  const endpoint = endpointOf(world, hostId);
  const dataCentre = world.inventory.hosts.get(hostId)?.dataCentre;
  const isEvacuated = dataCentre !== undefined && world.state.evacuatedDataCentres.has(dataCentre);
  const longRunningSteps = endpoint ? budgetedLongRunningSteps(endpoint) : new Set<StepRun>();
  return { hostId, host, endpoint, isEvacuated, longRunningSteps, rack: rackOfHost(world, hostId) };
};

const findCandidates = (world: MaintenanceContext, wave: MaintenanceWave): readonly Candidate[] =>
  pipe(
    Array.from(wave.hosts),
    RA.filter(([hostId, host]) => canBeOrdered(world, hostId, host)),
    RA.map(([hostId, host]) => candidateOf(world, hostId, host)),
  );

/** For each step, finds the racks in which other waves have taken down hosts with tasks of that step. */
const findRacksOfOthers = (
  world: MaintenanceContext,
  others: readonly MaintenanceWave[],
): ReadonlyMap<StepRun, ReadonlySet<string>> => {
  const racks = new Map<StepRun, Set<string>>();
  others.forEach(({ hosts }) =>
    hosts.forEach(({ phase, stepsTakenDown }, hostId) => {
      const rack = rackOfHost(world, hostId);
      if (rack === '' || !ORDERED_PHASES.has(phase)) return;
      stepsTakenDown.forEach((step) => racks.set(step, (racks.get(step) ?? new Set()).add(rack)));
    }),
  );
  return racks;
};

const startRound = (
  world: MaintenanceContext,
  wave: MaintenanceWave,
  candidates: readonly Candidate[],
  waves: readonly MaintenanceWave[],
  nowMs: number,
): PlanningPass => {
  const down = Array.from(wave.hosts).filter(([hostId, host]) => mayBeDown(world, hostId, host));
  return {
    world,
    wave,
    nowMs,
    plan: planWave(wave, candidates, world.downMs, nowMs),
    racksOfOtherWaves: findRacksOfOthers(
      world,
      waves.filter((other) => other !== wave),
    ),
    maxNewOrders: Math.max(0, wave.request.maximum - down.length),
    orderedDown: [],
    cordonedCount: 0,
    reservedTasks: new Map(),
  };
};

const startDraining = (round: PlanningPass, { host, endpoint }: Candidate): void => {
  const phaseSinceMs = host.phase === 'waiting' ? round.nowMs : host.phaseSinceMs;
  change(round, { cordonedCount: round.cordonedCount + 1 });
  change(host, { phase: 'closing', phaseSinceMs });
  if (endpoint) change(endpoint, { isCordoned: true });
};

/** Reopens a host that may not go down now. Keeping it empty would waste capacity that other tasks may need. */
const stopDraining = ({ host, endpoint }: Candidate): void => {
  if (host.phase === 'closing') change(host, { phase: 'waiting' });
  if (endpoint) change(endpoint, { isCordoned: false });
};

const orderDown = (
  { world, wave, orderedDown, nowMs }: PlanningPass,
  candidate: Candidate,
): void => {
  const { hostId, host, longRunningSteps } = candidate;
  orderedDown.push(hostId);
  change(host, { phase: 'asked', phaseSinceMs: nowMs, stepsTakenDown: longRunningSteps });
  countOrderedAsUnavailable(world, wave);
};

/** Moves long-running tasks off a draining host and reserves budget for those that will go down with it. */
const moveOrReserveTasks = (round: PlanningPass, candidate: Candidate): void => {
  moveTasksEarly(candidate, round);
  candidate.longRunningSteps.forEach((step) => {
    const staying = countReady(candidate.endpoint, step);
    round.reservedTasks.set(step, (round.reservedTasks.get(step) ?? 0) + staying);
  });
};

const applyDecision = (round: PlanningPass, candidate: Candidate, decision: HostDecision): void => {
  change(candidate.host, { reason: decision.reason });
  if (decision.kind === 'keep-open') {
    stopDraining(candidate);
    return;
  }
  startDraining(round, candidate);
  if (decision.kind === 'spread') {
    const { obstacle, endpoint } = decision;
    moveOneTask(round.world.state, endpoint, { ...obstacle, nowMs: round.nowMs });
    return;
  }
  if (decision.kind === 'order-down') orderDown(round, candidate);
  else moveOrReserveTasks(round, candidate);
};

const findUnansweredOrders = (wave: MaintenanceWave, nowMs: number): readonly HostId[] =>
  Array.from(wave.hosts)
    .filter(
      ([, { phase, phaseSinceMs }]) =>
        phase === 'asked' && nowMs - phaseSinceMs > RETRY_UNANSWERED_MS,
    )
    .map(([hostId]) => hostId);

/** Counts the hosts of each rack that have left the phase `waiting`. */
const countStartedByRack = (
  world: MaintenanceContext,
  wave: MaintenanceWave,
): ReadonlyMap<string, number> => {
  const started = new Map<string, number>();
  wave.hosts.forEach(({ phase }, hostId) => {
    const rack = rackOfHost(world, hostId);
    if (rack === '' || phase === 'waiting') return;
    started.set(rack, (started.get(rack) ?? 0) + 1);
  });
  return started;
};

const planNext = (
  world: MaintenanceContext,
  wave: MaintenanceWave,
  waves: readonly MaintenanceWave[],
  nowMs: number,
): readonly HostMaintenanceOrder[] => {
  const unanswered = findUnansweredOrders(wave, nowMs);
  const found = findCandidates(world, wave);
  const round = startRound(world, wave, found, waves, nowMs);
  const candidates = sortCandidates(found, round, countStartedByRack(world, wave));
  change(wave, { forecast: round.plan.forecast });
  // Sequential: each decision depends on how much of the budgets the earlier ones have used.
  candidates.forEach((candidate) =>
    applyDecision(round, candidate, decideHostAction(candidate, round)),
  );
  // Spends the budget that the hosts which may go down now have left over on moves off the waiting hosts.
  candidates
    .filter(({ host }) => host.phase === 'waiting')
    .forEach((candidate) => moveTasksEarly(candidate, round));
  const reason = `wave ${wave.request.waveNumber}: no budget forbids it`;
  return [
    ...unanswered.map((hostId) => ({ wave, hostId, reason: 'the order had no answer' })),
    ...round.orderedDown.map((hostId) => ({ wave, hostId, reason })),
  ];
};

/**
 * Plans the next steps of all waves.
 *
 * @param world - Hosts and endpoints. Endpoints on draining hosts are cordoned.
 * @param waves - The waves, changed in place.
 * @param nowMs - The current time.
 * @returns The hosts to order down now.
 */
export const planMaintenance = (
  world: MaintenanceContext,
  waves: readonly MaintenanceWave[],
  nowMs: number,
): readonly HostMaintenanceOrder[] => {
  waves.forEach((wave) => {
    advancePhases(world, wave, nowMs);
    recordUnlistedReasons(world, wave);
    countOrderedAsUnavailable(world, wave);
  });
  markPendingMaintenance(world, waves);
  return waves.flatMap((wave) => planNext(world, wave, waves, nowMs));
};
