/**
 * What a follower of a table asks for next: the changes since its last answer, or all rows as they
 * are now. Changes cost what was written meanwhile, which has no bound where the same few rows are
 * written again and again; all rows cost one copy of each.
 */

/** How the rows of a table are written. */
export type RowsUse =
  /** Few rows, written again and again: what counts is how they are now. */
  | 'state'
  /** Ever more rows, each written a few times: all of them would cost more than what is missed. */
  | 'log';

/** What a question asks for: what came since the last answer, or all that is there. */
export type FeedScope = 'changes' | 'whole';

export type FeedPast = {
  readonly use: RowsUse;
  /** False before the first answer, and once the changes since the last one are forgotten. */
  readonly hasPosition: boolean;
  /** True if the last question got no answer: for how long nothing was read is not known. */
  readonly hasFailed: boolean;
  /** Of the last answer. */
  readonly answerBytes: number;
  /** Of all rows as they were last read, one copy of each. */
  readonly stateBytes: number;
};

/**
 * An answer of two versions of what there is, or more, shows that changes come faster than they are
 * read. It may be no larger: an answer has 1 MB at most, which is two versions of 1,500 queues. If
 * nothing has changed since, the next reading of all rows costs one copy for nothing.
 */
const COPIES_BEHIND = 1.5;

/**
 * Chooses what to ask for.
 *
 * @param past - What the follower has read so far.
 * @returns The scope of the next question.
 */
export const nextFeedScope = ({
  use,
  hasPosition,
  hasFailed,
  answerBytes,
  stateBytes,
}: FeedPast): FeedScope => {
  if (!hasPosition) return 'whole';
  if (use === 'log') return 'changes';
  const isBehind = answerBytes > COPIES_BEHIND * stateBytes;
  return hasFailed || isBehind ? 'whole' : 'changes';
};
