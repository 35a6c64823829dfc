/**
 * Demand that peaks by turns: when one pool's peak follows another's at even distances, the next one
 * is expected. A host needs some 2 s to serve another pool, and quick work whose objective leaves a
 * second of slack is late for as long after each rise that only was reacted to.
 */
import type { PoolName } from '../../shared/ids.js';

/** The beginning of a peak. */
export type PeakOnset = { readonly pool: PoolName; readonly atMs: number };

/** What was seen of peaks. */
export type DemandPeaks = {
  /** The latest onsets, the oldest first. */
  onsets: readonly PeakOnset[];
  /** The highest demand of each pool in a peak, in cores. */
  readonly heights: Map<PoolName, number>;
  /** Pools in a peak, with when they were last seen in it. */
  readonly high: Map<PoolName, number>;
};

/** A pool is out of its peak once its demand has been low for so long. */
const LOW_FOR_MS = 3000;
/** Distances between onsets may differ by this share of their mean, or they are not even. */
const EVEN_SHARE = 0.3;
/** Distances that are looked at: enough to see that they are even, few enough to follow a change. */
const DISTANCES = 2;
const ONSETS_KEPT = 32;
/**
 * Room is held from this time before an expected onset: the smoothed demand is 1.5 s late, and a
 * decision, a move and a report take 2.5 s.
 */
const LEAD_MS = 4000;
/** A peak that has not come so long after its time is not expected any more. */
const GRACE_MS = 2500;
/** Below this share of the highest demand seen it is one large job that came, not a peak. */
const PEAK_SHARE = 0.4;

/**
 * Builds an empty memory of peaks.
 *
 * @returns The memory.
 */
export const createDemandPeaks = (): DemandPeaks => ({
  onsets: [],
  heights: new Map(),
  high: new Map(),
});

/**
 * Records the demand of a pool.
 *
 * @param peaks - What was seen, changed in place.
 * @param pool - The pool.
 * @param demand - Its smoothed demand, and above which it can be a peak, in cores.
 * @param nowMs - The time.
 * @returns True if a peak has begun.
 */
export const observeDemand = (
  peaks: DemandPeaks,
  pool: PoolName,
  { cores, leastCores }: { readonly cores: number; readonly leastCores: number },
  nowMs: number,
): boolean => {
  const { heights, high } = peaks;
  const seenAtMs = high.get(pool) ?? -Infinity;
  const wasHigh = nowMs - seenAtMs < LOW_FOR_MS;
  const highestCores = Math.max(0, ...heights.values());
  if (cores < Math.max(leastCores, PEAK_SHARE * highestCores)) {
    if (!wasHigh) high.delete(pool);
    return false;
  }
  high.set(pool, nowMs);
  heights.set(pool, Math.max(heights.get(pool) ?? 0, cores));
  if (wasHigh) return false;
  Object.assign(peaks, { onsets: [...peaks.onsets, { pool, atMs: nowMs }].slice(-ONSETS_KEPT) });
  return true;
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);

/** The distance at which onsets follow each other; undefined where they do not do so evenly. */
const evenDistanceMs = (onsets: readonly PeakOnset[]): number | undefined => {
  const latest = onsets.slice(-DISTANCES - 1);
  const distances = latest.slice(1).map(({ atMs }, index) => atMs - (latest[index]?.atMs ?? 0));
  const meanMs = mean(distances);
  const isEven = distances.every((one) => Math.abs(one - meanMs) <= EVEN_SHARE * meanMs);
  return distances.length > 0 && isEven ? meanMs : undefined;
};

/** The pools whose turn it is: those whose last peak is longest ago, all that had none yet. */
const nextPools = (
  onsets: readonly PeakOnset[],
  pools: readonly PoolName[],
): readonly PoolName[] => {
  const lastAtMs = (pool: PoolName): number =>
    onsets.reduce((last, one) => (one.pool === pool ? one.atMs : last), -Infinity);
  const oldestMs = Math.min(...pools.map(lastAtMs));
  return pools.filter((pool) => lastAtMs(pool) === oldestMs);
};

/**
 * Expects the next peak.
 *
 * @param peaks - What was seen of peaks.
 * @param pools - The pools in use.
 * @param nowMs - The time.
 * @returns The cores to hold now for each pool whose peak is near; empty where none is expected.
 */
export const expectPeak = (
  { onsets, heights }: DemandPeaks,
  pools: readonly PoolName[],
  nowMs: number,
): ReadonlyMap<PoolName, number> => {
  const distanceMs = evenDistanceMs(onsets);
  const last = onsets.at(-1);
  if (distanceMs === undefined || !last) return new Map();
  const expectedAtMs = last.atMs + distanceMs;
  const isNear = nowMs >= expectedAtMs - LEAD_MS && nowMs <= expectedAtMs + GRACE_MS;
  if (!isNear) return new Map();
  const next = nextPools(
    onsets,
    pools.filter((pool) => pool !== last.pool),
  );
  const usualCores = mean(Array.from(heights.values()));
  return new Map(
    next.map((pool) => [pool, (heights.get(pool) ?? usualCores) / next.length] as const),
  );
};
