/** How the limit on start orders in flight follows the response delay. */
import { describe, expect, it } from 'vitest';

import { createOrderWindow } from './order-window.js';

const INITIAL_SIZE = 100;

describe('the window of start orders in flight', () => {
  /** Sends a full window of start orders over a link that carries `responsesPerMs`, so that they queue up. */
  const simulateRound = (
    window: ReturnType<typeof createOrderWindow>,
    responsesPerMs: number,
    nowMs: number,
  ) => {
    const sent = window.available();
    for (let one = 0; one < sent; one += 1) window.begin();
    for (let one = 0; one < sent; one += 1)
      window.end((one + 1) / responsesPerMs, nowMs + (one + 1) / responsesPerMs);
    return nowMs + sent / responsesPerMs;
  };

  it('does not shrink while responses are fast', () => {
    const window = createOrderWindow(INITIAL_SIZE);
    simulateRound(window, 10, 0);
    expect(window.size()).toBeGreaterThanOrEqual(INITIAL_SIZE);
  });

  it('shrinks within a few rounds to what a slow link carries without a long queue', () => {
    const window = createOrderWindow(INITIAL_SIZE);
    let nowMs = 0;
    // At 0.1 responses per millisecond, a hundred orders take one second.
    for (let round = 0; round < 10; round += 1) nowMs = simulateRound(window, 0.1, nowMs);
    expect(window.size()).toBeLessThan(40);
    expect(window.size()).toBeGreaterThanOrEqual(16);
  });

  it('grows again once responses are fast', () => {
    const window = createOrderWindow(INITIAL_SIZE);
    let nowMs = 0;
    for (let round = 0; round < 20; round += 1) nowMs = simulateRound(window, 0.01, nowMs);
    expect(window.size()).toBe(16);
    for (let round = 0; round < 12; round += 1) nowMs = simulateRound(window, 10, nowMs);
    expect(window.size()).toBeGreaterThan(INITIAL_SIZE);
  });

  it('does not shrink because of a single slow endpoint', () => {
    const window = createOrderWindow(INITIAL_SIZE);
    for (let round = 0; round < 50; round += 1) {
      window.begin();
      window.end(round % 3 === 0 ? 900 : 3, round * 1000);
    }
    expect(window.size()).toBe(INITIAL_SIZE);
  });

  it('allows no more orders while it is full', () => {
    const window = createOrderWindow(2);
    window.begin();
    window.begin();
    expect(window.available()).toBe(0);
  });

  it('tells how many orders a second get a response, once they queue up', () => {
    const window = createOrderWindow(INITIAL_SIZE);
    expect(window.startsPerS(0)).toBe(Infinity);
    let nowMs = 0;
    for (let round = 0; round < 20; round += 1) nowMs = simulateRound(window, 0.1, nowMs);
    window.begin();
    expect(window.startsPerS(nowMs)).toBeGreaterThan(70);
    expect(window.startsPerS(nowMs)).toBeLessThan(130);
    expect(window.delayMs(nowMs)).toBeGreaterThan(100);
    window.cancel();
    expect(window.startsPerS(nowMs)).toBe(Infinity);
    expect(window.delayMs(nowMs)).toBe(0);
  });

  describe('a pause after a burst that was answered late', () => {
    const burstAndPause = () => {
      const window = createOrderWindow();
      let nowMs = 0;
      for (let round = 0; round < 20; round += 1) nowMs = simulateRound(window, 0.1, nowMs);
      return { window, nowMs: nowMs + 60_000 };
    };

    it('leaves no delay and no limit for the first orders after it', () => {
      const { window, nowMs } = burstAndPause();
      window.begin();
      expect(window.delayMs(nowMs)).toBeLessThan(1);
      expect(window.startsPerS(nowMs)).toBe(Infinity);
    });

    it('leaves no delay once the first order after it is answered fast', () => {
      const { window, nowMs } = burstAndPause();
      window.begin();
      window.begin();
      window.end(3, nowMs);
      expect(window.delayMs(nowMs)).toBeCloseTo(3);
      expect(window.startsPerS(nowMs)).toBe(Infinity);
    });
  });

  describe('responses that are slow without a queue', () => {
    /** Thirty orders a second that each take `tookMs`, beside 255 free places. */
    const respondSlowly = (window: ReturnType<typeof createOrderWindow>, tookMs: number) => {
      let nowMs = 0;
      for (let order = 0; order < 300; order += 1) {
        nowMs += 1000 / 30;
        window.begin();
        window.end(tookMs, nowMs);
      }
      window.begin();
      return nowMs;
    };

    it('does not take the rate of what arrives for the most that can be started', () => {
      const window = createOrderWindow();
      expect(window.startsPerS(respondSlowly(window, 70))).toBe(Infinity);
    });

    it('does not take the delay of some slow endpoints for a queue that delays all orders', () => {
      const window = createOrderWindow();
      let nowMs = 0;
      for (let order = 0; order < 300; order += 1) {
        nowMs += 10;
        window.begin();
        window.end(order % 3 === 0 ? 3 : 200, nowMs);
      }
      window.begin();
      expect(window.delayMs(nowMs)).toBeGreaterThan(100);
      expect(window.startsPerS(nowMs)).toBe(Infinity);
    });

    it('still tells the rate once even the shortest response is delayed beside free places', () => {
      const window = createOrderWindow();
      let nowMs = respondSlowly(window, 5);
      for (let order = 0; order < 100; order += 1) {
        nowMs += 10;
        window.begin();
        window.end(150 + (order % 20), nowMs);
      }
      expect(window.available()).toBeGreaterThan(200);
      expect(window.startsPerS(nowMs)).toBeGreaterThan(70);
      expect(window.startsPerS(nowMs)).toBeLessThan(130);
    });
  });
});
