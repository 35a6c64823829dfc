/**
 * Maintenance waves over hosts: spare and empty hosts first, then those whose short tasks have
 * drained, within every lasting step's budget and the wave's maximum.
 */
import * as B from 'fp-ts/lib/boolean.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type { HostId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type { HostPresence } from '../pools/host-inventory.js';
import { lastingSteps, moveOneAway } from '../pools/hosts.js';
import type { EndpointState } from '../model/state.js';
import { mayBeDown, presenceInWave, type UpkeepHost, type UpkeepWave } from './upkeep-progress.js';
import {
  decideOnHost,
  type Candidate,
  type HostDecision,
  type UpkeepRound,
  type UpkeepWorld,
} from './upkeep-rules.js';

/** A host of a wave that is to be ordered down. */
export type UpkeepStep = {
  readonly wave: UpkeepWave;
  readonly hostId: HostId;
  readonly reason: string;
};

/** A host drains for up to 3 s, is down for 2 s, and its lasting tasks take a second to be back. */
const ROUND_MS = 4000;
/**
 * Kept for budgets that have to wait for each other, for a change of the holder and an outage of 4 s:
 * with 9 s, 3 to 5 of 22 hosts were late on a day with both.
 */
const RESERVE_MS = 12_000;
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

const markAwaited = (world: UpkeepWorld, wave: UpkeepWave): void => {
  wave.hosts.forEach(({ phase }, hostId) => {
    const endpoint = endpointOf(world, hostId);
    if (endpoint) endpoint.isAwaited = phase === 'waiting' || phase === 'closing';
  });
};

/** How much a host's loss would cost; 0 for spare and empty hosts. */
const weightOf = ({ endpoint }: Candidate): number => {
  if (!endpoint || endpoint.runs.size === 0) return 0;
  const { used, capacity, runs } = endpoint;
  const lasting = Array.from(runs.values()).filter(({ step }) => step.spec.isLasting).length;
  return 1 + lasting + used.cpuMillis / Math.max(1, capacity.cpuMillis);
};

const byClosingFirst = pipe(
  B.Ord,
  Ord.reverse,
  Ord.contramap(({ host }: Candidate) => host.phase === 'closing'),
);
const byWeight = pipe(N.Ord, Ord.contramap(weightOf));
const byEvacuatedFirst = pipe(
  B.Ord,
  Ord.reverse,
  Ord.contramap(({ isEvacuated }: Candidate) => isEvacuated),
);
const byPreference = [byEvacuatedFirst, byClosingFirst, byWeight].reduce(
  Ord.getMonoid<Candidate>().concat,
);

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
  const lasting: Candidate['lasting'] = endpoint ? lastingSteps(endpoint) : new Set();
  return { hostId, host, endpoint, isEvacuated, lasting };
};

const findCandidates = (world: UpkeepWorld, wave: UpkeepWave): readonly Candidate[] =>
  pipe(
    Array.from(wave.hosts),
    RA.filter(([hostId, host]) => mayBeOrdered(world, hostId, host)),
    RA.map(([hostId, host]) => candidateOf(world, hostId, host)),
    RA.sort(byPreference),
  );

/** Tells whether hosts can be left for later: the rest must take no longer than what is left then. */
const hasTimeLeft = ({ order, seenAtMs }: UpkeepWave, left: number, nowMs: number): boolean => {
  const neededMs = Math.ceil(left / order.maximum) * ROUND_MS + RESERVE_MS;
  return seenAtMs + order.withinMs - nowMs > neededMs;
};

const startRound = (
  world: UpkeepWorld,
  wave: UpkeepWave,
  candidateCount: number,
  nowMs: number,
): UpkeepRound => {
  const down = Array.from(wave.hosts).filter(([hostId, host]) => mayBeDown(world, hostId, host));
  return {
    world,
    wave,
    nowMs,
    isRelaxed: hasTimeLeft(wave, candidateCount, nowMs),
    freePlaces: Math.max(0, wave.order.maximum - down.length),
    ordered: [],
    closingCount: 0,
    claimed: new Set(),
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

const orderDown = ({ ordered, nowMs }: UpkeepRound, candidate: Candidate): void => {
  const { hostId, host, endpoint } = candidate;
  ordered.push(hostId);
  change(host, { phase: 'asked', sinceMs: nowMs });
  // Its tasks are away from now on, for the budgets of the others.
  endpoint?.runs.forEach((run) => change(run, { percent: 0 }));
};

const carryOut = (round: UpkeepRound, candidate: Candidate, decision: HostDecision): void => {
  change(candidate.host, { reason: decision.reason });
  if (decision.kind === 'keep-open') {
    reopen(candidate);
    return;
  }
  close(round, candidate);
  if (decision.kind === 'spread') {
    moveOneAway(round.world.state, decision.endpoint, decision.obstacle, round.nowMs);
    return;
  }
  candidate.lasting.forEach((step) => round.claimed.add(step));
  if (decision.kind === 'order-down') orderDown(round, candidate);
};

const findUnanswered = (wave: UpkeepWave, nowMs: number): readonly HostId[] =>
  Array.from(wave.hosts)
    .filter(([, { phase, sinceMs }]) => phase === 'asked' && nowMs - sinceMs > ASK_AGAIN_MS)
    .map(([hostId]) => hostId);

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
  const unanswered = findUnanswered(wave, nowMs);
  const candidates = findCandidates(world, wave);
  const round = startRound(world, wave, candidates.length, nowMs);
  // One after the other: each decision depends on what those before took of the budgets.
  candidates.forEach((candidate) => carryOut(round, candidate, decideOnHost(candidate, round)));
  const reason = `wave ${wave.order.waveNumber}: no budget forbids it`;
  return [
    ...unanswered.map((hostId) => ({ wave, hostId, reason: 'the order had no answer' })),
    ...round.ordered.map((hostId) => ({ wave, hostId, reason })),
  ];
};
