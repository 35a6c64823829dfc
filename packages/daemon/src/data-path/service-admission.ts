/** Admission of requests to one service at this entry: endpoints, queue and retry budget. */
import {
  chooseEndpoint,
  createAdmissionQueue,
  createRetryBudget,
  dequeue,
  ejectStalled,
  enqueue,
  isEjected,
  recordFinished,
  recordSent,
  recordStarted,
  filterUsableEndpoints,
  type AdmissionQueue,
  type CallerId,
  type Capacity,
  type Endpoint,
  type EndpointId,
  type RefusalReason,
  type RetryBudget,
  type Rng,
  type ServiceName,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

/** The reason why a request got no slot. */
export type SlotRefusal = {
  readonly kind: 'none';
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Time after which the caller should send the request again, in seconds. */
  readonly retryAfterS: number;
};

/** A request for a slot. */
export type SlotRequest = {
  readonly callerId: CallerId;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  /** Endpoints at which the request has already been attempted; none of them is chosen. */
  readonly excludedEndpoints: readonly EndpointId[];
};

/**
 * The outcome of a request for a slot. A refusal is a value and not an exception, because most
 * requests are refused under overload and a stack trace for each would be expensive.
 */
export type SlotOutcome = { readonly kind: 'slot'; readonly endpoint: Endpoint } | SlotRefusal;
type Waiter = SlotRequest & { readonly resolve: (slot: SlotOutcome) => void };

/** Admission of requests to the endpoints of one service. */
export type ServiceAdmission = {
  readonly service: ServiceName;
  readonly retryBudget: RetryBudget;
  /** Returns all endpoints, including leaving and ejected ones. */
  readonly endpoints: () => readonly Endpoint[];
  readonly setEndpoints: (endpoints: readonly Endpoint[]) => void;
  /** Returns whether an endpoint has slots for this entry and is neither leaving nor ejected. */
  readonly hasReadyEndpoint: () => boolean;
  /** Waits for a slot at an endpoint; a slot that is given must be released. */
  readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
  /** Ends a request at an endpoint and gives its slot to the next queued request. */
  readonly release: (endpoint: Endpoint, callerId: CallerId) => void;
  /**
   * Gives slots that became free without a release to queued requests, and refuses requests that can
   * no longer be served before their deadline.
   */
  readonly processQueue: () => void;
  /** Returns the number of queued requests. */
  readonly waitingCount: () => number;
  /** Returns the smoothed duration of a request, weighted by the endpoints' slots, in ms. */
  readonly smoothedRequestMs: () => number;
};

export type ServiceAdmissionOptions = {
  readonly service: ServiceName;
  readonly rng: Rng;
  /** Maximum number of queued requests. */
  readonly maxWaiting?: number;
  readonly nowMs?: () => number;
};

const MS_PER_S = 1000;

const toRetryAfterS = (waitMs: number): number => Math.max(1, Math.ceil(waitMs / MS_PER_S));

/**
 * Creates the admission of a service.
 *
 * @param options - The service, the random number generator, and the limit of the queue.
 * @returns The admission, without endpoints.
 */
export const createServiceAdmission = ({
  service,
  rng,
  maxWaiting = 256,
  nowMs = () => performance.now(),
}: ServiceAdmissionOptions): ServiceAdmission => {
  const queue: AdmissionQueue<Waiter> = createAdmissionQueue({ maxWaiting });
  let endpoints: readonly Endpoint[] = [];

  const readyEndpoints = () =>
    endpoints.filter(
      (endpoint) => !endpoint.isLeaving && endpoint.slotShare > 0 && !isEjected(endpoint, nowMs()),
    );

  const capacity = (): Capacity => {
    const ready = readyEndpoints();
    const slots = ready.reduce((sum, { slotShare }) => sum + slotShare, 0);
    const weightedMs = ready.reduce(
      (sum, endpoint) => sum + endpoint.smoothedResponseMs * endpoint.slotShare,
      0,
    );
    return { slots, typicalRequestMs: slots === 0 ? 0 : weightedMs / slots };
  };

  const smoothedRequestMs = (): number => capacity().typicalRequestMs;

  const grant = (endpoint: Endpoint, callerId: CallerId): SlotOutcome => {
    recordSent(endpoint, nowMs());
    recordStarted(queue, callerId);
    return { kind: 'slot', endpoint };
  };

  const refuse = (reason: RefusalReason, detail: string): SlotOutcome => {
    const { slots, typicalRequestMs } = capacity();
    const waitMs = ((queue.waitingCount + 1) * typicalRequestMs) / Math.max(1, slots);
    return { kind: 'none', reason, detail, retryAfterS: toRetryAfterS(waitMs) };
  };

  const joinQueue = (request: SlotRequest): Promise<SlotOutcome> =>
    new Promise((resolve) => {
      const waiter = { ...request, resolve };
      const { callerId, deadlineMs } = request;
      const outcome = enqueue(
        queue,
        { callerId, deadlineMs, payload: waiter },
        capacity(),
        nowMs(),
      );
      if (outcome.kind === 'too-late') {
        const waitMs = Math.round(outcome.expectedWaitMs);
        resolve(
          refuse(
            'deadline-too-short',
            `a slot is expected in ${waitMs} ms, too late for its deadline`,
          ),
        );
      } else if (outcome.kind === 'full') {
        resolve(refuse('overloaded', `${queue.waitingCount} requests for ${service} wait already`));
      } else if (outcome.kind === 'displaced') {
        const { payload: displaced } = outcome.displaced;
        const detail = `caller ${displaced.callerId} has the most requests waiting for ${service}`;
        displaced.resolve(refuse('caller-over-share', detail));
      }
    });

  const refuseIfNoEndpoint = (request: SlotRequest): SlotOutcome | undefined => {
    const candidates = readyEndpoints().filter(
      ({ endpointId }) => !request.excludedEndpoints.includes(endpointId),
    );
    if (candidates.length > 0) return undefined;
    return refuse('no-endpoint', `no endpoint of ${service} is ready at this entry`);
  };

  const acquire = async (request: SlotRequest): Promise<SlotOutcome> => {
    const refusal = refuseIfNoEndpoint(request);
    if (refusal) return refusal;
    if (queue.waitingCount === 0) {
      const endpoint = chooseEndpoint(endpoints, nowMs(), rng, {
        exclude: request.excludedEndpoints,
      });
      if (endpoint) return grant(endpoint, request.callerId);
    }
    return joinQueue(request);
  };

  const grantNext = (): boolean => {
    const hasFreeSlot = filterUsableEndpoints(endpoints, nowMs()).length > 0;
    const { next, expired } = dequeue(queue, capacity().typicalRequestMs, nowMs(), hasFreeSlot);
    expired.forEach(({ payload: waiter }) => {
      waiter.resolve(refuse('deadline-too-short', 'no slot came free in time for its deadline'));
    });
    if (!next) return false;
    const { payload: waiter } = next;
    const endpoint = chooseEndpoint(endpoints, nowMs(), rng, { exclude: waiter.excludedEndpoints });
    if (endpoint) {
      waiter.resolve(grant(endpoint, waiter.callerId));
      return true;
    }
    const refusal = refuseIfNoEndpoint(waiter);
    if (refusal) {
      waiter.resolve(refusal);
      return true;
    }
    // Only endpoints at which the request was already attempted have a free slot. The request waits
    // for the others, which are busy; when one of them is released, the queue is processed again.
    void joinQueue(waiter).then(waiter.resolve);
    return false;
  };

  const refuseQueuedIfNoEndpoint = (): void => {
    if (readyEndpoints().length > 0) return;
    let { next } = dequeue(queue, 0, nowMs(), true);
    while (next) {
      next.payload.resolve(
        refuse('no-endpoint', `no endpoint of ${service} is ready at this entry`),
      );
      next = dequeue(queue, 0, nowMs(), true).next;
    }
  };

  const processQueue = (): void => {
    ejectStalled(endpoints, smoothedRequestMs(), nowMs());
    if (queue.waitingCount === 0) return;
    refuseQueuedIfNoEndpoint();
    while (queue.waitingCount > 0 && grantNext());
  };

  return {
    service,
    retryBudget: createRetryBudget(),
    endpoints: () => endpoints,
    setEndpoints: (next) => {
      endpoints = next;
      processQueue();
    },
    hasReadyEndpoint: () => readyEndpoints().length > 0,
    acquire,
    release: (endpoint, callerId) => {
      change(endpoint, { inFlight: endpoint.inFlight - 1 });
      recordFinished(queue, callerId);
      processQueue();
    },
    processQueue,
    waitingCount: () => queue.waitingCount,
    smoothedRequestMs,
  };
};
