/** Which endpoints that have not answered hold up tasks of an earlier holder, and which do not. */
import { describe, expect, it } from 'vitest';

import {
  brand,
  type EndpointId,
  type HostId,
  type InstanceId,
  type JobId,
} from '../../shared/ids.js';
import { dropUnseenReports, expectReports, seeEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint, settleGoneEndpoints } from '../endpoints/gone-endpoints.js';
import { instanceOf } from '../model/endpoint-life.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { createBatchState, type BatchState } from '../model/state.js';
import {
  answer,
  FIRST,
  POOL,
  scheduleWritten,
  SECOND,
  see,
  submitJob,
} from '../testing/batch-state.fixtures.js';

const INHERITED = brand<JobId>('00000000000000bb');
const SILENT = brand<EndpointId>('i-0000000003');
const FORMER_ORDERS_END_MS = 100;
const LEASES_END_MS = 9000;
/** The run that the holder before began. */
const FORMER_RUN = 1001;

/** A new holder of whose endpoints one stays silent; it has no label and a quarter of the room. */
const takenOver = (step: Partial<StepSpec> = {}): BatchState => {
  const state = createBatchState(2);
  Object.assign(state, {
    inheritedLeasesEndAtMs: LEASES_END_MS,
    formerOrdersEndAtMs: FORMER_ORDERS_END_MS,
  });
  [FIRST, SECOND].forEach((endpointId) => {
    seeEndpoint(
      state,
      {
        endpointId,
        pool: POOL,
        hostId: null,
        address: '',
        dataCentre: brand('dc'),
        labels: ['fast'],
        capacity: { cpuMillis: 32_000, memoryMb: 32_000, accelerators: 0 },
        isDraining: false,
      },
      0,
    );
  });
  see(state, SILENT);
  expectReports(
    state,
    [FIRST, SECOND, SILENT].map((one) => ({ instanceId: instanceOf(one), pool: POOL })),
  );
  submitJob(state, INHERITED, { step, isInherited: true });
  return state;
};

const keyOf = (index: number) => taskKey(INHERITED, 0, 0, index);

/** An endpoint answers; it lists runs of these tasks that the holder before began. */
const hear = (
  state: BatchState,
  endpointId: EndpointId,
  atMs: number,
  indices: readonly number[] = [],
): void =>
  answer(state, {
    endpointId,
    running: indices.map((index) => ({
      task: keyOf(index),
      run: FORMER_RUN,
      checkpoint: '',
      percent: 100,
      figure: 0,
    })),
    askedAtMs: atMs,
    nowMs: atMs + 1,
  });

const lose = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  removeEndpoint(state, endpointId, { detail: 'host-ordered', atMs: nowMs, nowMs });
  settleGoneEndpoints(state, nowMs);
};

const runningAt = (state: BatchState, endpointId: EndpointId): readonly string[] =>
  Array.from(state.endpoints.get(endpointId)?.runs.keys() ?? []);

describe('an endpoint that has not answered', () => {
  const heardAndScheduled = (step: Partial<StepSpec>): BatchState => {
    const state = takenOver(step);
    [FIRST, SECOND].forEach((endpointId) => hear(state, endpointId, 10));
    scheduleWritten(state, 20);
    return state;
  };

  const isBegun = (state: BatchState): boolean =>
    [FIRST, SECOND].some((endpointId) => runningAt(state, endpointId).length > 0);

  it('holds up inherited tasks that may run there', () => {
    expect(isBegun(heardAndScheduled({}))).toBe(false);
  });

  it('does not hold up those whose label it lacks', () => {
    // One silent endpoint held up all inherited tasks of its pool, also those that it may not run.
    expect(isBegun(heardAndScheduled({ requiredLabel: 'fast' }))).toBe(true);
  });

  it('does not hold up those that need more room than it has', () => {
    expect(isBegun(heardAndScheduled({ cpuMillis: 9000 }))).toBe(true);
  });

  it('holds up all while it is in no list of endpoints', () => {
    const state = takenOver({ requiredLabel: 'fast' });
    expectReports(state, [{ instanceId: instanceOf(brand('i-0000000009')), pool: POOL }]);
    [FIRST, SECOND].forEach((endpointId) => hear(state, endpointId, 10));
    scheduleWritten(state, 20);
    expect(isBegun(state)).toBe(false);
  });
});

describe('an inherited task that was heard to run', () => {
  it('begins elsewhere beside a silent endpoint if no earlier holder could order any more', () => {
    const state = takenOver();
    hear(state, SECOND, FORMER_ORDERS_END_MS);
    hear(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleWritten(state, 200);
    expect(runningAt(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('waits if an earlier holder could order then: it may have begun it there since', () => {
    const state = takenOver();
    hear(state, SECOND, FORMER_ORDERS_END_MS);
    hear(state, FIRST, FORMER_ORDERS_END_MS - 1, [0]);
    lose(state, FIRST, 200);
    scheduleWritten(state, 200);
    expect(runningAt(state, SECOND)).toEqual([]);
    scheduleWritten(state, LEASES_END_MS);
    expect(runningAt(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('does not take others of its step along that were not heard', () => {
    const state = takenOver({ taskCount: 2 });
    hear(state, SECOND, FORMER_ORDERS_END_MS);
    hear(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleWritten(state, 200);
    expect(runningAt(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('waits for all members of its gang', () => {
    const state = takenOver({ taskCount: 2, isGang: true });
    hear(state, SECOND, FORMER_ORDERS_END_MS);
    hear(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleWritten(state, 200);
    expect(runningAt(state, SECOND)).toEqual([]);
  });
});

describe('an endpoint that only the list of hosts has named', () => {
  const HOST = brand<HostId>('h-9');
  const UNSEEN = brand<InstanceId>('i-0000000009');

  /** A later reading of the list has its host with this endpoint; tells whether inherited tasks still wait for it. */
  const isAwaitedAfter = (
    instanceId: InstanceId | null,
    { soleUntilMs = Infinity, isSeen = false } = {},
  ): boolean => {
    const state = takenOver();
    expectReports(state, [{ instanceId: UNSEEN, pool: POOL }]);
    if (isSeen) see(state, brand(UNSEEN));
    Object.assign(state, { soleHolderUntilMs: soleUntilMs });
    const expected = [{ instanceId: UNSEEN, hostId: HOST }];
    dropUnseenReports(state, expected, new Map([[HOST, { instanceId }]]), 50);
    return state.pools.get(POOL)?.notReported.has(UNSEEN) === true;
  };

  it('is waited for while its host has it', () => {
    expect(isAwaitedAfter(UNSEEN)).toBe(true);
  });

  it('is not waited for once its host has none, or another', () => {
    expect(isAwaitedAfter(null)).toBe(false);
    expect(isAwaitedAfter(brand('i-0000000010'))).toBe(false);
  });

  it('is waited for by a holder that may have been replaced: the next one may have heard what ran there', () => {
    expect(isAwaitedAfter(null, { soleUntilMs: 40 })).toBe(true);
  });

  it('is waited for if it was seen since: its end is settled with what ran there', () => {
    expect(isAwaitedAfter(null, { isSeen: true })).toBe(true);
  });
});
