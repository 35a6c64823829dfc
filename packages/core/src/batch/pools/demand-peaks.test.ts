/** Peaks that follow each other, and when the next one is expected. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { brand, type PoolName } from '../../shared/ids.js';
import { createDemandPeaks, expectPeak, observeDemand, type DemandPeaks } from './demand-peaks.js';
import { learnedOf, restoreLearned } from './learned.js';
import { createBatchState } from '../model/state.js';

const POOLS = ['a', 'b', 'c', 'd'].map((name) => brand<PoolName>(name));
const LEAST_CORES = 30;
const LOOK_MS = 250;

type Turns = {
  readonly periodMs: number;
  readonly peakMs: number;
  readonly cores: number;
  /** How many pools have their peak in turn; the others stay low. */
  readonly pools: number;
};

/** Plays demand by turns up to a time. */
const play = (peaks: DemandPeaks, { periodMs, peakMs, cores, pools }: Turns, untilMs: number) => {
  for (let nowMs = 0; nowMs < untilMs; nowMs += LOOK_MS) {
    const turn = Math.floor(nowMs / periodMs) % pools;
    const isHigh = nowMs % periodMs < peakMs;
    POOLS.forEach((pool, index) => {
      const demand = { cores: isHigh && index === turn ? cores : 2, leastCores: LEAST_CORES };
      observeDemand(peaks, pool, demand, nowMs);
    });
  }
  return peaks;
};

const turns: Turns = { periodMs: 10_000, peakMs: 7000, cores: 200, pools: 4 };

describe('peaks by turns', () => {
  it('are expected at their time, in the pool whose turn it is, with its earlier height', () => {
    // Reacted to alone, each peak had its first hosts 2 to 3 s after it began: of the jobs of its
    // first 2 s three in five were late.
    const peaks = play(createDemandPeaks(), turns, 38_000);
    expect(expectPeak(peaks, POOLS, 38_000)).toEqual(new Map([['a', 200]]));
    expect(expectPeak(peaks, POOLS, 34_000)).toEqual(new Map());
  });

  it('are shared out where several pools have had none yet', () => {
    const peaks = play(createDemandPeaks(), turns, 18_000);
    expect(expectPeak(peaks, POOLS, 18_000)).toEqual(
      new Map([
        ['c', 100],
        ['d', 100],
      ]),
    );
  });

  it('are not expected any more once one has not come', () => {
    const peaks = play(createDemandPeaks(), turns, 38_000);
    expect(expectPeak(peaks, POOLS, 43_000)).toEqual(new Map());
  });

  it('are not made of a single large job', () => {
    const peaks = play(createDemandPeaks(), turns, 18_000);
    const demand = { cores: 70, leastCores: LEAST_CORES };
    expect(observeDemand(peaks, POOLS[3] as PoolName, demand, 18_000)).toBe(false);
  });

  it('are expected nowhere while their distances are uneven', () => {
    const peaks = createDemandPeaks();
    [0, 5000, 30_000].forEach((atMs, index) => {
      const demand = { cores: 200, leastCores: LEAST_CORES };
      observeDemand(peaks, POOLS[index] as PoolName, demand, atMs);
    });
    for (let nowMs = 30_000; nowMs < 70_000; nowMs += LOOK_MS) {
      expect(expectPeak(peaks, POOLS, nowMs).size).toBe(0);
    }
  });

  it('are expected in any rotation that repeats, whatever its pace and its height', () => {
    fc.assert(
      fc.property(
        fc.record({
          periodMs: fc.integer({ min: 5000, max: 600_000 }),
          peakMs: fc.constant(1500),
          cores: fc.integer({ min: 40, max: 5000 }),
          pools: fc.integer({ min: 2, max: 4 }),
        }),
        (drawn) => {
          const endMs = drawn.periodMs * (drawn.pools + 1) - 1000;
          const peaks = play(createDemandPeaks(), drawn, endMs);
          const next = Array.from(expectPeak(peaks, POOLS.slice(0, drawn.pools), endMs).keys());
          expect(next).toEqual([POOLS[(drawn.pools + 1) % drawn.pools]]);
        },
      ),
      { numRuns: 50 },
    );
  });
});

describe('what a holder has learned', () => {
  it('is what the next one starts from, by the time of day', () => {
    const first = createBatchState(1);
    play(first.peaks, turns, 38_000);
    first.runTimes.byKind.set('q/image', { meanMs: 1234.4, ends: 9 });
    const row = JSON.parse(JSON.stringify(learnedOf(first, 38_000, 1_000_000)));
    const next = createBatchState(2);
    restoreLearned(next, row, 500, 1_000_500);
    expect(expectPeak(next.peaks, POOLS, 500)).toEqual(new Map([['a', 200]]));
    expect(next.runTimes.byKind.get('q/image')).toEqual({ meanMs: 1234, ends: 9 });
  });

  it('is no new peak while the last one goes on', () => {
    const first = createBatchState(1);
    play(first.peaks, turns, 32_000);
    const next = createBatchState(2);
    restoreLearned(next, learnedOf(first, 32_000, 0), 32_000, 0);
    const demand = { cores: 200, leastCores: LEAST_CORES };
    expect(observeDemand(next.peaks, POOLS[3] as PoolName, demand, 32_250)).toBe(false);
  });
});
