/** Guards against starts that a relay sends into a data centre that it knows to be evacuated. */
import { brand, type DataCentreId, type EndpointId } from '@valvelatch/core/shared/ids';
import type { TaskKey } from '@valvelatch/core/batch';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { createOrderAgent } from './order-agent.js';
import { decodeAnswer, encodeOrder, type CarriedOrder } from './order-message.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const TASK = '00000000000000aa.0.0.0' as TaskKey;

const targetIn = (dataCentre: DataCentreId) => ({
  endpointId: brand<EndpointId>('i-1@0'),
  address: '',
  dataCentre,
});

const startIn = (dataCentre: DataCentreId): CarriedOrder => ({
  kind: 'start',
  target: targetIn(dataCentre),
  timeoutMs: 500,
  order: { task: TASK, run: 1, spec: '', keepUntilMs: 1, fence: 1, checkpoint: '', ticket: '' },
});

const stopIn = (dataCentre: DataCentreId): CarriedOrder => ({
  kind: 'stop',
  target: targetIn(dataCentre),
  timeoutMs: 500,
  order: { task: TASK, run: 1, fence: 1 },
});

/** A relay that knows of an evacuation that the holder has not heard of. */
const answerOf = async (carried: CarriedOrder) => {
  const sent: string[] = [];
  const note = (kind: string) => async () => {
    sent.push(kind);
    return Ok({ clockMs: 1 });
  };
  const orders = { start: note('start'), stop: note('stop') } as never;
  const gate = { mayStartIn: (dataCentre: DataCentreId) => dataCentre !== NORTH };
  const agent = createOrderAgent(orders, createMetrics(), gate);
  return { answer: decodeAnswer(await agent.answer(encodeOrder(carried))), sent };
};

describe('a relay that knows of an evacuation', () => {
  it('refuses a start there, which has not run', async () => {
    const { answer, sent } = await answerOf(startIn(NORTH));
    expect(sent).toEqual([]);
    expect(answer.isErr() && answer.error).toMatchObject({
      verdict: 'notRun',
      reason: 'evacuated',
    });
  });

  it('carries stops there, and starts elsewhere', async () => {
    expect((await answerOf(stopIn(NORTH))).sent).toEqual(['stop']);
    expect((await answerOf(startIn(SOUTH))).sent).toEqual(['start']);
  });
});
