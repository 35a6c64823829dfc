/** The state of endpoints and of the runs on them. Records are changed in place. */
import type {
  DataCentreId,
  DomainId,
  EndpointId,
  HostId,
  JobId,
  PoolName,
} from '../../shared/ids.js';
import type { Capacity } from './capacity.js';
import type { TaskKey } from './job.js';
import type { EndpointCrash, StepRun, Task } from './job-state.js';

/** A run: one execution of a task on an endpoint. */
export type RunState = {
  readonly task: Task;
  readonly step: StepRun;
  readonly run: number;
  /**
   * `announced`: the start is being written to the job's row, and no order was sent. `unsure`: the order to start the run
   * was not answered.
   */
  phase: 'announced' | 'starting' | 'running' | 'unsure' | 'stopping';
  /** When the run was added here, or ordered if its start was announced. */
  startedAtMs: number;
  /** The endpoint's clock when it answered the order to start the run; undefined if that is not known. */
  startClockMs: number | undefined;
  /** When the endpoint confirmed the run; infinite before that. */
  confirmedAtMs: number;
  /** The time by which the run had certainly started; infinite while that is not known. */
  startedByMs: number;
  /** A crash of the endpoint under the run is conclusive; see `crashes/pool-calm.ts`. */
  isConclusive: boolean;
  /** This incarnation of the endpoint has listed the run, so the run did not start in a later incarnation. */
  isListed: boolean;
  /** When an order to stop the run was answered; infinite before that. */
  stopAnsweredAtMs: number;
  /** The progress that the endpoint reported last, in percent. */
  percent: number;
  /** For a serving task its tail latency in milliseconds; for any other task the number of cores it uses. */
  loadFigure: number;
  /** The percentage of its full pace that the run is allowed; 100 unless it was paced. */
  pacePercent: number;
  /** When `pacePercent` was last changed. */
  pacedAtMs: number;
  /** When `percent` last rose. */
  progressAtMs: number;
};

/**
 * A run that an endpoint lists and that this holder wants nowhere: its job is over or not known, or its task runs elsewhere.
 * The endpoint was ordered to stop it. It takes capacity there until its end is listed.
 */
export type OrphanRun = {
  readonly task: TaskKey;
  readonly run: number;
  /** The step of its task; undefined if that is not known, and with it the capacity that the run takes. */
  readonly step: StepRun | undefined;
  readonly firstListedAtMs: number;
  /** When the order to stop it was answered; infinite before that. */
  stopAnsweredAtMs: number;
};

/** Starts of tasks of one step that were announced together, and are ordered together once the job's row names them. */
export type AnnouncedStarts = {
  readonly step: StepRun;
  /** The `crashRecordRevision` of the job with which its row names the starts. */
  readonly revision: number;
  readonly announcedAtMs: number;
  readonly runs: readonly {
    readonly endpoint: EndpointState;
    readonly run: RunState;
    /** Why the endpoint was chosen. */
    readonly reason: string;
  }[];
};

/** The failure domains of an endpoint; null for a rack or a data centre without a name. */
export type EndpointDomains = {
  readonly rack: DomainId | null;
  readonly dataCentre: DomainId | null;
};

/**
 * What an endpoint has listed to this holder. A run of an earlier holder that it has not listed may be there, or may have
 * ended there, until it has listed everything once.
 * - `none`: it has not answered.
 * - `ends-missing`: it has answered, but with more ended runs than one response holds. It lists the others once these are
 *   acknowledged. Its active runs are all listed.
 * - `rows-unreadable`: it has answered, but rows of its response cannot be read. Another request may not change that.
 * - `complete`: it has listed everything. The endpoint rejects orders of earlier holders, so this does not change again.
 */
export type ListingStatus = 'none' | 'ends-missing' | 'rows-unreadable' | 'complete';

