/** When a rack or a data centre counts as lost, what follows, and how that ends. */
import { describe, expect, it } from 'vitest';

import { brand, type DomainId } from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import { isSound } from '../endpoints/sound-endpoints.js';
import {
  createBatchState,
  takeEffects,
  type BatchState,
  type EndpointState,
} from '../model/state.js';
import { createScheduleCycle } from '../placement/schedule-cycle.js';
import { schedulePool } from '../placement/schedule.js';
import { answer, JOB, POOL, submitJob } from '../testing/batch-state.fixtures.js';
import { seeAt, seeFleet, type RackedFleet } from '../testing/domains.fixtures.js';
import { endOldSuspicions, isSuspected, noteAnswered, noteUnanswered } from './outage.js';

const RACK = brand<DomainId>('rack:dc-0/rack-0');
const DATA_CENTRE = brand<DomainId>('data-centre:dc-0');

const fleetOf = (
  fleet: RackedFleet,
): { readonly state: BatchState; readonly endpoints: readonly EndpointState[] } => {
  const state = createBatchState(2);
  const endpoints = seeFleet(state, fleet);
  takeEffects(state);
  return { state, endpoints };
};

const suspectedIn = (state: BatchState): readonly string[] =>
  Array.from(state.suspectedDomains.keys());

/** Endpoints miss an answer, each so long after the one before. */
const miss = (
  state: BatchState,
  endpoints: readonly EndpointState[],
  { atMs = 100, everyMs = 0 } = {},
): void =>
  endpoints.forEach(({ endpointId }, index) =>
    noteUnanswered(state, endpointId, atMs + index * everyMs),
  );

const soundOf = (state: BatchState, endpoints: readonly EndpointState[]): readonly boolean[] =>
  endpoints.map((endpoint) => isSound(state, endpoint, 200));

describe('a rack', () => {
  it('is suspected once a third of its endpoints have left a question unanswered', () => {
    const { state, endpoints } = fleetOf({ racks: 4, hostsPerRack: 6 });
    miss(state, endpoints.slice(0, 1));
    expect(suspectedIn(state)).toEqual([]);
    miss(state, endpoints.slice(1, 2));
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('is not suspected by one endpoint, however few it has', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 1 });
    miss(state, endpoints.slice(0, 1));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected by fewer than a third', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 8 });
    miss(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected by endpoints that fell silent more than 1.5 s apart', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 4), { everyMs: 1600 });
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected by endpoints that answered in between', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    endpoints.slice(0, 4).forEach((endpoint) => {
      miss(state, [endpoint]);
      answer(state, { endpointId: endpoint.endpointId, askedAtMs: 110, nowMs: 120 });
    });
    expect(suspectedIn(state)).toEqual([]);
  });

  it('is not suspected by endpoints whose hosts go down by order', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    endpoints.slice(0, 2).forEach((endpoint) => change(endpoint, { isClosing: true }));
    miss(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
  });

  it('has no new work begun while it is suspected, on endpoints that were not silent either', () => {
    // A start sent there would wait for its time-out and then for the lease of the endpoint.
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 2));
    expect(soundOf(state, endpoints)).toEqual([...Array(4).fill(false), ...Array(4).fill(true)]);
    submitJob(state, JOB, { step: { taskCount: 40 } });
    schedulePool(state, POOL, 200);
    expect(endpoints.map(({ runs }) => runs.size)).toEqual([0, 0, 0, 0, 8, 8, 8, 8]);
  });

  it('has all its endpoints asked at once, and the operator told', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 2));
    const effects = takeEffects(state);
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

  it('keeps what runs there: the suspicion says nothing of it', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 4 });
    submitJob(state, JOB, { step: { taskCount: 8 } });
    schedulePool(state, POOL, 50);
    takeEffects(state);
    miss(state, endpoints.slice(0, 2));
    createScheduleCycle(state)(Infinity, 200);
    expect(endpoints.map(({ runs }) => runs.size)).toEqual([8, 0, 0, 0]);
    expect(takeEffects(state).filter(({ kind }) => kind === 'stop')).toEqual([]);
  });
});

describe('a suspicion', () => {
  it('does not hold back an endpoint that has answered since', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 2));
    endpoints.slice(2, 3).forEach((endpoint) => noteAnswered(state, endpoint, 150));
    expect(soundOf(state, endpoints)).toEqual([false, false, true, false]);
  });

  it('ends when more than half have answered, and not at half', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 2));
    endpoints.slice(1, 3).forEach((endpoint) => noteAnswered(state, endpoint, 150));
    expect(suspectedIn(state)).toEqual([RACK]);
    takeEffects(state);
    endpoints.slice(3).forEach((endpoint) => noteAnswered(state, endpoint, 160));
    expect(suspectedIn(state)).toEqual([]);
    expect(takeEffects(state)).toMatchObject([
      { event: 'domain-back', fields: { afterMs: 60, relief: 'answered', unanswering: 1 } },
    ]);
  });

  it('ends after 10 s, and begins again where endpoints are still silent', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 2));
    endOldSuspicions(state, 10_099);
    expect(suspectedIn(state)).toEqual([RACK]);
    endOldSuspicions(state, 10_100);
    expect(suspectedIn(state)).toEqual([]);
    miss(state, endpoints.slice(0, 2), { atMs: 10_200 });
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('ends with the last endpoint of the rack', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 2 });
    miss(state, endpoints);
    endpoints.forEach(({ endpointId }) =>
      removeEndpoint(state, endpointId, { detail: 'host-list', atMs: 150, nowMs: 150 }),
    );
    expect(suspectedIn(state)).toEqual([]);
  });

  it('does not hold back an endpoint that came later', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 2 });
    miss(state, endpoints);
    const late = seeAt(state, { number: 9, dataCentre: 'dc-0', rack: 'rack-0' });
    expect(isSuspected(state, late)).toBe(false);
  });
});

describe('a data centre', () => {
  it('is suspected by a third of its endpoints in two racks', () => {
    const { state, endpoints } = fleetOf({ racks: 3, hostsPerRack: 4 });
    miss(
      state,
      [endpoints[0], endpoints[4], endpoints[8]].flatMap((one) => one ?? []),
    );
    expect(suspectedIn(state)).toEqual([]);
    miss(state, endpoints.slice(1, 2));
    expect(suspectedIn(state)).toEqual([RACK, DATA_CENTRE]);
    expect(soundOf(state, endpoints)).toEqual(Array(12).fill(false));
  });

  it('is not suspected by the loss of one rack, however much of it that is', () => {
    const { state, endpoints } = fleetOf({ racks: 2, hostsPerRack: 4 });
    miss(state, endpoints.slice(0, 4));
    expect(suspectedIn(state)).toEqual([RACK]);
  });

  it('is suspected by three endpoints where none has a rack', () => {
    const { state, endpoints } = fleetOf({ racks: 1, hostsPerRack: 6, hasRacks: false });
    miss(state, endpoints.slice(0, 2));
    expect(suspectedIn(state)).toEqual([]);
    miss(state, endpoints.slice(2, 3));
    expect(suspectedIn(state)).toEqual([DATA_CENTRE]);
  });
});

describe('endpoints without a rack and a data centre', () => {
  it('are never suspected together', () => {
    const state = createBatchState(2);
    const endpoints = [0, 1, 2, 3].map((number) =>
      seeAt(state, { number, dataCentre: '', rack: '' }),
    );
    miss(state, endpoints);
    expect(suspectedIn(state)).toEqual([]);
  });
});
