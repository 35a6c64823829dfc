/** How an endpoint is followed if a request to it throws. */
import {
  createBatchState,
  createOrderWindow,
  createSharedDelayEstimator,
  upsertEndpoint,
  type EndpointState,
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

  /** Follows the endpoint with the given answers to list requests for a time; returns its state afterwards. */
  const follow = async (
    list: (requests: number) => unknown,
    forMs: number,
  ): Promise<EndpointState | undefined> => {
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
            return list(requests);
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
    await advanceTime(forMs);
    link.close();
    return state.endpoints.get(ENDPOINT);
  };

  it('is asked again after a request for its runs has thrown', async () => {
    const endpoint = await follow((requests) => {
      if (requests === 1) throw new Error('broken');
      return Ok({ clockMs: 1000, running: [], ended: [], hasMoreEnds: false });
    }, 2000);
    expect(endpoint?.listing).toBe('complete');
  });

  it('does not keep the lease of its runs while no report of it can be applied', async () => {
    const endpoint = await follow(
      () => Ok({ clockMs: performance.now(), running: undefined, ended: [], hasMoreEnds: false }),
      60_000,
    );
    expect(endpoint?.leaseEndsAtMs).toBeLessThan(performance.now());
  });
});
