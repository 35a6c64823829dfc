/**
 * When a job that comes now would be done: by the work before it, the room that its pool has and gets, and how long its
 * own steps take. Work is in core-milliseconds, room in cores.
 */

/** Room that a pool gets in some time. */
export type ComingRoom = { readonly cores: number; readonly inMs: number };

/** What a job meets in its pool. */
export type JobOutlook = {
  /** Work that waits and goes before the job. */
  readonly waitingCoreMs: number;
  /** Cores that tasks like the job's can use. */
  readonly roomCores: number;
  readonly coming: readonly ComingRoom[];
  /** Cores that are kept busy by what arrives later and still goes before the job. */
  readonly overtakenByCores: number;
  /** The job's own work. */
  readonly ownCoreMs: number;
  /** The longest chain of its steps. */
  readonly chainMs: number;
};

/** When a job would begin and end, from now; Infinity where its pool has no room for it. */
export type Forecast = {
  /** When what waits before the job has begun: room comes free all the time as what runs ends. */
  readonly backlogMs: number;
  readonly doneMs: number;
};

/** What arrives later never takes more than this share of the room: some of a backlog goes on being served. */
const MOST_OVERTAKEN_SHARE = 0.9;

/** How long some work takes in room that grows. */
const timeFor = (
  coreMs: number,
  { roomCores, coming, overtakenByCores }: Omit<JobOutlook, 'ownCoreMs' | 'chainMs'>,
): number => {
  if (coreMs <= 0) return 0;
  const steps = [...coming].sort((left, right) => left.inMs - right.inMs);
  let leftCoreMs = coreMs;
  let cores = roomCores;
  let atMs = 0;
  const speed = (): number =>
    Math.max(cores * (1 - MOST_OVERTAKEN_SHARE), cores - overtakenByCores);
  for (let index = 0; index < steps.length; index += 1) {
    const { cores: more, inMs } = steps[index] as ComingRoom;
    const doneCoreMs = (inMs - atMs) * speed();
    if (doneCoreMs >= leftCoreMs) break;
    leftCoreMs -= doneCoreMs;
    atMs = inMs;
    cores += more;
  }
  return cores > 0 ? atMs + leftCoreMs / speed() : Infinity;
};

/**
 * Forecasts when a job would be done.
 *
 * @param outlook - What it meets.
 * @returns The times from now, in milliseconds.
 */
export const forecastJob = (outlook: JobOutlook): Forecast => {
  const { waitingCoreMs, ownCoreMs, chainMs } = outlook;
  const backlogMs = timeFor(waitingCoreMs, outlook);
  const doneMs = Math.max(timeFor(waitingCoreMs + ownCoreMs, outlook), backlogMs + chainMs);
  return { backlogMs, doneMs };
};
