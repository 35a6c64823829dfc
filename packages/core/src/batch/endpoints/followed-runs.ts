/**
 * Runs that may be in the life after the one that they were ordered to. An order reaches whichever life has the
 * endpoint's id, and the answer to a start does not tell which one that was. So a run that the list of a life has not
 * named may have begun in the next: its task is not begun elsewhere before that life has told, or nothing can come of the
 * order any more.
 */
import { change } from '../../shared/change.js';
import { judgeCrash, recordCrash } from '../crashes/endpoint-crashes.js';
import { instanceOf } from '../model/endpoint-life.js';
import { giveUpIfDue } from '../jobs/give-up.js';
import { isStartOpen, openStartsAt, type StartedRun } from './open-starts.js';
import { moveRun, stopRun } from './runs.js';
import {
  isFinal,
  type BatchState,
  type EndpointState,
  type GoneCause,
  type GoneEndpoint,
  type RunState,
} from '../model/state.js';

/** By these no life of the endpoint can come after: something else has its host or its address. */
const WITHOUT_NEXT: ReadonlySet<GoneCause> = new Set(['host-taken', 'replaced', 'succeeded']);
/** By these no life was up when the list was asked for. */
const NONE_UP: ReadonlySet<GoneCause> = new Set(['host-list', 'host-ordered']);
/** An endpoint's clock may be 2 % slow, and an answer some time under way. */
const LEASE_SLACK = 1.05;

const startedBy = ({ task, run }: RunState): StartedRun => ({ task: task.key, run });

const isOpen = (
  state: BatchState,
  { endpointId }: EndpointState,
  run: RunState,
  nowMs: number,
): boolean => isStartOpen(state, endpointId, startedBy(run), nowMs);

/** A life that was told a time of the clock of the one before keeps its runs for as long as it may. */
const mayRunUnlisted = (
  { longestLeaseMs }: BatchState,
  { isListed, confirmedAtMs }: RunState,
  nowMs: number,
): boolean => !isListed && nowMs < confirmedAtMs + longestLeaseMs * LEASE_SLACK;

/**
 * Tells whether a run on an endpoint that is silent may be in a later life of it, which is not heard either.
 *
 * @param state - All that is known.
 * @param endpoint - The endpoint, whose lease is over.
 * @param run - The run.
 * @param nowMs - The time.
 * @returns True while an order to start it may be carried out, or what a later life was told to keep may run.
 */
export const mayRunInLaterLife = (
  state: BatchState,
  endpoint: EndpointState,
  run: RunState,
  nowMs: number,
): boolean => {
  const wasAnswered = run.confirmedAtMs < Infinity;
  return (wasAnswered && mayRunUnlisted(state, run, nowMs)) || isOpen(state, endpoint, run, nowMs);
};

/**
 * Tells whether a run of an endpoint that is gone may be in a later life of it.
 *
 * @param state - All that is known.
 * @param gone - The endpoint, and what shows that it is gone.
 * @param run - The run.
 * @param nowMs - The time.
 * @returns True until the next life has told, or nothing can come of the order any more.
 */
export const mayBeFollowed = (
  state: BatchState,
  { endpoint, detail, atMs, isFollowed }: GoneEndpoint,
  run: RunState,
  nowMs: number,
): boolean => {
  if (WITHOUT_NEXT.has(detail)) return false;
  if (isOpen(state, endpoint, run, nowMs)) return true;
  const isKnownToBeOver = isFollowed || (NONE_UP.has(detail) && atMs > run.confirmedAtMs);
  return !isKnownToBeOver && mayRunInLaterLife(state, endpoint, run, nowMs);
};

/** What an endpoint listed in its first answer. */
type FirstReport = {
  readonly named: readonly StartedRun[];
  readonly nowMs: number;
};

const noteFollowed = (
  state: BatchState,
  run: RunState,
  [before, next]: readonly [EndpointState, EndpointState],
  found: 'listed' | 'barred',
): void => {
  state.effects.push({
    kind: 'note',
    event: 'run-followed',
    fields: {
      task: run.task.key,
      run: run.run,
      endpoint: next.endpointId,
      lifeBefore: before.endpointId,
      found,
    },
  });
};

/** Counts a run at the life that lists it; one that was to stop, or whose job is over, is to stop there. */
const followRun = (
  state: BatchState,
  before: EndpointState,
  next: EndpointState,
  run: RunState,
): void => {
  noteFollowed(state, run, [before, next], 'listed');
  const { job } = run.step;
  const isOver = isFinal(job.phase);
  const moved = moveRun(state, { from: before, to: next, run, phase: 'running' });
  if (isOver) stopRun(state, next, moved, job.reason);
  else if (run.phase === 'stopping') stopRun(state, next, moved, 'the life before was to stop it');
};

/** A life that lists nothing of the run may still begin it: that is barred before its task begins elsewhere. */
const barRun = (
  state: BatchState,
  gone: GoneEndpoint,
  next: EndpointState,
  run: RunState,
  nowMs: number,
): void => {
  const crash = gone.verdicts ? gone.verdicts.get(run) : judgeCrash(state, gone, run, nowMs);
  if (crash && !isFinal(run.step.job.phase)) recordCrash(state, run, crash);
  noteFollowed(state, run, [gone.endpoint, next], 'barred');
  const moved = moveRun(state, { from: gone.endpoint, to: next, run, phase: 'unsure' });
  stopRun(state, next, moved, 'an order to an earlier life may arrive here');
  giveUpIfDue(state, moved);
};

/**
 * Applies to the lives before what the first answer of an endpoint lists: a run that it names is there, one that it does
 * not name is barred if an order to start it may be under way, and has ended with its life if not.
 *
 * @param state - All that is known, changed in place.
 * @param next - The life that answered.
 * @param report - All runs that it names, running or ended.
 */
export const followRuns = (
  state: BatchState,
  next: EndpointState,
  { named, nowMs }: FirstReport,
): void => {
  const isNamed = ({ task, run }: RunState): boolean =>
    named.some((one) => one.task === task.key && one.run === run);
  state.goneEndpoints.forEach((gone) => {
    const { endpoint: before } = gone;
    if (instanceOf(before.endpointId) !== instanceOf(next.endpointId)) return;
    change(gone, { isFollowed: true });
    before.runs.forEach((run) => {
      if (isNamed(run)) {
        followRun(state, before, next, run);
      } else if (isOpen(state, before, run, nowMs)) {
        barRun(state, gone, next, run, nowMs);
      }
    });
  });
};

/**
 * Has a life bar the runs that orders to the lives before it may still begin, though their tasks wait no more.
 *
 * @param state - All that is known, changed in place.
 * @param next - The life.
 * @param nowMs - The time.
 */
export const barOpenStarts = (state: BatchState, next: EndpointState, nowMs: number): void => {
  const instanceId = instanceOf(next.endpointId);
  const held = new Set(
    Array.from(state.goneEndpoints.values())
      .filter(({ endpoint }) => instanceOf(endpoint.endpointId) === instanceId)
      .flatMap(({ endpoint }) => Array.from(endpoint.runs.keys())),
  );
  openStartsAt(state, instanceId, nowMs)
    .filter(({ task }) => !held.has(task))
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
