/** How long answers are waited for: by the endpoint that answers, and by what delays all answers. */
import { describe, expect, it } from 'vitest';

import { createAnswerTimes, createLinkDelay } from './answer-times.js';

describe('the time-out of an order', () => {
  it('is 0.9 s before the first answer, and a quarter of a second where answers come at once', () => {
    const times = createAnswerTimes();
    expect(times.timeoutMs()).toBe(900);
    for (let one = 0; one < 30; one += 1) times.note(3);
    expect(times.timeoutMs()).toBe(250);
  });

  it('doubles with each miss of an endpoint that is gone, up to 0.9 s, until it answers', () => {
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

  it('grows for all endpoints once answers of many are late', () => {
    const link = createLinkDelay();
    const well = createAnswerTimes(link);
    for (let one = 0; one < 30; one += 1) well.note(3);
    const others = Array.from({ length: 10 }, () => createAnswerTimes(link));
    others.forEach((times) => times.noteMiss(250));
    expect(well.timeoutMs()).toBeGreaterThan(500);
    expect(well.timeoutMs()).toBeLessThanOrEqual(2500);
  });

  it('stays short for all while one rack of a fleet is silent', () => {
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

  it('stays short for all when a data centre is cut off and its endpoints miss in a row', () => {
    // Counted by misses in a row, 63 of 380 endpoints made all others wait for up to 2.5 s.
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

  it('is short again once endpoints that are gone are not called any more', () => {
    const link = createLinkDelay();
    const fleet = Array.from({ length: 10 }, () => createAnswerTimes(link));
    fleet.slice(0, 5).forEach((times) => times.noteMiss(900));
    fleet.slice(5).forEach((times) => times.note(3));
    expect(link.isAtFault()).toBe(true);
    fleet.slice(0, 5).forEach((times) => times.close());
    expect(link.isAtFault()).toBe(false);
  });
});
