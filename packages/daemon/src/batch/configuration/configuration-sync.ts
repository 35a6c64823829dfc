/**
 * Keeps the configuration of an entry up to date with the accepted one. It comes from the operator's feed. While the
 * feed does not answer, the entry asks its neighbours, since clients may still reach an entry that cannot reach the
 * table. The version in force never decreases, whichever source a configuration comes from.
 */
import {
  newerConfiguration,
  type BatchConfiguration,
  type QueueIndex,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AskPeer } from '../entry/peers.js';
import type { OperatorFeed, OperatorUpdate } from '../ports.js';
import { createEvacuationTracker, type EvacuationTracker } from './evacuation-tracker.js';
import { createFeedOutage } from './feed-outage.js';
import { chooseNeighbours } from './neighbour-choice.js';
import {
  CONFIGURATION_METHOD,
  type NeighbourAnswer,
  type NeighbourQuestion,
} from './neighbour-messages.js';
import { createConfigurationPacker, unpackConfiguration } from './packed-configuration.js';

export {
  CONFIGURATION_METHOD,
  type NeighbourAnswer,
  type NeighbourQuestion,
} from './neighbour-messages.js';

/**
 * How long a read of the operator's feed waits for changes. It is short enough that a change is in force within 2 s
 * even if one read is lost.
 */
const FEED_WAIT_MS = 1000;
/**
 * A feed that has not answered for this time is overdue; a working feed answers every 1.1 s. Together with
 * `NEIGHBOUR_POLL_INTERVAL_MS` it must stay below 2 s, so that a change is in force within 2 s of its acceptance at an
 * entry that cannot reach the table.
 */
const FEED_OVERDUE_MS = 1300;
/** The interval at which an entry with an overdue feed asks its neighbours. */
export const NEIGHBOUR_POLL_INTERVAL_MS = 500;
/** How long to wait for the answer of a neighbour. */
const NEIGHBOUR_TIMEOUT_MS = 400;
/** Client requests that call for a refresh within this interval share one round of questions to neighbours. */
const MIN_REFRESH_INTERVAL_MS = 200;
/**
 * How long neighbours' answers that the table is unavailable to them stay valid. After this time the table may be
 * answering them again.
 */
const NEIGHBOUR_ANSWERS_VALID_MS = 2000;
export type ConfigurationSyncOptions = {
  readonly feed: OperatorFeed;
  /** The entries that can be asked. */
  readonly neighbours: () => readonly EntryId[];
  readonly ask: AskPeer;
  /** Called with the maintenance waves that the feed delivers. */
  readonly onWaves: (waves: readonly MaintenanceRequest[]) => void;
  /** Receives the evacuations that the same feed and neighbours deliver. If omitted, their age is not bounded. */
  readonly evacuations?: EvacuationTracker;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The monotonic clock. */
  readonly nowMs?: () => number;
  readonly random?: () => number;
};

/** How up to date the configuration in force at an entry is. */
export type ConfigurationFreshness = {
  /** The version in force; 0 without a configuration. */
  readonly version: number;
  /** The time since it was last confirmed that there is no newer version; Infinity if that never happened. */
  readonly ageMs: number;
  /** True if the feed and every neighbour that was asked are overdue, so that a newer version may be in force. */
  readonly mayBeOutdated: boolean;
};

export type ConfigurationSync = {
  /** The configuration in force; undefined before the first one is known. */
  readonly index: () => QueueIndex | undefined;
  readonly freshness: () => ConfigurationFreshness;
  /**
   * Asks neighbours at once if the feed is overdue and they were not asked within the last 200 ms. Used for a client
   * request that the configuration in force does not allow, but a newer one may.
   */
  readonly refreshFromNeighbours: () => Promise<void>;
  /**
   * Reads the operator's feed once. Waits for a change, unless there is no configuration yet or the evacuation view
   * is too old. Called in a loop.
   */
  readonly pollFeed: () => Promise<void>;
  /** Asks neighbours if the feed is overdue; called every `NEIGHBOUR_POLL_INTERVAL_MS`. */
  readonly askNeighbours: () => Promise<void>;
  /** Answers a neighbour. Entries of an earlier release send only the version. */
  readonly answerNeighbour: (question: NeighbourQuestion | number) => NeighbourAnswer;
  /**
   * Confirms the evacuation view at once: by a read of the feed that does not wait for changes, or by neighbours if
   * that read fails. Calls made while a confirmation is in flight share it.
   */
  readonly confirmEvacuations: () => Promise<void>;
  /** True if neighbours have recently answered, and none of them can reach the table. */
  readonly isTableUnavailableToNeighbours: () => boolean;
};

