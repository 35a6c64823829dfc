/**
 * Asks the advice service, one question at a time: it answers one at a time itself, so a second question in flight would
 * only wait there instead of here, where it can still be overtaken or become needless.
 */
import {
  applyAdvice,
  createAdviceQueue,
  createAdviceTimeout,
  expectedAdviceMs,
  findAskingStep,
  updateQuestion,
  type AdviceQuestion,
  type BatchState,
  type QueuedQuestion,
} from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { sleep } from '../../shared/sleep.js';
import type { AdvicePort } from '../ports.js';

export type AdvisorOptions = {
  readonly state: BatchState;
  readonly port: AdvicePort;
  readonly log: Log;
  readonly metrics: Metrics;
  /** The holder's monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Requests a scheduling cycle, because tasks may be placeable now. */
  readonly requestScheduling: () => void;
};

export type Advisor = {
  /** Queues a question. Its result is applied to the state. */
  readonly ask: (question: AdviceQuestion) => void;
};

/**
 * Creates the advisor of one control term.
 *
 * @param options - The state to which the advice is applied, and the connection to the service.
 * @returns The advisor.
 */
export const createAdvisor = ({
  state,
  port,
  log,
  metrics,
  nowMs,
  requestScheduling,
}: AdvisorOptions): Advisor => {
  const queue = createAdviceQueue();
  const timeout = createAdviceTimeout();
  let isAsking = false;

  /** Asks the service, and records what its answer or silence tells about it. Returns the pause before the next one. */
  const sendQuestion = async ({ question, queue: queueName }: QueuedQuestion): Promise<number> => {
    const { jobId, step: number, endpoints } = question;
    const policy = findAskingStep(state, question)?.job.policy ?? {};
    const expectedMs = expectedAdviceMs(policy, endpoints.length);
    const timeoutMs = Math.ceil(timeout.timeoutMs(expectedMs));
    const askedAtMs = nowMs();
    const answer = await port.ask(question, timeoutMs);
    const tookMs = nowMs() - askedAtMs;
    const fields = {
      job: jobId,
      step: number,
      queue: queueName,
      asked: endpoints.length,
      waiting: queue.count(),
      tookMs: Math.round(tookMs),
      expectedMs: Math.round(expectedMs),
    };
    metrics.count('advice_questions');
    metrics.time('advice', tookMs * 1000);
    applyAdvice(state, question, answer.isOk() ? answer.value : undefined, nowMs());
    requestScheduling();
    if (answer.isOk()) {
      timeout.recordAnswer(expectedMs, tookMs);
      log.info('advice', { ...fields, good: answer.value.good.length });
      return 0;
    }
    log.warn('advice-failed', { ...fields, timeoutMs, ...answer.error });
    if (tookMs < timeoutMs) return timeout.recordFailure();
    timeout.recordNoAnswer();
    return 0;
  };

  const sendSafely = async (queued: QueuedQuestion): Promise<number> => {
    try {
      return await sendQuestion(queued);
    } catch (error) {
      log.error('advice-broken', { job: queued.question.jobId, detail: String(error) });
      applyAdvice(state, queued.question, undefined, nowMs());
      return timeout.recordFailure();
    }
  };

  /** Removes questions up to the first one that is still to be asked. */
  const removeNext = (): QueuedQuestion | undefined => {
    for (let queued = queue.removeNext(); queued; queued = queue.removeNext()) {
      const question = updateQuestion(state, queued.question);
      if (question) return { ...queued, question };
    }
    return undefined;
  };

  const askAll = async (): Promise<void> => {
    if (isAsking) return;
    isAsking = true;
    for (let next = removeNext(); next; next = removeNext()) {
      const pauseMs = await sendSafely(next);
      if (pauseMs > 0) await sleep(pauseMs);
    }
    isAsking = false;
  };

  return {
    ask: (question) => {
      const job = state.jobs.get(question.jobId);
      if (!job) return;
      const expectedMs = expectedAdviceMs(job.policy, question.endpoints.length);
      queue.add({ question, queue: job.job.queue, expectedMs });
      void askAll();
    },
  };
};
