import { fc, test } from '@fast-check/vitest';
import {
  handleConsentRequest,
  handlePromiseRequest,
  brand,
  noSeatCommitments,
  computePortion,
  computeSeatShare,
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

const TERM = { seat: 0, epoch: 3, holder: brand<EntryId>('a') };

describe('seats', () => {
  describe('shares', () => {
    test.prop([fc.nat(64), fc.integer({ min: 1, max: 12 }), fc.string()], { seed: 21 })(
      'add up to the limit, and the two halves of a share add up to the share',
      (limit, seats, name) => {
        const shares = Array.from({ length: seats }, (_, seat) =>
          computeSeatShare(limit, seats, seat, name),
        );
        expect(shares.reduce((a, b) => a + b, 0)).toBe(limit);
        shares.forEach((share) => {
          const halves = computePortion(share, 'continuing') + computePortion(share, 'unconsented');
          expect(halves).toBe(share);
        });
      },
    );
  });

  describe('promises and consent', () => {
    test.prop(
      [
        fc.array(
          fc.record({ kind: fc.constantFrom('promise', 'consent'), elapsedMs: fc.nat(2500) }),
        ),
      ],
      { seed: 22 },
    )('never let a holder keep using its seat after consent to its takeover', (requests) => {
      let book = noSeatCommitments;
      let nowMs = 0;
      let promiseUseEndsMs = -Infinity;
      let hasConsent = false;
      requests.forEach(({ kind, elapsedMs }) => {
        nowMs += elapsedMs;
        const answer =
          kind === 'promise'
            ? handlePromiseRequest(book, TERM, nowMs)
            : handleConsentRequest(book, TERM, true, nowMs);
        book = answer.commitments;
        if (!answer.isGranted) return;
        if (kind === 'promise') {
          expect(hasConsent).toBe(false);
          promiseUseEndsMs = nowMs + 2000;
        } else {
          expect(nowMs).toBeGreaterThanOrEqual(promiseUseEndsMs);
          hasConsent = true;
        }
      });
    });
  });

  describe('slots under failure', () => {
    let deployment: Deployment;
    afterEach(() => deployment.close());

    const overSlots = () =>
      Array.from(deployment.workers.values(), (stub) => stub.report().overSlots);

    /** Sends many more concurrent requests than there are slots, until `stop` is called. */
    const startOverload = (headers: Record<string, string> = {}) => {
      const sums = { answered: 0, refused: 0, unexpected: 0 };
      let isRunning = true;
      const sender = async (index: number): Promise<void> => {
        while (isRunning) {
          const entry = deployment.entries[index % deployment.entries.length] as TestEntry;
          const answer = await send(entry, { headers }).catch(() => undefined);
          if (answer?.status === 200) sums.answered += 1;
          else if (answer && answer.verdict === 'notRun') sums.refused += 1;
          else sums.unexpected += 1;
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

    it('are never exceeded under load while an entry joins and another loses the platform', async () => {
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

    it('remain in use while the platform is unavailable', async () => {
      deployment = await startDeployment({ workMs: 5 });
      deployment.platform.setFault({ mode: 'down' });
      await pause(2500);
      await waitUntil('responses without the platform', async () => {
        const answers = await Promise.all(deployment.entries.map((entry) => send(entry)));
        return answers.every(({ status }) => status === 200);
      });
      const load = startOverload();
      await pause(2000);
      await load.stop();
      expect(overSlots()).toEqual([0]);
      expect(load.sums.answered).toBeGreaterThan(100);
      expect(load.sums.unexpected).toBe(0);
    });

    it('become usable through a replacement entry after the former seat holder has stopped', async () => {
      deployment = await startDeployment();
      const [first, second] = deployment.entries as [TestEntry, TestEntry];
      await second.entry.stop();
      await second.platformRelay.close();
      deployment.entries.splice(1, 1);
      const added = await deployment.addEntry('east', 'east-entry-new');
      await waitUntil('the replacement entry to take the seat', async () => {
        const { value } = await deployment.callOperatorApi(first, 'status', {});
        const { entries } = value as {
          entries: readonly { entryId: string; seat: number | null }[];
        };
        return entries.find(({ entryId }) => entryId === added.entryId)?.seat === 1;
      });
      await waitUntil(
        'responses through the replacement entry',
        async () => (await send(added)).status === 200,
      );
    });
  });
});