/**
 * Creates the configuration sync of an entry.
 *
 * @param options - The operator's feed, access to neighbours, and the evacuation tracker.
 * @returns The configuration sync. It has no configuration until the feed or a neighbour has delivered one.
 */
export const createConfigurationSync = ({
  feed,
  neighbours,
  ask,
  onWaves,
  log,
  metrics,
  nowMs = () => performance.now(),
  evacuations = createEvacuationTracker({ maxEvacuationDelayMs: () => undefined, log, nowMs }),
  random = Math.random,
}: ConfigurationSyncOptions): ConfigurationSync => {
  const packConfiguration = createConfigurationPacker();
  let index: QueueIndex | undefined;
  let lastFeedAnswerAtMs = nowMs();
  /** When the feed, or a neighbour with an up-to-date feed, last confirmed that no newer version exists. */
  let confirmedAtMs = -Infinity;
  let refreshedAtMs = -Infinity;
  let refreshing: Promise<void> | undefined;
  /** The neighbour whose feed was up to date in the last round. While that holds, only it is asked. */
  let upToDateNeighbour: EntryId | undefined;
  /** When neighbours last answered that they cannot reach the table; -Infinity if one of them can. */
  let neighboursWithoutTableAtMs = -Infinity;
  let confirming: Promise<void> | undefined;
  /** True if the feed's last answer was a full read, which may be stale. */
  let wasFullRead = false;

  const versionInForce = (): number => index?.configuration.version ?? 0;

  const feedSilentMs = (): number => Math.round(nowMs() - lastFeedAnswerAtMs);

  const feedOutage = createFeedOutage({ log, metrics, versionInForce, feedSilentMs });

  const isFeedOverdue = (): boolean => feedSilentMs() > FEED_OVERDUE_MS;

  const applyConfiguration = (
    configuration: BatchConfiguration,
    source: Parameters<Log['info']>[1],
  ): void => {
    const previous = index;
    index = newerConfiguration(index, configuration);
    metrics.gauge('configuration_version', versionInForce());
    log.info('configuration-read', {
      version: configuration.version,
      queues: configuration.queues.length,
      isInForce: index !== previous,
      ...source,
    });
  };

  /** Reads the feed once; returns undefined if it does not answer. */
  const readFeed = async (waitMs: number): Promise<OperatorUpdate | undefined> => {
    const askedAtMs = nowMs();
    const news = await feed.next(waitMs);
    if (news.isErr()) {
      feedOutage.recordFailure(news.error);
      return undefined;
    }
    feedOutage.recordAnswer();
    const { configuration, faults = [], waves, readStats } = news.value;
    metrics.count('operator_feed_bytes', readStats.bytes);
    metrics.time('operator_feed_arriving', readStats.transferMs * 1000);
    if (configuration) {
      const { scope, replacedRows: replaced, bytes, transferMs: arrivingMs } = readStats;
      const readFields = { scope, replaced, bytes, arrivingMs };
      applyConfiguration(configuration, { from: 'table', silentMs: feedSilentMs(), ...readFields });
    }
    faults.forEach((detail) => log.warn('configuration-fault', { detail }));
    lastFeedAnswerAtMs = nowMs();
    confirmedAtMs = lastFeedAnswerAtMs;
    if (news.value.evacuations) evacuations.applyFeedUpdate(news.value.evacuations, askedAtMs);
    if (waves.length > 0) onWaves(waves);
    return news.value;
  };

  /**
   * Reads the feed. If the age of the evacuation view is bounded and the answer is the first full read, reads again
   * at once for the changes since, because a full read may be stale. If that second answer is also a full read,
   * because the table no longer has the history, further calls read only once each.
   */
  const readFeedAndChanges = async (waitMs: number): Promise<OperatorUpdate | undefined> => {
    const news = await readFeed(waitMs);
    const isFirstFullRead = !wasFullRead && news?.evacuations?.isFullRead === true;
    wasFullRead = news?.evacuations?.isFullRead ?? wasFullRead;
    if (!evacuations.isBounded() || !isFirstFullRead) return news;
    const changes = await readFeed(0);
    wasFullRead = changes?.evacuations?.isFullRead ?? wasFullRead;
    return changes;
  };

  const pollFeed = async (): Promise<void> => {
    const mayWait = index !== undefined && evacuations.isRecent();
    await readFeedAndChanges(mayWait ? FEED_WAIT_MS : 0);
  };

  /** Asks one neighbour. Returns whether it can reach the table, or undefined if it did not answer. */
  const askNeighbour = async (neighbour: EntryId): Promise<boolean | undefined> => {
    metrics.count('configuration_questions');
    const version = versionInForce();
    const askedAtMs = nowMs();
    const question: NeighbourQuestion = { version, evacuations: evacuations.toMessage() };
    try {
      const answer = (await ask(
        neighbour,
        CONFIGURATION_METHOD,
        question,
        NEIGHBOUR_TIMEOUT_MS,
      )) as NeighbourAnswer | undefined;
      if (answer?.isUpToDate) upToDateNeighbour = neighbour;
      if (answer?.packed) {
        const { packed: bytes } = answer;
        applyConfiguration(unpackConfiguration(bytes), {
          from: neighbour,
          silentMs: feedSilentMs(),
          bytes: bytes.length,
        });
      }
      if (answer?.isUpToDate) confirmedAtMs = Math.max(confirmedAtMs, askedAtMs);
      if (answer?.evacuations) evacuations.applyAnswer(answer.evacuations, askedAtMs);
      return answer?.isUpToDate;
    } catch (error) {
      metrics.count('configuration_questions_unanswered');
      log.debug('configuration-unanswered', { neighbour, version, detail: String(error) });
      return undefined;
    }
  };

  const askChosenNeighbours = async (): Promise<void> => {
    const chosen = chooseNeighbours({ neighbours: neighbours(), upToDateNeighbour, random });
    upToDateNeighbour = undefined;
    const areUpToDate = await Promise.all(chosen.map(askNeighbour));
    if (areUpToDate.includes(true)) neighboursWithoutTableAtMs = -Infinity;
    else if (areUpToDate.includes(false)) neighboursWithoutTableAtMs = nowMs();
  };

  const askNeighbours = async (): Promise<void> => {
    if (isFeedOverdue()) await askChosenNeighbours();
  };

  const confirm = async (): Promise<void> => {
    const askedAtMs = nowMs();
    const news = await readFeedAndChanges(0);
    if (news === undefined && !evacuations.isConfirmedSince(askedAtMs)) await askChosenNeighbours();
  };

  const confirmEvacuations = async (): Promise<void> => {
    confirming ??= confirm().finally(() => {
      confirming = undefined;
    });
    await confirming;
  };

  const refreshFromNeighbours = async (): Promise<void> => {
    if (!isFeedOverdue() || nowMs() - refreshedAtMs < MIN_REFRESH_INTERVAL_MS) return refreshing;
    refreshedAtMs = nowMs();
    refreshing = askNeighbours();
    return refreshing;
  };

  const freshness = (): ConfigurationFreshness => {
    const ageMs = Math.round(nowMs() - confirmedAtMs);
    return { version: versionInForce(), ageMs, mayBeOutdated: ageMs > FEED_OVERDUE_MS };
  };

  return {
    index: () => index,
    freshness,
    refreshFromNeighbours,
    pollFeed,
    askNeighbours,
    answerNeighbour: (question) => {
      const isVersionOnly = typeof question === 'number';
      const version = isVersionOnly ? question : question.version;
      if (!isVersionOnly) evacuations.applyQuestion(question.evacuations);
      return {
        packed: index && versionInForce() > version ? packConfiguration(index.configuration) : null,
        isUpToDate: !isFeedOverdue(),
        evacuations: evacuations.toMessage(),
      };
    },
    confirmEvacuations,
    isTableUnavailableToNeighbours: () =>
      nowMs() - neighboursWithoutTableAtMs < NEIGHBOUR_ANSWERS_VALID_MS,
  };
};
