import type { BatchConfiguration } from '@valvelatch/core/batch';
import { brand, type EntryId } from '@valvelatch/core/shared/ids';
import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createLog } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import {
  NEIGHBOUR_POLL_INTERVAL_MS,
  createConfigurationSync,
  type ConfigurationSync,
} from './configuration-sync.js';
import type { FeedReadStats, OperatorUpdate } from '../ports.js';

const READING: FeedReadStats = { scope: 'changes', replacedRows: 0, bytes: 0, transferMs: 0 };
const FEED_TIMEOUT_MS = 1900;
const FEED_PAUSE_MS = 100;
const TABLE_POLL_MS = 100;
const QUEUE_COUNT = 260;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const configurationOf = (version: number): BatchConfiguration => ({
  version,
  queues: Array.from({ length: QUEUE_COUNT }, (_, index) => ({
    name: brand(`inspections-${index}`),
    hostName: 'speelveilig.example',
    pathPrefix: `/q${index}/`,
    pool: brand('intake'),
    timeoutMs: 3000,
    policy: { priority: 1, maxAttempts: 3, stretch: 2, targetLatencyMs: 600, needsAdvice: false },
    isOpenToAll: true,
  })),
  pools: [{ name: brand('intake'), isSpare: false }],
  accounts: [],
});

/** An entry whose connection to the table can be cut. */
type Entry = {
  readonly entryId: EntryId;
  readonly sync: ConfigurationSync;
  isCutOff: boolean;
  /** The neighbours that it has asked, in order. */
  readonly asked: EntryId[];
};

