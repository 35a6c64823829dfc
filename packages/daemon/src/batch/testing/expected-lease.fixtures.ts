/**
 * The lease of an endpoint, computed from the orders that it carries out, independently of the endpoint and of its holder.
 * Whenever the lease changes, it is checked that it does not end after the holder's estimate.
 */

/** What the endpoint's clock shows when the endpoint starts. */
const CLOCK_START_MS = 1000;

export type ExpectedLeaseOptions = {
  /** How fast the endpoint's clock runs: 0.98 is 2 % slow. */
  readonly clockRate: number;
  /** The fence of the holder whose estimate is checked; orders with a higher one come from its successor. */
  readonly ownFence: number;
  /** Returns when the lease ends by the holder's estimate; undefined while the holder does not know the endpoint. */
  readonly estimatedEndsAtMs: () => number | undefined;
  readonly recordViolation: (text: string) => void;
};

/**
 * Creates the lease of an endpoint that starts now.
 *
 * @param options - The endpoint's clock and the holder's estimate.
 * @returns The lease, which has not been granted yet.
 */
export const createExpectedLease = ({
  clockRate,
  ownFence,
  estimatedEndsAtMs,
  recordViolation,
}: ExpectedLeaseOptions) => {
  const nowMs = (): number => performance.now();
  const startedAtMs = nowMs();
  /** The ends of leases that had ended before the next one was granted. */
  const pastEndsAtMs: number[] = [];
  let highestFence = 0;
  /** The end of the endpoint's lease, on the endpoint's clock; 0 before the first lease. */
  let leaseUntilMs = 0;
  /** The end of the last lease that was granted by this holder and not by its successor, on the endpoint's clock. */
  let ownLeaseUntilMs = 0;
  /** The value of ownLeaseUntilMs for which checkEstimate has already reported a violation. */
  let reportedUntilMs = 0;

  /** Reads the endpoint's clock. */
  const readClockMs = (): number => CLOCK_START_MS + (nowMs() - startedAtMs) * clockRate;

  /** Converts a time on the endpoint's clock to the virtual clock. */
  const toVirtualTime = (keepUntilMs: number): number =>
    startedAtMs + (keepUntilMs - CLOCK_START_MS) / clockRate;

  /** Returns when the lease ends, on the virtual clock; 0 before the first lease. */
  const endsAtMs = (): number => (leaseUntilMs === 0 ? 0 : toVirtualTime(leaseUntilMs));

  /** Computes the lease as the endpoint does; called just before the endpoint carries the order out. */
  const record = (fence: number, keepUntilMs: number | undefined, isStart: boolean): void => {
    if (fence < highestFence) return;
    highestFence = fence;
    const clockMs = readClockMs();
    if (keepUntilMs === undefined || keepUntilMs <= leaseUntilMs) return;
    if (isStart && keepUntilMs <= clockMs) return;
    if (leaseUntilMs !== 0 && endsAtMs() <= nowMs()) pastEndsAtMs.push(endsAtMs());
    leaseUntilMs = keepUntilMs;
    if (fence === ownFence) ownLeaseUntilMs = keepUntilMs;
    checkEstimate();
  };

  /**
   * Checks that no lease which this holder granted ends after the end that the holder estimates. A violation is
   * reported once for each granted lease.
   */
  const checkEstimate = (): void => {
    const estimateMs = estimatedEndsAtMs();
    if (estimateMs === undefined) return;
    if (ownLeaseUntilMs === 0 || ownLeaseUntilMs === reportedUntilMs) return;
    const beyondMs = toVirtualTime(ownLeaseUntilMs) - estimateMs;
    if (beyondMs <= 0) return;
    reportedUntilMs = ownLeaseUntilMs;
    recordViolation(`a granted lease ends ${Math.round(beyondMs)} ms after the holder's estimate`);
  };

  /** Tells whether a lease has ended since a time on the virtual clock. */
  const hasEndedSince = (sinceMs: number): boolean =>
    [...pastEndsAtMs, endsAtMs()].some((one) => one >= sinceMs && one <= nowMs());

  return { readClockMs, endsAtMs, record, checkEstimate, hasEndedSince };
};
