/**
 * What the holder of control knows of batch work. The records change in place: an endpoint reports
 * many ends a second, and nothing else reads them meanwhile. Times are of the holder's monotonic
 * clock unless a name says otherwise.
 */
import type { EndpointId, HostId, InstanceId, JobId, PoolName } from '../shared/ids.js';
import type { BatchJob, BatchPhase, QueuePolicy, StepSpec, TaskKey } from './job.js';
import type { OpenStart } from './open-starts.js';
import { createDemand, type Demand } from './demand.js';
import { createDemandPeaks, type DemandPeaks } from './demand-peaks.js';
import { createRunTimes, type RunTimes } from './run-times.js';

/** Where a platform does not bound the lease that one order may grant. */
const LONGEST_LEASE_MS = 10_000;

/** One task. */
export type Task = {
  readonly key: TaskKey;
  readonly index: number;
  phase: 'waiting' | 'placed' | 'done';
  /**
   * The runs that failed. Numbers rather than a count: reports come again until they are
   * acknowledged, from several endpoints in any order.
   */
  failedRuns: readonly number[];
  /** The highest run number that was used. */
  lastRun: number;
  /** The run that ended last, and when it was counted as ended; null if none is known to have. */
  lastEnd: { readonly run: number; readonly countedAtMs: number } | null;
  /** Where the work can be resumed; '' for the start. */
  checkpoint: string;
  /** The endpoint of the last failure: the next run goes elsewhere if it can. */
  avoid: EndpointId | null;
  /** For lasting tasks: since when it has not been at work; 0 while it is. */
  awaySinceMs: number;
  /** Endpoints that crashed by themselves under it, the first one first. */
  crashes: readonly EndpointCrash[];
};

/** An endpoint that crashed by itself while a run of a task was there. */
export type EndpointCrash = {
  readonly run: number;
  /** For how long the endpoint is known to have lived with the run. */
  readonly livedMs: number;
  /** The endpoint is known to have begun the run. */
  readonly isConfirmed: boolean;
  /** The run had begun so short a time before that it may be to blame. */
  readonly isSuspected: boolean;
  /** Every run of another job had been there for long. */
  readonly isSoleSuspect: boolean;
  /** Others, of which no task explains the end, crashed about then: a rack, a power feed. */
  readonly isCorrelated: boolean;
  /** The fence of the holder that counted it. */
  readonly fence: number;
  /** When it was counted, by the time of day. */
  readonly countedAtMs: number;
};

/** Which endpoints may run a step, as far as it was asked. */
export type StepAdvice = {
  readonly tickets: Map<EndpointId, { readonly ticket: string; readonly validUntilMs: number }>;
  readonly refused: Set<EndpointId>;
  isAsking: boolean;
  /** After a question without an answer. */
  notBeforeMs: number;
};

/**
 * Builds the advice of a step that nothing was asked about yet.
 *
 * @returns The advice.
 */
export const createStepAdvice = (): StepAdvice => ({
  tickets: new Map(),
  refused: new Set(),
  isAsking: false,
  notBeforeMs: 0,
});

/** A step of one occurrence of a job. */
export type StepRun = {
  readonly job: JobState;
  readonly occurrence: OccurrenceState;
  readonly number: number;
  readonly spec: StepSpec;
  readonly tasks: readonly Task[];
  /** Indices of tasks that wait for a place; meaningful once the step is open. */
  waiting: number[];
  isOpen: boolean;
  doneCount: number;
  /** How many tasks of the step stand on an endpoint. */
  readonly perEndpoint: Map<EndpointId, number>;
  /** Not tried again before this time. */
  retryAtMs: number;
  /** Null where the queue needs no advice. */
  readonly advice: StepAdvice | null;
};

/** One repetition of a job's steps. */
export type OccurrenceState = {
  readonly number: number;
  readonly dueAtMs: number;
  readonly steps: StepRun[];
};

/** A job with the state of its tasks. */
export type JobState = {
  readonly job: BatchJob;
  policy: QueuePolicy;
  phase: BatchPhase;
  /** In terms of the operator's labels: why it stands where it does. */
  reason: string;
  readonly occurrences: Map<number, OccurrenceState>;
  nextOccurrence: number;
  /** When it came in, by the monotonic clock. */
  readonly sinceMs: number;
  /** Accepted under an earlier holder: a task may be running where nobody has answered yet. */
  readonly isInherited: boolean;
  hasBegun: boolean;
  /** Endpoints that crashed under its tasks, as counted here and as its row has them. */
  countedCrashes: number;
  writtenCrashes: number;
};

