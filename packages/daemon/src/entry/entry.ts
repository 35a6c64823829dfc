/** Assembles an entry: request plane, mesh link, seats, control plane and the servers of its ports. */
import {
  brand,
  createDecisionStore,
  createRng,
  hash32,
  findDecision,
  type DataCentreId,
  type EntryId,
  type Member,
  type SeatTerm,
  type ServiceName,
} from '@valvelatch/core';

import { createConfigSync } from '../config-sync/config-sync.js';
import type { ReplicatedClaim } from '../data-path/outage-claims.js';
import { createMeshLink } from '../mesh-link/mesh-link.js';
import { createLog } from '../observe/log.js';
import { createMetrics } from '../observe/metrics.js';
import { createTracing } from '../observe/tracing.js';
import type { EntryStatus } from '../operators/operator-context.js';
import { createOperatorHandlers } from '../operators/operator-handlers.js';
import { createOperatorsServer } from '../operators/operators-server.js';
import type { Settings } from '../settings/settings.js';
import { startLoops } from '../shared/loops.js';
import { sleep } from '../shared/sleep.js';
import { createClients } from './clients.js';
import { createControlPlane } from './control-plane.js';
import { createEntryLoops } from './entry-loops.js';
import { closeWhenIdle, listen, formatUrl } from './ports.js';
import { createRequestPlane } from './request-plane.js';
import { createSeatServices } from './seat-services.js';

/** Addresses on which a running entry listens. */
export type EntryAddresses = {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly meshUrl: string;
};

/** A running entry. */
export type Entry = {
  readonly addresses: EntryAddresses;
  /**
   * Shuts the entry down: reports itself unhealthy to the load balancer, finishes the requests in flight and
   * closes its ports and clients.
   */
  readonly stop: () => Promise<void>;
};

/** Timeout of a call to another entry. */
const ASK_TIMEOUT_MS = 1500;
/** After this time a new entry no longer waits for its warm-up before it reports itself healthy. */
const MAX_WARM_UP_MS = 15_000;
/**
 * How long an entry that is stopping still accepts requests. The load balancer must see the health check fail
 * before the entry stops listening.
 */
const LOAD_BALANCER_DELAY_MS = 500;
const REVISION_POLL_MS = 20;

/**
 * Starts an entry.
 *
 * @param settings - The validated settings.
 * @returns The running entry.
 * @throws If a port cannot be listened on.
 */