/** One incarnation of an endpoint of a pool. */
export type EndpointState = {
  readonly endpointId: EndpointId;
  readonly pool: PoolName;
  hostId: HostId | null;
  readonly dataCentre: DataCentreId;
  readonly labels: readonly string[];
  readonly domains: EndpointDomains;
  readonly capacity: Capacity;
  readonly used: { cpuMillis: number; memoryMb: number; accelerators: number };
  readonly runs: Map<TaskKey, RunState>;
  /**
   * Runs that were given up when the lease of the endpoint ended. They are kept until the endpoint answers or is found
   * gone; in the latter case the endpoint had crashed while it ran them.
   */
  expiredRuns: readonly RunState[];
  orphanRuns: ReadonlyMap<TaskKey, OrphanRun>;
  /** What the endpoint has listed since this holder took over. */
  listing: ListingStatus;
  isDraining: boolean;
  /** The endpoint has announced that it will shut down, so its end is not a failure. */
  hasAnnouncedEnd: boolean;
  /** Until this time the endpoint gets no new work; `withheldReason` tells why. */
  withheldUntilMs: number;
  withheldReason: string;
  /** Until this time the endpoint is slow, because its data centre was returned to service. */
  coldUntilMs: number;
  /** The endpoint gets no new work, so that its host can be maintained or moved to another pool. */
  isCordoned: boolean;
  /** Its host has upcoming maintenance, so a long-running task that starts here would have to move again. */
  hasMaintenanceAhead: boolean;
  /** The time after which no run that it was ordered to start can still be running. */
  leaseEndsAtMs: number;
  idleSinceMs: number;
  /** The `freeCapacityRevision` of the `BatchState` at which capacity last became free on this endpoint. */
  freeCapacityRevision: number;
  readonly seenAtMs: number;
  /** When the question was sent whose answer was applied last. */
  reportedAtMs: number;
  /** When the first question or order since the last answer went unanswered; infinite if none did. */
  unansweredSinceMs: number;
  health: EndpointHealth;
};

/**
 * The evidence that an endpoint is gone.
 * - `host-list`: the host list shows no endpoint on its host.
 * - `host-taken`: its host has another endpoint.
 * - `host-ordered`: its host is being moved or maintained by order.
 * - `replaced`: another endpoint has its address.
 * - `restarted`: a later incarnation has its platform id.
 * - `succeeded`: its lease has ended, and an endpoint that came later answers from its host.
 * - `unlisted`: it had no runs, and it is no longer in the endpoint list.
 */
export type GoneCause =
  'host-list' | 'host-taken' | 'host-ordered' | 'replaced' | 'restarted' | 'succeeded' | 'unlisted';

/** An endpoint that is gone, kept until its runs are given up. */
export type GoneEndpoint = {
  readonly endpoint: EndpointState;
  readonly detail: GoneCause;
  /** When the evidence held. */
  readonly atMs: number;
  /** The crash to record for each run that was on the endpoint; null until the cause of its end was evaluated. */
  crashesByRun: ReadonlyMap<RunState, EndpointCrash> | null;
  /** A later incarnation has answered, so every run that it did not list has ended. */
  hasSuccessorAnswered: boolean;
};

/** A recent crash of an endpoint; an end that was ordered or announced is no crash. */
export type RecentCrash = {
  readonly endpointId: EndpointId;
  readonly pool: PoolName;
  readonly rack: string;
  readonly atMs: number;
  /** Only one job had started tasks there, and endpoints had crashed under that job before. */
  readonly isExplained: boolean;
};

/** Signs that tasks fail or hang on an endpoint. */
export type EndpointHealth = {
  /** The jobs of which tasks have failed here since a task was last completed here. */
  readonly failedJobs: Set<JobId>;
  /** The jobs of tasks whose start orders got no answer, since the last one that did. */
  readonly unansweredJobs: Set<JobId>;
  /** How often in a row the endpoint was withheld from new work. */
  withholdCount: number;
};

/** An order to start a run that was not answered and may still be carried out. */
export type UnansweredStart = {
  readonly task: TaskKey;
  readonly run: number;
  /** The time until which the order may still be carried out. */
  readonly untilMs: number;
};
