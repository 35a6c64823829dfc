/**
 * Forecasts when a job that is submitted now would complete, from the queued work that runs before it, the present and
 * arriving capacity of its pool, and the duration of its own steps. Work is in core-milliseconds, capacity in cores.
 */

/** Capacity that a pool gains after a delay. */
export type ComingRoom = { readonly cores: number; readonly inMs: number };

/** The input of a forecast: the state of the pool as far as it affects the job, and the job's own work. */
export type JobOutlook = {
  /** Queued work that runs before the job. */
  readonly waitingCoreMs: number;
  /** Cores of the pool that tasks of the job's size can use. */
  readonly roomCores: number;
  readonly coming: readonly ComingRoom[];
  /** Cores kept busy by work that arrives later and still runs before the job. */
  readonly overtakenByCores: number;
  /** The work of the job itself. */
  readonly ownCoreMs: number;
  /** The duration of the longest chain of the job's steps. */
  readonly chainMs: number;
};

/** When a job would start and complete, in milliseconds from now; Infinity if its pool has no capacity for it. */
export type Forecast = {
  /** When all work queued before the job has started: capacity is freed continuously as running tasks end. */
  readonly backlogMs: number;
  readonly doneMs: number;
};

/** Later arrivals never take more than this share of the capacity, so that a backlog always makes some progress. */
const MAX_OVERTAKEN_SHARE = 0.9;

/** How long an amount of work takes while the capacity grows; in milliseconds, Infinity without any capacity. */
const processingTimeMs = (
  coreMs: number,
  { roomCores, coming, overtakenByCores }: Omit<JobOutlook, 'ownCoreMs' | 'chainMs'>,
): number => {
  if (coreMs <= 0) return 0;
  const growthSteps = [...coming].sort((left, right) => left.inMs - right.inMs);
  let remainingCoreMs = coreMs;
  let cores = roomCores;
  let atMs = 0;
  const speed = (): number => Math.max(cores * (1 - MAX_OVERTAKEN_SHARE), cores - overtakenByCores);
  for (let index = 0; index < growthSteps.length; index += 1) {
    const { cores: addedCores, inMs } = growthSteps[index] as ComingRoom;
    const doneCoreMs = (inMs - atMs) * speed();
    if (doneCoreMs >= remainingCoreMs) break;
    remainingCoreMs -= doneCoreMs;
    atMs = inMs;
    cores += addedCores;
  }
  return cores > 0 ? atMs + remainingCoreMs / speed() : Infinity;
};

/**
 * Forecasts when a job would start and complete.
 *
 * @param outlook - The state of its pool and its own work.
 * @returns The times from now, in milliseconds.
 */
export const forecastJob = (outlook: JobOutlook): Forecast => {
  const { waitingCoreMs, ownCoreMs, chainMs } = outlook;
  const backlogMs = processingTimeMs(waitingCoreMs, outlook);
  const doneMs = Math.max(
    processingTimeMs(waitingCoreMs + ownCoreMs, outlook),
    backlogMs + chainMs,
  );
  return { backlogMs, doneMs };
};
