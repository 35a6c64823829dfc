/** Guards against starts by an entry that has not heard of an evacuation, and against questions that nothing asks for. */
import { brand, type DataCentreId, type EntryId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLog } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import type { EvacuationNews, FeedReading } from '../ports.js';
import {
  createConfigurationKeeper,
  type NeighbourAnswer,
  type NeighbourQuestion,
} from './configuration-keeper.js';
import { createEvacuationKeeper, type ToldEvacuations } from './evacuation-keeper.js';
import { createStartGate } from './start-gate.js';

const READING: FeedReading = { scope: 'changes', replaced: 0, bytes: 0, arrivingMs: 0 };
const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const BOUND_MS = 5000;
/** A belief of the bound less this is too old. */
const ORDER_MS = 1000;

const written = (dataCentre: DataCentreId, revision: number) => ({
  dataCentre,
  revision,
  isDeleted: false,
});

const changesAt = (revision: number, changes: EvacuationNews['changes'] = []): EvacuationNews => ({
  changes,
  revision,
  isFullRead: false,
  isCurrent: true,
});

const wholeAt = (revision: number, changes: EvacuationNews['changes'] = []): EvacuationNews => ({
  changes,
  revision,
  isFullRead: true,
  isCurrent: false,
});

const LOST = 'lost' as const;

