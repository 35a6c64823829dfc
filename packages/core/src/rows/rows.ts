/** The rows of the platform's table: their keys and their contents. */
import type { JobDeclaration } from '../declarations/schema.js';
import type {
  DataCentreId,
  HostId,
  JobId,
  PoolName,
  RackId,
  ServiceName,
  WaveId,
} from '../shared/ids.js';
import type { Labels } from '../selectors/selector.js';

/** Where a host stands between two owners or two states of maintenance. */
export type HostPhase =
  'assigned' | 'draining' | 'empty' | 'rebooting' | 'verifying' | 'quarantined';

/** What a host is emptied for. */
export type DrainPurpose =
  | { readonly kind: 'wave'; readonly waveId: WaveId }
  /** The host goes to another pool once it is verified empty. */
  | { readonly kind: 'transfer'; readonly toPool: PoolName }
  | { readonly kind: 'operator' }
  /** The platform lists the host as leaving. */
  | { readonly kind: 'platform' };

/** The row of a host. It names exactly one pool at any moment. */
export type HostRow = {
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly phase: HostPhase;
  /** Why the host is not simply assigned, in words for the operator. */
  readonly reason: string;
  /** What the host is being emptied for; null while it is in use. */
  readonly drain: DrainPurpose | null;
  /** How often it had booted before the reboot that is under way. */
  readonly bootsBefore: number;
  /** The wave that last brought this host through maintenance. */
  readonly maintainedBy: WaveId | null;
};

/** What is declared of a host: its place, its size and its labels. */
export type HostSpec = {
  readonly hostId: HostId;
  readonly dataCentre: DataCentreId;
  readonly rack: RackId;
  /** The pool of a host that has no row yet. */
  readonly firstPool: PoolName;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: Labels;
};

/** Where a job's task stands. */
export type PlacementPhase =
  | 'assigned'
  | 'running'
  | 'stopping'
  | 'stopped'
  /** Stopped for maintenance of its host, to start there again. */
  | 'parking'
  | 'parked';

/** How a task ended, as its worker told it. */
export type TaskOutcome = 'none' | 'done' | 'failed' | 'lost';

/** The row of a placement. There is one per job, so a job has one place at most. */
export type PlacementRow = {
  readonly jobId: JobId;
  readonly service: ServiceName | null;
  readonly pool: PoolName;
  readonly hostId: HostId;
  readonly epoch: number;
  readonly phase: PlacementPhase;
  readonly outcome: TaskOutcome;
  readonly leaseMs: number;
  /** The configuration revision that the decision used. */
  readonly revision: number;
  /** Why this host, in terms of labels and selectors. */
  readonly reason: string;
  /** Why it is in its phase; empty where the reason says it. */
  readonly phaseReason: string;
};

/** The state of a submitted job. */
export type JobPhase = 'pending' | 'refused' | 'done' | 'cancelled';

/** The row of a submitted job. */
export type JobRow = {
  readonly job: JobDeclaration;
  readonly phase: JobPhase;
  readonly failures: number;
  /** The hosts on which it failed last. */
  readonly failedOn: readonly HostId[];
  /** How many hosts were lost while it ran there; rows from before it was kept have none. */
  readonly hostsLost?: number;
  readonly reason: string;
};

/** The state of a wave. */
export type WavePhase = 'running' | 'held' | 'paused' | 'done' | 'cancelled';

/** The row of a wave of maintenance. */
export type WaveRow = {
  readonly waveId: WaveId;
  readonly selector: string;
  /** Of the configuration by which the selector named them; rows from before it was kept have none. */
  readonly revision?: number;
  readonly phase: WavePhase;
  readonly reason: string;
  /** The hosts that the selector named when the wave was declared. */
  readonly hosts: readonly HostId[];
};

/**
 * The row that says that claims taken in memory may have been lost for good: the entries of a data
 * centre were all replaced while they were without the platform.
 */
export type DoubtRow = { readonly dataCentres: readonly string[] };

/** What the tasks of one data centre were measured to use, in cores, by job. */
export type UsageRow = { readonly usedCores: Readonly<Record<string, number>> };

/** Keys of rows, by kind. */
export const rowKey = {
  configHead: 'config/head',
  configRevision: (revision: number) => `config/revision/${String(revision).padStart(12, '0')}`,
  host: (hostId: string) => `host/${hostId}`,
  placement: (jobId: string) => `placement/${jobId}`,
  job: (jobId: string) => `job/${jobId}`,
  wave: (waveId: string) => `wave/${waveId}`,
  lease: (name: string) => `lease/${name}`,
  fence: (name: string) => `fence/${name}`,
  claim: (key: string) => `claim/${key}`,
  doubt: 'doubt',
  /** Written with each change of a row that control reads, so that an unchanged table is seen. */
  pulse: 'pulse',
  usage: (dataCentre: string) => `usage/${dataCentre}`,
} as const;

/** Prefixes for reading all rows of a kind. */
export const rowPrefix = {
  configRevision: 'config/revision/',
  host: 'host/',
  placement: 'placement/',
  job: 'job/',
  wave: 'wave/',
  seat: 'lease/seat/',
  usage: 'usage/',
} as const;

/** The prefixes of the rows that control reads. */
export const controlPrefixes: readonly string[] = [
  rowPrefix.host,
  rowPrefix.placement,
  rowPrefix.job,
  rowPrefix.wave,
  rowPrefix.usage,
];

/** A row with its version; version 0 means that there is no row. */
export type Versioned<Row> = { readonly value: Row; readonly version: number };
