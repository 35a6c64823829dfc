/**
 * The queue in front of the endpoints of one service. Slots are shared freely while nobody waits.
 * Once somebody waits, a free slot goes to the caller that has the fewest requests in flight, and
 * a full queue turns away the heaviest caller first. So a heavy caller is throttled only while
 * another gets less than its share.
 */
import type { CallerId } from '../shared/ids.js';

/** A request that waits for a slot. */
export type Waiting<Payload> = {
  readonly callerId: CallerId;
  readonly deadlineMs: number;
  readonly payload: Payload;
};

/** The state of a queue. It changes in place, since it is touched by each request. */
export type AdmissionQueue<Payload> = {
  readonly mostWaiting: number;
  waitingCount: number;
  readonly waiting: Map<CallerId, Waiting<Payload>[]>;
  readonly inFlight: Map<CallerId, number>;
};

export type AdmissionQueueOptions = { readonly mostWaiting?: number };

/** What came of a request that asked to wait. */
export type EnqueueOutcome<Payload> =
  | { readonly kind: 'waits' }
  /** The newcomer waits; this one, of a heavier caller, was turned away for it. */
  | { readonly kind: 'displaced'; readonly displaced: Waiting<Payload> }
  | { readonly kind: 'full' }
  | { readonly kind: 'too-late'; readonly expectedWaitMs: number };

/** The capacity that the estimate of a wait is based on. */
export type Capacity = {
  /** Slots of this entry at all usable endpoints of the service. */
  readonly slots: number;
  /** The usual time of one request. */
  readonly requestMs: number;
};

/** What was taken out of the queue. */
export type Dequeued<Payload> = {
  readonly next: Waiting<Payload> | undefined;
  /** Those that could not be answered in time any more. */
  readonly expired: readonly Waiting<Payload>[];
};

/**
 * Builds an empty queue.
 *
 * @param options - The most requests that may wait.
 * @returns The queue.
 */
export const createAdmissionQueue = <Payload>({
  mostWaiting = 256,
}: AdmissionQueueOptions = {}): AdmissionQueue<Payload> => ({
  mostWaiting,
  waitingCount: 0,
  waiting: new Map(),
  inFlight: new Map(),
});

const inFlightOf = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number =>
  queue.inFlight.get(callerId) ?? 0;

const weightOf = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number =>
  inFlightOf(queue, callerId) + (queue.waiting.get(callerId)?.length ?? 0);

/**
 * Notes that a request of a caller got a slot.
 *
 * @param queue - The queue, changed in place.
 * @param callerId - The caller.
 */
export const noteStarted = <P>(queue: AdmissionQueue<P>, callerId: CallerId): void => {
  queue.inFlight.set(callerId, inFlightOf(queue, callerId) + 1);
};

/**
 * Notes that a request of a caller gave its slot back.
 *
 * @param queue - The queue, changed in place.
 * @param callerId - The caller.
 */
export const noteFinished = <P>(queue: AdmissionQueue<P>, callerId: CallerId): void => {
  const left = inFlightOf(queue, callerId) - 1;
  if (left > 0) queue.inFlight.set(callerId, left);
  else queue.inFlight.delete(callerId);
};

const insertByDeadline = <P>(queue: AdmissionQueue<P>, one: Waiting<P>): void => {
  const state = queue;
  const line = state.waiting.get(one.callerId) ?? [];
  const place = line.findIndex((other) => other.deadlineMs > one.deadlineMs);
  line.splice(place < 0 ? line.length : place, 0, one);
  state.waiting.set(one.callerId, line);
  state.waitingCount += 1;
};

const removeFrom = <P>(queue: AdmissionQueue<P>, callerId: CallerId, index: number): Waiting<P> => {
  const state = queue;
  const line = state.waiting.get(callerId) as Waiting<P>[];
  const [removed] = line.splice(index, 1);
  if (line.length === 0) state.waiting.delete(callerId);
  state.waitingCount -= 1;
  return removed as Waiting<P>;
};