describe('the configuration of an entry', () => {
  let accepted: BatchConfiguration;
  let entries: Entry[];
  let isStopped: boolean;

  const log = createLog({ sink: () => undefined });

  const feedAnswerTo = (knownVersion: number): OperatorUpdate => {
    const isNew = accepted.version > knownVersion;
    return { waves: [], readStats: READING, ...(isNew ? { configuration: accepted } : {}) };
  };

  const addEntry = (name: string): Entry => {
    let readVersion = 0;
    const asked: EntryId[] = [];
    const others = (): readonly Entry[] => entries.filter(({ entryId }) => entryId !== name);
    const sync = createConfigurationSync({
      feed: {
        next: async (waitMs) => {
          const untilMs = performance.now() + waitMs;
          while (
            !entry.isCutOff &&
            accepted.version <= readVersion &&
            performance.now() < untilMs
          ) {
            await sleep(TABLE_POLL_MS);
          }
          if (entry.isCutOff) {
            await sleep(FEED_TIMEOUT_MS);
            return Err({ kind: 'unknown', detail: 'no answer' });
          }
          const news = feedAnswerTo(readVersion);
          readVersion = accepted.version;
          return Ok(news);
        },
      },
      neighbours: () => others().map(({ entryId }) => entryId),
      ask: async (entryId, _, payload) => {
        asked.push(entryId);
        await sleep(1);
        return others()
          .find((other) => other.entryId === entryId)
          ?.sync.answerNeighbour(payload as number);
      },
      onWaves: () => undefined,
      log,
      metrics: createMetrics(),
    });
    const entry: Entry = { entryId: brand(name), sync, isCutOff: false, asked };
    const repeat = async (run: () => Promise<void>, everyMs: number): Promise<void> => {
      while (!isStopped) {
        await run();
        await sleep(everyMs);
      }
    };
    void repeat(sync.pollFeed, FEED_PAUSE_MS);
    void repeat(sync.askNeighbours, NEIGHBOUR_POLL_INTERVAL_MS);
    return entry;
  };

  const createTestSync = (
    read: () => Promise<number>,
    ask: () => Promise<unknown> = async () => undefined,
    nowMs?: () => number,
  ): ConfigurationSync =>
    createConfigurationSync({
      feed: {
        next: async () =>
          Ok({ waves: [], readStats: READING, configuration: configurationOf(await read()) }),
      },
      neighbours: () => [brand<EntryId>('neighbour')],
      ask,
      onWaves: () => undefined,
      log,
      metrics: createMetrics(),
      nowMs,
    });

  const versionOf = ({ sync }: Entry): number => sync.index()?.configuration.version ?? 0;

  beforeEach(async () => {
    vi.useFakeTimers();
    isStopped = false;
    accepted = configurationOf(1);
    entries = [];
    ['one', 'two', 'three', 'four'].forEach((name) => entries.push(addEntry(name)));
    await vi.advanceTimersByTimeAsync(2000);
  });

  afterEach(() => {
    isStopped = true;
    vi.useRealTimers();
  });

  it('comes from the table only, without questions to neighbours, while the table answers', async () => {
    accepted = configurationOf(2);
    await vi.advanceTimersByTimeAsync(5000);
    expect(entries.map(versionOf)).toEqual([2, 2, 2, 2]);
    expect(entries.flatMap(({ asked }) => asked)).toEqual([]);
  });

  it.each([0, 300, 700, 1000, 1300, 1900])(
    'is in force within 2 s at an entry that lost the table %i ms before its acceptance',
    async (beforeMs) => {
      const [cutOff] = entries as [Entry];
      cutOff.isCutOff = true;
      await vi.advanceTimersByTimeAsync(beforeMs);
      accepted = configurationOf(2);
      await vi.advanceTimersByTimeAsync(2000);
      expect(versionOf(cutOff)).toBe(2);
    },
  );

  it('comes from the only neighbour that can reach the table, which is then asked alone', async () => {
    const [first, second, third] = entries as [Entry, Entry, Entry];
    [first, second, third].forEach((entry) => Object.assign(entry, { isCutOff: true }));
    accepted = configurationOf(2);
    await vi.advanceTimersByTimeAsync(8000);
    expect([first, second, third].map(versionOf)).toEqual([2, 2, 2]);
    // Once found, only this neighbour is asked, twice a second.
    const askedBefore = first.asked.length;
    await vi.advanceTimersByTimeAsync(2000);
    const askedSince = first.asked.slice(askedBefore);
    expect(askedSince.length).toBeLessThanOrEqual(4);
    expect(new Set(askedSince)).toEqual(new Set(['four']));
  });

  it('is compressed to a twentieth of its size or less when it is sent to another entry', () => {
    const { packed } = (entries[0] as Entry).sync.answerNeighbour(0);
    const plainBytes = JSON.stringify(accepted).length;
    expect(packed?.length).toBeLessThan(plainBytes / 20);
  });

  it('never returns to a lower version, whatever the order of updates from the table and neighbours', async () => {
    vi.useRealTimers();
    /** The answer of a neighbour that has this version, as if it were asked by an entry without one. */
    const answerOf = async (version: number) => {
      const neighbour = createTestSync(async () => version);
      await neighbour.pollFeed();
      return neighbour.answerNeighbour(0);
    };
    const steps = fc.array(
      fc.record({ byTable: fc.boolean(), version: fc.integer({ min: 1, max: 9 }) }),
    );
    await fc.assert(
      fc.asyncProperty(steps, async (updates) => {
        let version = 0;
        let nowMs = 0;
        let highest = 0;
        const sync = createTestSync(
          async () => version,
          async () => answerOf(version),
          () => nowMs,
        );
        for (let step = 0; step < updates.length; step += 1) {
          const { byTable, version: nextVersion } = updates[step] as (typeof updates)[number];
          version = nextVersion;
          nowMs += 10_000;
          await (byTable ? sync.pollFeed() : sync.askNeighbours());
          const inForce = sync.index()?.configuration.version ?? 0;
          expect(inForce).toBe(Math.max(highest, version));
          highest = inForce;
        }
      }),
    );
  });

  it('logs the loss of the table and its return once each, however many reads fail', async () => {
    // Guards against a log line per failed read: 35 entries that the table rejected wrote 2,818 lines in 10 s.
    const lines: string[] = [];
    let isTableDown = true;
    const sync = createConfigurationSync({
      feed: {
        next: async () =>
          isTableDown
            ? Err({ kind: 'unreachable', detail: 'the store answered 503' })
            : Ok(feedAnswerTo(0)),
      },
      neighbours: () => [],
      ask: async () => undefined,
      onWaves: () => undefined,
      log: createLog({ sink: (line) => lines.push(line) }),
      metrics: createMetrics(),
    });
    for (let attempt = 0; attempt < 90; attempt += 1) await sync.pollFeed();
    isTableDown = false;
    await sync.pollFeed();
    const feedLines = lines.filter((line) => line.includes('operator-feed'));
    expect(feedLines).toHaveLength(2);
    expect(feedLines[0]).toContain('event=operator-feed-lost');
    expect(feedLines[1]).toContain('failures=90');
  });
});
