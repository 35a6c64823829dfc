/** What follows from the end of an endpoint's life, and when. */
import { describe, expect, it } from 'vitest';

import { brand, type EndpointId, type JobId, type PoolName } from '../shared/ids.js';
import { expectReports, seeEndpoint } from './endpoints.js';
import { removeEndpoint, settleGoneEndpoints } from './gone-endpoints.js';
import type { BatchJob, StepSpec } from './job.js';
import { takeInJob } from './jobs.js';
import { applyReport } from './reports.js';
import { endpointsOf, schedulePool } from './schedule.js';
import { createBatchState, takeEffects, type BatchState, type Task } from './state.js';

const JOB = brand<JobId>('00000000000000aa');
const POOL = brand<PoolName>('alpha');
const FIRST = brand<EndpointId>('first');
const SECOND = brand<EndpointId>('second');
/** Until then the holder of these tests is surely the only one. */
const SOLE_UNTIL_MS = 2400;

const step: StepSpec = {
  taskCount: 1,
  cpuMillis: 1000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isGang: false,
  isRackLocal: false,
  requiredLabel: '',
  nearRack: '',
  mostPerEndpoint: 0,
  isSpeculative: false,
  isLasting: false,
  mayMiss: 0,
  image: '',
  targetMs: 0,
  fillsGaps: false,
  savesProgress: false,
};

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: POOL,
  spec: '',
  steps: [step],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

const see = (state: BatchState, endpointId: EndpointId, nowMs = 0): void => {
  seeEndpoint(
    state,
    {
      endpointId,
      pool: POOL,
      hostId: null,
      address: '',
      dataCentre: '',
      labels: [],
      capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      isDraining: false,
    },
    nowMs,
  );
};

const answer = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  applyReport(state, endpointId, {
    running: [],
    ended: [],
    hasMoreEnds: false,
    askedAtMs: nowMs - 1,
    nowMs,
  });

const stateWith = ({ isInherited = false } = {}): BatchState => {
  const state = createBatchState(2);
  state.soleHolderUntilMs = SOLE_UNTIL_MS;
  const policy = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
  takeInJob(state, { job, policy, nowMs: 0, todayMs: 0, isInherited });
  return state;
};

const taskOf = (state: BatchState): Task => {
  const task = state.jobs.get(JOB)?.occurrences.get(0)?.steps[0]?.tasks[0];
  if (!task) throw new Error('there is no task');
  return task;
};

const lose = (state: BatchState, endpointId: EndpointId, nowMs: number): void =>
  removeEndpoint(state, endpointId, { detail: 'host-list', atMs: nowMs - 50, nowMs });

const cycle = (state: BatchState, nowMs: number): void => {
  settleGoneEndpoints(state, nowMs);
  schedulePool(state, POOL, nowMs);
};

describe('an endpoint that is gone', () => {
  /** A task was started on the first of two endpoints. */
  const running = (): BatchState => {
    const state = stateWith();
    see(state, FIRST);
    answer(state, FIRST, 10);
    cycle(state, 20);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
    see(state, SECOND);
    answer(state, SECOND, 30);
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
        {
          event: 'run-ended',
          fields: { cause: 'endpoint-gone', detail: 'host-list', evidenceAgeMs: 3050 },
        },
      ]);
    });

    it('keeps inherited tasks waiting that may have run there', () => {
      const state = stateWith({ isInherited: true });
      see(state, FIRST);
      see(state, SECOND);
      expectReports(state, [
        { endpointId: FIRST, pool: POOL },
        { endpointId: SECOND, pool: POOL },
      ]);
      answer(state, SECOND, 30);
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
    answer(state, FIRST, SOLE_UNTIL_MS + 200);
    cycle(state, SOLE_UNTIL_MS + 200);
    expect(endpointsOf(state, taskOf(state))).toEqual([]);
    state.soleHolderUntilMs = SOLE_UNTIL_MS + 3000;
    cycle(state, SOLE_UNTIL_MS + 300);
    expect(endpointsOf(state, taskOf(state))).toEqual([FIRST]);
  });
});
