/**
 * Maintenance waves over hosts: spare and empty hosts first, then those whose short tasks have
 * drained, within every lasting step's budget and the wave's maximum.
 */
import { pipe } from 'fp-ts/lib/function.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { HostPresence } from '../pools/host-inventory.js';
import { rackOf } from '../endpoints/endpoints.js';
import { countAtWork, lastingSteps, moveOneAway } from '../pools/hosts.js';
import type { EndpointState, StepRun } from '../model/state.js';
import { sortCandidates } from './candidate-order.js';
import { moveTasksEarly } from './early-moves.js';
import { mayBeDown, presenceInWave, type UpkeepHost, type UpkeepWave } from './upkeep-progress.js';
import {
  decideOnHost,
  type Candidate,
  type HostDecision,
  type UpkeepRound,
  type UpkeepWorld,
} from './upkeep-rules.js';
import { planWave } from './wave-plan.js';

/** A host of a wave that is to be ordered down. */
export type UpkeepStep = {
  readonly wave: UpkeepWave;
  readonly hostId: HostId;
  readonly reason: string;
};

/** An order without an answer is sent again after this time. */
const ASK_AGAIN_MS = 1000;
/** An order that was refused is sent again after this time: the platform may not know the wave yet. */
const REFUSED_AGAIN_MS = 1500;

const endpointOf = (
  { state, inventory: { hosts } }: UpkeepWorld,
  hostId: HostId,
): EndpointState | undefined => {
  const instanceId = hosts.get(hostId)?.instanceId;
  return instanceId ? state.lives.get(instanceId) : undefined;
};

const rackOn = ({ inventory: { hosts } }: UpkeepWorld, hostId: HostId): string =>
  rackOf({ labels: hosts.get(hostId)?.labels ?? [] });

/** One that had been down under an earlier holder did not go again: its endpoint lives on, and was closed. */
const noteBack = (world: UpkeepWorld, hostId: HostId, host: UpkeepHost): void => {
  const endpoint = endpointOf(world, hostId);
  change(host, { phase: 'done', sinceMs: world.inventory.listedAtMs });
  if (endpoint) change(endpoint, { isClosing: false });
};

