/**
 * The jobs that this entry has refused, kept until they are reported to the control holder. Clients may retry at other
 * entries, and the time of their jobs counts from the first attempt.
 */
import type { JobId } from '@valvelatch/core/shared/ids';

/** Interval of the reports to the holder. */
export const REPORT_REFUSED_INTERVAL_MS = 250;
/** Keeps a message at about 12 KB, which is small next to the other traffic of a holder. */
const MAX_JOBS_PER_MESSAGE = 500;
/** Above this number the oldest are dropped; a retry of a dropped job then counts as its first attempt. */
const MAX_JOBS = 4000;

/** A refused job, and how many milliseconds ago it was first refused. */
export type RefusedJob = readonly [jobId: JobId, agoMs: number];

export type RefusedJobs = {
  /** Records a job whose submission is refused as not run; a repeated refusal keeps the first time. */
  readonly add: (jobId: JobId) => void;
  /** Reports the oldest jobs to the holder; must be called every `REPORT_REFUSED_INTERVAL_MS`. */
  readonly report: () => Promise<void>;
};

export type RefusedJobsOptions = {
  /** Sends a report to the holder; false if it was not reached. */
  readonly send: (jobs: readonly RefusedJob[]) => Promise<boolean>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs?: () => number;
};

/**
 * Creates the list of refused jobs of an entry.
 *
 * @param options - The function that sends a report to the holder.
 * @returns An empty list.
 */
export const createRefusedJobs = ({
  send,
  nowMs = () => performance.now(),
}: RefusedJobsOptions): RefusedJobs => {
  const refusedAtMs = new Map<JobId, number>();

  return {
    add: (jobId) => {
      if (refusedAtMs.has(jobId)) return;
      refusedAtMs.set(jobId, nowMs());
      const [oldest] = refusedAtMs.keys();
      if (refusedAtMs.size > MAX_JOBS && oldest !== undefined) refusedAtMs.delete(oldest);
    },
    report: async () => {
      const reported = Array.from(refusedAtMs).slice(0, MAX_JOBS_PER_MESSAGE);
      if (reported.length === 0) return;
      const isDelivered = await send(
        reported.map(([jobId, atMs]) => [jobId, Math.round(nowMs() - atMs)] as const),
      );
      if (isDelivered) reported.forEach(([jobId]) => refusedAtMs.delete(jobId));
    },
  };
};
