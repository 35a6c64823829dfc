/** When a rack or a data centre is suspected to be lost, what follows from it, and when the suspicion ends. */
import { describe, expect, it } from 'vitest';

import { brand, type DomainId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import {
  createBatchState,
  removeEffects,
  type BatchState,
  type EndpointState,
} from '../model/state.js';
import { createScheduleCycle } from '../placement/schedule-cycle.js';
import { schedulePool } from '../placement/schedule.js';
import { applyAnswer, JOB, POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { addEndpointAt, addFleet, type RackedFleet } from '../testing/domains.fixtures.js';
import {
  expireSuspicions,
  isSuspected,
  recordAnswered,
  recordUnanswered,
} from './suspected-domains.js';

const RACK = brand<DomainId>('rack:dc-0/rack-0');
const DATA_CENTRE = brand<DomainId>('data-centre:dc-0');

const createFleet = (
  fleet: RackedFleet,
): { readonly state: BatchState; readonly endpoints: readonly EndpointState[] } => {
  const state = createBatchState(2);
  const endpoints = addFleet(state, fleet);
  removeEffects(state);
  return { state, endpoints };
};

const suspectedIn = (state: BatchState): readonly string[] =>
  Array.from(state.suspectedDomains.keys());

/** Lets endpoints leave a request unanswered one after the other, `everyMs` apart. */
const leaveUnanswered = (
  state: BatchState,
  endpoints: readonly EndpointState[],
  { atMs = 100, everyMs = 0 } = {},
): void =>
  endpoints.forEach(({ endpointId }, index) =>
    recordUnanswered(state, endpointId, atMs + index * everyMs),
  );

const areSchedulable = (
  state: BatchState,
  endpoints: readonly EndpointState[],
): readonly boolean[] => endpoints.map((endpoint) => isSchedulable(state, endpoint, 200));

describe('a rack', () => {
  it('is suspected once a third of its endpoints have left a request unanswered', () => {
    const { state, endpoints } = createFleet({ racks: 4, hostsPerRack: 6 });
    leaveUnanswered(state, endpoints.slice(0, 1));
    expect(suspectedIn(state)).toEqual([]);
    leaveUnanswered(state, endpoints.slice(1, 2));
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('is not suspected because of a single endpoint, even if that is its only one', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 1 });
    leaveUnanswered(state, endpoints.slice(0, 1));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected because of fewer than a third of its endpoints', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 8 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected if its endpoints stopped answering more than 1.5 s apart', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 4), { everyMs: 1600 });
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected because of endpoints that have answered in the meantime', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    endpoints.slice(0, 4).forEach((endpoint) => {
      leaveUnanswered(state, [endpoint]);
      applyAnswer(state, { endpointId: endpoint.endpointId, requestedAtMs: 110, nowMs: 120 });
    });
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected because of endpoints whose hosts were ordered to go down', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    endpoints.slice(0, 2).forEach((endpoint) => change(endpoint, { isCordoned: true }));
    leaveUnanswered(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('gets no new work while it is suspected, not even on endpoints that have left no request unanswered', () => {
    // A start order sent to a lost endpoint would wait for its time-out and then for the endpoint's lease to end.
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    expect(areSchedulable(state, endpoints)).toEqual([
      ...Array(4).fill(false),
      ...Array(4).fill(true),
    ]);
    submitJob(state, JOB, { step: { taskCount: 40 } });
    schedulePool(state, POOL, 200);
    expect(endpoints.map(({ runs }) => runs.size)).toEqual([0, 0, 0, 0, 8, 8, 8, 8]);
  });

  it('has all its endpoints polled at once when it becomes suspected, and an event is recorded', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    const effects = removeEffects(state);
    expect(effects.filter(({ kind }) => kind === 'ask')).toEqual(
      endpoints.slice(0, 4).map(({ endpointId }) => ({ kind: 'ask', endpointId })),
    );
    expect(effects.filter(({ kind }) => kind === 'note')).toEqual([
      {
        kind: 'note',
        event: 'domain-suspected',
        fields: { domain: 'dc-0/rack-0', kind: 'rack', endpoints: 4, unanswering: 2, runs: 0 },
      },
    ]);
  });

  it('keeps its running tasks while it is suspected, because that does not show that they have stopped', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 4 });
    submitJob(state, JOB, { step: { taskCount: 8 } });
    schedulePool(state, POOL, 50);
    removeEffects(state);
    leaveUnanswered(state, endpoints.slice(0, 2));
    createScheduleCycle(state)(Infinity, 200);
    expect(endpoints.map(({ runs }) => runs.size)).toEqual([8, 0, 0, 0]);
    expect(removeEffects(state).filter(({ kind }) => kind === 'stop')).toEqual([]);
  });
});

