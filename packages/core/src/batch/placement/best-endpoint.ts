/** Which endpoint takes a task. */
import { mayHold } from '../endpoints/sound-endpoints.js';
import type { EndpointState, StepRun, Task } from '../model/state.js';

/** How good an endpoint is for a task: larger is better. */
const scoreOf = (endpoint: EndpointState, step: StepRun, task: Task): number => {
  const { capacity, used } = endpoint;
  const fullness = used.cpuMillis / Math.max(1, capacity.cpuMillis);
  const isNear = step.spec.nearRack !== '' && endpoint.labels.includes(step.spec.nearRack);
  const isAvoided = task.avoid === endpoint.endpointId;
  const movesAgain = step.spec.isLasting && endpoint.isAwaited;
  // Being near its data outweighs fullness, and a place that has not failed it outweighs both.
  return fullness + (isNear ? 2 : 0) - (isAvoided ? 4 : 0) - (movesAgain ? 3 : 0);
};

/**
 * Chooses the fullest endpoint that may hold a task, so that others stand empty.
 *
 * @param endpoints - Those that take new work.
 * @param step - The task's step.
 * @param task - The task.
 * @returns The endpoint; undefined where none has room.
 */
export const bestFor = (
  endpoints: readonly EndpointState[],
  step: StepRun,
  task: Task,
): EndpointState | undefined => {
  let best: EndpointState | undefined;
  let bestScore = -Infinity;
  endpoints.forEach((endpoint) => {
    if (!mayHold(endpoint, step)) return;
    const score = scoreOf(endpoint, step, task);
    if (score <= bestScore) return;
    best = endpoint;
    bestScore = score;
  });
  return best;
};
