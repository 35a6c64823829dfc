/** What a holder does with a job that its forecast refuses. */
import type { AdmissionControl, ForecastRefusal } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import type { LiveRow } from './accept-queue.js';
import { createJobAdmission } from './job-admission.js';
import { createRowLookup } from './row-lookup.js';

const log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };
const JOB = brand<JobId>('00000000000000aa');
const row = { kind: 'live', job: { jobId: JOB, pool: 'p', queue: 'q' } } as unknown as LiveRow;

const refusal = {
  jobId: JOB,
  queue: 'q',
  account: 'a',
  isOwed: false,
  forecast: { backlogMs: 8000, doneMs: 9000 },
  limitMs: 3000,
  retryAfterMs: 8400,
} as unknown as ForecastRefusal;

type Played = { readonly isThere: boolean | undefined; readonly refusesAgain?: boolean };

const admissionWith = ({ isThere, refusesAgain = true }: Played) => {
  const seen: string[] = [];
  const answering = { is: true };
  let judged = 0;
  const admission = {
    evaluate: () => {
      judged += 1;
      return judged === 1 || refusesAgain ? refusal : undefined;
    },
    addPending: () => seen.push('admitted'),
    removePending: () => seen.push('settled'),
    recordRefusal: () => seen.push('refused'),
  } as unknown as AdmissionControl;
  const accept = createJobAdmission({
    admission,
    write: async () => {
      seen.push('written');
      return { kind: 'committed', version: 3 };
    },
    hasRow: async () => isThere,
    isAnswering: () => answering.is,
    log,
    metrics: createMetrics(),
    nowMs: () => 0,
  });
  return { accept, seen, answering };
};

describe('a job that a forecast refuses', () => {
  it('is refused before anything is written, with a time to come back', async () => {
    const { accept, seen } = admissionWith({ isThere: false });
    expect(await accept(row)).toEqual({
      kind: 'refused',
      detail:
        'the job, beyond the weight of its account is forecast to be done in 9.0 s, and has 3.0 s',
      retryAfterS: 9,
    });
    expect(seen).toEqual(['refused']);
  });

  it('is not refused once it has a row: another entry wrote it while this holder was not heard', async () => {
    const { accept, seen } = admissionWith({ isThere: true });
    expect(await accept(row)).toEqual({ kind: 'conflict' });
    expect(seen).toEqual([]);
  });

  it('is written where the table does not say whether it has a row', async () => {
    const { accept, seen } = admissionWith({ isThere: undefined });
    expect(await accept(row)).toEqual({ kind: 'committed', version: 3 });
    expect(seen).toEqual(['admitted', 'written', 'settled']);
  });

  it('is written where another attempt was admitted while its row was looked for', async () => {
    const { accept, seen } = admissionWith({ isThere: false, refusesAgain: false });
    expect(await accept(row)).toEqual({ kind: 'committed', version: 3 });
    expect(seen).toEqual(['admitted', 'written', 'settled']);
  });

  it('is not decided on by an entry that has lost control meanwhile', async () => {
    const { accept, seen, answering } = admissionWith({ isThere: false });
    answering.is = false;
    expect(await accept(row)).toBeUndefined();
    expect(seen).toEqual([]);
  });
});

describe('the rows of jobs that are refused together', () => {
  const idOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

  it('are looked for in one reading for each hundred', async () => {
    const readings: number[] = [];
    const hasRow = createRowLookup({
      read: async (keys) => {
        readings.push(keys.length);
        const value = { kind: 'ended' };
        return Ok([{ key: batchKey.job(idOf(7)), value, version: 5 }]);
      },
    });
    const found = await Promise.all(Array.from({ length: 150 }, (_, index) => hasRow(idOf(index))));
    expect(readings).toEqual([100, 50]);
    expect(found.map((isThere, index) => (isThere ? index : -1)).filter((one) => one >= 0)).toEqual(
      [7],
    );
  });

  it('are not known where the table fails', async () => {
    const read = async () => Err({ kind: 'unreachable', detail: '503' });
    const hasRow = createRowLookup({ read } as unknown as Pick<BatchTable, 'read'>);
    expect(await hasRow(JOB)).toBeUndefined();
  });
});
