/** One entry, put together: data path, mesh, control and the two ports. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { AddressInfo } from 'node:net';

import {
  brand,
  createDecisionMemory,
  createRng,
  declaredHosts,
  declarationsOf,
  findDeclaration,
  hash32,
  recallDecision,
  rememberDecision,
  shareOfSeat,
  type DataCentreId,
  type EntryId,
  type HostId,
  type Member,
  type PoolName,
  type RequestId,
  type SeatTerm,
  type ServiceName,
} from '@valvelatch/core';
import {
  createGroupCommit,
  createHostListClient,
  createObjectClient,
  createTableClient,
  createWorkerClient,
  withBatchedReads,
} from '@valvelatch/platform';

import { createConfigSync } from './config-sync/config-sync.js';
import { createDataCentreAgent } from './control/data-centre-agent.js';
import {
  controlLeaseName,
  createPoolControl,
  poolName,
  type PoolControl,
} from './control/pool-control.js';
import { createCallersServer } from './data-path/callers-server.js';
import { createClaimKeeper } from './data-path/claim-keeper.js';
import { createConnections } from './data-path/connections.js';
import { createDoubtWatch } from './data-path/doubt-watch.js';
import { createEndpointDirectory } from './data-path/endpoint-directory.js';
import { createOutageClaims, type SharedClaim } from './data-path/outage-claims.js';
import { createServiceGate, type ServiceGate } from './data-path/service-gate.js';
import { serveRequest, type ServeContext } from './data-path/serve-request.js';
import { createLeaseKeeper } from './leases/lease-keeper.js';
import { createMeshLink } from './mesh-link/mesh-link.js';
import { createLog } from './observe/log.js';
import { createMetrics } from './observe/metrics.js';
import { createTracing } from './observe/tracing.js';
import { createOperatorHandlers, type EntryStatus } from './operators/operator-handlers.js';
import { createOperatorsServer } from './operators/operators-server.js';
import { createSeatKeeper } from './seats/seat-keeper.js';
import type { Settings } from './settings/settings.js';
import { startLoops, type Loop } from './shared/loops.js';

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

const TASK_POLL_MS = 200;
const PUMP_MS = 20;
const MESH_TICK_MS = 1000;
const CONFIG_POLL_MS = 500;
/** Each lease on a seat is looked at so often, and the seats of others so often. */
const SEAT_TICKS_PER_LEASE = 12;
const DOUBT_TICKS_PER_LEASE = 6;
const CLAIMS_TICK_MS = 1000;
const AGENT_TICK_MS = 250;
const LONGEST_WARM_UP_MS = 15_000;
const POLLERS_PER_DATA_CENTRE = 2;
const ASK_MS = 1500;
/** The balancer needs to see the health answer change before the entry stops to listen. */
const BALANCER_NOTICE_MS = 500;
const DRAIN_CHECK_MS = 20;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const urlOf = (scheme: string, host: string, port: number): string =>
  `${scheme}://${host.includes(':') ? `[${host}]` : host}:${port}`;

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
  const log = createLog({ level: settings['log-level'], common: { entry: self } });
  const metrics = createMetrics();
  const tracing = createTracing(settings, log);
  const decisions = createDecisionMemory();
  const platform = { url: settings['platform-url'], timeoutMs: settings['platform-timeout-ms'] };
  const table = withBatchedReads(createTableClient(platform));
  const objects = createObjectClient(platform);
  const hostList = createHostListClient(platform);
  const workers = createWorkerClient({
    url: settings['workers-url'],
    timeoutMs: settings['platform-timeout-ms'],
  });
  const incarnation = Date.now();
  let isStopping = false;
  let refusesNew = false;
  let inFlight = 0;
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

  const rng = createRng(hash32(self) % 2 ** 31);
  const gates = new Map<ServiceName, ServiceGate>();
  const gate = (service: ServiceName): ServiceGate => {
    const known = gates.get(service);
    if (known) return known;
    const built = createServiceGate({ service, rng, mostWaiting: settings['most-waiting'] });
    gates.set(service, built);
    return built;
  };

  const withheld = () => Array.from(controls.values()).flatMap((control) => control.withheld());

  const ownStatus = (): EntryStatus => ({
    entryId: self,
    dataCentre,
    revision: configSync.current().revision,
    seat: seatKeeper.held()?.seat ?? null,
    controls: Array.from(controls).flatMap(([pool, control]) => (control.holds() ? [pool] : [])),
    endpoints: Object.fromEntries(
      Array.from(gates, ([service, one]) => [service, one.endpoints().length]),
    ),
  });

  const awaitRevision = async (revision: number, waitMs: number): Promise<boolean> => {
    const untilMs = performance.now() + waitMs;
    while (configSync.current().revision < revision) {
      if (performance.now() >= untilMs) throw new Error(`revision ${revision} is not in force yet`);
      await pause(DRAIN_CHECK_MS);
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
      withheld().filter((one) => one.subject === subject),
    'quiet-at': ({ endpointId }: { endpointId: string }) => {
      directory.markLeaving(endpointId);
      return directory.inFlightAt(endpointId) === 0;
    },
    'promise-seat': (term: SeatTerm) => seatKeeper.onPromiseAsked(term),
    'consent-seat': (term: SeatTerm) => seatKeeper.onConsentAsked(term),
    'keep-claim': (claim: SharedClaim) => outage.keepFor(claim),
  };

  const readyServices = (): readonly ServiceName[] =>
    Array.from(gates.values())
      .filter((one) => one.isReady())
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

  const seatKeeper = createSeatKeeper({
    self,
    seats: () =>
      findDeclaration(configSync.current(), 'DataCentre', dataCentre)?.spec.entrySeats ?? 0,
    createLease: (seat, mayTake) =>
      createLeaseKeeper({
        table,
        name: `seat/${dataCentre}/${seat}`,
        self,
        durationMs: settings['seat-lease-ms'],
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
    leaseMs: settings['seat-lease-ms'],
    otherHolders: seatKeeper.otherHolders,
    askKeep: (holder, claim) => askEntry(holder, 'keep-claim', claim),
  });
  const doubtWatch = createDoubtWatch({ table });

  const directory = createEndpointDirectory({
    configuration: configSync.current,
    seat: seatKeeper.held,
    gate,
    knownServices: () => Array.from(gates.keys()),
  });

  const longestRequestMs = (): number =>
    Math.max(
      0,
      ...declarationsOf(configSync.current(), 'Service').map(({ spec }) => spec.requestTimeoutMs),
    );

  /** Every entry that may send to an endpoint has a seat here; each must say that it is quiet. */
  const isQuiet = async (endpointId: string): Promise<boolean> => {
    directory.markLeaving(endpointId);
    if (directory.inFlightAt(endpointId) > 0) return false;
    const others = seatKeeper.otherHolders();
    const answers = await Promise.all(
      others.map(
        async (holder) =>
          (await askEntry(holder, 'quiet-at', { endpointId })) ||
          seatKeeper.hasLapsed(holder, longestRequestMs()),
      ),
    );
    return answers.every(Boolean);
  };

  const localHosts = (): ReadonlySet<HostId> =>
    new Set(
      declaredHosts(configSync.current())
        .filter((spec) => spec.dataCentre === dataCentre)
        .map(({ hostId }) => hostId),
    );

  const agent = createDataCentreAgent({
    table,
    workers,
    hostList,
    configuration: configSync.current,
    localHosts,
    tasks: directory.tasks,
    isQuiet,
    log,
    metrics,
  });

  const controls = new Map<PoolName, PoolControl>();
  const controlOf = (pool: PoolName): PoolControl => {
    const known = controls.get(pool);
    if (known) return known;
    const built = createPoolControl({
      pool,
      lease: createLeaseKeeper({
        table,
        name: controlLeaseName(pool),
        self,
        durationMs: settings['control-lease-ms'],
      }),
      table,
      hostList,
      configuration: configSync.current,
      log,
      metrics,
    });
    controls.set(pool, built);
    return built;
  };

  const runControls = async (): Promise<void> => {
    const pools = declarationsOf(configSync.current(), 'Pool').map(({ name }) => poolName(name));
    await Promise.all(
      pools
        .filter((pool) => controls.get(pool)?.holds() || meshLink.hasGlobalDuty(`control/${pool}`))
        .map((pool) => controlOf(pool).tick()),
    );
  };

  const forwardProof = (requestId: string): string =>
    createHmac('sha256', settings['mesh-key']).update(requestId).digest('base64url');
  const isForwardProof = (proof: string, requestId: string): boolean => {
    const wanted = Buffer.from(forwardProof(requestId));
    const given = Buffer.from(proof);
    return wanted.length === given.length && timingSafeEqual(wanted, given);
  };

  const startedMs = performance.now();
  /** A new entry watches the seats for a while before it can vouch for claims. */
  const isWarm = (): boolean =>
    doubtWatch.inDoubt().length === 0 || performance.now() - startedMs > LONGEST_WARM_UP_MS;

  const claims = createClaimKeeper({
    table,
    commits: createGroupCommit({ table }),
    outage,
    inDoubt: doubtWatch.inDoubt,
    self,
  });
  const connections = createConnections();
  const context: ServeContext = {
    configuration: configSync.current,
    isConfigurationKnown: configSync.isKnown,
    isStopping: () => refusesNew,
    gate,
    connections,
    connectionShare: (service, endpoint) => {
      const spec = findDeclaration(configSync.current(), 'Service', service)?.spec;
      const held = seatKeeper.held();
      if (!spec || !held) return endpoint.slotShare;
      const share = shareOfSeat(spec.connections, held.seats, held.seat, endpoint.endpointId);
      return Math.min(share, endpoint.slotShare);
    },
    claims,
    otherEntry: meshLink.otherEntry,
    forwardProof,
    mostAnswerBytes: settings['most-body-bytes'],
    tracing,
    metrics,
    nowMs: () => performance.now(),
  };

  let requestCount = 0;
  const startedTag = incarnation.toString(36);
  const newRequestId = (): RequestId => {
    requestCount += 1;
    return brand<RequestId>(`${self}.${startedTag}.${requestCount.toString(36)}`);
  };

  const callers = createCallersServer({
    serve: async (request) => {
      const receivedMs = performance.now();
      inFlight += 1;
      try {
        return await serveRequest(context, request);
      } finally {
        inFlight -= 1;
        metrics.time('request', (performance.now() - receivedMs) * 1000);
      }
    },
    newRequestId,
    isForwardProof,
    isHealthy: () => !isStopping && configSync.isKnown() && isWarm(),
    onRefusal: (refusal, tried, service) => {
      metrics.count(`refused_${refusal.verdict}`);
      rememberDecision(decisions, {
        subject: `request/${refusal.requestId}`,
        outcome: `refused: ${refusal.reason}, verdict ${refusal.verdict}`,
        reason: `service=${service}: ${refusal.detail}`,
        revision: configSync.current().revision,
        tried,
        atMs: Date.now(),
      });
      log.debug('request-refused', {
        requestId: refusal.requestId,
        reason: refusal.reason,
        verdict: refusal.verdict,
      });
    },
    mostBodyBytes: settings['most-body-bytes'],
    mostHeaderBytes: settings['most-header-bytes'],
    receiveTimeoutMs: settings['receive-timeout-ms'],
  });

  const operators = createOperatorsServer({
    operatorKey: settings['operator-key'],
    handlers: createOperatorHandlers({
      table,
      configSync,
      decisions,
      withheld,
      ownStatus,
      members: meshLink.members,
      ask: meshLink.ask,
      self,
    }),
    metrics,
    beforeMetrics: () => {
      metrics.gauge('configuration_revision', configSync.current().revision);
      metrics.gauge('requests_in_flight', inFlight);
      metrics.gauge('members', meshLink.members().length);
      const { user, system } = process.cpuUsage();
      metrics.gauge('process_cpu_us', user + system);
      metrics.gauge('process_resident_bytes', process.memoryUsage.rss());
    },
    onFault: (method, detail) => log.error('operator-fault', { method, detail }),
  });

  await callers.listen({ host, port: settings['callers-port'] });
  await operators.listen({ host, port: settings['operators-port'] });
  const portOf = (server: { address: () => unknown }) => (server.address() as AddressInfo).port;
  addresses = {
    callersUrl: urlOf('http', host, portOf(callers.server)),
    operatorsUrl: urlOf('http', host, portOf(operators.server)),
    meshUrl: urlOf('ws', host, meshLink.port),
  };
  meshLink.join();

  const pollTasks = async (): Promise<void> => {
    const observed = await workers.tasks();
    if (observed.isOk()) directory.takeTasks(observed.value);
    else directory.takeTasks(directory.tasks());
    connections.keepOnly(
      new Set([
        ...directory.addresses(),
        ...meshLink.members().map(({ callersUrl }) => callersUrl),
      ]),
    );
  };

  const loops: readonly Loop[] = [
    { name: 'tasks', everyMs: TASK_POLL_MS, run: pollTasks },
    { name: 'pump', everyMs: PUMP_MS, run: async () => gates.forEach((one) => one.pump()) },
    { name: 'mesh', everyMs: MESH_TICK_MS, run: async () => meshLink.tick() },
    {
      name: 'configuration',
      everyMs: CONFIG_POLL_MS,
      run: async () => {
        const isPoller = meshLink.hasDuty('configuration', POLLERS_PER_DATA_CENTRE);
        if (isPoller || !configSync.isKnown()) await configSync.poll();
      },
    },
    {
      name: 'seat',
      everyMs: settings['seat-lease-ms'] / SEAT_TICKS_PER_LEASE,
      run: seatKeeper.tick,
    },
    {
      name: 'doubt',
      everyMs: settings['seat-lease-ms'] / DOUBT_TICKS_PER_LEASE,
      run: doubtWatch.tick,
    },
    {
      name: 'claims',
      everyMs: CLAIMS_TICK_MS,
      run: async () => {
        await outage.flush();
        await claims.releaseStrays();
      },
    },
    {
      name: 'agent',
      everyMs: AGENT_TICK_MS,
      run: async () => {
        if (meshLink.hasDuty('agent', 1)) await agent.tick();
      },
    },
    { name: 'control', everyMs: settings['control-turn-ms'], run: runControls },
  ];
  const running = startLoops(loops, (name, error) =>
    log.error('loop-failed', { loop: name, detail: String(error) }),
  );

  /** A connection that is kept alive would hold up the end; one that is in use is never cut. */
  const closeWhenIdle = async (): Promise<void> => {
    let isClosed = false;
    const closed = callers.close().then(() => {
      isClosed = true;
    });
    while (!isClosed) {
      callers.server.closeIdleConnections();
      await pause(DRAIN_CHECK_MS);
    }
    await closed;
  };

  const stop = async (): Promise<void> => {
    isStopping = true;
    log.info('stopping', { inFlight });
    await pause(BALANCER_NOTICE_MS);
    refusesNew = true;
    await closeWhenIdle();
    await running.stop();
    await Promise.all(Array.from(controls.values(), (control) => control.release()));
    await outage.flush();
    await seatKeeper.release();
    meshLink.leave();
    await operators.close();
    await meshLink.close();
    await connections.close();
    await Promise.all([table.close(), objects.close(), hostList.close(), workers.close()]);
    await tracing.close();
    log.info('stopped');
  };

  log.info('listening', { dataCentre, ...addresses });
  return { addresses, stop };
};
