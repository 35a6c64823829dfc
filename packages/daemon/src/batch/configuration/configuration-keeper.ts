/**
 * Keeps the configuration of an entry in step with the accepted one. The operator's feed brings it;
 * while the feed says nothing, neighbours are asked, since an entry that the table does not reach may
 * well be reached by its clients. The configuration moves only to higher versions, whoever tells it.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import {
  newerConfiguration,
  type BatchConfiguration,
  type QueueIndex,
  type UpkeepOrder,
} from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { PlatformError } from '@valvelatch/platform';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AskPeer } from '../entry/peers.js';
import type { OperatorFeed } from '../ports.js';

/** A waiting read of the operator's orders: a change is in force within 2 s also if one is lost. */
const OPERATOR_WAIT_MS = 1000;
/**
 * A feed that has said nothing for so long is overdue: its answers come each 1.1 s. With the pause
 * between two questions a change is in force 2 s after its acceptance at an entry that is cut off.
 */
const OVERDUE_MS = 1300;
export const ASK_NEIGHBOURS_EVERY_MS = 500;
const ASK_MS = 400;
/** Requests that are in doubt share the questions of this time. */
const REFRESH_EVERY_MS = 200;
/** A cut often takes several entries, and rows of entries that are gone stay. */
const ASKED_AT_ONCE = 2;
/** Routes are alike: a tenth of their bytes is left. The best compression takes five times as long. */
const FASTEST = { level: 1 };
/** What a packed configuration may grow to: some 100,000 queues. */
const MOST_BYTES = 32 * 1024 * 1024;

/** The method of the mesh by which entries ask each other. */
export const CONFIGURATION_METHOD = 'configuration';

/** What a neighbour says of its configuration. */
export type NeighbourAnswer = {
  /** The configuration, packed, where it is newer than the one asked with. */
  readonly packed: Uint8Array | null;
  /** False if the neighbour's own feed is overdue: others may know more. */
  readonly isUpToDate: boolean;
};

export type ConfigurationKeeperOptions = {
  readonly feed: OperatorFeed;
  readonly neighbours: () => readonly EntryId[];
  readonly ask: AskPeer;
  readonly onWaves: (waves: readonly UpkeepOrder[]) => void;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
  readonly random?: () => number;
};

/** How far what is in force here can be believed to be the newest. */
export type Currency = {
  readonly version: number;
  /** Since when a newer one may have come into force unheard of. */
  readonly ageMs: number;
  /** The feed is overdue, and so is every neighbour that was asked. */
  readonly isDoubtful: boolean;
};

export type ConfigurationKeeper = {
  readonly index: () => QueueIndex | undefined;
  readonly currency: () => Currency;
  /**
   * Asks neighbours now, if the feed is overdue and they were not just asked: for a request that only a newer
   * configuration may allow.
   */
  readonly refresh: () => Promise<void>;
  /** Waits for what the operator orders; to be called again and again. */
  readonly follow: () => Promise<void>;
  /** Asks neighbours if the feed is overdue; to be called each `ASK_NEIGHBOURS_EVERY_MS`. */
  readonly askNeighbours: () => Promise<void>;
  /** Answers a neighbour that has this version; 0 for none. */
  readonly answerNeighbour: (version: number) => NeighbourAnswer;
};

const pack = (configuration: BatchConfiguration): Uint8Array =>
  deflateRawSync(JSON.stringify(configuration), FASTEST);

const unpack = (packed: Uint8Array): BatchConfiguration => {
  const text = inflateRawSync(packed, { maxOutputLength: MOST_BYTES }).toString('utf8');
  return JSON.parse(text) as BatchConfiguration;
};

/**
 * Builds the keeper.
 *
 * @param options - The operator's feed, and the neighbours.
 * @returns The keeper, without a configuration at first.
 */
