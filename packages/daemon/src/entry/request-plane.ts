/** Request plane of an entry: service admission, endpoints, claims and the callers port. */
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
import { createClaimStore, type ClaimStore } from '../data-path/claim-store.js';
import { createConnectionPools } from '../data-path/connection-pools.js';
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
import { createServiceAdmission, type ServiceAdmission } from '../data-path/service-admission.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { Tracing } from '../observe/trace-types.js';
import type { HeldSeat } from '../seats/seat-manager.js';
import type { Settings } from '../settings/settings.js';
import type { Clients } from './clients.js';

/** Request plane of an entry. */
export type RequestPlane = {
  /** The server of the callers port. */
  readonly callersServer: FastifyInstance;
  readonly directory: EndpointDirectory;
  readonly claims: ClaimStore;
  readonly gates: () => readonly ServiceAdmission[];
  /** The number of requests that are being served. */
  readonly inFlightCount: () => number;
  /** Refuses all new requests from now on with the verdict `notRun`. */
  readonly refuseNewRequests: () => void;
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
  readonly outageClaims: OutageClaims;
  readonly dataCentresWithUnflushedClaims: () => readonly string[];
  readonly isHealthy: () => boolean;
  readonly pickReadyEntry: (service: ServiceName) => RemoteEntry | undefined;
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
  self: ownEntryId,
  settings,
  clients,
  configSync,
  heldSeat,
  outageClaims,
  dataCentresWithUnflushedClaims,
  isHealthy,
  pickReadyEntry,
  decisions,
  rng,
  tracing,
  metrics,
  log,
}: RequestPlaneOptions): RequestPlane => {
  const { table, workers } = clients;
  const gates = new Map<ServiceName, ServiceAdmission>();
  const connections = createConnectionPools();
  const proofs = createForwardProofFunctions(settings['mesh-key']);
  let inFlight = 0;
  let isRefusingNewRequests = false;

  const getOrCreateGate = (service: ServiceName): ServiceAdmission => {
    const existing = gates.get(service);
    if (existing) return existing;
    const created = createServiceAdmission({ service, rng, maxWaiting: settings['most-waiting'] });
    gates.set(service, created);
    return created;
  };

  const directory = createEndpointDirectory({
    configuration: configSync.current,
    heldSeat,
    admissionFor: getOrCreateGate,
    knownServices: () => Array.from(gates.keys()),
  });

  const claims = createClaimStore({
    table,
    groupCommit: createGroupCommit({ table }),
    outageClaims,
    dataCentresWithUnflushedClaims,
    ownEntryId,
  });

  const maxConnectionsFor = (service: ServiceName, endpoint: Endpoint): number => {
    const spec = findDeclaration(configSync.current(), 'Service', service)?.spec;
    const held = heldSeat();
    if (!spec || !held) return endpoint.slotShare;
    const share = computeSeatShare(
      spec.connections,
      held.seatCount,
      held.seatIndex,
      endpoint.endpointId,
    );
    return Math.min(share, endpoint.slotShare);
  };

  const context: ServeContext = {
    configuration: configSync.current,
    hasConfiguration: configSync.isKnown,
    isStopping: () => isRefusingNewRequests,
    admissionFor: getOrCreateGate,
    connections,
    maxConnectionsFor,
    claims,
    pickReadyEntry,
    createForwardProof: proofs.proofOf,
    maxResponseBytes: settings['most-body-bytes'],
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

  const callersServer = createCallersServer({
    serve,
    generateRequestId: createRequestIds(ownEntryId),
    isValidForwardProof: proofs.isProof,
    isHealthy,
    onRefusal,
    maxBodyBytes: settings['most-body-bytes'],
    maxHeaderBytes: settings['most-header-bytes'],
    receiveTimeoutMs: settings['receive-timeout-ms'],
  });

  const pollTasks = async (otherAddresses: readonly string[]): Promise<void> => {
    const observed = await workers.tasks();
    directory.updateTasks(observed.isOk() ? observed.value : directory.tasks());
    connections.closeAllExcept(new Set([...directory.addresses(), ...otherAddresses]));
  };

  return {
    callersServer,
    directory,
    claims,
    gates: () => Array.from(gates.values()),
    inFlightCount: () => inFlight,
    refuseNewRequests: () => {
      isRefusingNewRequests = true;
    },
    pollTasks,
    close: connections.close,
  };
};
