/** Allocates hosts to the pools that lack capacity. */
import { change } from '../../shared/change.js';
import type { HostId, PoolName } from '../../shared/ids.js';
import type { ListedHost } from './listed-hosts.js';
import { releasableHosts, spareHosts } from './movable-hosts.js';
import {
  adjustCounts,
  chooseHostToJoin,
  countHostsByDomain,
  type DomainCounts,
} from './pool-domains.js';
import type { PoolNeed, PoolPlanInput } from './pool-needs.js';
import type { PoolMovePolicy } from './pool-policy.js';
import { compareByShortfall, shortfallCpuOf, type WorkScope } from './pool-shortfall.js';

/** A planned move of a host to another pool. */
export type PoolMove = {
  readonly hostId: HostId;
  readonly fromPool: PoolName;
  readonly toPool: PoolName;
  readonly reason: string;
};

/** The hosts allocated to pools that lack capacity, and the capacity that is still missing afterwards. */
export type Allocation = {
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
  workScope: WorkScope,
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
    reason: `pool=${name} is short of ${shortfallCores} cores, ${MOVE_REASONS[workScope]}`,
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
 * How the claims for each scope of work are met. Claims for work within the accounts' shares are met completely, one
 * after the other, the most urgent first. For the remaining work, pools get one host each in turn: if the largest claim
 * were met first, all hosts would go to the client account that submits most.
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

/** Which work counts as the need, and the moves planned for the work that goes before it. */
export type AllocationScope = {
  readonly workScope: WorkScope;
  readonly earlierMoves: readonly PoolMove[];
};

/**
 * Allocates hosts to the claims for one scope of work, in addition to the moves planned for an earlier one.
 *
 * @param input - The pools, hosts and batch state.
 * @param needs - The needs of the pools.
 * @param policy - The policy for pool moves.
 * @param scope - The scope of work, and the earlier moves.
 * @returns The moves, and the capacity that is still missing.
 */
export const allocateHosts = (
  input: PoolPlanInput,
  needs: readonly PoolNeed[],
  policy: PoolMovePolicy,
  { workScope, earlierMoves }: AllocationScope,
): Allocation => {
  const alreadyMoved = new Set(earlierMoves.map(({ hostId }) => hostId));
  const free = new Set(
    [
      ...spareHosts(input),
      ...needs.flatMap((need) => releasableHosts(input, need, policy, workScope)),
    ].filter(({ hostId }) => !alreadyMoved.has(hostId)),
  );
  const cpuOfEarlierMoves = (pool: PoolName): number =>
    earlierMoves
      .filter(({ toPool }) => toPool === pool)
      .reduce((sum, { hostId }) => sum + (input.hosts.get(hostId)?.capacity.cpuMillis ?? 0), 0);
  const claims = needs
    .filter((need) => shortfallCpuOf(need, workScope) > 0)
    .sort(compareByShortfall(workScope))
    .map((need): HostClaim => {
      const shortfallCpu = shortfallCpuOf(need, workScope) - cpuOfEarlierMoves(need.name);
      return {
        need,
        shortfallCpu,
        missingCpu: shortfallCpu,
        counts: countHostsByDomain(need.hosts),
      };
    });
  const moves = ALLOCATION_STRATEGIES[workScope](claims, (claim) =>
    allocateHost(free, claim, policy, workScope),
  );
  const missing = claims.map(({ missingCpu }) => Math.max(0, missingCpu));
  return { moves, missingCpu: missing.reduce((sum, one) => sum + one, 0) };
};
