/** Timeouts that follow the response times of one endpoint and of all endpoints. */
import { describe, expect, it } from 'vitest';

import { createAnswerTimes, createLinkDelay } from './answer-times.js';

describe('adaptive timeouts', () => {
  it('the timeout is 0.9 s before the first response and 250 ms after fast responses', () => {
    const times = createAnswerTimes();
    expect(times.timeoutMs()).toBe(900);
    for (let one = 0; one < 30; one += 1) times.note(3);
    expect(times.timeoutMs()).toBe(250);
  });

  it('the timeout of an endpoint doubles with each missed response, up to 0.9 s, until it responds', () => {
    const link = createLinkDelay();
    const times = createAnswerTimes(link);
    const others = Array.from({ length: 3 }, () => createAnswerTimes(link));
    others.forEach((other) => other.note(200));
    for (let one = 0; one < 30; one += 1) times.note(3);
    for (let one = 0; one < 30; one += 1) times.note(200);
    const seen = [1, 2, 3].map(() => {
      times.noteMiss(250);
      return Math.round(times.timeoutMs());
    });
    expect(seen[0]).toBeGreaterThan(400);
    expect(seen[1]).toBeGreaterThan(800);
    expect(seen[2]).toBe(900);
    times.note(200);
    expect(times.timeoutMs()).toBeLessThan(250 * 2);
  });

  it('the timeout increases for all endpoints when many endpoints miss responses', () => {
    const link = createLinkDelay();
    const responsive = createAnswerTimes(link);
    for (let one = 0; one < 30; one += 1) responsive.note(3);
    const others = Array.from({ length: 10 }, () => createAnswerTimes(link));
    others.forEach((times) => times.noteMiss(250));
    expect(responsive.timeoutMs()).toBeGreaterThan(500);
    expect(responsive.timeoutMs()).toBeLessThanOrEqual(2500);
  });

  it('the timeout stays short for all endpoints that respond while one rack is silent', () => {
    const link = createLinkDelay();
    const fleet = Array.from({ length: 100 }, () => createAnswerTimes(link));
    for (let round = 0; round < 20; round += 1) {
      fleet.forEach((times, index) => {
        if (index < 12 && round % 4 === 0) times.noteMiss(250);
        else if (index >= 12) times.note(3);
      });
    }
    expect(fleet[50]?.timeoutMs()).toBe(250);
  });

  it('the timeout stays short for all other endpoints while a data centre is disconnected', () => {
    // If consecutive misses were counted instead of endpoints, 63 of 380 endpoints would raise the timeout of
    // all others to up to 2.5 s.
    const link = createLinkDelay();
    const fleet = Array.from({ length: 380 }, () => createAnswerTimes(link));
    fleet.forEach((times) => times.note(3));
    for (let round = 0; round < 5; round += 1) {
      fleet.slice(0, 110).forEach((times) => times.noteMiss(900));
      expect(link.isAtFault()).toBe(false);
      expect(fleet[300]?.timeoutMs()).toBe(250);
      fleet.slice(110).forEach((times) => times.note(3));
    }
  });

  it('a local fault is no longer assumed once gone endpoints are not called any more', () => {
    const link = createLinkDelay();
    const fleet = Array.from({ length: 10 }, () => createAnswerTimes(link));
    fleet.slice(0, 5).forEach((times) => times.noteMiss(900));
    fleet.slice(5).forEach((times) => times.note(3));
    expect(link.isAtFault()).toBe(true);
    fleet.slice(0, 5).forEach((times) => times.close());
    expect(link.isAtFault()).toBe(false);
  });
});
