/**
 * The environment of simulated entries in virtual time: a table, endpoints, hosts, jobs and maintenance waves in
 * memory. Invariants are checked at the endpoints and hosts at the moment of each event; violations are collected.
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

/** How long a host is down for maintenance. */
export const MAINTENANCE_MS = 2000;
/** How long a host is down while it moves to another pool. */
export const MOVE_MS = 1500;
/** How long a host is down after its endpoint has crashed, unless a test sets another time. */
const CRASH_MS = 3000;
/** How long a long-running task takes to become ready, unless a test sets another time. */
export const LONG_RUNNING_START_MS = 200;
/** Every n-th restarted endpoint gets a new instance id; the others keep the id that they had. */
const NEW_ID_EVERY = 4;
/**
 * Within this time after its first list request to an incarnation, a holder has ordered the incarnation to reject
 * starts that were sent to the previous one. The time allows for the loss of two such orders.
 */
const STALE_STARTS_REJECTED_WITHIN_MS = 3000;

/** The queue policy of all simulated queues. */
export const SIM_QUEUE_POLICY: QueuePolicy = {
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 600,
};

/** A job as its client submitted it, and how its tasks behave. */
export type SubmittedJob = {
  readonly job: BatchJob;
  /** How long each task runs. */
  readonly runMs: number;
  /** How long a long-running task takes to become ready. */
  readonly startMs: number;
  /** True if its tasks end as failed. */
  readonly fails: boolean;
  readonly needsAdvice: boolean;
  /**
   * The first task of the first step crashes each endpoint that starts it, this long after the start; undefined if no
   * task crashes endpoints.
   */
  readonly crashesAfterMs: number | undefined;
};

/** How many endpoints may crash under a task before its further starts are counted. */
const UNCOUNTED_CRASHES = 3;
/** Starts are not counted while the holder's process has run for less than this time. */
const HOLDER_STARTUP_MS = 3000;
/** This many counted starts of one task break the invariant. */
const EXCESSIVE_STARTS = 3;
/** A job may fail once this many endpoints have crashed under one of its tasks. */
const MIN_CRASHES_TO_FAIL = 2;

/** By how much an account's running tasks may exceed its maximum, as a share of the maximum. */
const QUOTA_EXCESS = 0.1;

/** No task may start in a data centre once this time has passed since its evacuation was acknowledged. */
export const EVACUATION_BOUND_MS = 5000;
/** After a table outage that affects all entries, they learn within this time of orders given just before it. */
const TABLE_RECOVERY_MS = 2500;

/** The ticket that the advice service gives out, and that starts of tasks that need advice must carry. */
export const ADVICE_TICKET = 'ticket';

/**
 * Tells what the simulated advice service answers for an endpoint: endpoints with an even number are good.
 *
 * @param instanceId - The endpoint's instance id.
 * @returns True if the endpoint may run steps that need advice.
 */
export const mayRunAdvised = (instanceId: InstanceId): boolean =>
  Number(instanceId.slice(2)) % 2 === 0;

/** The faults in force, which tests change while the simulation runs. Shares are from 0 to 1. */
export type SimFaults = {
  /** The share of answers by endpoints and by the advice service that are lost. */
  lostAnswers: number;
  /** The share of orders to endpoints that are carried out seconds later and not answered. */
  lateOrders: number;
  /** True during an outage of the table for all entries. */
  isTableDown: boolean;
  /** The share of calls to the platform's services whose answer is lost; half of them are also carried out late. */
  lostWrites: number;
  /** The methods of calls between entries that never arrive. */
  readonly lostMeshCalls: Set<string>;
  /** How long a host is down after its endpoint has crashed. */
  crashMs: number;
  /** How long an order to a host is in flight. */
  hostOrderMs: number;
  /** How much longer than usual endpoints take to answer. */
  answerMs: number;
  /** True while the list of hosts answers no entry. */
  isHostListDown: boolean;
  /** How long the list of hosts takes to answer. */
  hostListMs: number;
  /** Endpoints that are gone and whose address now belongs to another endpoint. */
  readonly replacedEndpoints: Set<InstanceId>;
  /** Hosts that still exist but are missing from the list of hosts. */
  readonly unlistedHosts: Set<HostId>;
  /** Hosts for which maintenance orders are refused. */
  readonly refusedHosts: Set<HostId>;
};

