/**
 * Plans backwards from the deadline of a maintenance wave when its hosts must start at the latest. For hosts with tasks
 * of a long-running step, this follows from the number of hosts with its tasks and its disruption budget; for the
 * others, from the maximum number of hosts that may be down at the same time.
 */
import type { StepRun } from '../model/state.js';
import type { MaintenanceWave, WaveForecast } from './wave-progress.js';

/** Short tasks on a draining host get this long to end; after that, the host is taken down anyway. */
export const MAX_DRAIN_MS = 3000;

/**
 * Planned time per round, in which as many hosts go down as the wave's maximum allows. A host drains for up to 3 s and is
 * down for 2 s, and its long-running tasks take one more second to become available again.
 */
const ROUND_MS = 4000;
/** Time from the order that stops a long-running task to the answer that shows it available again. */
const TASK_RESTART_MS = 1000;
/**
 * Time from one host with tasks of a step to the next one on busy hosts if no task is moved first. In the simulated
 * fleet, 12 of 12 hosts took 25.7 s with a disruption budget of one task, and 15 s with a budget of two.
 */
const TURN_MS = 2500;
/**
 * Shortest time between two tasks of a step with a disruption budget of one. In an idle pool of the simulated fleet,
 * where a task takes 1 s to become available, 12 of 12 hosts took 16.7 s.
 */
const MIN_TURN_MS = 1400;
/**
 * Time reserved before the deadline for a change of the control holder and an outage of 4 s. With 9 s, 3 to 5 of 22
 * hosts were late on a day with both.
 */
const RESERVE_MS = 12_000;

/** A host that has not yet been ordered down. */
export type PlannedHost = {
  /** The long-running steps with a disruption budget that have tasks on it. */
  readonly longRunningSteps: ReadonlySet<StepRun>;
};

/** The latest times at which the hosts of a wave must start, in ms of the monotonic clock. */
export type WavePlan = {
  /** For hosts without long-running tasks. */
  readonly latestStartMs: number;
  /** For hosts with tasks of a long-running step, by step; never later than `latestStartMs`. */
  readonly latestStartByStep: ReadonlyMap<StepRun, number>;
  /** Steps whose hosts would miss the deadline if each went down with its tasks instead of having them moved. */
  readonly tightSteps: ReadonlySet<StepRun>;
  readonly forecast: WaveForecast;
};

const deadlineOf = ({ firstSeenAtMs, request }: MaintenanceWave): number =>
  firstSeenAtMs + request.withinMs;

const countByStep = (hosts: readonly PlannedHost[]): ReadonlyMap<StepRun, number> => {
  const counts = new Map<StepRun, number>();
  hosts.forEach(({ longRunningSteps }) =>
    longRunningSteps.forEach((step) => counts.set(step, (counts.get(step) ?? 0) + 1)),
  );
  return counts;
};

/** Returns how long the hosts of a step take in total if its disruption budget limits how many go down per turn. */
const stepDurationMs = ({ spec }: StepRun, hostCount: number, turnMs: number): number =>
  Math.ceil(hostCount / spec.mayMiss) * turnMs;

const createForecast = (lateHosts: number, reason: string): WaveForecast =>
  lateHosts > 0 ? { lateHosts, reason } : { lateHosts: 0, reason: '' };

/**
 * Lists forecasts of how many hosts cannot be back in time even if nothing else delays them: overall, then by step.
 */
const forecastLateHosts = (
  wave: MaintenanceWave,
  hosts: readonly PlannedHost[],
  downMs: number,
  nowMs: number,
): readonly WaveForecast[] => {
  const { maximum } = wave.request;
  const leftMs = Math.max(0, deadlineOf(wave) - nowMs);
  const hostsInTime = Math.floor(leftMs / downMs) * maximum;
  const overall = createForecast(
    hosts.length - hostsInTime,
    `${hosts.length} hosts are left, ${maximum} may be down at once, and ${Math.round(leftMs)} ms are left`,
  );
  const steps = Array.from(countByStep(hosts), ([step, count]) => {
    const { jobId, queue } = step.job.job;
    const turns = leftMs < downMs ? 0 : 1 + Math.floor((leftMs - downMs) / MIN_TURN_MS);
    return createForecast(
      count - turns * step.spec.mayMiss,
      `queue=${queue} job=${jobId}: ${count} hosts have tasks of it, ${step.spec.mayMiss} may be missed, and ${Math.round(leftMs)} ms are left`,
    );
  });
  return [overall, ...steps];
};

/**
 * Plans a wave backwards from its deadline.
 *
 * @param wave - The wave.
 * @param hosts - Its hosts that have not yet been ordered down.
 * @param downMs - How long a host is down, in ms.
 * @param nowMs - The current time.
 * @returns The latest start times, and a forecast of whether the wave can finish in time.
 */
export const planWave = (
  wave: MaintenanceWave,
  hosts: readonly PlannedHost[],
  downMs: number,
  nowMs: number,
): WavePlan => {
  const endMs = deadlineOf(wave) - RESERVE_MS;
  const latestStartMs = endMs - Math.ceil(hosts.length / wave.request.maximum) * ROUND_MS;
  const counts = Array.from(countByStep(hosts));
  const maxTurnMs = MAX_DRAIN_MS + downMs + TASK_RESTART_MS;
  const latestStartByStep = new Map(
    counts.map(([step, count]) => [
      step,
      Math.min(latestStartMs, endMs - stepDurationMs(step, count, maxTurnMs)),
    ]),
  );
  const tightSteps = new Set(
    counts
      .filter(([step, count]) => nowMs + stepDurationMs(step, count, TURN_MS) > endMs)
      .map(([step]) => step),
  );
  const worst = forecastLateHosts(wave, hosts, downMs, nowMs).reduce((one, other) =>
    other.lateHosts > one.lateHosts ? other : one,
  );
  return { latestStartMs, latestStartByStep, tightSteps, forecast: worst };
};

/**
 * Returns the latest time at which a host must start draining.
 *
 * @param plan - The plan.
 * @param host - The host.
 * @returns The earliest of the times of its long-running steps, or the time for hosts without any.
 */
export const latestStartOf = (
  { latestStartMs, latestStartByStep }: WavePlan,
  host: PlannedHost,
): number =>
  Math.min(
    latestStartMs,
    ...Array.from(host.longRunningSteps, (step) => latestStartByStep.get(step) ?? Infinity),
  );
