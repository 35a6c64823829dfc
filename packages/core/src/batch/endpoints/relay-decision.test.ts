/** Guards against a holder that sends more orders itself than its processor or link should carry. */
import { describe, expect, it } from 'vitest';

import { createRelayDecision, type OrderTraffic } from './relay-decision.js';

const PERIOD_MS = 400;
const IDLE: OrderTraffic = {
  orders: 0,
  sentBytes: 0,
  receivedBytes: 0,
  bytesPerS: 1_000_000,
  cores: 1,
};

/** A holder whose traffic grows at the given rates; `run` returns the decision after some time. */
const createHolder = (cores = 1) => {
  const decide = createRelayDecision();
  let traffic: OrderTraffic = { ...IDLE, cores };
  let nowMs = 0;
  decide(traffic, nowMs);
  return {
    run: (forMs: number, rates: { readonly ordersPerS?: number; readonly bytesPerS?: number }) => {
      let isRelaying = false;
      for (const endMs = nowMs + forMs; nowMs < endMs;) {
        nowMs += PERIOD_MS;
        const orders = traffic.orders + ((rates.ordersPerS ?? 0) * PERIOD_MS) / 1000;
        const sentBytes = traffic.sentBytes + ((rates.bytesPerS ?? 0) * PERIOD_MS) / 1000;
        traffic = { ...traffic, orders, sentBytes };
        isRelaying = decide(traffic, nowMs);
      }
      return isRelaying;
    },
  };
};

describe('the decision to relay orders', () => {
  it('is made within a second of more orders than a seventh of the processor can send', () => {
    expect(createHolder().run(800, { ordersPerS: 320 })).toBe(true);
    expect(createHolder().run(60_000, { ordersPerS: 280 })).toBe(false);
  });

  it('allows for the cores of the holder', () => {
    expect(createHolder(0.3).run(800, { ordersPerS: 100 })).toBe(true);
    expect(createHolder(2).run(800, { ordersPerS: 400 })).toBe(false);
  });

  it('is made for orders that use a fifth of the link', () => {
    expect(createHolder().run(800, { ordersPerS: 20, bytesPerS: 210_000 })).toBe(true);
    expect(createHolder().run(800, { ordersPerS: 20, bytesPerS: 190_000 })).toBe(false);
  });

  it('stands between two peaks of demand', () => {
    const holder = createHolder();
    holder.run(4000, { ordersPerS: 1000 });
    expect(holder.run(20_000, { ordersPerS: 20 })).toBe(true);
  });

  it('is withdrawn after a minute of few orders', () => {
    const holder = createHolder();
    holder.run(4000, { ordersPerS: 1000 });
    expect(holder.run(61_000, { ordersPerS: 20 })).toBe(false);
    expect(holder.run(800, { ordersPerS: 1000 })).toBe(true);
  });
});
