/** Logs when the operator's feed is lost and when it answers again, once for each outage. */
import type { PlatformError } from '@valvelatch/platform';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

export type FeedOutageOptions = {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the version of the configuration in force; 0 without one. */
  readonly versionInForce: () => number;
  /** Returns the time since the last answer of the feed, in milliseconds. */
  readonly feedSilentMs: () => number;
};

export type FeedOutage = {
  /** Records that a read of the feed failed. */
  readonly recordFailure: (error: PlatformError) => void;
  /** Records that a read of the feed was answered; called before the answer counts as the last one. */
  readonly recordAnswer: () => void;
};

/**
 * Creates the record of outages of an entry's feed.
 *
 * @param options - The log, the metrics and what log lines say of the entry.
 * @returns The record, without an outage.
 */
export const createFeedOutage = ({
  log,
  metrics,
  versionInForce,
  feedSilentMs,
}: FeedOutageOptions): FeedOutage => {
  /** How many reads of the feed have failed since the last one that succeeded. */
  let failures = 0;
  return {
    // A table that rejects an entry does so nine times a second. Only the first failure and the recovery are logged.
    recordFailure: (error) => {
      metrics.count('operator_feed_failed');
      failures += 1;
      if (failures > 1) return;
      log.warn('operator-feed-lost', {
        ...error,
        version: versionInForce(),
        silentMs: feedSilentMs(),
      });
    },
    recordAnswer: () => {
      if (failures === 0) return;
      log.info('operator-feed-regained', { failures, silentMs: feedSilentMs() });
      failures = 0;
    },
  };
};
