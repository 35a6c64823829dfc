/** Measures what 2,000 client accounts with 20,000 keys cost an entry and a control holder. */
import { createHash } from 'node:crypto';

import {
  createBatchState,
  indexQueues,
  isWithinQuota,
  DEFAULT_STEP,
  setAccounts,
  addJob,
  type BatchConfiguration,
  type ClientAccount,
  type KeyDigest,
  type StepRun,
} from '@valvelatch/core/batch';
import { brand } from '@valvelatch/core/shared/ids';

import { roundToPrecision, type BenchRow } from '../report.js';

const ACCOUNTS = 2000;
const KEYS_PER_ACCOUNT = 10;
const ROUNDS = 200_000;
const JOBS = 20_000;
const BYTES_PER_MB = 1024 * 1024;
const US_PER_MS = 1000;

const keyOf = (account: number, key: number): string => `key-${account}-${key}`.padEnd(20, 'x');

const digestOf = (key: string): KeyDigest =>
  brand<KeyDigest>(createHash('sha256').update(key).digest('base64'));

const declareAccounts = (): readonly ClientAccount[] =>
  Array.from({ length: ACCOUNTS }, (_, account) => ({
    name: brand(`account-${account}`),
    keyDigests: Array.from({ length: KEYS_PER_ACCOUNT }, (__, key) =>
      digestOf(keyOf(account, key)),
    ),
    priority: 1,
    weight: 10,
    maximum: { cpuMillis: 400_000, memoryMb: 800_000, accelerators: 0 },
  }));

const heapBytes = (): number => {
  global.gc?.();
  return process.memoryUsage().heapUsed;
};

/** Measures the mean time of one call, in microseconds. */
const measureMeanUs = (count: number, act: (index: number) => void): number => {
  const beganAtMs = performance.now();
  for (let index = 0; index < count; index += 1) act(index);
  return roundToPrecision(((performance.now() - beganAtMs) / count) * US_PER_MS);
};

/**
 * Measures the time to check a key, to add a job to its queue and to check a quota, and the memory.
 *
 * @returns One row.
 */
export const benchAccounts = (): readonly BenchRow[] => {
  const before = heapBytes();
  const configuration: BatchConfiguration = {
    version: 1,
    queues: [],
    pools: [],
    accounts: declareAccounts(),
  };
  const index = indexQueues(configuration);
  const memoryMb = roundToPrecision((heapBytes() - before) / BYTES_PER_MB);

  const keyCheckUs = measureMeanUs(ROUNDS, (round) => {
    index.accounts.byKey.get(digestOf(keyOf(round % ACCOUNTS, round % KEYS_PER_ACCOUNT)));
  });

  const state = createBatchState(2);
  setAccounts(state, index.accounts.byName);
  const steps: StepRun[] = [];
  const { accounts } = configuration;
  const admitUs = measureMeanUs(JOBS, (number) => {
    const { name, maximum } = accounts[number % ACCOUNTS] as ClientAccount;
    const job = addJob(state, {
      job: {
        jobId: brand(number.toString(16).padStart(16, '0')),
        queue: brand('q'),
        pool: brand('p'),
        spec: '',
        steps: [DEFAULT_STEP],
        repeats: 0,
        firstDueAtMs: 0,
        intervalMs: 0,
        acceptedAtMs: 0,
        owner: { account: name, maximum },
      },
      policy: { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 },
      nowMs: number,
      wallClockMs: number,
    });
    steps.push(job.occurrences.get(0)?.steps[0] as StepRun);
  });
  const quotaUs = measureMeanUs(ROUNDS, (round) => {
    isWithinQuota(state, steps[round % JOBS] as StepRun);
  });
  return [
    {
      accounts: ACCOUNTS,
      keys: ACCOUNTS * KEYS_PER_ACCOUNT,
      memoryMb,
      keyCheckUs,
      admitUs,
      quotaUs,
    },
  ];
};
