/**
 * The state of batch work that the control holder, the entry that holds the control lease, keeps in memory; it is
 * called the holder below. The records are changed in place, because each endpoint reports many ended runs a second and
 * nothing reads the records during a change. Times are on the holder's monotonic clock, in milliseconds, unless a name
 * or comment says otherwise.
 */
import type {
  AccountName,
  DataCentreId,
  DomainId,
  EndpointId,
  InstanceId,
  JobId,
  PoolName,
} from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import type {
  AnnouncedStarts,
  EndpointState,
  GoneEndpoint,
  UnansweredStart,
  RecentCrash,
} from './endpoint-state.js';
import type { BatchPhase, TaskKey } from './job.js';
import type { DeferredJob, JobState, StepRun, Task } from './job-state.js';
import { createDemand, type Demand } from '../pools/demand.js';
import { createDemandPeakHistory, type DemandPeakHistory } from '../pools/demand-peaks.js';
import type { AccountLimits } from './accounts.js';
import type { Usage } from './capacity.js';
import type { Domain, SuspectedDomain } from './domain.js';
import type { QueueOrder } from './queue-order.js';
import type { PlacementPolicy } from './placement-policy.js';
import type { AccountShare } from './share.js';
import { createRunTimes, type RunTimes } from '../jobs/run-times.js';

export * from './capacity.js';
export * from './domain.js';
export * from './endpoint-state.js';
export * from './job-state.js';

/** The maximum lease that one order may grant, if the platform does not set a bound. */
const DEFAULT_MAX_LEASE_MS = 10_000;

/** After this many steps were opened since the last ranking, the next pass ranks the whole backlog. */
const MAX_OPENED = 1000;

/** The last ranking of a pool's large backlog. */
export type PoolRanking = {
  /** The first steps in order when the whole backlog was last ranked. */
  shortlist: readonly StepRun[];
  /** The steps opened since then. */
  openedSteps: StepRun[];
  rankedAtMs: number;
};

/** The CPU that a pool can gain, by the host list, in thousandths of a core. */
export type PoolForecast = {
  /** The CPU of hosts that are being moved to the pool. */
  readonly joiningCpu: number;
  /** The CPU of free hosts in other pools and in the spare pool. */
  readonly freeCpu: number;
  /** The CPU of hosts in other pools that are being emptied for jobs within their account's share. */
  readonly reclaimedCpu: number;
};

/** The state of a pool. */
export type PoolState = {
  readonly name: PoolName;
  /** The steps whose tasks may start. */
  readonly openSteps: Set<StepRun>;
  /** The announced starts that are not ordered yet. */
  readonly announcedStarts: Set<AnnouncedStarts>;
  readonly ranking: PoolRanking;
  readonly demand: Demand;
  forecast: PoolForecast;
  /** The work of the tasks completed so far, in core-milliseconds. */
  doneCoreMs: number;
  /** The endpoints that may run inherited tasks and of which no incarnation has listed everything yet. */
  readonly unreportedInstances: Set<InstanceId>;
  /** When an endpoint of the pool last answered after it had left questions unanswered; -Infinity if none has. */
  lastSilenceEndedAtMs: number;
  /** A host of the pool was down when this holder first read the host list: see `losses-before-takeover.ts`. */
  hadHostDownAtTakeover: boolean;
};