/** Moves hosts on by what the list and the time say. */
const settle = (world: UpkeepWorld, wave: UpkeepWave, nowMs: number): void => {
  const {
    inventory: { hosts, listedAtMs },
    downMs,
  } = world;
  wave.hosts.forEach((host, hostId) => {
    const isUp = hosts.get(hostId)?.state === 'up';
    if (host.phase === 'down' && isUp && listedAtMs - host.sinceMs > downMs) {
      noteBack(world, hostId, host);
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

const AWAITED: ReadonlySet<UpkeepHost['phase']> = new Set(['waiting', 'closing', 'refused']);

const isAwaitedIn =
  (hostId: HostId) =>
  ({ hosts }: UpkeepWave): boolean => {
    const host = hosts.get(hostId);
    return host !== undefined && AWAITED.has(host.phase);
  };

/** A host that two waves name has maintenance ahead until both are through with it. */
const markAwaited = (world: UpkeepWorld, waves: readonly UpkeepWave[]): void =>
  waves
    .flatMap(({ hosts }) => Array.from(hosts.keys()))
    .forEach((hostId) => {
      const endpoint = endpointOf(world, hostId);
      if (endpoint) change(endpoint, { isAwaited: waves.some(isAwaitedIn(hostId)) });
    });

const GOING: ReadonlySet<UpkeepHost['phase']> = new Set(['asked', 'down']);

/**
 * What runs on a host that was ordered down is away for every budget. An answer that the endpoint gave before the
 * order took effect would count it as at work again.
 */
const countOrderedAsAway = (world: UpkeepWorld, wave: UpkeepWave): void =>
  wave.hosts.forEach(({ phase }, hostId) => {
    if (!GOING.has(phase)) return;
    endpointOf(world, hostId)?.runs.forEach((run) => change(run, { percent: 0 }));
  });

const mayBeOrdered = (
  { inventory }: UpkeepWorld,
  hostId: HostId,
  { phase }: UpkeepHost,
): boolean => {
  const isOpen = phase === 'waiting' || phase === 'closing';
  return isOpen && inventory.hosts.get(hostId)?.state === 'up';
};

const candidateOf = (world: UpkeepWorld, hostId: HostId, host: UpkeepHost): Candidate => {
  const endpoint = endpointOf(world, hostId);
  const dataCentre = world.inventory.hosts.get(hostId)?.dataCentre;
  const isEvacuated = dataCentre !== undefined && world.state.evacuated.has(dataCentre);
  const lasting = endpoint ? lastingSteps(endpoint) : new Set<StepRun>();
  return { hostId, host, endpoint, isEvacuated, lasting, rack: rackOn(world, hostId) };
};

const findCandidates = (world: UpkeepWorld, wave: UpkeepWave): readonly Candidate[] =>
  pipe(
    Array.from(wave.hosts),
    RA.filter(([hostId, host]) => mayBeOrdered(world, hostId, host)),
    RA.map(([hostId, host]) => candidateOf(world, hostId, host)),
  );

/** The racks in which other waves have hosts down, by the steps that these took tasks of along. */
const findRacksOfOthers = (
  world: UpkeepWorld,
  others: readonly UpkeepWave[],
): ReadonlyMap<StepRun, ReadonlySet<string>> => {
  const racks = new Map<StepRun, Set<string>>();
  others.forEach(({ hosts }) =>
    hosts.forEach(({ phase, took }, hostId) => {
      const rack = rackOn(world, hostId);
      if (rack === '' || !GOING.has(phase)) return;
      took.forEach((step) => racks.set(step, (racks.get(step) ?? new Set()).add(rack)));
    }),
  );
  return racks;
};

const startRound = (
  world: UpkeepWorld,
  wave: UpkeepWave,
  candidates: readonly Candidate[],
  waves: readonly UpkeepWave[],
  nowMs: number,
): UpkeepRound => {
  const down = Array.from(wave.hosts).filter(([hostId, host]) => mayBeDown(world, hostId, host));
  return {
    world,
    wave,
    nowMs,
    plan: planWave(wave, candidates, world.downMs, nowMs),
    racksOfOthers: findRacksOfOthers(
      world,
      waves.filter((other) => other !== wave),
    ),
    freePlaces: Math.max(0, wave.order.maximum - down.length),
    ordered: [],
    closingCount: 0,
    claimed: new Map(),
  };
};

const close = (round: UpkeepRound, { host, endpoint }: Candidate): void => {
  const sinceMs = host.phase === 'waiting' ? round.nowMs : host.sinceMs;
  change(round, { closingCount: round.closingCount + 1 });
  change(host, { phase: 'closing', sinceMs });
  if (endpoint) change(endpoint, { isClosing: true });
};

/** A host that may not go now must not be kept empty: what others need room for could be it. */
const reopen = ({ host, endpoint }: Candidate): void => {
  if (host.phase === 'closing') change(host, { phase: 'waiting' });
  if (endpoint) change(endpoint, { isClosing: false });
};

const orderDown = ({ world, wave, ordered, nowMs }: UpkeepRound, candidate: Candidate): void => {
  const { hostId, host, lasting } = candidate;
  ordered.push(hostId);
  change(host, { phase: 'asked', sinceMs: nowMs, took: lasting });
  countOrderedAsAway(world, wave);
};

/** A host that drains has its lasting tasks moved meanwhile; what stays is to go with it. */
const claimTasks = (round: UpkeepRound, candidate: Candidate): void => {
  moveTasksEarly(candidate, round);
  candidate.lasting.forEach((step) => {
    const staying = countAtWork(candidate.endpoint, step);
    round.claimed.set(step, (round.claimed.get(step) ?? 0) + staying);
  });
};

const carryOut = (round: UpkeepRound, candidate: Candidate, decision: HostDecision): void => {
  change(candidate.host, { reason: decision.reason });
  if (decision.kind === 'keep-open') {
    reopen(candidate);
    return;
  }
  close(round, candidate);
  if (decision.kind === 'spread') {
    const { obstacle, endpoint } = decision;
    moveOneAway(round.world.state, endpoint, { ...obstacle, nowMs: round.nowMs });
    return;
  }
  if (decision.kind === 'order-down') orderDown(round, candidate);
  else claimTasks(round, candidate);
};

const findUnanswered = (wave: UpkeepWave, nowMs: number): readonly HostId[] =>
  Array.from(wave.hosts)
    .filter(([, { phase, sinceMs }]) => phase === 'asked' && nowMs - sinceMs > ASK_AGAIN_MS)
    .map(([hostId]) => hostId);

/** How many hosts of each rack have begun. */
const countBegun = (world: UpkeepWorld, wave: UpkeepWave): ReadonlyMap<string, number> => {
  const begun = new Map<string, number>();
  wave.hosts.forEach(({ phase }, hostId) => {
    const rack = rackOn(world, hostId);
    if (rack === '' || phase === 'waiting') return;
    begun.set(rack, (begun.get(rack) ?? 0) + 1);
  });
  return begun;
};

const planNext = (
  world: UpkeepWorld,
  wave: UpkeepWave,
  waves: readonly UpkeepWave[],
  nowMs: number,
): readonly UpkeepStep[] => {
  const unanswered = findUnanswered(wave, nowMs);
  const found = findCandidates(world, wave);
  const round = startRound(world, wave, found, waves, nowMs);
  const candidates = sortCandidates(found, round, countBegun(world, wave));
  change(wave, { outlook: round.plan.outlook });
  // One after the other: each decision depends on what those before took of the budgets.
  candidates.forEach((candidate) => carryOut(round, candidate, decideOnHost(candidate, round)));
  // What those that may go now leave of the allowances.
  candidates
    .filter(({ host }) => host.phase === 'waiting')
    .forEach((candidate) => moveTasksEarly(candidate, round));
  const reason = `wave ${wave.order.waveNumber}: no budget forbids it`;
  return [
    ...unanswered.map((hostId) => ({ wave, hostId, reason: 'the order had no answer' })),
    ...round.ordered.map((hostId) => ({ wave, hostId, reason })),
  ];
};

/**
 * Plans the next steps of all waves.
 *
 * @param world - Hosts and endpoints; endpoints that drain are marked as closing.
 * @param waves - The waves, changed in place.
 * @param nowMs - The time.
 * @returns The hosts to order down now.
 */
export const planUpkeep = (
  world: UpkeepWorld,
  waves: readonly UpkeepWave[],
  nowMs: number,
): readonly UpkeepStep[] => {
  waves.forEach((wave) => {
    settle(world, wave, nowMs);
    noteUnlisted(world, wave);
    countOrderedAsAway(world, wave);
  });
  markAwaited(world, waves);
  return waves.flatMap((wave) => planNext(world, wave, waves, nowMs));
};
