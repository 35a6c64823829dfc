/** The keys and values of the rows in the platform's table. */
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

/** The state of a host in the course of a move to another pool or of maintenance. */
export type HostPhase =
  'assigned' | 'draining' | 'empty' | 'rebooting' | 'verifying' | 'quarantined';

/** Why a host is drained. */
export type DrainPurpose =
  | { readonly kind: 'wave'; readonly waveId: WaveId }
  /** The host moves to another pool once it is verified to be empty. */
  | { readonly kind: 'transfer'; readonly toPool: PoolName }
  | { readonly kind: 'operator' }
  /** The platform's list shows the host as leaving. */
  | { readonly kind: 'platform' };

/** The row of a host. A host belongs to exactly one pool at any time. */
export type HostRow = {
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly phase: HostPhase;
  /** Why the host is in a phase other than `assigned`, as text for the operator. */
  readonly reason: string;
  /** Why the host is being drained; null while it is in use. */
  readonly drain: DrainPurpose | null;
  /** The number of boots of the host before the current reboot. */
  readonly bootsBefore: number;
  /** The wave in which the host was last maintained; null if there is none. */
  readonly maintainedBy: WaveId | null;
};

/** The declaration of a host: its location, size and labels. */
export type HostSpec = {
  readonly hostId: HostId;
  readonly dataCentre: DataCentreId;
  readonly rack: RackId;
  /** The pool of a host that has no row yet. */
  readonly initialPool: PoolName;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly labels: Labels;
};

/** The state of a job's task. */
export type PlacementPhase =
  | 'assigned'
  | 'running'
  | 'stopping'
  | 'stopped'
  /** Being stopped for maintenance of its host, to start there again afterwards. */
  | 'parking'
  | 'parked';

/** How a task ended, as reported by its worker. */
export type TaskOutcome = 'none' | 'done' | 'failed' | 'lost';

/** The row of a placement. There is one row per job, so a job is placed on at most one host. */
export type PlacementRow = {
  readonly jobId: JobId;
  readonly service: ServiceName | null;
  readonly pool: PoolName;
  readonly hostId: HostId;
  readonly epoch: number;
  readonly phase: PlacementPhase;
  readonly outcome: TaskOutcome;
  readonly leaseMs: number;
  /** The configuration revision on which the decision was based. */
  readonly revision: number;
  /** Why this host was chosen, in terms of labels and selectors. */
  readonly reason: string;
  /** Why it is in its phase; empty if `reason` already says so. */
  readonly phaseReason: string;
};

/** The state of a submitted job. */
export type JobPhase = 'pending' | 'refused' | 'done' | 'cancelled';

/** The row of a submitted job. */
export type JobRow = {
  readonly job: JobDeclaration;
  readonly phase: JobPhase;
  readonly failures: number;
  /** The hosts on which it failed most recently. */
  readonly failedOn: readonly HostId[];
  /** How many hosts were lost while it ran there; undefined in rows written by older versions. */
  readonly hostsLost?: number;
  readonly reason: string;
};

/** The state of a wave. */
export type WavePhase = 'running' | 'held' | 'paused' | 'done' | 'cancelled';

/** The row of a maintenance wave. */
export type WaveRow = {
  readonly waveId: WaveId;
  readonly selector: string;
  /**
   * The configuration revision against which the selector was evaluated; undefined in rows written
   * by older versions.
   */
  readonly revision?: number;
  readonly phase: WavePhase;
  readonly reason: string;
  /** The hosts that the selector matched when the wave was declared. */
  readonly hosts: readonly HostId[];
};

/**
 * The row that records that claims accepted in memory may be lost permanently, because all entries
 * of a data centre were replaced while they were cut off from the platform.
 */
export type UnflushedClaimsRow = { readonly dataCentres: readonly string[] };

/** The measured use of the tasks in one data centre, in cores by job id. */
export type UsageRow = { readonly usedCores: Readonly<Record<string, number>> };

/** The keys of rows, by kind. */
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
  /**
   * Written with each change of a row that the controller reads. While its version is unchanged,
   * those rows need not be read again.
   */
  controlChange: 'pulse',
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

/** The prefixes of the rows that the controller reads. */
export const controlPrefixes: readonly string[] = [
  rowPrefix.host,
  rowPrefix.placement,
  rowPrefix.job,
  rowPrefix.wave,
  rowPrefix.usage,
];

/** A row with its version; version 0 means that there is no row. */
export type Versioned<Row> = { readonly value: Row; readonly version: number };
