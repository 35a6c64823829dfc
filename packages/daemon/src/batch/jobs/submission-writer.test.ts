/**
 * Guards against sending a job after its client was refused with 503 "not run": the job started 70 ms
 * after the refusal, so a client that had submitted it elsewhere would have had its work done twice.
 *
 * The failure occurs when both the table and the holder become unavailable while the entry pauses between
 * two attempts. Nothing had been sent by then, so the client was told "not run", but the next attempt was
 * sent anyway because it checked for the client's answer before its pause and not after it. In both of two
 * runs with simulated peers, the holder was called at 0 and 150 ms although the client was told "not run"
 * at 100 ms. A write that the table refused first was sent at 0 and 262 ms, also with the answer at 100 ms.
 */
import { hasWritePath, type BatchJob } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { createGroupCommit, type GroupCommit } from '@valvelatch/platform/group-commit';
import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { RowWriteOutcome } from './attempt.js';
import type { AcceptOutcome, LiveRow } from './job-saver.js';
import type { BatchTable } from '../ports.js';
import { createSubmissionWriter } from './submission-writer.js';

const UNAVAILABLE_FROM_MS = 60;
const CLIENT_TIMEOUT_MS = 2400;

const row = {
  kind: 'live',
  job: { jobId: brand('00000000000000aa') } as BatchJob,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
} as LiveRow;

describe('a submission while the table and the holder become unavailable between two attempts', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  type Scenario = {
    /** The holder's answers to successive calls; the last one is repeated. */
    readonly holder: readonly (AcceptOutcome | undefined)[];
    readonly table: readonly ('turned-away' | 'committed')[];
  };

  /** The table and the holder become unavailable at `UNAVAILABLE_FROM_MS`, until after the client was answered. */
  const runScenario = async ({ holder, table }: Scenario) => {
    const startedAtMs = performance.now();
    const sinceStartMs = (): number => Math.round(performance.now() - startedAtMs);
    const silentMs = (): number => (sinceStartMs() < UNAVAILABLE_FROM_MS ? 0 : 10_000);
    const sentAtMs: number[] = [];
    let holderCallCount = 0;
    let writes = 0;
    const transact: BatchTable['transact'] = async () => {
      sentAtMs.push(sinceStartMs());
      const answer = table[Math.min(writes, table.length - 1)];
      writes += 1;
      return answer === 'committed'
        ? Ok({ kind: 'committed', version: 7 })
        : Err({ kind: 'unreachable', detail: '503' });
    };
    const submission = createSubmissionWriter({
      table: { isDirectRouteUp: () => true, unansweredForMs: silentMs },
      groupCommit: createGroupCommit({ table: { transact } }),
      control: {
        holderSilentMs: silentMs,
        accept: async () => {
          const answer = holder[Math.min(holderCallCount, holder.length - 1)];
          holderCallCount += 1;
          if (answer !== undefined) sentAtMs.push(sinceStartMs());
          return answer;
        },
        notifyAccepted: () => undefined,
      },
      nowMs: () => performance.now(),
    });
    let clientAnswer: { readonly written: RowWriteOutcome; readonly atMs: number } | undefined;
    void submission.submit(row, startedAtMs + CLIENT_TIMEOUT_MS).then((written) => {
      clientAnswer = { written, atMs: sinceStartMs() };
    });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(hasWritePath({ tableSilentMs: silentMs(), holderSilentMs: silentMs() })).toBe(false);
    return { clientAnswer, sentAtMs };
  };

  it('is not sent to a holder that is found after the client was told "not run"', async () => {
    const { clientAnswer, sentAtMs } = await runScenario({
      holder: [undefined, { kind: 'committed', version: 7 }],
      table: ['committed'],
    });
    expect(clientAnswer?.written.kind).toBe('unreachable');
    expect(sentAtMs.filter((atMs) => atMs > (clientAnswer?.atMs ?? 0))).toEqual([]);
  });

  it('is not written after the client was told "not run"', async () => {
    const { clientAnswer, sentAtMs } = await runScenario({
      holder: [{ kind: 'away' }],
      table: ['turned-away', 'committed'],
    });
    expect(clientAnswer?.written.kind).toBe('unreachable');
    expect(sentAtMs.filter((atMs) => atMs > (clientAnswer?.atMs ?? 0))).toEqual([]);
  });
});