/** A run of a task on an endpoint. */
export type RunState = {
  readonly task: Task;
  readonly step: StepRun;
  readonly run: number;
  /** `unsure`: the order to start it had no answer. */
  phase: 'starting' | 'running' | 'unsure' | 'stopping';
  readonly startedAtMs: number;
  /** When the endpoint confirmed it; infinite before. */
  confirmedAtMs: number;
  /** When it had surely begun; infinite before that is known. */
  begunByMs: number;
  /** The list of the life that it is on has named it: it did not begin in a later one. */
  isListed: boolean;
  /** When an order to stop it was answered; infinite before. */
  stopAnsweredAtMs: number;
  percent: number;
  /** A serving task's tail of answer times in milliseconds; another's processors in use. */
  figure: number;
  /** The share of its work that it is let to do; 100 unless it was paced. */
  pacePercent: number;
  pacedAtMs: number;
  /** When the percentage last rose. */
  progressAtMs: number;
};

/** What an endpoint has room for. */
export type Capacity = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
};

/** An endpoint of a pool. */
export type EndpointState = {
  readonly endpointId: EndpointId;
  readonly pool: PoolName;
  hostId: HostId | null;
  readonly dataCentre: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  readonly used: { cpuMillis: number; memoryMb: number; accelerators: number };
  readonly runs: Map<TaskKey, RunState>;
  /**
   * Runs that were given up as the lease ended, until the endpoint answers or is found gone: then it shows
   * that it had crashed under them.
   */
  lapsedRuns: readonly RunState[];
  /** It has answered under the present fence, so all that runs there is known. */
  isKnown: boolean;
  isDraining: boolean;
  /** It said itself that it will leave: its end is no failure. */
  hasAnnouncedEnd: boolean;
  /** Withheld from new work until then, with the reason. */
  withheldUntilMs: number;
  withheldReason: string;
  /** Kept empty for maintenance or a move. */
  isClosing: boolean;
  /** Its host has maintenance ahead: what lasts and is begun here would move again. */
  isAwaited: boolean;
  /** When nothing that it may have been told to run can still be running. */
  leaseEndsAtMs: number;
  idleSinceMs: number;
  readonly seenAtMs: number;
  /** When the question was sent whose answer was applied last. */
  reportedAtMs: number;
  health: EndpointHealth;
};

/**
 * What shows that an endpoint is gone. `host-list`: its host has none. `host-taken`: its host has another one. `host-ordered`: its
 * host goes through a move or maintenance. `replaced`: another endpoint has its address. `restarted`: a later
 * life has its id. `succeeded`: its lease is over, and another that came later answers from its host.
 * `unlisted`: nothing ran there, and it is listed no more.
 */
export type GoneCause =
  'host-list' | 'host-taken' | 'host-ordered' | 'replaced' | 'restarted' | 'succeeded' | 'unlisted';

/** An endpoint whose life is over, until what ran there is given up. */
export type GoneEndpoint = {
  readonly endpoint: EndpointState;
  readonly detail: GoneCause;
  /** When that held. */
  readonly atMs: number;
  /** What it says of the runs that were there; null before it was judged. */
  verdicts: ReadonlyMap<RunState, EndpointCrash> | null;
  /** A later life has answered: what that did not name has ended. */
  isFollowed: boolean;
};

/** An endpoint that crashed by itself a short time ago. */
export type RecentCrash = {
  readonly endpointId: EndpointId;
  readonly rack: string;
  readonly atMs: number;
  /** Only one job had begun something there, and endpoints had crashed under that before. */
  readonly isExplained: boolean;
};

/** Signs that an endpoint fails or hangs what it is given. */
export type EndpointHealth = {
  /** Distinct jobs whose tasks failed here since the last task that was done. */
  readonly failedJobs: Set<JobId>;
  /** How often it was withheld in a row. */
  strikes: number;
};

/** A pool with its open steps. */
export type PoolState = {
  readonly name: PoolName;
  readonly open: Set<StepRun>;
  readonly demand: Demand;
  /** Endpoints that may run inherited tasks and of which no life has answered yet. */
  readonly notReported: Set<InstanceId>;
};

