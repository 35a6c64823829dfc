/**
 * Guards against a relay that forwards a start into a data centre that it knows is evacuated, or while its evacuation
 * view is outdated, and against one that forwards an order after the time that the holder gave it.
 */
import { brand, type DataCentreId, type EndpointId } from '@valvelatch/core/shared/ids';
import type { TaskKey } from '@valvelatch/core/batch';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createRelayOrderHandler } from './relay-order-handler.js';
import {
  decodeAnswer,
  decodeRelayClock,
  decodeReply,
  encodeOrder,
  type OrderDeadline,
  type RelayedOrder,
} from './order-message.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const CLOCK_MS = 40_000;
const TASK = '00000000000000aa.0.0.0' as TaskKey;

const targetIn = (dataCentre: DataCentreId) => ({
  endpointId: brand<EndpointId>('i-1@0'),
  address: '',
  dataCentre,
});

/** An order without the deadline, which the test adds from the clock of the relay. */
type UntimedOrder =
  | Omit<Extract<RelayedOrder, { kind: 'start' }>, 'deadline'>
  | Omit<Extract<RelayedOrder, { kind: 'stop' }>, 'deadline'>
  | Omit<Extract<RelayedOrder, { kind: 'list' }>, 'deadline'>;

const TIMEOUT_MS = 500;

const startIn = (dataCentre: DataCentreId): UntimedOrder => ({
  kind: 'start',
  target: targetIn(dataCentre),
  timeoutMs: TIMEOUT_MS,
  order: { task: TASK, run: 1, spec: '', keepUntilMs: 1, fence: 1, checkpoint: '', ticket: '' },
});

const stopIn = (dataCentre: DataCentreId): UntimedOrder => ({
  kind: 'stop',
  target: targetIn(dataCentre),
  timeoutMs: TIMEOUT_MS,
  order: { task: TASK, run: 1, fence: 1 },
});

const listIn = (dataCentre: DataCentreId): UntimedOrder => ({
  kind: 'list',
  target: targetIn(dataCentre),
  timeoutMs: TIMEOUT_MS,
  order: { fence: 1, acknowledged: 0, waitMs: 0 },
});

/** A relay whose clock reads `CLOCK_MS` at first; the orders that it forwards are recorded in `sent`. */
const createRelay = (isOpen = true) => {
  const sent: string[] = [];
  let clockMs = CLOCK_MS;
  const recordSent = (kind: string) => async () => {
    sent.push(kind);
    return Ok({ clockMs: 1 });
  };
  const orders = {
    start: recordSent('start'),
    stop: recordSent('stop'),
    list: recordSent('list'),
  } as never;
  const gate = {
    isOpen: () => isOpen,
    mayStartIn: (dataCentre: DataCentreId) => isOpen && dataCentre !== NORTH,
  };
  const handler = createRelayOrderHandler({
    orders,
    metrics: createMetrics(),
    gate,
    nowMs: () => clockMs,
  });
  const { incarnation = NaN } = decodeRelayClock(handler.answerClock()) ?? {};
  const answer = async (carried: UntimedOrder, deadline: OrderDeadline) => {
    const reply = decodeReply(await handler.answer(encodeOrder({ ...carried, deadline })));
    return decodeAnswer(reply?.answer);
  };
  return {
    sent,
    incarnation,
    answer,
    advance: (ms: number) => {
      clockMs += ms;
    },
  };
};

/**
 * Has a relay answer an order. It knows that the north data centre is evacuated, which the holder does not know yet. With
 * `isOpen` false, its evacuation view is too old to allow any start.
 */
const answerOf = async (carried: UntimedOrder, isOpen = true) => {
  const { sent, incarnation, answer } = createRelay(isOpen);
  return { answer: await answer(carried, { incarnation, untilMs: CLOCK_MS + TIMEOUT_MS }), sent };
};

describe('a relay that knows that a data centre is evacuated', () => {
  it('refuses a start there and answers that the task was not run', async () => {
    const { answer, sent } = await answerOf(startIn(NORTH));
    expect(sent).toEqual([]);
    expect(answer.isErr() && answer.error).toMatchObject({
      verdict: 'notRun',
      reason: 'evacuated',
    });
  });

  it('forwards stops to that data centre and starts to others', async () => {
    expect((await answerOf(stopIn(NORTH))).sent).toEqual(['stop']);
    expect((await answerOf(startIn(SOUTH))).sent).toEqual(['start']);
  });
});

describe('a relay whose evacuation view is too old', () => {
  it('forwards no start and answers so that the holder sends the next order directly', async () => {
    // A relay whose process was paused would otherwise forward a start that the holder decided on seconds earlier.
    const { answer, sent } = await answerOf(startIn(SOUTH), false);
    expect(sent).toEqual([]);
    expect(answer.isErr() && answer.error).toMatchObject({
      verdict: 'notRun',
      reason: 'unreachable',
    });
  });
});

describe('a relay that receives an order late', () => {
  const orders = [startIn(SOUTH), stopIn(SOUTH), listIn(SOUTH)] as const;

  it.each(orders)(
    'does not forward a $kind order after its deadline, and says so',
    async (order) => {
      const { sent, incarnation, answer, advance } = createRelay();
      advance(TIMEOUT_MS);
      const late = await answer(order, { incarnation, untilMs: CLOCK_MS + TIMEOUT_MS });
      expect(sent).toEqual([]);
      expect(late.isErr() && late.error).toMatchObject({ verdict: 'notRun', reason: 'no-answer' });
    },
  );

  it.each(orders)('forwards a $kind order until its deadline', async (order) => {
    const { sent, incarnation, answer, advance } = createRelay();
    advance(TIMEOUT_MS - 1);
    await answer(order, { incarnation, untilMs: CLOCK_MS + TIMEOUT_MS });
    expect(sent).toEqual([order.kind]);
  });

  it.each(orders)(
    'does not forward a $kind order with a deadline on the clock of an earlier process',
    async (order) => {
      const { sent, answer } = createRelay();
      const { incarnation } = createRelay();
      await answer(order, { incarnation, untilMs: CLOCK_MS + 60_000 });
      expect(sent).toEqual([]);
    },
  );
});
