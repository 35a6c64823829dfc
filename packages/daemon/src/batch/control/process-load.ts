/** Measures how busy this process is: its CPU time, and by how much its timers are late. */

/** The load of the process over one interval. */
export type ProcessLoad = {
  /** CPU time used, in milliseconds. */
  readonly cpuMs: number;
  /** The largest delay of a tick, in milliseconds; grows with the duration of event loop iterations. */
  readonly loopDelayMs: number;
};

export type ProcessLoadMeter = {
  /** Records that a periodic tick has begun. */
  readonly recordTick: () => void;
  /** Returns the load since the previous call. */
  readonly measure: () => ProcessLoad;
};

const MICROS_PER_MS = 1000;

/**
 * Creates a meter.
 *
 * @param tickIntervalMs - The interval at which ticks are due, in milliseconds.
 * @param nowMs - The monotonic clock, in milliseconds.
 * @returns The meter.
 */
export const createProcessLoadMeter = (
  tickIntervalMs: number,
  nowMs: () => number,
): ProcessLoadMeter => {
  let cpu = process.cpuUsage();
  let tickedAtMs: number | undefined;
  let loopDelayMs = 0;
  return {
    recordTick: () => {
      const delayMs = tickedAtMs === undefined ? 0 : nowMs() - tickedAtMs - tickIntervalMs;
      loopDelayMs = Math.max(loopDelayMs, delayMs);
      tickedAtMs = nowMs();
    },
    measure: () => {
      const { user, system } = process.cpuUsage(cpu);
      const load = { cpuMs: (user + system) / MICROS_PER_MS, loopDelayMs };
      cpu = process.cpuUsage();
      loopDelayMs = 0;
      return load;
    },
  };
};
