/** The capacity that each pool has, and what it needs for running, waiting and forecast work. */
import type { HostId, PoolName } from '../../shared/ids.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { forecastCores, type DemandRates } from './demand.js';
import { predictPeakCores } from './demand-peaks.js';
import type { ListedHost, DeclaredPool } from './listed-hosts.js';
import { DEFAULT_POOL_POLICY, type PoolMovePolicy } from './pool-policy.js';
import { hasAnswered } from '../endpoints/listing-status.js';
import { isEmpty } from '../endpoints/orphan-runs.js';
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

/** The hosts of a pool that are not down and not in an evacuated data centre. */
const availableHostsOf = ({ state, hosts }: PoolPlanInput, name: PoolName): readonly ListedHost[] =>
  Array.from(hosts.values()).filter(
    (host) =>
      host.pool === name &&
      host.state !== 'down' &&
      !state.evacuatedDataCentres.has(host.dataCentre),
  );

/** The endpoints of a pool that are in evacuated data centres and run nothing. */
const emptyEvacuatedEndpointsOf = (
  { endpoints, evacuatedDataCentres }: BatchState,
  name: PoolName,
): readonly EndpointState[] =>
  Array.from(endpoints.values()).filter(
    (endpoint) =>
      endpoint.pool === name &&
      evacuatedDataCentres.has(endpoint.dataCentre) &&
      !endpoint.isCordoned &&
      isEmpty(endpoint),
  );

const needOf = (
  input: PoolPlanInput,
  { name }: DeclaredPool,
  { headroom }: PoolMovePolicy,
  peakCores: number,
): PoolNeed => {
  const { state, nowMs } = input;
  const poolHosts = availableHostsOf(input, name);
  const endpoints = Array.from(state.endpoints.values()).filter(
    (endpoint) => endpoint.pool === name && isSchedulable(state, endpoint, nowMs),
  );
  const joiningHosts = poolHosts.filter(({ instanceId }) => {
    const endpoint = instanceId ? state.currentIncarnations.get(instanceId) : undefined;
    return !endpoint || !hasAnswered(endpoint);
  });
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
    emptyEndpoints: endpoints.filter((endpoint) => endpoint.hostId !== null && isEmpty(endpoint)),
    emptyEvacuatedEndpoints: emptyEvacuatedEndpointsOf(state, name),
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
 * @param input - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @returns The needs.
 */
export const computePoolNeeds = (
  input: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
): readonly PoolNeed[] => {
  const inUse = input.pools.filter(({ isSpare }) => !isSpare);
  const names = inUse.map(({ name }) => name);
  const expected = policy.predictsPeaks
    ? predictPeakCores(input.state.peaks, names, input.nowMs)
    : new Map<PoolName, number>();
  return inUse.map((pool) => needOf(input, pool, policy, expected.get(pool.name) ?? 0));
};

/**
 * Tells whether any pool lacks capacity for the running, waiting and forecast work within the accounts' shares.
 *
 * @param input - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @returns True if at least one pool does.
 */
export const isAnyPoolShort = (
  input: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
): boolean =>
  computePoolNeeds(input, policy).some(
    ({ withinShareShortfallCpu }) => withinShareShortfallCpu > 0,
  );
