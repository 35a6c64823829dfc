/** The capacity that each pool has, and what it needs for running, waiting and forecast work. */
import type { HostId, PoolName } from '../../shared/ids.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { forecastCores, type DemandRates } from './demand.js';
import { predictPeakCores, observeDemand } from './demand-peaks.js';
import type { ListedHost, DeclaredPool } from './listed-hosts.js';
import { reservedCpu } from '../endpoints/runs.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import { poolOf, type BatchState, type EndpointState, type StepRun } from '../model/state.js';

/** The input from which pool moves are planned. */
export type PoolPlanInput = {
  readonly state: BatchState;
  readonly hosts: ReadonlyMap<HostId, ListedHost>;
  readonly pools: readonly DeclaredPool[];
  /** Hosts that must not be moved now, because they have an order already or are about to go down. */
  readonly busyHosts: ReadonlySet<HostId>;
  readonly nowMs: number;
};

/** The policy for pool moves. */
export type PoolMovePolicy = {
  /** The minimum number of hosts that a pool keeps, for the first jobs of a demand peak. */
  readonly minHosts: number;
  /** How long a host must have been empty before it is released to another pool. */
  readonly releaseAfterMs: number;
  /** How long a host that is not expected to be needed must have been empty before it is parked (switched off). */
  readonly parkAfterMs: number;
  /** The factor by which forecast demand is multiplied to get the capacity that is held for it. */
  readonly headroom: number;
  /** A pool gets another host only if it lacks more than this share of that host's capacity. */
  readonly minShortfallShare: number;
  /** Whether capacity is held for the next peak when peaks follow each other at regular intervals. */
  readonly predictsPeaks: boolean;
};

/**
 * A host in a pool costs 0.078 per second, and work completed in time earns about 1.2 per host and second. Capacity is
 * therefore held generously where work arrives, and not held where none arrives.
 */
export const DEFAULT_POOL_POLICY: PoolMovePolicy = {
  minHosts: 3,
  releaseAfterMs: 300,
  parkAfterMs: 2500,
  headroom: 1.4,
  minShortfallShare: 0.3,
  predictsPeaks: true,
};

/** What a pool has and needs. Fields whose names end in `Cpu` are in thousandths of a core. */
export type PoolNeed = {
  readonly name: PoolName;
  /** The pool's hosts that are not down and not in an evacuated data centre. */
  readonly hosts: readonly ListedHost[];
  /** The capacity of the pool's first host; 1 if it has none. */
  readonly hostCpu: number;
  /** The schedulable endpoints. */
  readonly endpoints: readonly EndpointState[];
  /** Those of `endpoints` that have a host and run nothing. */
  readonly emptyEndpoints: readonly EndpointState[];
  /** Empty endpoints in evacuated data centres. They count neither as capacity nor towards the pool's minimum hosts. */
  readonly emptyEvacuatedEndpoints: readonly EndpointState[];
  /** The capacity of `endpoints`. */
  readonly capacityCpu: number;
  /** The capacity of hosts whose endpoint has not reported yet. */
  readonly joiningCpu: number;
  /** Used by running tasks on `endpoints`. */
  readonly usedCpu: number;
  /** Requested by waiting tasks. */
  readonly waitingCpu: number;
  /** Held for forecast demand, including headroom. */
  readonly forecastCpu: number;
  /**
   * The capacity that is missing for running and waiting work or for forecast demand, whichever needs more; negative
   * for a surplus.
   */
  readonly shortfallCpu: number;
  /** The same for work within the accounts' shares only; equal to `shortfallCpu` if no account has a weight. */
  readonly withinShareShortfallCpu: number;
  /** The capacity that is missing for running and waiting work, without the forecast. */
  readonly currentShortfallCpu: number;
  /** The most urgent priority among tasks that end by themselves; Infinity without any. */
  readonly priority: number;
};

const sum = (values: readonly number[]): number => values.reduce((total, one) => total + one, 0);

/** The missing capacity: `currentShortfallCpu` without forecast demand, `shortfallCpu` with it, as in `PoolNeed`. */
type Shortfall = { readonly currentShortfallCpu: number; readonly shortfallCpu: number };

/** The inputs of a shortfall, in thousandths of a core. */
type CapacityBalance = {
  readonly usedCpu: number;
  readonly waitingCpu: number;
  readonly forecastCpu: number;
  readonly availableCpu: number;
};