/** An action that the runtime has to perform. */
export type BatchEffect =
  | {
      readonly kind: 'start';
      readonly endpointId: EndpointId;
      readonly task: TaskKey;
      readonly run: number;
      readonly spec: string;
      readonly checkpoint: string;
      /** The ticket of the advice service; '' if the queue needs no advice. */
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
  /** Sends a question to an endpoint at once, to find out whether it still answers. */
  | { readonly kind: 'ask'; readonly endpointId: EndpointId }
  | { readonly kind: 'save'; readonly jobId: JobId; readonly isUrgent: boolean }
  | {
      readonly kind: 'note';
      readonly event: string;
      readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
    };

/** The whole state of a holder. */
export type BatchState = {
  /** The holder's fencing token. */
  readonly fence: number;
  /** The monotonic time of the event that is being applied. */
  clockMs: number;
  /** The wall-clock time minus the monotonic time. */
  wallClockOffsetMs: number;
  /**
   * Until this time no other entry can have become the holder. Afterwards another holder may have extended leases on
   * endpoints and received reports of ended runs, so this holder concludes nothing from reports that it has not received.
   */
  soleHolderUntilMs: number;
  /** When this holder took over; infinite before that. */
  takenOverAtMs: number;
  /** The time at which every lease granted by an earlier holder has certainly ended. */
  inheritedLeasesEndAtMs: number;
  /** From this time on no earlier holder sends orders to endpoints. */
  formerOrdersEndAtMs: number;
  /** The host list has not been read yet, so any host may have an endpoint that is in no list. */
  isHostListAwaited: boolean;
  /** The data centres that an operator has ordered to be evacuated. Their endpoints get no new work. */
  evacuatedDataCentres: ReadonlySet<DataCentreId>;
  readonly jobs: Map<JobId, JobState>;
  /** The accepted jobs that wait for memory; none of them is in `jobs`. See `jobs/job-memory.ts`. */
  readonly deferredJobs: Map<JobId, DeferredJob>;
  readonly pools: Map<PoolName, PoolState>;
  readonly endpoints: Map<EndpointId, EndpointState>;
  /** The racks and data centres with the endpoints in them; none of them is empty. */
  readonly domains: Map<DomainId, Domain>;
  /** The domains suspected to have failed as a whole. Endpoints in them that have not answered since get no new work. */
  readonly suspectedDomains: Map<DomainId, SuspectedDomain>;
  /** The current incarnation of each endpoint of which one is known. */
  readonly currentIncarnations: Map<InstanceId, EndpointState>;
  /** The endpoints that are gone and whose runs are not given up yet. */
  readonly goneEndpoints: Map<EndpointId, GoneEndpoint>;
  /** The unanswered start orders by the endpoint that they were sent to. */
  readonly unansweredStarts: Map<InstanceId, readonly UnansweredStart[]>;
  /** The longest lease that one order may grant to the runs on an endpoint. */
  longestLeaseMs: number;
  recentCrashes: readonly RecentCrash[];
  /** The actions that the runtime has to perform next. */
  readonly effects: BatchEffect[];
  /** Incremented whenever capacity becomes free on an endpoint. */
  freeCapacityRevision: number;
  /** How many more start orders may be sent now. The capacity of the holder's network link limits them. */
  startsLeft: number;
  readonly runTimes: RunTimes;
  readonly peaks: DemandPeakHistory;
  /** The jobs with occurrences that are still to come. */
  readonly recurringJobs: Set<JobState>;
  /** What recurring jobs may take for further occurrences, in bytes; each job may always have one. */
  occurrenceBytesLeft: number;
  /** The tasks whose starts an earlier holder announced for an endpoint that has not listed its runs to this holder. */
  readonly inheritedTrials: Map<EndpointId, { readonly step: StepRun; readonly task: Task }[]>;
  /** The jobs that have not ended and have tasks under which endpoints crashed or may have crashed. */
  readonly suspectJobs: Set<JobState>;
  /** The limits of the accounts in the newest configuration. */
  accounts: ReadonlyMap<AccountName, AccountLimits>;
  /** The limits of accounts that the configuration no longer contains, or that are known only from rows of jobs. */
  readonly formerAccounts: Map<AccountName, AccountLimits>;
  /** The resources of each account's runs that are known here, including those that are being started or stopped. */
  readonly usage: Map<AccountName, Usage>;
  /**
   * The resources that each account's runs may use in addition: runs that an earlier holder started and no endpoint has
   * reported yet. Computed at `unreportedAtMs`.
   */
  unreportedUsage: ReadonlyMap<AccountName, Usage>;
  unreportedAtMs: number;
  /** The share of each account. */
  readonly shares: Map<AccountName, AccountShare>;
  /** When clients first tried to submit jobs that were refused. */
  readonly firstAttempts: Map<JobId, number>;
  /**
   * Endpoints that take only jobs within their account's share, because their hosts are needed by other pools for such
   * jobs.
   */
  reclaimedEndpoints: ReadonlySet<EndpointId>;
  /** The order of the queue. */
  queueOrder: QueueOrder;
  /** How tasks of short steps are placed. */
  placementPolicy: PlacementPolicy;
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
  wallClockOffsetMs: 0,
  soleHolderUntilMs: Infinity,
  takenOverAtMs: Infinity,
  inheritedLeasesEndAtMs: 0,
  formerOrdersEndAtMs: 0,
  isHostListAwaited: false,
  evacuatedDataCentres: new Set(),
  jobs: new Map(),
  deferredJobs: new Map(),
  pools: new Map(),
  endpoints: new Map(),
  domains: new Map(),
  suspectedDomains: new Map(),
  currentIncarnations: new Map(),
  goneEndpoints: new Map(),
  unansweredStarts: new Map(),
  longestLeaseMs: DEFAULT_MAX_LEASE_MS,
  recentCrashes: [],
  effects: [],
  freeCapacityRevision: 0,
  startsLeft: Infinity,
  runTimes: createRunTimes(),
  peaks: createDemandPeakHistory(),
  recurringJobs: new Set(),
  occurrenceBytesLeft: Infinity,
  inheritedTrials: new Map(),
  suspectJobs: new Set(),
  accounts: new Map(),
  formerAccounts: new Map(),
  usage: new Map(),
  unreportedUsage: new Map(),
  unreportedAtMs: -Infinity,
  shares: new Map(),
  firstAttempts: new Map(),
  reclaimedEndpoints: new Set(),
  queueOrder: 'owed-then-fair',
  placementPolicy: 'fullest',
});

