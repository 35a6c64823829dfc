/**
 * Predicts demand peaks that rotate over the pools: when peaks of different pools have begun at regular intervals, the
 * next one is predicted. A host needs about 2 s to move to another pool. If the scheduler only reacted to a rise, short
 * tasks whose latency objective leaves one second of slack would be late for that long after each rise.
 */
import type { PoolName } from '../../shared/ids.js';

/** The pool and the time at which a peak began. */
export type PeakOnset = { readonly pool: PoolName; readonly atMs: number };

/** The history of observed demand peaks. */
export type DemandPeakHistory = {
  /** The latest onsets, oldest first. */
  onsets: readonly PeakOnset[];
  /** The highest demand that each pool has had during a peak, in cores. */
  readonly peakCores: Map<PoolName, number>;
  /** When each pool's demand was last at peak level. */
  readonly lastAtPeakMs: Map<PoolName, number>;
};

/** A peak has ended once the pool's demand has been below peak level for this time. */
const PEAK_ENDS_AFTER_MS = 3000;
/** Intervals between onsets are regular if each differs from their mean by at most this share of it. */
const MAX_INTERVAL_DEVIATION = 0.3;
/** The number of latest intervals compared: enough to detect regularity, few enough to follow a change of period. */
const INTERVALS_COMPARED = 2;
/** The number of latest onsets that are kept. */
const MAX_ONSETS = 32;
/**
 * Capacity is held from this time before a predicted onset. The smoothed demand lags by 1.5 s, and a decision, a host
 * move and the endpoint's first report take 2.5 s.
 */
const LEAD_MS = 4000;
/** A predicted peak is dropped if it has not begun this long after its predicted time. */
const GRACE_MS = 2500;
/** A rise below this share of the highest recorded peak comes from a single large job and is not counted as a peak. */
const MIN_PEAK_SHARE = 0.4;

/**
 * Creates an empty peak history.
 *
 * @returns The history.
 */
export const createDemandPeakHistory = (): DemandPeakHistory => ({
  onsets: [],
  peakCores: new Map(),
  lastAtPeakMs: new Map(),
});

/**
 * Records the current demand of a pool and detects the onset of a peak.
 *
 * @param peaks - The peak history, changed in place.
 * @param pool - The pool.
 * @param demand - The pool's smoothed demand, and the least demand that can be a peak, both in cores.
 * @param nowMs - The monotonic time in milliseconds.
 * @returns True if a peak has just begun.
 */
export const observeDemand = (
  peaks: DemandPeakHistory,
  pool: PoolName,
  { cores, minPeakCores }: { readonly cores: number; readonly minPeakCores: number },
  nowMs: number,
): boolean => {
  const { peakCores, lastAtPeakMs } = peaks;
  const seenAtMs = lastAtPeakMs.get(pool) ?? -Infinity;
  const wasHigh = nowMs - seenAtMs < PEAK_ENDS_AFTER_MS;
  const highestCores = Math.max(0, ...peakCores.values());
  if (cores < Math.max(minPeakCores, MIN_PEAK_SHARE * highestCores)) {
    if (!wasHigh) lastAtPeakMs.delete(pool);
    return false;
  }
  lastAtPeakMs.set(pool, nowMs);
  peakCores.set(pool, Math.max(peakCores.get(pool) ?? 0, cores));
  if (wasHigh) return false;
  Object.assign(peaks, { onsets: [...peaks.onsets, { pool, atMs: nowMs }].slice(-MAX_ONSETS) });
  return true;
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);

/** The mean interval between the latest onsets; undefined with fewer than two onsets or irregular intervals. */
const regularIntervalMs = (onsets: readonly PeakOnset[]): number | undefined => {
  const latest = onsets.slice(-INTERVALS_COMPARED - 1);
  const intervals = latest.slice(1).map(({ atMs }, index) => atMs - (latest[index]?.atMs ?? 0));
  const meanMs = mean(intervals);
  const isRegular = intervals.every(
    (one) => Math.abs(one - meanMs) <= MAX_INTERVAL_DEVIATION * meanMs,
  );
  return intervals.length > 0 && isRegular ? meanMs : undefined;
};

/** The pools that peak next: those that have not peaked yet or, if all have, the one whose last peak is oldest. */
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
 * Predicts the next peak.
 *
 * @param peaks - The peak history.
 * @param pools - The pools in use.
 * @param nowMs - The monotonic time in milliseconds.
 * @returns The cores to hold now for each pool whose peak is due; empty if no peak is due.
 */
export const predictPeakCores = (
  { onsets, peakCores }: DemandPeakHistory,
  pools: readonly PoolName[],
  nowMs: number,
): ReadonlyMap<PoolName, number> => {
  const intervalMs = regularIntervalMs(onsets);
  const last = onsets.at(-1);
  if (intervalMs === undefined || !last) return new Map();
  const expectedAtMs = last.atMs + intervalMs;
  const isNear = nowMs >= expectedAtMs - LEAD_MS && nowMs <= expectedAtMs + GRACE_MS;
  if (!isNear) return new Map();
  const next = nextPools(
    onsets,
    pools.filter((pool) => pool !== last.pool),
  );
  const meanPeakCores = mean(Array.from(peakCores.values()));
  return new Map(
    next.map((pool) => [pool, (peakCores.get(pool) ?? meanPeakCores) / next.length] as const),
  );
};
