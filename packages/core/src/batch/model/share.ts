/** What client accounts are owed of the work that they hand in. */

/** What one account is still owed. */
export type AccountShare = {
  /** Jobs that it may hand in now. */
  jobsLeft: number;
  settledAtMs: number;
  /** When its work so far would be done if it had its weight of all work alone; see `JobShare`. */
  virtualEnd: number;
};

/** Where a job stands among those of all accounts. */
export type JobShare = {
  readonly isOwed: boolean;
  /** By weighted fair queueing: when the work before it of its own account would be done. */
  readonly virtualStart: number;
};

/** A job of no account, or of an earlier holder's time, is owed. */
export const OWED: JobShare = { isOwed: true, virtualStart: 0 };
