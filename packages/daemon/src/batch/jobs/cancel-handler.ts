/** Cancellations that clients request: stored by the entry that receives them, and confirmed by the control holder. */
import { isFinal, type Caller } from '@valvelatch/core/batch';
import type { JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import { batchKey } from '../keys.js';
import type { RowWriteOutcome } from './attempt.js';
import type { CancellationNotices } from './cancellation-notices.js';
import {
  DEFAULT_DEADLINE_MS,
  isHiddenFrom,
  refuseUnknownJob,
  RETRY_SHARE,
  type FoundStatus,
  type IntakeAnswer,
} from './intake-answer.js';
import type { SubmissionWriter } from './submission-writer.js';

export type CancelHandlerOptions = {
  readonly submission: Pick<SubmissionWriter, 'writeWithRetries'>;
  readonly notices: Pick<CancellationNotices, 'send'>;
  /** Finds the status of a job, past any cache: the id of an ended job may be submitted again. */
  readonly findCurrentStatus: (jobId: JobId, caller: Caller) => Promise<FoundStatus>;
  /** Builds the refusal for a write that was not certainly carried out; undefined if it was. */
  readonly toRefusal: (written: RowWriteOutcome) => IntakeAnswer | undefined;
  readonly log: Log;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
};

/** A client's request to cancel a job, and what was found of the job. */
type CancelRequest = {
  readonly jobId: JobId;
  readonly caller: Caller;
  readonly found: FoundStatus;
  /** Until when writes without an answer are retried, on the monotonic clock, in milliseconds. */
  readonly untilMs: number;
};

/** An answer, and how it came about. */
type CancelEnd = {
  readonly answer: IntakeAnswer;
  readonly outcome: string;
  readonly isHolderNotified: boolean;
};

const describeFound = (found: FoundStatus): string =>
  typeof found === 'object' ? found.phase : (found ?? 'unavailable');

/**
 * Creates the handler of cancellations of one entry.
 *
 * @param options - The writer, the notices to the holder and the look-up of jobs.
 * @returns A function that cancels a job on behalf of a caller, who waits `deadlineMs` for the answer.
 */
export const createCancelHandler = ({
  submission,
  notices,
  findCurrentStatus,
  toRefusal,
  log,
  nowMs,
}: CancelHandlerOptions): ((
  jobId: JobId,
  caller: Caller,
  deadlineMs?: number,
) => Promise<IntakeAnswer>) => {
  const write = ({ jobId, caller, untilMs }: CancelRequest): Promise<RowWriteOutcome> =>
    submission.writeWithRetries(
      {
        checks: [],
        writes: [{ key: batchKey.cancel(jobId, caller), value: { atMs: Date.now() } }],
      },
      untilMs,
    );

  /** The cancellation of an ended job may have been found in its row, by an entry whose notice was lost. */
  const confirmEnded = async (
    { jobId, caller, untilMs }: CancelRequest,
    isCancelled: boolean,
  ): Promise<CancelEnd> => ({
    answer: { kind: 'cancelled' },
    outcome: 'ended',
    isHolderNotified: isCancelled && (await notices.send(jobId, caller, untilMs)),
  });

  /**
   * Stores a cancellation, so that no submission overtakes it, and waits until the holder has confirmed it. If no holder
   * does so in the client's time, it is acknowledged all the same: the next holder reads it.
   */
  const store = async (request: CancelRequest): Promise<CancelEnd> => {
    const { jobId, caller, found, untilMs } = request;
    const written = await write(request);
    const refusal = toRefusal(written);
    const outcome = written.kind;
    if (refusal) return { answer: refusal, outcome, isHolderNotified: false };
    const isHolderNotified = await notices.send(jobId, caller, untilMs);
    const answer: IntakeAnswer =
      found === 'unknown-job' ? refuseUnknownJob(jobId) : { kind: 'cancelled' };
    return { answer, outcome, isHolderNotified };
  };

  const cancelFound = async (request: CancelRequest): Promise<CancelEnd> => {
    const { jobId, caller, found } = request;
    if (isHiddenFrom(found, caller))
      return { answer: refuseUnknownJob(jobId), outcome: 'unknown-job', isHolderNotified: false };
    if (typeof found === 'object' && isFinal(found.phase))
      return confirmEnded(request, found.phase === 'cancelled');
    return store(request);
  };

  return async (jobId, caller, deadlineMs = DEFAULT_DEADLINE_MS) => {
    const startedAtMs = nowMs();
    const found = await findCurrentStatus(jobId, caller);
    const untilMs = startedAtMs + deadlineMs * RETRY_SHARE;
    const { answer, outcome, isHolderNotified } = await cancelFound({
      jobId,
      caller,
      found,
      untilMs,
    });
    log.info('job-cancel', {
      job: jobId,
      account: caller ?? undefined,
      found: describeFound(found),
      outcome,
      isHolderNotified,
      tookMs: Math.round(nowMs() - startedAtMs),
    });
    return answer;
  };
};
