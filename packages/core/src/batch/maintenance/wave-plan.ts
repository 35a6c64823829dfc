/**
 * When hosts of a maintenance wave must begin, planned backwards from the wave's end: for each lasting step from how
 * many of its tasks stand on hosts of the wave, and for the others from how many hosts may be down at once.
 */
import type { StepRun } from '../model/state.js';
import type { UpkeepWave, WaveOutlook } from './upkeep-progress.js';

/** Short tasks on a host get this long to end before the host is taken down all the same. */
export const DRAIN_PATIENCE_MS = 3000;

/** A host drains for up to 3 s, is down for 2 s, and its lasting tasks take a second to be back. */
const ROUND_MS = 4000;
/** From the order that ends a lasting task to the answer that shows it at work again. */
const BACK_MS = 1000;
/**
 * From one host with tasks of a step to the next one, where hosts are at work and nothing moves first: 12 of 12 took
 * 25.7 s in the simulated fleet where one may be missed, and 15 s where two may.
 */
const TURN_MS = 2500;
/**
 * The least time between two tasks of a step that may miss one: with an idle pool, 12 of 12 took 16.7 s in the
 * simulated fleet, where a task takes 1 s to be at work.
 */
const SHORTEST_TURN_MS = 1400;
/**
 * Kept for a change of the holder and an outage of 4 s: with 9 s, 3 to 5 of 22 hosts were late on a day
 * with both.
 */
const RESERVE_MS = 12_000;

/** A host that has not been ordered down yet. */
export type PlannedHost = {
  /** The lasting steps with a budget that have tasks on it. */
  readonly lasting: ReadonlySet<StepRun>;
};

/** The latest times at which hosts of a wave must begin. */
export type WavePlan = {
  /** For hosts without lasting tasks. */
  readonly latestMs: number;
  /** For hosts with tasks of a lasting step. */
  readonly latestByStep: ReadonlyMap<StepRun, number>;
  /** Steps whose hosts would take too long if each took its tasks along. */
  readonly tightSteps: ReadonlySet<StepRun>;
  readonly outlook: WaveOutlook;
};

const dueAtMs = ({ seenAtMs, order }: UpkeepWave): number => seenAtMs + order.withinMs;

const countByStep = (hosts: readonly PlannedHost[]): ReadonlyMap<StepRun, number> => {
  const counts = new Map<StepRun, number>();
  hosts.forEach(({ lasting }) =>
    lasting.forEach((step) => counts.set(step, (counts.get(step) ?? 0) + 1)),
  );
  return counts;
};

/** How long the hosts of a step take that go one after the other as its allowance lets them. */
const stepNeedsMs = ({ spec }: StepRun, hostCount: number, turnMs: number): number =>
  Math.ceil(hostCount / spec.mayMiss) * turnMs;

const outlookOf = (lateHosts: number, reason: string): WaveOutlook =>
  lateHosts > 0 ? { lateHosts, reason } : { lateHosts: 0, reason: '' };

/** How many hosts cannot be back in time even if nothing else holds them up. */
const outlooks = (
  wave: UpkeepWave,
  hosts: readonly PlannedHost[],
  downMs: number,
  nowMs: number,
): readonly WaveOutlook[] => {
  const { maximum } = wave.order;
  const leftMs = Math.max(0, dueAtMs(wave) - nowMs);
  const fit = Math.floor(leftMs / downMs) * maximum;
  const overall = outlookOf(
    hosts.length - fit,
    `${hosts.length} hosts are left, ${maximum} may be down at once, and ${Math.round(leftMs)} ms are left`,
  );
  const steps = Array.from(countByStep(hosts), ([step, count]) => {
    const { jobId, queue } = step.job.job;
    const turns = leftMs < downMs ? 0 : 1 + Math.floor((leftMs - downMs) / SHORTEST_TURN_MS);
    return outlookOf(
      count - turns * step.spec.mayMiss,
      `queue=${queue} job=${jobId}: ${count} hosts have tasks of it, ${step.spec.mayMiss} may be missed, and ${Math.round(leftMs)} ms are left`,
    );
  });
  return [overall, ...steps];
};

/**
 * Plans a wave backwards from its end.
 *
 * @param wave - The wave.
 * @param hosts - Its hosts that have not been ordered down.
 * @param downMs - How long a host is down.
 * @param nowMs - The time.
 * @returns The latest times to begin, and whether the wave can be in time.
 */
export const planWave = (
  wave: UpkeepWave,
  hosts: readonly PlannedHost[],
  downMs: number,
  nowMs: number,
): WavePlan => {
  const endMs = dueAtMs(wave) - RESERVE_MS;
  const latestMs = endMs - Math.ceil(hosts.length / wave.order.maximum) * ROUND_MS;
  const counts = Array.from(countByStep(hosts));
  const longestTurnMs = DRAIN_PATIENCE_MS + downMs + BACK_MS;
  const latestByStep = new Map(
    counts.map(([step, count]) => [
      step,
      Math.min(latestMs, endMs - stepNeedsMs(step, count, longestTurnMs)),
    ]),
  );
  const tightSteps = new Set(
    counts
      .filter(([step, count]) => nowMs + stepNeedsMs(step, count, TURN_MS) > endMs)
      .map(([step]) => step),
  );
  const worst = outlooks(wave, hosts, downMs, nowMs).reduce((one, other) =>
    other.lateHosts > one.lateHosts ? other : one,
  );
  return { latestMs, latestByStep, tightSteps, outlook: worst };
};

/**
 * Gives the latest time at which a host must begin.
 *
 * @param plan - The plan.
 * @param host - The host.
 * @returns The earliest of the times of its lasting steps, or that of hosts without any.
 */
export const latestBeginMs = ({ latestMs, latestByStep }: WavePlan, host: PlannedHost): number =>
  Math.min(latestMs, ...Array.from(host.lasting, (step) => latestByStep.get(step) ?? Infinity));
