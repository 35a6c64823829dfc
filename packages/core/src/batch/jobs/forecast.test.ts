/** Forecast completion times of a job for different loads of its pool. */
import { describe, expect, it } from 'vitest';

import { forecastJob, type JobOutlook } from './forecast.js';

const EMPTY: JobOutlook = {
  waitingCoreMs: 0,
  roomCores: 100,
  coming: [],
  overtakenByCores: 0,
  ownCoreMs: 8000,
  chainMs: 1600,
};

describe('the forecast of a job', () => {
  it('is the duration of its longest chain in an empty pool', () => {
    expect(forecastJob(EMPTY)).toEqual({ backlogMs: 0, doneMs: 1600 });
  });

  it('is delayed by the work queued before it', () => {
    const forecast = forecastJob({ ...EMPTY, waitingCoreMs: 100_000 });
    expect(forecast).toEqual({ backlogMs: 1000, doneMs: 2600 });
  });

  it('counts arriving capacity only from its arrival on', () => {
    const coming = [{ cores: 100, inMs: 2000 }];
    expect(forecastJob({ ...EMPTY, waitingCoreMs: 400_000, coming }).backlogMs).toBe(3000);
    expect(forecastJob({ ...EMPTY, waitingCoreMs: 100_000, coming }).backlogMs).toBe(1000);
  });

  it('is delayed by the work that overtakes it, but stays finite', () => {
    const waiting = { ...EMPTY, waitingCoreMs: 100_000 };
    expect(forecastJob({ ...waiting, overtakenByCores: 50 }).backlogMs).toBe(2000);
    expect(forecastJob({ ...waiting, overtakenByCores: 500 }).backlogMs).toBeCloseTo(10_000);
  });

  it('is infinite if the pool has no capacity and none arrives', () => {
    expect(forecastJob({ ...EMPTY, roomCores: 0 }).doneMs).toBe(Infinity);
  });
});
