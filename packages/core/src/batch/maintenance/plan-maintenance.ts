/**
 * Plans maintenance waves over hosts. Spare and empty hosts go down first, then hosts whose short tasks have ended, within
 * the disruption budget of every long-running step and the maximum of each wave.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { countReady, budgetedLongRunningSteps, moveOneTask } from '../pools/listed-hosts.js';
import type { StepRun } from '../model/state.js';
import { sortCandidates } from './candidate-order.js';
import { moveTasksEarly } from './early-moves.js';
import { countOrderedAsUnavailable, isOrderedDown, updateHostPhases } from './host-phases.js';
import {
  decideHostAction,
  type Candidate,
  type HostDecision,
  type PlanningPass,
  type MaintenanceContext,
} from './host-rules.js';
import { endpointOnHost, rackOfHost } from './wave-hosts.js';
import { planWave } from './wave-plan.js';
import { mayBeDown, type MaintenanceHost, type MaintenanceWave } from './wave-progress.js';

/** An order for a host of a wave to go down, with the reason for the operators' view. */
export type HostMaintenanceOrder = {
  readonly wave: MaintenanceWave;
  readonly hostId: HostId;
  readonly reason: string;
};

/** An order without an answer is sent again after this time. */
const RETRY_UNANSWERED_MS = 1000;

const canBeOrdered = (
  { inventory }: MaintenanceContext,
  hostId: HostId,
  { phase }: MaintenanceHost,
): boolean => {
  const isOpen = phase === 'waiting' || phase === 'closing';
  return isOpen && inventory.hosts.get(hostId)?.state === 'up';
};

const candidateOf = (
  context: MaintenanceContext,
  hostId: HostId,
  host: MaintenanceHost,
): Candidate => {
  const endpoint = endpointOnHost(context, hostId);
  const dataCentre = context.inventory.hosts.get(hostId)?.dataCentre;
  const isEvacuated =
    dataCentre !== undefined && context.state.evacuatedDataCentres.has(dataCentre);
  const longRunningSteps = endpoint ? budgetedLongRunningSteps(endpoint) : new Set<StepRun>();
  return {
    hostId,
    host,
    endpoint,
    isEvacuated,
    longRunningSteps,
    rack: rackOfHost(context, hostId),
  };
};

const findCandidates = (context: MaintenanceContext, wave: MaintenanceWave): readonly Candidate[] =>
  pipe(
    Array.from(wave.hosts),
    RA.filter(([hostId, host]) => canBeOrdered(context, hostId, host)),
    RA.map(([hostId, host]) => candidateOf(context, hostId, host)),
  );

/** For each step, finds the racks in which other waves have taken down hosts with tasks of that step. */
const findRacksOfOthers = (
  context: MaintenanceContext,
  others: readonly MaintenanceWave[],
): ReadonlyMap<StepRun, ReadonlySet<string>> => {
  const racks = new Map<StepRun, Set<string>>();
  others.forEach(({ hosts }) =>
    hosts.forEach((host, hostId) => {
      const rack = rackOfHost(context, hostId);
      if (rack === '' || !isOrderedDown(host)) return;
      host.stepsTakenDown.forEach((step) =>
        racks.set(step, (racks.get(step) ?? new Set()).add(rack)),
      );
    }),
  );
  return racks;
};

const startPass = (
  context: MaintenanceContext,
  wave: MaintenanceWave,
  candidates: readonly Candidate[],
  waves: readonly MaintenanceWave[],
  nowMs: number,
): PlanningPass => {
  const down = Array.from(wave.hosts).filter(([hostId, host]) => mayBeDown(context, hostId, host));
  return {
    context,
    wave,
    nowMs,
    plan: planWave(wave, candidates, context.downMs, nowMs),
    racksOfOtherWaves: findRacksOfOthers(
      context,
      waves.filter((other) => other !== wave),
    ),
    maxNewOrders: Math.max(0, wave.request.maximum - down.length),
    orderedDown: [],
    cordonedCount: 0,
    reservedTasks: new Map(),
  };
};

