/** What each pool has and needs: room, work that runs and waits, work that is expected. */
import type { HostId, PoolName } from '../../shared/ids.js';
import { goesWithOwed } from '../accounts/shares.js';
import { expectCores, type DemandRates } from './demand.js';
import { expectPeak, observeDemand } from './demand-peaks.js';
import type { HostView, PoolView } from './hosts.js';
import { reservedCpu } from '../endpoints/runs.js';
import { isSound } from '../endpoints/sound-endpoints.js';
import { poolOf, type BatchState, type EndpointState, type StepRun } from '../model/state.js';

/** What moves are decided on. */
export type PoolWorld = {
  readonly state: BatchState;
  readonly hosts: ReadonlyMap<HostId, HostView>;
  readonly pools: readonly PoolView[];
  /** Hosts that must not be moved now: ordered already, or about to go down. */
  readonly busyHosts: ReadonlySet<HostId>;
  readonly nowMs: number;
};

/** How moves are weighed. */
export type PoolPolicy = {
  /** A pool keeps at least so many hosts, for the first jobs of a demand peak. */
  readonly minHosts: number;
  /** An empty host is given away only after this time. */
  readonly releaseAfterMs: number;
  /** An empty host that is not expected to be needed is switched off after this time. */
  readonly parkAfterMs: number;
  /** Room is held for this many times the work that is expected. */
  readonly headroom: number;
  /** Of the room that is short, this share of a host is worth a host. */
  readonly shortShare: number;
  /** Room is held for the next of peaks that follow each other evenly. */
  readonly expectsPeaks: boolean;
};

/**
 * A host in a pool costs 0.078 a second, and work in time earns some 1.2 a host and second: room is
 * held generously where work arrives, and none where it does not.
 */
export const DEFAULT_POOL_POLICY: PoolPolicy = {
  minHosts: 3,
  releaseAfterMs: 300,
  parkAfterMs: 2500,
  headroom: 1.4,
  shortShare: 0.3,
  expectsPeaks: true,
};

/** What a pool has and needs, in thousandths of a core where a name does not say otherwise. */
export type PoolNeed = {
  readonly name: PoolName;
  readonly hosts: readonly HostView[];
  readonly hostCpu: number;
  readonly endpoints: readonly EndpointState[];
  readonly empty: readonly EndpointState[];
  /** Empty endpoints in evacuated data centres: they are neither room nor among the hosts that the pool keeps. */
  readonly emptyEvacuated: readonly EndpointState[];
  readonly roomCpu: number;
  readonly comingCpu: number;
  readonly usedCpu: number;
  readonly waitingCpu: number;
  readonly expectedCpu: number;
  /** Room that is missing for what runs, waits and is expected; negative for room left over. */
  readonly shortCpu: number;
  /** The same for the work that accounts are owed alone; equal to it where no account has a weight. */
  readonly owedShortCpu: number;
  /** Room that is missing for what waits already. */
  readonly urgentCpu: number;
  /** The most urgent priority among tasks that end by themselves; Infinity without any. */
  readonly priority: number;
};

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/** Room that is missing, by what runs and waits, and by what is expected. */
type Shortfall = { readonly urgentCpu: number; readonly shortCpu: number };

type Claim = {
  readonly usedCpu: number;
  readonly waitingCpu: number;
  readonly expectedCpu: number;
  readonly thereCpu: number;
};

const shortfallOf = ({ usedCpu, waitingCpu, expectedCpu, thereCpu }: Claim): Shortfall => {
  const urgentCpu = usedCpu + waitingCpu - thereCpu;
  return { urgentCpu, shortCpu: Math.max(urgentCpu, expectedCpu - thereCpu) };
};

/** What runs on endpoints beyond what accounts are owed. */
const unowedCpuOf = (endpoints: readonly EndpointState[], nowMs: number): number =>
  sum(
    endpoints.flatMap(({ runs }) =>
      Array.from(runs.values(), ({ step }) =>
        goesWithOwed(step.job, nowMs) ? 0 : reservedCpu(step.spec),
      ),
    ),
  );

const waitingCpuOf = (steps: readonly StepRun[]): number =>
  sum(steps.map(({ waiting, spec }) => waiting.length * spec.cpuMillis));

/** Long-running tasks stand on their hosts all day and say nothing about a peak. */
const mostUrgent = (steps: readonly StepRun[]): number =>
  Math.min(
    ...steps.filter(({ spec }) => !spec.isLasting).map(({ job }) => job.policy.priority),
    Infinity,
  );

