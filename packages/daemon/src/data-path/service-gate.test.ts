/** Slots for requests that have been tried at an endpoint before. */
import { createEndpoint, createRng } from '@valvelatch/core';
import { brand, type EndpointId } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createServiceGate, type Slot } from './service-gate.js';

const callerId = brand<Parameters<ReturnType<typeof createServiceGate>['release']>[1]>('caller');

const endpointNamed = (name: string) =>
  createEndpoint({
    endpointId: brand(name),
    service: brand('routing'),
    hostId: brand('host'),
    address: 'http://127.0.0.1:1',
  });

const settled = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('a slot for a request that an endpoint has refused', () => {
  it('is waited for at the others, though the one that refused has a slot free', async () => {
    // Such a request was sent to the same endpoint again, up to its last attempt.
    const [refusing, busy] = [endpointNamed('refusing'), endpointNamed('busy')];
    const gate = createServiceGate({ service: brand('routing'), rng: createRng(1) });
    gate.setEndpoints([refusing, busy]);
    const ask = (exclude: readonly EndpointId[]): Promise<Slot> =>
      gate.acquire({ callerId, deadlineMs: performance.now() + 5000, exclude });
    const first = await ask([refusing.endpointId]);
    let given: Slot | undefined;
    void ask([refusing.endpointId]).then((slot) => {
      given = slot;
    });
    gate.pump();
    await settled();
    expect([first, given]).toEqual([{ kind: 'slot', endpoint: busy }, undefined]);
    gate.release(busy, callerId);
    gate.pump();
    await settled();
    expect(given).toEqual({ kind: 'slot', endpoint: busy });
  });
});
