/**
 * Attributes endpoint crashes to tasks. A task may crash every endpoint that starts it. An endpoint may also crash for
 * another reason, and then all of its runs are lost with it. What is known about each crash is recorded with the task,
 * so that the two cases can be told apart.
 */
import { change } from '../../shared/change.js';
import type { LogFields } from '../endpoints/run-end.js';
import type {
  BatchState,
  EndpointCrash,
  EndpointState,
  GoneEndpoint,
  KnownCrash,
  RunState,
  SupposedCrash,
  Task,
} from '../model/state.js';
import { hasCorrelatedCrashes, isCrash } from './correlated-crashes.js';
import { hadUnheardEndpoints } from './pool-calm.js';
import {
  hasSurvivedObservation,
  lastReportedRuns,
  livedMs,
  MAX_OBSERVATION_MS,
} from './observation-period.js';

/** A long-running task with which an endpoint has been alive for this long is cleared of having caused a crash. */
const LONG_RUNNING_CLEARED_MS = 5000;
/**
 * A job is given up after this many crashes that only one of its tasks can explain. A single one may be a coincidence:
 * of hosts that crash every 10 s for other reasons, one in 40 crashes within an observation period of 250 ms.
 */
const EXPLAINED_CRASH_LIMIT = 2;
/**
 * A job is also given up after this many known crashes of any kind under one of its tasks. A task may crash at most five
 * endpoints in total; the limit is one less, because one crash may go uncounted if the control holder is lost before
 * writing it.
 */
const KNOWN_CRASH_LIMIT = 4;
/** The same limit if only the task explains one of these crashes, and the run was conclusive. */
const CONCLUSIVE_CRASH_LIMIT = 2;
/** A job is also given up after this many conclusive runs that were seen on endpoints that are gone, as far as is known. */
const UNCONFIRMED_CONCLUSIVE_LIMIT = 2;
/**
 * If an endpoint was unresponsive for this long before its crash was detected, its runs may have ended before the crash.
 * The host list is read at least every second, up to a quarter of a second late, and an endpoint is polled every 0.6 s.
 */
const MAX_UNRESPONSIVE_MS = 1900;

/**
 * Tells whether a task is a suspect. A suspect is started only in isolation, where it cannot harm other tasks and where
 * a crash of its endpoint is conclusive.
 *
 * @param task - The task.
 * @returns True if the task may have caused a crash, or if more than one endpoint crashed under it.
 */
export const isSuspect = ({ crashes }: Pick<Task, 'crashes'>): boolean =>
  crashes.length > 1 || crashes.some(({ isSuspected }) => isSuspected);

const isKnown = (crash: EndpointCrash): crash is KnownCrash => crash.isKnown;

/** Lists the known crashes, one for each run: a run ends with the first endpoint that crashes under it. */
const listKnownCrashes = (crashes: readonly EndpointCrash[]): readonly KnownCrash[] =>
  Array.from(new Map(crashes.filter(isKnown).map((crash) => [crash.run, crash])).values());

/** Tells whether only the task can explain a crash. */
const isExplainedOnlyByTask = ({
  isSuspected,
  isSoleSuspect,
  isConfirmed,
  isCorrelated,
}: KnownCrash): boolean => isSuspected && isSoleSuspect && isConfirmed && !isCorrelated;

/**
 * Lists the known crashes that only the task explains, since an endpoint last survived the observation period with it:
 * that clears the task of earlier crashes.
 */
const listExplained = (crashes: readonly EndpointCrash[]): readonly KnownCrash[] => {
  const lastSurvived = crashes.findLastIndex(({ isSuspected }) => !isSuspected);
  return listKnownCrashes(crashes.slice(lastSurvived + 1)).filter(isExplainedOnlyByTask);
};

/**
 * Returns why a task must not be started again. Supposed crashes don't count, as none of them need have happened.
 *
 * @param task - The task.
 * @returns The reason, for its client and for operators; undefined while the task may be started.
 */
export const giveUpReason = ({
  key,
  crashes,
}: Pick<Task, 'key' | 'crashes'>): string | undefined => {
  const known = listKnownCrashes(crashes);
  const explained = listExplained(crashes);
  const limit = explained.some(({ isConclusive }) => isConclusive)
    ? CONCLUSIVE_CRASH_LIMIT
    : KNOWN_CRASH_LIMIT;
  const unconfirmed = known.filter(({ isConclusive, isConfirmed }) => isConclusive && !isConfirmed);
  const isGivenUp =
    explained.length >= EXPLAINED_CRASH_LIMIT ||
    unconfirmed.length >= UNCONFIRMED_CONCLUSIVE_LIMIT ||
    known.length >= limit;
  if (!isGivenUp) return undefined;
  return `${known.length} endpoints crashed under task ${key}, ${explained.length} of them while nothing else there could be the cause`;
};

/** Whether a crash is known to have happened under a run. */
export type CrashCertainty =
  Pick<KnownCrash, 'isKnown' | 'isConfirmed'> | Pick<SupposedCrash, 'isKnown' | 'isConfirmed'>;

