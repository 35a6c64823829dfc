/** Predicting demand peaks that rotate over the pools, and passing the peak history to the next holder. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { brand, type PoolName } from '../../shared/ids.js';
import {
  createDemandPeakHistory,
  predictPeakCores,
  observeDemand,
  type DemandPeakHistory,
} from './demand-peaks.js';
import { toDemandHistoryRow, restoreDemandHistoryRow } from './demand-history.js';
import { createBatchState } from '../model/state.js';

const POOLS = ['a', 'b', 'c', 'd'].map((name) => brand<PoolName>(name));
const MIN_PEAK_CORES = 30;
const SAMPLE_INTERVAL_MS = 250;

type DemandRotation = {
  readonly periodMs: number;
  readonly peakMs: number;
  readonly cores: number;
  /** How many pools peak one after the other; the demand of the others stays low. */
  readonly pools: number;
};

/** Feeds the rotation's demand to a peak history, from time 0 up to a time. */
const simulateDemand = (
  peaks: DemandPeakHistory,
  { periodMs, peakMs, cores, pools }: DemandRotation,
  untilMs: number,
) => {
  for (let nowMs = 0; nowMs < untilMs; nowMs += SAMPLE_INTERVAL_MS) {
    const turn = Math.floor(nowMs / periodMs) % pools;
    const isHigh = nowMs % periodMs < peakMs;
    POOLS.forEach((pool, index) => {
      const demand = { cores: isHigh && index === turn ? cores : 2, minPeakCores: MIN_PEAK_CORES };
      observeDemand(peaks, pool, demand, nowMs);
    });
  }
  return peaks;
};

const rotation: DemandRotation = { periodMs: 10_000, peakMs: 7000, cores: 200, pools: 4 };

describe('expectPeak', () => {
  it('predicts the next peak at its time, in the pool that is next, at its previous height', () => {
    // Without a prediction, a pool got its first additional hosts 2 to 3 s after a peak began, and three in five of
    // the jobs submitted in the first 2 s were late.
    const peaks = simulateDemand(createDemandPeakHistory(), rotation, 38_000);
    expect(predictPeakCores(peaks, POOLS, 38_000)).toEqual(new Map([['a', 200]]));
    expect(predictPeakCores(peaks, POOLS, 34_000)).toEqual(new Map());
  });

  it('splits the predicted cores between the pools that have not peaked yet', () => {
    const peaks = simulateDemand(createDemandPeakHistory(), rotation, 18_000);
    expect(predictPeakCores(peaks, POOLS, 18_000)).toEqual(
      new Map([
        ['c', 100],
        ['d', 100],
      ]),
    );
  });

  it('predicts nothing once an expected peak has failed to begin', () => {
    const peaks = simulateDemand(createDemandPeakHistory(), rotation, 38_000);
    expect(predictPeakCores(peaks, POOLS, 43_000)).toEqual(new Map());
  });

  it('does not count a single large job as a peak', () => {
    const peaks = simulateDemand(createDemandPeakHistory(), rotation, 18_000);
    const demand = { cores: 70, minPeakCores: MIN_PEAK_CORES };
    expect(observeDemand(peaks, POOLS[3] as PoolName, demand, 18_000)).toBe(false);
  });

  it('predicts nothing while the intervals between peaks are irregular', () => {
    const peaks = createDemandPeakHistory();
    [0, 5000, 30_000].forEach((atMs, index) => {
      const demand = { cores: 200, minPeakCores: MIN_PEAK_CORES };
      observeDemand(peaks, POOLS[index] as PoolName, demand, atMs);
    });
    for (let nowMs = 30_000; nowMs < 70_000; nowMs += SAMPLE_INTERVAL_MS) {
      expect(predictPeakCores(peaks, POOLS, nowMs).size).toBe(0);
    }
  });

  it('predicts the next pool of any repeating rotation, whatever its period and peak height', () => {
    fc.assert(
      fc.property(
        fc.record({
          periodMs: fc.integer({ min: 5000, max: 600_000 }),
          peakMs: fc.constant(1500),
          cores: fc.integer({ min: 40, max: 5000 }),
          pools: fc.integer({ min: 2, max: 4 }),
        }),
        (randomRotation) => {
          const endMs = randomRotation.periodMs * (randomRotation.pools + 1) - 1000;
          const peaks = simulateDemand(createDemandPeakHistory(), randomRotation, endMs);
          const next = Array.from(
            predictPeakCores(peaks, POOLS.slice(0, randomRotation.pools), endMs).keys(),
          );
          expect(next).toEqual([POOLS[(randomRotation.pools + 1) % randomRotation.pools]]);
        },
      ),
      { numRuns: 50 },
    );
  });
});

describe('restoreDemandHistoryRow', () => {
  it('lets the next holder start from the saved peaks and run times, converted by the wall clock', () => {
    const first = createBatchState(1);
    simulateDemand(first.peaks, rotation, 38_000);
    first.runTimes.byKind.set('q/image', { meanMs: 1234.4, completions: 9 });
    const row = JSON.parse(JSON.stringify(toDemandHistoryRow(first, 38_000, 1_000_000)));
    const next = createBatchState(2);
    restoreDemandHistoryRow(next, row, 500, 1_000_500);
    expect(predictPeakCores(next.peaks, POOLS, 500)).toEqual(new Map([['a', 200]]));
    expect(next.runTimes.byKind.get('q/image')).toEqual({ meanMs: 1234, completions: 9 });
  });

  it('does not report a new peak while the restored one continues', () => {
    const first = createBatchState(1);
    simulateDemand(first.peaks, rotation, 32_000);
    const next = createBatchState(2);
    restoreDemandHistoryRow(next, toDemandHistoryRow(first, 32_000, 0), 32_000, 0);
    const demand = { cores: 200, minPeakCores: MIN_PEAK_CORES };
    expect(observeDemand(next.peaks, POOLS[3] as PoolName, demand, 32_250)).toBe(false);
  });
});
