/**
 * Pools follow demand: a pool whose waiting work does not fit gets hosts, first from the spare
 * pool, then empty ones of pools that have no use for them.
 */
import type { HostId, PoolName } from '../shared/ids.js';
import type { HostView, PoolView } from './hosts.js';
import { usableEndpoints } from './schedule.js';
import type { BatchState, EndpointState, StepRun } from './state.js';

/** A host that changes its pool. */
export type PoolMove = {
  readonly hostId: HostId;
  readonly fromPool: PoolName;
  readonly toPool: PoolName;
  readonly reason: string;
};

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
  /** A pool keeps at least so many hosts, for its lasting tasks and the first jobs of a turn. */
  readonly leastHosts: number;
  /** An empty host is given away only after this time. */
  readonly giveAfterMs: number;
  /** An empty host is switched off after this time. */
  readonly parkAfterMs: number;
  /** Of the work that waits, this share is worth a host. */
  readonly backlogShare: number;
};

/** From trials on the bench: hosts following the backlog were worth 0.10 of the day. */
export const DEFAULT_POOL_POLICY: PoolPolicy = {
  leastHosts: 3,
  giveAfterMs: 300,
  parkAfterMs: Infinity,
  backlogShare: 0.5,
};

const waitingCpu = (steps: Iterable<StepRun>): number =>
  Array.from(steps).reduce((sum, { waiting, spec }) => sum + waiting.length * spec.cpuMillis, 0);

type PoolNeed = {
  readonly name: PoolName;
  readonly hosts: readonly HostView[];
  readonly empty: readonly EndpointState[];
  /** Hosts' worth of work that finds no room; negative for room that is left. */
  readonly shortCpu: number;
};

const needOf = ({ state, hosts, nowMs }: PoolWorld, { name }: PoolView): PoolNeed => {
  const inPool = Array.from(hosts.values()).filter(
    (host) => host.pool === name && host.state !== 'down',
  );
  const usable = usableEndpoints(state, name, nowMs);
  const coming = inPool.filter(
    ({ endpointId }) => !endpointId || !state.endpoints.get(endpointId)?.isKnown,
  );
  const freeCpu = usable.reduce(
    (sum, { capacity, used }) => sum + capacity.cpuMillis - used.cpuMillis,
    0,
  );
  const comingCpu = coming.reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
  const open = state.pools.get(name)?.open ?? [];
  return {
    name,
    hosts: inPool,
    empty: usable.filter(({ runs, hostId }) => runs.size === 0 && hostId !== null),
    shortCpu: waitingCpu(open) - freeCpu - comingCpu,
  };
};

const isFree = ({ busyHosts }: PoolWorld, host: HostView): boolean =>
  host.state === 'up' && !busyHosts.has(host.hostId);

/** Hosts that may be given away, the cheapest first. */
const givers = (
  world: PoolWorld,
  needs: readonly PoolNeed[],
  policy: PoolPolicy,
): readonly HostView[] => {
  const spare = world.pools
    .filter(({ isSpare }) => isSpare)
    .flatMap(({ name }) =>
      Array.from(world.hosts.values()).filter((host) => host.pool === name && isFree(world, host)),
    );
  const empty = needs
    .filter(({ shortCpu }) => shortCpu < 0)
    .flatMap(({ hosts, empty: endpoints }) => {
      const most = Math.max(0, hosts.length - policy.leastHosts);
      return endpoints
        .filter(({ idleSinceMs }) => world.nowMs - idleSinceMs >= policy.giveAfterMs)
        .flatMap(({ hostId }) => (hostId && world.hosts.get(hostId)) ?? [])
        .filter((host) => isFree(world, host))
        .slice(0, most);
    });
  return [...spare, ...empty];
};

const parkings = (
  world: PoolWorld,
  needs: readonly PoolNeed[],
  policy: PoolPolicy,
): readonly PoolMove[] => {
  const spare = world.pools.find(({ isSpare }) => isSpare);
  if (!spare) return [];
  return needs
    .filter(({ shortCpu }) => shortCpu < 0)
    .flatMap(({ name, hosts, empty }) =>
      empty
        .filter(({ idleSinceMs }) => world.nowMs - idleSinceMs >= policy.parkAfterMs)
        .flatMap(({ hostId }) => (hostId && world.hosts.get(hostId)) ?? [])
        .filter((host) => isFree(world, host))
        .slice(0, Math.max(0, hosts.length - policy.leastHosts))
        .map(({ hostId }) => ({
          hostId,
          fromPool: name,
          toPool: spare.name,
          reason: `empty for ${policy.parkAfterMs} ms and nothing waits in pool=${name}`,
        })),
    );
};

/**
 * Decides which hosts change their pool now.
 *
 * @param world - Pools, hosts and what waits.
 * @param policy - How moves are weighed.
 * @returns The moves.
 */
export const planMoves = (
  world: PoolWorld,
  policy: PoolPolicy = DEFAULT_POOL_POLICY,
): readonly PoolMove[] => {
  const needs = world.pools.filter(({ isSpare }) => !isSpare).map((pool) => needOf(world, pool));
  const short = needs.filter(({ shortCpu }) => shortCpu > 0);
  if (short.length === 0) return parkings(world, needs, policy);
  const free = [...givers(world, needs, policy)];
  return [...short]
    .sort((left, right) => right.shortCpu - left.shortCpu)
    .flatMap(({ name, shortCpu }) => {
      const moves: PoolMove[] = [];
      let missing = shortCpu;
      while (
        free.length > 0 &&
        missing > policy.backlogShare * (free[0]?.capacity.cpuMillis ?? 0)
      ) {
        const host = free.shift() as HostView;
        missing -= host.capacity.cpuMillis;
        moves.push({
          hostId: host.hostId,
          fromPool: host.pool,
          toPool: name,
          reason: `pool=${name} is short of ${Math.round(shortCpu / 1000)} cores; nothing runs on the host`,
        });
      }
      return moves;
    });
};
