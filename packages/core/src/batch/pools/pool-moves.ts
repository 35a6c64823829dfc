/**
 * Plans which hosts move between pools so that pool sizes follow demand. A pool that lacks capacity gets hosts of the
 * spare pool first, then empty hosts of pools that do not need them.
 */
import type { EndpointId, HostId, PoolName } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { isRankedWithinShare } from '../accounts/shares.js';
import { forecastCores } from './demand.js';
import type { ListedHost } from './listed-hosts.js';
import {
  adjustCounts,
  countHostsByDomain,
  chooseHostsToLeave,
  chooseHostToJoin,
  type DomainCounts,
} from './pool-domains.js';
import {
  compareByShortfall,
  DEFAULT_POOL_POLICY,
  isHostMovable,
  computePoolNeeds,
  shortfallCpuOf,
  countSurplusHosts,
  type WorkScope,
  type PoolNeed,
  type PoolMovePolicy,
  type PoolPlanInput,
} from './pool-needs.js';
import { poolOf, type EndpointState } from '../model/state.js';

/** A planned move of a host to another pool. */
export type PoolMove = {
  readonly hostId: HostId;
  readonly fromPool: PoolName;
  readonly toPool: PoolName;
  readonly reason: string;
};

const freeHostsOn = (
  world: PoolPlanInput,
  endpoints: readonly EndpointState[],
): readonly ListedHost[] =>
  endpoints
    .flatMap(({ hostId }) => (hostId && world.hosts.get(hostId)) ?? [])
    .filter((host) => isHostMovable(world, host));

const spareHosts = (world: PoolPlanInput): readonly ListedHost[] =>
  world.pools
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ name }) =>
      Array.from(world.hosts.values()).filter(
        (host) =>
          host.pool === name &&
          isHostMovable(world, host) &&
          !world.state.evacuatedDataCentres.has(host.dataCentre),
      ),
    );

/** Chooses, of the given hosts, as many as the pool has in surplus, from the domains in which it has most. */
const chooseSurplusHosts = (
  need: PoolNeed,
  hosts: readonly ListedHost[],
  policy: PoolMovePolicy,
  rank: WorkScope = 'all',
): readonly ListedHost[] =>
  chooseHostsToLeave(hosts, countSurplusHosts(need, policy, rank), countHostsByDomain(need.hosts));

/**
 * Empty hosts that a pool can release to other pools. A reclaimed host is released without waiting for
 * `releaseAfterMs`, because it was emptied for another pool.
 */
const releasableHosts = (
  world: PoolPlanInput,
  need: PoolNeed,
  policy: PoolMovePolicy,
  rank: WorkScope,
): readonly ListedHost[] => {
  const idle = need.emptyEndpoints.filter(
    ({ endpointId, idleSinceMs }) =>
      world.state.reclaimedEndpoints.has(endpointId) ||
      world.nowMs - idleSinceMs >= policy.releaseAfterMs,
  );
  return chooseSurplusHosts(need, freeHostsOn(world, idle), policy, rank);
};

/** Demand is rising if the fast rate exceeds the slow one by more than this factor. */
const RISING_RATIO = 1.1;

/**
 * Tells whether there has been demand and it is not rising. Before the first work arrives, it is unknown which pool
 * will have the next peak; while demand rises, a parked host would have to be brought back.
 */
const isDemandSteady = ({ state, nowMs }: PoolPlanInput): boolean => {
  const rates = Array.from(state.pools.values(), ({ demand }) => demand.rates(nowMs));
  const expected = rates.reduce((total, one) => total + forecastCores(one), 0);
  return (
    expected > 0 && rates.every(({ fastCores, slowCores }) => fastCores <= slowCores * RISING_RATIO)
  );
};

/** Plans the parking of surplus hosts, that is their move to the spare pool, whose hosts are switched off. */
const planParkings = (
  world: PoolPlanInput,
  needs: readonly PoolNeed[],
  policy: PoolMovePolicy,
): readonly PoolMove[] => {
  const spare = world.pools.find(({ isSpare }) => isSpare);
  if (!spare || !isDemandSteady(world)) return [];
  return needs
    .filter(({ shortfallCpu }) => shortfallCpu < 0)
    .flatMap((need) => {
      const idle = need.emptyEndpoints.filter(
        ({ idleSinceMs }) => world.nowMs - idleSinceMs >= policy.parkAfterMs,
      );
      return chooseSurplusHosts(need, freeHostsOn(world, idle), policy).map(({ hostId }) => ({
        hostId,
        fromPool: need.name,
        toPool: spare.name,
        reason: `empty for ${policy.parkAfterMs} ms, and pool=${need.name} is not expected to need it`,
      }));
    });
};

