/** Endpoints of the request path that start again: nothing of the life before counts for the next. */
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
import type { ServiceGate } from './service-gate.js';

const SERVICE = brand<ServiceName>('routing');

const taskOf = (epoch: number, phase: ObservedTask['phase'] = 'running'): ObservedTask => ({
  jobId: brand('routing-0'),
  epoch,
  hostId: brand('h-1'),
  phase,
  service: SERVICE,
  address: 'http://127.0.0.1:4000',
});

describe('the endpoints of a data centre', () => {
  const directoryWith = () => {
    let offered: readonly Endpoint[] = [];
    const gate = {
      setEndpoints: (endpoints: readonly Endpoint[]) => {
        offered = endpoints;
      },
    } as Partial<ServiceGate> as ServiceGate;
    const directory = createEndpointDirectory({
      configuration: () => emptyConfiguration,
      seat: () => null,
      gate: () => gate,
      knownServices: () => [SERVICE],
    });
    const only = (): Endpoint => {
      const [endpoint] = offered;
      if (!endpoint || offered.length > 1) throw new Error('there is not one endpoint');
      return endpoint;
    };
    return { directory, only };
  };

  it('begin anew with each epoch of a job: load, ejection and the mark that one is leaving', () => {
    const { directory, only } = directoryWith();
    directory.takeTasks([taskOf(1)]);
    change(only(), { inFlight: 3, ejectedUntilMs: Infinity, failureShare: 1 });
    directory.markLeaving(endpointIdOf(taskOf(1)));
    directory.takeTasks([taskOf(2)]);
    const { endpointId, inFlight, ejectedUntilMs, failureShare, isLeaving } = only();
    expect(endpointId).toBe(endpointIdOf(taskOf(2)));
    expect({ inFlight, ejectedUntilMs, failureShare, isLeaving }).toEqual({
      inFlight: 0,
      ejectedUntilMs: 0,
      failureShare: 0,
      isLeaving: false,
    });
  });

  it('count what is under way at the life before until it has ended, apart from the next', () => {
    const { directory, only } = directoryWith();
    directory.takeTasks([taskOf(1)]);
    const before = only();
    change(before, { inFlight: 1 });
    directory.takeTasks([taskOf(2)]);
    expect(directory.inFlightAt(endpointIdOf(taskOf(1)))).toBe(1);
    expect(directory.inFlightAt(endpointIdOf(taskOf(2)))).toBe(0);
    change(before, { inFlight: 0 });
    directory.takeTasks([taskOf(2)]);
    expect(directory.inFlightAt(endpointIdOf(taskOf(1)))).toBe(0);
  });
});
