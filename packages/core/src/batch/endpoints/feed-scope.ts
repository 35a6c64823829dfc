/**
 * Decides what a follower of a table requests next: the changes since the last response, or all current rows. The
 * cost of changes is proportional to the number of writes, which is unbounded where the same few rows are written
 * repeatedly; the cost of all rows is one copy of each.
 */

/** How the rows of a table are written. */
export type TableWritePattern =
  /** Few rows that are overwritten repeatedly; only their current values matter. */
  | 'state'
  /** A growing number of rows, each written a few times; all rows would cost more than the missed changes. */
  | 'log';

/** What a request asks for: the changes since the last response, or all current rows. */
export type FeedScope = 'changes' | 'whole';

export type FeedHistory = {
  readonly writePattern: TableWritePattern;
  /** False before the first response, and once the changes since the last one are no longer available. */
  readonly hasPosition: boolean;
  /** True if the last request got no response, so that it is unknown for how long nothing was read. */
  readonly hasLastRequestFailed: boolean;
  /** Size of the last response. */
  readonly lastResponseBytes: number;
  /** Size of one copy of all rows, as they were last read. */
  readonly allRowsBytes: number;
};

/**
 * A response larger than this many copies of all rows shows that rows change faster than they are read. The limit
 * must not be larger: a response has at most 1 MB, which is two copies of the rows of 1,500 queues. If nothing has
 * changed since, the following request for all rows costs one unnecessary copy.
 */
const MAX_COPIES_PER_RESPONSE = 1.5;

/**
 * Decides what to request next.
 *
 * @param past - What the follower has read so far.
 * @returns The scope of the next request.
 */
export const nextFeedScope = ({
  writePattern,
  hasPosition,
  hasLastRequestFailed,
  lastResponseBytes,
  allRowsBytes,
}: FeedHistory): FeedScope => {
  if (!hasPosition) return 'whole';
  if (writePattern === 'log') return 'changes';
  const isBehind = lastResponseBytes > MAX_COPIES_PER_RESPONSE * allRowsBytes;
  return hasLastRequestFailed || isBehind ? 'whole' : 'changes';
};
