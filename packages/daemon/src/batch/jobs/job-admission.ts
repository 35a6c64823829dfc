/**
 * The holder's decision on a submitted job: it is either refused before anything is written, or written. Only a job
 * without a row is refused, because another entry may have written a row that this holder has not read yet.
 */
import type {
  AdmissionControl,
  AdmissionCounts,
  ForecastRefusal,
  JobMemory,
  MemoryShortage,
} from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AcceptOutcome, LiveRow } from './accept-queue.js';

const MS_PER_S = 1000;

export type JobAdmissionOptions = {
  readonly admission: AdmissionControl;
  readonly memory: Pick<
    JobMemory,
    'findShortage' | 'addPending' | 'removePending' | 'recordRefusal'
  >;
  /** Writes the row of an admitted job. */
  readonly write: (row: LiveRow) => Promise<AcceptOutcome>;
  /** Tells whether a job has a row; undefined if the table does not answer. */
  readonly hasRow: (jobId: JobId) => Promise<boolean | undefined>;
  /** True while this entry may answer as the control holder. */
  readonly isHolder: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

/** The counts that are published as metrics. */
const PUBLISHED_COUNTS: readonly (keyof AdmissionCounts)[] = [
  'refused',
  'late',
  'followedUp',
  'wronglyRefused',
];

/** The explanation that clients and operators read. */
const formatDetail = ({ forecast, limitMs, isOwed }: ForecastRefusal): string => {
  const seconds = (ms: number): string => (ms === Infinity ? 'never' : (ms / MS_PER_S).toFixed(1));
  const work = isOwed ? '' : ', beyond the weight of its account';
  return `the job${work} is forecast to be done in ${seconds(forecast.doneMs)} s, and has ${seconds(Math.max(0, limitMs))} s`;
};

/**
 * Explains a refusal to operators.
 *
 * @param refusal - The refusal.
 * @returns One sentence.
 */
export const explainRefusal = (refusal: ForecastRefusal): string =>
  `queue=${refusal.queue} account=${refusal.account}: ${formatDetail(refusal)}; Retry-After ${Math.ceil(refusal.retryAfterMs / MS_PER_S)} s`;

const BYTES_PER_MB = 1_000_000;

const formatMb = (bytes: number): string => `${(bytes / BYTES_PER_MB).toFixed(1)} MB`;

/** The explanation that clients and operators read. */
const formatShortage = ({
  scope,
  neededBytes,
  scopeBytes,
  heldBytes,
  boundBytes,
  deferredJobs,
}: MemoryShortage): string => {
  const waiting = deferredJobs > 0 ? `, and ${deferredJobs} accepted ones wait for memory` : '';
  return (
    `the job takes ${formatMb(neededBytes)} of memory; the accepted jobs of ${scope} take ` +
    `${formatMb(scopeBytes)} and those of all ${formatMb(heldBytes)} of ${formatMb(boundBytes)}${waiting}`
  );
};

/**
 * Explains to operators that a job was refused for lack of memory.
 *
 * @param shortage - The shortage.
 * @returns One sentence.
 */
export const explainShortage = (shortage: MemoryShortage): string =>
  `queue=${shortage.queue}: ${formatShortage(shortage)}; Retry-After ${Math.ceil(shortage.retryAfterMs / MS_PER_S)} s`;

/**
 * Publishes the counts of refused and late jobs, per queue.
 *
 * @param admission - The admission control.
 * @param metrics - Receives the counts as gauges, because a new holder counts from 0.
 */
export const publishAdmissionCounts = (
  { countsByQueue }: Pick<AdmissionControl, 'countsByQueue'>,
  metrics: Metrics,
): void =>
  countsByQueue.forEach((counts, queue) =>
    PUBLISHED_COUNTS.forEach((field) =>
      metrics.gauge(`admission_${field}_${queue.replace(/[^a-zA-Z0-9]/g, '_')}`, counts[field]),
    ),
  );

/**
 * Creates the job admission for one term of a holder.
 *
 * @param options - The admission control, and the functions that write and look up rows.
 * @returns A function that refuses or writes a job; it resolves to undefined if this entry is no longer the holder.
 */
export const createJobAdmission = ({
  admission,
  memory,
  write,
  hasRow,
  isHolder,
  log,
  metrics,
  nowMs,
}: JobAdmissionOptions): ((row: LiveRow) => Promise<AcceptOutcome | undefined>) => {
  const admit = async (row: LiveRow): Promise<AcceptOutcome> => {
    admission.addPending(row, nowMs());
    memory.addPending(row.job);
    try {
      return await write(row);
    } finally {
      admission.removePending(row.job.jobId);
      memory.removePending(row.job.jobId);
    }
  };

  const refuseForMemory = (shortage: MemoryShortage): AcceptOutcome => {
    memory.recordRefusal(shortage);
    metrics.count('jobs_refused_for_memory');
    const { jobId, retryAfterMs, ...fields } = shortage;
    log.info('job-refused-for-memory', {
      job: jobId,
      ...fields,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const retryAfterS = Math.ceil(retryAfterMs / MS_PER_S);
    return { kind: 'refused', detail: formatShortage(shortage), retryAfterS };
  };

  const refuseByForecast = (refusal: ForecastRefusal, { job }: LiveRow): AcceptOutcome => {
    admission.recordRefusal(refusal, job.pool);
    metrics.count('jobs_refused_by_forecast');
    log.info('job-refused', {
      job: job.jobId,
      queue: job.queue,
      account: refusal.account,
      isOwed: refusal.isOwed,
      doneMs: Math.round(refusal.forecast.doneMs),
      limitMs: Math.round(refusal.limitMs),
      retryAfterMs: Math.round(refusal.retryAfterMs),
    });
    const retryAfterS = Math.ceil(refusal.retryAfterMs / MS_PER_S);
    return { kind: 'refused', detail: formatDetail(refusal), retryAfterS };
  };

  /** Decides on a job; the returned function refuses it, undefined means that it may be accepted. */
  const findRefusal = (row: LiveRow): (() => AcceptOutcome) | undefined => {
    const shortage = memory.findShortage(row.job, nowMs());
    if (shortage) return () => refuseForMemory(shortage);
    const refusal = admission.evaluate(row, nowMs());
    return refusal && (() => refuseByForecast(refusal, row));
  };

  return async (row) => {
    if (!findRefusal(row)) return admit(row);
    const hasJobRow = await hasRow(row.job.jobId);
    if (!isHolder()) return undefined;
    if (hasJobRow === true) return { kind: 'conflict' };
    // During the lookup, another attempt may have admitted the same job, or capacity may have become free.
    const refuse = findRefusal(row);
    return refuse && hasJobRow === false ? refuse() : admit(row);
  };
};
