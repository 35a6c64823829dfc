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
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import type { EntryId } from '@valvelatch/core/shared/ids';

import type { PlatformError } from '@valvelatch/platform';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AskPeer } from '../entry/peers.js';
import type { OperatorFeed, OperatorNews } from '../ports.js';
import {
  createEvacuationKeeper,
  type EvacuationKeeper,
  type ToldEvacuations,
} from './evacuation-keeper.js';

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
/** A neighbour that had no answer of the table a longer time ago may have one now. */
const NEIGHBOURS_AWAY_MS = 2000;
/** Routes are alike: a tenth of their bytes is left. The best compression takes five times as long. */
const FASTEST = { level: 1 };
/** What a packed configuration may grow to: some 100,000 queues. */
const MOST_BYTES = 32 * 1024 * 1024;

/** The method of the mesh by which entries ask each other. */
export const CONFIGURATION_METHOD = 'configuration';

/** What an entry tells the neighbour that it asks. */
export type NeighbourQuestion = {
  /** Of the configuration that it has; 0 for none. */
  readonly version: number;
  readonly evacuations: ToldEvacuations;
};

/** What a neighbour says of its configuration. */
export type NeighbourAnswer = {
  /** The configuration, packed, where it is newer than the one asked with. */
  readonly packed: Uint8Array | null;
  /** False if the neighbour's own feed is overdue: others may know more. */
  readonly isUpToDate: boolean;
  /** Left out by entries of an earlier release. */
  readonly evacuations?: ToldEvacuations;
};

export type ConfigurationKeeperOptions = {
  readonly feed: OperatorFeed;
  readonly neighbours: () => readonly EntryId[];
  readonly ask: AskPeer;
  readonly onWaves: (waves: readonly MaintenanceRequest[]) => void;
  /** Told of evacuations by the same feed and neighbours. */
  readonly evacuations?: EvacuationKeeper;
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
  /** Answers a neighbour; entries of an earlier release ask with the version alone. */
  readonly answerNeighbour: (question: NeighbourQuestion | number) => NeighbourAnswer;
  /**
   * Has the belief about evacuations confirmed at once: by the feed without waiting for changes, and by neighbours if
   * that fails. Calls while one is under way share it.
   */
  readonly confirmEvacuations: () => Promise<void>;
  /** True if neighbours that were asked lately answered, and the table answers none of them. */
  readonly isAwayForNeighbours: () => boolean;
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
  evacuations = createEvacuationKeeper({ evacuateMs: () => undefined, log, nowMs }),
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
  let neighboursAwayAtMs = -Infinity;
  let confirming: Promise<void> | undefined;
  /** The last answer of the feed was a full reading, which may be stale. */
  let wasWhole = false;

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

  /** Reads the feed once; undefined without an answer. */
  const read = async (waitMs: number): Promise<OperatorNews | undefined> => {
    const askedAtMs = nowMs();
    const news = await feed.next(waitMs);
    if (news.isErr()) {
      noteFailure(news.error);
      return undefined;
    }
    noteAnswer();
    const { configuration, faults = [], waves, reading } = news.value;
    metrics.count('operator_feed_bytes', reading.bytes);
    metrics.time('operator_feed_arriving', reading.arrivingMs * 1000);
    if (configuration) take(configuration, { from: 'table', silentMs: silentMs(), ...reading });
    faults.forEach((detail) => log.warn('configuration-fault', { detail }));
    readAtMs = nowMs();
    confirmedAtMs = readAtMs;
    if (news.value.evacuations) evacuations.take(news.value.evacuations, askedAtMs);
    if (waves.length > 0) onWaves(waves);
    return news.value;
  };

  /**
   * Reads the feed, and asks for changes at once after a full reading where evacuations are bounded: a full reading
   * may be stale. While each reading is a full one, since the table has forgotten its history, the next call does.
   */
  const readConfirmed = async (waitMs: number): Promise<OperatorNews | undefined> => {
    const news = await read(waitMs);
    const isFirstWhole = !wasWhole && news?.evacuations?.isFullRead === true;
    wasWhole = news?.evacuations?.isFullRead ?? wasWhole;
    if (!evacuations.isBounded() || !isFirstWhole) return news;
    const changes = await read(0);
    wasWhole = changes?.evacuations?.isFullRead ?? wasWhole;
    return changes;
  };

  const follow = async (): Promise<void> => {
    const mayWait = index !== undefined && evacuations.isRecent();
    await readConfirmed(mayWait ? OPERATOR_WAIT_MS : 0);
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

  /** Asks one neighbour; gives whether the table answers it, undefined if it did not say. */
  const askOne = async (neighbour: EntryId): Promise<boolean | undefined> => {
    metrics.count('configuration_questions');
    const version = versionInForce();
    const askedAtMs = nowMs();
    const question: NeighbourQuestion = { version, evacuations: evacuations.tell() };
    try {
      const answer = (await ask(neighbour, CONFIGURATION_METHOD, question, ASK_MS)) as
        NeighbourAnswer | undefined;
      if (answer?.isUpToDate) goodNeighbour = neighbour;
      if (answer?.packed) {
        const { packed: bytes } = answer;
        take(unpack(bytes), { from: neighbour, silentMs: silentMs(), bytes: bytes.length });
      }
      if (answer?.isUpToDate) confirmedAtMs = Math.max(confirmedAtMs, askedAtMs);
      if (answer?.evacuations) evacuations.takeAnswer(answer.evacuations, askedAtMs);
      return answer?.isUpToDate;
    } catch (error) {
      metrics.count('configuration_questions_unanswered');
      log.debug('configuration-unanswered', { neighbour, version, detail: String(error) });
      return undefined;
    }
  };

  const askRound = async (): Promise<void> => {
    const asked = chooseNeighbours();
    goodNeighbour = undefined;
    const served = await Promise.all(asked.map(askOne));
    if (served.includes(true)) neighboursAwayAtMs = -Infinity;
    else if (served.includes(false)) neighboursAwayAtMs = nowMs();
  };

  const askNeighbours = async (): Promise<void> => {
    if (isOverdue()) await askRound();
  };

  const confirm = async (): Promise<void> => {
    const askedAtMs = nowMs();
    const news = await readConfirmed(0);
    if (news === undefined && !evacuations.isConfirmedSince(askedAtMs)) await askRound();
  };

  const confirmEvacuations = async (): Promise<void> => {
    confirming ??= confirm().finally(() => {
      confirming = undefined;
    });
    await confirming;
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
    answerNeighbour: (question) => {
      const isPlain = typeof question === 'number';
      const version = isPlain ? question : question.version;
      if (!isPlain) evacuations.takeQuestion(question.evacuations);
      return {
        packed: index && versionInForce() > version ? packedNow(index) : null,
        isUpToDate: !isOverdue(),
        evacuations: evacuations.tell(),
      };
    },
    confirmEvacuations,
    isAwayForNeighbours: () => nowMs() - neighboursAwayAtMs < NEIGHBOURS_AWAY_MS,
  };
};
