/** How a holder handles a job that its forecast refuses. */
import type { AdmissionControl, ForecastRefusal } from '@valvelatch/core/batch';
import { brand, type JobId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { batchKey } from '../keys.js';
import type { BatchTable } from '../ports.js';
import type { LiveRow } from './accept-queue.js';
import { createJobAdmission } from './job-admission.js';
import { createJobRowLookup } from './job-row-lookup.js';

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

type Scenario = { readonly hasJobRow: boolean | undefined; readonly refusesAgain?: boolean };

const createAdmissionWith = ({ hasJobRow, refusesAgain = true }: Scenario) => {
  const events: string[] = [];
  const holderState = { isAnswering: true };
  let evaluations = 0;
  const admission = {
    evaluate: () => {
      evaluations += 1;
      return evaluations === 1 || refusesAgain ? refusal : undefined;
    },
    addPending: () => events.push('admitted'),
    removePending: () => events.push('settled'),
    recordRefusal: () => events.push('refused'),
  } as unknown as AdmissionControl;
  const accept = createJobAdmission({
    admission,
    memory: {
      findShortage: () => undefined,
      addPending: () => {},
      removePending: () => {},
      recordRefusal: () => {},
    },
    write: async () => {
      events.push('written');
      return { kind: 'committed', version: 3 };
    },
    hasRow: async () => hasJobRow,
    isHolder: () => holderState.isAnswering,
    log,
    metrics: createMetrics(),
    nowMs: () => 0,
  });
  return { accept, events, holderState };
};

describe('a job that a forecast refuses', () => {
  it('is refused before anything is written, with Retry-After', async () => {
    const { accept, events } = createAdmissionWith({ hasJobRow: false });
    expect(await accept(row)).toEqual({
      kind: 'refused',
      detail:
        'the job, beyond the weight of its account is forecast to be done in 9.0 s, and has 3.0 s',
      retryAfterS: 9,
    });
    expect(events).toEqual(['refused']);
  });

  it('is not refused if it has a row that another entry wrote while it could not reach this holder', async () => {
    const { accept, events } = createAdmissionWith({ hasJobRow: true });
    expect(await accept(row)).toEqual({ kind: 'conflict' });
    expect(events).toEqual([]);
  });

  it('is written if the table does not tell whether it has a row', async () => {
    const { accept, events } = createAdmissionWith({ hasJobRow: undefined });
    expect(await accept(row)).toEqual({ kind: 'committed', version: 3 });
    expect(events).toEqual(['admitted', 'written', 'settled']);
  });

  it('is written if another attempt was admitted during the lookup of its row', async () => {
    const { accept, events } = createAdmissionWith({ hasJobRow: false, refusesAgain: false });
    expect(await accept(row)).toEqual({ kind: 'committed', version: 3 });
    expect(events).toEqual(['admitted', 'written', 'settled']);
  });

  it('is not decided by an entry that lost control during the lookup', async () => {
    const { accept, events, holderState } = createAdmissionWith({ hasJobRow: false });
    holderState.isAnswering = false;
    expect(await accept(row)).toBeUndefined();
    expect(events).toEqual([]);
  });
});

describe('row lookups for jobs that are refused at the same time', () => {
  const idOf = (number: number): JobId => brand<JobId>(number.toString(16).padStart(16, '0'));

  it('share one read per hundred jobs', async () => {
    const readSizes: number[] = [];
    const hasRow = createJobRowLookup({
      read: async (keys) => {
        readSizes.push(keys.length);
        const value = { kind: 'ended' };
        return Ok([{ key: batchKey.job(idOf(7)), value, version: 5 }]);
      },
    });
    const found = await Promise.all(Array.from({ length: 150 }, (_, index) => hasRow(idOf(index))));
    expect(readSizes).toEqual([100, 50]);
    expect(
      found.map((hasJobRow, index) => (hasJobRow ? index : -1)).filter((one) => one >= 0),
    ).toEqual([7]);
  });

  it('resolve to undefined if the table fails', async () => {
    const read = async () => Err({ kind: 'unreachable', detail: '503' });
    const hasRow = createJobRowLookup({ read } as unknown as Pick<BatchTable, 'read'>);
    expect(await hasRow(JOB)).toBeUndefined();
  });
});