/** What the runtime has to do. */
export type BatchEffect =
  | {
      readonly kind: 'start';
      readonly endpointId: EndpointId;
      readonly task: TaskKey;
      readonly run: number;
      readonly spec: string;
      readonly checkpoint: string;
      /** '' where the queue needs no advice. */
      readonly ticket: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'advise';
      readonly jobId: JobId;
      readonly occurrence: number;
      readonly step: number;
      readonly endpoints: readonly EndpointId[];
    }
  | {
      readonly kind: 'stop';
      readonly endpointId: EndpointId;
      readonly task: TaskKey;
      readonly run: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'pace';
      readonly endpointId: EndpointId;
      readonly task: TaskKey;
      readonly run: number;
      readonly percent: number;
      readonly reason: string;
    }
  | { readonly kind: 'save'; readonly jobId: JobId; readonly isUrgent: boolean }
  | {
      readonly kind: 'note';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
    };

/** All that a holder knows. */
export type BatchState = {
  readonly fence: number;
  /** The monotonic time of the event that is being applied. */
  clockMs: number;
  /** What the time of day is ahead of the monotonic time. */
  todayAheadMs: number;
  /**
   * Until then no other entry can have become the holder. Later another may have prolonged leases on
   * endpoints and heard how runs ended: nothing is concluded from what this one has not heard.
   */
  soleHolderUntilMs: number;
  /** When this holder took over; infinite before it began. */
  takenOverAtMs: number;
  /** When every lease granted by an earlier holder has surely ended. */
  inheritedLeasesEndAtMs: number;
  /** The hosts have not been read yet, so any of them may hold an endpoint that is in no list. */
  isHostListAwaited: boolean;
  readonly jobs: Map<JobId, JobState>;
  readonly pools: Map<PoolName, PoolState>;
  readonly endpoints: Map<EndpointId, EndpointState>;
  /** The life that each endpoint is known to be in. */
  readonly lives: Map<InstanceId, EndpointState>;
  readonly goneEndpoints: Map<EndpointId, GoneEndpoint>;
  /** Orders to start that had no answer, by where they were sent. */
  readonly openStarts: Map<InstanceId, readonly OpenStart[]>;
  /** For how long an endpoint may keep what runs there by one order. */
  longestLeaseMs: number;
  recentCrashes: readonly RecentCrash[];
  readonly effects: BatchEffect[];
  /** How many more starts may be sent now: what the holder's link carries. */
  startsLeft: number;
  readonly runTimes: RunTimes;
  readonly peaks: DemandPeaks;
  /** Jobs with occurrences still to come. */
  readonly timed: Set<JobState>;
  /** Live jobs with tasks under which endpoints crashed. */
  readonly suspectJobs: Set<JobState>;
};

/**
 * Builds the state of a new holder.
 *
 * @param fence - The holder's fencing token.
 * @returns The state.
 */
export const createBatchState = (fence: number): BatchState => ({
  fence,
  clockMs: 0,
  todayAheadMs: 0,
  soleHolderUntilMs: Infinity,
  takenOverAtMs: Infinity,
  inheritedLeasesEndAtMs: 0,
  isHostListAwaited: false,
  jobs: new Map(),
  pools: new Map(),
  endpoints: new Map(),
  lives: new Map(),
  goneEndpoints: new Map(),
  openStarts: new Map(),
  longestLeaseMs: LONGEST_LEASE_MS,
  recentCrashes: [],
  effects: [],
  startsLeft: Infinity,
  runTimes: createRunTimes(),
  peaks: createDemandPeaks(),
  timed: new Set(),
  suspectJobs: new Set(),
});

/**
 * Tells whether a run that was not heard to end may be given up and its task started again. A holder
 * that may have been replaced must not: what it has not heard, the next one may have.
 *
 * @param state - All that is known.
 * @param nowMs - The time.
 * @returns True while no other entry can have become the holder.
 */
export const isSoleHolder = ({ soleHolderUntilMs }: BatchState, nowMs: number): boolean =>
  nowMs < soleHolderUntilMs;

/**
 * Gives the state of a pool.
 *
 * @param state - All that is known.
 * @param name - The pool.
 * @returns Its state; built at the first use.
 */
export const poolOf = (state: BatchState, name: PoolName): PoolState => {
  const known = state.pools.get(name);
  if (known) return known;
  const built: PoolState = {
    name,
    open: new Set(),
    demand: createDemand(),
    notReported: new Set(),
  };
  state.pools.set(name, built);
  return built;
};

/**
 * Takes what is to be done.
 *
 * @param state - All that is known; its effects are empty afterwards.
 * @returns The effects in order.
 */
export const takeEffects = (state: BatchState): readonly BatchEffect[] =>
  state.effects.splice(0, state.effects.length);

/**
 * Tells whether a phase is final.
 *
 * @param phase - The phase of a job.
 * @returns True for completed, failed and cancelled.
 */
export const isFinal = (phase: BatchPhase): boolean => phase !== 'pending' && phase !== 'running';
