/** Announced starts: what keeps them from being ordered, and what their loss says about the task. */
import { beforeEach, describe, expect, it } from 'vitest';

import { change } from '../../shared/change.js';
import { brand, type AccountName, type EndpointId, type JobId } from '../../shared/ids.js';
import { setAccounts } from '../accounts/quota.js';
import { cancelJob } from '../jobs/job-lifecycle.js';
import { buildProgressRow } from '../jobs/progress.js';
import { removeEndpoint, giveUpRunsOfGoneEndpoints } from '../endpoints/gone-endpoints.js';
import type { JobOwner } from '../model/accounts.js';
import { NO_LIMIT } from '../model/capacity.js';
import type { StepSpec } from '../model/job.js';
import { createBatchState, poolOf, removeEffects, type BatchState } from '../model/state.js';
import {
  addEndpoint,
  applyAnswer,
  FIRST,
  markRowsWritten,
  POOL,
  SECOND,
  submitJob,
} from '../testing/batch-state.fixtures.js';
import { schedulePool } from './schedule.js';

const INHERITED = brand<JobId>('00000000000000c3');
const ENDPOINTS = [FIRST, SECOND];
/** As many tasks as one endpoint holds. */
const TASKS_PER_ENDPOINT = 8;

/** The endpoints that were ordered to start a task since the last call. */
const orderedEndpoints = (state: BatchState): readonly EndpointId[] =>
  removeEffects(state).flatMap((effect) => (effect.kind === 'start' ? [effect.endpointId] : []));

const jobOf = (state: BatchState) => {
  const job = state.jobs.get(INHERITED);
  if (!job) throw new Error('the state does not contain the inherited job');
  return job;
};

const stepOf = (state: BatchState) => {
  const step = jobOf(state).occurrences.get(0)?.steps[0];
  if (!step) throw new Error('the inherited job has no step');
  return step;
};

/** The endpoints with capacity that is reserved for the job's tasks. */
const reservedEndpoints = (state: BatchState): readonly EndpointId[] =>
  ENDPOINTS.filter((endpointId) => (state.endpoints.get(endpointId)?.runs.size ?? 0) > 0);

const OWNER: JobOwner = { account: brand<AccountName>('north'), maximum: NO_LIMIT };

const setMaximum = (state: BatchState, cpuMillis: number): void => {
  const maximum = { ...NO_LIMIT, cpuMillis };
  setAccounts(state, new Map([[OWNER.account, { maximum, weight: 1 }]]));
};

/** Announces the starts of all tasks of an inherited job, in a pool that lost an endpoint before the takeover. */
const announce = (step: Partial<StepSpec> = {}, owner?: JobOwner): BatchState => {
  const state = createBatchState(2);
  ENDPOINTS.forEach((endpointId) => {
    addEndpoint(state, endpointId);
    applyAnswer(state, { endpointId, requestedAtMs: 5, nowMs: 6 });
  });
  poolOf(state, POOL).hadHostDownAtTakeover = true;
  submitJob(state, INHERITED, { step, isInherited: true, owner });
  schedulePool(state, POOL, 10);
  return state;
};

const scheduleWritten = (state: BatchState, nowMs: number): readonly EndpointId[] => {
  markRowsWritten(state);
  schedulePool(state, POOL, nowMs);
  return orderedEndpoints(state);
};

