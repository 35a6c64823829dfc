/** What happens to tasks after an endpoint is gone, and when. */
import { describe, expect, it } from 'vitest';

import {
  applyAnswer,
  FIRST,
  POOL,
  SECOND,
  addEndpoint,
  createStateWithJob,
  taskOf,
  scheduleAfterWrites,
} from '../testing/batch-state.fixtures.js';
import { instanceIdOf, endpointIdOf } from '../model/endpoint-incarnation.js';
import { addPendingReports } from './endpoints.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from './gone-endpoints.js';
import { endpointsOf } from '../placement/schedule.js';
import { removeEffects, type BatchState } from '../model/state.js';
import type { EndpointId } from '../../shared/ids.js';

/** Until this time the holder in these tests is certainly the only one. */
const SOLE_HOLDER_UNTIL_MS = 2400;

const stateWith = (options: { readonly isInherited?: boolean } = {}): BatchState => {
  const state = createStateWithJob(options);
  state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS;
  return state;
};

const respond = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  applyAnswer(state, { endpointId, requestedAtMs: nowMs - 1, nowMs });

const loseEndpoint = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 50, nowMs });

const runCycle = (state: BatchState, nowMs: number): void => {
  giveUpRunsOfGoneEndpoints(state, nowMs);
  scheduleAfterWrites(state, nowMs);
};

describe('an endpoint that is gone', () => {
  /** Starts a task on the first of two endpoints. */
  const stateWithRunningTask = (): BatchState => {
    const state = stateWith();
    addEndpoint(state, FIRST);
    respond(state, FIRST, 10);
    runCycle(state, 20);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
    addEndpoint(state, SECOND);
    respond(state, SECOND, 30);
    return state;
  };

  it('has its tasks restarted at once while the holder is certainly the only one', () => {
    const state = stateWithRunningTask();
    loseEndpoint(state, FIRST, 1000);
    runCycle(state, 1000);
    expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
  });

  describe('while another entry may be the holder', () => {
    it('has its tasks restarted only after the holder is certain again to be the only one', () => {
      const state = stateWithRunningTask();
      loseEndpoint(state, FIRST, SOLE_HOLDER_UNTIL_MS + 100);
      runCycle(state, SOLE_HOLDER_UNTIL_MS + 100);
      runCycle(state, SOLE_HOLDER_UNTIL_MS + 3000);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      expect(taskOf(state).phase).toBe('placed');
      state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS + 6000;
      runCycle(state, SOLE_HOLDER_UNTIL_MS + 3100);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });

    it('is removed from the endpoints that can take tasks', () => {
      const state = stateWithRunningTask();
      loseEndpoint(state, SECOND, SOLE_HOLDER_UNTIL_MS + 100);
      loseEndpoint(state, FIRST, SOLE_HOLDER_UNTIL_MS + 100);
      expect(state.endpoints.size).toBe(0);
    });

    it('logs the age of the evidence when its runs are given up', () => {
      const state = stateWithRunningTask();
      loseEndpoint(state, FIRST, SOLE_HOLDER_UNTIL_MS + 100);
      state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS + 6000;
      removeEffects(state);
      giveUpRunsOfGoneEndpoints(state, SOLE_HOLDER_UNTIL_MS + 3100);
      expect(removeEffects(state)).toMatchObject([
        { kind: 'save', isUrgent: false },
        {
          event: 'run-ended',
          fields: { cause: 'endpoint-gone', detail: 'host-list', ageMs: 3050 },
        },
      ]);
    });

    it('keeps inherited tasks waiting that may run in its next incarnation', () => {
      const incarnation = endpointIdOf('i-0000000001', 1);
      const next = endpointIdOf('i-0000000001', 2);
      const state = stateWith({ isInherited: true });
      Object.assign(state, { inheritedLeasesEndAtMs: 9000, soleHolderUntilMs: Infinity });
      [incarnation, SECOND].forEach((endpointId) => addEndpoint(state, endpointId));
      addPendingReports(state, [
        { instanceId: instanceIdOf(incarnation), pool: POOL },
        { instanceId: instanceIdOf(SECOND), pool: POOL },
      ]);
      respond(state, SECOND, 30);
      removeEndpoint(state, incarnation, { detail: 'restarted', atMs: 100, nowMs: 100 });
      runCycle(state, 100);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      addEndpoint(state, next, 200);
      respond(state, next, 300);
      runCycle(state, 300);
      expect(endpointsOf(state, taskOf(state))).toHaveLength(1);
    });

    it('keeps inherited tasks waiting that may have run on it', () => {
      const state = stateWith({ isInherited: true });
      addEndpoint(state, FIRST);
      addEndpoint(state, SECOND);
      addPendingReports(state, [
        { instanceId: instanceIdOf(FIRST), pool: POOL },
        { instanceId: instanceIdOf(SECOND), pool: POOL },
      ]);
      respond(state, SECOND, 30);
      loseEndpoint(state, FIRST, SOLE_HOLDER_UNTIL_MS + 100);
      runCycle(state, SOLE_HOLDER_UNTIL_MS + 100);
      expect(endpointsOf(state, taskOf(state))).toEqual([]);
      state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS + 6000;
      runCycle(state, SOLE_HOLDER_UNTIL_MS + 200);
      expect(endpointsOf(state, taskOf(state))).toEqual([SECOND]);
    });
  });
});

describe('an endpoint that was first seen while another entry may be the holder', () => {
  it('is used only after this entry is certain again to be the only holder', () => {
    const state = stateWith();
    addEndpoint(state, FIRST, SOLE_HOLDER_UNTIL_MS + 100);
    respond(state, FIRST, SOLE_HOLDER_UNTIL_MS + 200);
    runCycle(state, SOLE_HOLDER_UNTIL_MS + 200);
    expect(endpointsOf(state, taskOf(state))).toEqual([]);
    state.soleHolderUntilMs = SOLE_HOLDER_UNTIL_MS + 3000;
    runCycle(state, SOLE_HOLDER_UNTIL_MS + 300);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
  });
});
