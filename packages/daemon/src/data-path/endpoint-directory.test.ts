/** Tests that a restarted endpoint inherits no state from its previous incarnation. */
import { describe, expect, it } from 'vitest';
import {
  brand,
  emptyConfiguration,
  type Endpoint,
  type ObservedTask,
  type ServiceName,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import { createEndpointDirectory, endpointIdOf } from './endpoint-directory.js';
import type { ServiceAdmission } from './service-admission.js';

const SERVICE = brand<ServiceName>('routing');

const taskWithEpoch = (epoch: number, phase: ObservedTask['phase'] = 'running'): ObservedTask => ({
  jobId: brand('routing-0'),
  epoch,
  hostId: brand('h-1'),
  phase,
  service: SERVICE,
  address: 'http://127.0.0.1:4000',
});

describe('endpoint directory', () => {
  const createDirectory = () => {
    let offered: readonly Endpoint[] = [];
    const admission = {
      setEndpoints: (endpoints: readonly Endpoint[]) => {
        offered = endpoints;
      },
    } as Partial<ServiceAdmission> as ServiceAdmission;
    const directory = createEndpointDirectory({
      configuration: () => emptyConfiguration,
      heldSeat: () => null,
      admissionFor: () => admission,
      knownServices: () => [SERVICE],
    });
    const onlyEndpoint = (): Endpoint => {
      const [endpoint] = offered;
      if (!endpoint || offered.length > 1) throw new Error('expected exactly one endpoint');
      return endpoint;
    };
    return { directory, onlyEndpoint };
  };

  it('resets load, ejection and the leaving flag for each epoch of a job', () => {
    const { directory, onlyEndpoint } = createDirectory();
    directory.updateTasks([taskWithEpoch(1)]);
    change(onlyEndpoint(), { inFlight: 3, ejectedUntilMs: Infinity, failureShare: 1 });
    directory.markLeaving(endpointIdOf(taskWithEpoch(1)));
    directory.updateTasks([taskWithEpoch(2)]);
    const { endpointId, inFlight, ejectedUntilMs, failureShare, isLeaving } = onlyEndpoint();
    expect(endpointId).toBe(endpointIdOf(taskWithEpoch(2)));
    expect({ inFlight, ejectedUntilMs, failureShare, isLeaving }).toEqual({
      inFlight: 0,
      ejectedUntilMs: 0,
      failureShare: 0,
      isLeaving: false,
    });
  });

  it('counts requests in flight at the previous incarnation until they end, separately from the next', () => {
    const { directory, onlyEndpoint } = createDirectory();
    directory.updateTasks([taskWithEpoch(1)]);
    const previous = onlyEndpoint();
    change(previous, { inFlight: 1 });
    directory.updateTasks([taskWithEpoch(2)]);
    expect(directory.inFlightCount(endpointIdOf(taskWithEpoch(1)))).toBe(1);
    expect(directory.inFlightCount(endpointIdOf(taskWithEpoch(2)))).toBe(0);
    change(previous, { inFlight: 0 });
    directory.updateTasks([taskWithEpoch(2)]);
    expect(directory.inFlightCount(endpointIdOf(taskWithEpoch(1)))).toBe(0);
  });
});
