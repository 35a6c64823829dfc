/**
 * Guards against acknowledgements that reach the next incarnation, which would delete ended runs that nobody has
 * read.
 */
import { MAX_ORDER_DELAY_MS } from '@valvelatch/core/batch';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createAcknowledgementTracker } from './acknowledgement.js';
import { createLeasedEndpoint } from '../testing/leased-endpoint.fixtures.js';
import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';

const PAUSE_MS = 20;

describe('an acknowledgement', () => {
  const createRespondedWith = (written: number) => {
    const clock = { ms: 0 };
    const acknowledgement = createAcknowledgementTracker(() => clock.ms);
    acknowledgement.recordResponse(0);
    acknowledgement.recordStored(written);
    return { clock, acknowledgement };
  };

  it('names the last stored ended run if its incarnation has responded recently', () => {
    expect(createRespondedWith(7).acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(7);
  });

  it('names none before its incarnation has responded', () => {
    const acknowledgement = createAcknowledgementTracker(() => 0);
    acknowledgement.recordStored(7);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(0);
  });

  it('names none if its incarnation has not responded for some time', () => {
    const { clock, acknowledgement } = createRespondedWith(7);
    clock.ms = 1000;
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(0);
    expect(acknowledgement.computeNumberToSend(1000)).toBe(7);
  });

  it('names none after an unanswered list request until its incarnation responds again', () => {
    const { acknowledgement } = createRespondedWith(7);
    acknowledgement.recordMiss(7);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(0);
    acknowledgement.recordResponse(0);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(7);
  });

  it('may arrive late once its incarnation has responded after an unanswered list request', () => {
    const { clock, acknowledgement } = createRespondedWith(7);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(7);
    acknowledgement.recordMiss(7);
    // So far, the request may have been lost with its incarnation.
    expect(acknowledgement.lateArrivalUntilMs()).toBe(0);
    clock.ms = 100;
    acknowledgement.recordResponse(0);
    expect(acknowledgement.lateArrivalUntilMs()).toBe(MAX_ORDER_DELAY_MS);
    clock.ms = MAX_ORDER_DELAY_MS;
    expect(acknowledgement.lateArrivalUntilMs()).toBe(0);
  });

  it('is not sent again once its incarnation has responded to it', () => {
    const { acknowledgement } = createRespondedWith(7);
    acknowledgement.recordResponse(7);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(0);
    acknowledgement.recordStored(9);
    expect(acknowledgement.computeNumberToSend(PAUSE_MS)).toBe(9);
  });
});

describe('list requests to an endpoint', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('acknowledge nothing at first after it was idle, because a new incarnation may already have ended runs', async () => {
    const leased = createLeasedEndpoint({ taskCount: 3, runMs: 300 });
    await advanceTime(3000);
    const sentBefore = leased.sent.length;
    leased.submit(3, 300);
    await advanceTime(3000);
    const [first, ...later] = leased.sent
      .slice(sentBefore)
      .flatMap(({ kind, acknowledged }) => (kind === 'list' ? [acknowledged] : []));
    leased.close();
    expect(first).toBe(0);
    expect(Math.max(...later)).toBeGreaterThanOrEqual(3);
    expect(leased.violations).toEqual([]);
  });

  it('acknowledge the last ended runs of an endpoint that has no work left', async () => {
    const leased = createLeasedEndpoint({ taskCount: 3, runMs: 300 });
    await advanceTime(3000);
    const numbers = leased.sent.map(({ acknowledged }) => acknowledged);
    leased.close();
    expect(Math.max(...numbers)).toBe(3);
    expect(leased.violations).toEqual([]);
  });
});
