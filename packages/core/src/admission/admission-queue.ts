/**
 * The queue of requests to one service that wait for a slot. While no request waits, callers share
 * the slots without limits. Once requests wait, a free slot goes to the caller with the fewest
 * requests in flight, and a full queue displaces a request of the caller with the most requests in
 * flight and waiting. A caller with many requests is thus throttled only while another one gets
 * less than its share.
 */
import type { CallerId } from '../shared/ids.js';

/** A request that waits for a slot. */
export type QueuedRequest<Payload> = {
  readonly callerId: CallerId;
  readonly deadlineMs: number;
  readonly payload: Payload;
};

/** The state of a queue. It is changed in place, because each request updates it. */
export type AdmissionQueue<Payload> = {
  /** The maximum number of waiting requests of all callers. */
  readonly maxWaiting: number;
  waitingCount: number;
  /** The waiting requests of each caller, in the order of their deadlines. */
  readonly waiting: Map<CallerId, QueuedRequest<Payload>[]>;
  /** The number of requests in flight of each caller. */
  readonly inFlight: Map<CallerId, number>;
};

export type AdmissionQueueOptions = { readonly maxWaiting?: number };

/** The result of enqueueing a request. */
export type EnqueueResult<Payload> =
  | { readonly kind: 'waits' }
  /** The new request waits; `displaced`, of a caller with more requests, was removed for it. */
  | { readonly kind: 'displaced'; readonly displaced: QueuedRequest<Payload> }
  | { readonly kind: 'full' }
  | { readonly kind: 'too-late'; readonly expectedWaitMs: number };

/** The capacity on which the estimated wait is based. */
export type Capacity = {
  /** The slots that this entry may use at all usable endpoints of the service. */
  readonly slots: number;
  /** The typical time of one request, in milliseconds. */
  readonly typicalRequestMs: number;
};

/** The requests that were taken out of the queue. */
export type Dequeued<Payload> = {
  /** The request that gets the free slot; undefined if no slot is free or no request waits. */
  readonly next: QueuedRequest<Payload> | undefined;
  /** The requests that can no longer be answered before their deadline. */
  readonly expired: readonly QueuedRequest<Payload>[];
};

/**
 * Creates an empty queue.
 *
 * @param options - The maximum number of waiting requests.
 * @returns The queue.
 */
export const createAdmissionQueue = <Payload>({
  maxWaiting = 256,
}: AdmissionQueueOptions = {}): AdmissionQueue<Payload> => ({
  maxWaiting,
  waitingCount: 0,
  waiting: new Map(),
  inFlight: new Map(),
});

const inFlightOf = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number =>
  queue.inFlight.get(callerId) ?? 0;

/** Returns the number of requests that a caller has in flight and waiting. */
const requestCountOf = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number =>
  inFlightOf(queue, callerId) + (queue.waiting.get(callerId)?.length ?? 0);

/**
 * Records that a request of a caller got a slot.
 *
 * @param queue - The queue, changed in place.
 * @param callerId - The caller.
 */
export const recordStarted = <P>(queue: AdmissionQueue<P>, callerId: CallerId): void => {
  queue.inFlight.set(callerId, inFlightOf(queue, callerId) + 1);
};

/**
 * Records that a request of a caller released its slot.
 *
 * @param queue - The queue, changed in place.
 * @param callerId - The caller.
 */
export const recordFinished = <P>(queue: AdmissionQueue<P>, callerId: CallerId): void => {
  const remaining = inFlightOf(queue, callerId) - 1;
  if (remaining > 0) queue.inFlight.set(callerId, remaining);
  else queue.inFlight.delete(callerId);
};

const insertByDeadline = <P>(queue: AdmissionQueue<P>, request: QueuedRequest<P>): void => {
  const state = queue;
  const callerQueue = state.waiting.get(request.callerId) ?? [];
  const index = callerQueue.findIndex((queued) => queued.deadlineMs > request.deadlineMs);
  callerQueue.splice(index < 0 ? callerQueue.length : index, 0, request);
  state.waiting.set(request.callerId, callerQueue);
  state.waitingCount += 1;
};

const removeFrom = <P>(
  queue: AdmissionQueue<P>,
  callerId: CallerId,
  index: number,
): QueuedRequest<P> => {
  const state = queue;
  const callerQueue = state.waiting.get(callerId) as QueuedRequest<P>[];
  const [removed] = callerQueue.splice(index, 1);
  if (callerQueue.length === 0) state.waiting.delete(callerId);
  state.waitingCount -= 1;
  return removed as QueuedRequest<P>;
};

const busiestWaitingCaller = <P>(queue: AdmissionQueue<P>): CallerId | undefined => {
  let busiest: CallerId | undefined;
  let most = -1;
  queue.waiting.forEach((_, callerId) => {
    const requestCount = requestCountOf(queue, callerId);
    if (requestCount > most) {
      most = requestCount;
      busiest = callerId;
    }
  });
  return busiest;
};

