/**
 * The story. A client was refused with 503 "not run", and 70 ms later its job began: a caller that
 * believes the refusal has submitted elsewhere by then and has its work done twice. The entry was
 * between two tries when both its ways fell silent; the client was answered by what had been sent up
 * to then, nothing; and the next try went out all the same, since it looked whether the client had its
 * answer before its pause and not after it.
 *
 * The evidence. With a table and a holder of our own, twice out of twice: sent at 0 and 150 ms, told
 * "not run" at 100 ms; and for a write that was turned away first, sent at 0 and 262 ms, told at 100.
 */
import { hasWritePath, type BatchJob } from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';
import { createGroupCommit, type GroupCommit } from '@valvelatch/platform/group-commit';
import fc from 'fast-check';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { Written } from './attempt.js';
import type { AcceptOutcome, LiveRow } from './job-saver.js';
import type { BatchTable } from '../ports.js';
import { createSubmission } from './submission.js';

const SILENT_FROM_MS = 60;
const CLIENT_MS = 2400;

const row = {
  kind: 'live',
  job: { jobId: brand('00000000000000aa') } as BatchJob,
  policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
} as LiveRow;

describe('a submission whose ways fall silent between two tries', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  type World = {
    /** What the holder says to each question in turn; the last answer stays. */
    readonly holder: readonly (AcceptOutcome | undefined)[];
    readonly table: readonly ('turned-away' | 'committed')[];
  };

  /** Both ways are silent from a moment on, for long enough that the client has its answer. */
  const play = async ({ holder, table }: World) => {
    const startedAtMs = performance.now();
    const sinceStartMs = (): number => Math.round(performance.now() - startedAtMs);
    const silentMs = (): number => (sinceStartMs() < SILENT_FROM_MS ? 0 : 10_000);
    const sentAtMs: number[] = [];
    let questions = 0;
    let writes = 0;
    const transact: BatchTable['transact'] = async () => {
      sentAtMs.push(sinceStartMs());
      const answer = table[Math.min(writes, table.length - 1)];
      writes += 1;
      return answer === 'committed'
        ? Ok({ kind: 'committed', version: 7 })
        : Err({ kind: 'unreachable', detail: '503' });
    };
    const submission = createSubmission({
      table: { isServed: () => true, silentForMs: silentMs },
      group: createGroupCommit({ table: { transact } }),
      control: {
        holderSilentMs: silentMs,
        accept: async () => {
          const answer = holder[Math.min(questions, holder.length - 1)];
          questions += 1;
          if (answer !== undefined) sentAtMs.push(sinceStartMs());
          return answer;
        },
        tellTaken: () => undefined,
      },
      nowMs: () => performance.now(),
    });
    let told: { readonly written: Written; readonly atMs: number } | undefined;
    void submission.submit(row, startedAtMs + CLIENT_MS).then((written) => {
      told = { written, atMs: sinceStartMs() };
    });
    await vi.advanceTimersByTimeAsync(10_000);
    expect(hasWritePath({ tableSilentMs: silentMs(), holderSilentMs: silentMs() })).toBe(false);
    return { told, sentAtMs };
  };

  it('is not handed to a holder that is found after its client was told that it is not run', async () => {
    const { told, sentAtMs } = await play({
      holder: [undefined, { kind: 'committed', version: 7 }],
      table: ['committed'],
    });
    expect(told?.written.kind).toBe('unreachable');
    expect(sentAtMs.filter((atMs) => atMs > (told?.atMs ?? 0))).toEqual([]);
  });

  it('is not written again after its client was told that it is not run', async () => {
    const { told, sentAtMs } = await play({
      holder: [{ kind: 'away' }],
      table: ['turned-away', 'committed'],
    });
    expect(told?.written.kind).toBe('unreachable');
    expect(sentAtMs.filter((atMs) => atMs > (told?.atMs ?? 0))).toEqual([]);
  });
});

describe('the first submission after an outage of the table', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('is taken within 10 ms of its return', async () => {
    const startedAtMs = performance.now();
    const backAtMs = startedAtMs + 3000;
    const silentMs = (): number => (performance.now() < backAtMs ? 10_000 : 0);
    const submission = createSubmission({
      table: { isServed: () => true, silentForMs: silentMs },
      group: createGroupCommit({
        table: { transact: async () => Ok({ kind: 'committed', version: 7 }) },
      }),
      control: {
        holderSilentMs: () => Infinity,
        accept: async () => ({ kind: 'away' }),
        tellTaken: () => undefined,
      },
      nowMs: () => performance.now(),
    });
    const takenAtMs: number[] = [];
    const client = setInterval(() => {
      void submission.submit(row, performance.now() + CLIENT_MS).then(({ kind }) => {
        if (kind === 'committed') takenAtMs.push(performance.now());
      });
    }, 5);
    await vi.advanceTimersByTimeAsync(4000);
    clearInterval(client);
    expect((takenAtMs[0] ?? Infinity) - backAtMs).toBeLessThanOrEqual(10);
  });
});

describe('a submission under any order of answers, losses, silences and pauses', () => {
  /** What a call leads to: its answer, and whether the job is written all the same. */
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

  it('ends, sends nothing after "not run", and says that only of a job that is not written', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(fc.constantFrom(...holderCalls), { minLength: 1, maxLength: 8 }),
        fc.array(fc.constantFrom(...tableCalls), { minLength: 1, maxLength: 8 }),
        fc.array(fc.boolean(), { maxLength: 6 }),
        async (scheduler, holder, table, silences) => {
          let nowMs = 0;
          let isSilent = false;
          let effects = 0;
          let lateSends = 0;
          let told: Written | undefined;
          const step = (label: string) => scheduler.schedule(Promise.resolve(), label);
          const isNotRun = (): boolean => told !== undefined && NOT_RUN.has(told.kind);

          const make = async <Answer>(calls: readonly Call<Answer>[], index: number) => {
            const { answer, isWritten } = calls[Math.min(index, calls.length - 1)] as Call<Answer>;
            if (isNotRun()) lateSends += 1;
            await step('effect');
            if (isWritten) effects += 1;
            await step('answer');
            return answer;
          };

          const play = async (index: number): Promise<void> => {
            if (index >= silences.length) return;
            await step('silence');
            isSilent = silences[index] ?? false;
            await play(index + 1);
          };

          let questions = 0;
          let writes = 0;
          const silentMs = (): number => (isSilent ? 10_000 : 0);
          const submission = createSubmission({
            table: { isServed: () => true, silentForMs: silentMs },
            group: {
              submit: async (_, leave = () => true) => {
                await step('line');
                if (!leave()) return Err({ kind: 'unreachable', detail: 'withdrawn' });
                writes += 1;
                return make(table, writes - 1);
              },
            },
            control: {
              holderSilentMs: silentMs,
              accept: () => {
                questions += 1;
                return make(holder, questions - 1);
              },
              tellTaken: () => undefined,
            },
            nowMs: () => nowMs,
            pause: async (ms) => {
              await step('pause');
              nowMs += ms;
            },
          });
          void play(0);
          const asked = submission.submit(row, CLIENT_MS).then((answer) => {
            told = answer;
          });
          await scheduler.waitFor(asked);
          await scheduler.waitIdle();
          expect(told).toBeDefined();
          expect(lateSends).toBe(0);
          if (isNotRun()) expect(effects).toBe(0);
        },
      ),
      { numRuns: Number(process.env.VALVELATCH_FUZZ_RUNS ?? 300) },
    );
  });
});
