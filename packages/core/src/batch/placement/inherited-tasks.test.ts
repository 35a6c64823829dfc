/** Which endpoints that have not reported to a new holder block inherited tasks, and which do not. */
import { describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import {
  brand,
  type EndpointId,
  type HostId,
  type InstanceId,
  type JobId,
} from '../../shared/ids.js';
import {
  dropUnlistedPendingReports,
  addPendingReports,
  upsertEndpoint,
} from '../endpoints/endpoints.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import type { EndpointReport } from '../endpoints/endpoint-report.js';
import { isSchedulable } from '../endpoints/schedulable-endpoints.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import { taskKey, type StepSpec } from '../model/job.js';
import { createBatchState, type BatchState } from '../model/state.js';
import {
  applyAnswer,
  FIRST,
  POOL,
  scheduleAfterWrites,
  SECOND,
  addEndpoint,
  submitJob,
} from '../testing/batch-state.fixtures.js';

const INHERITED = brand<JobId>('00000000000000bb');
const SILENT = brand<EndpointId>('i-0000000003');
const FORMER_ORDERS_END_MS = 100;
const LEASES_END_MS = 9000;
/** The number of the run that the earlier holder started. */
const FORMER_RUN = 1001;

/**
 * Builds the state of a new holder. One of its three endpoints stays silent; that one has no label and a quarter of the
 * capacity.
 */
const createInheritedState = (step: Partial<StepSpec> = {}): BatchState => {
  const state = createBatchState(2);
  Object.assign(state, {
    inheritedLeasesEndAtMs: LEASES_END_MS,
    formerOrdersEndAtMs: FORMER_ORDERS_END_MS,
  });
  [FIRST, SECOND].forEach((endpointId) => {
    upsertEndpoint(
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
  addEndpoint(state, SILENT);
  addPendingReports(
    state,
    [FIRST, SECOND, SILENT].map((one) => ({ instanceId: instanceIdOf(one), pool: POOL })),
  );
  submitJob(state, INHERITED, { step, isInherited: true });
  return state;
};

const keyOf = (index: number) => taskKey(INHERITED, 0, 0, index);

/** Applies a report of an endpoint that lists runs of these tasks, started by the earlier holder. */
const report = (
  state: BatchState,
  endpointId: EndpointId,
  atMs: number,
  indices: readonly number[] = [],
): void =>
  applyAnswer(state, {
    endpointId,
    running: indices.map((index) => ({
      task: keyOf(index),
      run: FORMER_RUN,
      checkpoint: '',
      percent: 100,
      figure: 0,
    })),
    requestedAtMs: atMs,
    nowMs: atMs + 1,
  });

const lose = (state: BatchState, endpointId: EndpointId, nowMs: number): void => {
  removeEndpoint(state, endpointId, { detail: 'host-ordered', atMs: nowMs, nowMs });
  giveUpRunsOfGoneEndpoints(state, nowMs);
};

const runningOn = (state: BatchState, endpointId: EndpointId): readonly string[] =>
  Array.from(state.endpoints.get(endpointId)?.runs.keys() ?? []);

describe('an endpoint that has not reported', () => {
  const reportedAndScheduled = (step: Partial<StepSpec>): BatchState => {
    const state = createInheritedState(step);
    [FIRST, SECOND].forEach((endpointId) => report(state, endpointId, 10));
    scheduleAfterWrites(state, 20);
    return state;
  };

  const isAnyStarted = (state: BatchState): boolean =>
    [FIRST, SECOND].some((endpointId) => runningOn(state, endpointId).length > 0);

  it('blocks inherited tasks that may run there', () => {
    expect(isAnyStarted(reportedAndScheduled({}))).toBe(false);
  });

  it('does not block inherited tasks that require a label it lacks', () => {
    // Guards against one silent endpoint blocking all inherited tasks of its pool, including those that it may not run.
    expect(isAnyStarted(reportedAndScheduled({ requiredLabel: 'fast' }))).toBe(true);
  });

  it('does not block inherited tasks that need more capacity than it has', () => {
    expect(isAnyStarted(reportedAndScheduled({ cpuMillis: 9000 }))).toBe(true);
  });

  it('blocks all inherited tasks while it is in no endpoint list', () => {
    const state = createInheritedState({ requiredLabel: 'fast' });
    addPendingReports(state, [{ instanceId: instanceIdOf(brand('i-0000000009')), pool: POOL }]);
    [FIRST, SECOND].forEach((endpointId) => report(state, endpointId, 10));
    scheduleAfterWrites(state, 20);
    expect(isAnyStarted(state)).toBe(false);
  });
});

describe('an endpoint whose list leaves out ended runs', () => {
  /** All endpoints have answered, one of them with an incomplete list; its lease goes on until 20 s. */
  const stateWithIncompleteList = (
    gaps: Pick<EndpointReport, 'hasMoreEnds' | 'hasUnreadableRows'>,
    step: Partial<StepSpec> = {},
  ): BatchState => {
    const state = createInheritedState(step);
    [FIRST, SECOND].forEach((endpointId) => report(state, endpointId, 10));
    applyAnswer(state, { endpointId: SILENT, ...gaps, requestedAtMs: 10, nowMs: 11 });
    const endpoint = state.endpoints.get(SILENT);
    if (endpoint) change(endpoint, { leaseEndsAtMs: 20_000 });
    return state;
  };

  const isStartedAt = (state: BatchState, nowMs: number): boolean => {
    scheduleAfterWrites(state, nowMs);
    return [FIRST, SECOND, SILENT].some((endpointId) => runningOn(state, endpointId).length > 0);
  };

  it('blocks inherited tasks that may have ended there until it has listed all ends', () => {
    const state = stateWithIncompleteList({ hasMoreEnds: true });
    expect(isStartedAt(state, 20)).toBe(false);
    report(state, SILENT, 30);
    expect(isStartedAt(state, 40)).toBe(true);
  });

  it('blocks them while its lease goes on, although leases of earlier holders are over', () => {
    // Guards against a store that takes no ends for so long that the endpoint cannot go on with its list.
    const state = stateWithIncompleteList({ hasMoreEnds: true });
    expect(isStartedAt(state, LEASES_END_MS + 1)).toBe(false);
    expect(isStartedAt(state, 19_999)).toBe(false);
    expect(isStartedAt(state, 20_000)).toBe(true);
  });

  it('blocks them although it was in no list when this holder took over', () => {
    const state = stateWithIncompleteList({ hasMoreEnds: false });
    const late = brand<EndpointId>('i-0000000008');
    addEndpoint(state, late);
    applyAnswer(state, { endpointId: late, hasMoreEnds: true, requestedAtMs: 12, nowMs: 13 });
    const endpoint = state.endpoints.get(late);
    if (endpoint) change(endpoint, { leaseEndsAtMs: 20_000 });
    expect(isStartedAt(state, 20)).toBe(false);
  });

  it('blocks no inherited task that it cannot have run, and no task of a new job', () => {
    const state = stateWithIncompleteList({ hasMoreEnds: true }, { requiredLabel: 'fast' });
    submitJob(state, brand<JobId>('00000000000000cc'), {});
    expect(isStartedAt(state, 20)).toBe(true);
    expect(state.jobs.get(INHERITED)?.phase).toBe('running');
    expect(state.jobs.get(brand<JobId>('00000000000000cc'))?.phase).toBe('running');
  });

  it('blocks a task that failed elsewhere, since further failures may be among these ends', () => {
    const state = stateWithIncompleteList({ hasMoreEnds: true });
    report(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    const end = {
      number: 1,
      task: keyOf(0),
      run: FORMER_RUN,
      kind: 'failed' as const,
      checkpoint: '',
    };
    const ended = [end];
    applyAnswer(state, { endpointId: FIRST, ended, requestedAtMs: 200, nowMs: 201 });
    expect(isStartedAt(state, 210)).toBe(false);
    report(state, SILENT, 220);
    expect(isStartedAt(state, 230)).toBe(true);
  });

  it('stays in use itself', () => {
    const state = stateWithIncompleteList({ hasMoreEnds: true });
    const endpoint = state.endpoints.get(SILENT);
    expect(endpoint && isSchedulable(state, endpoint, 20)).toBe(true);
  });

  it('blocks inherited tasks only as long as a silent one if it is never readable, and stays in use', () => {
    const gaps = { hasMoreEnds: true, hasUnreadableRows: true };
    const state = stateWithIncompleteList(gaps);
    expect(isStartedAt(state, LEASES_END_MS - 1)).toBe(false);
    applyAnswer(state, { endpointId: SILENT, ...gaps, requestedAtMs: 8000, nowMs: 8001 });
    expect(isStartedAt(state, LEASES_END_MS)).toBe(true);
    const endpoint = state.endpoints.get(SILENT);
    expect(endpoint && isSchedulable(state, endpoint, LEASES_END_MS)).toBe(true);
  });
});

describe('an inherited task that an endpoint reported as running', () => {
  it('starts elsewhere despite a silent endpoint if no earlier holder could send orders at the time of the report', () => {
    const state = createInheritedState();
    report(state, SECOND, FORMER_ORDERS_END_MS);
    report(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleAfterWrites(state, 200);
    expect(runningOn(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('waits if an earlier holder could still send orders then, since it may have started the task there afterwards', () => {
    const state = createInheritedState();
    report(state, SECOND, FORMER_ORDERS_END_MS);
    report(state, FIRST, FORMER_ORDERS_END_MS - 1, [0]);
    lose(state, FIRST, 200);
    scheduleAfterWrites(state, 200);
    expect(runningOn(state, SECOND)).toEqual([]);
    scheduleAfterWrites(state, LEASES_END_MS);
    expect(runningOn(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('does not let other tasks of its step start that were not reported', () => {
    const state = createInheritedState({ taskCount: 2 });
    report(state, SECOND, FORMER_ORDERS_END_MS);
    report(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleAfterWrites(state, 200);
    expect(runningOn(state, SECOND)).toEqual([keyOf(0)]);
  });

  it('waits until all tasks of its gang were reported', () => {
    const state = createInheritedState({ taskCount: 2, isGang: true });
    report(state, SECOND, FORMER_ORDERS_END_MS);
    report(state, FIRST, FORMER_ORDERS_END_MS, [0]);
    lose(state, FIRST, 200);
    scheduleAfterWrites(state, 200);
    expect(runningOn(state, SECOND)).toEqual([]);
  });
});

describe('an endpoint that is named only by the host list', () => {
  const HOST = brand<HostId>('h-9');
  const UNSEEN = brand<InstanceId>('i-0000000009');

  /**
   * Applies a later host list in which the host has the given endpoint. Tells whether inherited tasks still wait for
   * the report of the endpoint that the first list named.
   */
  const isAwaitedAfter = (
    instanceId: InstanceId | null,
    { soleUntilMs = Infinity, isSeen = false } = {},
  ): boolean => {
    const state = createInheritedState();
    addPendingReports(state, [{ instanceId: UNSEEN, pool: POOL }]);
    if (isSeen) addEndpoint(state, brand(UNSEEN));
    Object.assign(state, { soleHolderUntilMs: soleUntilMs });
    const expected = [{ instanceId: UNSEEN, hostId: HOST }];
    dropUnlistedPendingReports(state, expected, new Map([[HOST, { instanceId }]]), 50);
    return state.pools.get(POOL)?.unreportedInstances.has(UNSEEN) === true;
  };

  it('is waited for while its host still has it', () => {
    expect(isAwaitedAfter(UNSEEN)).toBe(true);
  });

  it('is not waited for once its host has no endpoint or another one', () => {
    expect(isAwaitedAfter(null)).toBe(false);
    expect(isAwaitedAfter(brand('i-0000000010'))).toBe(false);
  });

  it('is waited for by a holder that may have been replaced, since the next holder may know what ran there', () => {
    expect(isAwaitedAfter(null, { soleUntilMs: 40 })).toBe(true);
  });

  it('is waited for if it was seen since, because its runs are given up when it is found gone', () => {
    expect(isAwaitedAfter(null, { isSeen: true })).toBe(true);
  });
});