const shortfallOf = ({
  usedCpu,
  waitingCpu,
  forecastCpu,
  availableCpu,
}: CapacityBalance): Shortfall => {
  const currentShortfallCpu = usedCpu + waitingCpu - availableCpu;
  return {
    currentShortfallCpu,
    shortfallCpu: Math.max(currentShortfallCpu, forecastCpu - availableCpu),
  };
};

/** The capacity reserved on endpoints by work beyond the accounts' shares. */
const cpuBeyondShares = (endpoints: readonly EndpointState[], nowMs: number): number =>
  sum(
    endpoints.flatMap(({ runs }) =>
      Array.from(runs.values(), ({ step }) =>
        isRankedWithinShare(step.job, nowMs) ? 0 : reservedCpu(step.spec),
      ),
    ),
  );

const waitingCpuOf = (steps: readonly StepRun[]): number =>
  sum(steps.map(({ waiting, spec }) => waiting.length * spec.cpuMillis));

/**
 * The most urgent priority among steps that end by themselves. Long-running tasks occupy their hosts all day and say
 * nothing about a peak.
 */
const mostUrgentPriority = (steps: readonly StepRun[]): number =>
  Math.min(
    ...steps.filter(({ spec }) => !spec.isLasting).map(({ job }) => job.policy.priority),
    Infinity,
  );

const needOf = (
  { state, hosts, nowMs }: PoolPlanInput,
  { name }: DeclaredPool,
  { headroom }: PoolMovePolicy,
  peakCores: number,
): PoolNeed => {
  const poolHosts = Array.from(hosts.values()).filter(
    (host) =>
      host.pool === name &&
      host.state !== 'down' &&
      !state.evacuatedDataCentres.has(host.dataCentre),
  );
  const emptyEvacuatedEndpoints = Array.from(state.endpoints.values()).filter(
    ({ pool: endpointPool, dataCentre, runs, hasReported, isCordoned }) =>
      endpointPool === name &&
      state.evacuatedDataCentres.has(dataCentre) &&
      hasReported &&
      !isCordoned &&
      runs.size === 0,
  );
  const endpoints = Array.from(state.endpoints.values()).filter(
    (endpoint) => endpoint.pool === name && isSchedulable(state, endpoint, nowMs),
  );
  const joiningHosts = poolHosts.filter(
    ({ instanceId }) => !instanceId || !state.currentIncarnations.get(instanceId)?.hasReported,
  );
  const pool = poolOf(state, name);
  const waiting = Array.from(pool.openSteps);
  const running = endpoints.flatMap(({ runs }) => Array.from(runs.values(), ({ step }) => step));
  const capacityCpu = sum(endpoints.map(({ capacity }) => capacity.cpuMillis));
  const joiningCpu = sum(joiningHosts.map(({ capacity }) => capacity.cpuMillis));
  const usedCpu = sum(endpoints.map(({ used }) => used.cpuMillis));
  const waitingCpu = waitingCpuOf(waiting);
  const forecastWithHeadroom = (rates: DemandRates): number =>
    Math.max(forecastCores(rates), peakCores) * 1000 * headroom;
  const forecastCpu = forecastWithHeadroom(pool.demand.rates(nowMs));
  const availableCpu = capacityCpu + joiningCpu;
  const { currentShortfallCpu, shortfallCpu } = shortfallOf({
    usedCpu,
    waitingCpu,
    forecastCpu,
    availableCpu,
  });
  const withinShareShortfall = shortfallOf({
    usedCpu: usedCpu - cpuBeyondShares(endpoints, nowMs),
    waitingCpu: waitingCpuOf(waiting.filter(({ job }) => isRankedWithinShare(job, nowMs))),
    forecastCpu: forecastWithHeadroom(pool.demand.withinShareRates(nowMs)),
    availableCpu,
  });
  return {
    name,
    hosts: poolHosts,
    hostCpu: poolHosts[0]?.capacity.cpuMillis ?? 1,
    endpoints,
    emptyEndpoints: endpoints.filter(({ runs, hostId }) => runs.size === 0 && hostId !== null),
    emptyEvacuatedEndpoints,
    capacityCpu,
    joiningCpu,
    usedCpu,
    waitingCpu,
    forecastCpu,
    shortfallCpu,
    withinShareShortfallCpu: withinShareShortfall.shortfallCpu,
    currentShortfallCpu,
    priority: mostUrgentPriority([...waiting, ...running]),
  };
};

