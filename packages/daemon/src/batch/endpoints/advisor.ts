/** Asks the service of advice for the holder: a few questions at a time, in the order they came. */
import { applyAdvice, type AdviceQuestion, type BatchState } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import type { AdvicePort } from '../ports.js';

/**
 * The service answers one question at a time for each entry and turns questions away with 32
 * waiting. A second one that waits there saves the trip; more would only lose their order.
 */
const MOST_AT_ONCE = 2;

export type AdvisorOptions = {
  readonly state: BatchState;
  readonly port: AdvicePort;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** Something changed: places may be found. */
  readonly poke: () => void;
};

export type Advisor = {
  readonly ask: (question: AdviceQuestion) => void;
};

/**
 * Builds the advisor of a term.
 *
 * @param options - The state that questions are about, and the service.
 * @returns The advisor.
 */
export const createAdvisor = ({
  state,
  port,
  log,
  metrics,
  nowMs,
  poke,
}: AdvisorOptions): Advisor => {
  const waiting: AdviceQuestion[] = [];
  let underWay = 0;

  const isWanted = ({ jobId }: AdviceQuestion): boolean => state.jobs.has(jobId);

  const put = async (question: AdviceQuestion): Promise<void> => {
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
    poke();
  };

  const next = (): void => {
    if (underWay >= MOST_AT_ONCE) return;
    const question = waiting.shift();
    if (!question) return;
    if (!isWanted(question)) {
      next();
      return;
    }
    underWay += 1;
    void put(question)
      .catch((error: unknown) => {
        log.error('advice-broken', { job: question.jobId, detail: String(error) });
        applyAdvice(state, question, undefined, nowMs());
      })
      .finally(() => {
        underWay -= 1;
        next();
      });
  };

  return {
    ask: (question) => {
      waiting.push(question);
      next();
    },
  };
};
