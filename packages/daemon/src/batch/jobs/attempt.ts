/**
 * One attempt to have something written, and the only place from which anything of it is sent. The
 * answer for its client and the end of sending are one step: what is answered says what had left by
 * then, and nothing leaves after it. A check in each loop instead was forgotten after one pause.
 */

/** What became of something that was to be written. */
export type Written =
  | { readonly kind: 'committed'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'full' }
  /** The holder has refused it before anything was written. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterS: number }
  /** `unreachable`: surely not written. */
  | { readonly kind: 'unknown' | 'unreachable'; readonly detail: string };

/** How the work of an attempt ended; whether a failure had an effect is for the attempt to say. */
export type Ending =
  | Extract<Written, { kind: 'committed' | 'conflict' | 'full' | 'refused' }>
  | { readonly kind: 'failed'; readonly detail: string };

/**
 * Called at the moment at which a call leaves, by whoever holds it until then. If it answers false
 * the client has its answer, and the call must not leave.
 */
export type Leave = () => boolean;

/** A call of an attempt. */
export type Sending<Outcome> = {
  readonly run: (leave: Leave) => Promise<Outcome>;
  /** True if the outcome leaves open whether the call had an effect. */
  readonly isUnknown: (outcome: Outcome) => boolean;
};

export type Attempt = {
  /** Makes a call; what has left and has no outcome counts as what may be written. */
  readonly send: <Outcome>(sending: Sending<Outcome>) => Promise<Outcome>;
  readonly isClosed: () => boolean;
  /** Ends the attempt; the first answer stays. */
  readonly close: (ending: Ending) => Written;
};

/**
 * Opens an attempt.
 *
 * @returns The attempt, of which nothing was sent yet.
 */
export const openAttempt = (): Attempt => {
  let answer: Written | undefined;
  let underWay = 0;
  let hasUnknown = false;

  const mayBeWritten = (): boolean => hasUnknown || underWay > 0;

  const toAnswer = (ending: Ending): Written => {
    if (ending.kind === 'committed' || ending.kind === 'conflict') return ending;
    const detail = ending.kind === 'full' ? 'too many wait to be written' : ending.detail;
    if (mayBeWritten()) return { kind: 'unknown', detail };
    return ending.kind === 'failed' ? { kind: 'unreachable', detail } : ending;
  };

  return {
    isClosed: () => answer !== undefined,
    close: (ending) => {
      answer ??= toAnswer(ending);
      return answer;
    },
    send: async ({ run, isUnknown }) => {
      let hasLeft = false;
      const leave: Leave = () => {
        if (answer) return false;
        if (!hasLeft) underWay += 1;
        hasLeft = true;
        return true;
      };
      try {
        const outcome = await run(leave);
        hasUnknown ||= hasLeft && isUnknown(outcome);
        return outcome;
      } catch (error) {
        hasUnknown ||= hasLeft;
        throw error;
      } finally {
        if (hasLeft) underWay -= 1;
      }
    },
  };
};