/** How hosts are spread over racks and data centres; each rack has hosts of all pools. */
export type SimDomains = {
  /** The number of hosts of each pool in one rack. */
  readonly hostsPerRack: number;
  readonly dataCentres: number;
};

/** A start order at the time an entry sends it, whether or not it arrives. */
export type SentStart = {
  readonly instanceId: InstanceId;
  readonly task: TaskKey;
  readonly run: number;
  readonly atMs: number;
};

export type SimWorldOptions = {
  readonly hostsPerPool: number;
  readonly pools: readonly string[];
  /** The pool whose hosts are switched off and run no endpoint; undefined for none. */
  readonly sparePool: string | undefined;
  /** If undefined, endpoints report no labels, and hosts alternate between two data centres. */
  readonly domains?: SimDomains | undefined;
  readonly random: () => number;
};

/**
 * Creates the simulated environment of a fleet.
 *
 * @param options - Its size and its random number generator.
 * @returns The environment, without faults.
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
  const jobs = new Map<JobId, SubmittedJob>();
  const doneTasks = new Set<TaskKey>();
  const acknowledgedTasks = new Set<TaskKey>();
  const acknowledgedFailures = new Map<TaskKey, number>();
  const failedEnds = new Map<TaskKey, number>();
  /** The number of endpoints that crashed while they ran a task. */
  const crashes = new Map<TaskKey, number>();
  /** The number of a task's starts since UNCOUNTED_CRASHES endpoints had crashed under it. */
  const startsAfterCrashes = new Map<TaskKey, number>();
  const violations: string[] = [];
  const operator = createSimOperator();
  let isTableDown = false;
  let tableBackAtMs = -Infinity;
  const startsSent: SentStart[] = [];
  /** The accounts' maxima in each configuration that an entry may still apply, the newest last. */
  const activeMaxima: { readonly maxima: ReadonlyMap<AccountName, Capacity>; untilMs: number }[] =
    [];
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
    lostMeshCalls: new Set(),
    crashMs: CRASH_MS,
    hostOrderMs: 0,
    answerMs: 0,
    isHostListDown: false,
    hostListMs: 0,
    replacedEndpoints: new Set(),
    unlistedHosts: new Set(),
    refusedHosts: new Set(),
  };
  const maintained = new Set<string>();
  /** Returns for how many ms the holder's process has run. */
  const holderAge = { ms: (): number => Infinity };
  const unlisted = new Set<InstanceId>();
  const isListed = (one: SimulatedEndpoint): boolean => one.isUp() && !unlisted.has(one.instanceId);
  const cancelled = new Set<string>();
  const waveStatus = new Map<number, string>();
  const waves = new Map<number, MaintenanceRequest>();
  let endpointCount = 0;
  let restartCount = 0;
  /** When the order that is being carried out late was sent; Infinity while no late order is being carried out. */
  const lateOrder = { sentAtMs: Infinity };
  /** When each incarnation started. */
  const incarnationStartedAtMs = new Map<SimulatedEndpoint, number>();
  /** When each incarnation was first asked to list its runs. */
  const firstListedAtMs = new Map<SimulatedEndpoint, number>();
  /** Runs that were started by orders to the previous incarnation, by endpoint and task. */
  const strayRuns = new Set<string>();

  const recordViolation = (text: string): void => {
    violations.push(`${Math.round(performance.now())} ms: ${text}`);
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
      startMs: submitted?.startMs ?? LONG_RUNNING_START_MS,
      fails: submitted?.fails ?? false,
      ticket: submitted?.needsAdvice ? ADVICE_TICKET : undefined,
      crashesAfterMs: name?.step === 0 && name.index === 0 ? submitted?.crashesAfterMs : undefined,
    };
  };

  /** Checks that a task which crashes its endpoints is not started again and again. */
  const checkCrashes = (key: TaskKey): void => {
    if (taskOf(key).crashesAfterMs === undefined) return;
    if ((crashes.get(key) ?? 0) < UNCOUNTED_CRASHES || holderAge.ms() < HOLDER_STARTUP_MS) return;
    const starts = (startsAfterCrashes.get(key) ?? 0) + 1;
    startsAfterCrashes.set(key, starts);
    if (starts >= EXCESSIVE_STARTS) {
      recordViolation(
        `${key} was started ${starts} times after ${UNCOUNTED_CRASHES} endpoints crashed under it`,
      );
    }
  };

  const accountOf = (key: TaskKey): AccountName | undefined => {
    const name = parseTaskKey(key);
    return name && jobs.get(name.jobId)?.job.owner?.account;
  };

  /** Returns the highest maximum of an account in any configuration that may be in force; 0 for no limit. */
  const computeMaximum = (account: AccountName): number => {
    const nowMs = performance.now();
    const maxima = activeMaxima
      .filter(({ untilMs }) => untilMs > nowMs)
      .map(({ maxima: one }) => one.get(account)?.cpuMillis ?? 0);
    return maxima.includes(0) ? 0 : Math.max(0, ...maxima);
  };

  /** Checks that a start leaves an account's running tasks within its maximum, plus QUOTA_EXCESS, plus one task. */
  const checkQuota = (task: TaskKey): void => {
    const account = accountOf(task);
    const maximum = account === undefined ? 0 : computeMaximum(account);
    if (account === undefined || maximum === 0) return;
    const running = Array.from(endpoints.values())
      .filter((one) => one.isUp())
      .flatMap(({ endpointId, runs }) =>
        Array.from(runs.keys()).filter((key) => !strayRuns.has(`${endpointId} ${key}`)),
      )
      .filter((key) => accountOf(key) === account)
      .reduce((sum, key) => sum + taskOf(key).cpuMillis, 0);
    const isIncluded = Array.from(endpoints.values()).some(({ runs }) => runs.has(task));
    const before = running - (isIncluded ? taskOf(task).cpuMillis : 0);
    if (before > maximum * (1 + QUOTA_EXCESS)) {
      recordViolation(
        `${task} started although ${before} millicores of ${account} were running, of at most ${maximum}`,
      );
    }
  };

  /**
   * Checks that no task starts in an evacuated data centre after the bound. An order that is carried out late counts
   * at the time at which it was sent. During a table outage that affects all entries, nothing is checked: no
   * evacuation can be acknowledged then, and starts go on.
   */
  const checkEvacuation = ({ hostId }: SimulatedEndpoint, task: TaskKey): void => {
    const dataCentre = hosts.get(hostId)?.dataCentre;
    if (dataCentre === undefined || isTableDown) return;
    const nowMs = performance.now();
    if (nowMs - tableBackAtMs < TABLE_RECOVERY_MS) return;
    const evacuatedMs = operator.evacuatedForMs(dataCentre, Math.min(nowMs, lateOrder.sentAtMs));
    if (evacuatedMs === undefined || evacuatedMs <= EVACUATION_BOUND_MS) return;
    recordViolation(
      `${task} started in ${dataCentre}, which had been evacuated for ${Math.round(evacuatedMs)} ms`,
    );
  };

  /** Checks that a failed job has a task that failed too often, or under which endpoints crashed. */
  const checkFailedJob = (jobId: JobId): void => {
    const hasCause = (counts: ReadonlyMap<TaskKey, number>, atLeast: number): boolean =>
      Array.from(counts).some(([key, count]) => key.startsWith(jobId) && count >= atLeast);
    if (hasCause(failedEnds, SIM_QUEUE_POLICY.maxAttempts)) return;
    if (!hasCause(crashes, MIN_CRASHES_TO_FAIL))
      recordViolation(
        `${jobId} failed although no task of it failed too often or crashed endpoints`,
      );
  };

  /** Checks that a task belongs to a submitted job, and that the steps before its own are done. */
  const checkStepOrder = (key: TaskKey): void => {
    const name = parseTaskKey(key);
    const job = name && jobs.get(name.jobId)?.job;
    if (!name || !job) {
      recordViolation(`${key} started, but belongs to no submitted job`);
      return;
    }
    job.steps[name.step]?.after.forEach((before) => {
      const count = job.steps[before]?.taskCount ?? 0;
      const isDone = Array.from({ length: count }).every((_, index) =>
        doneTasks.has(`${name.jobId}.${name.occurrence}.${before}.${index}` as TaskKey),
      );
      if (!isDone) recordViolation(`${key} started before step ${before} was done`);
    });
  };

  /**
   * Tells whether an endpoint is carrying out an order that was sent to its previous incarnation, before the holder
   * could ask this one for its runs and have it reject such orders. No entry can prevent such an order from starting a
   * task that has ended, or that runs elsewhere.
   */
  const isStrayStart = (endpoint: SimulatedEndpoint): boolean =>
    lateOrder.sentAtMs < (incarnationStartedAtMs.get(endpoint) ?? 0) &&
    performance.now() - (firstListedAtMs.get(endpoint) ?? Infinity) <
      STALE_STARTS_REJECTED_WITHIN_MS;

  const observer: EndpointObserver = {
    taskOf,
    onStart: (endpoint, task, run) => {
      checkEvacuation(endpoint, task);
      if (isStrayStart(endpoint)) {
        strayRuns.add(`${endpoint.endpointId} ${task}`);
        return;
      }
      Array.from(endpoints.values())
        .filter((other) => other !== endpoint && other.isUp() && other.runs.has(task))
        .filter((other) => !strayRuns.has(`${other.endpointId} ${task}`))
        .forEach((other) =>
          recordViolation(
            `${task} run ${run} on ${endpoint.instanceId}: also on ${other.instanceId}`,
          ),
        );
      if (acknowledgedTasks.has(task))
        recordViolation(`${task} run ${run} started after its end was acknowledged`);
      if ((acknowledgedFailures.get(task) ?? 0) >= SIM_QUEUE_POLICY.maxAttempts)
        recordViolation(`${task} started again after its last attempt`);
      const name = parseTaskKey(task);
      const isAdvised = name !== undefined && jobs.get(name.jobId)?.needsAdvice === true;
      if (isAdvised && !mayRunAdvised(endpoint.instanceId)) {
        recordViolation(
          `${task} started on ${endpoint.instanceId}, which may not run steps that need advice`,
        );
      }
      checkStepOrder(task);
      checkCrashes(task);
      checkQuota(task);
    },
    onEnd: (_, task, __, kind) => {
      if (kind === 'failed') failedEnds.set(task, (failedEnds.get(task) ?? 0) + 1);
      if (kind === 'done') doneTasks.add(task);
    },
    onAcknowledged: ({ task, kind }: EndedRunReport) => {
      if (kind === 'done') acknowledgedTasks.add(task);
      if (kind === 'failed' && !taskOf(task).isLasting) {
        acknowledgedFailures.set(task, (acknowledgedFailures.get(task) ?? 0) + 1);
      }
    },
    onCrash: ({ instanceId }) => crash(instanceId),
  };

  const createInstanceId = (): InstanceId => {
    endpointCount += 1;
    return brand<InstanceId>(`i-${endpointCount}`);
  };

  /** Returns the instance id of a restarted endpoint, which is often the one that it had. */
  const chooseRestartId = (former: InstanceId): InstanceId => {
    restartCount += 1;
    return restartCount % NEW_ID_EVERY === 0 ? createInstanceId() : former;
  };

  const startEndpoint = (host: ListedHost, instanceId = createInstanceId()): void => {
    const endpoint = createSimulatedEndpoint({
      instanceId,
      hostId: host.hostId,
      pool: host.pool,
      capacity: host.capacity,
      clockRate: 0.98 + random() * 0.02,
      observer,
    });
    endpoints.set(instanceId, endpoint);
    incarnationStartedAtMs.set(endpoint, performance.now());
    hosts.set(host.hostId, { ...host, state: 'up', instanceId });
  };

  /** Counts the ready tasks of a task's step on an endpoint. */
  const countReady = ({ runs }: SimulatedEndpoint, { jobId, step }: TaskKeyParts): number =>
    Array.from(runs.values()).filter(({ task, startedAtMs, needs, isStopping }) => {
      const one = parseTaskKey(task);
      const isOfStep = one?.jobId === jobId && one.step === step;
      return isOfStep && !isStopping && performance.now() - startedAtMs >= (needs.startMs ?? 0);
    }).length;

  /** Counts the unavailable tasks of a long-running step: those that are ready on no endpoint. */
  const countUnavailable = (name: TaskKeyParts): number => {
    const step = jobs.get(name.jobId)?.job.steps[name.step];
    const readyCount = Array.from(endpoints.values())
      .filter((one) => one.isUp())
      .reduce((sum, one) => sum + countReady(one, name), 0);
    return (step?.taskCount ?? 0) - readyCount;
  };

  const findMayMiss = (name: TaskKeyParts): number =>
    jobs.get(name.jobId)?.job.steps[name.step]?.mayMiss ?? 0;

  /** Tells whether a job's budget applies: it does not once the job has ended or its client has cancelled it. */
  const hasBudget = ({ jobId }: TaskKeyParts): boolean => {
    const row = table.read(`job/${jobId}`).value as BatchJobRow | null;
    return row?.kind === 'live' && !cancelled.has(jobId);
  };

  /** Checks that the budget of unavailable tasks allows a task to be stopped. */
  const checkStop = (endpoint: SimulatedEndpoint, key: TaskKey): void => {
    const name = parseTaskKey(key);
    // No entry can prevent an order that is carried out late.
    if (!name || !endpoint.runs.has(key) || lateOrder.sentAtMs < Infinity) return;
    const mayMiss = findMayMiss(name);
    const isReady = countReady(endpoint, name) > 0;
    if (mayMiss === 0 || !isReady || countUnavailable(name) < mayMiss || !hasBudget(name)) return;
    recordViolation(`${key} was stopped while ${countUnavailable(name)} others were unavailable`);
  };

  /** Checks that the budgets of unavailable tasks allow all tasks on a host to be ended by an order to the host. */
  const checkBudgets = (host: ListedHost): void => {
    const endpoint = host.instanceId && endpoints.get(host.instanceId);
    if (!endpoint) return;
    endpoint.runs.forEach((_, key) => {
      const name = parseTaskKey(key);
      const mayMiss = name ? findMayMiss(name) : 0;
      if (!name || mayMiss === 0) return;
      const readyHere = countReady(endpoint, name);
      const unavailable = countUnavailable(name);
      if (readyHere > 0 && unavailable + readyHere > mayMiss) {
        recordViolation(
          `${key} was ended by an order with ${readyHere} ready there while ${unavailable} others were unavailable`,
        );
      }
    });
  };

  const isSpare = (pool: string): boolean => pool === sparePool;

  /** Checks that a host which is to be moved runs no tasks. */
  const checkEmpty = (host: ListedHost): void => {
    const endpoint = host.instanceId && endpoints.get(host.instanceId);
    if (endpoint && endpoint.runs.size > 0) recordViolation(`a move of ${host.hostId} ended tasks`);
    checkBudgets(host);
  };

  /** Checks that a wave is reported as completed only once each of its hosts that still exists was maintained. */
  const checkReport = (waveNumber: number, state: string): void => {
    if (state !== 'completed') return;
    const open = (waves.get(waveNumber)?.hosts ?? []).filter(
      (hostId) => hosts.has(hostId) && !maintained.has(`${waveNumber}/${hostId}`),
    );
    if (open.length > 0)
      recordViolation(`wave ${waveNumber} is completed without ${open.join(', ')}`);
  };

  /** Returns the fence of the newest control lease; 0 before the first. */
  const newestFence = (): number =>
    (table.read('lease/control').value as LeaseRow | null)?.epoch ?? 0;

  /** Ends the incarnation on a host and starts the next one after a time, unless the host is in the spare pool by then. */
  const restartHost = (host: ListedHost, afterMs: number): void => {
    const formerId = host.instanceId;
    if (formerId) endpoints.get(formerId)?.crash();
    hosts.set(host.hostId, { ...host, instanceId: null });
    setTimeout(() => {
      const current = hosts.get(host.hostId);
      if (!current) return;
      if (isSpare(current.pool)) hosts.set(current.hostId, { ...current, state: 'up' });
      else startEndpoint(current, formerId ? chooseRestartId(formerId) : createInstanceId());
    }, afterMs);
  };

  /** Crashes an endpoint; its host comes back with the next incarnation after some time. */
  const crash = (instanceId: InstanceId, downMs = faults.crashMs): void => {
    const endpoint = endpoints.get(instanceId);
    const host = endpoint && hosts.get(endpoint.hostId);
    if (!endpoint?.isUp() || !host) return;
    endpoint.runs.forEach((_, task) => crashes.set(task, (crashes.get(task) ?? 0) + 1));
    restartHost({ ...host, state: 'down' }, downMs);
  };

  const locationOf = (index: number): Pick<ListedHost, 'dataCentre' | 'labels'> => {
    const { hostsPerRack, dataCentres } = domains ?? { hostsPerRack: 1, dataCentres: 2 };
    const rack = domains ? Math.floor(index / hostsPerRack) : index % 2;
    const dataCentre = brand<DataCentreId>(`dc-${rack % dataCentres}`);
    // A second label, since the rack's label need not be the last one.
    return { dataCentre, labels: [`rack-${rack}`, ...(domains ? ['ssd'] : [])] };
  };

  [...pools, ...(sparePool ? [sparePool] : [])].forEach((pool) => {
    Array.from({ length: hostsPerPool }).forEach((_, index) => {
      const host: ListedHost = {
        hostId: brand<HostId>(`h-${pool}-${index}`),
        pool: brand<PoolName>(pool),
        state: 'up',
        ...locationOf(index),
        capacity: { cpuMillis: 8000, memoryMb: 16_000, accelerators: 0 },
        instanceId: null,
      };
      if (isSpare(pool)) hosts.set(host.hostId, host);
      else startEndpoint(host);
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
          checkFailedJob(brand<JobId>(key.slice('job/'.length)));
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
    violations,
    startsSent,
    faults,
    maintained,
    unlisted,
    operator,
    lateOrder,
    /** Records when an incarnation was first asked to list its runs. */
    recordListed: (endpoint: SimulatedEndpoint): void => {
      if (!firstListedAtMs.has(endpoint)) firstListedAtMs.set(endpoint, performance.now());
    },
    isListed,
    hasDomains: domains !== undefined,
    activeMaxima,
    waveStatus,
    waves,
    recordViolation,
    checkBudgets,
    checkStop,
    checkEmpty,
    checkReport,
    newestFence,
    crash,
    crashes,
    holderAge,
    restartHost,
    readAll,
    commit,
  };
};

export type SimWorld = ReturnType<typeof createSimWorld>;