const heaviestWaiting = <P>(queue: AdmissionQueue<P>): CallerId | undefined => {
  let heaviest: CallerId | undefined;
  let most = -1;
  queue.waiting.forEach((_, callerId) => {
    const weight = weightOf(queue, callerId);
    if (weight > most) {
      most = weight;
      heaviest = callerId;
    }
  });
  return heaviest;
};

/** A caller's turn comes once per round, so only so many of each other caller are ahead of it. */
const aheadOf = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number => {
  const own = weightOf(queue, callerId);
  let ahead = 0;
  queue.waiting.forEach((line, other) => {
    const spare = Math.max(0, own + 1 - inFlightOf(queue, other));
    ahead += other === callerId ? line.length : Math.min(line.length, spare);
  });
  return ahead;
};

/**
 * Estimates how long a new request of a caller would wait for a slot.
 *
 * @param queue - The queue.
 * @param callerId - The caller.
 * @param capacity - The slots and the usual time of a request.
 * @returns The wait in milliseconds.
 */
export const expectedWaitMs = <P>(
  queue: AdmissionQueue<P>,
  callerId: CallerId,
  { slots, requestMs }: Capacity,
): number => ((aheadOf(queue, callerId) + 1) * requestMs) / Math.max(1, slots);

/**
 * Puts a request in line, unless it could not be answered in time.
 *
 * @param queue - The queue, changed in place.
 * @param one - The request.
 * @param capacity - The slots and the usual time of a request.
 * @param nowMs - The time.
 * @returns Whether it waits, and which other request had to give way.
 */
export const enqueue = <P>(
  queue: AdmissionQueue<P>,
  one: Waiting<P>,
  capacity: Capacity,
  nowMs: number,
): EnqueueOutcome<P> => {
  const waitMs = expectedWaitMs(queue, one.callerId, capacity);
  if (nowMs + waitMs + capacity.requestMs > one.deadlineMs) {
    return { kind: 'too-late', expectedWaitMs: waitMs };
  }
  if (queue.waitingCount < queue.mostWaiting) {
    insertByDeadline(queue, one);
    return { kind: 'waits' };
  }
  const heaviest = heaviestWaiting(queue);
  if (heaviest === undefined || weightOf(queue, heaviest) <= weightOf(queue, one.callerId) + 1) {
    return { kind: 'full' };
  }
  const line = queue.waiting.get(heaviest) as Waiting<P>[];
  const displaced = removeFrom(queue, heaviest, line.length - 1);
  insertByDeadline(queue, one);
  return { kind: 'displaced', displaced };
};

const takeExpired = <P>(
  queue: AdmissionQueue<P>,
  requestMs: number,
  nowMs: number,
): readonly Waiting<P>[] => {
  const expired: Waiting<P>[] = [];
  Array.from(queue.waiting).forEach(([callerId, line]) => {
    while (line[0] && nowMs + requestMs > line[0].deadlineMs) {
      expired.push(removeFrom(queue, callerId, 0));
    }
  });
  return expired;
};

const lightestWaiting = <P>(queue: AdmissionQueue<P>): CallerId | undefined => {
  let lightest: CallerId | undefined;
  let fewest = Infinity;
  let earliestMs = Infinity;
  queue.waiting.forEach(([first], callerId) => {
    const inFlight = inFlightOf(queue, callerId);
    const deadlineMs = first?.deadlineMs ?? Infinity;
    if (inFlight > fewest || (inFlight === fewest && deadlineMs >= earliestMs)) return;
    lightest = callerId;
    fewest = inFlight;
    earliestMs = deadlineMs;
  });
  return lightest;
};

/**
 * Takes the next request out of the queue, and those that cannot be answered in time any more.
 *
 * @param queue - The queue, changed in place.
 * @param requestMs - The usual time of a request.
 * @param nowMs - The time.
 * @param hasSlot - Whether there is a slot for the next one.
 * @returns The next request and the expired ones.
 */
export const dequeue = <P>(
  queue: AdmissionQueue<P>,
  requestMs: number,
  nowMs: number,
  hasSlot: boolean,
): Dequeued<P> => {
  const expired = takeExpired(queue, requestMs, nowMs);
  const lightest = hasSlot ? lightestWaiting(queue) : undefined;
  return { next: lightest === undefined ? undefined : removeFrom(queue, lightest, 0), expired };
};