/** Plans the parking of empty hosts in evacuated data centres. No task can start there, so demand does not matter. */
const planEvacuatedParkings = (
  world: PoolPlanInput,
  needs: readonly PoolNeed[],
  { parkAfterMs }: PoolMovePolicy,
): readonly PoolMove[] => {
  const spare = world.pools.find(({ isSpare }) => isSpare);
  if (!spare) return [];
  return needs.flatMap(({ name, emptyEvacuatedEndpoints }) => {
    const idle = emptyEvacuatedEndpoints.filter(
      ({ idleSinceMs }) => world.nowMs - idleSinceMs >= parkAfterMs,
    );
    return freeHostsOn(world, idle).map(({ hostId, dataCentre }) => ({
      hostId,
      fromPool: name,
      toPool: spare.name,
      reason: `empty for ${parkAfterMs} ms in data centre ${dataCentre}, which is evacuated`,
    }));
  });
};

/** The hosts allocated to pools that lack capacity, and the capacity that is still missing afterwards. */
type Allocation = {
  readonly moves: readonly PoolMove[];
  readonly missingCpu: number;
};

const MOVE_REASONS: Readonly<Record<WorkScope, string>> = {
  'within-share': 'counting running, waiting and forecast work',
  all: "counting work beyond the accounts' shares",
};

/** The claim of a pool on hosts: what it lacked at first, and what it still lacks. */
type HostClaim = {
  readonly need: PoolNeed;
  readonly shortfallCpu: number;
  missingCpu: number;
  /** The pool's hosts by domain, including those allocated to it so far. */
  readonly counts: DomainCounts;
};

/** The available hosts of the first pool, other than the named one, that has any. The spare pool comes first. */
const hostsOfFirstPool = (free: ReadonlySet<ListedHost>, name: PoolName): readonly ListedHost[] => {
  const others = Array.from(free).filter(({ pool }) => pool !== name);
  return others.filter(({ pool }) => pool === others[0]?.pool);
};

/**
 * Allocates one of the free hosts to a claim, changing both in place; undefined if there is none or if the missing
 * capacity is not worth a host.
 */
const allocateHost = (
  free: Set<ListedHost>,
  claim: HostClaim,
  { minShortfallShare }: PoolMovePolicy,
  rank: WorkScope,
): PoolMove | undefined => {
  const { name } = claim.need;
  const host = chooseHostToJoin(hostsOfFirstPool(free, name), claim.counts);
  if (!host || claim.missingCpu <= minShortfallShare * host.capacity.cpuMillis) return undefined;
  free.delete(host);
  adjustCounts(claim.counts, host, 1);
  change(claim, { missingCpu: claim.missingCpu - host.capacity.cpuMillis });
  const shortfallCores = Math.round(claim.shortfallCpu / 1000);
  return {
    hostId: host.hostId,
    fromPool: host.pool,
    toPool: name,
    reason: `pool=${name} is short of ${shortfallCores} cores, ${MOVE_REASONS[rank]}`,
  };
};

/** Meets claims by calling `allocate`, which allocates one host to a claim. */
type AllocationStrategy = (
  claims: readonly HostClaim[],
  allocate: (claim: HostClaim) => PoolMove | undefined,
) => readonly PoolMove[];

const collectMoves = (allocate: () => PoolMove | undefined): readonly PoolMove[] => {
  const moves: PoolMove[] = [];
  for (let move = allocate(); move; move = allocate()) moves.push(move);
  return moves;
};

/**
 * How the claims of each rank are met. Claims for work within the accounts' shares are met completely, one after the
 * other, the most urgent first. For the remaining work, pools get one host each in turn: if the largest claim were met
 * first, all hosts would go to the client account that submits most.
 */
const ALLOCATION_STRATEGIES: Readonly<Record<WorkScope, AllocationStrategy>> = {
  'within-share': (claims, allocate) =>
    claims.flatMap((claim) => collectMoves(() => allocate(claim))),
  all: (claims, allocate) => {
    const moves: PoolMove[] = [];
    for (;;) {
      const round = claims.flatMap((claim) => allocate(claim) ?? []);
      if (round.length === 0) return moves;
      moves.push(...round);
    }
  },
};

/** Allocates hosts to the claims of one rank, in addition to the moves planned for an earlier rank. */
const allocateHosts = (
  world: PoolPlanInput,
  needs: readonly PoolNeed[],
  policy: PoolMovePolicy,
  { rank, earlierMoves }: { readonly rank: WorkScope; readonly earlierMoves: readonly PoolMove[] },
): Allocation => {
  const alreadyMoved = new Set(earlierMoves.map(({ hostId }) => hostId));
  const free = new Set(
    [
      ...spareHosts(world),
      ...needs.flatMap((need) => releasableHosts(world, need, policy, rank)),
    ].filter(({ hostId }) => !alreadyMoved.has(hostId)),
  );
  const cpuOfEarlierMoves = (pool: PoolName): number =>
    earlierMoves
      .filter(({ toPool }) => toPool === pool)
      .reduce((sum, { hostId }) => sum + (world.hosts.get(hostId)?.capacity.cpuMillis ?? 0), 0);
  const claims = needs
    .filter((need) => shortfallCpuOf(need, rank) > 0)
    .sort(compareByShortfall(rank))
    .map((need): HostClaim => {
      const shortfallCpu = shortfallCpuOf(need, rank) - cpuOfEarlierMoves(need.name);
      return {
        need,
        shortfallCpu,
        missingCpu: shortfallCpu,
        counts: countHostsByDomain(need.hosts),
      };
    });
  const moves = ALLOCATION_STRATEGIES[rank](claims, (claim) =>
    allocateHost(free, claim, policy, rank),
  );
  const missing = claims.map(({ missingCpu }) => Math.max(0, missingCpu));
  return { moves, missingCpu: missing.reduce((sum, one) => sum + one, 0) };
};

