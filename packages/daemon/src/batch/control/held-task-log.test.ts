/** The log line about tasks that do not begin although an endpoint has capacity for them. */
import {
  addJob,
  applyReport,
  createBatchState,
  DEFAULT_STEP,
  schedulePool,
  upsertEndpoint,
  type BatchState,
} from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import { beforeEach, describe, expect, it } from 'vitest';

import { createHeldTaskLog } from './held-task-log.js';

const POOL = brand<PoolName>('alpha');
const ENDPOINT = brand<EndpointId>('i-1');
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

describe('the log of held tasks', () => {
  let state: BatchState;
  let nowMs: number;
  let lines: Readonly<Record<string, unknown>>[];
  let logHeldTasks: () => void;

  beforeEach(() => {
    state = createBatchState(2);
    nowMs = 0;
    lines = [];
    const log = {
      debug: () => undefined,
      info: () => undefined,
      warn: (_: string, fields = {}) => lines.push(fields),
      error: () => undefined,
    };
    logHeldTasks = createHeldTaskLog({ state, log, nowMs: () => nowMs });
    const dataCentre = brand<DataCentreId>('north');
    const description = { endpointId: ENDPOINT, pool: POOL, hostId: null, address: '', dataCentre };
    const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
    upsertEndpoint(state, { ...description, labels: [], capacity, isDraining: false }, 0);
    const report = { running: [], ended: [], hasMoreEnds: false, requestedAtMs: 0, nowMs: 0 };
    applyReport(state, ENDPOINT, report);
  });

  const submit = (number: number): void => {
    const job = {
      jobId: brand<JobId>(`${number}`.padStart(16, '0')),
      queue: brand<never>('q'),
      pool: POOL,
      spec: '',
      steps: [DEFAULT_STEP],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
    };
    addJob(state, { job, policy: POLICY, nowMs, wallClockMs: 0 });
  };

  const logEachSecond = (seconds: number): void =>
    Array.from({ length: seconds }).forEach(() => {
      logHeldTasks();
      nowMs += 1000;
    });

  it('names a task that has waited for seconds, with what it waits for', () => {
    submit(1);
    logEachSecond(3);
    expect(lines).toEqual([]);
    logEachSecond(1);
    expect(lines).toEqual([{ tasks: 1, named: '0000000000000001.0.0.0: order for 3000 ms' }]);
  });

  it('names the run and the endpoint that hold a task', () => {
    submit(1);
    schedulePool(state, POOL, nowMs);
    logEachSecond(4);
    expect(lines).toEqual([
      { tasks: 1, named: '0000000000000001.0.0.0 run 2001 on i-1: start-unanswered for 3000 ms' },
    ]);
  });

  it('is one line a second that names five tasks, however many are held', () => {
    Array.from({ length: 30 }).forEach((_, number) => submit(number));
    logEachSecond(5);
    expect(lines.map(({ tasks }) => tasks)).toEqual([30, 30]);
    lines.forEach(({ named }) => expect(String(named).split('; ')).toHaveLength(5));
  });

  it('stays empty while what a task waits for changes', () => {
    submit(1);
    logEachSecond(3);
    schedulePool(state, POOL, nowMs);
    logEachSecond(3);
    expect(lines).toEqual([]);
  });
});
