/** Guards against rows of the product that cannot be read and that free what they guard, or keep a term from starting. */
import {
  createBatchState,
  createHostInventory,
  createJobMemory,
  type BatchJob,
} from '@valvelatch/core/batch';
import { brand, type EntryId, type HostId, type JobId } from '@valvelatch/core/shared/ids';
import type { TableClient } from '@valvelatch/platform';
import { Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createLeaseManager } from '../../leases/lease-manager.js';
import { createLog } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import { isEntryRow } from '../entry/peers.js';
import { createWaveTracker } from '../hosts/wave-tracker.js';
import type { EndedJobs } from '../jobs/ended-jobs.js';
import { createJobRowReader, type JobRowChanges } from '../jobs/job-row-reader.js';
import { batchKey } from '../keys.js';
import { UNREADABLE_VALUE } from '../ports.js';
import { SIM_QUEUE_POLICY } from '../testing/sim-environment.fixtures.js';
import { createDemandHistoryStore } from './demand-history-store.js';
import { acquireGuard } from './guard.js';

const ODD_VALUES: readonly unknown[] = [
  UNREADABLE_VALUE,
  7,
  'text',
  [],
  {},
  { kind: 'live' },
  { kind: 'ended' },
  { epoch: '1', fence: '1', holder: 'a', renewals: 0, done: 7 },
  { epoch: 1e300, fence: 1e300, holder: 7, renewals: null, done: [7] },
  { holder: null, epoch: 3, renewals: 1, idleMs: 'long', earlierMs: 'long' },
  { onsets: [null], heights: [['x', 'y']], runTimes: 7 },
];

const log = createLog({ sink: () => undefined });

const tableOf = (value: unknown) => {
  const writes: unknown[] = [];
  const table = {
    read: async ([key = '']: readonly string[]) => Ok([{ key, value, version: 5 }]),
    transact: async (transaction: unknown) => {
      writes.push(transaction);
      return Ok({ kind: 'committed', version: 6 } as const);
    },
  };
  return { table: table as unknown as TableClient, writes };
};

describe.each(ODD_VALUES)('a row with the value %j', (value) => {
  it('of the lease is neither taken over nor overwritten, however long it stands', async () => {
    const { table, writes } = tableOf(value);
    const clock = { nowMs: 0 };
    let alarms = 0;
    const manager = createLeaseManager({
      table,
      name: 'control',
      self: brand<EntryId>('one'),
      durationMs: 1000,
      onUnreadableRow: () => {
        alarms += 1;
      },
      nowMs: () => clock.nowMs,
    });
    for (; clock.nowMs < 60_000; clock.nowMs += 500) await manager.tick();
    expect(writes).toEqual([]);
    expect(manager.holds()).toBe(false);
    expect(alarms).toBe(120);
  });

  it('of the guard is left as it is, since a later holder may have written it', async () => {
    const { table, writes } = tableOf(value);
    expect(await acquireGuard(table as never, 3)).toEqual({ kind: 'unreadable' });
    expect(writes).toEqual([]);
  });

  it('of the demand history does not keep a term from starting', async () => {
    const state = createBatchState(2);
    const times = { nowMs: () => 5, wallClockMs: () => 5 };
    const { table } = tableOf(value);
    await createDemandHistoryStore({ table, state, log, ...times }).restore();
    expect(state.runTimes.byKind.size).toBe(0);
  });

  it('of a wave lets none of its hosts go down, since some may have been maintained already', async () => {
    const { table, writes } = tableOf(value);
    const tracker = createWaveTracker({
      platform: { table, hosts: { reportWave: async () => Ok(undefined) } } as never,
      fenceCheck: { key: 'fence/control', version: 1 },
      knownHosts: () => ({ inventory: createHostInventory(), downMs: 1000 }),
      log,
      nowMs: () => 5,
      wallClockMs: () => 5,
    });
    const request = { waveNumber: 1, hosts: [brand<HostId>('m-1')], withinMs: 1000, maximum: 1 };
    tracker.add([{ request, firstSeenAtMs: 0 }]);
    await tracker.sync();
    expect(tracker.waves()).toEqual([]);
    expect(writes).toEqual([]);
  });

  it('of an entry names nobody who can be asked', () => {
    expect(isEntryRow(value)).toBe(false);
  });
});

describe('the rows of jobs at the start of a term', () => {
  const jobOf = (jobId: string): BatchJob => ({
    jobId: brand<JobId>(jobId),
    queue: brand('q'),
    pool: brand('alpha'),
    spec: '',
    steps: [],
    repeats: 0,
    firstDueAtMs: 0,
    intervalMs: 0,
    acceptedAtMs: 0,
  });

  const rowOf = (jobId: string) => ({
    key: batchKey.job(jobId),
    value: { kind: 'live', job: jobOf(jobId), policy: SIM_QUEUE_POLICY },
    version: 1,
  });

  const restore = (changes: JobRowChanges) => {
    const state = createBatchState(1);
    const ended: string[] = [];
    const metrics = createMetrics();
    createJobRowReader({
      state,
      table: { feed: () => ({ next: async () => Ok([]) }) },
      versions: new Map(),
      ended: {
        has: () => false,
        add: (jobId: string) => ended.push(jobId),
      } as unknown as EndedJobs,
      cancellations: { apply: () => undefined, applyEarlier: () => undefined },
      memory: createJobMemory({ state, boundBytes: Infinity }),
      configuration: () => undefined,
      isSoleHolder: () => true,
      isStopped: () => false,
      requestScheduling: () => undefined,
      log,
      metrics,
      nowMs: () => 0,
      wallClockMs: () => 0,
    }).restore([changes]);
    return { jobs: Array.from(state.jobs.keys()), ended, metrics };
  };

  const A = '00000000000000aa';
  const B = '00000000000000bb';
  const C = '00000000000000cc';

  it.each([...ODD_VALUES, rowOf(C).value, { ...rowOf(B).value, job: { jobId: B, steps: [null] } }])(
    'restore the others beside the value %j',
    (value) => {
      const odd = { key: batchKey.job(B), value, version: 1 };
      const { jobs, ended, metrics } = restore({ jobs: [rowOf(A), odd, rowOf(C)], progress: [] });
      expect(jobs).toEqual([A, C]);
      expect(ended).toEqual([]);
      expect(metrics.text()).toContain('own_rows_unreadable_total 1');
    },
  );

  it.each([UNREADABLE_VALUE, 7, 'text', [], { 0: 7 }, { 0: { 0: null } }])(
    'do not restore a job from its beginning whose progress is %j',
    (value) => {
      const progress = [{ key: batchKey.progress(B), value, version: 1 }];
      const { jobs } = restore({ jobs: [rowOf(A), rowOf(B), rowOf(C)], progress });
      expect(jobs).toEqual([A, C]);
    },
  );
});
