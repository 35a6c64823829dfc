/**
 * Where tasks are begun under which endpoints crashed. Each gets an endpoint to itself until that has
 * been heard to live with it: one that takes endpoints down takes no work of others with it then, and
 * the end of its endpoint tells. One that was only there loses little: the others go elsewhere for
 * the quarter of a second that it takes.
 */
import type { EndpointId } from '../../shared/ids.js';
import { isSettled, isSuspect } from './endpoint-crashes.js';
import { isWritten } from './trials.js';
import type { StepSpec } from '../model/job.js';
import { reservedCpu } from '../endpoints/runs.js';
import type {
  BatchState,
  EndpointState,
  JobState,
  RunState,
  StepRun,
  Task,
} from '../model/state.js';

/**
 * Only this share of a pool's endpoints is kept for such tasks, so that a wave of them does not stop the
 * pool's other work. At least one is, or they would wait for ever in a pool that is always full.
 */
const MOST_SHARE = 0.25;
/** Of endpoints that stand empty more may be: a task that was only there would wait for long in a pool of little use. */
const MOST_EMPTY_SHARE = 0.5;
/** After this time runs of others that have long been there need not have ended: some last for minutes. */
const PATIENCE_MS = 2000;

/** Endpoints on which nothing but tasks of the job begins. */
export type IsolatedEndpoints = ReadonlyMap<EndpointId, JobState>;

/** Nothing is kept for anybody. */
export const NONE_ISOLATED: IsolatedEndpoints = new Map();

/**
 * Lists the tasks of a step that wait to be begun on an endpoint of their own.
 *
 * @param state - All that is known.
 * @param step - The step.
 * @returns The tasks; of a gang all members, since they run together.
 */
export const waitingSuspects = (state: BatchState, step: StepRun): readonly Task[] => {
  if (!state.suspectJobs.has(step.job)) return [];
  const waiting = step.waiting.flatMap((index) => step.tasks[index] ?? []);
  if (step.spec.isGang) return waiting.some(isSuspect) ? waiting : [];
  return waiting.filter(isSuspect);
};

const isUnproven = (endpoint: EndpointState, run: RunState): boolean =>
  isSuspect(run.task) && !isSettled(endpoint, run);

/** Endpoints that hold tasks of a job. */
const endpointsWith = (state: BatchState, { occurrences }: JobState): readonly EndpointState[] => {
  const steps = Array.from(occurrences.values()).flatMap((one) => one.steps);
  const ids = new Set(steps.flatMap(({ perEndpoint }) => Array.from(perEndpoint.keys())));
  return Array.from(ids).flatMap((endpointId) => state.endpoints.get(endpointId) ?? []);
};

/** Endpoints that have not been heard to live with a task that was begun there by itself. */
const underWay = (state: BatchState): Map<EndpointId, JobState> => {
  const found = new Map<EndpointId, JobState>();
  state.suspectJobs.forEach((job) => {
    endpointsWith(state, job)
      .filter((endpoint) =>
        Array.from(endpoint.runs.values()).some(
          (run) => run.step.job === job && isUnproven(endpoint, run),
        ),
      )
      .forEach(({ endpointId }) => found.set(endpointId, job));
  });
  return found;
};

/** Runs of others that would be lost with the endpoint, or be the cause of its end. */
const othersOn = ({ runs }: EndpointState, job: JobState): readonly RunState[] =>
  Array.from(runs.values()).filter(({ step }) => step.job !== job);

/** The one that is empty soonest; of those the one that has been there longest: it is not one that comes and goes. */
const byFitness =
  (job: JobState) =>
  (left: EndpointState, right: EndpointState): number =>
    othersOn(left, job).length - othersOn(right, job).length || left.seenAtMs - right.seenAtMs;

/** What stays on an endpoint that is kept for a job: its own tasks, and long-running ones of others. */
const stayingOn = ({ runs }: EndpointState, job: JobState): readonly StepSpec[] =>
  Array.from(runs.values(), ({ step }) => step)
    .filter((step) => step.job === job || step.spec.isLasting)
    .map(({ spec }) => spec);

/**
 * Tells how many tasks of a step an endpoint could begin once the runs that end by themselves have ended.
 *
 * @param endpoint - The endpoint.
 * @param step - The step.
 * @returns The number; Infinity for tasks that take no room.
 */