/** An entry with a feed that gives these answers one after the other, and the last one again and again. */
const entryOf = (
  answers: readonly (EvacuationNews | typeof LOST)[],
  {
    isBounded = true,
    neighbour,
  }: { readonly isBounded?: boolean; readonly neighbour?: NeighbourAnswer | undefined } = {},
) => {
  const clock = { ms: 0, tripMs: 0 };
  const nowMs = (): number => clock.ms;
  const log = createLog({ sink: () => undefined });
  const waits: number[] = [];
  const questions: NeighbourQuestion[] = [];
  const away = { isTableAway: false };
  const evacuations = createEvacuationKeeper({
    evacuateMs: () => (isBounded ? BOUND_MS : undefined),
    log,
    nowMs,
  });
  const keeper = createConfigurationKeeper({
    feed: {
      next: async (waitMs) => {
        const news = answers[Math.min(waits.length, answers.length - 1)];
        waits.push(waitMs);
        clock.ms += clock.tripMs;
        if (news === LOST) return Err({ kind: 'unknown', detail: 'no answer' });
        return Ok({ waves: [], reading: READING, evacuations: news });
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
    configuration: keeper,
    isTableAway: () => away.isTableAway,
  });
  return { clock, waits, questions, evacuations, keeper, gate, away };
};

const told = (fields: Partial<ToldEvacuations>): ToldEvacuations => ({
  revision: 0,
  evacuated: [],
  confirmedAgoMs: null,
  ...fields,
});

describe('what an entry believes of evacuations', () => {
  describe('by its feed', () => {
    it('keeps tasks from an evacuated data centre alone, until that is taken back', async () => {
      const deleted = { ...written(NORTH, 3), isDeleted: true };
      const { keeper, gate } = entryOf([
        changesAt(2, [written(NORTH, 2)]),
        changesAt(3, [deleted]),
      ]);
      await keeper.follow();
      expect([gate.mayStartIn(NORTH), gate.mayStartIn(SOUTH)]).toEqual([false, true]);
      await keeper.follow();
      expect(gate.mayStartIn(NORTH)).toBe(true);
    });

    it('is as old as the question, not as its answer', async () => {
      // An entry that is paused while an answer waits in its socket must not take that for news.
      const { clock, keeper, evacuations } = entryOf([changesAt(1)]);
      clock.tripMs = 9000;
      await keeper.follow();
      expect(evacuations.ageMs()).toBe(9000);
      expect(evacuations.isRecent()).toBe(false);
    });

    it('is not confirmed by a full reading, and is by the changes that are asked for at once', async () => {
      const { keeper, waits, evacuations } = entryOf([wholeAt(4), wholeAt(4), changesAt(5)]);
      await keeper.follow();
      expect(waits).toHaveLength(2);
      expect(evacuations.isRecent()).toBe(false);
      await keeper.follow();
      expect(evacuations.isRecent()).toBe(true);
    });

    it('costs one question a call while the table has only full readings', async () => {
      const { keeper, waits } = entryOf([wholeAt(4)]);
      await keeper.follow();
      await keeper.follow();
      await keeper.follow();
      expect(waits).toHaveLength(4);
    });

    it('is not confirmed by an answer that lags behind what is known', async () => {
      const { keeper, evacuations } = entryOf([changesAt(3)]);
      evacuations.takeAnswer(told({ revision: 8, evacuated: [[NORTH, 8]] }), 0);
      await keeper.follow();
      expect(evacuations.isRecent()).toBe(false);
      expect(Array.from(evacuations.evacuated())).toEqual([NORTH]);
    });
  });

  describe('by a feed whose version stands while nothing changes', () => {
    it('is confirmed though a neighbour has read in full at a higher version', async () => {
      // Otherwise a holder that a neighbour told during a cut would start nothing until the next change.
      const { keeper, evacuations, clock } = entryOf([changesAt(3)]);
      await keeper.follow();
      evacuations.takeAnswer(told({ revision: 8 }), 0);
      clock.ms = BOUND_MS;
      await keeper.follow();
      expect(evacuations.isRecent()).toBe(true);
    });
  });

  describe('where the deployment sets no bound', () => {
    it('is obeyed, and lets all else start without a question more', async () => {
      const { clock, keeper, gate, waits } = entryOf(
        [wholeAt(4, [written(NORTH, 4)]), changesAt(4)],
        { isBounded: false },
      );
      expect(gate.mayStartIn(NORTH)).toBe(true);
      await keeper.follow();
      expect(waits).toHaveLength(1);
      clock.ms += 60_000;
      expect([gate.mayStartIn(NORTH), gate.mayStartIn(SOUTH)]).toEqual([false, true]);
      expect(gate.isConfirmedSince(clock.ms)).toBe(true);
    });
  });

  describe('by neighbours', () => {
    it('is told with the time since it was confirmed', async () => {
      const evacuations = told({ revision: 7, evacuated: [[NORTH, 7]], confirmedAgoMs: 1200 });
      const neighbour = { packed: null, isUpToDate: true, evacuations };
      const { clock, keeper, evacuations: own } = entryOf([LOST], { neighbour });
      clock.ms = 10_000;
      await keeper.askNeighbours();
      expect(Array.from(own.evacuated())).toEqual([NORTH]);
      expect(own.ageMs()).toBe(1200);
    });

    it('is taken from their questions too, which confirm nothing', () => {
      const { keeper, evacuations } = entryOf([LOST]);
      const question = told({ revision: 7, evacuated: [[NORTH, 7]], confirmedAgoMs: 0 });
      const answer = keeper.answerNeighbour({ version: 0, evacuations: question });
      expect(answer.evacuations).toEqual(
        told({ revision: 7, evacuated: [[NORTH, 7]], confirmedAgoMs: null }),
      );
      expect(evacuations.isRecent()).toBe(false);
    });

    it('survives an answer of an earlier release, which tells nothing of it', async () => {
      const neighbour = { packed: null, isUpToDate: true };
      const { clock, keeper, evacuations } = entryOf([LOST], { neighbour });
      clock.ms = 10_000;
      await keeper.askNeighbours();
      expect(evacuations.isRecent()).toBe(false);
      expect(keeper.answerNeighbour(0).isUpToDate).toBe(false);
    });
  });

  describe('of an entry whose belief is too old', () => {
    const silentFor = async (neighbour: NeighbourAnswer | undefined) => {
      const entry = entryOf([changesAt(1), LOST], { neighbour });
      await entry.keeper.follow();
      entry.clock.ms = BOUND_MS - ORDER_MS - 1;
      expect(entry.gate.mayStartIn(SOUTH)).toBe(true);
      entry.clock.ms += 1;
      entry.away.isTableAway = true;
      await entry.keeper.askNeighbours();
      return entry;
    };

    const overdue = { packed: null, isUpToDate: false, evacuations: told({}) };

    it('lets nothing start where no neighbour is reached: the table may be up for others', async () => {
      expect((await silentFor(undefined)).gate.mayStartIn(SOUTH)).toBe(false);
    });

    it('lets starts go on where the table answers no neighbour either', async () => {
      const { gate, clock, away } = await silentFor(overdue);
      expect(gate.mayStartIn(SOUTH)).toBe(true);
      // What neighbours said holds for a short time.
      clock.ms += 2000;
      expect(gate.mayStartIn(SOUTH)).toBe(false);
      clock.ms -= 2000;
      away.isTableAway = false;
      expect(gate.mayStartIn(SOUTH)).toBe(false);
    });

    it('is asked for without waiting, and of neighbours where the feed fails', async () => {
      const evacuations = told({ revision: 1, confirmedAgoMs: 0 });
      const { gate, waits, questions } = await silentFor({
        packed: null,
        isUpToDate: true,
        evacuations,
      });
      await gate.confirm();
      expect(waits.at(-1)).toBe(0);
      expect(questions.length).toBeGreaterThan(0);
      expect(gate.mayStartIn(SOUTH)).toBe(true);
    });

    it('is confirmed by one question however many ask for it', async () => {
      const { gate, waits } = entryOf([changesAt(1)]);
      await Promise.all([gate.confirm(), gate.confirm(), gate.confirm()]);
      expect(waits).toEqual([0]);
      expect(gate.isConfirmedSince(0)).toBe(true);
    });
  });
});
