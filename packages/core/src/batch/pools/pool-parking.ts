/** Parks surplus hosts in the spare pool, whose hosts are switched off. */
import { forecastCores } from './demand.js';
import type { PoolMove } from './host-allocation.js';
import { chooseSurplusHosts, freeHostsOn } from './movable-hosts.js';
import type { PoolNeed, PoolPlanInput } from './pool-needs.js';
import type { PoolMovePolicy } from './pool-policy.js';

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

/**
 * Plans the parking of surplus hosts.
 *
 * @param input - The pools, hosts and batch state.
 * @param needs - The needs of the pools.
 * @param policy - The policy for pool moves.
 * @returns The moves; none while demand rises.
 */
export const planParkings = (
  input: PoolPlanInput,
  needs: readonly PoolNeed[],
  policy: PoolMovePolicy,
): readonly PoolMove[] => {
  const spare = input.pools.find(({ isSpare }) => isSpare);
  if (!spare || !isDemandSteady(input)) return [];
  return needs
    .filter(({ shortfallCpu }) => shortfallCpu < 0)
    .flatMap((need) => {
      const idle = need.emptyEndpoints.filter(
        ({ idleSinceMs }) => input.nowMs - idleSinceMs >= policy.parkAfterMs,
      );
      return chooseSurplusHosts(need, freeHostsOn(input, idle), policy).map(({ hostId }) => ({
        hostId,
        fromPool: need.name,
        toPool: spare.name,
        reason: `empty for ${policy.parkAfterMs} ms, and pool=${need.name} is not expected to need it`,
      }));
    });
};

/**
 * Plans the parking of empty hosts in evacuated data centres. No task can start there, so demand does not matter.
 *
 * @param input - The pools, hosts and batch state.
 * @param needs - The needs of the pools.
 * @param policy - The policy for pool moves.
 * @returns The moves.
 */
export const planEvacuatedParkings = (
  input: PoolPlanInput,
  needs: readonly PoolNeed[],
  { parkAfterMs }: PoolMovePolicy,
): readonly PoolMove[] => {
  const spare = input.pools.find(({ isSpare }) => isSpare);
  if (!spare) return [];
  return needs.flatMap(({ name, emptyEvacuatedEndpoints }) => {
    const idle = emptyEvacuatedEndpoints.filter(
      ({ idleSinceMs }) => input.nowMs - idleSinceMs >= parkAfterMs,
    );
    return freeHostsOn(input, idle).map(({ hostId, dataCentre }) => ({
      hostId,
      fromPool: name,
      toPool: spare.name,
      reason: `empty for ${parkAfterMs} ms in data centre ${dataCentre}, which is evacuated`,
    }));
  });
};