/**
 * Plans which hosts change their pool now. Work within the accounts' shares gets hosts before work beyond them.
 *
 * @param world - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 * @returns The moves.
 */
export const planMoves = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(world, policy),
): readonly PoolMove[] => {
  const withinShareMoves = allocateHosts(world, needs, policy, {
    rank: 'within-share',
    earlierMoves: [],
  }).moves;
  const otherMoves = allocateHosts(world, needs, policy, {
    rank: 'all',
    earlierMoves: withinShareMoves,
  }).moves;
  const demandMoves = [...withinShareMoves, ...otherMoves];
  return [
    ...(demandMoves.length > 0 ? demandMoves : planParkings(world, needs, policy)),
    ...planEvacuatedParkings(world, needs, policy),
  ];
};

/**
 * Records for each pool what capacity it could get, which the completion forecast of jobs uses. A free host counts for
 * every other pool, because it is decided only later which pool gets it.
 *
 * @param world - The pools, hosts and batch state; the pools' forecasts are changed in place.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 */
export const updatePoolForecasts = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(world, policy),
): void => {
  const { state } = world;
  const free = [
    ...spareHosts(world),
    ...needs.flatMap((need) => releasableHosts(world, need, policy, 'all')),
  ];
  needs.forEach(({ name, joiningCpu }) => {
    const freeCpu = free
      .filter(({ pool }) => pool !== name)
      .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    const reclaimedCpu = Array.from(state.endpoints.values())
      .filter(({ endpointId, pool }) => pool !== name && state.reclaimedEndpoints.has(endpointId))
      .reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    change(poolOf(state, name), { forecast: { joiningCpu, freeCpu, reclaimedCpu } });
  });
};

/** Tells whether an endpoint runs no long-running task and no work within an account's share. */
const runsOnlyReclaimableWork = ({ runs }: EndpointState, nowMs: number): boolean =>
  Array.from(runs.values()).every(
    ({ step }) => !step.spec.isLasting && !isRankedWithinShare(step.job, nowMs),
  );

/**
 * Endpoints that a pool does not need for work within the accounts' shares: those already reclaimed first, then the
 * others by used CPU, the least used first.
 */
const reclaimableEndpoints = (
  { state, nowMs }: PoolPlanInput,
  need: PoolNeed,
  policy: PoolMovePolicy,
): readonly EndpointState[] => {
  const order = ({ endpointId, used }: EndpointState): number =>
    state.reclaimedEndpoints.has(endpointId) ? -1 : used.cpuMillis;
  return need.endpoints
    .filter((endpoint) => endpoint.hostId !== null && runsOnlyReclaimableWork(endpoint, nowMs))
    .sort((left, right) => order(left) - order(right))
    .slice(0, countSurplusHosts(need, policy, 'within-share'));
};

/**
 * Decides which endpoints are reclaimed: they take no further work beyond the accounts' shares, so that their hosts
 * become free. As many are reclaimed as other pools lack for work within the accounts' shares. Running tasks are not
 * stopped.
 *
 * @param world - The pools, hosts and batch state.
 * @param policy - The policy for pool moves.
 * @param needs - The needs of the pools; computed if omitted.
 * @returns The endpoints; empty if no account has a weight.
 */
export const planReclaims = (
  world: PoolPlanInput,
  policy: PoolMovePolicy = DEFAULT_POOL_POLICY,
  needs: readonly PoolNeed[] = computePoolNeeds(world, policy),
): ReadonlySet<EndpointId> => {
  if (
    needs.every(
      ({ shortfallCpu, withinShareShortfallCpu }) => shortfallCpu === withinShareShortfallCpu,
    )
  )
    return new Set();
  let { missingCpu: missing } = allocateHosts(world, needs, policy, {
    rank: 'within-share',
    earlierMoves: [],
  });
  const reclaimed = needs
    .flatMap((need) => reclaimableEndpoints(world, need, policy))
    .filter(({ capacity }) => {
      if (missing <= policy.minShortfallShare * capacity.cpuMillis) return false;
      missing -= capacity.cpuMillis;
      return true;
    });
  return new Set(reclaimed.map(({ endpointId }) => endpointId));
};
