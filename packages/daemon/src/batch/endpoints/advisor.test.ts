/** Guards against questions that are given up while the advice service works on them, and asked again and again. */
import {
  addJob,
  createBatchState,
  DEFAULT_STEP,
  endJob,
  requestAdvice,
  removeEffects,
  upsertEndpoint,
  type AdviceQuestion,
  type BatchJob,
  type EndpointDescription,
  type JobState,
  type StepRun,
} from '@valvelatch/core/batch';
import { brand, type DataCentreId, type EndpointId, type JobId } from '@valvelatch/core/shared/ids';
import { Err, Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../../observe/metrics.js';
import { SILENT_LOG } from '../testing/silent-log.fixtures.js';
import { advanceTime, FAKED_TIMERS } from '../testing/virtual-time.fixtures.js';
import { createAdvisor } from './advisor.js';

const ENDPOINTS = Array.from({ length: 8 }, (_, index) => brand<EndpointId>(`i-${index}`));
const VALID_MS = 600_000;
/** The timeout of a caller that names none. */
const DEFAULT_TIMEOUT_MS = 4000;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600, needsAdvice: true };

type AdviceTimes = { readonly decideMs: number; readonly eachMs: number };
type Behaviour = 'skips-hung-up' | 'works-on' | 'silent' | 'refuses';

type PlayOptions = {
  readonly behaviour?: Behaviour;
  /** How much longer the service takes than the queue declares. */
  readonly slowness?: number;
};

/** Plays an advice service that answers one question at a time, in turn, and an advisor that asks it. */
const createPlay = ({ behaviour = 'skips-hung-up', slowness = 1 }: PlayOptions = {}) => {
  const state = createBatchState(1);
  const service = { behaviour, questions: 0, finished: [] as JobId[] };
  const timesOf = new Map<JobId, AdviceTimes>();
  let lastCall: Promise<void> = Promise.resolve();
  let jobs = 0;

  const pause = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    });

  const decide = async (question: AdviceQuestion, call: { isHungUp: boolean }): Promise<void> => {
    if (call.isHungUp && service.behaviour === 'skips-hung-up') return;
    const { decideMs, eachMs } = timesOf.get(question.jobId) as AdviceTimes;
    await pause((decideMs + eachMs * question.endpoints.length) * slowness);
    service.finished.push(question.jobId);
  };

  const ask = async (question: AdviceQuestion, timeoutMs = DEFAULT_TIMEOUT_MS) => {
    service.questions += 1;
    if (service.behaviour === 'refuses') return Err({ kind: 'unreachable' as const, detail: '' });
    const call = { isHungUp: false };
    const isSilent = service.behaviour === 'silent';
    const turn = lastCall.then(() => (isSilent ? undefined : decide(question, call)));
    if (!isSilent) lastCall = turn;
    const answered = isSilent ? new Promise<never>(() => {}) : turn.then(() => true);
    const isAnswered = await Promise.race([answered, pause(timeoutMs).then(() => false)]);
    call.isHungUp = !isAnswered;
    if (!isAnswered) return Err({ kind: 'unknown' as const, detail: 'no answer' });
    return Ok({ good: question.endpoints.map((id) => [id, 'ticket'] as const), validMs: VALID_MS });
  };

  const nowMs = (): number => performance.now();
  const advisor = createAdvisor({
    state,
    port: { ask },
    log: SILENT_LOG,
    metrics: createMetrics(),
    nowMs,
    requestScheduling: () => undefined,
  });

  ENDPOINTS.forEach((endpointId) => {
    const description: EndpointDescription = {
      endpointId,
      pool: brand('p'),
      hostId: null,
      address: endpointId,
      dataCentre: brand<DataCentreId>('dc'),
      labels: [],
      capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      isDraining: false,
    };
    upsertEndpoint(state, description, 0);
  });

  const stepOf = (job: JobState): StepRun => job.occurrences.get(0)?.steps[0] as StepRun;

  /** Adds a job whose only step needs advice on all endpoints. */
  const submit = (adviceTimes: AdviceTimes, queue = 'q'): JobState => {
    jobs += 1;
    const jobId = brand<JobId>(`job-${jobs}`);
    timesOf.set(jobId, adviceTimes);
    const job: BatchJob = {
      jobId,
      queue: brand(queue),
      pool: brand('p'),
      spec: '',
      steps: [{ ...DEFAULT_STEP, taskCount: 200, cpuMillis: 1000 }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
    };
    const policy = { ...POLICY, adviceTimes };
    return addJob(state, { job, policy, nowMs: nowMs(), wallClockMs: Date.now() });
  };

  /** Has the steps of live jobs ask as long as they have no ticket, as a scheduling cycle does. */
  const schedule = (): void => {
    const endpoints = Array.from(state.endpoints.values());
    state.jobs.forEach((job) => requestAdvice(state, stepOf(job), endpoints, nowMs()));
    removeEffects(state).forEach((effect) => {
      if (effect.kind === 'advise') advisor.ask(effect);
    });
  };

  const run = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      schedule();
      await advanceTime(100);
    }
  };

  const hasTickets = (job: JobState): boolean => (stepOf(job).advice?.tickets.size ?? 0) > 0;

  return { state, service, submit, run, hasTickets };
};

