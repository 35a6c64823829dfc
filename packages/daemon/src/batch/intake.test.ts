/** Jobs that an entry writes itself, because the holder of control cannot. */
import type { BatchJob, QueueView } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../observe/metrics.js';
import { createIntake, type ControlView } from './intake.js';
import type { AcceptOutcome } from './job-saver.js';
import type { RelayedTable } from './relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

const queue: QueueView = {
  name: brand('q'),
  hostName: 'h',
  pathPrefix: '/q/',
  pool: brand('p'),
  timeoutMs: 3000,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
};

const job = {
  jobId: brand('00000000000000aa'),
  queue: queue.name,
  pool: queue.pool,
  spec: '',
  steps: [{ taskCount: 1, cpuMillis: 1, memoryMb: 1, accelerators: 0, estimateMs: 1, after: [] }],
  repeats: 0,
  firstDueAtMs: 0,
  intervalMs: 0,
  acceptedAtMs: 0,
} as unknown as BatchJob;

const intakeWith = (outcome: AcceptOutcome, isServed: boolean) => {
  const told: number[] = [];
  const control = {
    accept: async () => outcome,
    tellTaken: (_, version) => told.push(version),
  } as Partial<ControlView> as ControlView;
  const submit = async () =>
    isServed
      ? Ok({ kind: 'committed', version: 12 } as const)
      : Err({ kind: 'unreachable', detail: '503' } as const);
  const intake = createIntake({
    table: { isServed: () => isServed } as unknown as RelayedTable,
    group: { submit },
    control,
    log,
    metrics: createMetrics(),
  });
  return { intake, told };
};

describe('a job that the holder cannot write', () => {
  it('is written here and told to the holder, whose own reading may be turned away', async () => {
    // A hunt: 34 jobs waited, and the holder, turned away by the store, counted one (MIXED).
    const { intake, told } = intakeWith({ kind: 'away' }, true);
    expect(await intake.submit(queue, job)).toEqual({ kind: 'accepted' });
    expect(told).toEqual([12]);
  });

  it('is refused as not run at once where this entry is turned away too', async () => {
    const { intake, told } = intakeWith({ kind: 'away' }, false);
    const answer = await intake.submit(queue, job);
    expect(answer).toMatchObject({ kind: 'refused', verdict: 'notRun', status: 503 });
    expect(told).toEqual([]);
  });
});
