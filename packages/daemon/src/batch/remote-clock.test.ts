/** Guards against an estimate that runs ahead of the other process's clock, and against one that a late reading sets back. */
import { describe, expect, it } from 'vitest';

import { createRemoteClock } from './remote-clock.js';

describe('the estimate of the clock of another process', () => {
  it('is undefined before the first reading', () => {
    expect(createRemoteClock(() => 0).estimateTimeAfter(100)).toBeUndefined();
  });

  it('does not run ahead of a clock that is 2 % slow', () => {
    let nowMs = 0;
    const clock = createRemoteClock(() => nowMs);
    clock.recordReading({ clockMs: 5000 });
    nowMs = 10_000;
    expect(clock.estimateTimeAfter(0)).toBeLessThanOrEqual(5000 + 9800);
  });

  it('keeps an earlier reading if a later one took longer to arrive', () => {
    let nowMs = 0;
    const clock = createRemoteClock(() => nowMs);
    clock.recordReading({ clockMs: 5000 });
    nowMs = 1000;
    clock.recordReading({ clockMs: 5700 });
    expect(clock.estimateTimeAfter(0)).toBe(5980);
  });
});
