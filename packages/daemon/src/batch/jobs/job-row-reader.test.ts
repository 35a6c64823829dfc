/** Rows of jobs whose read is answered late, when the holder that asked has been replaced. */
import { createBatchState, createJobMemory, type BatchJob } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { EndedJobs } from './ended-jobs.js';
import { createJobRowReader } from './job-row-reader.js';
import { batchKey } from '../keys.js';
import type { SimFleet } from '../testing/sim-fleet.fixtures.js';
import { SIM_QUEUE_POLICY } from '../testing/sim-environment.fixtures.js';
import {
  advanceTime,
  FAKED_TIMERS,
  requireHolder,
  createStartedFleet,
} from '../testing/virtual-time.fixtures.js';

const JOB = brand<JobId>('00000000000000aa');

const job: BatchJob = {
  jobId: JOB,
  queue: brand('q'),
  pool: brand('alpha'),
  spec: '',
  steps: [],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
};

describe('rows of jobs that are read late', () => {
  const setUp = () => {
    const state = createBatchState(1);
    const term = { isSoleHolder: true };
    let answer: () => void = () => undefined;
    const rows = createJobRowReader({
      state,
      table: {
        feed: () => ({
          next: () =>
            new Promise((resolve) => {
              answer = () =>
                resolve(
                  Ok([
                    {
                      key: batchKey.job(JOB),
                      value: { kind: 'live', job, policy: SIM_QUEUE_POLICY },
                      version: 1,
                    },
                  ]),
                );
            }),
        }),
      },
      versions: new Map(),
      ended: { has: () => false, add: () => undefined } as unknown as EndedJobs,
      cancellations: { apply: () => undefined, applyEarlier: () => undefined },
      memory: createJobMemory({ state, boundBytes: Infinity }),
      configuration: () => undefined,
      isSoleHolder: () => term.isSoleHolder,
      isStopped: () => false,
      requestScheduling: () => undefined,
      log: {
        debug: () => undefined,
        info: () => undefined,
        warn: () => undefined,
        error: () => undefined,
      },
      metrics: createMetrics(),
      nowMs: () => 0,
      wallClockMs: () => 0,
    });
    return { state, term, rows, answer: () => answer() };
  };

  it('are applied if no other entry can be the holder', async () => {
    const { state, rows, answer } = setUp();
    const followed = rows.applyChanges();
    answer();
    await followed;
    expect(state.jobs.has(JOB)).toBe(true);
  });

  it('are not applied once another entry may be the holder and may have accepted the job', async () => {
    const { state, term, rows, answer } = setUp();
    const followed = rows.applyChanges();
    term.isSoleHolder = false;
    answer();
    await followed;
    expect(state.jobs.has(JOB)).toBe(false);
  });
});

describe('a job that the next holder accepted', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Delay of the feed's answers; just below the 900 ms after which a read of rows times out. */
  const FEED_MS = 880;

  const runScenario = async (cutAfterMs: number): Promise<SimFleet> => {
    vi.useRealTimers();
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
    const fleet = await createStartedFleet({ hostsPerPool: 2, tickMs: 100 });
    await advanceTime(cutAfterMs);
    const formerHolder = requireHolder(fleet);
    const others = fleet.entries.filter((one) => one !== formerHolder);
    // Half of the endpoints of the pool can be reached only by the first holder.
    const [reachable] = Array.from(fleet.endpoints.values()).filter(({ pool }) => pool === 'alpha');
    Object.assign(formerHolder, { isCutFromTable: true, isSilent: true, feedMs: FEED_MS });
    fleet.endpoints.forEach(({ instanceId }) => {
      if (instanceId !== reachable?.instanceId) formerHolder.unreachableEndpoints.add(instanceId);
      else others.forEach(({ unreachableEndpoints }) => unreachableEndpoints.add(instanceId));
    });
    while (!others.some(({ control }) => control.term())) await advanceTime(5);
    // By then the next holder has read the rows; it starts jobs that are accepted later at once.
    await advanceTime(20);
    fleet.submit({ pool: 'alpha', steps: [{}], runMs: 5000 });
    await advanceTime(1000);
    Object.assign(formerHolder, { isCutFromTable: false, isSilent: false });
    await advanceTime(12_000);
    return fleet;
  };

  it('is not started by the previous holder, whose read of rows was answered late', async () => {
    const violations: string[] = [];
    for (let cutAfterMs = 0; cutAfterMs < 2000; cutAfterMs += 40) {
      const fleet = await runScenario(cutAfterMs);
      violations.push(
        ...fleet.violations.slice(0, 1).map((text) => `cut after ${cutAfterMs} ms: ${text}`),
      );
    }
    expect(violations).toEqual([]);
  }, 120_000);
});
