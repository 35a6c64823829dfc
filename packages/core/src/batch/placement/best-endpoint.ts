/** Chooses the endpoint for a task. */
import { canHoldTask } from '../endpoints/schedulable-endpoints.js';
import type { EndpointState } from '../model/state.js';
import { computeTotalScore, type PlacementScore, type PlacementView } from './scores.js';

/**
 * Chooses the endpoint with the best score that may hold a task.
 *
 * @param endpoints - The schedulable endpoints.
 * @param view - The task and the state that its scores are computed from.
 * @param scores - The scores to add up for each endpoint.
 * @returns The first endpoint with the highest score; undefined if no endpoint may hold the task.
 */
export const chooseBestEndpoint = (
  endpoints: readonly EndpointState[],
  view: PlacementView,
  scores: readonly PlacementScore[],
): EndpointState | undefined => {
  let best: EndpointState | undefined;
  let bestScore = -Infinity;
  endpoints.forEach((endpoint) => {
    if (!canHoldTask(endpoint, view.step)) return;
    const score = computeTotalScore(endpoint, view, scores);
    if (score <= bestScore) return;
    best = endpoint;
    bestScore = score;
  });
  return best;
};