const startDraining = (pass: PlanningPass, { host, endpoint }: Candidate): void => {
  const phaseSinceMs = host.phase === 'waiting' ? pass.nowMs : host.phaseSinceMs;
  change(pass, { cordonedCount: pass.cordonedCount + 1 });
  change(host, { phase: 'closing', phaseSinceMs });
  if (endpoint) change(endpoint, { isCordoned: true });
};

/** Reopens a host that may not go down now. Keeping it empty would waste capacity that other tasks may need. */
const stopDraining = ({ host, endpoint }: Candidate): void => {
  if (host.phase === 'closing') change(host, { phase: 'waiting' });
  if (endpoint) change(endpoint, { isCordoned: false });
};

const orderDown = (
  { context, wave, orderedDown, nowMs }: PlanningPass,
  candidate: Candidate,
): void => {
  const { hostId, host, longRunningSteps } = candidate;
  orderedDown.push(hostId);
  change(host, { phase: 'asked', phaseSinceMs: nowMs, stepsTakenDown: longRunningSteps });
  countOrderedAsUnavailable(context, wave);
};

/** Moves long-running tasks off a draining host and reserves budget for those that will go down with it. */
const moveOrReserveTasks = (pass: PlanningPass, candidate: Candidate): void => {
  moveTasksEarly(candidate, pass);
  candidate.longRunningSteps.forEach((step) => {
    const staying = countReady(candidate.endpoint, step);
    pass.reservedTasks.set(step, (pass.reservedTasks.get(step) ?? 0) + staying);
  });
};

const applyDecision = (pass: PlanningPass, candidate: Candidate, decision: HostDecision): void => {
  change(candidate.host, { reason: decision.reason });
  if (decision.kind === 'keep-open') {
    stopDraining(candidate);
    return;
  }
  startDraining(pass, candidate);
  if (decision.kind === 'spread') {
    const { obstacle, endpoint } = decision;
    moveOneTask(pass.context.state, endpoint, { ...obstacle, nowMs: pass.nowMs });
    return;
  }
  if (decision.kind === 'order-down') orderDown(pass, candidate);
  else moveOrReserveTasks(pass, candidate);
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
  context: MaintenanceContext,
  wave: MaintenanceWave,
): ReadonlyMap<string, number> => {
  const started = new Map<string, number>();
  wave.hosts.forEach(({ phase }, hostId) => {
    const rack = rackOfHost(context, hostId);
    if (rack === '' || phase === 'waiting') return;
    started.set(rack, (started.get(rack) ?? 0) + 1);
  });
  return started;
};

const planNext = (
  context: MaintenanceContext,
  wave: MaintenanceWave,
  waves: readonly MaintenanceWave[],
  nowMs: number,
): readonly HostMaintenanceOrder[] => {
  const unanswered = findUnansweredOrders(wave, nowMs);
  const found = findCandidates(context, wave);
  const pass = startPass(context, wave, found, waves, nowMs);
  const candidates = sortCandidates(found, pass, countStartedByRack(context, wave));
  change(wave, { forecast: pass.plan.forecast });
  // Sequential: each decision depends on how much of the budgets the earlier ones have used.
  candidates.forEach((candidate) =>
    applyDecision(pass, candidate, decideHostAction(candidate, pass)),
  );
  // Spends the budget that the hosts which may go down now have left over on moves off the waiting hosts.
  candidates
    .filter(({ host }) => host.phase === 'waiting')
    .forEach((candidate) => moveTasksEarly(candidate, pass));
  const reason = `wave ${wave.request.waveNumber}: no budget forbids it`;
  return [
    ...unanswered.map((hostId) => ({ wave, hostId, reason: 'the order had no answer' })),
    ...pass.orderedDown.map((hostId) => ({ wave, hostId, reason })),
  ];
};

/**
 * Plans the next steps of all waves.
 *
 * @param context - Hosts and endpoints. Endpoints on draining hosts are cordoned.
 * @param waves - The waves, changed in place.
 * @param nowMs - The current time.
 * @returns The hosts to order down now.
 */
export const planMaintenance = (
  context: MaintenanceContext,
  waves: readonly MaintenanceWave[],
  nowMs: number,
): readonly HostMaintenanceOrder[] => {
  updateHostPhases(context, waves, nowMs);
  return waves.flatMap((wave) => planNext(context, wave, waves, nowMs));
};
