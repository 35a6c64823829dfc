/** Executors in virtual time: a bounded number of slots and an unbounded queue behind them. */
import type { Rng } from '@valvelatch/core';

import type { VirtualTime } from './virtual-time.js';

/** An executor that finishes whatever it has accepted, also where nobody waits any more. */
export type VirtualExecutor = {
  readonly accept: (onDone: () => void) => void;
  readonly load: () => number;
  /** The most requests that were ever being worked on and queued at one time. */
  readonly mostAtOnce: () => number;
};

export type VirtualExecutorOptions = {
  readonly time: VirtualTime;
  readonly rng: Rng;
  readonly slots: number;
  readonly meanWorkMs: number;
};

/**
 * Builds an executor whose work times are exponentially distributed.
 *
 * @param options - The clock, the random numbers, its slots and mean time of work.
 * @returns The executor.
 */
export const createVirtualExecutor = ({
  time,
  rng,
  slots,
  meanWorkMs,
}: VirtualExecutorOptions): VirtualExecutor => {
  const queue: (() => void)[] = [];
  let busy = 0;
  let most = 0;

  const start = (onDone: () => void): void => {
    busy += 1;
    const workMs = -Math.log(1 - rng()) * meanWorkMs;
    time.at(time.nowMs() + workMs, () => {
      busy -= 1;
      onDone();
      const next = queue.shift();
      if (next) start(next);
    });
  };

  return {
    accept: (onDone) => {
      if (busy < slots) start(onDone);
      else queue.push(onDone);
      most = Math.max(most, busy + queue.length);
    },
    load: () => busy + queue.length,
    mostAtOnce: () => most,
  };
};
