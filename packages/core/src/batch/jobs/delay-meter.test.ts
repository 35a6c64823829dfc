/** How the present delay follows waits that are over and waits that last. */
import { describe, expect, it } from 'vitest';

import { createDelayMeter } from './delay-meter.js';

describe('the delay of a meter', () => {
  it('is 0 while nothing waits', () => {
    const meter = createDelayMeter<string>();
    expect(meter.delayMs(0)).toBe(0);
    meter.begin('a', 0);
    meter.end('a', 900);
    expect(meter.delayMs(1000)).toBe(0);
  });

  it('is at least the age of the oldest wait, so that a queue shows before its first wait is over', () => {
    const meter = createDelayMeter<string>();
    meter.begin('a', 0);
    meter.begin('b', 300);
    expect(meter.delayMs(500)).toBe(500);
    meter.begin('a', 400);
    expect(meter.delayMs(500)).toBe(500);
    meter.end('a', 500);
    expect(meter.delayMs(600)).toBe(300);
  });

  it('is about the mean of the last waits when the oldest one has just begun', () => {
    const meter = createDelayMeter<number>();
    for (let index = 0; index < 40; index += 1) {
      meter.begin(index, index * 10);
      meter.end(index, index * 10 + 700);
    }
    meter.begin(40, 1000);
    expect(meter.delayMs(1000)).toBeGreaterThan(650);
    expect(meter.delayMs(1000)).toBeLessThanOrEqual(700);
  });

  it('does not count a wait that was dropped', () => {
    const meter = createDelayMeter<string>();
    meter.begin('gone', 0);
    meter.begin('b', 300);
    meter.retain((id) => id !== 'gone');
    expect(meter.delayMs(500)).toBe(200);
  });
});
