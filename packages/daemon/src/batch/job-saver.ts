/**
 * Writes accepted jobs and what changed of jobs, many in one transaction, under the holder's fence.
 * There is one transaction at a time: the table takes those of one part in turn, so a slow table
 * does more with few large ones. An end that an endpoint listed is acknowledged only after the
 * transaction that holds it was committed.
 */
import {
  isFinal,
  jobRowOf,
  progressOf,
  type BatchJobRow,
  type BatchState,
  type JobState,
} from '@valvelatch/core/batch';
import type { RowCheck, RowWrite, TableRow } from '@valvelatch/core/rows/transaction';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { batchKey } from './keys.js';
import type { BatchTable } from './ports.js';

/** The platform takes 100 entries in one transaction; one is the fence. */
const ENTRIES_PER_TRANSACTION = 98;
/** Submissions that come within this time share a transaction. */
const ACCEPT_MS = 3;
/**
 * A transaction that is under way for so long, or failures for as long, show that the table is away:
 * what was not sent yet is refused at once. A slow table takes up to 0.9 s.
 */
const AWAY_AFTER_MS = 1200;
/** While the table is away one submission at a time is let through to try. */
const TRY_EVERY_MS = 400;
/** Above so many that wait, new ones are refused: a slow table writes some 60 a second. */
const MOST_WAITING = 300;
/** Pause between two transactions: ends that come meanwhile share the next one. */
const SAVE_EVERY_MS = 40;
const RETRY_MS = 150;

/** The versions of a job's rows; 0 for a row that is not there. */
export type JobVersions = { job: number; progress: number };

/** Rows to write, with what must hold for them. */
type JobWrite = { readonly checks: readonly RowCheck[]; readonly writes: readonly RowWrite[] };

/** What became of a submission. */
export type AcceptOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  /** The job was accepted before. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'full' }
  /** The table does not answer the holder; the job was surely not written. */
  | { readonly kind: 'away' }
  /** The holder was asked and did not say: the job may be accepted. */
  | { readonly kind: 'unheard' };

/** The row of a job that has not ended. */
export type LiveRow = Extract<BatchJobRow, { kind: 'live' }>;
type Submission = {
  readonly row: LiveRow;
  readonly resolve: (outcome: AcceptOutcome) => void;
  /** It was in a transaction whose outcome is not known. */
  mayBeWritten: boolean;
};

export type JobSaver = {
  readonly versions: Map<JobId, JobVersions>;
  /** Writes an accepted job; resolves once it is committed or cannot be known. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome>;
  /** Asks for a job to be written. */
  readonly mark: (jobId: JobId, isUrgent: boolean) => void;
  /** Asks for a round even if no job changed, so that ends can be acknowledged. */
  readonly poke: () => void;
  /** Turns away what waits for a table that is away; to be called several times a second. */
  readonly lookAtTable: () => void;
  readonly stop: () => void;
};

export type JobSaverOptions = {
  readonly table: Pick<BatchTable, 'transact'>;
  readonly state: BatchState;
  /** The guard row as this holder wrote it. */
  readonly fence: () => RowCheck;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called before a round; the answer is called after all of it was committed. */
  readonly beginRound: () => () => void;
  readonly onSaved: (job: JobState) => void;
  readonly onAccepted: (row: LiveRow, version: number) => void;
  readonly onFenceLost: () => void;
  /** The table has answered nothing for so long that it is away. */
  readonly isTableAway?: () => boolean;
  readonly todayMs: () => number;
};

const writeOf = (job: JobState, versions: JobVersions, todayMs: number): JobWrite => {
  const { jobId } = job.job;
  const jobKey = batchKey.job(jobId);
  const progressKey = batchKey.progress(jobId);
  const progressCheck = { key: progressKey, version: versions.progress };
  if (!isFinal(job.phase)) {
    return {
      checks: [progressCheck],
      writes: [{ key: progressKey, value: progressOf(job) }],
    };
  }
  return {
    checks: [{ key: jobKey, version: versions.job }],
    writes: [
      { key: jobKey, value: jobRowOf(job, todayMs) },
      ...(versions.progress > 0 ? [{ key: progressKey, value: null }] : []),
    ],
  };
};

