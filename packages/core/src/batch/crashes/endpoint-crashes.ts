/**
 * Endpoints that crash under tasks. A task may bring down each endpoint that begins
 * it; an endpoint also crashes with no task to blame, and takes all that runs there with it. What
 * is known of each such end is kept with the task, so that the two can be told apart.
 */
import { change } from '../../shared/change.js';
import { instanceOf } from '../model/endpoint-life.js';
import { rackOf } from '../endpoints/endpoints.js';
import type { NoteFields } from '../endpoints/run-end.js';
import type {
  BatchState,
  EndpointCrash,
  EndpointState,
  GoneCause,
  GoneEndpoint,
  JobState,
  RecentCrash,
  RunState,
  Task,
} from '../model/state.js';

/**
 * A run with which its endpoint was heard to live for so long is not the first to be blamed for its
 * end. A busy endpoint is heard many times in this time, a quiet one is asked each 400 ms.
 */
const SETTLED_MS = 250;
/** Under a task that takes endpoints down late the next one is watched for longer, up to this time. */
const LONGEST_SETTLED_MS = 2000;
/** A long-running task with which an endpoint has lived for so long has nothing to do with its end. */
const LASTING_CLEARED_MS = 5000;
/**
 * A job is given up after so many ends that one of its tasks alone explains. One may be chance: of hosts that
 * crash each 10 s without blame, one in forty goes within a watch of 250 ms.
 */
const MOST_EXPLAINED = 2;
/**
 * And after so many of whatever kind. Of five at most a task may be the cause; one of them may have been
 * missed by a holder that was lost itself before it could write.
 */
const MOST_CRASHES = 4;
/**
 * What ran on an endpoint that was unresponsive for so long before its end was seen may have ended before it. The list
 * of hosts is read each second at least, a quarter later at most, and an endpoint is asked each 0.6 s.
 */
const LONGEST_UNRESPONSIVE_MS = 1900;
/** Ends of endpoints within this time are taken for one event: the list of hosts is read each 0.4 to 1 s. */
const CORRELATED_MS = 1000;
/** So many unexplained ends at about one time are not the work of tasks. */
const CORRELATED_ENDPOINTS = 2;

/** The host, the address or the id has another life: nothing ordered or announced that. */
const CRASH_CAUSES: ReadonlySet<GoneCause> = new Set([
  'host-list',
  'host-taken',
  'replaced',
  'restarted',
  'succeeded',
]);

/**
 * Tells whether an endpoint crashed by itself.
 *
 * @param gone - The endpoint, with what shows that it is gone.
 * @returns False for one that said that it leaves, that was closed for an order to its host, or that may
 *   only be silent.
 */
export const isCrash = ({ endpoint, detail }: Pick<GoneEndpoint, 'endpoint' | 'detail'>): boolean =>
  CRASH_CAUSES.has(detail) && !endpoint.hasAnnouncedEnd && !endpoint.isClosing;

/** For how long an endpoint is known to have lived with a run: it answered a question of that time. */
const livedMs = ({ reportedAtMs }: EndpointState, { begunByMs }: RunState): number =>
  Math.max(0, Math.round(reportedAtMs - begunByMs));

/** Twice the longest time that an endpoint lived with the task before it crashed. */
const watchMs = ({ crashes }: Task): number => {
  const longestMs = Math.max(0, ...crashes.map((crash) => crash.livedMs));
  return Math.min(LONGEST_SETTLED_MS, Math.max(SETTLED_MS, 2 * longestMs));
};

/**
 * Tells whether an endpoint has lived with a run for so long that others are to be blamed first.
 *
 * @param endpoint - The endpoint, as it was last heard.
 * @param run - The run.
 * @returns True once it has.
 */
export const isSettled = (endpoint: EndpointState, run: RunState): boolean =>
  livedMs(endpoint, run) >= watchMs(run.task);

/**
 * Tells whether a task is begun only where it can harm no other, and where its endpoint's end would tell.
 *
 * @param task - The task.
 * @returns True once an endpoint crashed that it may have taken down.
 */
export const isSuspect = ({ crashes }: Pick<Task, 'crashes'>): boolean =>
  crashes.length > 1 || crashes.some(({ isSuspected }) => isSuspected);

/** Nothing but the task explains the end. */
const isTheTask = ({
  isSuspected,
  isSoleSuspect,
  isConfirmed,
  isCorrelated,
}: EndpointCrash): boolean => isSuspected && isSoleSuspect && isConfirmed && !isCorrelated;

/** An endpoint that lived with the task, whatever ended it later, speaks against what came before. */
const explainedOf = (crashes: readonly EndpointCrash[]): number => {
  const lastLived = crashes.findLastIndex(({ isSuspected }) => !isSuspected);
  return crashes.slice(lastLived + 1).filter(isTheTask).length;
};

/**
 * Tells why a task is not to be begun again.
 *
 * @param task - The task.
 * @returns The reason, for its client and for operators; undefined while it may be begun.
 */
export const giveUpReason = ({
  key,
  crashes,
}: Pick<Task, 'key' | 'crashes'>): string | undefined => {
  const explained = explainedOf(crashes);
  if (explained < MOST_EXPLAINED && crashes.length < MOST_CRASHES) return undefined;
  return `${crashes.length} endpoints crashed under task ${key}, ${explained} of them while nothing else there could be the cause`;
};

