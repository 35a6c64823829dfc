import { fc, test } from '@fast-check/vitest';
import { createRng, pickRandom } from '@valvelatch/core';
import { describe, expect, it } from 'vitest';

import { createMembershipModel } from './membership-model.js';

const MAX_AGREEMENT_MS = 10_000;

const measureAgreementMs = (model: ReturnType<typeof createMembershipModel>): number => {
  const startedMs = model.nowMs();
  while (!model.hasConverged() && model.nowMs() - startedMs < 60_000) model.step();
  return model.nowMs() - startedMs;
};

describe('membership', () => {
  describe.each([
    [2, 3],
    [6, 10],
    [20, 30],
  ])('of %i data centres with %i entries each', (dataCentres, membersEach) => {
    it('agrees within 10 s on members that joined, left and died', () => {
      const model = createMembershipModel(dataCentres, membersEach);
      model.add(1);
      expect(measureAgreementMs(model)).toBeLessThanOrEqual(MAX_AGREEMENT_MS);
      model.leave(model.ids()[1] as never);
      expect(measureAgreementMs(model)).toBeLessThanOrEqual(MAX_AGREEMENT_MS);
      model.kill(model.ids()[2] as never);
      model.kill(model.ids()[4] as never);
      expect(measureAgreementMs(model)).toBeLessThanOrEqual(MAX_AGREEMENT_MS);
    });

    it('keeps at most 24 links per entry', () => {
      const model = createMembershipModel(dataCentres, membersEach);
      model.step();
      expect(model.maxLinks()).toBeLessThanOrEqual(24);
    });
  });

  describe('with members that are continually replaced', () => {
    test.prop([fc.integer()], { seed: 41, numRuns: 15 })('agrees once the changes stop', (seed) => {
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
      expect(measureAgreementMs(model)).toBeLessThan(20_000);
    });
  });
});
