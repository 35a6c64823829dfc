/** How many starts may be under way, by how late answers come. */
import { describe, expect, it } from 'vitest';

import { createOrderWindow } from './order-window.js';

const FIRST = 100;

describe('the window of starts under way', () => {
  /** Sends a window of starts; each answer takes as long as all of them take on a link. */
  const playRound = (
    window: ReturnType<typeof createOrderWindow>,
    perMs: number,
    nowMs: number,
  ) => {
    const sent = window.left();
    for (let one = 0; one < sent; one += 1) window.begin();
    for (let one = 0; one < sent; one += 1)
      window.end((one + 1) / perMs, nowMs + (one + 1) / perMs);
    return nowMs + sent / perMs;
  };

  it('stays as wide as it was while answers come at once', () => {
    const window = createOrderWindow(FIRST);
    playRound(window, 10, 0);
    expect(window.size()).toBeGreaterThanOrEqual(FIRST);
  });

  it('shrinks within a few rounds to what a link carries without a long queue', () => {
    const window = createOrderWindow(FIRST);
    let nowMs = 0;
    // 0.1 a millisecond: a hundred of them take a second.
    for (let round = 0; round < 10; round += 1) nowMs = playRound(window, 0.1, nowMs);
    expect(window.size()).toBeLessThan(40);
    expect(window.size()).toBeGreaterThanOrEqual(16);
  });

  it('opens again once answers come at once', () => {
    const window = createOrderWindow(FIRST);
    let nowMs = 0;
    for (let round = 0; round < 20; round += 1) nowMs = playRound(window, 0.01, nowMs);
    expect(window.size()).toBe(16);
    for (let round = 0; round < 12; round += 1) nowMs = playRound(window, 10, nowMs);
    expect(window.size()).toBeGreaterThan(FIRST);
  });

  it('is not closed by one endpoint that is slow', () => {
    const window = createOrderWindow(FIRST);
    for (let round = 0; round < 50; round += 1) {
      window.begin();
      window.end(round % 3 === 0 ? 900 : 3, round * 1000);
    }
    expect(window.size()).toBe(FIRST);
  });

  it('gives none while as many are under way as it has', () => {
    const window = createOrderWindow(2);
    window.begin();
    window.begin();
    expect(window.left()).toBe(0);
  });
});