const LONG = { decideMs: 2000, eachMs: 20 };
const LONG_MS = 2000 + 20 * ENDPOINTS.length;
const SHORT = { decideMs: 100, eachMs: 0 };

describe('questions to the advice service', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...FAKED_TIMERS] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe('that take the time that their queue declares', () => {
    it.each<Behaviour>(['skips-hung-up', 'works-on'])(
      'are all answered, one after the other, by a service that %s',
      async (behaviour) => {
        const play = createPlay({ behaviour });
        const jobs = Array.from({ length: 6 }, () => play.submit(LONG));
        await play.run(6 * LONG_MS + 1000);
        expect(jobs.map(play.hasTickets)).toEqual(jobs.map(() => true));
        expect(play.service.questions).toBe(6);
      },
    );

    it('are answered if each alone takes longer than any usual call', async () => {
      const play = createPlay();
      const jobs = Array.from({ length: 4 }, () => play.submit({ decideMs: 4500, eachMs: 20 }));
      await play.run(4 * 4700 + 1000);
      expect(jobs.map(play.hasTickets)).toEqual(jobs.map(() => true));
    });
  });

  it.each<Behaviour>(['skips-hung-up', 'works-on'])(
    'are answered at last by a service that takes five times as long as declared and %s',
    async (behaviour) => {
      const play = createPlay({ behaviour, slowness: 5 });
      const jobs = Array.from({ length: 3 }, () => play.submit(LONG));
      await play.run(120_000);
      expect(jobs.map(play.hasTickets)).toEqual(jobs.map(() => true));
    },
  );

  describe('of several queues', () => {
    it('wait for one question of another queue at most', async () => {
      const play = createPlay();
      Array.from({ length: 6 }, () => play.submit(LONG, 'long'));
      await play.run(500);
      const short = Array.from({ length: 3 }, () => play.submit(SHORT, 'short'));
      await play.run(2 * LONG_MS);
      expect(short.map(play.hasTickets)).toEqual([true, true, true]);
    });

    it('do not keep a queue with long ones from its turn', async () => {
      const play = createPlay();
      const long = play.submit(LONG, 'long');
      Array.from({ length: 100 }, () => play.submit(SHORT, 'short'));
      await play.run(2 * LONG_MS + 1000);
      expect(play.hasTickets(long)).toBe(true);
    });
  });

  it('are not asked for jobs that have ended meanwhile', async () => {
    const play = createPlay();
    const jobs = Array.from({ length: 6 }, () => play.submit(LONG));
    await play.run(500);
    jobs.slice(1, 5).forEach((job) => endJob(play.state, job, 'cancelled', ''));
    await play.run(2 * LONG_MS + 1000);
    expect(play.service.finished).toEqual([jobs[0]?.job.jobId, jobs[5]?.job.jobId]);
  });

  it('are asked about endpoints that still exist', async () => {
    const play = createPlay();
    const jobs = Array.from({ length: 2 }, () => play.submit(LONG));
    await play.run(500);
    ENDPOINTS.slice(2).forEach((endpointId) => play.state.endpoints.delete(endpointId));
    await play.run(2 * LONG_MS + 1000);
    const second = jobs[1]?.occurrences.get(0)?.steps[0]?.advice;
    expect(Array.from(second?.tickets.keys() ?? [])).toEqual(ENDPOINTS.slice(0, 2));
  });

  describe('while the service', () => {
    it('says nothing are given up, and all answered soon after it is back', async () => {
      const play = createPlay({ behaviour: 'silent' });
      const jobs = Array.from({ length: 4 }, () => play.submit(SHORT));
      await play.run(20_000);
      expect(play.service.questions).toBeGreaterThan(2);
      play.service.behaviour = 'works-on';
      await play.run(6000);
      expect(jobs.map(play.hasTickets)).toEqual([true, true, true, true]);
    });

    it('refuses each call are not repeated without a pause', async () => {
      const play = createPlay({ behaviour: 'refuses' });
      Array.from({ length: 50 }, () => play.submit(SHORT));
      await play.run(10_000);
      expect(play.service.questions).toBeGreaterThan(3);
      expect(play.service.questions).toBeLessThan(30);
      play.service.behaviour = 'works-on';
      await play.run(10_000);
      expect(Array.from(play.state.jobs.values()).every(play.hasTickets)).toBe(true);
    });
  });
});
