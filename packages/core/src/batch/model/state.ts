/**
 * What the holder of control knows of batch work. The records change in place: an endpoint reports
 * many ends a second, and nothing else reads them meanwhile. Times are of the holder's monotonic
 * clock unless a name says otherwise.
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
import type { EndpointState, GoneEndpoint, OpenStart, RecentCrash } from './endpoint-state.js';
import type { BatchPhase, TaskKey } from './job.js';
import type { JobState, StepRun } from './job-state.js';
import { createDemand, type Demand } from '../pools/demand.js';
import { createDemandPeaks, type DemandPeaks } from '../pools/demand-peaks.js';
import type { AccountLimits } from './accounts.js';
import type { Usage } from './capacity.js';
import type { Domain, SuspectedDomain } from './domain.js';
import type { OrderWay } from './order-ways.js';
import type { PlacementPolicy } from './placement-policy.js';
import type { AccountShare } from './share.js';
import { createRunTimes, type RunTimes } from '../jobs/run-times.js';

export * from './capacity.js';
export * from './domain.js';
export * from './endpoint-state.js';
export * from './job-state.js';

/** Where a platform does not bound the lease that one order may grant. */
const LONGEST_LEASE_MS = 10_000;

/** After so many opened steps a backlog is ranked as a whole at the next pass. */
const MOST_OPENED = 1000;

/** What a pool remembers of the order of a large backlog. */
export type PoolRanking = {
  /** The first steps in order as the backlog was ranked last. */
  shortlist: readonly StepRun[];
  /** Steps that were opened since. */
  opened: StepRun[];
  rankedAtMs: number;
};

/** Room that a pool can get, by the list of hosts. */
export type PoolOutlook = {
  /** On hosts that are on their way to it. */
  readonly comingCpu: number;
  /** On free hosts of other pools and of the spare one. */
  readonly freeCpu: number;
  /** On hosts of other pools that are emptied for work that is owed. */
  readonly reclaimedCpu: number;
};

/** A pool with its open steps. */
export type PoolState = {
  readonly name: PoolName;
  readonly open: Set<StepRun>;
  readonly ranking: PoolRanking;
  readonly demand: Demand;
  outlook: PoolOutlook;
  /** Work of its tasks that are done, in core-milliseconds. */
  doneCoreMs: number;
  /** Endpoints that may run inherited tasks and of which no life has answered yet. */
  readonly notReported: Set<InstanceId>;
  /** A host was down as this holder first read the list: see `inherited-losses.ts`. */
  hasLossBefore: boolean;
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
  /** Asks an endpoint at once whether it is there. */
  | { readonly kind: 'ask'; readonly endpointId: EndpointId }
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
  /** From then on no earlier holder orders endpoints any more. */
  formerOrdersEndAtMs: number;
  /** The hosts have not been read yet, so any of them may hold an endpoint that is in no list. */
  isHostListAwaited: boolean;
  /** Data centres whose endpoints begin nothing, as the operator has ordered. */
  evacuated: ReadonlySet<DataCentreId>;
  readonly jobs: Map<JobId, JobState>;
  readonly pools: Map<PoolName, PoolState>;
  readonly endpoints: Map<EndpointId, EndpointState>;
  /** Racks and data centres with the endpoints that stand in them; none is empty. */
  readonly domains: Map<DomainId, Domain>;
  /** Those that may be lost as a whole: what has not answered since gets no new work. */
  readonly suspectedDomains: Map<DomainId, SuspectedDomain>;
  /** The life that each endpoint is known to be in. */
  readonly lives: Map<InstanceId, EndpointState>;
  readonly goneEndpoints: Map<EndpointId, GoneEndpoint>;
  /** Orders to start that had no answer, by where they were sent. */
  readonly openStarts: Map<InstanceId, readonly OpenStart[]>;
  /** For how long an endpoint may keep what runs there by one order. */
  longestLeaseMs: number;
  recentCrashes: readonly RecentCrash[];
  readonly effects: BatchEffect[];
  /** Rises each time that room comes free on an endpoint. */
  roomRevision: number;
  /** How many more starts may be sent now: what the holder's link carries. */
  startsLeft: number;
  readonly runTimes: RunTimes;
  readonly peaks: DemandPeaks;
  /** Jobs with occurrences still to come. */
  readonly timed: Set<JobState>;
  /** Live jobs with tasks under which endpoints crashed, or may have. */
  readonly suspectJobs: Set<JobState>;
  /** By the newest configuration; and those that it has lost, or that only rows tell of. */
  accounts: ReadonlyMap<AccountName, AccountLimits>;
  readonly formerAccounts: Map<AccountName, AccountLimits>;
  /** What each account has running, ordered or being stopped, as far as it is known here. */
  readonly usage: Map<AccountName, Usage>;
  /** What each may have running besides, begun by an earlier holder; reckoned at the time that follows. */
  unreportedUsage: ReadonlyMap<AccountName, Usage>;
  unreportedAtMs: number;
  /** What each account is owed of what it hands in. */
  readonly shares: Map<AccountName, AccountShare>;
  /** When clients first tried to hand in jobs that were refused. */
  readonly firstAttempts: Map<JobId, number>;
  /** Endpoints that take no further work beyond what accounts are owed: their hosts are owed to other pools. */
  reclaimed: ReadonlySet<EndpointId>;
  /** How the queue is ordered. */
  orderWay: OrderWay;
  /** Where tasks of short steps go. */
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
  todayAheadMs: 0,
  soleHolderUntilMs: Infinity,
  takenOverAtMs: Infinity,
  inheritedLeasesEndAtMs: 0,
  formerOrdersEndAtMs: 0,
  isHostListAwaited: false,
  evacuated: new Set(),
  jobs: new Map(),
  pools: new Map(),
  endpoints: new Map(),
  domains: new Map(),
  suspectedDomains: new Map(),
  lives: new Map(),
  goneEndpoints: new Map(),
  openStarts: new Map(),
  longestLeaseMs: LONGEST_LEASE_MS,
  recentCrashes: [],
  effects: [],
  roomRevision: 0,
  startsLeft: Infinity,
  runTimes: createRunTimes(),
  peaks: createDemandPeaks(),
  timed: new Set(),
  suspectJobs: new Set(),
  accounts: new Map(),
  formerAccounts: new Map(),
  usage: new Map(),
  unreportedUsage: new Map(),
  unreportedAtMs: -Infinity,
  shares: new Map(),
  firstAttempts: new Map(),
  reclaimed: new Set(),
  orderWay: 'owed-then-fair',
  placementPolicy: 'fullest',
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
    ranking: { shortlist: [], opened: [], rankedAtMs: -Infinity },
    demand: createDemand(),
    outlook: { comingCpu: 0, freeCpu: 0, reclaimedCpu: 0 },
    doneCoreMs: 0,
    notReported: new Set(),
    hasLossBefore: false,
  };
  state.pools.set(name, built);
  return built;
};

/**
 * Opens a step: its waiting tasks may begin.
 *
 * @param state - All that is known, changed in place.
 * @param step - The step.
 */
export const addOpenStep = (state: BatchState, step: StepRun): void => {
  const { open, ranking } = poolOf(state, step.job.job.pool);
  open.add(step);
  ranking.opened.push(step);
  // A pool without endpoints is not ranked meanwhile.
  if (ranking.opened.length > MOST_OPENED) change(ranking, { opened: [], rankedAtMs: -Infinity });
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
