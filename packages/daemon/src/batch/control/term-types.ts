/** What a term of a control holder needs, and how other parts of the entry use it. */
import type {
  AdmissionControl,
  BatchPhase,
  BatchState,
  Caller,
  JobMemory,
  JobStatus,
  PlacementPolicy,
  QueueIndex,
} from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { EntryId, JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { StartGate } from '../configuration/start-gate.js';
import type { FleetCycle } from '../hosts/fleet-cycle.js';
import type { AcceptOutcome, LiveRow } from '../jobs/job-saver.js';
import type { RefusedJob } from '../jobs/refused-jobs.js';
import type { BatchPlatform } from '../ports.js';
import type { EvacuationWatch } from './evacuation-watch.js';

/** The holder of a term, its platform, and the limits that follow from its lease. */
export type TermOptions = {
  readonly self: EntryId;
  readonly fence: number;
  /** The key and version of the fence row, which each new holder changes; writes of wave rows depend on it. */
  readonly fenceCheck: RowCheck;
  readonly platform: BatchPlatform;
  readonly log: Log;
  readonly metrics: Metrics;
  /** True while the lease is certainly held. */
  readonly holdsLease: () => boolean;
  /** True while orders to hosts may be sent. */
  readonly mayOrderHosts: () => boolean;
  /** How long after its start the term may order hosts for the first time, in milliseconds. */
  readonly hostOrderDelayMs: number;
  /** For how long after the start of the term earlier holders may still order endpoints, in milliseconds. */
  readonly formerOrdersRemainingMs: number;
  /** How long an endpoint keeps its runs without contact with the holder, in milliseconds. */
  readonly endpointLeaseMs: number;
  /** How endpoints are chosen for tasks of short steps; `fullest` if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** True once the table has answered nothing for long enough to count as unavailable. */
  readonly isTableUnavailable: () => boolean;
  /**
   * Until this time no other entry can have become the holder, so that what was not reported to this holder was not
   * reported to another one either.
   */
  readonly soleHolderUntilMs: () => number;
  /** The operator's queues; undefined until they were read once. */
  readonly configuration: () => QueueIndex | undefined;
  /** Decides whether this entry may send start orders; if left out, it always may. */
  readonly startGate?: StartGate;
  /** The most memory that jobs may take, in bytes; a share of the heap if left out. */
  readonly jobMemoryBytes?: number;
  /** Called once if the term finds that another holder has replaced it. */
  readonly onLost: (reason: string) => void;
  readonly nowMs?: () => number;
  readonly wallClockMs?: () => number;
};

/** A term as other parts of the entry use it. */
export type Term = {
  readonly self: EntryId;
  readonly state: BatchState;
  readonly fleet: FleetCycle;
  readonly evacuations: Omit<EvacuationWatch, 'update' | 'close'>;
  readonly admission: AdmissionControl;
  /** The memory that the jobs take. */
  readonly memory: JobMemory;
  /** Recovers the state from rows and from the list of endpoints, then starts the loops. */
  readonly start: () => Promise<void>;
  /** Ends all work of the term. */
  readonly stop: () => Promise<void>;
  /** True once it has recovered, while it can answer as the holder. */
  readonly isReady: () => boolean;
  /** The status of a job; undefined if the job is unknown or this entry cannot answer as the holder. */
  readonly statusOf: (jobId: JobId) => JobStatus | undefined;
  /** The number of waiting jobs by queue; undefined if this entry cannot answer as the holder. */
  readonly countWaitingJobs: () => ReadonlyMap<string, number> | undefined;
  /** Writes and admits a job; undefined if this entry cannot act as the holder. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome | undefined>;
  /**
   * Admits a job whose row another entry wrote. Ignored before the recovery, and while another entry may have become the
   * holder.
   */
  readonly addAcceptedJob: (row: LiveRow, version: number) => void;
  /** Records jobs that were refused and that their clients will submit again. */
  readonly recordRefusedJobs: (jobs: readonly RefusedJob[]) => void;
  /**
   * Cancels a job and returns its phase afterwards; `unknown` if the job is not known yet or belongs to another account,
   * undefined if this entry cannot answer as the holder.
   */
  readonly cancel: (jobId: JobId, caller: Caller) => BatchPhase | 'unknown' | undefined;
};
