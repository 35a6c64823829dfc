/** The compared policies: the admission of an entry, no limits, and static shares. */
import {
  brand,
  createEndpoint,
  recordOutcome,
  pickRandom,
  computePortion,
  computeSeatShare,
  type CallerId,
  type EndpointId,
  type HostId,
  type Rng,
  type ServiceName,
} from '@valvelatch/core';
import { createServiceAdmission } from '@valvelatch/daemon';

import type { VirtualExecutor } from './executors.js';
import type { VirtualTime } from './virtual-time.js';

/** A request in flight. */
export type VirtualRequest = {
  readonly caller: string;
  readonly deadlineMs: number;
  readonly onResponse: () => void;
  readonly onRefused: () => void;
};

/** Decides where each request runs and whether it is refused. */
export type Policy = { readonly submit: (request: VirtualRequest) => void };

/** The dependencies of a policy. */
export type PolicyOptions = {
  readonly time: VirtualTime;
  readonly rng: Rng;
  readonly executors: readonly VirtualExecutor[];
  readonly slots: number;
  readonly callers: readonly string[];
};

const ENTRIES = 2;
const QUEUE_INTERVAL_MS = 20;
const MAX_RUN_MS = 120_000;

const createEntry = ({ time, rng, executors, slots }: PolicyOptions, seat: number): Policy => {
  const gate = createServiceAdmission({
    service: brand<ServiceName>('service'),
    rng,
    nowMs: time.nowMs,
  });
  const endpoints = executors.map((_, index) => {
    const endpointId = brand<EndpointId>(`executor-${index}`);
    const share = computeSeatShare(slots, ENTRIES, seat, endpointId);
    return createEndpoint({
      endpointId,
      service: brand<ServiceName>('service'),
      hostId: brand<HostId>(`host-${index}`),
      address: '',
      slotShare: computePortion(share, 'full'),
    });
  });
  gate.setEndpoints(endpoints);
  for (let atMs = QUEUE_INTERVAL_MS; atMs < MAX_RUN_MS; atMs += QUEUE_INTERVAL_MS)
    time.schedule(atMs, gate.processQueue);

  const submit = async ({ caller, deadlineMs, onResponse, onRefused }: VirtualRequest) => {
    const callerId = brand<CallerId>(caller);
    const slot = await gate.acquire({ callerId, deadlineMs, excludedEndpoints: [] });
    if (slot.kind === 'none') {
      onRefused();
      return;
    }
    const { endpoint } = slot;
    const startedMs = time.nowMs();
    executors[endpoints.indexOf(endpoint)]?.accept(() => {
      recordOutcome(endpoint, 'answered', time.nowMs() - startedMs, endpoints, time.nowMs());
      gate.release(endpoint, callerId);
      onResponse();
    });
  };
  return {
    submit: (request) => {
      void submit(request);
    },
  };
};

const valvelatch = (options: PolicyOptions): Policy => {
  const entries = Array.from({ length: ENTRIES }, (_, seat) => createEntry(options, seat));
  return { submit: (request) => pickRandom(entries, options.rng)?.submit(request) };
};

const noLimits = ({ rng, executors }: PolicyOptions): Policy => ({
  submit: ({ onResponse }) => pickRandom(executors, rng)?.accept(onResponse),
});

const staticShares = ({ executors, slots, callers }: PolicyOptions): Policy => {
  const share = Math.floor((executors.length * slots) / callers.length);
  const inFlight = new Map<string, number>();
  return {
    submit: ({ caller, onResponse, onRefused }) => {
      const own = inFlight.get(caller) ?? 0;
      const free = executors.find((executor) => executor.load() < slots);
      if (own >= share || !free) {
        onRefused();
        return;
      }
      inFlight.set(caller, own + 1);
      free.accept(() => {
        inFlight.set(caller, (inFlight.get(caller) ?? 1) - 1);
        onResponse();
      });
    },
  };
};

/** The policies by their printed name. */
export const policies: Readonly<Record<string, (options: PolicyOptions) => Policy>> = {
  valvelatch,
  'no-limits': noLimits,
  'static-shares': staticShares,
};
