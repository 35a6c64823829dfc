/**
 * What entries work on in virtual time: a table, endpoints, hosts, jobs and waves in memory. What must
 * always hold is checked at the endpoints and hosts while it happens.
 */
import {
  createSimulatedEndpoint,
  parseTaskKey,
  type BatchJob,
  type BatchJobRow,
  type Capacity,
  type EndedRunReport,
  type SimulatedEndpoint,
  type EndpointObserver,
  type ListedHost,
  type SimulatedTask,
  type QueuePolicy,
  type TaskKey,
  type TaskKeyParts,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import type { LeaseRow } from '@valvelatch/core/leases/lease';
import { createTableModel } from '@valvelatch/core/replay/table-model';
import {
  type AccountName,
  type DataCentreId,
  type HostId,
  type InstanceId,
  type JobId,
  type PoolName,
  brand,
} from '@valvelatch/core/shared/ids';
import type { TableRow } from '@valvelatch/core/rows/transaction';
import type { TableTransaction } from '@valvelatch/platform';

import { createSimOperator } from './sim-operator.fixtures.js';
import { parseJobKey } from '../keys.js';

export const MAINTENANCE_MS = 2000;
export const MOVE_MS = 1500;
const CRASH_MS = 3000;
/** How long a lasting task takes to be at work where a test does not say. */
export const LASTING_START_MS = 200;
/** Of so many restarts of hosts one has a new id; the others go on under the id that they had. */
const NEW_ID_EVERY = 4;
/** A holder that has asked a life has it bar what may still begin there; the order to do so may be lost twice. */
const BARRED_WITHIN_MS = 3000;

export const SIM_POLICY: QueuePolicy = {
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 600,
};

/** A job as its client handed it in, and what its tasks do. */
export type Submitted = {
  readonly job: BatchJob;
  readonly runMs: number;
  /** How long a lasting task takes to be at work; the model's default if left out. */
  readonly startMs: number;
  readonly fails: boolean;
  readonly needsAdvice: boolean;
  /** The first task of the first step takes down each endpoint that begins it, so long after its start. */
  readonly crashesAfterMs: number | undefined;
};

/** So many endpoints may go down under a task before its starts count against us. */
const FREE_CRASHES = 3;
/** Starts by a process that began a shorter time ago do not count. */
const CONTACT_MS = 3000;
/** So many starts after those are too many. */
const STARTS_TOO_MANY = 3;
/** A job may be given up once so many endpoints have gone down under one of its tasks. */
const CRASHES_TO_GIVE_UP = 2;

/** What an account may have running beyond its maximum, as a share of it. */
const QUOTA_EXCESS = 0.1;

/** No task may begin in a data centre so long after its evacuation was acknowledged. */
export const EVACUATE_MS = 5000;
/** After an outage of the table for all, entries learn of what was ordered just before it within this time. */
const TABLE_BACK_MS = 2500;

/** What starts on queues that need advice must carry. */
export const TICKET = 'ticket';

/**
 * What the service of advice of the fleet knows.
 *
 * @param instanceId - An endpoint.
 * @returns True if it may run steps that need advice.
 */
export const mayRunAdvised = (instanceId: InstanceId): boolean =>
  Number(instanceId.slice(2)) % 2 === 0;

/** Share of answers and writes that are lost or late, and how long things take. */
export type SimFaults = {
  lostAnswers: number;
  lateOrders: number;
  isTableDown: boolean;
  lostWrites: number;
  /** How long an endpoint is down that crashes by itself. */
  crashMs: number;
  /** How long an order to a host is under way. */
  hostOrderMs: number;
  /** How long endpoints take to answer. */
  answerMs: number;
  /** The list of hosts answers nobody. */
  isHostListDown: boolean;
  /** How long the list of hosts takes to answer. */
  hostListMs: number;
  /** Endpoints that are gone and whose address belongs to another. */
  readonly reused: Set<InstanceId>;
  /** Hosts that the list leaves out although they stay. */
  readonly leftOut: Set<HostId>;
  /** Hosts whose orders for maintenance are refused. */
  readonly refused: Set<HostId>;
};

/** How hosts stand in racks and data centres; each rack has hosts of all pools. */
export type SimDomains = {
  /** Of each pool. */
  readonly hostsPerRack: number;
  readonly dataCentres: number;
};

/** An order to start as it leaves an entry, whether or not it arrives. */
export type SentStart = {
  readonly instanceId: InstanceId;
  readonly task: TaskKey;
  readonly run: number;
  readonly atMs: number;
};

export type SimWorldOptions = {
  readonly hostsPerPool: number;
  readonly pools: readonly string[];
  readonly sparePool: string | undefined;
  /** Endpoints tell no rack and no data centre if left out. */
  readonly domains?: SimDomains | undefined;
  readonly random: () => number;
};

/**
 * Builds what entries work on.
 *
 * @param options - Its size and its source of chance.
 * @returns The world, all of it sound.
 */
export const createSimWorld = ({
  hostsPerPool,
  pools,
  sparePool,
  domains,
  random,
}: SimWorldOptions) => {
  const table = createTableModel();
  const changes: { readonly key: string; readonly value: unknown; readonly version: number }[] = [];
  const endpoints = new Map<InstanceId, SimulatedEndpoint>();
  const hosts = new Map<HostId, ListedHost>();
  const jobs = new Map<JobId, Submitted>();
  const done = new Set<TaskKey>();
  const noted = new Set<TaskKey>();
  const failures = new Map<TaskKey, number>();
  const failedEnds = new Map<TaskKey, number>();
  /** Endpoints that crashed by themselves under a task, and starts since there were too many. */
  const crashes = new Map<TaskKey, number>();
  const startsSince = new Map<TaskKey, number>();
  const broken: string[] = [];
  const operator = createSimOperator();
  let isTableDown = false;
  let tableBackAtMs = -Infinity;
  const startsSent: SentStart[] = [];
  /** What the configurations that may be in force give accounts, the newest last. */
  const inForce: { readonly maxima: ReadonlyMap<AccountName, Capacity>; untilMs: number }[] = [];
  const faults: SimFaults = {
    lostAnswers: 0,
    lateOrders: 0,
    get isTableDown() {
      return isTableDown;
    },
    set isTableDown(isDown: boolean) {
      if (isTableDown && !isDown) tableBackAtMs = performance.now();
      isTableDown = isDown;
    },
    lostWrites: 0,
    crashMs: CRASH_MS,
    hostOrderMs: 0,
    answerMs: 0,
    isHostListDown: false,
    hostListMs: 0,
    reused: new Set(),
    leftOut: new Set(),
    refused: new Set(),
  };
  const maintained = new Set<string>();
  /** For how long the process that holds control has run. */
  const holderAge = { ms: (): number => Infinity };
  const unlisted = new Set<InstanceId>();
  const isListed = (one: SimulatedEndpoint): boolean => one.isUp() && !unlisted.has(one.instanceId);
  const cancelled = new Set<string>();
  const waveStatus = new Map<number, string>();
  const waves = new Map<number, MaintenanceRequest>();
  let lastEndpoint = 0;
  let restarts = 0;
  /** When the order was sent that is being carried out late. */
  const lateOrder = { sentAtMs: Infinity };
  const livesSinceMs = new Map<SimulatedEndpoint, number>();
  /** When each life was first asked what runs there. */
  const askedSinceMs = new Map<SimulatedEndpoint, number>();
  /** Runs that were begun by orders to the life before, by endpoint and task. */
  const strays = new Set<string>();

  const breaks = (text: string): void => {
    broken.push(`${Math.round(performance.now())} ms: ${text}`);
  };

  const taskOf = (key: TaskKey): SimulatedTask => {
    const name = parseTaskKey(key);
    const submitted = name && jobs.get(name.jobId);
    const step = submitted?.job.steps[name?.step ?? 0];
    return {
      cpuMillis: step?.cpuMillis ?? 0,
      memoryMb: step?.memoryMb ?? 0,
      runMs: submitted?.runMs ?? 100,
      isLasting: step?.isLasting ?? false,
      startMs: submitted?.startMs ?? LASTING_START_MS,
      fails: submitted?.fails ?? false,
      ticket: submitted?.needsAdvice ? TICKET : undefined,
      crashesAfterMs: name?.step === 0 && name.index === 0 ? submitted?.crashesAfterMs : undefined,
    };
  };

  /** A task that takes its endpoints down may not go on doing so. */
  const checkCrashes = (key: TaskKey): void => {
    if (taskOf(key).crashesAfterMs === undefined) return;
    if ((crashes.get(key) ?? 0) < FREE_CRASHES || holderAge.ms() < CONTACT_MS) return;
    const starts = (startsSince.get(key) ?? 0) + 1;
    startsSince.set(key, starts);
    if (starts >= STARTS_TOO_MANY) {
      breaks(`${key} began ${starts} times after ${FREE_CRASHES} endpoints crashed under it`);
    }
  };

  const accountOf = (key: TaskKey): AccountName | undefined => {
    const name = parseTaskKey(key);
    return name && jobs.get(name.jobId)?.job.owner?.account;
  };

  /** The highest maximum that any configuration in force may give an account; 0 for no limit. */
  const mostOf = (account: AccountName): number => {
    const nowMs = performance.now();
    const maxima = inForce
      .filter(({ untilMs }) => untilMs > nowMs)
      .map(({ maxima: one }) => one.get(account)?.cpuMillis ?? 0);
    return maxima.includes(0) ? 0 : Math.max(0, ...maxima);
  };

  /** No start brings what an account has running above its maximum, an excess and one task more. */
  const checkQuota = (task: TaskKey): void => {
    const account = accountOf(task);
    const most = account === undefined ? 0 : mostOf(account);
    if (account === undefined || most === 0) return;
    const running = Array.from(endpoints.values())
      .filter((one) => one.isUp())
      .flatMap(({ endpointId, runs }) =>
        Array.from(runs.keys()).filter((key) => !strays.has(`${endpointId} ${key}`)),
      )
      .filter((key) => accountOf(key) === account)
      .reduce((sum, key) => sum + taskOf(key).cpuMillis, 0);
    const isIncluded = Array.from(endpoints.values()).some(({ runs }) => runs.has(task));
    const before = running - (isIncluded ? taskOf(task).cpuMillis : 0);
    if (before > most * (1 + QUOTA_EXCESS)) {
      breaks(`${task} began beside ${before} of ${account}, which may have ${most}`);
    }
  };

  /**
   * Nothing begins in an evacuated data centre after the bound. An order that is carried out late counts by the time
   * at which it was sent. While the table is away for all no operator is acknowledged, and starts go on.
   */
  const checkEvacuation = ({ hostId }: SimulatedEndpoint, task: TaskKey): void => {
    const dataCentre = hosts.get(hostId)?.dataCentre;
    if (dataCentre === undefined || isTableDown) return;
    const nowMs = performance.now();
    if (nowMs - tableBackAtMs < TABLE_BACK_MS) return;
    const evacuatedMs = operator.evacuatedForMs(dataCentre, Math.min(nowMs, lateOrder.sentAtMs));
    if (evacuatedMs === undefined || evacuatedMs <= EVACUATE_MS) return;
    breaks(`${task} began in ${dataCentre}, which is evacuated for ${Math.round(evacuatedMs)} ms`);
  };

  /** A job is failed only by a task that failed too often, or under which endpoints crashed. */
  const checkFailed = (jobId: JobId): void => {
    const hasCause = (counts: ReadonlyMap<TaskKey, number>, atLeast: number): boolean =>
      Array.from(counts).some(([key, count]) => key.startsWith(jobId) && count >= atLeast);
    if (hasCause(failedEnds, SIM_POLICY.maxAttempts)) return;
    if (!hasCause(crashes, CRASHES_TO_GIVE_UP)) breaks(`${jobId} is failed without a cause`);
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

  /**
   * An order to the life before that is carried out before this one was asked and told to bar it: nobody can keep
   * it from beginning what has ended, or what runs elsewhere.
   */
  const isStray = (endpoint: SimulatedEndpoint): boolean =>
    lateOrder.sentAtMs < (livesSinceMs.get(endpoint) ?? 0) &&
    performance.now() - (askedSinceMs.get(endpoint) ?? Infinity) < BARRED_WITHIN_MS;

  const observer: EndpointObserver = {
    taskOf,
    onStart: (endpoint, task, run) => {
      checkEvacuation(endpoint, task);
      if (isStray(endpoint)) {
        strays.add(`${endpoint.endpointId} ${task}`);
        return;
      }
      Array.from(endpoints.values())
        .filter((other) => other !== endpoint && other.isUp() && other.runs.has(task))
        .filter((other) => !strays.has(`${other.endpointId} ${task}`))
        .forEach((other) =>
          breaks(`${task} run ${run} on ${endpoint.instanceId}: also on ${other.instanceId}`),
        );
      if (noted.has(task)) breaks(`${task} run ${run} began after its end was noted`);
      if ((failures.get(task) ?? 0) >= SIM_POLICY.maxAttempts) breaks(`${task} began too often`);
      const name = parseTaskKey(task);
      const isAdvised = name !== undefined && jobs.get(name.jobId)?.needsAdvice === true;
      if (isAdvised && !mayRunAdvised(endpoint.instanceId)) {
        breaks(`${task} began on ${endpoint.instanceId}, which may not run it`);
      }
      checkOrder(task);
      checkCrashes(task);
      checkQuota(task);
    },
    onEnd: (_, task, __, kind) => {
      if (kind === 'failed') failedEnds.set(task, (failedEnds.get(task) ?? 0) + 1);
      if (kind === 'done') done.add(task);
    },
    onAcknowledged: ({ task, kind }: EndedRunReport) => {
      if (kind === 'done') noted.add(task);
      if (kind === 'failed' && !taskOf(task).isLasting) {
        failures.set(task, (failures.get(task) ?? 0) + 1);
      }
    },
    onCrash: ({ instanceId }) => crash(instanceId),
  };

  const newId = (): InstanceId => {
    lastEndpoint += 1;
    return brand<InstanceId>(`i-${lastEndpoint}`);
  };

  /** An endpoint may start again under the id that it had. */
  const nextId = (former: InstanceId): InstanceId => {
    restarts += 1;
    return restarts % NEW_ID_EVERY === 0 ? newId() : former;
  };

  const liveOn = (host: ListedHost, instanceId = newId()): void => {
    const endpoint = createSimulatedEndpoint({
      instanceId,
      hostId: host.hostId,
      pool: host.pool,
      capacity: host.capacity,
      clockRate: 0.98 + random() * 0.02,
      observer,
    });
    endpoints.set(instanceId, endpoint);
    livesSinceMs.set(endpoint, performance.now());
    hosts.set(host.hostId, { ...host, state: 'up', instanceId });
  };

  /** How many tasks of a task's step are at work on an endpoint. */
  const atWorkOn = ({ runs }: SimulatedEndpoint, { jobId, step }: TaskKeyParts): number =>
    Array.from(runs.values()).filter(({ task, startedAtMs, needs, isStopping }) => {
      const one = parseTaskKey(task);
      const isOfStep = one?.jobId === jobId && one.step === step;
      return isOfStep && !isStopping && performance.now() - startedAtMs >= (needs.startMs ?? 0);
    }).length;

  /** Tasks of a lasting step that are at work on no endpoint. */
  const awayOf = (name: TaskKeyParts): number => {
    const step = jobs.get(name.jobId)?.job.steps[name.step];
    const atWork = Array.from(endpoints.values())
      .filter((one) => one.isUp())
      .reduce((sum, one) => sum + atWorkOn(one, name), 0);
    return (step?.taskCount ?? 0) - atWork;
  };

  const mayMissOf = (name: TaskKeyParts): number =>
    jobs.get(name.jobId)?.job.steps[name.step]?.mayMiss ?? 0;

  /** A job that has ended, or that its client cancels, keeps no budget. */
  const isServed = ({ jobId }: TaskKeyParts): boolean => {
    const row = table.read(`job/${jobId}`).value as BatchJobRow | null;
    return row?.kind === 'live' && !cancelled.has(jobId);
  };

  /** Checks that a task which is ordered to stop may be missed. */
  const checkStop = (endpoint: SimulatedEndpoint, key: TaskKey): void => {
    const name = parseTaskKey(key);
    // A late order is nobody's to prevent.
    if (!name || !endpoint.runs.has(key) || lateOrder.sentAtMs < Infinity) return;
    const mayMiss = mayMissOf(name);
    const isAtWork = atWorkOn(endpoint, name) > 0;
    if (mayMiss === 0 || !isAtWork || awayOf(name) < mayMiss || !isServed(name)) return;
    breaks(`${key} was stopped while ${awayOf(name)} others were away`);
  };

  /** Checks what an order to a host is about to end. */
  const checkBudgets = (host: ListedHost): void => {
    const endpoint = host.instanceId && endpoints.get(host.instanceId);
    if (!endpoint) return;
    endpoint.runs.forEach((_, key) => {
      const name = parseTaskKey(key);
      const mayMiss = name ? mayMissOf(name) : 0;
      if (!name || mayMiss === 0) return;
      const here = atWorkOn(endpoint, name);
      const away = awayOf(name);
      if (here > 0 && away + here > mayMiss) {
        breaks(`${key} was ended by an order with ${here} while ${away} others were away`);
      }
    });
  };

  const isSpare = (pool: string): boolean => pool === sparePool;

  const checkEmpty = (host: ListedHost): void => {
    const endpoint = host.instanceId && endpoints.get(host.instanceId);
    if (endpoint && endpoint.runs.size > 0) breaks(`a move of ${host.hostId} ended tasks`);
    checkBudgets(host);
  };

  /** Checks what the operator is told of a wave: completed, once each of its hosts that stays has gone down. */
  const checkReport = (waveNumber: number, state: string): void => {
    if (state !== 'completed') return;
    const open = (waves.get(waveNumber)?.hosts ?? []).filter(
      (hostId) => hosts.has(hostId) && !maintained.has(`${waveNumber}/${hostId}`),
    );
    if (open.length > 0) breaks(`wave ${waveNumber} is completed without ${open.join(', ')}`);
  };

  const newestFence = (): number =>
    (table.read('lease/control').value as LeaseRow | null)?.epoch ?? 0;

  /** The host's life ends; another begins after a time, unless its pool is switched off. */
  const relive = (host: ListedHost, afterMs: number): void => {
    const formerId = host.instanceId;
    if (formerId) endpoints.get(formerId)?.crash();
    hosts.set(host.hostId, { ...host, instanceId: null });
    setTimeout(() => {
      const now = hosts.get(host.hostId);
      if (!now) return;
      if (isSpare(now.pool)) hosts.set(now.hostId, { ...now, state: 'up' });
      else liveOn(now, formerId ? nextId(formerId) : newId());
    }, afterMs);
  };

  /** An endpoint crashes by itself; its host is back with its next life after some time. */
  const crash = (instanceId: InstanceId, downMs = faults.crashMs): void => {
    const endpoint = endpoints.get(instanceId);
    const host = endpoint && hosts.get(endpoint.hostId);
    if (!endpoint?.isUp() || !host) return;
    endpoint.runs.forEach((_, task) => crashes.set(task, (crashes.get(task) ?? 0) + 1));
    relive({ ...host, state: 'down' }, downMs);
  };

  const placeOf = (index: number): Pick<ListedHost, 'dataCentre' | 'labels'> => {
    const { hostsPerRack, dataCentres } = domains ?? { hostsPerRack: 1, dataCentres: 2 };
    const rack = domains ? Math.floor(index / hostsPerRack) : index % 2;
    const dataCentre = brand<DataCentreId>(`dc-${rack % dataCentres}`);
    // The label of a rack need not be the last one.
    return { dataCentre, labels: [`rack-${rack}`, ...(domains ? ['ssd'] : [])] };
  };

  [...pools, ...(sparePool ? [sparePool] : [])].forEach((pool) => {
    Array.from({ length: hostsPerPool }).forEach((_, index) => {
      const host: ListedHost = {
        hostId: brand<HostId>(`h-${pool}-${index}`),
        pool: brand<PoolName>(pool),
        state: 'up',
        ...placeOf(index),
        capacity: { cpuMillis: 8000, memoryMb: 16_000, accelerators: 0 },
        instanceId: null,
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
      writes.forEach(({ key, value }) => {
        if (key.startsWith('job/') && parseJobKey(key).isCancel)
          cancelled.add(parseJobKey(key).jobId);
        changes.push({ key, value, version: outcome.version });
        const row = key.startsWith('job/') ? (value as BatchJobRow | null) : null;
        if (row?.kind === 'ended' && row.phase === 'failed') {
          checkFailed(brand<JobId>(key.slice('job/'.length)));
        }
      });
    }
    return outcome;
  };

  return {
    random,
    table,
    changes,
    endpoints,
    hosts,
    jobs,
    broken,
    startsSent,
    faults,
    maintained,
    unlisted,
    operator,
    lateOrder,
    noteAsked: (endpoint: SimulatedEndpoint): void => {
      if (!askedSinceMs.has(endpoint)) askedSinceMs.set(endpoint, performance.now());
    },
    isListed,
    hasDomains: domains !== undefined,
    inForce,
    waveStatus,
    waves,
    breaks,
    checkBudgets,
    checkStop,
    checkEmpty,
    checkReport,
    newestFence,
    crash,
    crashes,
    holderAge,
    relive,
    readAll,
    commit,
  };
};

export type SimWorld = ReturnType<typeof createSimWorld>;
