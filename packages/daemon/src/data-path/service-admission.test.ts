/**
 * Guards against sending a refused request to the same endpoint again: this happened, up to the last
 * attempt, if the only free slot was at the endpoint that had refused the request.
 */
import { createEndpoint, createRng } from '@valvelatch/core';
import { brand, type EndpointId } from '@valvelatch/core/shared/ids';
import { describe, expect, it } from 'vitest';

import { createServiceAdmission, type SlotOutcome } from './service-admission.js';

const callerId =
  brand<Parameters<ReturnType<typeof createServiceAdmission>['release']>[1]>('caller');

const createNamedEndpoint = (name: string) =>
  createEndpoint({
    endpointId: brand(name),
    service: brand('routing'),
    hostId: brand('host'),
    address: 'http://127.0.0.1:1',
  });

const flushPromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('slot for a request that an endpoint has refused', () => {
  it('waits for another endpoint even though the refusing one has a free slot', async () => {
    const [refusing, busy] = [createNamedEndpoint('refusing'), createNamedEndpoint('busy')];
    const admission = createServiceAdmission({ service: brand('routing'), rng: createRng(1) });
    admission.setEndpoints([refusing, busy]);
    const acquireExcluding = (excludedEndpoints: readonly EndpointId[]): Promise<SlotOutcome> =>
      admission.acquire({ callerId, deadlineMs: performance.now() + 5000, excludedEndpoints });
    const firstSlot = await acquireExcluding([refusing.endpointId]);
    let secondSlot: SlotOutcome | undefined;
    void acquireExcluding([refusing.endpointId]).then((slot) => {
      secondSlot = slot;
    });
    admission.processQueue();
    await flushPromises();
    expect([firstSlot, secondSlot]).toEqual([{ kind: 'slot', endpoint: busy }, undefined]);
    admission.release(busy, callerId);
    admission.processQueue();
    await flushPromises();
    expect(secondSlot).toEqual({ kind: 'slot', endpoint: busy });
  });
});