/**
 * Computes what each pool other than a spare pool has and needs.
 *
 * @param world - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @returns The needs.
 */
export const computePoolNeeds = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
): readonly PoolNeed[] => {
  const inUse = world.pools.filter(({ isSpare }) => !isSpare);
  const names = inUse.map(({ name }) => name);
  const expected = policy.predictsPeaks
    ? predictPeakCores(world.state.peaks, names, world.nowMs)
    : new Map<PoolName, number>();
  return inUse.map((pool) => needOf(world, pool, policy, expected.get(pool.name) ?? 0));
};

/**
 * Records the demand of all pools in the peak history, to detect when peaks begin. Only demand that needs more than a
 * pool's minimum number of hosts counts as a peak.
 *
 * @param world - The pools, hosts and batch state; the state's peak history is changed in place.
 * @param policy - The policy for pool moves.
 * @returns The pools whose peak has just begun.
 */
export const observePeaks = (
  { state, pools, hosts, nowMs }: PoolPlanInput,
  { minHosts, headroom }: PoolMovePolicy = DEFAULT_POOL_POLICY,
): readonly PoolName[] => {
  const inUse = pools.filter(({ isSpare }) => !isSpare);
  const sizes = Array.from(hosts.values(), ({ capacity }) => capacity.cpuMillis);
  const hostCores = sum(sizes) / Math.max(1, sizes.length) / 1000;
  const minPeakCores = (minHosts * hostCores) / headroom;
  return inUse
    .map(({ name }) => name)
    .filter((name) => {
      const { slowCores } = poolOf(state, name).demand.withinShareRates(nowMs);
      return observeDemand(state.peaks, name, { cores: slowCores, minPeakCores }, nowMs);
    });
};

/**
 * Tells whether any pool lacks capacity for the running, waiting and forecast work within the accounts' shares.
 *
 * @param world - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @returns True if at least one pool does.
 */
export const isAnyPoolShort = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
): boolean =>
  computePoolNeeds(world, policy).some(
    ({ withinShareShortfallCpu }) => withinShareShortfallCpu > 0,
  );

/**
 * Tells whether a host may be moved now.
 *
 * @param world - The input of the plan; only its `busyHosts` are read.
 * @param host - The host.
 * @returns True if the host is up and is not busy.
 */
export const isHostMovable = ({ busyHosts }: PoolPlanInput, host: ListedHost): boolean =>
  host.state === 'up' && !busyHosts.has(host.hostId);

/** What a claim on hosts is for: `within-share` for work within the accounts' shares, `all` for all work. */
export type WorkScope = 'within-share' | 'all';

/**
 * Gives the capacity that a pool is missing.
 *
 * @param need - What the pool has and needs.
 * @param rank - Which work is counted.
 * @returns The shortfall in thousandths of a core; negative for a surplus.
 */
export const shortfallCpuOf = (
  { shortfallCpu, withinShareShortfallCpu }: PoolNeed,
  rank: WorkScope,
): number => (rank === 'within-share' ? withinShareShortfallCpu : shortfallCpu);

/**
 * Counts how many hosts a pool does not need. It always keeps its minimum number of hosts.
 *
 * @param need - What the pool has and needs.
 * @param policy - The policy for pool moves.
 * @param rank - Which work of the pool is counted.
 * @returns The number of hosts.
 */
export const countSurplusHosts = (
  need: PoolNeed,
  { minHosts }: PoolMovePolicy,
  rank: WorkScope = 'all',
): number => {
  const { hosts, hostCpu } = need;
  const surplus = Math.floor(-shortfallCpuOf(need, rank) / hostCpu);
  return Math.max(0, Math.min(hosts.length - minHosts, surplus));
};

/**
 * Builds a comparison that orders pools lacking capacity: the more urgent priority first, then the larger shortfall.
 *
 * @param rank - Which work is counted.
 * @returns The comparison, below 0 if the left pool comes first.
 */
export const compareByShortfall =
  (rank: WorkScope) =>
  (left: PoolNeed, right: PoolNeed): number =>
    (left.priority === right.priority ? 0 : left.priority - right.priority) ||
    shortfallCpuOf(right, rank) - shortfallCpuOf(left, rank);
