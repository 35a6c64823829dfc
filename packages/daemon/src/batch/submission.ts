/**
 * Writes the row of a submitted job: by the holder of control, or here where that cannot. Once
 * neither the holder nor the table answers any more the submission ends at once: as not written if
 * nothing of it was sent, else as unknown.
 */
import { hasWritePath } from '@valvelatch/core/batch';
import type { GroupCommit } from '@valvelatch/platform';

import type { ControlView } from './intake.js';
import type { AcceptOutcome, LiveRow } from './job-saver.js';
import { batchKey } from './keys.js';
import type { RelayedTable } from './relayed-table.js';

const PURSUE_PAUSE_MS = 200;
/**
 * How long a submission waits for the next holder before its row is written here. Control changes
 * hands within 0.6 s at a planned stop; rows written by all entries would slow that down.
 */
const HOLDER_WAIT_MS = 1000;
const HOLDER_PAUSE_MS = 150;
/** With less time left than this, a write is not begun. */
const LEAST_WRITE_MS = 600;
/** How often a submission under way looks whether anything can still answer it. */
const PATH_LOOK_MS = 50;

/** What became of a submission. */
export type Written =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'full' }
  /** `unreachable`: surely not written. */
  | { readonly kind: 'unknown' | 'unreachable'; readonly detail: string };

/** A submission under way. */
type Attempt = {
  readonly untilMs: number;
  /** Something was sent whose effect is not known. */
  mayBeWritten: boolean;
  /** Its client has its answer: nothing more is sent. */
  isAnswered: boolean;
};

export type SubmissionOptions = {
  readonly table: Pick<RelayedTable, 'isServed' | 'silentForMs'>;
  readonly group: GroupCommit;
  readonly control: Pick<ControlView, 'accept' | 'holderSilentMs' | 'tellTaken'>;
  readonly nowMs: () => number;
};

export type Submission = {
  /** True while a submission could be written. */
  readonly isPossible: () => boolean;
  /** Writes until there is an answer, no time is left or nothing answers. Safe to repeat. */
  readonly writeUntil: (
    transaction: Parameters<GroupCommit['submit']>[0],
    untilMs: number,
  ) => Promise<Written>;
  /** Has a job's row written, by the holder or here. */
  readonly submit: (row: LiveRow, untilMs: number) => Promise<Written>;
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const AWAY = 'neither the table nor the holder of control answers';

/**
 * Builds the writer of submissions.
 *
 * @param options - The table, the holder and the clock.
 * @returns The writer.
 */
export const createSubmission = ({
  table,
  group,
  control,
  nowMs,
}: SubmissionOptions): Submission => {
  const isPossible = (): boolean =>
    hasWritePath({ tableSilentMs: table.silentForMs(), holderSilentMs: control.holderSilentMs() });

  const write = async (
    transaction: Parameters<GroupCommit['submit']>[0],
    attempt: Attempt,
  ): Promise<Written> => {
    for (;;) {
      const hadBeenSent = attempt.mayBeWritten;
      Object.assign(attempt, { mayBeWritten: true });
      const outcome = await group.submit(transaction);
      if (outcome.isOk()) return outcome.value;
      const { kind, detail } = outcome.error;
      Object.assign(attempt, { mayBeWritten: hadBeenSent || kind === 'unknown' });
      if (attempt.isAnswered || nowMs() + PURSUE_PAUSE_MS >= attempt.untilMs) {
        return { kind: attempt.mayBeWritten ? 'unknown' : 'unreachable', detail };
      }
      // Entries that are turned away together must not come back together.
      await pause(PURSUE_PAUSE_MS * (1 + Math.random()));
    }
  };

  /** While control changes hands nothing could begin anyway: the next holder is waited for. */
  const askHolder = async (
    row: LiveRow,
    attempt: Attempt,
    untilMs: number,
  ): Promise<AcceptOutcome | undefined> => {
    const hadBeenSent = attempt.mayBeWritten;
    Object.assign(attempt, { mayBeWritten: true });
    const answer = await control.accept(row);
    Object.assign(attempt, { mayBeWritten: hadBeenSent || answer?.kind === 'unheard' });
    if (answer || attempt.isAnswered || nowMs() + HOLDER_PAUSE_MS > untilMs) return answer;
    await pause(HOLDER_PAUSE_MS);
    return askHolder(row, attempt, untilMs);
  };

  const submitOnce = async (row: LiveRow, attempt: Attempt): Promise<Written> => {
    const byHolder = await askHolder(row, attempt, nowMs() + HOLDER_WAIT_MS);
    if (attempt.isAnswered || (byHolder?.kind === 'away' && !table.isServed())) {
      return { kind: 'unreachable', detail: AWAY };
    }
    if (byHolder && byHolder.kind !== 'unheard' && byHolder.kind !== 'away') return byHolder;
    if (byHolder?.kind === 'unheard' && nowMs() + LEAST_WRITE_MS > attempt.untilMs) {
      return { kind: 'unknown', detail: 'the holder of control did not answer' };
    }
    const key = batchKey.job(row.job.jobId);
    const written = await write(
      { checks: [{ key, version: 0 }], writes: [{ key, value: row }] },
      attempt,
    );
    if (written.kind === 'committed') control.tellTaken(row, written.version);
    return written;
  };

  /** Ends the attempt once nothing can answer it any more. */
  const watchPath = async (attempt: Attempt): Promise<Written> => {
    while (!attempt.isAnswered && isPossible()) await pause(PATH_LOOK_MS);
    return { kind: attempt.mayBeWritten ? 'unknown' : 'unreachable', detail: AWAY };
  };

  const firstOf = async (
    untilMs: number,
    run: (attempt: Attempt) => Promise<Written>,
  ): Promise<Written> => {
    const attempt: Attempt = { untilMs, mayBeWritten: false, isAnswered: false };
    if (!isPossible()) return { kind: 'unreachable', detail: AWAY };
    const written = await Promise.race([run(attempt), watchPath(attempt)]);
    attempt.isAnswered = true;
    return written;
  };

  return {
    isPossible,
    writeUntil: (transaction, untilMs) =>
      firstOf(untilMs, (attempt) => write(transaction, attempt)),
    submit: (row, untilMs) => firstOf(untilMs, (attempt) => submitOnce(row, attempt)),
  };
};