/**
 * Returns how many waiting requests would be served before a new request of the caller: all of its
 * own waiting requests, and a bounded number of each other caller. A free slot goes to the caller
 * with the fewest requests in flight, so each caller is served once per round, and another caller
 * is served before the new request only until it has as many requests in flight as the caller has
 * requests, including the new one.
 */
const countAhead = <P>(queue: AdmissionQueue<P>, callerId: CallerId): number => {
  const ownCount = requestCountOf(queue, callerId);
  let ahead = 0;
  queue.waiting.forEach((callerQueue, other) => {
    const otherTurns = Math.max(0, ownCount + 1 - inFlightOf(queue, other));
    ahead += other === callerId ? callerQueue.length : Math.min(callerQueue.length, otherTurns);
  });
  return ahead;
};

/**
 * Estimates how long a new request of a caller would wait for a slot.
 *
 * @param queue - The queue.
 * @param callerId - The caller.
 * @param capacity - The slots and the typical time of a request.
 * @returns The wait, in milliseconds.
 */
export const estimateWaitMs = <P>(
  queue: AdmissionQueue<P>,
  callerId: CallerId,
  { slots, typicalRequestMs }: Capacity,
): number => ((countAhead(queue, callerId) + 1) * typicalRequestMs) / Math.max(1, slots);

/**
 * Enqueues a request, unless it could not be answered before its deadline.
 *
 * @param queue - The queue, changed in place.
 * @param request - The request.
 * @param capacity - The slots and the typical time of a request.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether it waits, and which waiting request was displaced for it.
 */
export const enqueue = <P>(
  queue: AdmissionQueue<P>,
  request: QueuedRequest<P>,
  capacity: Capacity,
  nowMs: number,
): EnqueueResult<P> => {
  const waitMs = estimateWaitMs(queue, request.callerId, capacity);
  if (nowMs + waitMs + capacity.typicalRequestMs > request.deadlineMs) {
    return { kind: 'too-late', expectedWaitMs: waitMs };
  }
  if (queue.waitingCount < queue.maxWaiting) {
    insertByDeadline(queue, request);
    return { kind: 'waits' };
  }
  const busiest = busiestWaitingCaller(queue);
  if (
    busiest === undefined ||
    requestCountOf(queue, busiest) <= requestCountOf(queue, request.callerId) + 1
  ) {
    return { kind: 'full' };
  }
  const callerQueue = queue.waiting.get(busiest) as QueuedRequest<P>[];
  const displaced = removeFrom(queue, busiest, callerQueue.length - 1);
  insertByDeadline(queue, request);
  return { kind: 'displaced', displaced };
};

const removeExpired = <P>(
  queue: AdmissionQueue<P>,
  requestMs: number,
  nowMs: number,
): readonly QueuedRequest<P>[] => {
  const expired: QueuedRequest<P>[] = [];
  Array.from(queue.waiting).forEach(([callerId, callerQueue]) => {
    while (callerQueue[0] && nowMs + requestMs > callerQueue[0].deadlineMs) {
      expired.push(removeFrom(queue, callerId, 0));
    }
  });
  return expired;
};

const leastBusyWaitingCaller = <P>(queue: AdmissionQueue<P>): CallerId | undefined => {
  let leastBusy: CallerId | undefined;
  let fewestInFlight = Infinity;
  let earliestMs = Infinity;
  queue.waiting.forEach(([first], callerId) => {
    const inFlight = inFlightOf(queue, callerId);
    const deadlineMs = first?.deadlineMs ?? Infinity;
    if (inFlight > fewestInFlight || (inFlight === fewestInFlight && deadlineMs >= earliestMs))
      return;
    leastBusy = callerId;
    fewestInFlight = inFlight;
    earliestMs = deadlineMs;
  });
  return leastBusy;
};

/**
 * Removes the next request, and the requests that can no longer be answered before their deadline.
 *
 * @param queue - The queue, changed in place.
 * @param requestMs - The typical time of a request, in milliseconds.
 * @param nowMs - The current time, in milliseconds.
 * @param hasSlot - Whether a slot is free; without one, only expired requests are removed.
 * @returns The next request, or undefined if there is none or no slot is free, and the expired
 * ones.
 */
export const dequeue = <P>(
  queue: AdmissionQueue<P>,
  requestMs: number,
  nowMs: number,
  hasSlot: boolean,
): Dequeued<P> => {
  const expired = removeExpired(queue, requestMs, nowMs);
  const leastBusy = hasSlot ? leastBusyWaitingCaller(queue) : undefined;
  return { next: leastBusy === undefined ? undefined : removeFrom(queue, leastBusy, 0), expired };
};
