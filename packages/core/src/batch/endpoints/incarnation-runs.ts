/**
 * Handles runs that may be in a later incarnation of the endpoint than the one they were sent to. An order reaches
 * whichever incarnation has the endpoint's id at the time, and the answer to a start order does not tell which one that
 * was. A run that an incarnation has not listed may therefore have started in the next one. Its task must not be
 * started elsewhere until the next incarnation has reported, or until the order can have no effect any more.
 */
import { change } from '../../shared/change.js';
import { assessCrash, recordCrash } from '../crashes/endpoint-crashes.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { failJobIfCrashing } from '../jobs/crashing-jobs.js';
import { isStartInTransit, unansweredStartsAt, type RunKey } from './unanswered-starts.js';
import { moveRun, stopRun } from './runs.js';
import {
  isFinal,
  type BatchState,
  type EndpointState,
  type GoneCause,
  type GoneEndpoint,
  type RunState,
} from '../model/state.js';

/** Causes that rule out a later incarnation: another endpoint has the host or the address. */
const CAUSES_WITHOUT_LATER_INCARNATION: ReadonlySet<GoneCause> = new Set([
  'host-taken',
  'replaced',
  'succeeded',
]);
/** Causes that show that no incarnation was running when the host list was requested. */
const CAUSES_WITH_NONE_RUNNING: ReadonlySet<GoneCause> = new Set(['host-list', 'host-ordered']);
/** Allows for an endpoint clock that is 2 % slow and for the time that an answer is in transit. */
const LEASE_MARGIN_FACTOR = 1.05;

const startedRunOf = ({ task, run }: RunState): RunKey => ({ task: task.key, run });

const isStartUnanswered = (
  state: BatchState,
  { endpointId }: EndpointState,
  run: RunState,
  nowMs: number,
): boolean => isStartInTransit(state, endpointId, startedRunOf(run), nowMs);

/**
 * A start order contains the end of the lease by the clock of the incarnation that it was meant for. A later
 * incarnation that receives the order has another clock and may keep the run for the longest possible lease.
 */
const mayRunUnlisted = (
  { longestLeaseMs }: BatchState,
  { isListed, confirmedAtMs }: RunState,
  nowMs: number,
): boolean => !isListed && nowMs < confirmedAtMs + longestLeaseMs * LEASE_MARGIN_FACTOR;

/**
 * Tells whether a run on a silent endpoint may be in a later incarnation that has not answered either.
 *
 * @param state - The holder's batch state.
 * @param endpoint - The endpoint, whose lease has ended.
 * @param run - The run.
 * @param nowMs - The current time.
 * @returns True while an order to start the run may still be executed, or while the lease that a later incarnation
 *   may have granted to the run can last.
 */
export const mayRunInUnreportedIncarnation = (
  state: BatchState,
  endpoint: EndpointState,
  run: RunState,
  nowMs: number,
): boolean => {
  const wasAnswered = run.confirmedAtMs < Infinity;
  return (
    (wasAnswered && mayRunUnlisted(state, run, nowMs)) ||
    isStartUnanswered(state, endpoint, run, nowMs)
  );
};

/**
 * Tells whether a run of an endpoint that is gone may be in a later incarnation of that endpoint.
 *
 * @param state - The holder's batch state.
 * @param gone - The endpoint, and the evidence that it is gone.
 * @param run - The run.
 * @param nowMs - The current time.
 * @returns True until the next incarnation has reported, or until the order can have no effect any more.
 */
export const mayRunInNextIncarnation = (
  state: BatchState,
  { endpoint, detail, atMs, hasSuccessorAnswered }: GoneEndpoint,
  run: RunState,
  nowMs: number,
): boolean => {
  if (CAUSES_WITHOUT_LATER_INCARNATION.has(detail)) return false;
  if (isStartUnanswered(state, endpoint, run, nowMs)) return true;
  const isKnownToBeOver =
    hasSuccessorAnswered || (CAUSES_WITH_NONE_RUNNING.has(detail) && atMs > run.confirmedAtMs);
  return !isKnownToBeOver && mayRunInUnreportedIncarnation(state, endpoint, run, nowMs);
};

/** The incarnations of an endpoint that are gone and whose runs are not given up yet. */
const formerIncarnationsOf = (
  state: BatchState,
  { endpointId }: EndpointState,
): readonly GoneEndpoint[] =>
  Array.from(state.goneEndpoints.values()).filter(
    ({ endpoint }) => instanceIdOf(endpoint.endpointId) === instanceIdOf(endpointId),
  );

