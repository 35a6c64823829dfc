/**
 * Jobs that this entry has refused, until the holder of control is told: the clients come back to other entries, and their
 * time has run since.
 */
import type { JobId } from '@valvelatch/core/shared/ids';

/** How often the holder is told. */
export const TELL_REFUSED_EVERY_MS = 250;
/** One message stays small beside a holder's other traffic: some 12 KB. */
const MOST_PER_MESSAGE = 500;
/** Above so many the oldest are forgotten; what came from them is then taken for new. */
const MOST_KEPT = 4000;

/** A job that was refused so long ago. */
export type RefusedJob = readonly [jobId: JobId, agoMs: number];

export type RefusedJobs = {
  /** Notes a job whose submission is refused as not run. */
  readonly add: (jobId: JobId) => void;
  /** Tells the holder of some; to be called each `TELL_REFUSED_EVERY_MS`. */
  readonly tell: () => Promise<void>;
};

export type RefusedJobsOptions = {
  /** Tells the holder; false if it was not reached. */
  readonly send: (jobs: readonly RefusedJob[]) => Promise<boolean>;
  readonly nowMs?: () => number;
};

/**
 * Builds the list of an entry, empty.
 *
 * @param options - The way to the holder.
 * @returns The list.
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
      if (refusedAtMs.size > MOST_KEPT && oldest !== undefined) refusedAtMs.delete(oldest);
    },
    tell: async () => {
      const some = Array.from(refusedAtMs).slice(0, MOST_PER_MESSAGE);
      if (some.length === 0) return;
      const isTold = await send(
        some.map(([jobId, atMs]) => [jobId, Math.round(nowMs() - atMs)] as const),
      );
      if (isTold) some.forEach(([jobId]) => refusedAtMs.delete(jobId));
    },
  };
};
