/**
 * Sends the holder's advice questions to the advice service in the order in which they were asked, a few at a time.
 */
import { applyAdvice, type AdviceQuestion, type BatchState } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AdvicePort } from '../ports.js';

/**
 * The service answers one question per entry at a time and rejects questions while 32 are waiting. With two in
 * flight, the second already waits at the service when the first is answered, which saves a round trip. More in
 * flight would only risk that they arrive out of order.
 */
const MAX_IN_FLIGHT = 2;

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
  const queue: AdviceQuestion[] = [];
  let inFlight = 0;

  const isJobKnown = ({ jobId }: AdviceQuestion): boolean => state.jobs.has(jobId);

  const sendQuestion = async (question: AdviceQuestion): Promise<void> => {
    const askedAtMs = nowMs();
    const answer = await port.ask(question);
    metrics.count('advice_questions');
    metrics.time('advice', (nowMs() - askedAtMs) * 1000);
    const { jobId, step, endpoints } = question;
    if (answer.isErr()) {
      log.warn('advice-failed', { job: jobId, step, asked: endpoints.length, ...answer.error });
    } else {
      const good = answer.value.good.length;
      log.info('advice', { job: jobId, step, asked: endpoints.length, good });
    }
    applyAdvice(state, question, answer.isOk() ? answer.value : undefined, nowMs());
    requestScheduling();
  };

  /** Sends the next question of the queue; questions about jobs that are gone are dropped. */
  const sendNext = (): void => {
    if (inFlight >= MAX_IN_FLIGHT) return;
    const question = queue.shift();
    if (!question) return;
    if (!isJobKnown(question)) {
      sendNext();
      return;
    }
    inFlight += 1;
    void sendQuestion(question)
      .catch((error: unknown) => {
        log.error('advice-broken', { job: question.jobId, detail: String(error) });
        applyAdvice(state, question, undefined, nowMs());
      })
      .finally(() => {
        inFlight -= 1;
        sendNext();
      });
  };

  return {
    ask: (question) => {
      queue.push(question);
      sendNext();
    },
  };
};
