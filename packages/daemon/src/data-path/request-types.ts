/** What the request path speaks of: a caller's request, its end, and what serving depends on. */
import type { IncomingHttpHeaders } from 'node:http';

import type {
  CallerId,
  Configuration,
  Endpoint,
  KeptAnswer,
  Refusal,
  RequestId,
  ServiceName,
} from '@valvelatch/core';

import type { Metrics } from '../observe/metrics.js';
import type { Tracing } from '../observe/trace-types.js';
import type { WholeAnswer } from './attempt.js';
import type { ClaimKeeper } from './claim-keeper.js';
import type { Connections } from './connections.js';
import type { ServiceGate } from './service-gate.js';

/** A request as it was read from the caller. */
export type CallerRequest = {
  readonly requestId: RequestId;
  readonly service: ServiceName;
  readonly method: string;
  /** Path and query behind the service's name, beginning with a slash. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | null;
  readonly callerId: CallerId;
  readonly isRepeatable: boolean;
  readonly key: string | null;
  readonly isFirstAttempt: boolean;
  /** True if another entry passed the request on; it has claimed it, if that was needed. */
  readonly isForwarded: boolean;
  /** The caller's own bound on time, if it gave one. */
  readonly wantedMs: number | null;
};

/** How a request ended. */
export type RequestOutcome =
  | { readonly kind: 'answer'; readonly answer: WholeAnswer }
  | { readonly kind: 'replay'; readonly answer: KeptAnswer }
  | { readonly kind: 'refusal'; readonly refusal: Refusal; readonly tried: readonly string[] };

/** Another entry that can serve a service. */
export type RemoteEntry = { readonly entryId: string; readonly callersUrl: string };

/** What the way of a request depends on. */
export type ServeContext = {
  readonly configuration: () => Configuration;
  readonly isConfigurationKnown: () => boolean;
  readonly isStopping: () => boolean;
  readonly gate: (service: ServiceName) => ServiceGate;
  readonly connections: Connections;
  readonly connectionShare: (service: ServiceName, endpoint: Endpoint) => number;
  readonly claims: ClaimKeeper;
  /** An entry that has endpoints of the service: of this data centre if there is one. */
  readonly otherEntry: (service: ServiceName) => RemoteEntry | undefined;
  /** Proves to another entry that a request was passed on by one of its own. */
  readonly forwardProof: (requestId: RequestId) => string;
  readonly mostAnswerBytes: number;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};