describe('a suspicion', () => {
  it('does not exclude an endpoint that has answered since it began', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    endpoints.slice(2, 3).forEach((endpoint) => recordAnswered(state, endpoint, 150));
    expect(areSchedulable(state, endpoints)).toEqual([false, false, true, false]);
  });

  it('ends when more than half of the endpoints have answered, but not at exactly half', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    endpoints.slice(1, 3).forEach((endpoint) => recordAnswered(state, endpoint, 150));
    expect(suspectedIn(state)).toEqual([RACK]);
    removeEffects(state);
    endpoints.slice(3).forEach((endpoint) => recordAnswered(state, endpoint, 160));
    expect(suspectedIn(state)).toEqual([]);
    expect(removeEffects(state)).toMatchObject([
      { event: 'domain-back', fields: { afterMs: 60, relief: 'answered', unanswering: 1 } },
    ]);
  });

  it('ends after 10 s, and begins again if endpoints still do not answer', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 2));
    expireSuspicions(state, 10_099);
    expect(suspectedIn(state)).toEqual([RACK]);
    expireSuspicions(state, 10_100);
    expect(suspectedIn(state)).toEqual([]);
    leaveUnanswered(state, endpoints.slice(0, 2), { atMs: 10_200 });
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('ends when the last endpoint of the rack is gone', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 2 });
    leaveUnanswered(state, endpoints);
    endpoints.forEach(({ endpointId }) =>
      removeEndpoint(state, endpointId, { detail: 'host-list', atMs: 150, nowMs: 150 }),
    );
    expect(suspectedIn(state)).toEqual([]);
  });

  it('does not exclude an endpoint that was first seen after it began', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 2 });
    leaveUnanswered(state, endpoints);
    const late = addEndpointAt(state, { number: 9, dataCentre: 'dc-0', rack: 'rack-0' });
    expect(isSuspected(state, late)).toBe(false);
  });
});

describe('a data centre', () => {
  it('is suspected once a third of its endpoints, in two racks, have left a request unanswered', () => {
    const { state, endpoints } = createFleet({ racks: 3, hostsPerRack: 4 });
    leaveUnanswered(
      state,
      [endpoints[0], endpoints[4], endpoints[8]].flatMap((one) => one ?? []),
    );
    expect(suspectedIn(state)).toEqual([]);
    leaveUnanswered(state, endpoints.slice(1, 2));
    expect(suspectedIn(state)).toEqual([RACK, DATA_CENTRE]);
    expect(areSchedulable(state, endpoints)).toEqual(Array(12).fill(false));
  });

  it('is not suspected because of the loss of one rack, however large its share of the endpoints is', () => {
    const { state, endpoints } = createFleet({ racks: 2, hostsPerRack: 4 });
    leaveUnanswered(state, endpoints.slice(0, 4));
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('is suspected because of three endpoints if none of them has a rack', () => {
    const { state, endpoints } = createFleet({ racks: 1, hostsPerRack: 6, hasRacks: false });
    leaveUnanswered(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
    leaveUnanswered(state, endpoints.slice(2, 3));
    expect(suspectedIn(state)).toEqual([DATA_CENTRE]);
  });
});

describe('endpoints without a rack and without a data centre', () => {
  it('are never suspected as a group', () => {
    const state = createBatchState(2);
    const endpoints = [0, 1, 2, 3].map((number) =>
      addEndpointAt(state, { number, dataCentre: '', rack: '' }),
    );
    leaveUnanswered(state, endpoints);
    expect(suspectedIn(state)).toEqual([]);
  });
});
