/**
 * Guards against task starts by an entry that does not know of an evacuation, and against unnecessary reads of the feed
 * and questions to neighbours.
 */
import { brand, type DataCentreId, type EntryId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLog } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import type { EvacuationFeedUpdate, FeedReadStats } from '../ports.js';
import {
  createConfigurationSync,
  type NeighbourAnswer,
  type NeighbourQuestion,
} from './configuration-sync.js';
import { createEvacuationTracker, type EvacuationMessage } from './evacuation-tracker.js';
import { createStartGate } from './start-gate.js';

const READING: FeedReadStats = { scope: 'changes', replacedRows: 0, bytes: 0, transferMs: 0 };
const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const BOUND_MS = 5000;
/** A view whose age reaches the bound minus this time is too old to start tasks by it. */
const START_IN_FLIGHT_MS = 1000;

const writtenRow = (dataCentre: DataCentreId, revision: number) => ({
  dataCentre,
  revision,
  isDeleted: false,
});

const changesAt = (
  revision: number,
  changes: EvacuationFeedUpdate['changes'] = [],
): EvacuationFeedUpdate => ({
  changes,
  revision,
  isFullRead: false,
  isCurrent: true,
});

const fullReadAt = (
  revision: number,
  changes: EvacuationFeedUpdate['changes'] = [],
): EvacuationFeedUpdate => ({
  changes,
  revision,
  isFullRead: true,
  isCurrent: false,
});

const NO_ANSWER = 'lost' as const;

/** Creates an entry whose feed gives these answers in order, and then repeats the last one. */
const createEntry = (
  answers: readonly (EvacuationFeedUpdate | typeof NO_ANSWER)[],
  {
    isBounded = true,
    neighbour,
  }: { readonly isBounded?: boolean; readonly neighbour?: NeighbourAnswer | undefined } = {},
) => {
  const clock = { ms: 0, feedDelayMs: 0 };
  const nowMs = (): number => clock.ms;
  const log = createLog({ sink: () => undefined });
  const waits: number[] = [];
  const questions: NeighbourQuestion[] = [];
  const table = { isUnavailable: false };
  const evacuations = createEvacuationTracker({
    maxEvacuationDelayMs: () => (isBounded ? BOUND_MS : undefined),
    log,
    nowMs,
  });
  const sync = createConfigurationSync({
    feed: {
      next: async (waitMs) => {
        const news = answers[Math.min(waits.length, answers.length - 1)];
        waits.push(waitMs);
        clock.ms += clock.feedDelayMs;
        if (news === NO_ANSWER) return Err({ kind: 'unknown', detail: 'no answer' });
        return Ok({ waves: [], readStats: READING, evacuations: news });
      },
    },
    neighbours: () => [brand<EntryId>('neighbour')],
    ask: async (_, __, payload) => {
      questions.push(payload as NeighbourQuestion);
      if (neighbour) return neighbour;
      throw new Error('no answer');
    },
    onWaves: () => undefined,
    evacuations,
    log,
    metrics: createMetrics(),
    nowMs,
  });
  const gate = createStartGate({
    evacuations,
    configuration: sync,
    isTableUnavailable: () => table.isUnavailable,
  });
  return { clock, waits, questions, evacuations, sync, gate, table };
};

const evacuationMessage = (fields: Partial<EvacuationMessage>): EvacuationMessage => ({
  revision: 0,
  evacuated: [],
  confirmedAgoMs: null,
  ...fields,
});

