/**
 * Moves long-running tasks off the hosts of a wave before the hosts go down. A host without such tasks uses no step's
 * disruption budget, so it can drain and go down in parallel with others. A moved task is stopped here and started
 * elsewhere immediately.
 */
import { change } from '../../shared/change.js';
import {
  countReady,
  countUnavailable,
  runsOnlyLongRunningTasks,
  moveOneTask,
} from '../pools/listed-hosts.js';
import type { EndpointState, StepRun } from '../model/state.js';
import type { Candidate, PlanningPass } from './host-rules.js';
import { latestStartOf, type WavePlan } from './wave-plan.js';

/**
 * Returns how many other tasks of a step may be unavailable while one task moves. Before the latest start time, tasks
 * move one at a time and the rest of the disruption budget is left for crashes; after it, the whole budget is used.
 */
const maxOthersUnavailable = (
  candidate: Candidate,
  { plan, nowMs }: PlanningPass,
  step: StepRun,
) => (nowMs < latestStartOf(plan, candidate) ? 0 : step.spec.mayMiss - 1);

/**
 * Tells whether moving a task is worth its cost. A moved task is unavailable for longer than one that goes down with
 * its host: 1.4 s instead of 1.0 s in idle pools, and 17 to 22 % longer in busy ones (simulated fleet; a task takes 1 s
 * to become available). So tasks move only if the step's hosts would otherwise take too long (25.7 s without moves, 23 s
 * with them), and not off hosts that need no draining. If two or more tasks of a step run on one host, going down with
 * it would use that many places of the budget at once, which may never be free.
 */
const isWorthMoving = (endpoint: EndpointState, step: StepRun, { tightSteps }: WavePlan): boolean =>
  countReady(endpoint, step) > 1 || (tightSteps.has(step) && !runsOnlyLongRunningTasks(endpoint));

const tryMoveTask = (
  candidate: Candidate,
  endpoint: EndpointState,
  pass: PlanningPass,
  step: StepRun,
): boolean => {
  const { context, wave, plan, reservedTasks, nowMs } = pass;
  const { state } = context;
  if (!isWorthMoving(endpoint, step, plan)) return false;
  const unavailable = countUnavailable(state, step, endpoint) + (reservedTasks.get(step) ?? 0);
  if (unavailable > maxOthersUnavailable(candidate, pass, step)) return false;
  const moved = moveOneTask(state, endpoint, {
    step,
    unavailable,
    nowMs,
    mayMove: ({ key }) => !wave.movedTasks.has(key),
    // On a host with pending maintenance the task would have to move again.
    mayReceive: ({ hasMaintenanceAhead }) => !hasMaintenanceAhead,
  });
  if (!moved) return false;
  wave.movedTasks.add(moved.key);
  change(candidate.host, { reason: `task ${moved.key} is moved off it first` });
  return true;
};

/**
 * Moves one task of each long-running step off a host, if the step's disruption budget and the capacity elsewhere
 * allow it. Does nothing while a rack or data centre is suspected lost.
 *
 * @param candidate - The host, which has not been ordered down yet.
 * @param pass - The planning pass; its wave's set of moved tasks is changed in place.
 */
export const moveTasksEarly = (candidate: Candidate, pass: PlanningPass): void => {
  const { endpoint, longRunningSteps } = candidate;
  if (!endpoint || pass.context.state.suspectedDomains.size > 0) return;
  longRunningSteps.forEach((step) => tryMoveTask(candidate, endpoint, pass, step));
};
