/** Decides whether the holder's orders to endpoints are sent by other entries. */

/** What the holder's orders to endpoints have cost so far, and the capacity that the holder has for them. */
export type OrderTraffic = {
  /** Orders sent, directly and through relays. */
  readonly orders: number;
  /** Bytes that the direct orders and their answers have put on the holder's link. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Capacity of the link in each direction. */
  readonly bytesPerS: number;
  readonly cores: number;
};

/** Processor time of a direct order and its answer. */
const ORDER_CPU_MS = 0.5;
/**
 * Orders are relayed once sending them directly takes more than this share of the holder's processor. Peaks of demand
 * are three to five times the mean, and the rest is kept for them and for the decisions themselves.
 */
const CPU_THRESHOLD_SHARE = 0.15;
/** Orders are relayed once they use more than this share of the holder's link. */
const LINK_THRESHOLD_SHARE = 0.2;
const MEASUREMENT_PERIOD_MS = 400;
/** Relaying ends once the rate of orders has been below this share of the rate at which it began ... */
const END_RATE_SHARE = 0.25;
/** ... for this time, which is longer than the pause between two peaks of demand. */
const END_AFTER_MS = 60_000;

type Sample = { readonly traffic: OrderTraffic; readonly atMs: number };

/** Tells whether the traffic between two samples is more than the holder should send directly. */
const isAboveThreshold = (previous: Sample, { traffic, atMs }: Sample): boolean => {
  const elapsedMs = atMs - previous.atMs;
  const cpuMs = (traffic.orders - previous.traffic.orders) * ORDER_CPU_MS;
  const bytes = Math.max(
    traffic.sentBytes - previous.traffic.sentBytes,
    traffic.receivedBytes - previous.traffic.receivedBytes,
  );
  const bytesPerS = (bytes / elapsedMs) * 1000;
  return (
    cpuMs > elapsedMs * traffic.cores * CPU_THRESHOLD_SHARE ||
    bytesPerS > traffic.bytesPerS * LINK_THRESHOLD_SHARE
  );
};

const ordersPerMs = (previous: Sample, { traffic, atMs }: Sample): number =>
  (traffic.orders - previous.traffic.orders) / (atMs - previous.atMs);

/**
 * Creates a function that decides whether orders are relayed. Only orders count: reading all rows of a table after a
 * change of the holder loads the link as well, and relays do not help there. With relays in use, the bytes that direct
 * orders would take are not visible, so that relaying ends by the rate of orders alone.
 *
 * @returns A function that takes the traffic and the current time in milliseconds and returns the decision.
 */
export const createRelayDecision = (): ((traffic: OrderTraffic, nowMs: number) => boolean) => {
  let isNeeded = false;
  let beginOrdersPerMs = 0;
  let lastBusyAtMs = 0;
  let previous: Sample | undefined;

  const decide = (last: Sample, sample: Sample): void => {
    const rate = ordersPerMs(last, sample);
    if (!isNeeded && isAboveThreshold(last, sample)) {
      isNeeded = true;
      beginOrdersPerMs = rate;
    }
    if (rate >= beginOrdersPerMs * END_RATE_SHARE) lastBusyAtMs = sample.atMs;
    if (sample.atMs - lastBusyAtMs >= END_AFTER_MS) isNeeded = false;
  };

  return (traffic, nowMs) => {
    const sample = { traffic, atMs: nowMs };
    previous ??= sample;
    if (nowMs - previous.atMs < MEASUREMENT_PERIOD_MS) return isNeeded;
    decide(previous, sample);
    previous = sample;
    return isNeeded;
  };
};
