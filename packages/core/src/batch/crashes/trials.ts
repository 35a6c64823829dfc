/**
 * Announced starts, which the code calls trials: starts of tasks under which endpoints crashed or may have crashed.
 * Each is written to the job's row, with the endpoint that is to start the run, before it is ordered. If the control
 * holder is lost before it can record that this endpoint crashed as well, the row still names the start. The next holder
 * counts it as a crash if the endpoint is gone. If the endpoint answers and knows nothing of the run, the order was never
 * carried out, and the start is withdrawn.
 */
import { change } from '../../shared/change.js';
import type { EndpointId } from '../../shared/ids.js';
import { findOpenTrial, withdrawTrial } from './announced-start-record.js';
import { hasSurvivedObservation } from './observation-period.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { hasAnswered } from '../endpoints/listing-status.js';
import { fenceOf } from '../endpoints/run-numbers.js';
import type { TaskKey } from '../model/job.js';
import type {
  BatchState,
  EndpointCrash,
  EndpointState,
  JobState,
  PoolState,
  RunState,
  StepRun,
  Task,
  Trial,
} from '../model/state.js';

/**
 * Tells whether all recorded crashes and announced starts are in the job's row, so that the next holder will know of
 * them.
 *
 * @param job - The job.
 * @returns False while a write is pending.
 */
export const areCrashRecordsWritten = ({
  crashRecordRevision,
  writtenCrashRecordRevision,
}: JobState): boolean => writtenCrashRecordRevision >= crashRecordRevision;

/** Starts of tasks of one step that are announced together. All get the same run number if the step is a gang. */
export type Announcement = {
  readonly step: StepRun;
  readonly starts: readonly {
    readonly task: Task;
    readonly run: number;
    readonly endpointId: EndpointId;
  }[];
};

/**
 * Announces starts in the row of their job. They must not be ordered until the row has been written.
 *
 * @param state - The batch state, changed in place.
 * @param announcement - The starts.
 * @returns The revision of the job's crash records that has to be written first.
 */
export const announceTrials = (
  state: BatchState,
  { step: { job }, starts }: Announcement,
): number => {
  const revision = job.crashRecordRevision + 1;
  change(job, { crashRecordRevision: revision });
  starts.forEach(({ task, run, endpointId }) => {
    change(task, { trial: { run, endpointId, isInherited: false, isConclusive: false } });
    state.effects.push({
      kind: 'note',
      event: 'start-announced',
      fields: { task: task.key, run, endpoint: endpointId, crashes: task.crashes.length },
    });
  });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
  return revision;
};

/**
 * Tells whether an endpoint is known to be gone: another incarnation has its id, or no host is listed with it. One whose
 * leases have ended without either may only be unreachable.
 */
const isKnownGone = (state: BatchState, endpointId: EndpointId): boolean => {
  if (state.endpoints.has(endpointId)) return false;
  const instanceId = instanceIdOf(endpointId);
  const isAwaited = (pool: PoolState): boolean => pool.unreportedInstances.has(instanceId);
  return (
    state.currentIncarnations.has(instanceId) || !Array.from(state.pools.values()).some(isAwaited)
  );
};

/** An inherited announced start without a report. */
type LostTrial = { readonly task: Task; readonly trial: Trial };

/** The crash that is recorded for an announced start whose endpoint does not answer. */
const crashOfLostTrial = (
  state: BatchState,
  { run, endpointId, isConclusive }: Trial,
  nowMs: number,
): EndpointCrash => ({
  run,
  livedMs: 0,
  ...(isConclusive && endpointId !== null && isKnownGone(state, endpointId)
    ? { isKnown: true, isConfirmed: false, isConclusive: true }
    : { isKnown: false, isConfirmed: false }),
  isSuspected: true,
  isSoleSuspect: true,
  isCorrelated: false,
  fence: state.fence,
  countedAtMs: Math.round(nowMs + state.wallClockOffsetMs),
});

/** Logs that an inherited announced start counts as a crash of its task. */
const noteLostTrial = (
  state: BatchState,
  { task, trial: { run, endpointId } }: LostTrial,
): void => {
  state.effects.push({
    kind: 'note',
    event: 'announced-start-lost',
    fields: {
      task: task.key,
      run,
      announcedBy: fenceOf(run),
      endpoint: endpointId ?? undefined,
      isEndpointListed: endpointId !== null && state.endpoints.has(endpointId),
      isKnown: task.crashes.at(-1)?.isKnown,
      crashes: task.crashes.length,
      countedBy: task.crashes.map(({ fence }) => fence).join(','),
      known: task.crashes.filter(({ isKnown }) => isKnown).length,
    },
  });
};

/**
 * Counts as crashes those inherited announced starts of a step that no endpoint reports and whose endpoint has not
 * answered this holder. To be called only after all endpoints that may run the step have answered.
 *
 * @param state - The batch state, changed in place.
 * @param step - The step.
 * @param nowMs - The current time.
 */
export const countLostTrials = (state: BatchState, step: StepRun, nowMs: number): void => {
  const { job, tasks } = step;
  const isAnswering = (endpointId: EndpointId | null): boolean => {
    const endpoint = endpointId === null ? undefined : state.endpoints.get(endpointId);
    return endpoint !== undefined && hasAnswered(endpoint);
  };
  const lost = tasks.recorded().flatMap((task): readonly LostTrial[] => {
    const trial = task.phase === 'waiting' ? findOpenTrial(task) : undefined;
    return trial?.isInherited && !isAnswering(trial.endpointId) ? [{ task, trial }] : [];
  });
  if (lost.length === 0) return;
  lost.forEach(({ task, trial }) => {
    change(task, { crashes: [...task.crashes, crashOfLostTrial(state, trial, nowMs)] });
    noteLostTrial(state, { task, trial });
  });
  change(job, { crashRecordRevision: job.crashRecordRevision + 1 });
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Withdraws the starts that an earlier holder announced for an endpoint and that the endpoint does not know: it was not
 * ordered to start them, and it rejects late orders of earlier holders from its first answer on.
 *
 * @param state - The batch state, changed in place.
 * @param endpointId - The endpoint that answered.
 * @param listed - The tasks of all runs in its answer, which must be complete.
 */
export const withdrawUnknownTrials = (
  state: BatchState,
  endpointId: EndpointId,
  listed: ReadonlySet<TaskKey>,
): void => {
  const inherited = state.inheritedTrials.get(endpointId);
  if (!inherited) return;
  state.inheritedTrials.delete(endpointId);
  inherited.forEach(({ step, task }) => {
    const trial = findOpenTrial(task);
    if (!trial?.isInherited || task.phase !== 'waiting' || listed.has(task.key)) return;
    const fields = { task: task.key, run: trial.run, endpoint: endpointId };
    state.effects.push({ kind: 'note', event: 'announced-start-withdrawn', fields });
    withdrawTrial(state, step, task, trial.run);
  });
};

/**
 * Removes the announced start of a run once its endpoint has been alive with it for the observation period: a later
 * crash is no longer conclusive.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint that runs it.
 * @param run - The run.
 */
export const closeTrial = (state: BatchState, endpoint: EndpointState, run: RunState): void => {
  const { task, step } = run;
  if (!hasSurvivedObservation(endpoint, run)) return;
  withdrawTrial(state, step, task, run.run);
};
