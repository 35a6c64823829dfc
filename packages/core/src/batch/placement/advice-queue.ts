/**
 * The questions that wait for the advice service, which answers one at a time. The queues of jobs share its time fairly
 * (start-time fair queueing): a short question waits for one long question of another queue at most.
 */
import type { QueueName } from '../model/job.js';
import type { AdviceQuestion } from './advice.js';

/** A question, with the queue of its job and the time that the answer is expected to take. */
export type QueuedQuestion = {
  readonly question: AdviceQuestion;
  readonly queue: QueueName;
  readonly expectedMs: number;
};

export type AdviceQueue = {
  readonly add: (queued: QueuedQuestion) => void;
  /** Removes and returns the next question; undefined if none waits. */
  readonly removeNext: () => QueuedQuestion | undefined;
  readonly count: () => number;
};

/** The questions of one queue of jobs, and the virtual time at which its next one is due. */
type Lane = { readonly waiting: readonly QueuedQuestion[]; readonly startMs: number };

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export const createAdviceQueue = (): AdviceQueue => {
  const lanes = new Map<QueueName, Lane>();
  let virtualMs = 0;

  const findNextLane = (): readonly [QueueName, Lane] | undefined =>
    Array.from(lanes)
      .filter(([, { waiting }]) => waiting.length > 0)
      .sort(([, left], [, right]) => left.startMs - right.startMs)[0];

  return {
    add: (queued) => {
      const { waiting = [], startMs = 0 } = lanes.get(queued.queue) ?? {};
      // A queue that asked nothing for a while has not saved up any time.
      const isIdle = waiting.length === 0;
      lanes.set(queued.queue, {
        waiting: [...waiting, queued],
        startMs: isIdle ? Math.max(startMs, virtualMs) : startMs,
      });
    },
    removeNext: () => {
      const [queue, lane] = findNextLane() ?? [];
      if (queue === undefined || !lane) return undefined;
      const [next, ...waiting] = lane.waiting;
      if (!next) return undefined;
      virtualMs = lane.startMs;
      lanes.set(queue, { waiting, startMs: lane.startMs + next.expectedMs });
      return next;
    },
    count: () => Array.from(lanes.values()).reduce((sum, { waiting }) => sum + waiting.length, 0),
  };
};