const logRunFollowed = (
  state: BatchState,
  run: RunState,
  [previous, next]: readonly [EndpointState, EndpointState],
  found: 'listed' | 'barred',
): void => {
  state.effects.push({
    kind: 'note',
    event: 'run-followed',
    fields: {
      task: run.task.key,
      run: run.run,
      endpoint: next.endpointId,
      lifeBefore: previous.endpointId,
      found,
    },
  });
};

/**
 * Moves a run to the incarnation that lists it. A run that was being stopped, or whose job is over, is stopped there.
 */
const moveToNextIncarnation = (
  state: BatchState,
  previous: EndpointState,
  next: EndpointState,
  run: RunState,
): void => {
  logRunFollowed(state, run, [previous, next], 'listed');
  const { job } = run.step;
  const isOver = isFinal(job.phase);
  const moved = moveRun(state, { from: previous, to: next, run, phase: 'running' });
  if (isOver) stopRun(state, next, moved, job.reason);
  else if (run.phase === 'stopping') stopRun(state, next, moved, 'the life before was to stop it');
};

/**
 * Handles an incarnation that does not list a run but may still receive the order to start it: the run is blocked
 * there before its task starts elsewhere.
 */
const blockRun = (
  state: BatchState,
  gone: GoneEndpoint,
  next: EndpointState,
  run: RunState,
  nowMs: number,
): void => {
  const crash = gone.crashesByRun
    ? gone.crashesByRun.get(run)
    : assessCrash(state, gone, run, nowMs);
  if (crash && !isFinal(run.step.job.phase)) recordCrash(state, run, crash);
  logRunFollowed(state, run, [gone.endpoint, next], 'barred');
  const moved = moveRun(state, { from: gone.endpoint, to: next, run, phase: 'unsure' });
  stopRun(state, next, moved, 'an order to an earlier life may arrive here');
  failJobIfCrashing(state, moved);
};

/**
 * Moves the runs of earlier incarnations that an incarnation lists: they are running there, or have ended there.
 *
 * @param state - The holder's batch state, modified in place.
 * @param next - The incarnation that answered.
 * @param listed - The runs that it lists, running or ended. The list may be incomplete.
 */
export const moveListedRuns = (
  state: BatchState,
  next: EndpointState,
  listed: readonly RunKey[],
): void =>
  formerIncarnationsOf(state, next).forEach(({ endpoint: previous }) =>
    previous.runs.forEach((run) => {
      const isListed = listed.some((one) => one.task === run.task.key && one.run === run.run);
      if (isListed) moveToNextIncarnation(state, previous, next, run);
    }),
  );

/**
 * Handles the runs of earlier incarnations that an incarnation has not listed, once it has listed everything: a run is
 * blocked if an order to start it may still be in transit; otherwise it ended with its own incarnation.
 *
 * @param state - The holder's batch state, modified in place.
 * @param next - The incarnation that has listed everything.
 * @param nowMs - The current time.
 */
export const blockUnlistedRuns = (state: BatchState, next: EndpointState, nowMs: number): void =>
  formerIncarnationsOf(state, next).forEach((gone) => {
    change(gone, { hasSuccessorAnswered: true });
    gone.endpoint.runs.forEach((run) => {
      if (isStartUnanswered(state, gone.endpoint, run, nowMs))
        blockRun(state, gone, next, run, nowMs);
    });
  });

/**
 * Has a new incarnation block runs that orders to earlier ones may still start, although their tasks are no longer
 * waiting for these runs.
 *
 * @param state - The holder's batch state, modified in place.
 * @param next - The new incarnation.
 * @param nowMs - The current time.
 */
export const blockUnansweredStarts = (
  state: BatchState,
  next: EndpointState,
  nowMs: number,
): void => {
  const instanceId = instanceIdOf(next.endpointId);
  const heldTasks = new Set(
    formerIncarnationsOf(state, next).flatMap(({ endpoint }) => Array.from(endpoint.runs.keys())),
  );
  unansweredStartsAt(state, instanceId, nowMs)
    .filter(({ task }) => !heldTasks.has(task))
    .forEach(({ task, run }) =>
      state.effects.push({
        kind: 'stop',
        endpointId: next.endpointId,
        task,
        run,
        reason: 'an order to an earlier life may arrive here',
      }),
    );
};
