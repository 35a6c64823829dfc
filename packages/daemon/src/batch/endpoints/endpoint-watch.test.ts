/** How an endpoint is followed if a request to it throws. */
import {
  createBatchState,
  createOrderWindow,
  createSharedDelayEstimator,
  upsertEndpoint,
} from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  type EndpointId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';
import { createEndpointLink } from './endpoint-link.js';

const ENDPOINT = brand<EndpointId>('i-1');
const DATA_CENTRE = brand<DataCentreId>('north');

describe('an endpoint that is followed', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is asked again after a request for its runs has thrown', async () => {
    const state = createBatchState(2);
    upsertEndpoint(
      state,
      {
        endpointId: ENDPOINT,
        pool: brand<PoolName>('alpha'),
        hostId: null,
        address: '',
        dataCentre: DATA_CENTRE,
        labels: [],
        capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
        isDraining: false,
      },
      0,
    );
    let requests = 0;
    const link = createEndpointLink(
      { endpointId: ENDPOINT, address: '', dataCentre: DATA_CENTRE },
      {
        state,
        orders: {
          list: async () => {
            requests += 1;
            if (requests === 1) throw new Error('broken');
            return Ok({ clockMs: 1000, running: [], ended: [], hasMoreEnds: false });
          },
          release: () => undefined,
        },
        sharedDelayEstimator: createSharedDelayEstimator(),
        orderWindow: createOrderWindow(),
        endpointLeaseMs: 6000,
        log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
        metrics: createMetrics(),
        nowMs: () => performance.now(),
        isCertainlyHolder: () => true,
        requestScheduling: () => undefined,
        requestSave: () => undefined,
      } as never,
    );
    link.startPolling();
    await advanceTime(2000);
    link.close();
    expect(state.endpoints.get(ENDPOINT)?.hasReported).toBe(true);
  });
});
