/** Observes the demand of the pools to detect when peaks begin. */
import type { PoolName } from '../../shared/ids.js';
import { poolOf } from '../model/state.js';
import { observeDemand } from './demand-peaks.js';
import type { PoolPlanInput } from './pool-needs.js';
import { DEFAULT_POOL_POLICY, type PoolMovePolicy } from './pool-policy.js';

/**
 * Records the demand of all pools in the peak history, to detect when peaks begin. Only demand that needs more than a
 * pool's minimum number of hosts counts as a peak.
 *
 * @param input - The pools, hosts and batch state; the state's peak history is changed in place.
 * @param policy - The policy for pool moves.
 * @returns The pools whose peak has just begun.
 */
export const observePeaks = (
  { state, pools, hosts, nowMs }: PoolPlanInput,
  { minHosts, headroom }: PoolMovePolicy = DEFAULT_POOL_POLICY,
): readonly PoolName[] => {
  const inUse = pools.filter(({ isSpare }) => !isSpare);
  const sizes = Array.from(hosts.values(), ({ capacity }) => capacity.cpuMillis);
  const hostCores = sizes.reduce((total, one) => total + one, 0) / Math.max(1, sizes.length) / 1000;
  const minPeakCores = (minHosts * hostCores) / headroom;
  return inUse
    .map(({ name }) => name)
    .filter((name) => {
      const { slowCores } = poolOf(state, name).demand.withinShareRates(nowMs);
      return observeDemand(state.peaks, name, { cores: slowCores, minPeakCores }, nowMs);
    });
};
