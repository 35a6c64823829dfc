/** Types of the request path: requests, their outcomes, and the dependencies of serving them. */
import type { IncomingHttpHeaders } from 'node:http';

import type {
  CallerId,
  Configuration,
  Endpoint,
  StoredAnswer,
  Refusal,
  RequestId,
  ServiceName,
} from '@valvelatch/core';

import type { Metrics } from '../observe/metrics.js';
import type { Tracing } from '../observe/trace-types.js';
import type { CompleteResponse } from './attempt.js';
import type { ClaimStore } from './claim-store.js';
import type { ConnectionPools } from './connection-pools.js';
import type { ServiceAdmission } from './service-admission.js';

/** A request as parsed from the caller's HTTP request. */
export type CallerRequest = {
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path and query after the service's name, starting with a slash. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | null;
  readonly callerId: CallerId;
  /** True if the request may be sent more than once; otherwise its key must be claimed first. */
  readonly isRepeatable: boolean;
  /** The idempotency key, or null if the caller sent none. */
  readonly idempotencyKey: string | null;
  /** True if the caller states that it has never sent this key before. */
  readonly isFirstAttempt: boolean;
  /** True if another entry forwarded the request; that entry has claimed the key if necessary. */
  readonly isForwarded: boolean;
  /** The time limit that the caller requested, in milliseconds, or null if it requested none. */
  readonly requestedTimeoutMs: number | null;
};

/**
 * The outcome of a request: the response of this request, the stored response of an earlier one with
 * the same key, or a refusal with a description of each failed attempt.
 */
export type RequestOutcome =
  | { readonly kind: 'answer'; readonly answer: CompleteResponse }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | { readonly kind: 'refusal'; readonly refusal: Refusal; readonly tried: readonly string[] };

/** Another entry that has endpoints of a service. */
export type RemoteEntry = { readonly entryId: string; readonly callersUrl: string };

/** The dependencies of serving a request. */
export type ServeContext = {
  readonly configuration: () => Configuration;
  readonly hasConfiguration: () => boolean;
  /** True if this entry accepts no new requests because it is being stopped. */
  readonly isStopping: () => boolean;
  readonly admissionFor: (service: ServiceName) => ServiceAdmission;
  readonly connections: ConnectionPools;
  /** Returns the maximum number of connections of this entry to an endpoint. */
  readonly maxConnectionsFor: (service: ServiceName, endpoint: Endpoint) => number;
  readonly claims: ClaimStore;
  /**
   * Returns another entry that has endpoints of the service, preferably in this data centre.
   * Undefined if there is none.
   */
  readonly pickReadyEntry: (service: ServiceName) => RemoteEntry | undefined;
  /** Returns the proof to another entry that an entry with the mesh key forwarded the request. */
  readonly createForwardProof: (requestId: RequestId) => string;
  /** Maximum size of a response body, in bytes. */
  readonly maxResponseBytes: number;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: () => number;
};
