/**
 * A simulated fleet in virtual time: the entries run the production code for control against a table, endpoints and
 * hosts in memory, with faults on all connections between them.
 */
import {
  indexQueues,
  NO_LIMIT,
  reservedCpu,
  DEFAULT_STEP,
  TABLE_UNAVAILABLE_MS,
  type BatchJob,
  type BatchJobRow,
  type Capacity,
  type ClientAccount,
  type EndpointState,
  type DeclaredQueue,
  type SimulatedEndpoint,
  type ListedHost,
  type PlacementPolicy,
  type QueueIndex,
  type StepSpec,
  type TaskKey,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import {
  brand,
  type AccountName,
  type DataCentreId,
  type InstanceId,
  type EntryId,
  type HostId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import type { TableTransaction } from '@valvelatch/platform';
import { createGroupCommit } from '@valvelatch/platform/group-commit';

import type { Log } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import {
  NEIGHBOUR_POLL_INTERVAL_MS,
  createConfigurationSync,
  type ConfigurationSync,
  type NeighbourQuestion,
} from '../configuration/configuration-sync.js';
import { createEvacuationTracker } from '../configuration/evacuation-tracker.js';
import { createStartGate } from '../configuration/start-gate.js';
import { createControl, type Control } from '../control/control.js';
import { NOTICE_REPEAT_INTERVAL_MS } from '../jobs/cancellation-notices.js';
import { createIntake, type Intake } from '../jobs/intake.js';
import { batchKey } from '../keys.js';
import type { Peers } from '../entry/peers.js';
import { createRelayedTable, type TableCall, type RelayedTable } from '../relays/relayed-table.js';
import { createHolderPreference } from '../control/holder-preference.js';
import { createRelayOrderHandler } from '../relays/relay-order-handler.js';
import { createRelayedOrders } from '../relays/relayed-orders.js';
import {
  createSimLink,
  createSimPlatform,
  neverSettle,
  SIM_DATA_CENTRES,
  sleep,
  type EntryConditions,
} from './sim-platform.fixtures.js';
import {
  createSimWorld,
  LONG_RUNNING_START_MS,
  SIM_QUEUE_POLICY,
  type SentStart,
  type SimDomains,
  type SimFaults,
} from './sim-environment.fixtures.js';

const TICK_MS = 500;
/** The pause between two reads of the operator's rows. */
const OPERATOR_RETRY_MS = 100;
/** Entries apply a new configuration within this time. */
const APPLIED_WITHIN_MS = 3000;

/** By how much the clocks of two entries differ that were added one after the other. */
const CLOCK_OFFSET_STEP_MS = 7919;
/** How often a message that a cut holds up is tried again. */
const HELD_MESSAGE_RETRY_MS = 20;

const ownerOf = (owner: ClientAccount | undefined): Pick<BatchJob, 'owner'> =>
  owner ? { owner: { account: owner.name, maximum: owner.maximum } } : {};

const queueNameOf = (pool: string, needsAdvice: boolean): string =>
  `${needsAdvice ? 'advised' : 'q'}-${pool}`;

/** An entry of the fleet. */
export type SimEntry = EntryConditions & {
  /** The newest configuration that the entry has received. */
  configuration: QueueIndex;
  readonly entryId: EntryId;
  readonly control: Control;
  /** Handles the requests of clients that reach this entry. */
  readonly intake: Intake;
  readonly table: RelayedTable;
  /** Follows the operator's rows for evacuations only; the configuration comes from the fleet. */
  readonly operatorRows: ConfigurationSync;
  /** Relays an order to an endpoint for another entry, and returns the answer. */
  readonly relayOrder: (payload: unknown) => Promise<unknown>;
};

export type SimFleetOptions = {
  readonly hostsPerPool?: number;
  readonly pools?: readonly string[];
  readonly sparePool?: string;
  /** If left out, endpoints report no labels, and hosts alternate between two data centres. */
  readonly domains?: SimDomains;
  /** How long an endpoint's lease lasts; the entries' default if left out. */
  readonly endpointLeaseMs?: number;
  /** The bandwidth of each entry's link; unlimited if left out. */
  readonly linkBytesPerMs?: number;
  /** True if entries may relay orders for a holder whose link is busy. */
  readonly mayRelayOrders?: boolean;
  /** How endpoints are chosen for tasks of short steps; the entries' default if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** The most memory that jobs may take at a holder, in bytes; the entries' default if left out. */
  readonly jobMemoryBytes?: number;
  /** The pause between two ticks of an entry's control, which checks the control lease. */
  readonly tickMs?: number;
  /** How long after an evacuation the last task may start there; entries know of no bound if left out. */
  readonly evacuateMs?: number;
  /** The client accounts that own the submitted jobs in turn; two accounts by default. */
  readonly accounts?: readonly ClientAccount[];
  readonly random: () => number;
};

/**
 * Creates a client account.
 *
 * @param name - Its name.
 * @param cpuMillis - The most millicores that its tasks may use at a time; 0 for no limit.
 * @returns The account.
 */
export const createSimAccount = (name: string, cpuMillis: number): ClientAccount => ({
  name: brand(name),
  keyDigests: [],
  priority: 0,
  weight: 10,
  maximum: { ...NO_LIMIT, cpuMillis },
});

const HOST_CPU_MILLIS = 8000;

/** The default accounts: one may use half of the hosts' cores, the other has no limit. */
const createDefaultAccounts = (hosts: number): readonly ClientAccount[] => [
  createSimAccount('client-a', (hosts * HOST_CPU_MILLIS) / 2),
  createSimAccount('client-b', 0),
];

const maximaOf = (accounts: readonly ClientAccount[]): ReadonlyMap<AccountName, Capacity> =>
  new Map(accounts.map(({ name, maximum }) => [name, maximum]));

/** What a simulated job consists of, and how its tasks behave. */
export type SimJobOptions = {
  readonly pool: string;
  readonly steps: readonly Partial<StepSpec>[];
  readonly runMs?: number;
  /** How long a long-running task takes to become ready. */
  readonly startMs?: number;
  readonly fails?: boolean;
  /** The first task of the first step crashes each endpoint that starts it, this long after the start. */
  readonly crashesAfterMs?: number;
  /** True if only endpoints with an even number may run it, and only with a ticket of the advice service. */
  readonly needsAdvice?: boolean;
  /** The length of the job's spec, which is sent with each start. */
  readonly specBytes?: number;
  /** The account that owns the job; the accounts take turns if left out. */
  readonly account?: AccountName;
};

/** A job that a client can submit at an entry, and the queue for it. */
export type SimJob = { readonly job: BatchJob; readonly queue: DeclaredQueue };

export type SimFleet = {
  readonly entries: SimEntry[];
  readonly endpoints: Map<InstanceId, SimulatedEndpoint>;
  readonly hosts: Map<HostId, ListedHost>;
  readonly violations: string[];
  readonly startsSent: readonly SentStart[];
  readonly loggedEvents: { readonly event: string; readonly fields: object }[];
  readonly addEntry: (name: string, cores?: number) => SimEntry;
  readonly kill: (entry: SimEntry) => void;
  /** Creates a job that no client has submitted yet, and the queue for it. */
  readonly prepareJob: (options: SimJobOptions) => SimJob;
  /** Commits a transaction, past the entries. */
  readonly commit: (transaction: TableTransaction) => void;
  /** Commits the row of a job, past the entries. */
  readonly submit: (options: SimJobOptions) => JobId;
  /** Commits the cancellation row of a job, past the entries. */
  readonly cancel: (jobId: JobId) => void;
  /** Replaces the configuration's accounts; each entry applies the change within `APPLIED_WITHIN_MS`. */
  readonly declareAccounts: (accounts: readonly ClientAccount[]) => void;
  /** Has the operator order the evacuation of a data centre, or withdraw it; entries learn of it by their own feeds. */
  readonly evacuate: (dataCentre: DataCentreId) => void;
  readonly withdrawEvacuation: (dataCentre: DataCentreId) => void;
  /** Compacts the operator's rows: for 3 to 6 s, full reads return the rows as they were as long ago. */
  readonly compactOperatorRows: (options?: { readonly refusesChanges?: boolean }) => void;
  /** Has the operator order a maintenance wave. */
  readonly orderWave: (wave: MaintenanceRequest) => void;
  /** Has all present entries read all waves again, as they do when they start. */
  readonly rereadWaves: () => void;
  /** Crashes an endpoint; its host comes back after downMs, or after `faults.crashMs` (3 s by default) if left out. */
  readonly crash: (instanceId: InstanceId, downMs?: number) => void;
  /** The number of endpoints that crashed while they ran a task. */
  readonly crashes: ReadonlyMap<TaskKey, number>;
  /** Removes an endpoint from the list of endpoints; it keeps running. */
  readonly unlist: (instanceId: InstanceId) => void;
  readonly findJobRow: (jobId: JobId) => BatchJobRow | undefined;
  readonly findProgressRow: (jobId: JobId) => unknown;
  readonly findHolder: () => SimEntry | undefined;
  readonly faults: SimFaults;
  readonly waveStatus: Map<number, string>;
  /** The maintenance orders that were carried out, as `wave/host`. */
  readonly maintained: Set<string>;
};

/**
 * Creates a fleet without entries.
 *
 * @param options - Its size and its random number generator.
 * @returns The fleet.
 */
export const createSimFleet = ({
  hostsPerPool = 3,
  pools = ['alpha', 'beta'],
  sparePool,
  domains,
  endpointLeaseMs,
  linkBytesPerMs,
  mayRelayOrders = false,
  placementPolicy,
  jobMemoryBytes,
  tickMs = TICK_MS,
  evacuateMs,
  accounts = createDefaultAccounts(hostsPerPool * pools.length),
  random,
}: SimFleetOptions): SimFleet => {
  const world = createSimWorld({ hostsPerPool, pools, sparePool, domains, random });
  const { table, endpoints, hosts, jobs, violations, faults, maintained, unlisted } = world;
  const { waveStatus, waves, recordViolation, commit, operator } = world;
  const loggedEvents: { readonly event: string; readonly fields: object }[] = [];
  let jobCount = 0;

  const createConfiguration = (version: number, declared: readonly ClientAccount[]): QueueIndex =>
    indexQueues({
      version,
      accounts: declared,
      queues: pools.flatMap((pool) =>
        [false, true].map((needsAdvice) => ({
          name: brand(queueNameOf(pool, needsAdvice)),
          hostName: 'h',
          pathPrefix: `/${queueNameOf(pool, needsAdvice)}/`,
          pool: brand(pool),
          policy: { ...SIM_QUEUE_POLICY, needsAdvice },
          timeoutMs: 3000,
          isOpenToAll: false,
        })),
      ),
      pools: [
        ...pools.map((name) => ({ name: brand<PoolName>(name), isSpare: false })),
        ...(sparePool ? [{ name: brand<PoolName>(sparePool), isSpare: true }] : []),
      ],
    });
  let newestConfiguration = createConfiguration(1, accounts);
  world.activeMaxima.push({ maxima: maximaOf(accounts), untilMs: Infinity });

  const log: Log = {
    debug: () => undefined,
    info: (event, fields = {}) => loggedEvents.push({ event, fields }),
    warn: (event, fields = {}) => loggedEvents.push({ event, fields }),
    error: (event, fields = {}) => {
      loggedEvents.push({ event, fields });
      recordViolation(`${event} ${JSON.stringify(fields)}`);
    },
  };

  /** Checks that the processors that a holder counts as used on each endpoint equal the sum of the runs there. */
  const checkUsedCapacity = (known: readonly EndpointState[]): void =>
    known.forEach(({ endpointId, used, runs, orphanRuns }) => {
      const sum = [...runs.values(), ...orphanRuns.values()]
        .map(({ step }) => (step ? reservedCpu(step.spec) : 0))
        .reduce((total, cpuMillis) => total + cpuMillis, 0);
      if (used.cpuMillis === sum) return;
      recordViolation(`the holder counts ${used.cpuMillis} used on ${endpointId}, not ${sum}`);
    });

  /** Checks that a holder's usage of each account equals the sum of the runs that it knows of. */
  const checkUsage = (control: Control): void => {
    const state = control.term()?.state;
    if (!state) return;
    const endpointsKnown = [
      ...state.endpoints.values(),
      ...Array.from(state.goneEndpoints.values(), ({ endpoint }) => endpoint),
    ];
    checkUsedCapacity(endpointsKnown);
    const sums = new Map<AccountName, number>();
    endpointsKnown
      .flatMap(({ runs, orphanRuns }) => [...runs.values(), ...orphanRuns.values()])
      .flatMap(({ step }) => step ?? [])
      .forEach((step) => {
        const account = step.job.job.owner?.account;
        if (account) sums.set(account, (sums.get(account) ?? 0) + step.spec.cpuMillis);
      });
    state.usage.forEach(({ cpuMillis }, account) => {
      if (cpuMillis === (sums.get(account) ?? 0)) return;
      recordViolation(
        `the holder counts ${cpuMillis} for ${account}, whose runs sum up to ${sums.get(account) ?? 0}`,
      );
    });
  };

  /** Creates the peers of an entry's control. Questions to an entry that does not run or is cut are never answered. */
  const createPeers = (entry: SimEntry, awake: () => Promise<void>): Peers => {
    const askControl = async (entryId: EntryId, method: string, payload: unknown) => {
      const isCut = (other: SimEntry | undefined): boolean =>
        !other || other.isDead || other.isFrozen || other.isSilent || entry.isSilent;
      await awake();
      await sleep(1);
      const other = entries.find((one) => one.entryId === entryId);
      if (!other || isCut(other) || faults.lostMeshCalls.has(method)) return neverSettle();
      const answer = await other.control.handleCall(method, payload);
      await sleep(1);
      await awake();
      return isCut(other) ? neverSettle() : answer;
    };
    return {
      ask: (entryId, method, payload, ms) =>
        Promise.race([
          askControl(entryId, method, payload),
          sleep(ms).then(() => Promise.reject(new Error('no answer'))),
        ]),
      has: (entryId) => entries.some((other) => other.entryId === entryId),
      ensureLink: () => undefined,
      silentForMs: (entryId) => {
        const other = entries.find((one) => one.entryId === entryId);
        return !other || other.isFrozen || other.isSilent || entry.isSilent ? Infinity : 0;
      },
    } as Partial<Peers> as Peers;
  };

  const addEntry = (name: string, cores = 1): SimEntry => {
    const entry = {
      entryId: brand<EntryId>(name),
      isDead: false,
      isFrozen: false,
      isCutFromTable: false,
      isSilent: false,
      orderBytes: { out: 0, in: 0 },
      ...(linkBytesPerMs === undefined ? {} : { link: createSimLink(linkBytesPerMs) }),
      unreachableEndpoints: new Set<InstanceId>(),
      configuration: newestConfiguration,
    } as { -readonly [Key in keyof SimEntry]: SimEntry[Key] };

    const { platform, waitUntilRunning, transferMessage } = createSimPlatform(world, entry, {
      configuration: newestConfiguration.configuration,
      evacuateMs,
    });
    const metrics = createMetrics();
    const neighbours = (): readonly EntryId[] =>
      entries.filter((other) => other !== entry).map((other) => other.entryId);
    const evacuations = createEvacuationTracker({ maxEvacuationDelayMs: () => evacuateMs, log });
    const operatorRows = createConfigurationSync({
      feed: platform.operator,
      neighbours,
      ask: async (entryId, _, payload, ms) => {
        await waitUntilRunning();
        const other = entries.find((one) => one.entryId === entryId);
        const isLost = !other || other.isFrozen || other.isSilent || entry.isSilent;
        const answer = isLost
          ? neverSettle()
          : sleep(1).then(() => other.operatorRows.answerNeighbour(payload as NeighbourQuestion));
        return Promise.race([answer, sleep(ms).then(() => Promise.reject(new Error('no answer')))]);
      },
      onWaves: () => undefined,
      evacuations,
      log,
      metrics,
      random: operator.random,
    });
    entry.operatorRows = operatorRows;
    const startGate = createStartGate({
      evacuations,
      configuration: operatorRows,
      isTableUnavailable: () => relayed.unansweredForMs() >= TABLE_UNAVAILABLE_MS,
    });
    const clockOffsetMs = CLOCK_OFFSET_STEP_MS * entries.length;
    const relayHandler = createRelayOrderHandler({
      orders: platform.orders,
      metrics,
      gate: startGate,
      nowMs: () => performance.now() + clockOffsetMs,
    });
    entry.relayOrder = async (payload) => {
      await waitUntilRunning();
      await transferMessage('in', payload);
      const answer =
        payload === null ? relayHandler.answerClock() : await relayHandler.answer(payload);
      await waitUntilRunning();
      await transferMessage('out', answer);
      return answer;
    };
    const isLinkCut = (other: SimEntry | undefined): boolean =>
      (other?.isSilent ?? false) || entry.isSilent;
    /** Resolves once a message on the link between two entries can be delivered: a cut only holds it up. */
    const waitWhileCut = async (other: SimEntry): Promise<void> => {
      while (isLinkCut(other)) await sleep(HELD_MESSAGE_RETRY_MS);
    };
    /**
     * Sends an order to another entry to be relayed. The order or its answer is late if either entry is cut from the mesh
     * or its process is paused.
     */
    const askEntry = async (entryId: EntryId, payload: unknown): Promise<unknown> => {
      await waitUntilRunning();
      await transferMessage('out', payload);
      await sleep(1);
      const other = entries.find((one) => one.entryId === entryId);
      if (!other) return neverSettle();
      await waitWhileCut(other);
      const answer = await other.relayOrder(payload);
      await sleep(1);
      await waitWhileCut(other);
      await transferMessage('in', answer);
      await waitUntilRunning();
      return answer;
    };
    const silentForMs = (entryId: EntryId): number => {
      const other = entries.find((one) => one.entryId === entryId);
      return !other || other.isFrozen || other.isSilent || entry.isSilent ? Infinity : 0;
    };
    const orders = createRelayedOrders({
      orders: platform.orders,
      peers: () => ({
        ask: (entryId, _, payload, ms) =>
          Promise.race([
            askEntry(entryId, payload),
            sleep(ms).then(() => Promise.reject(new Error('no answer'))),
          ]),
        ensureLink: () => undefined,
        members: () =>
          // Each entry can relay orders into each data centre.
          SIM_DATA_CENTRES.flatMap((dataCentre) =>
            Array.from(registeredStrengths, ([entryId, strength]) => ({
              entryId,
              dataCentre,
              strength,
            })),
          ).filter(({ entryId }) => entryId !== entry.entryId),
        silentForMs,
      }),
      readLinkUsage: platform.readLinkUsage,
      cores,
      mayRelay: mayRelayOrders,
      log,
      metrics,
    });
    const relayed = createRelayedTable({
      table: platform.table,
      neighbours,
      ask: async (entryId, _, payload, ms) => {
        await waitUntilRunning();
        const other = entries.find((one) => one.entryId === entryId);
        const isCut = !other || other.isSilent || entry.isSilent || entry.isCutFromRelays;
        const answer = isCut ? neverSettle() : other.table.callForNeighbour(payload as TableCall);
        return Promise.race([answer, sleep(ms).then(() => Promise.reject(new Error('no answer')))]);
      },
      log,
      metrics,
      random,
    });
    entry.table = relayed;
    const control = createControl({
      self: entry.entryId,
      platform: { ...platform, orders },
      table: relayed,
      peers: () => createPeers(entry, waitUntilRunning),
      configuration: () => entry.configuration,
      startGate,
      log,
      metrics,
      ...(endpointLeaseMs === undefined ? {} : { endpointLeaseMs }),
      ...(placementPolicy === undefined ? {} : { placementPolicy }),
      ...(jobMemoryBytes === undefined ? {} : { jobMemoryBytes }),
      peerSilentForMs: (entryId) => {
        const other = entries.find((one) => one.entryId === entryId);
        return !other || other.isFrozen || other.isSilent ? Infinity : 0;
      },
      holderPreference: createHolderPreference({
        capacity: cores,
        othersCapacity: () => new Map(registeredStrengths),
        ask: async (entryId) => entries.some((other) => other.entryId === entryId),
      }),
    });
    registeredStrengths.set(entry.entryId, cores);
    startedAtMs.set(entry, performance.now());
    entry.control = control;
    entry.intake = createIntake({
      table: relayed,
      groupCommit: createGroupCommit({ table: relayed }),
      control,
      log,
      metrics,
      random,
    });
    const runControl = async (): Promise<void> => {
      while (!entry.isDead) {
        await control.tick();
        checkUsage(control);
        if (control.term()) orders.refresh();
        await sleep(tickMs);
      }
    };
    const repeat = async (run: () => Promise<void>, everyMs: number): Promise<void> => {
      while (!entry.isDead) {
        await waitUntilRunning();
        await run();
        await sleep(everyMs);
      }
    };
    void runControl();
    void repeat(operatorRows.pollFeed, OPERATOR_RETRY_MS);
    void repeat(entry.intake.repeatNotices, NOTICE_REPEAT_INTERVAL_MS);
    void repeat(operatorRows.askNeighbours, NEIGHBOUR_POLL_INTERVAL_MS);
    entries.push(entry);
    return entry;
  };

  const entries: SimEntry[] = [];
  const startedAtMs = new Map<SimEntry, number>();
  world.holderAge.ms = () => {
    const holder = entries.find(({ control }) => control.term() !== undefined);
    return holder ? performance.now() - (startedAtMs.get(holder) ?? 0) : 0;
  };
  /** The strength that each entry registered; entries that were killed stay registered. */
  const registeredStrengths = new Map<EntryId, number>();

  const prepareJob = ({
    pool,
    steps,
    runMs = 300,
    startMs = LONG_RUNNING_START_MS,
    fails = false,
    needsAdvice = false,
    specBytes = 0,
    crashesAfterMs,
    account,
  }: SimJobOptions): SimJob => {
    jobCount += 1;
    const declared = newestConfiguration.configuration.accounts;
    const owner =
      account === undefined
        ? declared[jobCount % Math.max(1, declared.length)]
        : declared.find(({ name }) => name === account);
    const jobId = brand<JobId>(jobCount.toString(16).padStart(16, '0'));
    const job: BatchJob = {
      jobId,
      queue: brand(queueNameOf(pool, needsAdvice)),
      pool: brand(pool),
      spec: 'x'.repeat(specBytes),
      steps: steps.map((step) => ({ ...DEFAULT_STEP, ...step })),
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: Date.now(),
      ...ownerOf(owner),
    };
    jobs.set(jobId, { job, runMs, startMs, fails, needsAdvice, crashesAfterMs });
    const queue = newestConfiguration.byName.get(job.queue);
    if (!queue) throw new Error(`no queue is named ${job.queue}`);
    return { job, queue };
  };

  return {
    entries,
    endpoints,
    hosts,
    violations,
    startsSent: world.startsSent,
    loggedEvents,
    faults,
    waveStatus,
    maintained,
    addEntry,
    kill: (entry) => {
      Object.assign(entry, { isDead: true });
      // The timers of an ended process do not run, and its calls reach nothing.
      void entry.control.term()?.stop();
      entries.splice(entries.indexOf(entry), 1);
    },
    prepareJob,
    commit,
    submit: (options) => {
      const { job } = prepareJob(options);
      const row: BatchJobRow = { kind: 'live', job, policy: SIM_QUEUE_POLICY };
      commit({ checks: [], writes: [{ key: batchKey.job(job.jobId), value: row }] });
      return job.jobId;
    },
    cancel: (jobId) => {
      const by = jobs.get(jobId)?.job.owner?.account ?? null;
      commit({ checks: [], writes: [{ key: batchKey.cancel(jobId, by), value: {} }] });
    },
    declareAccounts: (declared) => {
      newestConfiguration = createConfiguration(
        newestConfiguration.configuration.version + 1,
        declared,
      );
      const declaredConfiguration = newestConfiguration;
      const { activeMaxima } = world;
      const last = activeMaxima.at(-1);
      if (last) last.untilMs = performance.now() + APPLIED_WITHIN_MS;
      activeMaxima.push({ maxima: maximaOf(declared), untilMs: Infinity });
      entries.forEach((entry) =>
        setTimeout(() => {
          const isNewer =
            declaredConfiguration.configuration.version > entry.configuration.configuration.version;
          if (isNewer) change(entry, { configuration: declaredConfiguration });
        }, random() * APPLIED_WITHIN_MS),
      );
    },
    evacuate: operator.evacuate,
    withdrawEvacuation: operator.withdrawEvacuation,
    compactOperatorRows: operator.compactHistory,
    orderWave: (wave) => {
      waves.set(wave.waveNumber, wave);
      entries.forEach(({ control }) => control.addWaves([wave]));
    },
    rereadWaves: () =>
      entries.forEach(({ control }) => control.addWaves(Array.from(waves.values()))),
    crash: world.crash,
    crashes: world.crashes,
    unlist: (instanceId) => unlisted.add(instanceId),
    findJobRow: (jobId) =>
      (table.read(batchKey.job(jobId)).value ?? undefined) as BatchJobRow | undefined,
    findProgressRow: (jobId) => table.read(batchKey.progress(jobId)).value,
    findHolder: () => entries.find(({ control }) => control.term() !== undefined),
  };
};
