import { describe, expect, it } from 'vitest';

import { createProcessLoadMeter } from './process-load.js';

describe('the process load', () => {
  it('has the largest delay of a tick since the previous measurement', () => {
    let atMs = 0;
    const meter = createProcessLoadMeter(100, () => atMs);
    [0, 100, 350, 450].forEach((tickMs) => {
      atMs = tickMs;
      meter.recordTick();
    });
    expect(meter.measure().loopDelayMs).toBe(150);
    expect(meter.measure().loopDelayMs).toBe(0);
  });

  it('has the CPU time that the process used since the previous measurement', () => {
    const meter = createProcessLoadMeter(100, () => 0);
    const untilMs = performance.now() + 20;
    while (performance.now() < untilMs) Math.sqrt(untilMs);
    expect(meter.measure().cpuMs).toBeGreaterThan(0);
  });
});
