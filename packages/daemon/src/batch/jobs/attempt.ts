/**
 * One attempt to write something on behalf of a client. All calls of the attempt are sent through it.
 * Closing the attempt fixes the answer for the client and stops sending in one step: the answer
 * accounts for every call that was sent before, and no call is sent after it. A check in each
 * retry loop would not be enough, because the answer could be fixed between the check and the send.
 */

/** The outcome of a write. */
export type RowWriteOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  /** A row that had to be absent or unchanged was not: it was written before. */
  | { readonly kind: 'conflict'; readonly key?: string }
  /** The owner of the job has cancelled it before; not written. */
  | { readonly kind: 'cancelled' }
  /** Too many submissions are waiting at the holder; not written. */
  | { readonly kind: 'full' }
  /** The holder refused it before anything was written. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterS: number }
  /** `unreachable`: certainly not written. `unknown`: it may have been written. */
  | { readonly kind: 'unknown' | 'unreachable'; readonly detail: string };

/** How the calls of an attempt ended. Whether a failed call may have had an effect is decided by the attempt. */
export type AttemptEnd =
  | Extract<RowWriteOutcome, { kind: 'committed' | 'conflict' | 'cancelled' | 'full' | 'refused' }>
  | { readonly kind: 'failed'; readonly detail: string };

/**
 * Must be called immediately before a call is sent, by the component that queues the call until then.
 * If it returns false, the client has been answered already and the call must not be sent.
 */
export type ConfirmSend = () => boolean;

/** A call that an attempt makes. */
export type AttemptCall<Outcome> = {
  readonly run: (confirmSend: ConfirmSend) => Promise<Outcome>;
  /** True if the outcome does not tell whether the call had an effect. */
  readonly isUnknown: (outcome: Outcome) => boolean;
};

export type Attempt = {
  /** Makes a call. A call that was sent and has no outcome yet counts as possibly written. */
  readonly send: <Outcome>(sending: AttemptCall<Outcome>) => Promise<Outcome>;
  readonly isClosed: () => boolean;
  /** Ends the attempt and returns the answer for the client; later calls return the first answer. */
  readonly close: (ending: AttemptEnd) => RowWriteOutcome;
};

/**
 * Opens an attempt.
 *
 * @returns An attempt that has not sent anything yet.
 */
export const openAttempt = (): Attempt => {
  let answer: RowWriteOutcome | undefined;
  let inFlightCount = 0;
  let hasUnknownOutcome = false;

  const mayBeWritten = (): boolean => hasUnknownOutcome || inFlightCount > 0;

  const toOutcome = (ending: AttemptEnd): RowWriteOutcome => {
    if (ending.kind === 'committed' || ending.kind === 'conflict' || ending.kind === 'cancelled')
      return ending;
    const detail = ending.kind === 'full' ? 'too many wait to be written' : ending.detail;
    if (mayBeWritten()) return { kind: 'unknown', detail };
    return ending.kind === 'failed' ? { kind: 'unreachable', detail } : ending;
  };

  return {
    isClosed: () => answer !== undefined,
    close: (ending) => {
      answer ??= toOutcome(ending);
      return answer;
    },
    send: async ({ run, isUnknown }) => {
      let wasSent = false;
      const confirmSend: ConfirmSend = () => {
        if (answer) return false;
        if (!wasSent) inFlightCount += 1;
        wasSent = true;
        return true;
      };
      try {
        const outcome = await run(confirmSend);
        hasUnknownOutcome ||= wasSent && isUnknown(outcome);
        return outcome;
      } catch (error) {
        hasUnknownOutcome ||= wasSent;
        throw error;
      } finally {
        if (wasSent) inFlightCount -= 1;
      }
    },
  };
};
