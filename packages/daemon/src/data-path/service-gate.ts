/** The gate of one service at this entry: its endpoints, its queue and its retry budget. */
import {
  chooseEndpoint,
  createAdmissionQueue,
  createRetryBudget,
  dequeue,
  ejectStalled,
  enqueue,
  isEjected,
  noteFinished,
  noteSent,
  noteStarted,
  usableEndpoints,
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

/** Why no slot was given. */
export type NoSlot = {
  readonly kind: 'none';
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly retryAfterS: number;
};

/** A request that wants a slot. */
export type SlotRequest = {
  readonly callerId: CallerId;
  readonly deadlineMs: number;
  /** Endpoints that the request has already been tried at. */
  readonly exclude: readonly EndpointId[];
};

/** The outcome of asking for a slot. Under overload most are refused, without a stack trace. */
export type Slot = { readonly kind: 'slot'; readonly endpoint: Endpoint } | NoSlot;
type Waiter = SlotRequest & { readonly resolve: (slot: Slot) => void };

export type ServiceGate = {
  readonly service: ServiceName;
  readonly retryBudget: RetryBudget;
  readonly endpoints: () => readonly Endpoint[];
  readonly setEndpoints: (endpoints: readonly Endpoint[]) => void;
  /** True if an endpoint is there that is neither leaving nor ejected. */
  readonly isReady: () => boolean;
  readonly acquire: (request: SlotRequest) => Promise<Slot>;
  readonly release: (endpoint: Endpoint, callerId: CallerId) => void;
  /** Gives out slots that have come free otherwise, and refuses what has become too late. */
  readonly pump: () => void;
  readonly waitingCount: () => number;
  readonly usualMs: () => number;
};

export type ServiceGateOptions = {
  readonly service: ServiceName;
  readonly rng: Rng;
  readonly mostWaiting?: number;
  readonly nowMs?: () => number;
};

const MS_PER_S = 1000;

const toRetryAfterS = (waitMs: number): number => Math.max(1, Math.ceil(waitMs / MS_PER_S));

/**
 * Builds a gate.
 *
 * @param options - The service, the random numbers, and how many requests may wait.
 * @returns The gate, without endpoints.
 */
export const createServiceGate = ({
  service,
  rng,
  mostWaiting = 256,
  nowMs = () => performance.now(),
}: ServiceGateOptions): ServiceGate => {
  const queue: AdmissionQueue<Waiter> = createAdmissionQueue({ mostWaiting });
  let endpoints: readonly Endpoint[] = [];

  const inUse = () =>
    endpoints.filter((one) => !one.isLeaving && one.slotShare > 0 && !isEjected(one, nowMs()));

  const capacity = (): Capacity => {
    const usable = inUse();
    const slots = usable.reduce((sum, { slotShare }) => sum + slotShare, 0);
    const totalMs = usable.reduce((sum, one) => sum + one.smoothedMs * one.slotShare, 0);
    return { slots, requestMs: slots === 0 ? 0 : totalMs / slots };
  };

  const usualMs = (): number => capacity().requestMs;

  const give = (endpoint: Endpoint, callerId: CallerId): Slot => {
    noteSent(endpoint, nowMs());
    noteStarted(queue, callerId);
    return { kind: 'slot', endpoint };
  };

  const refuse = (reason: RefusalReason, detail: string): Slot => {
    const { slots, requestMs } = capacity();
    const waitMs = ((queue.waitingCount + 1) * requestMs) / Math.max(1, slots);
    return { kind: 'none', reason, detail, retryAfterS: toRetryAfterS(waitMs) };
  };

  const join = (request: SlotRequest): Promise<Slot> =>
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
        const { payload } = outcome.displaced;
        const detail = `caller ${payload.callerId} has the most requests waiting for ${service}`;
        payload.resolve(refuse('caller-over-share', detail));
      }
    });

  const noEndpoint = (request: SlotRequest): Slot | undefined => {
    const others = inUse().filter(({ endpointId }) => !request.exclude.includes(endpointId));
    if (others.length > 0) return undefined;
    return refuse('no-endpoint', `no endpoint of ${service} is ready at this entry`);
  };

  const acquire = async (request: SlotRequest): Promise<Slot> => {
    const none = noEndpoint(request);
    if (none) return none;
    if (queue.waitingCount === 0) {
      const endpoint = chooseEndpoint(endpoints, nowMs(), rng, { exclude: request.exclude });
      if (endpoint) return give(endpoint, request.callerId);
    }
    return join(request);
  };

  const giveNext = (): boolean => {
    const hasSlot = usableEndpoints(endpoints, nowMs()).length > 0;
    const { next, expired } = dequeue(queue, capacity().requestMs, nowMs(), hasSlot);
    expired.forEach(({ payload }) => {
      payload.resolve(refuse('deadline-too-short', 'no slot came free in time for its deadline'));
    });
    if (!next) return false;
    const { payload } = next;
    const endpoint = chooseEndpoint(endpoints, nowMs(), rng, { exclude: payload.exclude });
    if (endpoint) {
      payload.resolve(give(endpoint, payload.callerId));
      return true;
    }
    const none = noEndpoint(payload);
    if (none) {
      payload.resolve(none);
      return true;
    }
    // Only endpoints that it was tried at have a slot free: it waits for the others, which are busy
    // and call here again when they are done.
    void join(payload).then(payload.resolve);
    return false;
  };

  const refuseAllIfNoEndpoint = (): void => {
    if (inUse().length > 0) return;
    let { next } = dequeue(queue, 0, nowMs(), true);
    while (next) {
      next.payload.resolve(
        refuse('no-endpoint', `no endpoint of ${service} is ready at this entry`),
      );
      next = dequeue(queue, 0, nowMs(), true).next;
    }
  };

  const pump = (): void => {
    ejectStalled(endpoints, usualMs(), nowMs());
    if (queue.waitingCount === 0) return;
    refuseAllIfNoEndpoint();
    while (queue.waitingCount > 0 && giveNext());
  };

  return {
    service,
    retryBudget: createRetryBudget(),
    endpoints: () => endpoints,
    setEndpoints: (next) => {
      endpoints = next;
      pump();
    },
    isReady: () => inUse().length > 0,
    acquire,
    release: (endpoint, callerId) => {
      change(endpoint, { inFlight: endpoint.inFlight - 1 });
      noteFinished(queue, callerId);
      pump();
    },
    pump,
    waitingCount: () => queue.waitingCount,
    usualMs,
  };
};