describe('the evacuation view of an entry', () => {
  describe('read from its feed', () => {
    it('keeps tasks out of an evacuated data centre only, until the evacuation ends', async () => {
      const deleted = { ...writtenRow(NORTH, 3), isDeleted: true };
      const { sync, gate } = createEntry([
        changesAt(2, [writtenRow(NORTH, 2)]),
        changesAt(3, [deleted]),
      ]);
      await sync.pollFeed();
      expect([gate.mayStartIn(NORTH), gate.mayStartIn(SOUTH)]).toEqual([false, true]);
      await sync.pollFeed();
      expect(gate.mayStartIn(NORTH)).toBe(true);
    });

    it('has an age that counts from the start of the read, not from its answer', async () => {
      // An entry that was paused while the answer waited in its socket must not treat it as recent.
      const { clock, sync, evacuations } = createEntry([changesAt(1)]);
      clock.feedDelayMs = 9000;
      await sync.pollFeed();
      expect(evacuations.ageMs()).toBe(9000);
      expect(evacuations.isRecent()).toBe(false);
    });

    it('is not confirmed by a full read, but by the read for changes that follows at once', async () => {
      const { sync, waits, evacuations } = createEntry([
        fullReadAt(4),
        fullReadAt(4),
        changesAt(5),
      ]);
      await sync.pollFeed();
      expect(waits).toHaveLength(2);
      expect(evacuations.isRecent()).toBe(false);
      await sync.pollFeed();
      expect(evacuations.isRecent()).toBe(true);
    });

    it('costs one read per call while the table gives only full reads', async () => {
      const { sync, waits } = createEntry([fullReadAt(4)]);
      await sync.pollFeed();
      await sync.pollFeed();
      await sync.pollFeed();
      expect(waits).toHaveLength(4);
    });

    it('is not confirmed by an answer with a revision below a known evacuation', async () => {
      const { sync, evacuations } = createEntry([changesAt(3)]);
      evacuations.applyAnswer(evacuationMessage({ revision: 8, evacuated: [[NORTH, 8]] }), 0);
      await sync.pollFeed();
      expect(evacuations.isRecent()).toBe(false);
      expect(Array.from(evacuations.evacuated())).toEqual([NORTH]);
    });
  });

  describe('read from a feed whose revision stays the same while nothing changes', () => {
    it('is confirmed even if a neighbour has sent a view with a higher revision', async () => {
      // Otherwise a holder that got the view from a neighbour while it was cut off would start no task until the next
      // change.
      const { sync, evacuations, clock } = createEntry([changesAt(3)]);
      await sync.pollFeed();
      evacuations.applyAnswer(evacuationMessage({ revision: 8 }), 0);
      clock.ms = BOUND_MS;
      await sync.pollFeed();
      expect(evacuations.isRecent()).toBe(true);
    });
  });

  describe('in a deployment without a bound on its age', () => {
    it('keeps tasks out of evacuated data centres, and allows all other starts without further reads', async () => {
      const { clock, sync, gate, waits } = createEntry(
        [fullReadAt(4, [writtenRow(NORTH, 4)]), changesAt(4)],
        { isBounded: false },
      );
      expect(gate.mayStartIn(NORTH)).toBe(true);
      await sync.pollFeed();
      expect(waits).toHaveLength(1);
      clock.ms += 60_000;
      expect([gate.mayStartIn(NORTH), gate.mayStartIn(SOUTH)]).toEqual([false, true]);
      expect(gate.isConfirmedSince(clock.ms)).toBe(true);
    });
  });

  describe('received from neighbours', () => {
    it('is as old as the time since the neighbour confirmed it', async () => {
      const evacuations = evacuationMessage({
        revision: 7,
        evacuated: [[NORTH, 7]],
        confirmedAgoMs: 1200,
      });
      const neighbour = { packed: null, isUpToDate: true, evacuations };
      const { clock, sync, evacuations: own } = createEntry([NO_ANSWER], { neighbour });
      clock.ms = 10_000;
      await sync.askNeighbours();
      expect(Array.from(own.evacuated())).toEqual([NORTH]);
      expect(own.ageMs()).toBe(1200);
    });

    it('is also taken from their questions, without confirming it', () => {
      const { sync, evacuations } = createEntry([NO_ANSWER]);
      const question = evacuationMessage({
        revision: 7,
        evacuated: [[NORTH, 7]],
        confirmedAgoMs: 0,
      });
      const answer = sync.answerNeighbour({ version: 0, evacuations: question });
      expect(answer.evacuations).toEqual(
        evacuationMessage({ revision: 7, evacuated: [[NORTH, 7]], confirmedAgoMs: null }),
      );
      expect(evacuations.isRecent()).toBe(false);
    });

    it('stays unconfirmed after an answer of an earlier release, which contains no view', async () => {
      const neighbour = { packed: null, isUpToDate: true };
      const { clock, sync, evacuations } = createEntry([NO_ANSWER], { neighbour });
      clock.ms = 10_000;
      await sync.askNeighbours();
      expect(evacuations.isRecent()).toBe(false);
      expect(sync.answerNeighbour(0).isUpToDate).toBe(false);
    });
  });

  describe('that is too old', () => {
    const createEntryWithOldView = async (neighbour: NeighbourAnswer | undefined) => {
      const entry = createEntry([changesAt(1), NO_ANSWER], { neighbour });
      await entry.sync.pollFeed();
      entry.clock.ms = BOUND_MS - START_IN_FLIGHT_MS - 1;
      expect(entry.gate.mayStartIn(SOUTH)).toBe(true);
      entry.clock.ms += 1;
      entry.table.isUnavailable = true;
      await entry.sync.askNeighbours();
      return entry;
    };

    const overdue = { packed: null, isUpToDate: false, evacuations: evacuationMessage({}) };

    it('allows no start if no neighbour answers, since the table may be available to others', async () => {
      expect((await createEntryWithOldView(undefined)).gate.mayStartIn(SOUTH)).toBe(false);
    });

    it('allows starts if the table is unavailable to the neighbours too', async () => {
      const { gate, clock, table } = await createEntryWithOldView(overdue);
      expect(gate.mayStartIn(SOUTH)).toBe(true);
      // The answers of neighbours count only for a short time.
      clock.ms += 2000;
      expect(gate.mayStartIn(SOUTH)).toBe(false);
      clock.ms -= 2000;
      table.isUnavailable = false;
      expect(gate.mayStartIn(SOUTH)).toBe(false);
    });

    it('is confirmed by a read that does not wait, and by neighbours if the read fails', async () => {
      const evacuations = evacuationMessage({ revision: 1, confirmedAgoMs: 0 });
      const { gate, waits, questions } = await createEntryWithOldView({
        packed: null,
        isUpToDate: true,
        evacuations,
      });
      await gate.confirm();
      expect(waits.at(-1)).toBe(0);
      expect(questions.length).toBeGreaterThan(0);
      expect(gate.mayStartIn(SOUTH)).toBe(true);
    });

    it('is confirmed by one read for all concurrent callers', async () => {
      const { gate, waits } = createEntry([changesAt(1)]);
      await Promise.all([gate.confirm(), gate.confirm(), gate.confirm()]);
      expect(waits).toEqual([0]);
      expect(gate.isConfirmedSince(0)).toBe(true);
    });
  });
});
