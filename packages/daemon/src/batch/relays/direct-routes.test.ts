/** Guards against a holder that sends most orders itself because endpoints leave a few orders unanswered. */
import { brand, type EndpointId } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createDirectRoutes } from './direct-routes.js';

const ENDPOINT = brand<EndpointId>('i-1@0');
/** An order in this many gets no answer from the endpoint itself. */
const LOST_ONE_IN = 25;
const ORDER_INTERVAL_MS = 80;
const ORDERS = 2000;

describe('the route to an endpoint', () => {
  it('leaves nine in ten orders to the relay if the endpoint leaves one in 25 unanswered', () => {
    let nowMs = 0;
    const routes = createDirectRoutes(() => nowMs);
    let direct = 0;
    for (let order = 1; order <= ORDERS; order += 1) {
      nowMs += ORDER_INTERVAL_MS;
      const isDirect = routes.takeNext(ENDPOINT);
      if (isDirect) direct += 1;
      else if (order % LOST_ONE_IN === 0) routes.recordLoss(ENDPOINT);
      else routes.recordAnswer(ENDPOINT);
    }
    expect(direct).toBeLessThan(ORDERS / 10);
  });

  it('is direct for the order after a lost one, so that its repetition takes another route', () => {
    const routes = createDirectRoutes(() => 0);
    routes.recordLoss(ENDPOINT);
    expect([routes.takeNext(ENDPOINT), routes.takeNext(ENDPOINT)]).toEqual([true, false]);
  });

  it('is direct for 3 s once a second order in a row was lost over the relay', () => {
    let nowMs = 0;
    const routes = createDirectRoutes(() => nowMs);
    routes.recordLoss(ENDPOINT);
    routes.takeNext(ENDPOINT);
    routes.recordLoss(ENDPOINT);
    nowMs = 2999;
    expect(routes.takeNext(ENDPOINT)).toBe(true);
    nowMs = 3000;
    expect(routes.takeNext(ENDPOINT)).toBe(false);
  });

  it('is direct at once if the relay says that it cannot reach the endpoint', () => {
    const routes = createDirectRoutes(() => 0);
    routes.recordUnreachable(ENDPOINT);
    expect([routes.takeNext(ENDPOINT), routes.takeNext(ENDPOINT)]).toEqual([true, true]);
  });
});