export const startEntry = async (settings: Settings): Promise<Entry> => {
  const self = brand<EntryId>(settings['entry-id']);
  const dataCentre = brand<DataCentreId>(settings['data-centre']);
  const host = settings['listen-host'];
  const log = createLog({ level: settings['log-level'], commonFields: { entry: self } });
  const metrics = createMetrics();
  const tracing = await createTracing(settings, log);
  const decisions = createDecisionStore();
  const rng = createRng(hash32(self) % 2 ** 31);
  const clients = createClients(settings);
  const { table, objects } = clients;
  const incarnation = Date.now();
  const startedMs = performance.now();
  let isStopping = false;
  let addresses: EntryAddresses = { callersUrl: '', operatorsUrl: '', meshUrl: '' };

  const configSync = createConfigSync({
    table,
    objects,
    log,
    onChange: (deltas) => meshLink.broadcastDeltas(deltas),
  });

  const member = (): Member => ({
    entryId: self,
    dataCentre,
    incarnation,
    status: 'alive',
    ...addresses,
  });

  const ownStatus = (): EntryStatus => ({
    entryId: self,
    dataCentre,
    revision: configSync.current().revision,
    seat: seatKeeper.heldSeat()?.seatIndex ?? null,
    controls: controlPlane.heldPools(),
    endpoints: Object.fromEntries(
      requestPlane.gates().map(({ service, endpoints }) => [service, endpoints().length]),
    ),
  });

  const awaitRevision = async (revision: number, waitMs: number): Promise<boolean> => {
    const deadlineMs = performance.now() + waitMs;
    while (configSync.current().revision < revision) {
      if (performance.now() >= deadlineMs)
        throw new Error(`revision ${revision} is not in force yet`);
      await sleep(REVISION_POLL_MS);
    }
    return true;
  };

  /** Handlers of the methods that other entries can call, by method name. */
  const askHandlers: Readonly<Record<string, (payload: never) => unknown>> = {
    status: () => ownStatus(),
    'await-revision': ({ revision, waitMs }: { revision: number; waitMs: number }) =>
      awaitRevision(revision, waitMs),
    recall: ({ subject }: { subject: string }) => findDecision(decisions, subject),
    withheld: ({ subject }: { subject: string }) =>
      controlPlane.withheldActions().filter((action) => action.subject === subject),
    'quiet-at': ({ endpointId }: { endpointId: string }) => {
      requestPlane.directory.markLeaving(endpointId);
      return requestPlane.directory.inFlightCount(endpointId) === 0;
    },
    'promise-seat': (term: SeatTerm) => seatKeeper.handlePromiseRequest(term),
    'consent-seat': (term: SeatTerm) => seatKeeper.handleConsentRequest(term),
    'keep-claim': (claim: ReplicatedClaim) => outageClaims.storeReplica(claim),
  };

  const readyServices = (): readonly ServiceName[] =>
    requestPlane
      .gates()
      .filter((gate) => gate.hasReadyEndpoint())
      .map(({ service }) => service);

  const meshLink = await createMeshLink({
    host,
    port: settings['mesh-port'],
    key: settings['mesh-key'],
    seeds: settings.seeds,
    member,
    configSync,
    readyServices,
    askHandlers,
    rng,
    log,
  });

  const askEntry = async (entryId: EntryId, method: string, payload: unknown): Promise<boolean> => {
    const peer = meshLink.members().find((other) => other.entryId === entryId);
    if (!peer) return false;
    return (await meshLink.ask(peer, method, payload, ASK_TIMEOUT_MS).catch(() => false)) === true;
  };

  const seatPlane = createSeatServices({
    self,
    dataCentre,
    table,
    configuration: configSync.current,
    leaseMs: settings['seat-lease-ms'],
    askEntry,
    log,
  });
  const { seatKeeper, outageClaims, doubtWatch } = seatPlane;

  /**
   * A new entry must watch the seats of all data centres for a while before it knows which of them may hold
   * claims that the table lacks.
   */
  const isWarmedUp = (): boolean =>
    doubtWatch.dataCentresWithUnflushedClaims().length === 0 ||
    performance.now() - startedMs > MAX_WARM_UP_MS;

  const requestPlane = createRequestPlane({
    self,
    settings,
    clients,
    configSync,
    heldSeat: seatKeeper.heldSeat,
    outageClaims,
    dataCentresWithUnflushedClaims: doubtWatch.dataCentresWithUnflushedClaims,
    isHealthy: () => !isStopping && configSync.isKnown() && isWarmedUp(),
    pickReadyEntry: meshLink.pickReadyEntry,
    decisions,
    rng,
    tracing,
    metrics,
    log,
  });

  const controlPlane = createControlPlane({
    self,
    dataCentre,
    clients,
    configuration: configSync.current,
    directory: requestPlane.directory,
    seatKeeper,
    askIfIdle: (holder, endpointId) => askEntry(holder, 'quiet-at', { endpointId }),
    isCandidate: meshLink.isGlobalDutyCandidate,
    leaseMs: settings['control-lease-ms'],
    decisions,
    log,
    metrics,
  });

  const updateGauges = (): void => {
    const { user, system } = process.cpuUsage();
    metrics.gauge('configuration_revision', configSync.current().revision);
    metrics.gauge('requests_in_flight', requestPlane.inFlightCount());
    metrics.gauge('members', meshLink.members().length);
    metrics.gauge('process_cpu_us', user + system);
    metrics.gauge('process_resident_bytes', process.memoryUsage.rss());
  };

  const operators = createOperatorsServer({
    operatorKey: settings['operator-key'],
    handlers: createOperatorHandlers({
      table,
      configSync,
      decisions,
      listWithheldActions: controlPlane.withheldActions,
      ownStatus,
      members: meshLink.members,
      request: meshLink.ask,
      entryId: self,
    }),
    metrics,
    beforeMetrics: updateGauges,
    onHandlerError: (method, detail) => log.error('operator-fault', { method, detail }),
  });

  addresses = {
    callersUrl: await listen(requestPlane.callersServer, host, settings['callers-port']),
    operatorsUrl: await listen(operators, host, settings['operators-port']),
    meshUrl: formatUrl('ws', host, meshLink.port),
  };
  meshLink.join();

  const loops = createEntryLoops({
    settings,
    configSync,
    meshLink,
    seatPlane,
    requestPlane,
    controlPlane,
  });
  const running = startLoops(loops, (name, error) =>
    log.error('loop-failed', { loop: name, detail: String(error) }),
  );

  const stop = async (): Promise<void> => {
    isStopping = true;
    log.info('stopping', { inFlight: requestPlane.inFlightCount() });
    await sleep(LOAD_BALANCER_DELAY_MS);
    requestPlane.refuseNewRequests();
    await closeWhenIdle(requestPlane.callersServer);
    await running.stop();
    await controlPlane.release();
    await outageClaims.flush();
    await seatKeeper.release();
    meshLink.leave();
    await operators.close();
    await meshLink.close();
    await requestPlane.close();
    await clients.close();
    await tracing.close();
    log.info('stopped');
  };

  log.info('listening', { dataCentre, ...addresses });
  return { addresses, stop };
};
