/** When a job would be done by what it meets in its pool. */
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
  it('is its chain in an empty pool', () => {
    expect(forecastJob(EMPTY)).toEqual({ backlogMs: 0, doneMs: 1600 });
  });

  it('is later by what waits before it', () => {
    const forecast = forecastJob({ ...EMPTY, waitingCoreMs: 100_000 });
    expect(forecast).toEqual({ backlogMs: 1000, doneMs: 2600 });
  });

  it('counts room from when it comes', () => {
    const coming = [{ cores: 100, inMs: 2000 }];
    expect(forecastJob({ ...EMPTY, waitingCoreMs: 400_000, coming }).backlogMs).toBe(3000);
    expect(forecastJob({ ...EMPTY, waitingCoreMs: 100_000, coming }).backlogMs).toBe(1000);
  });

  it('is later by what overtakes it, and never infinite for that', () => {
    const waiting = { ...EMPTY, waitingCoreMs: 100_000 };
    expect(forecastJob({ ...waiting, overtakenByCores: 50 }).backlogMs).toBe(2000);
    expect(forecastJob({ ...waiting, overtakenByCores: 500 }).backlogMs).toBeCloseTo(10_000);
  });

  it('is never where there is no room and none comes', () => {
    expect(forecastJob({ ...EMPTY, roomCores: 0 }).doneMs).toBe(Infinity);
  });
});