/**
 * Tells whether this holder is certainly the only one. Only then may it give up a run of which it has not received the
 * end, and start the task again: if it may have been replaced, the next holder may have received that end.
 *
 * @param state - The batch state.
 * @param nowMs - The current time on the holder's monotonic clock, in milliseconds.
 * @returns True while no other entry can have become the holder.
 */
export const isSoleHolder = ({ soleHolderUntilMs }: BatchState, nowMs: number): boolean =>
  nowMs < soleHolderUntilMs;

/**
 * Returns the state of a pool.
 *
 * @param state - The batch state.
 * @param name - The pool's name.
 * @returns Its state, which is created at the first use.
 */
export const poolOf = (state: BatchState, name: PoolName): PoolState => {
  const known = state.pools.get(name);
  if (known) return known;
  const created: PoolState = {
    name,
    openSteps: new Set(),
    announcedStarts: new Set(),
    ranking: { shortlist: [], openedSteps: [], rankedAtMs: -Infinity },
    demand: createDemand(),
    forecast: { joiningCpu: 0, freeCpu: 0, reclaimedCpu: 0 },
    doneCoreMs: 0,
    unreportedInstances: new Set(),
    lastSilenceEndedAtMs: -Infinity,
    hadHostDownAtTakeover: false,
  };
  state.pools.set(name, created);
  return created;
};

/**
 * Opens a step, so that its waiting tasks may start.
 *
 * @param state - The batch state, changed in place.
 * @param step - The step.
 */
export const addOpenStep = (state: BatchState, step: StepRun): void => {
  const { openSteps, ranking } = poolOf(state, step.job.job.pool);
  openSteps.add(step);
  ranking.openedSteps.push(step);
  // A pool without endpoints is never ranked, which would let this list grow without bound.
  if (ranking.openedSteps.length > MAX_OPENED)
    change(ranking, { openedSteps: [], rankedAtMs: -Infinity });
};

/**
 * Removes and returns the actions that the runtime has to perform.
 *
 * @param state - The batch state; its list of effects is empty afterwards.
 * @returns The actions in order.
 */
export const removeEffects = (state: BatchState): readonly BatchEffect[] =>
  state.effects.splice(0, state.effects.length);

/**
 * Tells whether a phase is final.
 *
 * @param phase - The phase of a job.
 * @returns True for `completed`, `failed` and `cancelled`.
 */
export const isFinal = (phase: BatchPhase): boolean => phase !== 'pending' && phase !== 'running';