export const couldBegin = (endpoint: EndpointState, step: StepRun): number => {
  const { endpointId, labels, capacity } = endpoint;
  const { spec, perEndpoint, job } = step;
  if (spec.requiredLabel !== '' && !labels.includes(spec.requiredLabel)) return 0;
  const staying = stayingOn(endpoint, job);
  const times = (room: number, needOf: (one: StepSpec) => number): number => {
    const taken = staying.reduce((sum, one) => sum + needOf(one), 0);
    return needOf(spec) === 0 ? Infinity : Math.floor((room - taken) / needOf(spec));
  };
  const room = Math.min(
    times(capacity.cpuMillis, reservedCpu),
    times(capacity.memoryMb, ({ memoryMb }) => memoryMb),
    times(capacity.accelerators, ({ accelerators }) => accelerators),
    spec.mostPerEndpoint === 0
      ? Infinity
      : spec.mostPerEndpoint - (perEndpoint.get(endpointId) ?? 0),
  );
  return Math.max(0, room);
};

const haveRoom = (chosen: readonly EndpointState[], step: StepRun, tasks: number): boolean =>
  chosen.reduce((sum, endpoint) => sum + couldBegin(endpoint, step), 0) >= tasks;

/** What a step may be given, for as long as it waits. */
export type IsolationRequest = {
  readonly step: StepRun;
  /** The endpoints of the pool that take new work and may run the step. */
  readonly admitted: readonly EndpointState[];
};

/** How many endpoints of a pool may be kept at once. */
const mostIsolated = (endpoints: readonly EndpointState[]): number => {
  const empty = endpoints.filter(({ runs }) => runs.size === 0).length;
  return Math.max(
    Math.ceil(endpoints.length * MOST_SHARE),
    Math.min(empty, Math.floor(endpoints.length * MOST_EMPTY_SHARE)),
  );
};

/**
 * Decides which endpoints of a pool are kept for tasks under which others crashed.
 *
 * @param state - All that is known.
 * @param questions - The open steps with tasks that are to be alone, in their order.
 * @param endpoints - The endpoints of the pool that take new work.
 * @returns The endpoints, those where such a task was begun and has not proved harmless among them.
 */
export const planIsolation = (
  state: BatchState,
  questions: readonly IsolationRequest[],
  endpoints: readonly EndpointState[],
): IsolatedEndpoints => {
  const isolated = underWay(state);
  const most = mostIsolated(endpoints);
  questions.forEach(({ step, admitted }) => {
    const { job } = step;
    const { length: waiting } = waitingSuspects(state, step);
    if (!isWritten(job)) return;
    const chosen = admitted.filter(({ endpointId }) => isolated.get(endpointId) === job);
    const free = admitted
      .filter((one) => !isolated.has(one.endpointId) && couldBegin(one, step) > 0)
      .sort(byFitness(job));
    // A gang gets all that it needs or nothing: without another to wait for it may have more than the share.
    const mayExceed = step.spec.isGang && isolated.size === 0;
    while (
      !haveRoom(chosen, step, waiting) &&
      free.length > 0 &&
      (mayExceed || isolated.size < most)
    ) {
      const next = free.shift() as EndpointState;
      chosen.push(next);
      isolated.set(next.endpointId, job);
    }
  });
  return isolated;
};

/**
 * Lists where the waiting tasks of a step may be begun that are to be alone.
 *
 * @param isolated - What is kept for whom.
 * @param question - The step, and the endpoints that may run it.
 * @param nowMs - The time.
 * @returns The endpoints on which only tasks of its job run, or, after some time, only ones that have long been there.
 */
export const isolatedPlaces = (
  isolated: IsolatedEndpoints,
  { step, admitted }: IsolationRequest,
  nowMs: number,
): readonly EndpointState[] => {
  const { job } = step;
  if (!isWritten(job)) return [];
  const endedAtMs = Math.max(0, ...step.tasks.map(({ lastEnd }) => lastEnd?.countedAtMs ?? 0));
  const isPatient = nowMs - endedAtMs < PATIENCE_MS;
  const mayStay = (endpoint: EndpointState, run: RunState): boolean =>
    isSettled(endpoint, run) && (run.step.spec.isLasting || !isPatient);
  return admitted.filter(
    (endpoint) =>
      isolated.get(endpoint.endpointId) === job &&
      othersOn(endpoint, job).every((run) => mayStay(endpoint, run)),
  );
};
