/** An endpoint of a simulated holder, with its link and an independent computation of its lease. */
import type { SimulatedEndpoint } from '@valvelatch/core/batch';

/**
 * Computes an endpoint's lease from the orders that it carries out, independently of the endpoint.
 *
 * @param clockRate - How fast the endpoint's clock runs: 0.98 is 2 % slow.
 * @returns The lease, which has not been granted yet.
 */
export const createLeaseMirror = (clockRate: number) => {
  const startedAtMs = performance.now();
  let untilMs = 0;
  let lapsedAtMs = -Infinity;
  const readClockMs = (): number => 1000 + (performance.now() - startedAtMs) * clockRate;
  return {
    /** Applies an order to the lease; to be called just before the order is carried out. */
    apply: (keepUntilMs: number | undefined): void => {
      const clockMs = readClockMs();
      if (clockMs > untilMs) lapsedAtMs = performance.now() - (clockMs - untilMs) / clockRate;
      untilMs = Math.max(untilMs, keepUntilMs ?? 0);
    },
    /** Returns when a lease last ended before the next was granted; -Infinity before the first order. */
    lapsedAtMs: () => lapsedAtMs,
    isOver: (): boolean => readClockMs() > untilMs,
  };
};

/** An endpoint, what its holder knows of it, and the faults of its link. */
export type SimEndpoint = {
  readonly model: SimulatedEndpoint;
  readonly lease: ReturnType<typeof createLeaseMirror>;
  /** The numbers of the run ends that were reported to the holder. */
  readonly reportedEnds: Set<number>;
  /** True once another incarnation at its address answers the orders that are meant for it. */
  isReplaced: boolean;
  /** Before this time no order reaches it, and none of its answers arrives. */
  cutUntilMs: number;
  /** True if orders that are sent during the cut are delivered at its end; they are lost otherwise. */
  deliversAfterCut: boolean;
};
