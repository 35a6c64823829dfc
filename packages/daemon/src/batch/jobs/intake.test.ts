/** What submissions are answered where the holder of control, the table or both do not answer. */
import { chooseRetryAfterS, type BatchJob, type DeclaredQueue } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import type { ControlView } from './control-view.js';
import { createIntake } from './intake.js';
import type { AcceptOutcome } from './job-saver.js';
import type { RelayedTable } from '../relays/relayed-table.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

const queue: DeclaredQueue = {
  name: brand('q'),
  hostName: 'h',
  pathPrefix: '/q/',
  pool: brand('p'),
  timeoutMs: 3000,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
  isOpenToAll: true,
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
  const silence = { tableMs: 0, holderMs: 0 };
  const told: number[] = [];
  const returning: string[] = [];
  const control = {
    accept: async () => outcome,
    holderSilentMs: () => silence.holderMs,
    tellTaken: (_, version) => told.push(version),
  } as Partial<ControlView> as ControlView;
  const submit = async () =>
    isServed
      ? Ok({ kind: 'committed', version: 12 } as const)
      : Err({ kind: 'unreachable', detail: '503' } as const);
  const intake = createIntake({
    table: {
      isServed: () => isServed,
      silentForMs: () => silence.tableMs,
    } as unknown as RelayedTable,
    group: { submit },
    control,
    onRefused: (jobId) => returning.push(jobId),
    log,
    metrics: createMetrics(),
  });
  return { intake, told, returning };
};

describe('a job that the holder cannot write', () => {
  it('is written here and told to the holder, whose own reading may be turned away', async () => {
    // Without it the holder starts and counts such a job only after its next reading: 34 waited, 1
    // was counted.
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

describe('a job that the holder refuses by its forecast', () => {
  const refused = { kind: 'refused', detail: 'the job is late', retryAfterS: 7 } as const;

  it('is answered as not run, with the time to come back, and is not written here', async () => {
    const { intake, told } = intakeWith(refused, true);
    expect(await intake.submit(queue, job)).toEqual({
      kind: 'refused',
      status: 503,
      verdict: 'notRun',
      reason: 'overloaded',
      detail: 'the job is late',
      retryAfterS: 7,
    });
    expect(told).toEqual([]);
  });

  it('is told as refused, so that its time runs from the first attempt', async () => {
    const { intake, returning } = intakeWith(refused, true);
    await intake.submit(queue, job);
    expect(returning).toEqual([job.jobId]);
  });
});

describe('a submission while neither the table nor the holder answers', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** An entry whose table and holder answer nothing from a moment on. */
  const cutOffEntry = (silentFromMs: number) => {
    const sent: string[] = [];
    const silentMs = () => Math.max(0, performance.now() - silentFromMs);
    const intake = createIntake({
      table: { isServed: () => false, silentForMs: silentMs } as unknown as RelayedTable,
      group: {
        submit: () => {
          sent.push('table');
          return new Promise(() => {});
        },
      },
      control: {
        holderSilentMs: silentMs,
        accept: () => {
          sent.push('holder');
          return new Promise(() => {});
        },
      } as Partial<ControlView> as ControlView,
      log,
      metrics: createMetrics(),
      random: () => 0,
    });
    const submit = async () => {
      const askedAtMs = performance.now();
      const answer = await intake.submit(queue, job, 3000);
      return { answer, tookMs: performance.now() - askedAtMs };
    };
    return { intake, sent, submit };
  };

  it('is refused as not run before anything is sent, with a time to come back', async () => {
    const { intake, sent, submit } = cutOffEntry(performance.now() - 1800);
    const { answer, tookMs } = await submit();
    expect(answer).toMatchObject({ verdict: 'notRun', status: 503, retryAfterS: 2 });
    expect(tookMs).toBe(0);
    expect(sent).toEqual([]);
    expect(intake.canTake()).toBe(false);
  });

  it('that was sent before is answered as unknown once they are silent, not at its end', async () => {
    // Held to 0.8 of the client's time before: 2.4 s of 3 s; the client could have come back.
    const { sent, submit } = cutOffEntry(performance.now() + 100);
    const asked = submit();
    await vi.advanceTimersByTimeAsync(1200);
    const { answer, tookMs } = await asked;
    expect(answer).toMatchObject({ verdict: 'mayHaveRun', status: 504 });
    expect(tookMs).toBeLessThanOrEqual(1000);
    expect(sent).toEqual(['holder']);
  });
});

describe('the time after which refused clients come back', () => {
  it('grows with the outage, so that four tries outlast one of 6 s', () => {
    const backAtMs = [0, 1, 2, 3].reduce(
      (awayMs) => awayMs + 1000 * chooseRetryAfterS(awayMs, 0),
      600,
    );
    expect(chooseRetryAfterS(600, 0)).toBe(1);
    expect(backAtMs).toBeGreaterThan(6000);
  });

  it('differs between clients of one moment of a long outage', () => {
    expect([0, 0.9].map((chance) => chooseRetryAfterS(2000, chance))).toEqual([2, 3]);
  });
});