/**
 * Starts to save jobs.
 *
 * @param options - The table, the jobs and the fence.
 * @returns The saver.
 */
export const createJobSaver = ({
  table,
  state,
  fence,
  log,
  metrics,
  beginRound,
  onSaved,
  onAccepted,
  onFenceLost,
  isTableAway = () => false,
  todayMs,
}: JobSaverOptions): JobSaver => {
  const versions = new Map<JobId, JobVersions>();
  const dirty = new Set<JobId>();
  let isWanted = false;
  let isRunning = false;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let plannedAtMs = 0;
  let submissions: readonly Submission[] = [];
  let sentAtMs = Infinity;
  let failingSinceMs = Infinity;
  let lastTryAtMs = 0;
  const inFlight = new Set<Submission>();

  const versionsOf = (jobId: JobId): JobVersions => {
    const known = versions.get(jobId);
    if (known) return known;
    const built = { job: 0, progress: 0 };
    versions.set(jobId, built);
    return built;
  };

  const noteCommitted = (job: JobState, wasFinal: boolean, version: number): void => {
    const known = versionsOf(job.job.jobId);
    if (wasFinal) {
      known.job = version;
      known.progress = 0;
      onSaved(job);
    } else known.progress = version;
  };

  /** Takes the versions that the table tells after a conflict; false if the fence is lost. */
  const takeVersions = (rows: readonly TableRow[]): boolean =>
    rows.every(({ key, version }) => {
      if (key === fence().key) return version === fence().version;
      const [kind, jobId] = key.split('/') as ['job' | 'progress', JobId];
      versionsOf(jobId)[kind] = version;
      return true;
    });

  /** Submissions whose row is there already were accepted before. */
  const settleKnown = (rows: readonly TableRow[]): void => {
    const there = new Set(rows.filter(({ version }) => version > 0).map(({ key }) => key));
    submissions = submissions.filter(({ row, resolve }) => {
      const isKnown = there.has(batchKey.job(row.job.jobId));
      if (isKnown) resolve({ kind: 'conflict' });
      return !isKnown;
    });
  };

  const submissionWrite = ({ row }: Submission): JobWrite => {
    const key = batchKey.job(row.job.jobId);
    return { checks: [{ key, version: 0 }], writes: [{ key, value: row }] };
  };

  /** What goes into the next transaction: submissions first, then ends of jobs, then progress. */
  const takeNext = () => {
    const parts: JobWrite[] = [];
    let entries = 0;
    const fits = (part: JobWrite): boolean => {
      const size = part.checks.length + part.writes.length;
      if (entries + size > ENTRIES_PER_TRANSACTION) return false;
      entries += size;
      parts.push(part);
      return true;
    };
    const accepted = submissions.filter((one) => fits(submissionWrite(one)));
    const due = Array.from(dirty).flatMap((jobId) => state.jobs.get(jobId) ?? []);
    const ordered = [
      ...due.filter(({ phase }) => isFinal(phase)),
      ...due.filter(({ phase }) => !isFinal(phase)),
    ];
    const jobs = ordered.filter((job) => fits(writeOf(job, versionsOf(job.job.jobId), todayMs())));
    return { parts, accepted, jobs, finals: jobs.map(({ phase }) => isFinal(phase)) };
  };

  /** Turns away what was surely not written; what may have been is pursued. */
  const turnAway = (): void => {
    submissions = submissions.filter((one) => {
      if (!one.mayBeWritten && !inFlight.has(one)) one.resolve({ kind: 'away' });
      return one.mayBeWritten || inFlight.has(one);
    });
  };

  const isAway = (): boolean => {
    const nowMs = performance.now();
    if (isTableAway()) return true;
    return nowMs - failingSinceMs > AWAY_AFTER_MS || nowMs - sentAtMs > AWAY_AFTER_MS;
  };

  const noteTable = (
    isAnswered: boolean,
    sent: readonly Submission[],
    isUnknown: boolean,
  ): void => {
    inFlight.clear();
    if (isUnknown) sent.forEach((one) => Object.assign(one, { mayBeWritten: true }));
    failingSinceMs = isAnswered ? Infinity : Math.min(failingSinceMs, performance.now());
    if (isAway()) turnAway();
  };

  const saveSome = async (): Promise<boolean> => {
    const { parts, accepted, jobs, finals } = takeNext();
    if (parts.length === 0) {
      dirty.clear();
      return true;
    }
    jobs.forEach(({ job }) => dirty.delete(job.jobId));
    sentAtMs = performance.now();
    accepted.forEach((one) => inFlight.add(one));
    const outcome = await table.transact({
      checks: [fence(), ...parts.flatMap(({ checks }) => checks)],
      writes: parts.flatMap(({ writes }) => writes),
    });
    metrics.count('job_saves');
    sentAtMs = Infinity;
    noteTable(outcome.isOk(), accepted, outcome.isErr() && outcome.error.kind === 'unknown');
    const isSaved = outcome.isOk() && outcome.value.kind === 'committed';
    if (!isSaved) jobs.forEach(({ job }) => dirty.add(job.jobId));
    if (outcome.isErr()) {
      const { kind, detail } = outcome.error;
      log.warn('save-failed', { jobs: jobs.length, accepted: accepted.length, kind, detail });
      return false;
    }
    if (outcome.value.kind === 'conflict') {
      const { key, rows = [] } = outcome.value;
      log.info('save-conflict', { jobs: jobs.length, accepted: accepted.length, key });
      settleKnown(rows);
      if (!takeVersions(rows)) {
        isStopped = true;
        onFenceLost();
      }
      return false;
    }
    const { version } = outcome.value;
    jobs.forEach((job, index) => noteCommitted(job, finals[index] ?? false, version));
    submissions = submissions.filter((one) => !accepted.includes(one));
    accepted.forEach(({ row, resolve }) => {
      onAccepted(row, version);
      resolve({ kind: 'committed', version });
    });
    return true;
  };

  const saveRound = async (): Promise<boolean> => {
    const finishRound = beginRound();
    do {
      if (isStopped || !(await saveSome())) return false;
    } while (dirty.size > 0 || submissions.length > 0);
    finishRound();
    return true;
  };

  const run = async (): Promise<void> => {
    if (isRunning || isStopped) return;
    isRunning = true;
    isWanted = false;
    const isWhole = await saveRound();
    isRunning = false;
    if (isStopped) return;
    if (!isWhole) plan(RETRY_MS);
    else if (submissions.length > 0) plan(ACCEPT_MS);
    else if (dirty.size > 0 || isWanted) plan(SAVE_EVERY_MS);
  };

  const plan = (afterMs: number): void => {
    isWanted = true;
    const atMs = performance.now() + afterMs;
    if (isRunning || isStopped || (timer && plannedAtMs <= atMs)) return;
    clearTimeout(timer);
    plannedAtMs = atMs;
    timer = setTimeout(() => {
      timer = undefined;
      void run();
    }, afterMs);
  };

  return {
    versions,
    accept: (row) =>
      new Promise((resolve) => {
        if (submissions.length >= MOST_WAITING) {
          resolve({ kind: 'full' });
          return;
        }
        const nowMs = performance.now();
        if (isAway()) {
          turnAway();
          if (isTableAway() || nowMs - lastTryAtMs < TRY_EVERY_MS) {
            resolve({ kind: 'away' });
            return;
          }
          lastTryAtMs = nowMs;
        }
        submissions = [...submissions, { row, resolve, mayBeWritten: false }];
        plan(ACCEPT_MS);
      }),
    mark: (jobId, isUrgent) => {
      dirty.add(jobId);
      plan(isUrgent ? 1 : SAVE_EVERY_MS / 2);
    },
    poke: () => plan(SAVE_EVERY_MS / 2),
    lookAtTable: () => {
      if (submissions.length > 0 && isAway()) turnAway();
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
      submissions.forEach(({ resolve }) => resolve({ kind: 'unheard' }));
      submissions = [];
    },
  };
};
