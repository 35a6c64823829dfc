/**
 * Where a holder decides on a job that is handed in: it is refused before anything is written, or written. Only a job
 * that has no row is refused: another entry may have written one that this holder has not read yet.
 */
import type { AdmissionControl, AdmissionCounts, ForecastRefusal } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AcceptOutcome, LiveRow } from './accept-queue.js';

const MS_PER_S = 1000;

export type JobAdmissionOptions = {
  readonly admission: AdmissionControl;
  /** Writes a job. */
  readonly write: (row: LiveRow) => Promise<AcceptOutcome>;
  /** Tells whether a job has a row; undefined where that cannot be told now. */
  readonly hasRow: (jobId: JobId) => Promise<boolean | undefined>;
  /** True while this entry may answer as the holder. */
  readonly isAnswering: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

const COUNTED: readonly (keyof AdmissionCounts)[] = [
  'refused',
  'late',
  'followedUp',
  'wronglyRefused',
];

/** What a client and an operator read. */
const detailOf = ({ forecast, limitMs, isOwed }: ForecastRefusal): string => {
  const seconds = (ms: number): string => (ms === Infinity ? 'never' : (ms / MS_PER_S).toFixed(1));
  const work = isOwed ? '' : ', beyond the weight of its account';
  return `the job${work} is forecast to be done in ${seconds(forecast.doneMs)} s, and has ${seconds(Math.max(0, limitMs))} s`;
};

/**
 * Says of a refusal what operators are told.
 *
 * @param refusal - The refusal.
 * @returns One sentence.
 */
export const explainRefusal = (refusal: ForecastRefusal): string =>
  `queue=${refusal.queue} account=${refusal.account}: ${detailOf(refusal)}; Retry-After ${Math.ceil(refusal.retryAfterMs / MS_PER_S)} s`;

/**
 * Publishes the counts of refused and late jobs, by queue.
 *
 * @param admission - The admission control.
 * @param metrics - Where they go; gauges, as a new holder counts from 0.
 */
export const noteAdmission = (
  { countsByQueue }: Pick<AdmissionControl, 'countsByQueue'>,
  metrics: Metrics,
): void =>
  countsByQueue.forEach((counts, queue) =>
    COUNTED.forEach((field) =>
      metrics.gauge(`admission_${field}_${queue.replace(/[^a-zA-Z0-9]/g, '_')}`, counts[field]),
    ),
  );

/**
 * Builds the admission of a term.
 *
 * @param options - The admission control, and how a job is written.
 * @returns A function that refuses or writes a job; undefined if this entry does not hold control any more.
 */
export const createJobAdmission = ({
  admission,
  write,
  hasRow,
  isAnswering,
  log,
  metrics,
  nowMs,
}: JobAdmissionOptions): ((row: LiveRow) => Promise<AcceptOutcome | undefined>) => {
  const admit = async (row: LiveRow): Promise<AcceptOutcome> => {
    admission.addPending(row, nowMs());
    try {
      return await write(row);
    } finally {
      admission.removePending(row.job.jobId);
    }
  };

  const refuse = (refusal: ForecastRefusal, { job }: LiveRow): AcceptOutcome => {
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
    return { kind: 'refused', detail: detailOf(refusal), retryAfterS };
  };

  return async (row) => {
    if (!admission.evaluate(row, nowMs())) return admit(row);
    const isThere = await hasRow(row.job.jobId);
    if (!isAnswering()) return undefined;
    if (isThere === true) return { kind: 'conflict' };
    // Meanwhile the same job may have been admitted by another attempt, or room may have come free.
    const refusal = admission.evaluate(row, nowMs());
    return refusal && isThere === false ? refuse(refusal, row) : admit(row);
  };
};
