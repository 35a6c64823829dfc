/** One entry, put together: request path, mesh, control and the two ports. */
import type { AddressInfo } from 'node:net';

import {
  brand,
  createDecisionMemory,
  createRng,
  findDeclaration,
  hash32,
  recallDecision,
  type DataCentreId,
  type EntryId,
  type Member,
  type SeatTerm,
  type ServiceName,
} from '@valvelatch/core';
import type { FastifyInstance } from 'fastify';

import { createConfigSync } from '../config-sync/config-sync.js';
import { createDoubtWatch } from '../data-path/doubt-watch.js';
import { createOutageClaims, type SharedClaim } from '../data-path/outage-claims.js';
import { createLeaseKeeper } from '../leases/lease-keeper.js';
import { createMeshLink } from '../mesh-link/mesh-link.js';
import { createLog } from '../observe/log.js';
import { createMetrics } from '../observe/metrics.js';
import { createTracing } from '../observe/tracing.js';
import type { EntryStatus } from '../operators/operator-context.js';
import { createOperatorHandlers } from '../operators/operator-handlers.js';
import { createOperatorsServer } from '../operators/operators-server.js';
import { createSeatKeeper } from '../seats/seat-keeper.js';
import type { Settings } from '../settings/settings.js';
import { startLoops, type Loop } from '../shared/loops.js';
import { createClients } from './clients.js';
import { createControlPlane } from './control-plane.js';
import { createRequestPlane } from './request-plane.js';

/** The addresses of a running entry. */
export type EntryAddresses = {
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly meshUrl: string;
};

/** A running entry. */
export type Entry = {
  readonly addresses: EntryAddresses;
  /** A planned stop: leaves the balancer, finishes what is in flight, ends. */
  readonly stop: () => Promise<void>;
};

const TASK_POLL_MS = 400;
const BUSY_PUMP_MS = 20;
const IDLE_PUMP_MS = 200;
const MESH_TICK_MS = 1000;
const CONFIG_POLL_MS = 1000;
const CLAIMS_TICK_MS = 1000;
const AGENT_TICK_MS = 400;
/** Each lease on a seat is looked at so often, and the seats of others so often. */
const SEAT_TICKS_PER_LEASE = 8;
const DOUBT_TICKS_PER_LEASE = 6;
const POLLERS_PER_DATA_CENTRE = 2;
const ASK_MS = 1500;
const LONGEST_WARM_UP_MS = 15_000;
/** The balancer needs to see the health answer change before the entry stops to listen. */
const BALANCER_NOTICE_MS = 500;
const CHECK_MS = 20;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const urlOf = (scheme: string, host: string, port: number): string =>
  `${scheme}://${host.includes(':') ? `[${host}]` : host}:${port}`;

const listen = async (app: FastifyInstance, host: string, port: number): Promise<string> => {
  await app.listen({ host, port });
  return urlOf('http', host, (app.server.address() as AddressInfo).port);
};

/** A connection that is kept alive would hold up the end; one that is in use is never cut. */
const closeWhenIdle = async (app: FastifyInstance): Promise<void> => {
  let isClosed = false;
  const closed = app.close().then(() => {
    isClosed = true;
  });
  while (!isClosed) {
    app.server.closeIdleConnections();
    await pause(CHECK_MS);
  }
  await closed;
};

/**
 * Starts an entry.
 *
 * @param settings - The checked settings.
 * @returns The running entry.
 * @throws Where a port cannot be listened on.
 */
