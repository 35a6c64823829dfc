/**
 * Writes the row of a submitted job: by the holder of control, or here where that cannot. Once
 * neither the holder nor the table answers any more the submission ends at once: as not written if
 * nothing of it was sent, else as unknown.
 */
import { hasWritePath } from '@valvelatch/core/batch';
import type { GroupCommit } from '@valvelatch/platform';

import { sleep } from '../../shared/sleep.js';
import { openAttempt, type Attempt, type Ending, type Written } from './attempt.js';
import type { ControlView } from './control-view.js';
import type { AcceptOutcome, LiveRow } from './accept-queue.js';
import { batchKey } from '../keys.js';
import type { RelayedTable } from '../relays/relayed-table.js';

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

export type SubmissionOptions = {
  readonly table: Pick<RelayedTable, 'isServed' | 'silentForMs'>;
  readonly group: GroupCommit;
  readonly control: Pick<ControlView, 'accept' | 'holderSilentMs' | 'tellTaken'>;
  readonly nowMs: () => number;
  readonly pause?: (ms: number) => Promise<void>;
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
  pause = sleep,
}: SubmissionOptions): Submission => {
  const isPossible = (): boolean =>
    hasWritePath({ tableSilentMs: table.silentForMs(), holderSilentMs: control.holderSilentMs() });

  const write = async (
    transaction: Parameters<GroupCommit['submit']>[0],
    attempt: Attempt,
    untilMs: number,
  ): Promise<Ending> => {
    const outcome = await attempt.send({
      run: (leave) => group.submit(transaction, leave),
      isUnknown: (result) => result.isErr() && result.error.kind === 'unknown',
    });
    if (outcome.isOk()) return outcome.value;
    if (attempt.isClosed() || nowMs() + PURSUE_PAUSE_MS >= untilMs) {
      return { kind: 'failed', detail: outcome.error.detail };
    }
    // Entries that are refused together must not come back together.
    await pause(PURSUE_PAUSE_MS * (1 + Math.random()));
    return write(transaction, attempt, untilMs);
  };

  /** While control changes hands nothing could begin anyway: the next holder is waited for. */
  const askHolder = async (
    row: LiveRow,
    attempt: Attempt,
    untilMs: number,
  ): Promise<AcceptOutcome | undefined> => {
    const answer = await attempt.send({
      run: async (leave) => (leave() ? control.accept(row) : undefined),
      isUnknown: (outcome) => outcome?.kind === 'unheard',
    });
    if (answer || attempt.isClosed() || nowMs() + HOLDER_PAUSE_MS > untilMs) return answer;
    await pause(HOLDER_PAUSE_MS);
    return askHolder(row, attempt, untilMs);
  };

  const submitOnce = async (row: LiveRow, attempt: Attempt, untilMs: number): Promise<Ending> => {
    const byHolder = await askHolder(row, attempt, nowMs() + HOLDER_WAIT_MS);
    if (byHolder?.kind === 'away' && !table.isServed()) return { kind: 'failed', detail: AWAY };
    if (byHolder && byHolder.kind !== 'unheard' && byHolder.kind !== 'away') return byHolder;
    if (byHolder?.kind === 'unheard' && nowMs() + LEAST_WRITE_MS > untilMs) {
      return { kind: 'failed', detail: 'the holder of control did not answer' };
    }
    const key = batchKey.job(row.job.jobId);
    const transaction = { checks: [{ key, version: 0 }], writes: [{ key, value: row }] };
    const ending = await write(transaction, attempt, untilMs);
    if (ending.kind === 'committed') control.tellTaken(row, ending.version);
    return ending;
  };

  /** Waits until nothing can answer an attempt any more. */
  const pathIsLost = async (attempt: Attempt): Promise<Ending> => {
    while (!attempt.isClosed() && isPossible()) await pause(PATH_LOOK_MS);
    return { kind: 'failed', detail: AWAY };
  };

  const answer = async (run: (attempt: Attempt) => Promise<Ending>): Promise<Written> => {
    const attempt = openAttempt();
    if (!isPossible()) return attempt.close({ kind: 'failed', detail: AWAY });
    return Promise.race(
      [run(attempt), pathIsLost(attempt)].map((work) => work.then(attempt.close)),
    );
  };

  return {
    isPossible,
    writeUntil: (transaction, untilMs) => answer((attempt) => write(transaction, attempt, untilMs)),
    submit: (row, untilMs) => answer((attempt) => submitOnce(row, attempt, untilMs)),
  };
};
