/**
 * A fleet in virtual time: the entries' own code for control, against a table, endpoints and hosts
 * in memory, with faults on every link between them.
 */
import {
  indexQueues,
  NO_LIMIT,
  DEFAULT_STEP,
  TABLE_UNAVAILABLE_MS,
  type BatchJob,
  type BatchJobRow,
  type Capacity,
  type ClientAccount,
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

import type { Log } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import {
  ASK_NEIGHBOURS_EVERY_MS,
  createConfigurationKeeper,
  type ConfigurationKeeper,
  type NeighbourQuestion,
} from '../configuration/configuration-keeper.js';
import { createEvacuationKeeper } from '../configuration/evacuation-keeper.js';
import { createStartGate } from '../configuration/start-gate.js';
import { createControl, type Control } from '../control/control.js';
import { batchKey } from '../keys.js';
import type { Peers } from '../entry/peers.js';
import { createRelayedTable, type RelayCall, type RelayedTable } from '../relays/relayed-table.js';
import { createStanding } from '../control/standing.js';
import { createOrderAgent } from '../relays/order-agent.js';
import { createRelayedOrders } from '../relays/relayed-orders.js';
import {
  createSimLink,
  createSimPlatform,
  never,
  SIM_DATA_CENTRES,
  sleep,
  type SimReach,
} from './sim-platform.fixtures.js';
import {
  createSimWorld,
  LASTING_START_MS,
  SIM_POLICY,
  type SentStart,
  type SimDomains,
  type SimFaults,
} from './sim-world.fixtures.js';

const TICK_MS = 500;
/** Between two questions for the operator's orders. */
const OPERATOR_RETRY_MS = 100;
/** Entries hear of a new configuration within this time. */
const APPLIED_WITHIN_MS = 3000;

const ownerOf = (owner: ClientAccount | undefined): Pick<BatchJob, 'owner'> =>
  owner ? { owner: { account: owner.name, maximum: owner.maximum } } : {};

const queueOf = (pool: string, needsAdvice: boolean): string =>
  `${needsAdvice ? 'advised' : 'q'}-${pool}`;

/** An entry of the fleet. */
export type SimEntry = SimReach & {
  /** As far as it has heard of it. */
  configuration: QueueIndex;
  readonly entryId: EntryId;
  readonly control: Control;
  readonly table: RelayedTable;
  /** Keeps what it has heard of evacuations; the configuration comes by `declare`. */
  readonly operatorRows: ConfigurationKeeper;
  /** Answers an order that another entry has it carry. */
  readonly answerOrder: (payload: unknown) => Promise<unknown>;
};

export type SimFleetOptions = {
  readonly hostsPerPool?: number;
  readonly pools?: readonly string[];
  readonly sparePool?: string;
  /** Endpoints tell no rack and no data centre if left out. */
  readonly domains?: SimDomains;
  /** For how long an endpoint keeps what runs there; the entries' default if left out. */
  readonly endpointLeaseMs?: number;
  /** What the link of each entry carries; without a limit if left out. */
  readonly linkBytesPerMs?: number;
  /** True if entries may carry orders for a holder whose link is busy. */
  readonly mayRelayOrders?: boolean;
  /** Where tasks of short steps go; the entries' default if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** How often each entry looks at the lease. */
  readonly tickMs?: number;
  /** How long after an evacuation the last task may begin there; entries do not know of a bound if left out. */
  readonly evacuateMs?: number;
  /** Whose jobs are submitted, by turns. */
  readonly accounts?: readonly ClientAccount[];
  readonly random: () => number;
};

/**
 * Builds a client account of a fleet.
 *
 * @param name - Its name.
 * @param cpuMillis - The most that it may have running; 0 for no limit.
 * @returns The account.
 */
export const simAccount = (name: string, cpuMillis: number): ClientAccount => ({
  name: brand(name),
  keyDigests: [],
  priority: 0,
  weight: 10,
  maximum: { ...NO_LIMIT, cpuMillis },
});

const HOST_CPU_MILLIS = 8000;

/** Half of the hosts' cores for one, and another without a limit. */
const simAccounts = (hosts: number): readonly ClientAccount[] => [
  simAccount('client-a', (hosts * HOST_CPU_MILLIS) / 2),
  simAccount('client-b', 0),
];

const maximaOf = (accounts: readonly ClientAccount[]): ReadonlyMap<AccountName, Capacity> =>
  new Map(accounts.map(({ name, maximum }) => [name, maximum]));

export type SimFleet = {
  readonly entries: SimEntry[];
  readonly endpoints: Map<InstanceId, SimulatedEndpoint>;
  readonly hosts: Map<HostId, ListedHost>;
  readonly broken: string[];
  readonly startsSent: readonly SentStart[];
  readonly logged: { readonly event: string; readonly fields: object }[];
  readonly addEntry: (name: string, cores?: number) => SimEntry;
  readonly kill: (entry: SimEntry) => void;
  readonly submit: (options: {
    readonly pool: string;
    readonly steps: readonly Partial<StepSpec>[];
    readonly runMs?: number;
    /** How long a lasting task takes to be at work. */
    readonly startMs?: number;
    readonly fails?: boolean;
    /** The first task takes down each endpoint that begins it, so long after its start. */
    readonly crashesAfterMs?: number;
    /** Only endpoints with an even number may run it, and only with a ticket. */
    readonly needsAdvice?: boolean;
    /** How long the text is that goes with each start. */
    readonly specBytes?: number;
    /** Whose job it is; the accounts take turns if left out. */
    readonly account?: AccountName;
  }) => JobId;
  readonly cancel: (jobId: JobId) => void;
  /** The operator declares the accounts anew; each entry hears of it within `APPLIED_WITHIN_MS`. */
  readonly declare: (accounts: readonly ClientAccount[]) => void;
  /** The operator has a data centre evacuated, and takes it back; entries hear of it by their own feeds. */
  readonly evacuate: (dataCentre: DataCentreId) => void;
  readonly takeBack: (dataCentre: DataCentreId) => void;
  /** The operator's rows are compacted: full readings are 3 to 6 s old for a time. */
  readonly forgetOperatorHistory: (options?: { readonly refusesChanges?: boolean }) => void;
  readonly order: (wave: MaintenanceRequest) => void;
  /** All waves are read by the entries that are there now, as at their start. */
  readonly reorder: () => void;
  /** The endpoint crashes by itself; its host is back after so long, 3 s if left out. */
  readonly crash: (instanceId: InstanceId, downMs?: number) => void;
  /** How many endpoints crashed by themselves under each task. */
  readonly crashes: ReadonlyMap<TaskKey, number>;
  /** The endpoint falls out of the list of endpoints, and lives on. */
  readonly unlist: (instanceId: InstanceId) => void;
  readonly rowOf: (jobId: JobId) => BatchJobRow | undefined;
  readonly holder: () => SimEntry | undefined;
  readonly faults: SimFaults;
  readonly waveStatus: Map<number, string>;
  /** Orders for maintenance that were carried out, as wave/host. */
  readonly maintained: Set<string>;
};

/**
 * Builds a fleet without entries.
 *
 * @param options - Its size and its source of chance.
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
  tickMs = TICK_MS,
  evacuateMs,
  accounts = simAccounts(hostsPerPool * pools.length),
  random,
}: SimFleetOptions): SimFleet => {
  const world = createSimWorld({ hostsPerPool, pools, sparePool, domains, random });
  const { table, endpoints, hosts, jobs, broken, faults, maintained, unlisted } = world;
  const { waveStatus, waves, breaks, commit, operator } = world;
  const logged: { readonly event: string; readonly fields: object }[] = [];
  let lastJob = 0;

  const configurationOf = (version: number, declared: readonly ClientAccount[]): QueueIndex =>
    indexQueues({
      version,
      accounts: declared,
      queues: pools.flatMap((pool) =>
        [false, true].map((needsAdvice) => ({
          name: brand(queueOf(pool, needsAdvice)),
          hostName: 'h',
          pathPrefix: `/${queueOf(pool, needsAdvice)}/`,
          pool: brand(pool),
          policy: { ...SIM_POLICY, needsAdvice },
          timeoutMs: 3000,
          isOpenToAll: false,
        })),
      ),
      pools: [
        ...pools.map((name) => ({ name: brand<PoolName>(name), isSpare: false })),
        ...(sparePool ? [{ name: brand<PoolName>(sparePool), isSpare: true }] : []),
      ],
    });
  let newest = configurationOf(1, accounts);
  world.inForce.push({ maxima: maximaOf(accounts), untilMs: Infinity });

  const log: Log = {
    debug: () => undefined,
    info: (event, fields = {}) => logged.push({ event, fields }),
    warn: (event, fields = {}) => logged.push({ event, fields }),
    error: (event, fields = {}) => {
      logged.push({ event, fields });
      breaks(`${event} ${JSON.stringify(fields)}`);
    },
  };

  /** What a holder counts of each account is the sum of the runs that it knows of. */
  const checkLedger = (control: Control): void => {
    const state = control.term()?.state;
    if (!state) return;
    const endpointsKnown = [
      ...state.endpoints.values(),
      ...Array.from(state.goneEndpoints.values(), ({ endpoint }) => endpoint),
    ];
    const sums = new Map<AccountName, number>();
    endpointsKnown
      .flatMap(({ runs, unexpectedSteps }) => [
        ...Array.from(runs.values(), ({ step }) => step),
        ...unexpectedSteps,
      ])
      .forEach((step) => {
        const account = step.job.job.owner?.account;
        if (account) sums.set(account, (sums.get(account) ?? 0) + step.spec.cpuMillis);
      });
    state.usage.forEach(({ cpuMillis }, account) => {
      if (cpuMillis === (sums.get(account) ?? 0)) return;
      breaks(`the ledger has ${cpuMillis} of ${account}, whose runs are ${sums.get(account) ?? 0}`);
    });
  };

  /** What one entry's control asks the others; questions to an entry that does not run have no answer. */
  const peersOf = (entry: SimEntry, awake: () => Promise<void>): Peers => {
    const askControl = async (entryId: EntryId, method: string, payload: unknown) => {
      const isCut = (other: SimEntry | undefined): boolean =>
        !other || other.isDead || other.isFrozen || other.isSilent || entry.isSilent;
      await awake();
      await sleep(1);
      const other = entries.find((one) => one.entryId === entryId);
      if (!other || isCut(other)) return never();
      const answer = await other.control.answer(method, payload);
      await sleep(1);
      await awake();
      return isCut(other) ? never() : answer;
    };
    return {
      ask: (entryId, method, payload, ms) =>
        Promise.race([
          askControl(entryId, method, payload),
          sleep(ms).then(() => Promise.reject(new Error('silence'))),
        ]),
      knows: (entryId) => entries.some((other) => other.entryId === entryId),
      keepLink: () => undefined,
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
      cutFrom: new Set<InstanceId>(),
      configuration: newest,
    } as { -readonly [Key in keyof SimEntry]: SimEntry[Key] };

    const { platform, awake, carryMessage } = createSimPlatform(world, entry, {
      configuration: newest.configuration,
      evacuateMs,
    });
    const metrics = createMetrics();
    const neighbours = (): readonly EntryId[] =>
      entries.filter((other) => other !== entry).map((other) => other.entryId);
    const evacuations = createEvacuationKeeper({ evacuateMs: () => evacuateMs, log });
    const operatorRows = createConfigurationKeeper({
      feed: platform.operator,
      neighbours,
      ask: async (entryId, _, payload, ms) => {
        await awake();
        const other = entries.find((one) => one.entryId === entryId);
        const isLost = !other || other.isFrozen || other.isSilent || entry.isSilent;
        const answer = isLost
          ? never()
          : sleep(1).then(() => other.operatorRows.answerNeighbour(payload as NeighbourQuestion));
        return Promise.race([answer, sleep(ms).then(() => Promise.reject(new Error('silence')))]);
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
      isTableAway: () => relayed.silentForMs() >= TABLE_UNAVAILABLE_MS,
    });
    const agent = createOrderAgent(platform.orders, metrics, startGate);
    entry.answerOrder = async (payload) => {
      await awake();
      await carryMessage('in', payload);
      const answer = await agent.answer(payload);
      await awake();
      await carryMessage('out', answer);
      return answer;
    };
    /** A question to another entry: it is lost, or answered late, where either does not run or is cut. */
    const askEntry = async (entryId: EntryId, payload: unknown): Promise<unknown> => {
      await awake();
      await carryMessage('out', payload);
      await sleep(1);
      const other = entries.find((one) => one.entryId === entryId);
      if (!other || other.isSilent || entry.isSilent) return never();
      const answer = await other.answerOrder(payload);
      await sleep(1);
      await carryMessage('in', answer);
      await awake();
      return other.isSilent || entry.isSilent ? never() : answer;
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
            sleep(ms).then(() => Promise.reject(new Error('silence'))),
          ]),
        keepLink: () => undefined,
        members: () =>
          // Each entry carries orders into each data centre.
          SIM_DATA_CENTRES.flatMap((dataCentre) =>
            Array.from(registered, ([entryId, strength]) => ({ entryId, dataCentre, strength })),
          ).filter(({ entryId }) => entryId !== entry.entryId),
        silentForMs,
      }),
      linkUse: platform.linkUse,
      isAllowed: mayRelayOrders,
      log,
      metrics,
    });
    const relayed = createRelayedTable({
      table: platform.table,
      neighbours,
      ask: async (entryId, _, payload, ms) => {
        await awake();
        const other = entries.find((one) => one.entryId === entryId);
        const isCut = !other || other.isSilent || entry.isSilent || entry.isCutFromRelays;
        const answer = isCut ? never() : other.table.answerNeighbour(payload as RelayCall);
        return Promise.race([answer, sleep(ms).then(() => Promise.reject(new Error('silence')))]);
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
      peers: () => peersOf(entry, awake),
      configuration: () => entry.configuration,
      startGate,
      log,
      metrics,
      ...(endpointLeaseMs === undefined ? {} : { endpointLeaseMs }),
      ...(placementPolicy === undefined ? {} : { placementPolicy }),
      silentForMs: (entryId) => {
        const other = entries.find((one) => one.entryId === entryId);
        return !other || other.isFrozen || other.isSilent ? Infinity : 0;
      },
      standing: createStanding({
        strength: cores,
        othersStrength: () => new Map(registered),
        ask: async (entryId) => entries.some((other) => other.entryId === entryId),
      }),
    });
    registered.set(entry.entryId, cores);
    bornAtMs.set(entry, performance.now());
    entry.control = control;
    const loop = async (): Promise<void> => {
      while (!entry.isDead) {
        await control.tick();
        checkLedger(control);
        if (control.term()) orders.refresh();
        await sleep(tickMs);
      }
    };
    const repeat = async (run: () => Promise<void>, everyMs: number): Promise<void> => {
      while (!entry.isDead) {
        await awake();
        await run();
        await sleep(everyMs);
      }
    };
    void loop();
    void repeat(operatorRows.follow, OPERATOR_RETRY_MS);
    void repeat(operatorRows.askNeighbours, ASK_NEIGHBOURS_EVERY_MS);
    entries.push(entry);
    return entry;
  };

  const entries: SimEntry[] = [];
  const bornAtMs = new Map<SimEntry, number>();
  world.holderAge.ms = () => {
    const holder = entries.find(({ control }) => control.term() !== undefined);
    return holder ? performance.now() - (bornAtMs.get(holder) ?? 0) : 0;
  };
  /** Rows of entries: those of the dead stay. */
  const registered = new Map<EntryId, number>();

  return {
    entries,
    endpoints,
    hosts,
    broken,
    startsSent: world.startsSent,
    logged,
    faults,
    waveStatus,
    maintained,
    addEntry,
    kill: (entry) => {
      Object.assign(entry, { isDead: true });
      // Timers of a dead process do not run; its calls go nowhere.
      void entry.control.term()?.stop();
      entries.splice(entries.indexOf(entry), 1);
    },
    submit: ({
      pool,
      steps,
      runMs = 300,
      startMs = LASTING_START_MS,
      fails = false,
      needsAdvice = false,
      specBytes = 0,
      crashesAfterMs,
      account,
    }) => {
      lastJob += 1;
      const declared = newest.configuration.accounts;
      const owner =
        account === undefined
          ? declared[lastJob % Math.max(1, declared.length)]
          : declared.find(({ name }) => name === account);
      const jobId = brand<JobId>(lastJob.toString(16).padStart(16, '0'));
      const job: BatchJob = {
        jobId,
        queue: brand(queueOf(pool, needsAdvice)),
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
      const row: BatchJobRow = { kind: 'live', job, policy: SIM_POLICY };
      commit({ checks: [], writes: [{ key: batchKey.job(jobId), value: row }] });
      return jobId;
    },
    cancel: (jobId) => {
      const by = jobs.get(jobId)?.job.owner?.account ?? null;
      commit({ checks: [], writes: [{ key: batchKey.cancel(jobId, by), value: {} }] });
    },
    declare: (declared) => {
      newest = configurationOf(newest.configuration.version + 1, declared);
      const taken = newest;
      const { inForce } = world;
      const last = inForce.at(-1);
      if (last) last.untilMs = performance.now() + APPLIED_WITHIN_MS;
      inForce.push({ maxima: maximaOf(declared), untilMs: Infinity });
      entries.forEach((entry) =>
        setTimeout(() => {
          const isNewer = taken.configuration.version > entry.configuration.configuration.version;
          if (isNewer) change(entry, { configuration: taken });
        }, random() * APPLIED_WITHIN_MS),
      );
    },
    evacuate: operator.evacuate,
    takeBack: operator.takeBack,
    forgetOperatorHistory: operator.forgetHistory,
    order: (wave) => {
      waves.set(wave.waveNumber, wave);
      entries.forEach(({ control }) => control.takeWaves([wave]));
    },
    reorder: () => entries.forEach(({ control }) => control.takeWaves(Array.from(waves.values()))),
    crash: world.crash,
    crashes: world.crashes,
    unlist: (instanceId) => unlisted.add(instanceId),
    rowOf: (jobId) =>
      (table.read(batchKey.job(jobId)).value ?? undefined) as BatchJobRow | undefined,
    holder: () => entries.find(({ control }) => control.term() !== undefined),
  };
};
