/**
 * Guards against a relay that forwards a start into a data centre that it knows is evacuated, or while its evacuation
 * view is outdated.
 */
import { brand, type DataCentreId, type EndpointId } from '@valvelatch/core/shared/ids';
import type { TaskKey } from '@valvelatch/core/batch';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createRelayOrderHandler } from './relay-order-handler.js';
import { decodeAnswer, encodeOrder, type RelayedOrder } from './order-message.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const TASK = '00000000000000aa.0.0.0' as TaskKey;

const targetIn = (dataCentre: DataCentreId) => ({
  endpointId: brand<EndpointId>('i-1@0'),
  address: '',
  dataCentre,
});

const startIn = (dataCentre: DataCentreId): RelayedOrder => ({
  kind: 'start',
  target: targetIn(dataCentre),
  timeoutMs: 500,
  order: { task: TASK, run: 1, spec: '', keepUntilMs: 1, fence: 1, checkpoint: '', ticket: '' },
});

const stopIn = (dataCentre: DataCentreId): RelayedOrder => ({
  kind: 'stop',
  target: targetIn(dataCentre),
  timeoutMs: 500,
  order: { task: TASK, run: 1, fence: 1 },
});

/**
 * Has a relay answer an order. It knows that the north data centre is evacuated, which the holder does not know yet. With
 * `isOpen` false, its evacuation view is too old to allow any start.
 */
const answerOf = async (carried: RelayedOrder, isOpen = true) => {
  const sent: string[] = [];
  const recordSent = (kind: string) => async () => {
    sent.push(kind);
    return Ok({ clockMs: 1 });
  };
  const orders = { start: recordSent('start'), stop: recordSent('stop') } as never;
  const gate = {
    isOpen: () => isOpen,
    mayStartIn: (dataCentre: DataCentreId) => isOpen && dataCentre !== NORTH,
  };
  const agent = createRelayOrderHandler(orders, createMetrics(), gate);
  return { answer: decodeAnswer(await agent.answer(encodeOrder(carried))), sent };
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