/** Determines whether an endpoint is known to have crashed under a run. */
const certaintyOf = (
  state: BatchState,
  { endpoint, atMs }: GoneEndpoint,
  run: RunState,
): CrashCertainty => {
  const { startedByMs } = run;
  if (startedByMs === Infinity) return { isKnown: false, isConfirmed: false };
  const lastSeenAtMs = Math.max(startedByMs, endpoint.reportedAtMs);
  const silentMs = atMs - lastSeenAtMs;
  if (silentMs < MAX_UNRESPONSIVE_MS) return { isKnown: true, isConfirmed: true };
  const hasLapsed = endpoint.expiredRuns.includes(run) || silentMs >= state.longestLeaseMs;
  // In a pool whose endpoints live on unheard, this one may have lived on for a while, too, and the run may have ended.
  const mayHaveEnded = hasLapsed || hadUnheardEndpoints(state, endpoint.pool, lastSeenAtMs);
  return { isKnown: !mayHaveEnded, isConfirmed: false };
};

/**
 * Tells whether another run is unlikely to have caused a crash. This requires a longer time than
 * `hasSurvivedObservation`, because a task may crash its endpoint late.
 */
const isUnlikelyCause = (endpoint: EndpointState, run: RunState, other: RunState): boolean =>
  other.step.job === run.step.job || livedMs(endpoint, other) >= MAX_OBSERVATION_MS;

/**
 * Evaluates what the loss of an endpoint implies about a run that was on it.
 *
 * @param state - The batch state.
 * @param gone - The endpoint, with all runs that were on it.
 * @param run - The run.
 * @param nowMs - The current time.
 * @returns The crash to record against the run's task; undefined if the endpoint did not crash.
 */
export const assessCrash = (
  state: BatchState,
  gone: GoneEndpoint,
  run: RunState,
  nowMs: number,
): EndpointCrash | undefined => {
  if (!isCrash(gone)) return undefined;
  const { endpoint } = gone;
  return {
    run: run.run,
    livedMs: livedMs(endpoint, run),
    ...certaintyOf(state, gone, run),
    isSuspected: !hasSurvivedObservation(endpoint, run),
    isSoleSuspect: lastReportedRuns(endpoint).every((other) =>
      isUnlikelyCause(endpoint, run, other),
    ),
    isCorrelated: hasCorrelatedCrashes(state, gone),
    ...(run.isConclusive ? { isConclusive: true } : {}),
    fence: state.fence,
    countedAtMs: Math.round(nowMs + state.wallClockOffsetMs),
  };
};

/**
 * Records a crash against a task. The task is not started again until the record has been written to its job's row, so
 * that no holder starts the task without knowing all recorded crashes. A long-running task that its endpoint has been
 * alive with for long enough is cleared of all earlier crashes instead.
 *
 * @param state - The batch state, changed in place.
 * @param run - The run that was on the endpoint.
 * @param crash - What the crash implies about the run.
 */
export const recordCrash = (
  state: BatchState,
  { task, step: { job, spec } }: RunState,
  crash: EndpointCrash,
): void => {
  const isCleared = spec.isLasting && crash.livedMs >= LONG_RUNNING_CLEARED_MS;
  if (isCleared && task.crashes.length === 0) return;
  change(task, { crashes: isCleared ? [] : [...task.crashes, crash] });
  change(job, { crashRecordRevision: job.crashRecordRevision + 1 });
  state.suspectJobs.add(job);
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/** By which answer a run was last seen on its endpoint. */
const seenBy = ({ isListed, startedByMs }: RunState): 'list' | 'start-answer' | 'none' => {
  if (isListed) return 'list';
  return startedByMs < Infinity ? 'start-answer' : 'none';
};

/**
 * Returns the log fields that describe the crashes under a task.
 *
 * @param run - The run that the endpoint crashed with; the crash is the last one recorded for its task.
 * @param endpoint - The endpoint that crashed last.
 * @param wallClockMs - The wall-clock time, in ms.
 * @returns The number of crashes, the fencing tokens of the holders that recorded them, the age of the first one, and
 *   the details of the last; no fields if there was no crash.
 */
export const crashLogFields = (
  run: RunState,
  endpoint: EndpointState,
  wallClockMs: number,
): LogFields => {
  const { crashes } = run.task;
  const last = crashes.at(-1);
  if (!last) return {};
  return {
    crashes: crashes.length,
    countedBy: crashes.map(({ fence }) => fence).join(','),
    firstAgoMs: Math.round(wallClockMs - (crashes[0]?.countedAtMs ?? wallClockMs)),
    livedMs: last.livedMs,
    isConfirmed: last.isConfirmed,
    seenBy: seenBy(run),
    known: crashes.filter(isKnown).length,
    isSuspected: last.isSuspected,
    isSoleSuspect: last.isSoleSuspect,
    isCorrelated: last.isCorrelated,
    others: lastReportedRuns(endpoint).length - 1,
  };
};
