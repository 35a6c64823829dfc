/** What is known of endpoints, and of what runs on them. Records change in place. */
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

/** The failure domains that an endpoint stands in; null for a rack or a data centre without a name. */
export type EndpointDomains = {
  readonly rack: DomainId | null;
  readonly dataCentre: DomainId | null;
};

/** An endpoint of a pool. */
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
   * Runs that were given up as the lease ended, until the endpoint answers or is found gone: then it shows
   * that it had crashed under them.
   */
  lapsedRuns: readonly RunState[];
  /** Of what it listed last beside these: it was ordered to stop it. */
  strays: readonly StepRun[];
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
  /** Rises as room comes free here; see `BatchState`. */
  roomRevision: number;
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

/** An order to start that had no answer, and may still be carried out. */
export type OpenStart = {
  readonly task: TaskKey;
  readonly run: number;
  readonly untilMs: number;
};
