/** Forecast completion times of a job for different loads of its pool. */
import { describe, expect, it } from 'vitest';

import { createOrderWindow } from '../endpoints/order-window.js';
import { forecastJob, type ForecastInput } from './forecast.js';

const EMPTY: ForecastInput = {
  queuedAheadCoreMs: 0,
  usableCores: 100,
  arrivingCapacity: [],
  overtakingCores: 0,
  queuedAheadTasks: 0,
  startsPerS: Infinity,
  jobCoreMs: 8000,
  jobTasks: 10,
  criticalPathMs: 1600,
};

describe('the forecast of a job', () => {
  it('is the duration of its longest chain in an empty pool', () => {
    expect(forecastJob(EMPTY)).toEqual({ backlogMs: 0, doneMs: 1600, bottleneck: 'hosts' });
  });

  it('is delayed by the work queued before it', () => {
    const forecast = forecastJob({ ...EMPTY, queuedAheadCoreMs: 100_000 });
    expect(forecast).toEqual({ backlogMs: 1000, doneMs: 2600, bottleneck: 'hosts' });
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

  it('is delayed by the tasks that the holder starts before it, even if hosts have room for all of them', () => {
    const forecast = forecastJob({ ...EMPTY, queuedAheadTasks: 600, startsPerS: 200 });
    expect(forecast).toEqual({ backlogMs: 3000, doneMs: 4600, bottleneck: 'control' });
  });

  it('is delayed by whichever takes longer: the cores of the hosts or the starts of the holder', () => {
    const input = { ...EMPTY, queuedAheadCoreMs: 400_000, queuedAheadTasks: 600 };
    expect(forecastJob({ ...input, startsPerS: 300 })).toMatchObject({
      backlogMs: 4000,
      bottleneck: 'hosts',
    });
    expect(forecastJob({ ...input, startsPerS: 100 })).toMatchObject({
      backlogMs: 6000,
      bottleneck: 'control',
    });
  });

  it('is delayed by the starts of tasks that overtake it, but stays finite', () => {
    const waiting = { ...EMPTY, queuedAheadCoreMs: 72_000, queuedAheadTasks: 90, startsPerS: 100 };
    // A task takes 800 core-milliseconds, so 40 cores are kept busy by 50 starts a second.
    expect(forecastJob({ ...waiting, overtakingCores: 40 }).backlogMs).toBeCloseTo(1800);
    expect(forecastJob({ ...waiting, overtakingCores: 4000 }).backlogMs).toBeCloseTo(9000);
  });

  it('is not delayed by the delay of a burst whose last response came a minute ago', () => {
    const window = createOrderWindow();
    for (let order = 0; order < 400; order += 1) {
      window.begin();
      window.end(400, 5 * order);
    }
    for (let order = 0; order < 16; order += 1) window.begin();
    const startsPerS = window.startsPerS(62_000);
    expect(forecastJob({ ...EMPTY, queuedAheadTasks: window.inFlight(), startsPerS })).toEqual({
      backlogMs: 0,
      doneMs: 1600,
      bottleneck: 'hosts',
    });
  });

  it('is infinite if the pool has no capacity and none arrives', () => {
    expect(forecastJob({ ...EMPTY, usableCores: 0 }).doneMs).toBe(Infinity);
  });
});
