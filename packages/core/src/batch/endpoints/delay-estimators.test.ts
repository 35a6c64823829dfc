/** Timeouts that follow the response times of one endpoint and of all endpoints. */
import { describe, expect, it } from 'vitest';

import { createEndpointDelayEstimator, createSharedDelayEstimator } from './delay-estimators.js';

describe('adaptive timeouts', () => {
  it('the timeout is 0.9 s before the first response and 250 ms after fast responses', () => {
    const times = createEndpointDelayEstimator();
    expect(times.timeoutMs()).toBe(900);
    for (let one = 0; one < 30; one += 1) times.recordResponse(3);
    expect(times.timeoutMs()).toBe(250);
  });

  it('the timeout of an endpoint doubles with each missed response, up to 0.9 s, until it responds', () => {
    const link = createSharedDelayEstimator();
    const times = createEndpointDelayEstimator(link);
    const others = Array.from({ length: 3 }, () => createEndpointDelayEstimator(link));
    others.forEach((other) => other.recordResponse(200));
    for (let one = 0; one < 30; one += 1) times.recordResponse(3);
    for (let one = 0; one < 30; one += 1) times.recordResponse(200);
    const seen = [1, 2, 3].map(() => {
      times.recordMiss(250);
      return Math.round(times.timeoutMs());
    });
    expect(seen[0]).toBeGreaterThan(400);
    expect(seen[1]).toBeGreaterThan(800);
    expect(seen[2]).toBe(900);
    times.recordResponse(200);
    expect(times.timeoutMs()).toBeLessThan(250 * 2);
  });

  it('the timeout increases for all endpoints when many endpoints miss responses', () => {
    const link = createSharedDelayEstimator();
    const responsive = createEndpointDelayEstimator(link);
    for (let one = 0; one < 30; one += 1) responsive.recordResponse(3);
    const others = Array.from({ length: 10 }, () => createEndpointDelayEstimator(link));
    others.forEach((times) => times.recordMiss(250));
    expect(responsive.timeoutMs()).toBeGreaterThan(500);
    expect(responsive.timeoutMs()).toBeLessThanOrEqual(2500);
  });

  it('the timeout stays short for all endpoints that respond while one rack is silent', () => {
    const link = createSharedDelayEstimator();
    const fleet = Array.from({ length: 100 }, () => createEndpointDelayEstimator(link));
    for (let round = 0; round < 20; round += 1) {
      fleet.forEach((times, index) => {
        if (index < 12 && round % 4 === 0) times.recordMiss(250);
        else if (index >= 12) times.recordResponse(3);
      });
    }
    expect(fleet[50]?.timeoutMs()).toBe(250);
  });

  it('the timeout stays short for all other endpoints while a data centre is disconnected', () => {
    // If consecutive misses were counted instead of endpoints, 63 of 380 endpoints would raise the timeout of
    // all others to up to 2.5 s.
    const link = createSharedDelayEstimator();
    const fleet = Array.from({ length: 380 }, () => createEndpointDelayEstimator(link));
    fleet.forEach((times) => times.recordResponse(3));
    for (let round = 0; round < 5; round += 1) {
      fleet.slice(0, 110).forEach((times) => times.recordMiss(900));
      expect(link.isLocalFault()).toBe(false);
      expect(fleet[300]?.timeoutMs()).toBe(250);
      fleet.slice(110).forEach((times) => times.recordResponse(3));
    }
  });

  it('a local fault is no longer assumed once gone endpoints are not called any more', () => {
    const link = createSharedDelayEstimator();
    const fleet = Array.from({ length: 10 }, () => createEndpointDelayEstimator(link));
    fleet.slice(0, 5).forEach((times) => times.recordMiss(900));
    fleet.slice(5).forEach((times) => times.recordResponse(3));
    expect(link.isLocalFault()).toBe(true);
    fleet.slice(0, 5).forEach((times) => times.close());
    expect(link.isLocalFault()).toBe(false);
  });
});
