/**
 * A fleet in virtual time: the entries' own code for control, against a table, endpoints and hosts
 * in memory, with faults on every way between them. What must always hold is checked at the
 * endpoints while it happens.
 */
import {
  createEndpointModel,
  indexQueues,
  parseTaskKey,
  type BatchJob,
  type BatchJobRow,
  type EndReport,
  type EndpointModel,
  type EndpointObserver,
  type HostView,
  type ModelTask,
  type OrderError,
  type QueuePolicy,
  type StepSpec,
  type TaskKey,
  type TaskName,
  type UpkeepOrder,
} from '@valvelatch/core/batch';
import type { LeaseRow } from '@valvelatch/core/leases/lease';
import { createTableModel } from '@valvelatch/core/replay/table-model';
import {
  brand,
  type EndpointId,
  type EntryId,
  type HostId,
  type JobId,
  type PoolName,
} from '@valvelatch/core/shared/ids';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { PlatformError, TableTransaction } from '@valvelatch/platform';
import { Err, Ok, type Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import { createControl, type Control } from '../control.js';
import { batchKey } from '../keys.js';
import type { BatchPlatform, EndpointNews, FeedReading, HostOrderer, TableFeed } from '../ports.js';
import { createRelayedTable, type RelayCall, type RelayedTable } from '../relayed-table.js';
import { createStanding } from '../standing.js';

const HOP_MS = 1;
const STORE_MS = 4;
const CALL_TIMEOUT_MS = 900;
const MAINTENANCE_MS = 2000;
const MOVE_MS = 1500;
const ADVICE_MS = 60;
const ANSWERABLE_MS = 120_000;
const NO_READING: FeedReading = { scope: 'changes', replaced: 0, bytes: 0, arrivingMs: 0 };
const TICK_MS = 500;

export const SIM_POLICY: QueuePolicy = {
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 600,
};

const queueOf = (pool: string, needsAdvice: boolean): string =>
  `${needsAdvice ? 'advised' : 'q'}-${pool}`;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const never = <Value>(): Promise<Value> => new Promise<Value>(() => {});

/** What an entry can reach, and whether it runs. */
export type SimEntry = {
  readonly entryId: EntryId;
  readonly control: Control;
  readonly table: RelayedTable;
  isDead: boolean;
  isFrozen: boolean;
  isCutFromTable: boolean;
  /** The mesh between it and the other entries is cut. */
  isSilent: boolean;
  /** Endpoints that it cannot reach. */
  readonly cutFrom: Set<EndpointId>;
};

export type SimFleetOptions = {
  readonly hostsPerPool?: number;
  readonly pools?: readonly string[];
  readonly sparePool?: string;
  /** For how long an endpoint keeps what runs there; the entries' default if left out. */
  readonly endpointLeaseMs?: number;
  readonly random: () => number;
};

export type SimFleet = {
  readonly entries: SimEntry[];
  readonly endpoints: Map<EndpointId, EndpointModel>;
  readonly hosts: Map<HostId, HostView>;
  readonly broken: string[];
  readonly logged: { readonly event: string; readonly fields: object }[];
  readonly addEntry: (name: string, cores?: number) => SimEntry;
  readonly kill: (entry: SimEntry) => void;
  readonly submit: (options: {
    readonly pool: string;
    readonly steps: readonly Partial<StepSpec>[];
    readonly runMs?: number;
    readonly fails?: boolean;
    /** Only endpoints with an even number may run it, and only with a ticket. */
    readonly needsAdvice?: boolean;
  }) => JobId;
  readonly cancel: (jobId: JobId) => void;
  readonly order: (wave: UpkeepOrder) => void;
  /** All waves are read by the entries that are there now, as at their start. */
  readonly reorder: () => void;
  readonly crash: (endpointId: EndpointId) => void;
  /** The endpoint falls out of the list of endpoints, and lives on. */
  readonly unlist: (endpointId: EndpointId) => void;
  readonly rowOf: (jobId: JobId) => BatchJobRow | undefined;
  readonly holder: () => SimEntry | undefined;
  /** Share of orders to endpoints whose answers are lost, and of those carried out late. */
  readonly faults: {
    lostAnswers: number;
    lateOrders: number;
    isTableDown: boolean;
    lostWrites: number;
    /** How long an order to a host is under way. */
    hostOrderMs: number;
    /** How long endpoints take to answer. */
    answerMs: number;
  };
  readonly waveStatus: Map<number, string>;
  /** Orders for maintenance that were carried out, as wave/host. */
  readonly maintained: Set<string>;
};

const defaultStep: StepSpec = {
  taskCount: 1,
  cpuMillis: 1000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isGang: false,
  isRackLocal: false,
  requiredLabel: '',
  nearRack: '',
  mostPerEndpoint: 0,
  isSpeculative: false,
  isLasting: false,
  mayMiss: 0,
  image: '',
  targetMs: 0,
  fillsGaps: false,
  savesProgress: false,
};

type Submitted = {
  readonly job: BatchJob;
  readonly runMs: number;
  readonly fails: boolean;
  readonly needsAdvice: boolean;
};

const TICKET = 'ticket';

/** What the service of advice of the fleet knows. */
const mayRunAdvised = (endpointId: EndpointId): boolean => Number(endpointId.slice(2)) % 2 === 0;

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
  endpointLeaseMs,
  random,
}: SimFleetOptions): SimFleet => {
  const table = createTableModel();
  const changes: { readonly key: string; readonly value: unknown; readonly version: number }[] = [];
  const endpoints = new Map<EndpointId, EndpointModel>();
  const hosts = new Map<HostId, HostView>();
  const jobs = new Map<JobId, Submitted>();
  const done = new Set<TaskKey>();
  const noted = new Set<TaskKey>();
  const failures = new Map<TaskKey, number>();
  const broken: string[] = [];
  const logged: { readonly event: string; readonly fields: object }[] = [];
  const faults = {
    lostAnswers: 0,
    lateOrders: 0,
    isTableDown: false,
    lostWrites: 0,
    hostOrderMs: 0,
    answerMs: 0,
  };
  const maintained = new Set<string>();
  const unlisted = new Set<EndpointId>();
  const isListed = (one: EndpointModel): boolean => one.isUp() && !unlisted.has(one.endpointId);
  const waveStatus = new Map<number, string>();
  const waves = new Map<number, UpkeepOrder>();
  let lastJob = 0;
  let lastEndpoint = 0;

  const breaks = (text: string): void => {
    broken.push(`${Math.round(performance.now())} ms: ${text}`);
  };

  const needsOf = (key: TaskKey): ModelTask => {
    const name = parseTaskKey(key);
    const submitted = name && jobs.get(name.jobId);
    const step = submitted?.job.steps[name?.step ?? 0];
    return {
      cpuMillis: step?.cpuMillis ?? 0,
      memoryMb: step?.memoryMb ?? 0,
      runMs: submitted?.runMs ?? 100,
      isLasting: step?.isLasting ?? false,
      fails: submitted?.fails ?? false,
      ticket: submitted?.needsAdvice ? TICKET : undefined,
    };
  };

  const checkOrder = (key: TaskKey): void => {
    const name = parseTaskKey(key);
    const job = name && jobs.get(name.jobId)?.job;
    if (!name || !job) {
      breaks(`${key} was asked for by no client`);
      return;
    }
    job.steps[name.step]?.after.forEach((before) => {
      const count = job.steps[before]?.taskCount ?? 0;
      const isDone = Array.from({ length: count }).every((_, index) =>
        done.has(`${name.jobId}.${name.occurrence}.${before}.${index}` as TaskKey),
      );
      if (!isDone) breaks(`${key} began before step ${before} was done`);
    });
  };

  const observer: EndpointObserver = {
    needsOf,
    onStart: (endpoint, task, run) => {
      Array.from(endpoints.values())
        .filter((other) => other !== endpoint && other.isUp() && other.runs.has(task))
        .forEach((other) =>
          breaks(`${task} run ${run} on ${endpoint.endpointId}: also on ${other.endpointId}`),
        );
      if (noted.has(task)) breaks(`${task} run ${run} began after its end was noted`);
      if ((failures.get(task) ?? 0) >= SIM_POLICY.maxAttempts) breaks(`${task} began too often`);
      const name = parseTaskKey(task);
      const isAdvised = name !== undefined && jobs.get(name.jobId)?.needsAdvice === true;
      if (isAdvised && !mayRunAdvised(endpoint.endpointId)) {
        breaks(`${task} began on ${endpoint.endpointId}, which may not run it`);
      }
      checkOrder(task);
    },
    onEnd: (_, task, __, kind) => {
      if (kind === 'done') done.add(task);
    },
    onAcknowledged: ({ task, kind }: EndReport) => {
      if (kind === 'done') noted.add(task);
      if (kind === 'failed' && !needsOf(task).isLasting) {
        failures.set(task, (failures.get(task) ?? 0) + 1);
      }
    },
  };

  const liveOn = (host: HostView): void => {
    lastEndpoint += 1;
    const endpointId = brand<EndpointId>(`i-${lastEndpoint}`);
    endpoints.set(
      endpointId,
      createEndpointModel({
        endpointId,
        hostId: host.hostId,
        pool: host.pool,
        capacity: host.capacity,
        clockRate: 0.98 + random() * 0.02,
        observer,
      }),
    );
    hosts.set(host.hostId, { ...host, state: 'up', endpointId });
  };

  /** Tasks of a lasting step that are not on any endpoint. */
  const awayOf = (name: TaskName): number => {
    const step = jobs.get(name.jobId)?.job.steps[name.step];
    const running = Array.from(endpoints.values())
      .filter((one) => one.isUp())
      .flatMap(({ runs }) => Array.from(runs.keys()))
      .map(parseTaskKey)
      .filter((one) => one?.jobId === name.jobId && one.step === name.step);
    return (step?.taskCount ?? 0) - running.length;
  };

  /** Checks what an order to a host is about to end. */
  const checkBudgets = (host: HostView): void => {
    const endpoint = host.endpointId && endpoints.get(host.endpointId);
    if (!endpoint) return;
    endpoint.runs.forEach((_, key) => {
      const name = parseTaskKey(key);
      const mayMiss = (name && jobs.get(name.jobId)?.job.steps[name.step]?.mayMiss) ?? 0;
      if (name && mayMiss > 0 && awayOf(name) >= mayMiss) {
        breaks(`${key} was ended by an order while ${awayOf(name)} others were away`);
      }
    });
  };

  const isSpare = (pool: string): boolean => pool === sparePool;

  const checkEmpty = (host: HostView): void => {
    const endpoint = host.endpointId && endpoints.get(host.endpointId);
    if (endpoint && endpoint.runs.size > 0) breaks(`a move of ${host.hostId} ended tasks`);
    checkBudgets(host);
  };

  const newestFence = (): number =>
    (table.read('lease/control').value as LeaseRow | null)?.epoch ?? 0;

  /** The host's life ends; another begins after a time, unless its pool is switched off. */
  const relive = (host: HostView, afterMs: number): void => {
    const old = host.endpointId && endpoints.get(host.endpointId);
    if (old) old.die();
    hosts.set(host.hostId, { ...host, endpointId: null });
    setTimeout(() => {
      const now = hosts.get(host.hostId);
      if (!now) return;
      if (isSpare(now.pool)) hosts.set(now.hostId, { ...now, state: 'up' });
      else liveOn(now);
    }, afterMs);
  };

  [...pools, ...(sparePool ? [sparePool] : [])].forEach((pool) => {
    Array.from({ length: hostsPerPool }).forEach((_, index) => {
      const host: HostView = {
        hostId: brand<HostId>(`h-${pool}-${index}`),
        pool: brand<PoolName>(pool),
        state: 'up',
        dataCentre: `dc-${index % 2}`,
        labels: [`rack-${index % 2}`],
        capacity: { cpuMillis: 8000, memoryMb: 16_000, accelerators: 0 },
        endpointId: null,
      };
      if (isSpare(pool)) hosts.set(host.hostId, host);
      else liveOn(host);
    });
  });

  const readAll = (keys: readonly string[]): readonly TableRow[] =>
    keys.map(table.read).filter(({ version }) => version > 0);

  const commit = ({ checks, writes }: TableTransaction) => {
    const outcome = table.transact(checks, writes);
    if (outcome.kind === 'committed') {
      writes.forEach(({ key, value }) => changes.push({ key, value, version: outcome.version }));
    }
    return outcome;
  };

  const configuration = indexQueues({
    version: 1,
    queues: pools.flatMap((pool) =>
      [false, true].map((needsAdvice) => ({
        name: brand(queueOf(pool, needsAdvice)),
        hostName: 'h',
        pathPrefix: `/${queueOf(pool, needsAdvice)}/`,
        pool: brand(pool),
        policy: { ...SIM_POLICY, needsAdvice },
        timeoutMs: 3000,
      })),
    ),
    pools: [
      ...pools.map((name) => ({ name: brand<PoolName>(name), isSpare: false })),
      ...(sparePool ? [{ name: brand<PoolName>(sparePool), isSpare: true }] : []),
    ],
  });

  const log: Log = {
    debug: () => undefined,
    info: (event, fields = {}) => logged.push({ event, fields }),
    warn: (event, fields = {}) => logged.push({ event, fields }),
    error: (event, fields = {}) => {
      logged.push({ event, fields });
      breaks(`${event} ${JSON.stringify(fields)}`);
    },
  };

  const addEntry = (name: string, cores = 1): SimEntry => {
    const cutFrom = new Set<EndpointId>();
    const entry = {
      entryId: brand<EntryId>(name),
      isDead: false,
      isFrozen: false,
      isCutFromTable: false,
      isSilent: false,
      cutFrom,
    } as { -readonly [Key in keyof SimEntry]: SimEntry[Key] };

    /** A process that does not run sends nothing and takes nothing in. */
    const awake = async (): Promise<void> => {
      while (entry.isFrozen) await sleep(20);
      if (entry.isDead) await never();
    };

    const toTable = async <Value>(call: () => Value): Promise<Result<Value, PlatformError>> => {
      await awake();
      await sleep(STORE_MS);
      if (entry.isCutFromTable || faults.isTableDown) {
        await sleep(CALL_TIMEOUT_MS);
        await awake();
        return Err({ kind: 'unknown', detail: 'no answer' });
      }
      const isLost = random() < faults.lostWrites;
      if (isLost && random() < 0.5) {
        setTimeout(call, 1000 + random() * 5000);
        await sleep(CALL_TIMEOUT_MS);
        return Err({ kind: 'unknown', detail: 'no answer' });
      }
      const value = call();
      await sleep(HOP_MS);
      await awake();
      return isLost ? Err({ kind: 'unknown', detail: 'no answer' }) : Ok(value);
    };

    const noAnswer: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'silence' };

    const toEndpoint = async <Value>(
      endpointId: EndpointId,
      call: (
        endpoint: EndpointModel,
      ) => Promise<Result<Value, OrderError>> | Result<Value, OrderError>,
      timeoutMs: number,
    ): Promise<Result<Value, OrderError>> => {
      await awake();
      await sleep(HOP_MS);
      const endpoint = endpoints.get(endpointId);
      if (!endpoint?.isUp() || cutFrom.has(endpointId)) {
        await sleep(timeoutMs);
        await awake();
        return Err(noAnswer);
      }
      if (random() < faults.lateOrders) {
        setTimeout(
          () => {
            if (endpoint.isUp()) void call(endpoint);
          },
          2000 + random() * 10_000,
        );
        await sleep(timeoutMs);
        await awake();
        return Err(noAnswer);
      }
      const answer = await call(endpoint);
      await sleep(HOP_MS + random() * 2 + faults.answerMs);
      await awake();
      if (cutFrom.has(endpointId) || random() < faults.lostAnswers) return Err(noAnswer);
      return answer;
    };

    const feed = (kind: string): TableFeed => {
      let after = -1;
      return {
        next: async () => {
          const from = after;
          const read = await toTable(() => ({
            end: changes.length,
            rows: from < 0 ? table.scan(`${kind}/`) : changes.slice(from),
          }));
          return read.map(({ end, rows }) => {
            after = end;
            return rows.filter(({ key }) => key.startsWith(`${kind}/`));
          });
        },
      };
    };

    const endpointFeed = () => {
      const told = new Set<EndpointId>();
      return {
        next: (): Promise<Result<EndpointNews, PlatformError>> =>
          toTable(() => {
            const live = Array.from(endpoints.values()).filter(isListed);
            const gone = Array.from(told).filter(
              (id) => !live.some((one) => one.endpointId === id),
            );
            gone.forEach((id) => told.delete(id));
            live.forEach(({ endpointId }) => told.add(endpointId));
            const seen = live.map((one) => ({
              endpointId: one.endpointId,
              pool: one.pool,
              hostId: one.hostId,
              address: one.endpointId,
              dataCentre: 'dc',
              labels: [],
              capacity: one.capacity,
              isDraining: false,
            }));
            return { seen, gone };
          }),
      };
    };

    const orderHost = async (
      { fence }: HostOrderer,
      hostId: HostId,
      checkTaken: (host: HostView) => void,
      act: (host: HostView) => void,
      isDone: (host: HostView) => boolean,
    ) => {
      await sleep(faults.hostOrderMs);
      const sentAtMs = performance.now();
      const result = await toTable(() => {
        const host = hosts.get(hostId);
        if (!host) return 'refused' as const;
        if (isDone(host)) return 'done' as const;
        if (host.state !== 'up') return 'busy' as const;
        // What a former holder ordered and the platform held up is nobody's to prevent.
        const isHeldUp = performance.now() - sentAtMs > CALL_TIMEOUT_MS;
        if (!isHeldUp || fence >= newestFence()) checkTaken(host);
        act(host);
        return 'done' as const;
      });
      return result.unwrapOr('unknown' as const);
    };

    const platform: BatchPlatform = {
      table: {
        read: (keys) => toTable(() => readAll(keys)),
        scan: (prefix) => toTable(() => table.scan(prefix)),
        transact: (transaction) =>
          toTable(() => {
            const outcome = commit(transaction);
            return outcome.kind === 'committed'
              ? outcome
              : { ...outcome, rows: transaction.checks.map(({ key }) => table.read(key)) };
          }),
        feed,
      },
      operator: { next: async () => Ok({ waves: [], reading: NO_READING }) },
      endpoints: endpointFeed,
      orders: {
        list: ({ endpointId }, order, timeoutMs) =>
          toEndpoint(endpointId, (one) => one.list(order), order.waitMs + timeoutMs),
        start: ({ endpointId }, order, timeoutMs) =>
          toEndpoint(endpointId, (one) => one.start(order), timeoutMs),
        stop: ({ endpointId }, order, timeoutMs) =>
          toEndpoint(endpointId, (one) => one.stop(order), timeoutMs),
        pace: async () => Ok({ clockMs: 0 }),
        forget: () => undefined,
      },
      hosts: {
        list: () => toTable(() => Array.from(hosts.values())),
        move: (by, { hostId, toPool }) =>
          orderHost(
            by,
            hostId,
            checkEmpty,
            (host) => {
              hosts.set(hostId, { ...host, pool: toPool, state: 'moving' });
              relive({ ...host, pool: toPool, state: 'moving' }, MOVE_MS);
            },
            (host) => host.pool === toPool,
          ),
        maintain: (by, { hostId, waveNumber }) =>
          orderHost(
            by,
            hostId,
            checkBudgets,
            (host) => {
              const down = Array.from(hosts.values()).filter((one) => one.state === 'maintenance');
              const maximum = waves.get(waveNumber)?.maximum ?? Infinity;
              if (down.length >= maximum)
                breaks(`${hostId} goes down beside ${down.length} others`);
              maintained.add(`${waveNumber}/${hostId}`);
              relive({ ...host, state: 'maintenance' }, MAINTENANCE_MS);
            },
            () => maintained.has(`${waveNumber}/${hostId}`),
          ),
        reportWave: (waveNumber, state) => toTable(() => waveStatus.set(waveNumber, state)),
      },
      advice: {
        ask: async ({ endpoints: asked }) => {
          await awake();
          await sleep(ADVICE_MS);
          if (random() < faults.lostAnswers) return Err({ kind: 'unknown', detail: 'no answer' });
          const good = asked
            .filter(mayRunAdvised)
            .map((endpointId) => [endpointId, TICKET] as const);
          return Ok({ good, validMs: 3000 });
        },
      },
      bounds: () => ({
        maintenanceMs: MAINTENANCE_MS,
        holderTurnMs: 3000,
        answerableMs: ANSWERABLE_MS,
      }),
      close: () => undefined,
    };

    const metrics = createMetrics();
    const relayed = createRelayedTable({
      table: platform.table,
      neighbours: () => entries.filter((other) => other !== entry).map((other) => other.entryId),
      ask: async (entryId, _, payload, ms) => {
        await awake();
        const other = entries.find((one) => one.entryId === entryId);
        const isCut = !other || other.isSilent || entry.isSilent;
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
      platform,
      table: relayed,
      peers: () => undefined,
      configuration: () => configuration,
      log,
      metrics,
      ...(endpointLeaseMs === undefined ? {} : { endpointLeaseMs }),
      silentForMs: (entryId) => {
        const other = entries.find((one) => one.entryId === entryId);
        return !other || other.isFrozen || other.isSilent ? Infinity : 0;
      },
      standing: createStanding({
        cores,
        othersCores: () => new Map(registered),
        ask: async (entryId) => entries.some((other) => other.entryId === entryId),
      }),
    });
    registered.set(entry.entryId, cores);
    entry.control = control;
    const loop = async (): Promise<void> => {
      while (!entry.isDead) {
        await control.tick();
        await sleep(TICK_MS);
      }
    };
    void loop();
    entries.push(entry);
    return entry;
  };

  const entries: SimEntry[] = [];
  /** Rows of entries: those of the dead stay. */
  const registered = new Map<EntryId, number>();

  return {
    entries,
    endpoints,
    hosts,
    broken,
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
    submit: ({ pool, steps, runMs = 300, fails = false, needsAdvice = false }) => {
      lastJob += 1;
      const jobId = brand<JobId>(lastJob.toString(16).padStart(16, '0'));
      const job: BatchJob = {
        jobId,
        queue: brand(queueOf(pool, needsAdvice)),
        pool: brand(pool),
        spec: '',
        steps: steps.map((step) => ({ ...defaultStep, ...step })),
        repeats: 0,
        firstDueAtMs: 0,
        intervalMs: 0,
        acceptedAtMs: Date.now(),
      };
      jobs.set(jobId, { job, runMs, fails, needsAdvice });
      const row: BatchJobRow = { kind: 'live', job, policy: SIM_POLICY };
      commit({ checks: [], writes: [{ key: batchKey.job(jobId), value: row }] });
      return jobId;
    },
    cancel: (jobId) => {
      commit({ checks: [], writes: [{ key: batchKey.cancel(jobId), value: {} }] });
    },
    order: (wave) => {
      waves.set(wave.waveNumber, wave);
      entries.forEach(({ control }) => control.takeWaves([wave]));
    },
    reorder: () => entries.forEach(({ control }) => control.takeWaves(Array.from(waves.values()))),
    crash: (endpointId) => {
      const endpoint = endpoints.get(endpointId);
      const host = endpoint && hosts.get(endpoint.hostId);
      if (endpoint?.isUp() && host) relive({ ...host, state: 'down' }, 3000);
    },
    unlist: (endpointId) => unlisted.add(endpointId),
    rowOf: (jobId) =>
      (table.read(batchKey.job(jobId)).value ?? undefined) as BatchJobRow | undefined,
    holder: () => entries.find(({ control }) => control.term() !== undefined),
  };
};
