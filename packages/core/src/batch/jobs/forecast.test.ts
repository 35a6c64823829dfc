/** Forecast completion times of a job for different loads of its pool. */
import { describe, expect, it } from 'vitest';

import { forecastJob, type ForecastInput } from './forecast.js';

const EMPTY: ForecastInput = {
  queuedAheadCoreMs: 0,
  usableCores: 100,
  arrivingCapacity: [],
  overtakingCores: 0,
  jobCoreMs: 8000,
  criticalPathMs: 1600,
};

describe('the forecast of a job', () => {
  it('is the duration of its longest chain in an empty pool', () => {
    expect(forecastJob(EMPTY)).toEqual({ backlogMs: 0, doneMs: 1600 });
  });

  it('is delayed by the work queued before it', () => {
    const forecast = forecastJob({ ...EMPTY, queuedAheadCoreMs: 100_000 });
    expect(forecast).toEqual({ backlogMs: 1000, doneMs: 2600 });
  });

  it('counts arriving capacity only from its arrival on', () => {
    const arrivingCapacity = [{ cores: 100, delayMs: 2000 }];
    expect(forecastJob({ ...EMPTY, queuedAheadCoreMs: 400_000, arrivingCapacity }).backlogMs).toBe(
      3000,
    );
    expect(forecastJob({ ...EMPTY, queuedAheadCoreMs: 100_000, arrivingCapacity }).backlogMs).toBe(
      1000,
    );
  });

  it('is delayed by the work that overtakes it, but stays finite', () => {
    const waiting = { ...EMPTY, queuedAheadCoreMs: 100_000 };
    expect(forecastJob({ ...waiting, overtakingCores: 50 }).backlogMs).toBe(2000);
    expect(forecastJob({ ...waiting, overtakingCores: 500 }).backlogMs).toBeCloseTo(10_000);
  });

  it('is infinite if the pool has no capacity and none arrives', () => {
    expect(forecastJob({ ...EMPTY, usableCores: 0 }).doneMs).toBe(Infinity);
  });
});
