/**
 * How much work arrives at a pool: two moving rates of core-milliseconds per millisecond, which is
 * cores. Where the fast one is above the slow one demand rises, and the difference is what to
 * expect on top by the time a host has moved.
 */
import type { StepRun } from './state.js';

/** A turn of demand rises within a second or two, and a host needs 1.5 s to change its pool. */
const FAST_MS = 900;
const SLOW_MS = 2500;

/**
 * Of a steady rise the fast rate is 0.9 s behind and the slow one 2.5 s. A factor of 1.8 reaches 2 s
 * ahead, a decision and a move of 1.5 s; 5 was better over 12 days of both prod sites (1: 0.555 of
 * worth in the mean, 1.8: 0.570, 3: 0.586, 5: 0.598), since a turn begins steeper than it goes on.
 */
const RISE_FACTOR = 5;

/** The rates at one moment. */
export type Demand = { fastCores: number; slowCores: number; atMs: number };

/**
 * Builds the demand of a pool that nothing has arrived at.
 *
 * @returns The demand.
 */
export const createDemand = (): Demand => ({ fastCores: 0, slowCores: 0, atMs: 0 });

const settle = (demand: Demand, nowMs: number): void => {
  const one = demand;
  const passedMs = Math.max(0, nowMs - one.atMs);
  one.fastCores *= Math.exp(-passedMs / FAST_MS);
  one.slowCores *= Math.exp(-passedMs / SLOW_MS);
  one.atMs = nowMs;
};

/**
 * Takes in work that arrived.
 *
 * @param demand - The demand, changed in place.
 * @param coreMs - The work, in core-milliseconds.
 * @param nowMs - The time.
 */
export const noteArrival = (demand: Demand, coreMs: number, nowMs: number): void => {
  settle(demand, nowMs);
  const one = demand;
  one.fastCores += coreMs / FAST_MS;
  one.slowCores += coreMs / SLOW_MS;
};

/**
 * Expects how many cores the work that arrives keeps busy, a host's move from now.
 *
 * @param demand - The demand, brought up to now.
 * @param nowMs - The time.
 * @returns The cores.
 */
export const expectCores = (demand: Demand, nowMs: number): number => {
  settle(demand, nowMs);
  const { fastCores, slowCores } = demand;
  return Math.max(slowCores, fastCores + RISE_FACTOR * Math.max(0, fastCores - slowCores));
};

/**
 * The work of a step.
 *
 * @param step - The step.
 * @param runMs - How long one of its tasks is expected to run.
 * @returns The work in core-milliseconds; none for a step that lasts.
 */
export const workOf = ({ spec }: StepRun, runMs: number): number =>
  spec.isLasting ? 0 : (spec.taskCount * spec.cpuMillis * runMs) / 1000;