export const startEntry = async (settings: Settings): Promise<Entry> => {
  const self = brand<EntryId>(settings['entry-id']);
  const dataCentre = brand<DataCentreId>(settings['data-centre']);
  const host = settings['listen-host'];
  const leaseMs = settings['seat-lease-ms'];
  const log = createLog({ level: settings['log-level'], common: { entry: self } });
  const metrics = createMetrics();
  const tracing = await createTracing(settings, log);
  const decisions = createDecisionMemory();
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
    onChange: (deltas) => meshLink.spreadDeltas(deltas),
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
    seat: seatKeeper.held()?.seat ?? null,
    controls: controlPlane.heldPools(),
    endpoints: Object.fromEntries(
      requestPlane.gates().map(({ service, endpoints }) => [service, endpoints().length]),
    ),
  });

  const awaitRevision = async (revision: number, waitMs: number): Promise<boolean> => {
    const untilMs = performance.now() + waitMs;
    while (configSync.current().revision < revision) {
      if (performance.now() >= untilMs) throw new Error(`revision ${revision} is not in force yet`);
      await pause(CHECK_MS);
    }
    return true;
  };

  /** What other entries may ask of this one, by name. */
  const askHandlers: Readonly<Record<string, (payload: never) => unknown>> = {
    status: () => ownStatus(),
    'await-revision': ({ revision, waitMs }: { revision: number; waitMs: number }) =>
      awaitRevision(revision, waitMs),
    recall: ({ subject }: { subject: string }) => recallDecision(decisions, subject),
    withheld: ({ subject }: { subject: string }) =>
      controlPlane.withheld().filter((one) => one.subject === subject),
    'quiet-at': ({ endpointId }: { endpointId: string }) => {
      requestPlane.directory.markLeaving(endpointId);
      return requestPlane.directory.inFlightAt(endpointId) === 0;
    },
    'promise-seat': (term: SeatTerm) => seatKeeper.onPromiseAsked(term),
    'consent-seat': (term: SeatTerm) => seatKeeper.onConsentAsked(term),
    'keep-claim': (claim: SharedClaim) => outage.keepFor(claim),
  };

  const readyServices = (): readonly ServiceName[] =>
    requestPlane
      .gates()
      .filter((gate) => gate.isReady())
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
    const peer = meshLink.members().find((one) => one.entryId === entryId);
    if (!peer) return false;
    return (await meshLink.ask(peer, method, payload, ASK_MS).catch(() => false)) === true;
  };

  const doubtWatch = createDoubtWatch({ table });
  const seatKeeper = createSeatKeeper({
    self,
    seats: () =>
      findDeclaration(configSync.current(), 'DataCentre', dataCentre)?.spec.entrySeats ?? 0,
    createLease: (seat, mayTake) =>
      createLeaseKeeper({
        table,
        name: `seat/${dataCentre}/${seat}`,
        self,
        durationMs: leaseMs,
        mayTake,
        // A renewed seat says that this entry holds no claims which the table does not show.
        beforeWrite: () => outage.flush(),
      }),
    askPromise: (holder, term) => askEntry(holder, 'promise-seat', term),
    askConsent: (holder, term) => askEntry(holder, 'consent-seat', term),
    beforeUnconsented: () => doubtWatch.raise(dataCentre),
    log,
  });
  const outage = createOutageClaims({
    table,
    lapsedForMs: seatKeeper.lapsedForMs,
    isContinuing: () => seatKeeper.held()?.portion === 'continuing',
    leaseMs,
    otherHolders: seatKeeper.otherHolders,
    askKeep: (holder, claim) => askEntry(holder, 'keep-claim', claim),
  });

  /** A new entry watches the seats for a while before it can vouch for claims. */
  const isWarm = (): boolean =>
    doubtWatch.inDoubt().length === 0 || performance.now() - startedMs > LONGEST_WARM_UP_MS;

  const requestPlane = createRequestPlane({
    self,
    settings,
    clients,
    configSync,
    heldSeat: seatKeeper.held,
    outage,
    inDoubt: doubtWatch.inDoubt,
    isHealthy: () => !isStopping && configSync.isKnown() && isWarm(),
    otherEntry: meshLink.otherEntry,
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
    askQuiet: (holder, endpointId) => askEntry(holder, 'quiet-at', { endpointId }),
    isCandidate: meshLink.hasGlobalDuty,
    leaseMs: settings['control-lease-ms'],
    decisions,
    log,
    metrics,
  });

  const noteGauges = (): void => {
    const { user, system } = process.cpuUsage();
    metrics.gauge('configuration_revision', configSync.current().revision);
    metrics.gauge('requests_in_flight', requestPlane.inFlight());
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
      withheld: controlPlane.withheld,
      ownStatus,
      members: meshLink.members,
      ask: meshLink.ask,
      self,
    }),
    metrics,
    beforeMetrics: noteGauges,
    onFault: (method, detail) => log.error('operator-fault', { method, detail }),
  });

  addresses = {
    callersUrl: await listen(requestPlane.callers, host, settings['callers-port']),
    operatorsUrl: await listen(operators, host, settings['operators-port']),
    meshUrl: urlOf('ws', host, meshLink.port),
  };
  meshLink.join();

  const pollConfiguration = async (): Promise<void> => {
    const isPoller = meshLink.hasDuty('configuration', POLLERS_PER_DATA_CENTRE);
    if (isPoller || !configSync.isKnown()) await configSync.poll();
  };
  const otherAddresses = () => meshLink.members().map(({ callersUrl }) => callersUrl);

  const loops: readonly Loop[] = [
    {
      name: 'tasks',
      everyMs: TASK_POLL_MS,
      run: () => requestPlane.pollTasks(otherAddresses()),
    },
    {
      name: 'pump',
      everyMs: () => (requestPlane.inFlight() > 0 ? BUSY_PUMP_MS : IDLE_PUMP_MS),
      run: async () => requestPlane.gates().forEach((gate) => gate.pump()),
    },
    { name: 'mesh', everyMs: MESH_TICK_MS, run: async () => meshLink.tick() },
    { name: 'configuration', everyMs: CONFIG_POLL_MS, run: pollConfiguration },
    { name: 'seat', everyMs: leaseMs / SEAT_TICKS_PER_LEASE, run: seatKeeper.tick },
    { name: 'doubt', everyMs: leaseMs / DOUBT_TICKS_PER_LEASE, run: doubtWatch.tick },
    {
      name: 'claims',
      everyMs: CLAIMS_TICK_MS,
      run: async () => {
        await outage.flush();
        await requestPlane.claims.releaseStrays();
      },
    },
    {
      name: 'agent',
      everyMs: AGENT_TICK_MS,
      run: async () => {
        if (meshLink.hasDuty('agent', 1)) await controlPlane.agent.tick();
      },
    },
    { name: 'control', everyMs: settings['control-turn-ms'], run: controlPlane.tick },
  ];
  const running = startLoops(loops, (name, error) =>
    log.error('loop-failed', { loop: name, detail: String(error) }),
  );

  const stop = async (): Promise<void> => {
    isStopping = true;
    log.info('stopping', { inFlight: requestPlane.inFlight() });
    await pause(BALANCER_NOTICE_MS);
    requestPlane.refuseNew();
    await closeWhenIdle(requestPlane.callers);
    await running.stop();
    await controlPlane.release();
    await outage.flush();
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