/**
 * Lists what was on an endpoint as it was heard last.
 *
 * @param endpoint - The endpoint.
 * @returns Its runs, those among them that were given up since.
 */
export const lastRunsOf = ({ runs, lapsedRuns }: EndpointState): readonly RunState[] => [
  ...runs.values(),
  ...lapsedRuns,
];

const unsettledJobs = (endpoint: EndpointState): ReadonlySet<JobState> =>
  new Set(
    lastRunsOf(endpoint)
      .filter((run) => !isSettled(endpoint, run))
      .map(({ step }) => step.job),
  );

const isExplained = (endpoint: EndpointState): boolean =>
  unsettledJobs(endpoint).size === 1 &&
  lastRunsOf(endpoint).some((run) => !isSettled(endpoint, run) && run.task.crashes.length > 0);

/**
 * Notes that endpoints crashed, before what ran there is judged: whole racks go at once.
 *
 * @param state - All that is known, changed in place.
 * @param gone - The endpoints.
 * @param nowMs - The time.
 */
export const noteCrashes = (
  state: BatchState,
  gone: readonly GoneEndpoint[],
  nowMs: number,
): void => {
  const fresh = gone.filter(isCrash).map(({ endpoint, atMs }): RecentCrash => {
    const { endpointId } = endpoint;
    return { endpointId, rack: rackOf(endpoint), atMs, isExplained: isExplained(endpoint) };
  });
  const recent = state.recentCrashes.filter(({ atMs }) => nowMs - atMs < 2 * CORRELATED_MS);
  change(state, { recentCrashes: [...recent, ...fresh] });
};

const isCorrelated = ({ recentCrashes }: BatchState, { endpoint, atMs }: GoneEndpoint): boolean => {
  const others = recentCrashes.filter(
    (other) =>
      instanceOf(other.endpointId) !== instanceOf(endpoint.endpointId) &&
      !other.isExplained &&
      Math.abs(other.atMs - atMs) < CORRELATED_MS,
  );
  const rack = rackOf(endpoint);
  const isRack = rack !== '' && others.some((other) => other.rack === rack);
  const endpoints = new Set(others.map(({ endpointId }) => instanceOf(endpointId)));
  return isRack || endpoints.size >= CORRELATED_ENDPOINTS;
};

/** The run was there shortly before the endpoint's end was seen. */
const wasThere = ({ endpoint, atMs }: GoneEndpoint, { begunByMs }: RunState): boolean =>
  begunByMs < Infinity &&
  atMs - Math.max(begunByMs, endpoint.reportedAtMs) < LONGEST_UNRESPONSIVE_MS;

/** Another run that can hardly be to blame: a task that takes endpoints down may take its time. */
const isHarmless = (endpoint: EndpointState, run: RunState, other: RunState): boolean =>
  other.step.job === run.step.job || livedMs(endpoint, other) >= LONGEST_SETTLED_MS;

/**
 * Judges what the end of an endpoint says of a run that was there.
 *
 * @param state - All that is known.
 * @param gone - The endpoint, with all that ran there.
 * @param run - The run.
 * @param nowMs - The time.
 * @returns What is to be counted against the run's task, or undefined if the endpoint did not crash.
 */
export const judgeCrash = (
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
    isConfirmed: wasThere(gone, run),
    isSuspected: !isSettled(endpoint, run),
    isSoleSuspect: lastRunsOf(endpoint).every((other) => isHarmless(endpoint, run, other)),
    isCorrelated: isCorrelated(state, gone),
    fence: state.fence,
    countedAtMs: Math.round(nowMs + state.todayAheadMs),
  };
};

/**
 * Counts the end of an endpoint against a task. The task is not begun again before that is written, so that no
 * holder begins it without knowing of all that was counted.
 *
 * @param state - All that is known, changed in place.
 * @param run - The run that was there.
 * @param crash - What the end says of it.
 */
export const recordCrash = (
  state: BatchState,
  { task, step: { job, spec } }: RunState,
  crash: EndpointCrash,
): void => {
  const isCleared = spec.isLasting && crash.livedMs >= LASTING_CLEARED_MS;
  if (isCleared && task.crashes.length === 0) return;
  change(task, { crashes: isCleared ? [] : [...task.crashes, crash] });
  change(job, { blameRevision: job.blameRevision + 1 });
  state.suspectJobs.add(job);
  state.effects.push({ kind: 'save', jobId: job.job.jobId, isUrgent: false });
};

/**
 * Tells of what was counted against a task, for the line of its run.
 *
 * @param task - The task, with the last end counted.
 * @param endpoint - The endpoint that crashed last.
 * @param todayMs - The time of day.
 * @returns How many endpoints crashed under it, by whose count and since when, and what is known of the last.
 */
export const crashFields = (
  { crashes }: Pick<Task, 'crashes'>,
  endpoint: EndpointState,
  todayMs: number,
): NoteFields => {
  const last = crashes.at(-1);
  if (!last) return {};
  return {
    crashes: crashes.length,
    countedBy: crashes.map(({ fence }) => fence).join(','),
    firstAgoMs: Math.round(todayMs - (crashes[0]?.countedAtMs ?? todayMs)),
    livedMs: last.livedMs,
    isConfirmed: last.isConfirmed,
    isSuspected: last.isSuspected,
    isSoleSuspect: last.isSoleSuspect,
    isCorrelated: last.isCorrelated,
    others: lastRunsOf(endpoint).length - 1,
  };
};