const needOf = (
  { state, hosts, nowMs }: PoolWorld,
  { name }: PoolView,
  { headroom }: PoolPolicy,
  peakCores: number,
): PoolNeed => {
  const inPool = Array.from(hosts.values()).filter(
    (host) => host.pool === name && host.state !== 'down' && !state.evacuated.has(host.dataCentre),
  );
  const emptyEvacuated = Array.from(state.endpoints.values()).filter(
    ({ pool: inWhich, dataCentre, runs, isKnown, isClosing }) =>
      inWhich === name &&
      state.evacuated.has(dataCentre) &&
      isKnown &&
      !isClosing &&
      runs.size === 0,
  );
  const endpoints = Array.from(state.endpoints.values()).filter(
    (endpoint) => endpoint.pool === name && isSound(state, endpoint, nowMs),
  );
  const coming = inPool.filter(
    ({ instanceId }) => !instanceId || !state.lives.get(instanceId)?.isKnown,
  );
  const pool = poolOf(state, name);
  const waiting = Array.from(pool.open);
  const running = endpoints.flatMap(({ runs }) => Array.from(runs.values(), ({ step }) => step));
  const roomCpu = sum(endpoints.map(({ capacity }) => capacity.cpuMillis));
  const comingCpu = sum(coming.map(({ capacity }) => capacity.cpuMillis));
  const usedCpu = sum(endpoints.map(({ used }) => used.cpuMillis));
  const waitingCpu = waitingCpuOf(waiting);
  const expectOf = (rates: DemandRates): number =>
    Math.max(expectCores(rates), peakCores) * 1000 * headroom;
  const expectedCpu = expectOf(pool.demand.rates(nowMs));
  const thereCpu = roomCpu + comingCpu;
  const { urgentCpu, shortCpu } = shortfallOf({ usedCpu, waitingCpu, expectedCpu, thereCpu });
  const owed = shortfallOf({
    usedCpu: usedCpu - unowedCpuOf(endpoints, nowMs),
    waitingCpu: waitingCpuOf(waiting.filter(({ job }) => goesWithOwed(job, nowMs))),
    expectedCpu: expectOf(pool.demand.owedRates(nowMs)),
    thereCpu,
  });
  return {
    name,
    hosts: inPool,
    hostCpu: inPool[0]?.capacity.cpuMillis ?? 1,
    endpoints,
    empty: endpoints.filter(({ runs, hostId }) => runs.size === 0 && hostId !== null),
    emptyEvacuated,
    roomCpu,
    comingCpu,
    usedCpu,
    waitingCpu,
    expectedCpu,
    shortCpu,
    owedShortCpu: owed.shortCpu,
    urgentCpu,
    priority: mostUrgent([...waiting, ...running]),
  };
};

/**
 * Tells what each pool in use has and needs.
 *
 * @param world - Pools, hosts and what waits.
 * @param policy - How moves are weighed.
 * @returns The needs.
 */
export const needsOfPools = (
  world: PoolWorld,
  policy: PoolPolicy = DEFAULT_POOL_POLICY,
): readonly PoolNeed[] => {
  const inUse = world.pools.filter(({ isSpare }) => !isSpare);
  const names = inUse.map(({ name }) => name);
  const expected = policy.expectsPeaks
    ? expectPeak(world.state.peaks, names, world.nowMs)
    : new Map<PoolName, number>();
  return inUse.map((pool) => needOf(world, pool, policy, expected.get(pool.name) ?? 0));
};

/**
 * Records the demand of all pools, so that peaks are seen to begin. A peak is what needs more hosts
 * than a pool keeps in any case.
 *
 * @param world - Pools and hosts; the state's memory of peaks is changed in place.
 * @param policy - How moves are weighed.
 * @returns The pools whose peak has begun.
 */
export const observePeaks = (
  { state, pools, hosts, nowMs }: PoolWorld,
  { minHosts, headroom }: PoolPolicy = DEFAULT_POOL_POLICY,
): readonly PoolName[] => {
  const inUse = pools.filter(({ isSpare }) => !isSpare);
  const sizes = Array.from(hosts.values(), ({ capacity }) => capacity.cpuMillis);
  const hostCores = sum(sizes) / Math.max(1, sizes.length) / 1000;
  const leastCores = (minHosts * hostCores) / headroom;
  return inUse
    .map(({ name }) => name)
    .filter((name) => {
      const { slowCores } = poolOf(state, name).demand.owedRates(nowMs);
      return observeDemand(state.peaks, name, { cores: slowCores, leastCores }, nowMs);
    });
};

/**
 * Tells whether any pool is short of room for what accounts are owed of what runs, waits and is expected.
 *
 * @param world - Pools, hosts and what waits.
 * @param policy - How moves are weighed.
 * @returns True if one is.
 */
export const isAnyPoolShort = (
  world: PoolWorld,
  policy: PoolPolicy = DEFAULT_POOL_POLICY,
): boolean => needsOfPools(world, policy).some(({ owedShortCpu }) => owedShortCpu > 0);

/**
 * Tells whether a host may be moved now.
 *
 * @param world - Which hosts are busy.
 * @param host - The host.
 * @returns True if it is up and nothing else was ordered for it.
 */
export const isFree = ({ busyHosts }: PoolWorld, host: HostView): boolean =>
  host.state === 'up' && !busyHosts.has(host.hostId);

/** What a claim on hosts is for: work that accounts are owed, or all work. */
export type ClaimRank = 'owed' | 'all';

/**
 * Tells how short a pool is.
 *
 * @param need - What the pool has and needs.
 * @param rank - What counts.
 * @returns Thousandths of a core; negative for room left over.
 */
export const shortOf = ({ shortCpu, owedShortCpu }: PoolNeed, rank: ClaimRank): number =>
  rank === 'owed' ? owedShortCpu : shortCpu;

/**
 * Counts how many hosts a pool can do without.
 *
 * @param need - What the pool has and needs.
 * @param policy - How moves are weighed.
 * @param rank - The claim that the hosts are for.
 * @returns The number of hosts.
 */
export const surplusHosts = (
  need: PoolNeed,
  { minHosts }: PoolPolicy,
  rank: ClaimRank = 'all',
): number => {
  const { hosts, hostCpu } = need;
  const left = Math.floor(-shortOf(need, rank) / hostCpu);
  return Math.max(0, Math.min(hosts.length - minHosts, left));
};

/**
 * Orders pools that are short of room: what is more urgent first, then what is shorter.
 *
 * @param rank - What counts.
 * @returns A comparison, below 0 if the left one goes first.
 */
export const byClaim =
  (rank: ClaimRank) =>
  (left: PoolNeed, right: PoolNeed): number =>
    (left.priority === right.priority ? 0 : left.priority - right.priority) ||
    shortOf(right, rank) - shortOf(left, rank);
