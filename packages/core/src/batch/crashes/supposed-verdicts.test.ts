/** Tests that what is only possible decides on no job: neither by a limit, nor by what a row says of an earlier holder. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { brand, type JobId } from '../../shared/ids.js';
import { taskKey } from '../model/job.js';
import type { EndpointCrash } from '../model/state.js';
import { giveUpReason } from './endpoint-crashes.js';

const key = taskKey(brand<JobId>('00000000000000a1'), 0, 0, 0);

const KNOWN: EndpointCrash = {
  run: 1001,
  livedMs: 0,
  isKnown: true,
  isConfirmed: true,
  isSuspected: true,
  isSoleSuspect: true,
  isCorrelated: false,
  fence: 1,
  countedAtMs: 0,
};

const crashes = fc.array(
  fc
    .record({
      isKnown: fc.boolean(),
      isConfirmed: fc.boolean(),
      isSuspected: fc.boolean(),
      isSoleSuspect: fc.boolean(),
      isCorrelated: fc.boolean(),
    })
    .map(
      ({ isConfirmed, ...facts }) =>
        ({ ...KNOWN, ...facts, isConfirmed: facts.isKnown && isConfirmed }) as EndpointCrash,
    ),
  { maxLength: 6 },
);

describe('the verdict on a job', () => {
  it('is not given with a supposed crash that it would not be given without', () => {
    fc.assert(
      fc.property(crashes, (drawn) => {
        const all = drawn.map((crash, index) => ({ ...crash, run: 1001 + index }));
        const known = all.filter(({ isKnown }) => isKnown);
        return (
          giveUpReason({ key, crashes: all }) === undefined ||
          giveUpReason({ key, crashes: known }) !== undefined
        );
      }),
      { seed: 1, numRuns: 2000 },
    );
  });

  it('is not given for two crashes if an endpoint survived the task between them', () => {
    const conclusive = { ...KNOWN, isConclusive: true } as EndpointCrash;
    const survived = { ...KNOWN, run: 1002, livedMs: 900, isSuspected: false };
    expect(giveUpReason({ key, crashes: [conclusive, survived] })).toBeUndefined();
  });
});
