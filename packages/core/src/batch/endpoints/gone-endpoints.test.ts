/** What follows from the end of an endpoint's life, and when. */
import { describe, expect, it } from 'vitest';

import {
  answer,
  FIRST,
  POOL,
  SECOND,
  see,
  stateWithJob,
  taskOf,
  scheduleWritten,
} from '../testing/batch-state.fixtures.js';
import { instanceOf, lifeOf } from '../model/endpoint-life.js';
import { expectReports } from './endpoints.js';
import { removeEndpoint, settleGoneEndpoints } from './gone-endpoints.js';
import { endpointsOf } from '../placement/schedule.js';
import { takeEffects, type BatchState } from '../model/state.js';
import type { EndpointId } from '../../shared/ids.js';

/** Until then the holder of these tests is surely the only one. */
const SOLE_UNTIL_MS = 2400;

const stateWith = (options: { readonly isInherited?: boolean } = {}): BatchState => {
  const state = stateWithJob(options);
  state.soleHolderUntilMs = SOLE_UNTIL_MS;
  return state;
};

const hear = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  answer(state, { endpointId, askedAtMs: nowMs - 1, nowMs });

const lose = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 50, nowMs });

const cycle = (state: BatchState, nowMs: number): void => {
  settleGoneEndpoints(state, nowMs);
  scheduleWritten(state, nowMs);
};

describe('an endpoint that is gone', () => {
  /** A task was started on the first of two endpoints. */
  const running = (): BatchState => {
    const state = stateWith();
    see(state, FIRST);
    hear(state, FIRST, 10);
    cycle(state, 20);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
    see(state, SECOND);
    hear(state, SECOND, 30);
    return state;
  };

  it('has its tasks started again at once by a holder that is surely the only one', () => {
    const state = running();
    lose(state, FIRST, 1000);
    cycle(state, 1000);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });

  describe('of a holder that may have been replaced', () => {
    it('has them started again only once that holder is sure again', () => {
      const state = running();
      lose(state, FIRST, SOLE_UNTIL_MS + 100);
      cycle(state, SOLE_UNTIL_MS + 100);
      cycle(state, SOLE_UNTIL_MS + 3000);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      expect(taskOf(state).phase).toBe('placed');
      state.soleHolderUntilMs = SOLE_UNTIL_MS + 6000;
      cycle(state, SOLE_UNTIL_MS + 3100);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });

    it('has no place for others meanwhile', () => {
      const state = running();
      lose(state, SECOND, SOLE_UNTIL_MS + 100);
      lose(state, FIRST, SOLE_UNTIL_MS + 100);
      expect(state.endpoints.size).toBe(0);
    });

    it('tells how old the evidence is by then', () => {
      const state = running();
      lose(state, FIRST, SOLE_UNTIL_MS + 100);
      state.soleHolderUntilMs = SOLE_UNTIL_MS + 6000;
      takeEffects(state);
      settleGoneEndpoints(state, SOLE_UNTIL_MS + 3100);
      expect(takeEffects(state)).toMatchObject([
        { kind: 'save', isUrgent: false },
        {
          event: 'run-ended',
          fields: { cause: 'endpoint-gone', detail: 'host-list', ageMs: 3050 },
        },
      ]);
    });

    it('keeps inherited tasks waiting that may run in a later life of it', () => {
      const life = lifeOf('i-0000000001', 1);
      const next = lifeOf('i-0000000001', 2);
      const state = stateWith({ isInherited: true });
      Object.assign(state, { inheritedLeasesEndAtMs: 9000, soleHolderUntilMs: Infinity });
      [life, SECOND].forEach((endpointId) => see(state, endpointId));
      expectReports(state, [
        { instanceId: instanceOf(life), pool: POOL },
        { instanceId: instanceOf(SECOND), pool: POOL },
      ]);
      hear(state, SECOND, 30);
      removeEndpoint(state, life, { detail: 'restarted', atMs: 100, nowMs: 100 });
      cycle(state, 100);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      see(state, next, 200);
      hear(state, next, 300);
      cycle(state, 300);
      expect(endpointsOf(state, taskOf(state))).toHaveLength(1);
    });

    it('keeps inherited tasks waiting that may have run there', () => {
      const state = stateWith({ isInherited: true });
      see(state, FIRST);
      see(state, SECOND);
      expectReports(state, [
        { instanceId: instanceOf(FIRST), pool: POOL },
        { instanceId: instanceOf(SECOND), pool: POOL },
      ]);
      hear(state, SECOND, 30);
      lose(state, FIRST, SOLE_UNTIL_MS + 100);
      cycle(state, SOLE_UNTIL_MS + 100);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      state.soleHolderUntilMs = SOLE_UNTIL_MS + 6000;
      cycle(state, SOLE_UNTIL_MS + 200);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });
  });
});

describe('an endpoint that was first seen when another entry may be the holder', () => {
  it('is used only once this holder is surely the only one again', () => {
    const state = stateWith();
    see(state, FIRST, SOLE_UNTIL_MS + 100);
    hear(state, FIRST, SOLE_UNTIL_MS + 200);
    cycle(state, SOLE_UNTIL_MS + 200);
    expect(endpointsOf(state, taskOf(state))).toEqual([]);
    state.soleHolderUntilMs = SOLE_UNTIL_MS + 3000;
    cycle(state, SOLE_UNTIL_MS + 300);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
  });
});
