/**
 * The shares of client accounts. Each account may submit as many jobs per second as its weight; these jobs are within
 * its share. Jobs beyond the share are placed after them.
 */

/** The state of one account's share. */
export type AccountShare = {
  /** How many jobs within its share the account may submit now. */
  jobsLeft: number;
  /** When `jobsLeft` was last updated. */
  updatedAtMs: number;
  /**
   * When all jobs submitted so far would be done if the account were served at exactly its weight, in seconds on the
   * monotonic clock; see `JobShare`.
   */
  virtualFinish: number;
};

/** The position of a job among the jobs of all accounts. */
export type JobShare = {
  /** The job is within its account's share. */
  readonly isWithinShare: boolean;
  /**
   * The start time of weighted fair queueing, in seconds: when the earlier jobs of the same account would be done. Of two jobs,
   * the one with the lower value belongs to the account that is further behind.
   */
  readonly virtualStart: number;
};

/**
 * The share of a job without an account, or of one accepted under an earlier holder: both count as within the share.
 */
export const WITHIN_SHARE: JobShare = { isWithinShare: true, virtualStart: 0 };
