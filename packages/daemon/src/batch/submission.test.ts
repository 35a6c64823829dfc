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
import type { GroupCommit } from '@valvelatch/platform';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import type { AcceptOutcome, LiveRow } from './job-saver.js';
import { createSubmission, type Written } from './submission.js';

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
    const submit: GroupCommit['submit'] = async () => {
      sentAtMs.push(sinceStartMs());
      const answer = table[Math.min(writes, table.length - 1)];
      writes += 1;
      return answer === 'committed'
        ? Ok({ kind: 'committed', version: 7 })
        : Err({ kind: 'unreachable', detail: '503' });
    };
    const submission = createSubmission({
      table: { isServed: () => true, silentForMs: silentMs },
      group: { submit },
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
