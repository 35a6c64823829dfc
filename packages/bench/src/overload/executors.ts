/** Executors in virtual time, each with a bounded number of slots and an unbounded queue. */
import type { Rng } from '@valvelatch/core';

import type { VirtualTime } from './virtual-time.js';

/**
 * An executor that completes every accepted request, even after the caller's deadline has passed.
 */
export type VirtualExecutor = {
  readonly accept: (onDone: () => void) => void;
  /** The number of requests that are running or queued. */
  readonly load: () => number;
  /** The highest number of requests that were running or queued at the same time. */
  readonly maxLoad: () => number;
};

export type VirtualExecutorOptions = {
  readonly time: VirtualTime;
  readonly rng: Rng;
  readonly slots: number;
  readonly meanWorkMs: number;
};

/**
 * Builds an executor with exponentially distributed service times.
 *
 * @param options - The clock, the random number generator, the slots and the mean service time.
 * @returns The executor.
 */
export const createVirtualExecutor = ({
  time,
  rng,
  slots,
  meanWorkMs,
}: VirtualExecutorOptions): VirtualExecutor => {
  const queue: (() => void)[] = [];
  let busySlots = 0;
  let maxLoad = 0;

  const start = (onDone: () => void): void => {
    busySlots += 1;
    const workMs = -Math.log(1 - rng()) * meanWorkMs;
    time.schedule(time.nowMs() + workMs, () => {
      busySlots -= 1;
      onDone();
      const next = queue.shift();
      if (next) start(next);
    });
  };

  return {
    accept: (onDone) => {
      if (busySlots < slots) start(onDone);
      else queue.push(onDone);
      maxLoad = Math.max(maxLoad, busySlots + queue.length);
    },
    load: () => busySlots + queue.length,
    maxLoad: () => maxLoad,
  };
};
