import { fc, test } from '@fast-check/vitest';
import { createRng, pickRandom } from '@valvelatch/core';
import { describe, expect, it } from 'vitest';

import { createMembershipModel } from './membership-model.js';

const AGREED_WITHIN_MS = 10_000;

const stepsUntilAgreed = (model: ReturnType<typeof createMembershipModel>): number => {
  const startedMs = model.nowMs();
  while (!model.isAgreed() && model.nowMs() - startedMs < 60_000) model.step();
  return model.nowMs() - startedMs;
};

describe('membership', () => {
  describe.each([
    [2, 3],
    [6, 10],
    [20, 30],
  ])('of %i data centres with %i entries each', (dataCentres, membersEach) => {
    it('learns within seconds who joined, left and died', () => {
      const model = createMembershipModel(dataCentres, membersEach);
      model.add(1);
      expect(stepsUntilAgreed(model)).toBeLessThanOrEqual(AGREED_WITHIN_MS);
      model.leave(model.ids()[1] as never);
      expect(stepsUntilAgreed(model)).toBeLessThanOrEqual(AGREED_WITHIN_MS);
      model.kill(model.ids()[2] as never);
      model.kill(model.ids()[4] as never);
      expect(stepsUntilAgreed(model)).toBeLessThanOrEqual(AGREED_WITHIN_MS);
    });

    it('keeps the links of an entry few', () => {
      const model = createMembershipModel(dataCentres, membersEach);
      model.step();
      expect(model.mostLinks()).toBeLessThanOrEqual(24);
    });
  });

  describe('replaced all the time', () => {
    test.prop([fc.integer()], { seed: 41, numRuns: 15 })('agrees in the end', (seed) => {
      const rng = createRng(seed);
      const model = createMembershipModel(4, 4);
      for (let change = 0; change < 12; change += 1) {
        const [victim, kind] = [pickRandom(model.ids(), rng), rng()];
        if (kind < 0.4) model.kill(victim as never);
        else if (kind < 0.6) model.leave(victim as never);
        else model.add(Math.floor(rng() * 4));
        const steps = Math.floor(rng() * 20);
        for (let step = 0; step < steps; step += 1) model.step();
      }
      expect(stepsUntilAgreed(model)).toBeLessThan(20_000);
    });
  });
});
