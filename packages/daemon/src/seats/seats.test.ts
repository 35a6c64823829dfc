import { fc, test } from '@fast-check/vitest';
import {
  answerConsent,
  answerPromise,
  brand,
  emptySeatBook,
  portionOfShare,
  shareOfSeat,
  type EntryId,
} from '@valvelatch/core';
import { afterEach, describe, expect, it } from 'vitest';

import {
  pause,
  send,
  startDeployment,
  waitUntil,
  type Deployment,
  type TestEntry,
} from '../testing/deployment.fixtures.js';

const term = { seat: 0, epoch: 3, holder: brand<EntryId>('a') };

describe('seats', () => {
  describe('shares', () => {
    test.prop([fc.nat(64), fc.integer({ min: 1, max: 12 }), fc.string()], { seed: 21 })(
      'add up to the limit, and the two halves of each to the share',
      (limit, seats, name) => {
        const shares = Array.from({ length: seats }, (_, seat) =>
          shareOfSeat(limit, seats, seat, name),
        );
        expect(shares.reduce((a, b) => a + b, 0)).toBe(limit);
        shares.forEach((share) => {
          const halves = portionOfShare(share, 'continuing') + portionOfShare(share, 'unconsented');
          expect(halves).toBe(share);
        });
      },
    );
  });

  describe('promises and consent', () => {
    test.prop(
      [fc.array(fc.record({ asks: fc.constantFrom('promise', 'consent'), afterMs: fc.nat(2500) }))],
      { seed: 22 },
    )('never let a holder go on and another take its seat', (questions) => {
      let book = emptySeatBook;
      let nowMs = 0;
      let carriedUntilMs = -Infinity;
      let isTaken = false;
      questions.forEach(({ asks, afterMs }) => {
        nowMs += afterMs;
        const answer =
          asks === 'promise'
            ? answerPromise(book, term, nowMs)
            : answerConsent(book, term, true, nowMs);
        book = answer.book;
        if (!answer.isGranted) return;
        if (asks === 'promise') {
          expect(isTaken).toBe(false);
          carriedUntilMs = nowMs + 2000;
        } else {
          expect(nowMs).toBeGreaterThanOrEqual(carriedUntilMs);
          isTaken = true;
        }
      });
    });
  });

  describe('slots under failure', () => {
    let deployment: Deployment;
    afterEach(() => deployment.close());

    const overSlots = () =>
      Array.from(deployment.workers.values(), (one) => one.report().overSlots);

    /** Sends far more than there are slots for, until it is told to stop. */
    const startOverload = (headers: Record<string, string> = {}) => {
      const sums = { answered: 0, refused: 0, dishonest: 0 };
      let isRunning = true;
      const sender = async (index: number): Promise<void> => {
        while (isRunning) {
          const at = deployment.entries[index % deployment.entries.length] as TestEntry;
          const answer = await send(at, { headers }).catch(() => undefined);
          if (answer?.status === 200) sums.answered += 1;
          else if (answer && answer.verdict === 'notRun') sums.refused += 1;
          else sums.dishonest += 1;
        }
      };
      const senders = Array.from({ length: 60 }, (_, index) => sender(index));
      return {
        sums,
        stop: async () => {
          isRunning = false;
          await Promise.all(senders);
        },
      };
    };

    it('are never overshot under load, while an entry joins and one is cut off', async () => {
      deployment = await startDeployment({ slots: 5, workMs: 10 });
      const load = startOverload();
      await pause(400);
      const [, second] = deployment.entries as [TestEntry, TestEntry];
      second.platformRelay.cut();
      await deployment.addEntry('east', 'east-entry-new');
      await pause(3000);
      second.platformRelay.heal();
      await pause(800);
      await load.stop();
      expect(overSlots()).toEqual([0]);
      expect(load.sums.answered).toBeGreaterThan(100);
    });

    it('go on being used while the platform is away', async () => {
      deployment = await startDeployment({ workMs: 5 });
      deployment.platform.setFault({ mode: 'down' });
      await pause(2500);
      await waitUntil('answers without the platform', async () => {
        const answers = await Promise.all(deployment.entries.map((at) => send(at)));
        return answers.every(({ status }) => status === 200);
      });
      const load = startOverload();
      await pause(2000);
      await load.stop();
      expect(overSlots()).toEqual([0]);
      expect(load.sums.answered).toBeGreaterThan(100);
      expect(load.sums.dishonest).toBe(0);
    });

    it('are taken over by a replacement once the former holder has left', async () => {
      deployment = await startDeployment();
      const [first, second] = deployment.entries as [TestEntry, TestEntry];
      await second.entry.stop();
      await second.platformRelay.close();
      deployment.entries.splice(1, 1);
      const added = await deployment.addEntry('east', 'east-entry-new');
      await waitUntil('the seat', async () => {
        const { value } = await deployment.operate(first, 'status', {});
        const { entries } = value as {
          entries: readonly { entryId: string; seat: number | null }[];
        };
        return entries.find(({ entryId }) => entryId === added.entryId)?.seat === 1;
      });
      await waitUntil('answers', async () => (await send(added)).status === 200);
    });
  });
});
