/**
 * Measures how long things wait at present, such as rows to be written. The mean of those that are over is known late
 * while a queue builds up, so the oldest one that still waits counts as well.
 */

/** The weight of a new duration in the moving average. */
const SAMPLE_WEIGHT = 0.1;

export type DelayMeter<Id> = {
  readonly begin: (id: Id, nowMs: number) => void;
  /** Ends a wait; one that has not begun is ignored. */
  readonly end: (id: Id, nowMs: number) => void;
  /** Drops the waits that do not pass, without counting them. */
  readonly retain: (isWaiting: (id: Id) => boolean) => void;
  /** The present delay in milliseconds; 0 while nothing waits. */
  readonly delayMs: (nowMs: number) => number;
};

/**
 * Creates a meter at which nothing waits.
 *
 * @returns The meter.
 */
export const createDelayMeter = <Id>(): DelayMeter<Id> => {
  const beganAtMs = new Map<Id, number>();
  let meanMs = 0;
  return {
    begin: (id, nowMs) => {
      if (!beganAtMs.has(id)) beganAtMs.set(id, nowMs);
    },
    end: (id, nowMs) => {
      const sinceMs = beganAtMs.get(id);
      if (sinceMs === undefined) return;
      beganAtMs.delete(id);
      meanMs += SAMPLE_WEIGHT * (nowMs - sinceMs - meanMs);
    },
    retain: (isWaiting) =>
      Array.from(beganAtMs.keys())
        .filter((id) => !isWaiting(id))
        .forEach((id) => beganAtMs.delete(id)),
    delayMs: (nowMs) => {
      const [oldestAtMs] = beganAtMs.values();
      return oldestAtMs === undefined ? 0 : Math.max(meanMs, nowMs - oldestAtMs);
    },
  };
};