describe('the first submission after an outage of the table', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is accepted within 10 ms of its return', async () => {
    const startedAtMs = performance.now();
    const backAtMs = startedAtMs + 3000;
    const silentMs = (): number => (performance.now() < backAtMs ? 10_000 : 0);
    const submission = createSubmissionWriter({
      table: { isDirectRouteUp: () => true, unansweredForMs: silentMs },
      groupCommit: createGroupCommit({
        table: { transact: async () => Ok({ kind: 'committed', version: 7 }) },
      }),
      control: {
        holderSilentMs: () => Infinity,
        accept: async () => ({ kind: 'away' }),
        notifyAccepted: () => undefined,
      },
      nowMs: () => performance.now(),
    });
    const takenAtMs: number[] = [];
    const client = setInterval(() => {
      void submission.submit(row, performance.now() + CLIENT_TIMEOUT_MS).then(({ kind }) => {
        if (kind === 'committed') takenAtMs.push(performance.now());
      });
    }, 5);
    await vi.advanceTimersByTimeAsync(4000);
    clearInterval(client);
    expect((takenAtMs[0] ?? Infinity) - backAtMs).toBeLessThanOrEqual(10);
  });
});

describe('a submission under any order of answers, lost answers, outages and pauses', () => {
  /** The result of a call: its answer, and whether the job is written regardless of that answer. */
  type Call<Answer> = { readonly answer: Answer; readonly isWritten: boolean };

  type TableAnswer = Awaited<ReturnType<GroupCommit['submit']>>;

  const written = <Answer>(answer: Answer): Call<Answer> => ({ answer, isWritten: true });
  const notWritten = <Answer>(answer: Answer): Call<Answer> => ({ answer, isWritten: false });

  const holderCalls: readonly Call<AcceptOutcome | undefined>[] = [
    written({ kind: 'committed', version: 1 }),
    written({ kind: 'unheard' }),
    notWritten({ kind: 'unheard' }),
    notWritten({ kind: 'away' }),
    notWritten({ kind: 'full' }),
    notWritten(undefined),
    notWritten(undefined),
  ];
  const tableCalls: readonly Call<TableAnswer>[] = [
    written(Ok({ kind: 'committed', version: 1 })),
    written(Err({ kind: 'unknown', detail: 'lost after its effect' })),
    notWritten(Err({ kind: 'unknown', detail: 'lost before its effect' })),
    notWritten(Err({ kind: 'unreachable', detail: '503' })),
    notWritten(Err({ kind: 'unreachable', detail: '429' })),
  ];

  const NOT_RUN: ReadonlySet<string> = new Set(['unreachable', 'full']);

  it('ends, sends nothing after "not run", and answers "not run" only for a job that is not written', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(fc.constantFrom(...holderCalls), { minLength: 1, maxLength: 8 }),
        fc.array(fc.constantFrom(...tableCalls), { minLength: 1, maxLength: 8 }),
        fc.array(fc.boolean(), { maxLength: 6 }),
        async (scheduler, holder, table, outages) => {
          let nowMs = 0;
          let isUnavailable = false;
          let effects = 0;
          let lateSends = 0;
          let clientAnswer: RowWriteOutcome | undefined;
          const step = (label: string) => scheduler.schedule(Promise.resolve(), label);
          const isNotRun = (): boolean =>
            clientAnswer !== undefined && NOT_RUN.has(clientAnswer.kind);

          const performCall = async <Answer>(calls: readonly Call<Answer>[], index: number) => {
            const { answer, isWritten } = calls[Math.min(index, calls.length - 1)] as Call<Answer>;
            if (isNotRun()) lateSends += 1;
            await step('effect');
            if (isWritten) effects += 1;
            await step('answer');
            return answer;
          };

          const applyOutages = async (index: number): Promise<void> => {
            if (index >= outages.length) return;
            await step('silence');
            isUnavailable = outages[index] ?? false;
            await applyOutages(index + 1);
          };

          let holderCallCount = 0;
          let writes = 0;
          const silentMs = (): number => (isUnavailable ? 10_000 : 0);
          const submission = createSubmissionWriter({
            table: { isDirectRouteUp: () => true, unansweredForMs: silentMs },
            groupCommit: {
              submit: async (_, leave = () => true) => {
                await step('line');
                if (!leave()) return Err({ kind: 'unreachable', detail: 'withdrawn' });
                writes += 1;
                return performCall(table, writes - 1);
              },
            },
            control: {
              holderSilentMs: silentMs,
              accept: () => {
                holderCallCount += 1;
                return performCall(holder, holderCallCount - 1);
              },
              notifyAccepted: () => undefined,
            },
            nowMs: () => nowMs,
            pause: async (ms) => {
              await step('pause');
              nowMs += ms;
            },
          });
          void applyOutages(0);
          const submitted = submission.submit(row, CLIENT_TIMEOUT_MS).then((answer) => {
            clientAnswer = answer;
          });
          await scheduler.waitFor(submitted);
          await scheduler.waitIdle();
          expect(clientAnswer).toBeDefined();
          expect(lateSends).toBe(0);
          if (isNotRun()) expect(effects).toBe(0);
        },
      ),
      { numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 300) },
    );
  });
});
