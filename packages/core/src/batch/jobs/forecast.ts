/**
 * Forecasts when a job that is submitted now would complete, from the queued work that runs before it, the present and
 * arriving capacity of its pool, how many tasks the holder of control can start, and the duration of the job's own steps.
 * Work is in core-milliseconds, capacity in cores.
 */

/** What the queued work waits for longest: cores of the hosts, or the holder of control, which starts the tasks. */
export type Bottleneck = 'hosts' | 'control';

/** Capacity that a pool gains after a delay. */
export type ArrivingCapacity = { readonly cores: number; readonly delayMs: number };

/** The input of a forecast: the part of the pool's state that affects the job, and the job's own work. */
export type ForecastInput = {
  /** Queued work that runs before the job. */
  readonly queuedAheadCoreMs: number;
  /** Cores of the pool that tasks of the job's size can use. */
  readonly usableCores: number;
  readonly arrivingCapacity: readonly ArrivingCapacity[];
  /** Cores kept busy by work that arrives later and still runs before the job. */
  readonly overtakingCores: number;
  /** Queued tasks that the holder starts before those of the job, of all pools. */
  readonly queuedAheadTasks: number;
  /** How many tasks a second the holder can start; Infinity if nothing limits it. */
  readonly startsPerS: number;
  /** How long the job waits for the holder otherwise: to be written, for answers and reports, and for its end to be written. */
  readonly controlDelayMs: number;
  /** The work of the job itself. */
  readonly jobCoreMs: number;
  readonly jobTasks: number;
  /** The duration of the job's critical path, its longest chain of dependent steps, with the usual delay of reports. */
  readonly criticalPathMs: number;
  /** The work time of that path: its duration without any delay of the holder. */
  readonly criticalWorkMs: number;
};

/** When a job would start and complete, in milliseconds from now; Infinity if its pool has no capacity for it. */
export type Forecast = {
  /** When all work queued before the job has started: capacity is freed continuously as running tasks end. */
  readonly backlogMs: number;
  readonly doneMs: number;
  readonly bottleneck: Bottleneck;
};

/** Later arrivals never take more than this share of the capacity, so that a backlog always makes some progress. */
const MAX_OVERTAKEN_SHARE = 0.9;
const MS_PER_S = 1000;

/** How long an amount of work takes while the capacity grows; in milliseconds, Infinity without any capacity. */
const processingTimeMs = (
  coreMs: number,
  {
    usableCores,
    arrivingCapacity,
    overtakingCores,
  }: Pick<ForecastInput, 'usableCores' | 'arrivingCapacity' | 'overtakingCores'>,
): number => {
  if (coreMs <= 0) return 0;
  const growthSteps = [...arrivingCapacity].sort((left, right) => left.delayMs - right.delayMs);
  let remainingCoreMs = coreMs;
  let cores = usableCores;
  let atMs = 0;
  const speed = (): number => Math.max(cores * (1 - MAX_OVERTAKEN_SHARE), cores - overtakingCores);
  for (let index = 0; index < growthSteps.length; index += 1) {
    const { cores: addedCores, delayMs } = growthSteps[index] as ArrivingCapacity;
    const doneCoreMs = (delayMs - atMs) * speed();
    if (doneCoreMs >= remainingCoreMs) break;
    remainingCoreMs -= doneCoreMs;
    atMs = delayMs;
    cores += addedCores;
  }
  return cores > 0 ? atMs + remainingCoreMs / speed() : Infinity;
};

/** The mean work of the tasks that a forecast is about, in core-milliseconds. */
const meanTaskCoreMs = ({
  queuedAheadCoreMs,
  queuedAheadTasks,
  jobCoreMs,
  jobTasks,
}: ForecastInput): number =>
  (queuedAheadCoreMs + jobCoreMs) / Math.max(1, queuedAheadTasks + jobTasks);

/** How long the holder takes to start a number of tasks; in milliseconds. */
const startingTimeMs = (tasks: number, input: ForecastInput): number => {
  const { startsPerS, overtakingCores } = input;
  if (tasks <= 0 || startsPerS === Infinity) return 0;
  const overtakingPerS = (overtakingCores * MS_PER_S) / Math.max(1, meanTaskCoreMs(input));
  const speedPerS = Math.max(startsPerS * (1 - MAX_OVERTAKEN_SHARE), startsPerS - overtakingPerS);
  return (tasks * MS_PER_S) / speedPerS;
};

/**
 * Forecasts when a job would start and complete.
 *
 * @param input - The state of its pool and of control, and its own work.
 * @returns The times from now, in milliseconds.
 */
export const forecastJob = (input: ForecastInput): Forecast => {
  const { queuedAheadCoreMs, queuedAheadTasks, jobCoreMs, jobTasks } = input;
  const { criticalPathMs, criticalWorkMs, controlDelayMs } = input;
  const hostsMs = processingTimeMs(queuedAheadCoreMs, input);
  const controlMs = startingTimeMs(queuedAheadTasks, input) + controlDelayMs;
  const doneMs = Math.max(
    processingTimeMs(queuedAheadCoreMs + jobCoreMs, input),
    hostsMs + criticalPathMs,
    startingTimeMs(queuedAheadTasks + jobTasks, input),
    controlMs + criticalWorkMs,
  );
  return {
    backlogMs: Math.max(hostsMs, controlMs),
    doneMs,
    bottleneck: controlMs > hostsMs ? 'control' : 'hosts',
  };
};