describe('an announced start', () => {
  let state: BatchState;

  beforeEach(() => {
    state = announce();
  });

  it('takes the capacity of its endpoint, and is ordered there once the row names it', () => {
    const [endpointId] = reservedEndpoints(state);
    expect(orderedEndpoints(state)).toEqual([]);
    expect(buildProgressRow(jobOf(state))).toMatchObject({
      0: { 0: { trials: [[0, 2001, endpointId]] } },
    });
    schedulePool(state, POOL, 20);
    expect(orderedEndpoints(state)).toEqual([]);
    expect(scheduleWritten(state, 30)).toEqual([endpointId]);
  });

  it('is ordered although the row has to be written again for later announcements', () => {
    markRowsWritten(state);
    change(jobOf(state), { crashRecordRevision: jobOf(state).crashRecordRevision + 1 });
    schedulePool(state, POOL, 20);
    expect(orderedEndpoints(state)).toHaveLength(1);
  });

  it('is announced for another endpoint if its own one may not take the task any more', () => {
    const [endpointId] = reservedEndpoints(state);
    state.endpoints.forEach((one) => {
      if (one.endpointId === endpointId) change(one, { isCordoned: true });
    });
    expect(scheduleWritten(state, 20)).toEqual([]);
    const other = ENDPOINTS.filter((one) => one !== endpointId);
    expect(reservedEndpoints(state)).toEqual(other);
    expect(scheduleWritten(state, 30)).toEqual(other);
  });

  it('is not ordered while no start may be sent', () => {
    change(state, { startsLeft: 0 });
    expect(scheduleWritten(state, 20)).toEqual([]);
    change(state, { startsLeft: 1 });
    expect(scheduleWritten(state, 30)).toHaveLength(1);
  });

  it('gives the capacity back after 2 s without the write, and is announced again only once the row is written', () => {
    // Guards against a job whose row the table refuses and that keeps its endpoints from all other jobs.
    schedulePool(state, POOL, 2009);
    expect(reservedEndpoints(state)).toHaveLength(1);
    [2010, 2100, 5000].forEach((nowMs) => schedulePool(state, POOL, nowMs));
    expect(reservedEndpoints(state)).toEqual([]);
    expect(scheduleWritten(state, 5100)).toEqual([]);
    expect(scheduleWritten(state, 5200)).toHaveLength(1);
  });

  it('is withdrawn without an order to stop if its job is cancelled', () => {
    cancelJob(state, INHERITED, null);
    expect(removeEffects(state).map(({ kind }) => kind)).not.toContain('stop');
    expect(reservedEndpoints(state)).toEqual([]);
    expect(scheduleWritten(state, 20)).toEqual([]);
  });

  it('is ordered only if the quota of its account allows it by then', () => {
    state = announce({ taskCount: 2 }, OWNER);
    setMaximum(state, 1000);
    expect(scheduleWritten(state, 20)).toHaveLength(1);
    expect(
      stepOf(state)
        .tasks.all()
        .map(({ phase }) => phase),
    ).toEqual(['placed', 'waiting']);
    setMaximum(state, 2000);
    expect(scheduleWritten(state, 30)).toEqual([]);
    expect(scheduleWritten(state, 40)).toHaveLength(1);
  });

  it('counts as no crash if its endpoint is gone before the order', () => {
    // Guards against jobs that are failed although none of their tasks was ever started.
    const [endpointId] = reservedEndpoints(state) as [EndpointId];
    removeEndpoint(state, endpointId, { detail: 'host-list', atMs: 15, nowMs: 20 });
    giveUpRunsOfGoneEndpoints(state, 20);
    expect(stepOf(state).tasks.at(0)).toMatchObject({ phase: 'waiting', crashes: [], trial: null });
    const other = ENDPOINTS.filter((one) => one !== endpointId);
    expect(scheduleWritten(state, 30)).toEqual([]);
    expect(scheduleWritten(state, 40)).toEqual(other);
  });
});

describe('the announced starts of a gang', () => {
  it('are withdrawn together if the quota of their account fell meanwhile', () => {
    const state = announce({ isGang: true, taskCount: 2 }, OWNER);
    setMaximum(state, 1000);
    expect(scheduleWritten(state, 20)).toEqual([]);
    expect(reservedEndpoints(state)).toEqual([]);
  });

  it('are ordered all together or not at all', () => {
    const state = announce({ isGang: true, taskCount: TASKS_PER_ENDPOINT + 1 });
    expect(reservedEndpoints(state)).toEqual(ENDPOINTS);
    removeEndpoint(state, FIRST, { detail: 'host-list', atMs: 15, nowMs: 20 });
    giveUpRunsOfGoneEndpoints(state, 20);
    expect(scheduleWritten(state, 30)).toEqual([]);
    expect(reservedEndpoints(state)).toEqual([]);
    addEndpoint(state, FIRST, 40);
    applyAnswer(state, { endpointId: FIRST, requestedAtMs: 41, nowMs: 42 });
    expect(scheduleWritten(state, 1050)).toEqual([]);
    expect(scheduleWritten(state, 1060)).toHaveLength(TASKS_PER_ENDPOINT + 1);
  });
});
