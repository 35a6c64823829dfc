/** Request plane of an entry: service gates, endpoints, claims and the callers port. */
import { createHmac, timingSafeEqual } from 'node:crypto';

import {
  brand,
  findDeclaration,
  storeDecision,
  computeSeatShare,
  type DecisionStore,
  type Endpoint,
  type EntryId,
  type Refusal,
  type RequestId,
  type Rng,
  type ServiceName,
} from '@valvelatch/core';
import { createGroupCommit } from '@valvelatch/platform';
import type { FastifyInstance } from 'fastify';

import type { ConfigSync } from '../config-sync/config-sync.js';
import { createCallersServer } from '../data-path/callers-server.js';
import { createClaimKeeper, type ClaimKeeper } from '../data-path/claim-keeper.js';
import { createConnections } from '../data-path/connections.js';
import {
  createEndpointDirectory,
  type EndpointDirectory,
} from '../data-path/endpoint-directory.js';
import type { OutageClaims } from '../data-path/outage-claims.js';
import type {
  CallerRequest,
  RemoteEntry,
  RequestOutcome,
  ServeContext,
} from '../data-path/request-types.js';
import { serveRequest } from '../data-path/serve-request.js';
import { createServiceGate, type ServiceGate } from '../data-path/service-gate.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { Tracing } from '../observe/trace-types.js';
import type { HeldSeat } from '../seats/seat-keeper.js';
import type { Settings } from '../settings/settings.js';
import type { Clients } from './clients.js';

/** Request plane of an entry. */
export type RequestPlane = {
  /** The server of the callers port. */
  readonly callers: FastifyInstance;
  readonly directory: EndpointDirectory;
  readonly claims: ClaimKeeper;
  readonly gates: () => readonly ServiceGate[];
  /** The number of requests that are being served. */
  readonly inFlight: () => number;
  /** Refuses all new requests from now on with the verdict `notRun`. */
  readonly refuseNew: () => void;
  /** Reads the workers' tasks and closes connections to addresses that are no longer in use. */
  readonly pollTasks: (otherAddresses: readonly string[]) => Promise<void>;
  readonly close: () => Promise<void>;
};

export type RequestPlaneOptions = {
  readonly self: EntryId;
  readonly settings: Settings;
  readonly clients: Clients;
  readonly configSync: ConfigSync;
  readonly heldSeat: () => HeldSeat | null;
  readonly outage: OutageClaims;
  readonly inDoubt: () => readonly string[];
  readonly isHealthy: () => boolean;
  readonly otherEntry: (service: ServiceName) => RemoteEntry | undefined;
  readonly decisions: DecisionStore;
  readonly rng: Rng;
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  readonly log: Log;
};

const createRequestIds = (self: EntryId): (() => RequestId) => {
  const startTag = Date.now().toString(36);
  let count = 0;
  return () => {
    count += 1;
    return brand<RequestId>(`${self}.${startTag}.${count.toString(36)}`);
  };
};

/** Creates and checks HMACs that prove that a request was forwarded by an entry that knows the mesh key. */
const createForwardProofFunctions = (meshKey: string) => {
  const proofOf = (requestId: string): string =>
    createHmac('sha256', meshKey).update(requestId).digest('base64url');
  const isProof = (proof: string, requestId: string): boolean => {
    const expected = Buffer.from(proofOf(requestId));
    const actual = Buffer.from(proof);
    return expected.length === actual.length && timingSafeEqual(expected, actual);
  };
  return { proofOf, isProof };
};

/**
 * Creates the request plane. Its server does not listen yet.
 *
 * @param options - The settings, the clients, the seat and how to reach the other entries.
 * @returns The request plane.
 */
export const createRequestPlane = ({
  self,
  settings,
  clients,
  configSync,
  heldSeat,
  outage,
  inDoubt,
  isHealthy,
  otherEntry,
  decisions,
  rng,
  tracing,
  metrics,
  log,
}: RequestPlaneOptions): RequestPlane => {
  const { table, workers } = clients;
  const gates = new Map<ServiceName, ServiceGate>();
  const connections = createConnections();
  const proofs = createForwardProofFunctions(settings['mesh-key']);
  let inFlight = 0;
  let isRefusingNewRequests = false;

  const getOrCreateGate = (service: ServiceName): ServiceGate => {
    const existing = gates.get(service);
    if (existing) return existing;
    const created = createServiceGate({ service, rng, mostWaiting: settings['most-waiting'] });
    gates.set(service, created);
    return created;
  };

  const directory = createEndpointDirectory({
    configuration: configSync.current,
    seat: heldSeat,
    gate: getOrCreateGate,
    knownServices: () => Array.from(gates.keys()),
  });

  const claims = createClaimKeeper({
    table,
    commits: createGroupCommit({ table }),
    outage,
    inDoubt,
    self,
  });

  const connectionShare = (service: ServiceName, endpoint: Endpoint): number => {
    const spec = findDeclaration(configSync.current(), 'Service', service)?.spec;
    const held = heldSeat();
    if (!spec || !held) return endpoint.slotShare;
    const share = computeSeatShare(spec.connections, held.seats, held.seat, endpoint.endpointId);
    return Math.min(share, endpoint.slotShare);
  };

  const context: ServeContext = {
    configuration: configSync.current,
    isConfigurationKnown: configSync.isKnown,
    isStopping: () => isRefusingNewRequests,
    gate: getOrCreateGate,
    connections,
    connectionShare,
    claims,
    otherEntry,
    forwardProof: proofs.proofOf,
    mostAnswerBytes: settings['most-body-bytes'],
    tracing,
    metrics,
    nowMs: () => performance.now(),
  };

  const serve = async (request: CallerRequest): Promise<RequestOutcome> => {
    const receivedMs = performance.now();
    inFlight += 1;
    try {
      return await serveRequest(context, request);
    } finally {
      inFlight -= 1;
      metrics.time('request', (performance.now() - receivedMs) * 1000);
    }
  };

  const onRefusal = (refusal: Refusal, tried: readonly string[], service: string): void => {
    const { requestId, reason, verdict, detail } = refusal;
    metrics.count(`refused_${verdict}`);
    storeDecision(decisions, {
      subject: `request/${requestId}`,
      outcome: `refused: ${reason}, verdict ${verdict}`,
      reason: `service=${service}: ${detail}`,
      revision: configSync.current().revision,
      tried,
      atMs: Date.now(),
    });
    log.debug('request-refused', { requestId, reason, verdict });
  };

  const callers = createCallersServer({
    serve,
    newRequestId: createRequestIds(self),
    isForwardProof: proofs.isProof,
    isHealthy,
    onRefusal,
    mostBodyBytes: settings['most-body-bytes'],
    mostHeaderBytes: settings['most-header-bytes'],
    receiveTimeoutMs: settings['receive-timeout-ms'],
  });

  const pollTasks = async (otherAddresses: readonly string[]): Promise<void> => {
    const observed = await workers.tasks();
    directory.takeTasks(observed.isOk() ? observed.value : directory.tasks());
    connections.keepOnly(new Set([...directory.addresses(), ...otherAddresses]));
  };

  return {
    callers,
    directory,
    claims,
    gates: () => Array.from(gates.values()),
    inFlight: () => inFlight,
    refuseNew: () => {
      isRefusingNewRequests = true;
    },
    pollTasks,
    close: connections.close,
  };
};
