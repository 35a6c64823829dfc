/**
 * Writes the row of a submitted job, through the control holder or, if the holder cannot, directly to the
 * table. Once neither the holder nor the table answers, the submission ends at once: as not written if
 * no call with an unknown outcome was sent, else as unknown.
 */
import { hasWritePath } from '@valvelatch/core/batch';
import type { GroupCommit } from '@valvelatch/platform';

import { sleep } from '../../shared/sleep.js';
import { openAttempt, type Attempt, type AttemptEnd, type RowWriteOutcome } from './attempt.js';
import type { ControlClient } from './control-client.js';
import type { AcceptOutcome, LiveRow } from './accept-queue.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import { buildSubmission, cancelKeyOf } from './submission-transaction.js';

/** Shortest pause before a failed write is retried; a random pause of up to the same length is added. */
const WRITE_RETRY_MS = 200;
/**
 * How long a submission waits for the next holder before this entry writes its row. At a planned stop,
 * control passes to the next holder within 0.6 s; rows written by all entries would slow that down.
 */
const HOLDER_WAIT_MS = 1000;
/** Pause before the holder is asked again. */
const HOLDER_RETRY_MS = 150;
/** After a holder that did not answer, no direct write is started with less time left than this. */
const MIN_WRITE_MS = 600;
/** How often a submission in flight checks whether the holder or the table can still answer it. */
const PATH_CHECK_INTERVAL_MS = 50;

export type SubmissionWriterOptions = {
  readonly table: Pick<RelayedTable, 'isDirectRouteUp' | 'unansweredForMs'>;
  readonly groupCommit: GroupCommit;
  readonly control: Pick<ControlClient, 'accept' | 'holderSilentMs' | 'notifyAccepted'>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  readonly pause?: (ms: number) => Promise<void>;
};

export type SubmissionWriter = {
  /** True while the table or the holder answers, so that a submission can be written. */
  readonly canSubmit: () => boolean;
  /**
   * Retries a write until it is answered, no time is left, or neither the table nor the holder answers.
   * The transaction must be safe to repeat.
   */
  readonly writeWithRetries: (
    transaction: Parameters<GroupCommit['submit']>[0],
    untilMs: number,
  ) => Promise<RowWriteOutcome>;
  /** Writes the row of a job, through the holder or directly to the table. */
  readonly submit: (row: LiveRow, untilMs: number) => Promise<RowWriteOutcome>;
};

const NO_PATH = 'neither the table nor the holder of control answers';

/**
 * Creates the writer of submissions.
 *
 * @param options - The table, the client of the control holder, and the clock.
 * @returns The writer.
 */
export const createSubmissionWriter = ({
  table,
  groupCommit,
  control,
  nowMs,
  pause = sleep,
}: SubmissionWriterOptions): SubmissionWriter => {
  const canSubmit = (): boolean =>
    hasWritePath({
      tableSilentMs: table.unansweredForMs(),
      holderSilentMs: control.holderSilentMs(),
    });

  const write = async (
    transaction: Parameters<GroupCommit['submit']>[0],
    attempt: Attempt,
    untilMs: number,
  ): Promise<AttemptEnd> => {
    const outcome = await attempt.send({
      run: (confirmSend) => groupCommit.submit(transaction, confirmSend),
      isUnknown: (result) => result.isErr() && result.error.kind === 'unknown',
    });
    if (outcome.isOk()) return outcome.value;
    if (attempt.isClosed() || nowMs() + WRITE_RETRY_MS >= untilMs) {
      return { kind: 'failed', detail: outcome.error.detail };
    }
    // The random part keeps entries that are refused at the same time from retrying at the same time.
    await pause(WRITE_RETRY_MS * (1 + Math.random()));
    return write(transaction, attempt, untilMs);
  };

  /**
   * Asks the holder and retries until `untilMs`. Waiting for the next holder costs nothing, because no
   * job could start while control passes from one holder to the next.
   */
  const askHolder = async (
    row: LiveRow,
    attempt: Attempt,
    untilMs: number,
  ): Promise<AcceptOutcome | undefined> => {
    const answer = await attempt.send({
      run: async (confirmSend) => (confirmSend() ? control.accept(row) : undefined),
      isUnknown: (outcome) => outcome?.kind === 'unheard',
    });
    if (answer || attempt.isClosed() || nowMs() + HOLDER_RETRY_MS > untilMs) return answer;
    await pause(HOLDER_RETRY_MS);
    return askHolder(row, attempt, untilMs);
  };

  const submitOnce = async (
    row: LiveRow,
    attempt: Attempt,
    untilMs: number,
  ): Promise<AttemptEnd> => {
    const outcome = await askHolder(row, attempt, nowMs() + HOLDER_WAIT_MS);
    if (outcome?.kind === 'away' && !table.isDirectRouteUp())
      return { kind: 'failed', detail: NO_PATH };
    if (outcome && outcome.kind !== 'unheard' && outcome.kind !== 'away') return outcome;
    if (outcome?.kind === 'unheard' && nowMs() + MIN_WRITE_MS > untilMs) {
      return { kind: 'failed', detail: 'the holder of control did not answer' };
    }
    const ending = await write(buildSubmission(row), attempt, untilMs);
    if (ending.kind === 'conflict' && ending.key === cancelKeyOf(row)) return { kind: 'cancelled' };
    if (ending.kind === 'committed') control.notifyAccepted(row, ending.version);
    return ending;
  };

  /** Waits until neither the table nor the holder can answer an attempt. */
  const waitForPathLoss = async (attempt: Attempt): Promise<AttemptEnd> => {
    while (!attempt.isClosed() && canSubmit()) await pause(PATH_CHECK_INTERVAL_MS);
    return { kind: 'failed', detail: NO_PATH };
  };

  const runAttempt = async (
    run: (attempt: Attempt) => Promise<AttemptEnd>,
  ): Promise<RowWriteOutcome> => {
    const attempt = openAttempt();
    if (!canSubmit()) return attempt.close({ kind: 'failed', detail: NO_PATH });
    return Promise.race(
      [run(attempt), waitForPathLoss(attempt)].map((work) => work.then(attempt.close)),
    );
  };

  return {
    canSubmit,
    writeWithRetries: (transaction, untilMs) =>
      runAttempt((attempt) => write(transaction, attempt, untilMs)),
    submit: (row, untilMs) => runAttempt((attempt) => submitOnce(row, attempt, untilMs)),
  };
};
