/**
 * Places the tasks of one step: each task by itself, or all tasks of a gang together. The caller decides which endpoints
 * are offered and which starts must be announced.
 */
import { change } from '../../shared/change.js';
import { isWithinQuota } from '../accounts/quota.js';
import { nextRunNumber } from '../endpoints/run-numbers.js';
import type { BatchState, EndpointState, StepRun, Task } from '../model/state.js';
import { createCandidates } from './candidates.js';
import { findGangPlaces } from './gang-places.js';
import { scoresFor } from './scores.js';
import { announceStarts, startRun, type Start, type StartContext } from './starts.js';

/** The step that is being placed, and which of its starts must be announced. */
export type PlacingStep = StartContext & { readonly mustAnnounce: (task: Task) => boolean };

/**
 * Tells whether the maximum of the step's account leaves enough for its next start: of one task, or of a whole gang.
 *
 * @param state - The batch state.
 * @param step - The step.
 * @returns False while the step has to wait for its account's quota.
 */
export const hasQuotaForNextStart = (state: BatchState, step: StepRun): boolean =>
  isWithinQuota(state, step, step.spec.isGang ? step.spec.taskCount : 1);

/** Places tasks one by one; false if one of them found no endpoint or exceeds its account's quota. */
const placeEach = (
  placing: PlacingStep,
  endpoints: readonly EndpointState[],
  indices: readonly number[],
): boolean => {
  const { state, step } = placing;
  const table = scoresFor(state, endpoints, step);
  const candidates = createCandidates(endpoints, placing, table);
  // The waiting tasks of the step change with each placement.
  const tried = indices.slice(0, Math.max(0, state.startsLeft));
  return tried.every((index) => {
    if (state.startsLeft <= 0) return true;
    if (!isWithinQuota(state, step)) return false;
    const task = step.tasks.at(index);
    const endpoint = task && candidates.choose(task);
    if (!endpoint) return false;
    const run = nextRunNumber(state.fence, task.lastRun);
    const start: Start = { task, endpoint, run, reason: table.name };
    if (placing.mustAnnounce(task)) announceStarts(placing, [start]);
    else startRun(placing, start);
    candidates.recordPlacement(endpoint);
    return true;
  });
};

/** Places all tasks of a gang or none; false if they do not fit or exceed their account's quota. */
const placeGang = (placing: PlacingStep, endpoints: readonly EndpointState[]): boolean => {
  const { state, step } = placing;
  // When one task of a gang is lost, the others are stopped as well: wait until all of them have ended.
  if (step.waiting.length < step.spec.taskCount) return true;
  if (!isWithinQuota(state, step, step.spec.taskCount)) return false;
  const places = findGangPlaces(step, endpoints);
  if (!places) return false;
  const members = step.tasks.all();
  const lastRun = Math.max(...members.map((task) => task.lastRun));
  const run = nextRunNumber(state.fence, lastRun);
  const checkpoint = members.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
  members.forEach((task) => change(task, { checkpoint }));
  const starts = members.map((task, index): Start => {
    const endpoint = places[index] as EndpointState;
    return { task, endpoint, run, reason: 'all of its gang' };
  });
  if (members.some(placing.mustAnnounce)) announceStarts(placing, starts);
  else starts.forEach((start) => startRun(placing, start));
  return true;
};

/**
 * Places tasks of a step. Of a gang, either all tasks are placed or none, whichever tasks are passed.
 *
 * @param placing - The step, and which of its starts must be announced.
 * @param endpoints - The endpoints on which its tasks may start.
 * @param indices - The indices of the tasks to place.
 * @returns True if no task is left over for lack of capacity or quota.
 */
export const placeTasks = (
  placing: PlacingStep,
  endpoints: readonly EndpointState[],
  indices: readonly number[],
): boolean =>
  placing.step.spec.isGang ? placeGang(placing, endpoints) : placeEach(placing, endpoints, indices);
