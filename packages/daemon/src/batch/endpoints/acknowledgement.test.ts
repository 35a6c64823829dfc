/** Acknowledgements that reach the next life of an endpoint, which would forget ends that nobody has read. */
import { MAX_ORDER_DELAY_MS } from '@valvelatch/core/batch';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createAcknowledgement } from './acknowledgement.js';
import { createLeasedEndpoint } from '../testing/leased-endpoint.fixtures.js';
import { advance, FAKED } from '../testing/virtual-time.fixtures.js';

const PAUSE_MS = 20;

describe('an acknowledgement', () => {
  const heardWith = (written: number) => {
    const clock = { ms: 0 };
    const acknowledgement = createAcknowledgement(() => clock.ms);
    acknowledgement.noteAnswer(0);
    acknowledgement.noteWritten(written);
    return { clock, acknowledgement };
  };

  it('names the highest end that is written while its life was just heard', () => {
    expect(heardWith(7).acknowledgement.toSend(PAUSE_MS)).toBe(7);
  });

  it('names none before the life was ever heard', () => {
    const acknowledgement = createAcknowledgement(() => 0);
    acknowledgement.noteWritten(7);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(0);
  });

  it('names none once the life has not been heard for some time', () => {
    const { clock, acknowledgement } = heardWith(7);
    clock.ms = 1000;
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(0);
    expect(acknowledgement.toSend(1000)).toBe(7);
  });

  it('names none after a question without an answer, until the life answers again', () => {
    const { acknowledgement } = heardWith(7);
    acknowledgement.noteMiss(7);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(0);
    acknowledgement.noteAnswer(0);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(7);
  });

  it('may be carried out late once its life outlived one without an answer', () => {
    const { clock, acknowledgement } = heardWith(7);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(7);
    acknowledgement.noteMiss(7);
    // So far it may have been lost with its life.
    expect(acknowledgement.lateUntilMs()).toBe(0);
    clock.ms = 100;
    acknowledgement.noteAnswer(0);
    expect(acknowledgement.lateUntilMs()).toBe(MAX_ORDER_DELAY_MS);
    clock.ms = MAX_ORDER_DELAY_MS;
    expect(acknowledgement.lateUntilMs()).toBe(0);
  });

  it('is not sent again once the life has answered it', () => {
    const { acknowledgement } = heardWith(7);
    acknowledgement.noteAnswer(7);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(0);
    acknowledgement.noteWritten(9);
    expect(acknowledgement.toSend(PAUSE_MS)).toBe(9);
  });
});

describe('questions to an endpoint', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('acknowledge nothing first after it stood empty: its next life may have ended tasks already', async () => {
    const world = createLeasedEndpoint({ taskCount: 3, runMs: 300 });
    await advance(3000);
    const before = world.sent.length;
    world.submit(3, 300);
    await advance(3000);
    const [first, ...later] = world.sent
      .slice(before)
      .flatMap(({ kind, acknowledged }) => (kind === 'list' ? [acknowledged] : []));
    world.close();
    expect(first).toBe(0);
    expect(Math.max(...later)).toBeGreaterThanOrEqual(3);
    expect(world.broken).toEqual([]);
  });
});
