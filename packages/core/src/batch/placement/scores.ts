/**
 * How good an endpoint is for a task: named scores with their weights. An endpoint's score is the sum; the greatest
 * one takes the task, the first of equals.
 */
import type { BatchState, EndpointState, StepRun, Task } from '../model/state.js';

/** What a score is reckoned from. */
export type PlacementView = {
  readonly state: BatchState;
  readonly nowMs: number;
  readonly step: StepRun;
  readonly task: Task;
};

/** One score. */
export type PlacementScore = {
  /** For operators. */
  readonly name: string;
  /** What the score counts for. */
  readonly weight: number;
  /** From 0 to 1. */
  readonly of: (endpoint: EndpointState, view: PlacementView) => number;
};

const fullness: PlacementScore['of'] = ({ used, capacity }) =>
  used.cpuMillis / Math.max(1, capacity.cpuMillis);

const isNearData: PlacementScore['of'] = ({ labels }, { step: { spec } }) =>
  Number(spec.nearRack !== '' && labels.includes(spec.nearRack));

const hasFailedTask: PlacementScore['of'] = ({ endpointId }, { task }) =>
  Number(task.avoid === endpointId);

/** A long-running task that begins on a host with maintenance ahead would move again. */
const movesAgain: PlacementScore['of'] = ({ isAwaited }, { step: { spec } }) =>
  Number(spec.isLasting && isAwaited);

/** An endpoint that is slow after its data centre was taken back: a warm one with room goes first. */
const isCold: PlacementScore['of'] = ({ coldUntilMs }, { nowMs }) => Number(coldUntilMs > nowMs);

/** Being near its data outweighs fullness, and a place that has not failed the task outweighs both. */
export const PLACEMENT_SCORES: readonly PlacementScore[] = [
  { name: 'fullest', weight: 1, of: fullness },
  { name: 'near its data', weight: 2, of: isNearData },
  { name: 'failed there', weight: -4, of: hasFailedTask },
  { name: 'maintenance ahead', weight: -3, of: movesAgain },
  { name: 'cold', weight: -1, of: isCold },
];

/**
 * Scores an endpoint for a task.
 *
 * @param endpoint - The endpoint.
 * @param view - The task, and what is known.
 * @param scores - The table.
 * @returns The sum of all scores by their weights; larger is better.
 */
export const scoreOf = (
  endpoint: EndpointState,
  view: PlacementView,
  scores: readonly PlacementScore[] = PLACEMENT_SCORES,
): number => {
  let sum = 0;
  scores.forEach(({ weight, of }) => {
    sum += weight * of(endpoint, view);
  });
  return sum;
};
