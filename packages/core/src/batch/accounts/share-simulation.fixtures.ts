/**
 * Simulates a pool under load from client accounts in fixed time steps and counts what each account completes in time.
 */
import { brand, type AccountName, type EndpointId, type JobId } from '../../shared/ids.js';
import { NO_LIMIT } from '../model/capacity.js';
import { applyAnswer, POOL, addEndpoint } from '../testing/batch-state.fixtures.js';
import type { TaskKey } from '../model/job.js';
import { addJob } from '../jobs/job-lifecycle.js';
import type { QueueOrder } from '../model/queue-order.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import { setAccounts } from './quota.js';
import type { EndedRunReport } from '../endpoints/endpoint-report.js';
import { schedulePool } from '../placement/schedule.js';
import { createBatchState, removeEffects } from '../model/state.js';

const STEP_MS = 20;
const RUN_MS = 500;
const TASKS_PER_JOB = 4;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };
const OBJECTIVE_MS = POLICY.stretch * RUN_MS + POLICY.targetLatencyMs;

/** An account with its weight and the rate at which it submits jobs. */
export type SimulatedAccount = {
  readonly name: AccountName;
  readonly weight: number;
  readonly jobsPerS: number;
};

/** What a simulation runs. */
export type ShareSimulation = {
  readonly queueOrder: QueueOrder;
  readonly accounts: readonly SimulatedAccount[];
  /** The number of endpoints; each runs eight tasks at once. */
  readonly endpoints: number;
  readonly durationMs: number;
};

/** Creates a random generator with a fixed seed, so that each simulation is repeatable. */
const createRandom = (): (() => number) => {
  let state = 7;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

/**
 * Simulates a load.
 *
 * @param play - The order of the queue, the accounts, the endpoints and the duration.
 * @returns For each account the number of jobs completed in time, relative to the jobs within its share.
 */
export const simulateShares = ({
  queueOrder,
  accounts,
  endpoints,
  durationMs,
}: ShareSimulation): ReadonlyMap<AccountName, number> => {
  const state = createBatchState(2);
  state.queueOrder = queueOrder;
  const limits = accounts.map(({ name, weight }) => [name, { weight, maximum: NO_LIMIT }] as const);
  setAccounts(state, new Map(limits));
  const ids = Array.from({ length: endpoints }, (_, index) => brand<EndpointId>(`i-${index}`));
  ids.forEach((endpointId) => addEndpoint(state, endpointId));
  const random = createRandom();
  const submissions = new Map<JobId, { readonly name: AccountName; readonly atMs: number }>();
  const inTime = new Map<AccountName, number>();
  const ends: {
    readonly endpointId: EndpointId;
    readonly atMs: number;
    readonly end: EndedRunReport;
  }[] = [];
  let jobs = 0;

  const submit = ({ name }: SimulatedAccount, nowMs: number): void => {
    jobs += 1;
    const jobId = brand<JobId>(jobs.toString(16).padStart(16, '0'));
    submissions.set(jobId, { name, atMs: nowMs });
    addJob(state, {
      job: {
        jobId,
        queue: brand('q'),
        pool: POOL,
        spec: '',
        steps: [{ ...DEFAULT_STEP, taskCount: TASKS_PER_JOB, estimateMs: RUN_MS }],
        repeats: 0,
        firstDueAtMs: 0,
        intervalMs: 0,
        acceptedAtMs: nowMs,
        owner: { account: name, maximum: NO_LIMIT },
      },
      policy: POLICY,
      nowMs,
      wallClockMs: nowMs,
    });
  };

  const scheduleEnd = (endpointId: EndpointId, task: TaskKey, run: number, nowMs: number): void => {
    const end = { number: ends.length + 1, task, run, kind: 'done' as const, checkpoint: '' };
    ends.push({ endpointId, atMs: nowMs + RUN_MS, end });
  };

  const countCompleted = (nowMs: number): void =>
    state.jobs.forEach((job, jobId) => {
      if (job.phase !== 'completed') return;
      const { name, atMs } = submissions.get(jobId) ?? { name: undefined, atMs: 0 };
      if (name && nowMs - atMs <= OBJECTIVE_MS) inTime.set(name, (inTime.get(name) ?? 0) + 1);
      state.jobs.delete(jobId);
    });

  // Runs on for one objective, so that the jobs submitted last can complete in time, too.
  for (let nowMs = 0; nowMs < durationMs + OBJECTIVE_MS; nowMs += STEP_MS) {
    accounts.forEach((account) => {
      const isArrival = random() < (account.jobsPerS * STEP_MS) / 1000;
      if (isArrival && nowMs < durationMs) submit(account, nowMs);
    });
    ids.forEach((endpointId) => {
      const due = ends.filter((entry) => entry.endpointId === endpointId && entry.atMs === nowMs);
      applyAnswer(state, { endpointId, ended: due.map(({ end }) => end), requestedAtMs: 0, nowMs });
    });
    countCompleted(nowMs);
    schedulePool(state, POOL, nowMs);
    removeEffects(state).forEach((effect) => {
      if (effect.kind === 'start') scheduleEnd(effect.endpointId, effect.task, effect.run, nowMs);
    });
  }
  const jobsWithinShareOf = ({ name, weight }: SimulatedAccount): number => {
    const submitted = Array.from(submissions.values()).filter((entry) => entry.name === name);
    return Math.min(submitted.length, (weight * durationMs) / 1000);
  };
  return new Map(
    accounts.map((account) => [
      account.name,
      (inTime.get(account.name) ?? 0) / Math.max(1, jobsWithinShareOf(account)),
    ]),
  );
};