export const createConfigurationKeeper = ({
  feed,
  neighbours,
  ask,
  onWaves,
  log,
  metrics,
  nowMs = () => performance.now(),
  random = Math.random,
}: ConfigurationKeeperOptions): ConfigurationKeeper => {
  let index: QueueIndex | undefined;
  let readAtMs = nowMs();
  /** When the feed, or a neighbour whose feed was up to date, last told that there is nothing newer. */
  let confirmedAtMs = -Infinity;
  let refreshedAtMs = -Infinity;
  let refreshing: Promise<void> | undefined;
  /** Packed once for all neighbours that ask. */
  let packed: { readonly version: number; readonly bytes: Uint8Array } | undefined;
  /** Readings without an answer since the last answer. */
  let failures = 0;
  /** Asked again, and alone, while its own feed is up to date. */
  let goodNeighbour: EntryId | undefined;

  const versionInForce = (): number => index?.configuration.version ?? 0;

  const silentMs = (): number => Math.round(nowMs() - readAtMs);

  const isOverdue = (): boolean => silentMs() > OVERDUE_MS;

  const take = (configuration: BatchConfiguration, how: Parameters<Log['info']>[1]): void => {
    const before = index;
    index = newerConfiguration(index, configuration);
    metrics.gauge('configuration_version', versionInForce());
    log.info('configuration-read', {
      version: configuration.version,
      queues: configuration.queues.length,
      isInForce: index !== before,
      ...how,
    });
  };

  /** A table that refuses an entry does so nine times a second: the first and the last are logged. */
  const noteFailure = (error: PlatformError): void => {
    metrics.count('operator_feed_failed');
    failures += 1;
    if (failures > 1) return;
    log.warn('operator-feed-lost', {
      ...error,
      version: versionInForce(),
      silentMs: silentMs(),
    });
  };

  const noteAnswer = (): void => {
    if (failures === 0) return;
    log.info('operator-feed-regained', { failures, silentMs: silentMs() });
    failures = 0;
  };

  const follow = async (): Promise<void> => {
    const news = await feed.next(index ? OPERATOR_WAIT_MS : 0);
    if (news.isErr()) {
      noteFailure(news.error);
      return;
    }
    noteAnswer();
    const { configuration, faults = [], waves, reading } = news.value;
    metrics.count('operator_feed_bytes', reading.bytes);
    metrics.time('operator_feed_arriving', reading.arrivingMs * 1000);
    if (configuration) take(configuration, { from: 'table', silentMs: silentMs(), ...reading });
    faults.forEach((detail) => log.warn('configuration-fault', { detail }));
    readAtMs = nowMs();
    confirmedAtMs = readAtMs;
    if (waves.length > 0) onWaves(waves);
  };

  const chooseNeighbours = (): readonly EntryId[] => {
    const all = neighbours();
    if (goodNeighbour !== undefined && all.includes(goodNeighbour)) return [goodNeighbour];
    const first = Math.floor(random() * all.length);
    return Array.from({ length: Math.min(ASKED_AT_ONCE, all.length) }, (_, step) => {
      const chosen = (first + step * Math.ceil(all.length / ASKED_AT_ONCE)) % all.length;
      return all[chosen] as EntryId;
    });
  };

  const askOne = async (neighbour: EntryId): Promise<void> => {
    metrics.count('configuration_questions');
    const version = versionInForce();
    const askedAtMs = nowMs();
    try {
      const answer = (await ask(neighbour, CONFIGURATION_METHOD, version, ASK_MS)) as
        NeighbourAnswer | undefined;
      if (answer?.isUpToDate) goodNeighbour = neighbour;
      if (answer?.packed) {
        const { packed: bytes } = answer;
        take(unpack(bytes), { from: neighbour, silentMs: silentMs(), bytes: bytes.length });
      }
      if (answer?.isUpToDate) confirmedAtMs = Math.max(confirmedAtMs, askedAtMs);
    } catch (error) {
      metrics.count('configuration_questions_unanswered');
      log.debug('configuration-unanswered', { neighbour, version, detail: String(error) });
    }
  };

  const askNeighbours = async (): Promise<void> => {
    if (!isOverdue()) return;
    const asked = chooseNeighbours();
    goodNeighbour = undefined;
    await Promise.all(asked.map(askOne));
  };

  const refresh = async (): Promise<void> => {
    if (!isOverdue() || nowMs() - refreshedAtMs < REFRESH_EVERY_MS) return refreshing;
    refreshedAtMs = nowMs();
    refreshing = askNeighbours();
    return refreshing;
  };

  const currency = (): Currency => {
    const ageMs = Math.round(nowMs() - confirmedAtMs);
    return { version: versionInForce(), ageMs, isDoubtful: ageMs > OVERDUE_MS };
  };

  const packedNow = ({ configuration }: QueueIndex): Uint8Array => {
    const { version } = configuration;
    if (packed?.version !== version) packed = { version, bytes: pack(configuration) };
    return packed.bytes;
  };

  return {
    index: () => index,
    currency,
    refresh,
    follow,
    askNeighbours,
    answerNeighbour: (version) => ({
      packed: index && versionInForce() > version ? packedNow(index) : null,
      isUpToDate: !isOverdue(),
    }),
  };
};
