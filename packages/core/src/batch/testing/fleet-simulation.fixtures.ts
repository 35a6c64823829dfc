/** A time-stepped simulation of several pools under load from client accounts, with hosts that move between the pools. */
import {
  brand,
  type AccountName,
  type DataCentreId,
  type EndpointId,
  type HostId,
  type JobId,
  type PoolName,
} from '../../shared/ids.js';
import { change } from '../../shared/change.js';
import { setAccounts } from '../accounts/quota.js';
import { upsertEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import { applyStartOutcome } from '../endpoints/order-responses.js';
import type { EndedRunReport } from '../endpoints/endpoint-report.js';
import { applyReport } from '../endpoints/reports.js';
import { createAdmissionControl, type AdmissionControl } from '../jobs/admission-control.js';
import { recordFirstAttempts } from '../jobs/first-attempts.js';
import { addJob } from '../jobs/job-lifecycle.js';
import { NO_LIMIT } from '../model/capacity.js';
import { instanceIdOf } from '../model/endpoint-incarnation.js';
import type { BatchJob, QueuePolicy, TaskKey } from '../model/job.js';
import { DEFAULT_STEP } from '../model/default-step.js';
import {
  createBatchState,
  removeEffects,
  type BatchState,
  type EndpointState,
} from '../model/state.js';
import { schedulePool } from '../placement/schedule.js';
import type { ListedHost, DeclaredPool } from '../pools/listed-hosts.js';
import { updatePoolForecasts, planMoves } from '../pools/pool-moves.js';
import { planReclaims } from '../pools/pool-reclaims.js';
import { observePeaks } from '../pools/pool-peaks.js';

const TIME_STEP_MS = 20;
const TIME_STEPS_PER_MOVE_PASS = 12;
const MOVE_MS = 1500;
const HOST_CPU = 64_000;
const SPARE = brand<PoolName>('spare');
const TASKS_PER_STEP = 8;
const POLICY: QueuePolicy = { priority: 0, maxAttempts: 3, stretch: 1.5, targetLatencyMs: 600 };
/**
 * A late success still counts within this many times the latency objective of its job. The simulation therefore continues
 * for this many times the longest objective after the last submission.
 */
const LATE_OBJECTIVES = 3;

/** A simulated pool. Its jobs have two steps of eight tasks, one after the other. */
export type SimulatedPool = {
  readonly name: PoolName;
  /** The number of hosts at the start. */
  readonly hosts: number;
  /** CPU request of a task, in millicores. */
  readonly taskCpu: number;
  /** Duration of a task, in ms. */
  readonly runMs: number;
};

/** A simulated client account and its load. */
export type SimulatedClient = {
  readonly name: AccountName;
  readonly pool: PoolName;
  /** The account's weight in the configuration; 0 for an account that is not declared there. */
  readonly weight: number;
  /** The submission rate at a given time, in jobs per second. */
  readonly jobsPerS: (nowMs: number) => number;
};

/** The parameters of a simulation. */
export type FleetSimulationOptions = {
  readonly pools: readonly SimulatedPool[];
  readonly spareHosts: number;
  readonly clients: readonly SimulatedClient[];
  /** For how long clients submit jobs, in ms. */
  readonly submitForMs: number;
  /** Whether admission control refuses jobs that cannot be served in time; true by default. */
  readonly isAdmissionOn?: boolean;
  /** How long after its end a run is reported to the holder, in ms; 0 by default. */
  readonly reportDelayMs?: number;
  /** Maximum number of attempts per job, including the first one; 3 by default. */
  readonly maxAttempts?: number;
};

/** The outcome of one job. */
export type SimulatedJob = {
  readonly jobId: JobId;
  readonly client: SimulatedClient;
  /** When it was first submitted. */
  readonly atMs: number;
  /** The latency objective, in ms. */
  readonly objectiveMs: number;
  /** How often admission control refused it. */
  refusals: number;
  isAccepted: boolean;
  /** Infinity for a job that was not accepted. */
  acceptedAtMs: number;
  /** True once one of its tasks has started. */
  hasRun: boolean;
  /** Infinity for a job that is not done. */
  doneAtMs: number;
};

/** The result of a simulation. */
export type FleetSimulationResult = {
  readonly jobs: readonly SimulatedJob[];
  readonly state: BatchState;
  /** Core-milliseconds of all started runs, by pool. */
  readonly workedCoreMs: ReadonlyMap<PoolName, number>;
  readonly admission: AdmissionControl;
};

/** Creates a deterministic random number generator with values between 0 and 1 (Lehmer, fixed seed). */
const createRandom = (): (() => number) => {
  let state = 7;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

/** Returns the latency objective of a pool's jobs: the stretched duration of their two steps plus the target latency. */
const objectiveOf = ({ runMs }: SimulatedPool): number =>
  POLICY.stretch * 2 * runMs + POLICY.targetLatencyMs;

/** Creates the hosts of a simulation, with functions that move hosts between pools. */
const createHosts = (state: BatchState, { pools, spareHosts }: FleetSimulationOptions) => {
  const hosts = new Map<HostId, ListedHost>();
  const backAtMs = new Map<HostId, number>();
  const views: readonly DeclaredPool[] = [
    ...pools.map(({ name }) => ({ name, isSpare: false })),
    { name: SPARE, isSpare: true },
  ];
  let incarnations = 0;

  const bringUp = (host: ListedHost, nowMs: number): void => {
    if (host.pool === SPARE) {
      hosts.set(host.hostId, { ...host, state: 'up', instanceId: null });
      return;
    }
    incarnations += 1;
    const endpointId = brand<EndpointId>(`i-${incarnations}`);
    const { hostId, pool, capacity, dataCentre, labels } = host;
    upsertEndpoint(
      state,
      { endpointId, pool, hostId, address: '', dataCentre, labels, capacity, isDraining: false },
      nowMs,
    );
    hosts.set(hostId, { ...host, state: 'up', instanceId: instanceIdOf(endpointId) });
  };

  const add = (pool: PoolName, count: number): void => {
    Array.from({ length: count }).forEach((_, index) => {
      const hostId = brand<HostId>(`h-${pool}-${index}`);
      const capacity = { cpuMillis: HOST_CPU, memoryMb: 256_000, accelerators: 0 };
      const dataCentre = brand<DataCentreId>('dc');
      bringUp({ hostId, pool, state: 'up', dataCentre, labels: [], capacity, instanceId: null }, 0);
    });
  };
  pools.forEach(({ name, hosts: count }) => add(name, count));
  add(SPARE, spareHosts);

  const finishMoves = (nowMs: number): void =>
    Array.from(backAtMs).forEach(([hostId, atMs]) => {
      if (atMs > nowMs) return;
      backAtMs.delete(hostId);
      bringUp(hosts.get(hostId) as ListedHost, nowMs);
    });

  const move = (hostId: HostId, pool: PoolName, nowMs: number): void => {
    const host = hosts.get(hostId) as ListedHost;
    const endpoint = host.instanceId && state.currentIncarnations.get(host.instanceId);
    const gone = { detail: 'host-ordered', atMs: nowMs, nowMs } as const;
    if (endpoint) removeEndpoint(state, endpoint.endpointId, gone);
    hosts.set(hostId, { ...host, pool, state: 'moving', instanceId: null });
    backAtMs.set(hostId, nowMs + MOVE_MS);
  };

  return {
    finishMoves,
    planAndStartMoves: (nowMs: number): void => {
      const world = { state, hosts, pools: views, busyHosts: new Set<HostId>(), nowMs };
      observePeaks(world);
      change(state, { reclaimedEndpoints: planReclaims(world) });
      updatePoolForecasts(world);
      planMoves(world).forEach(({ hostId, toPool }) => move(hostId, toPool, nowMs));
    },
  };
};

/**
 * Simulates a fleet under load.
 *
 * @param play - The pools, the hosts and the load from clients.
 * @returns The outcome of each job, and the final state.
 */
export const simulateFleet = (play: FleetSimulationOptions): FleetSimulationResult => {
  const { pools, clients, submitForMs, isAdmissionOn = true, maxAttempts = 3 } = play;
  const { reportDelayMs = 0 } = play;
  const state = createBatchState(2);
  change(state, { takenOverAtMs: -Infinity });
  const random = createRandom();
  const admission = createAdmissionControl({ state, random: createRandom() });
  const declared = clients.filter(({ weight }) => weight > 0);
  setAccounts(
    state,
    new Map(declared.map(({ name, weight }) => [name, { weight, maximum: NO_LIMIT }] as const)),
  );
  const fleet = createHosts(state, play);
  const poolByName = new Map(pools.map((pool) => [pool.name, pool]));
  const played = new Map<JobId, SimulatedJob>();
  const retries: { readonly job: SimulatedJob; readonly atMs: number }[] = [];
  const workedCoreMs = new Map<PoolName, number>();
  const ends = new Map<EndpointId, { readonly atMs: number; readonly end: EndedRunReport }[]>();
  let ended = 0;

  const submitAttempt = (job: SimulatedJob, nowMs: number): void => {
    const { client, jobId } = job;
    const { taskCpu, runMs } = poolByName.get(client.pool) as SimulatedPool;
    const step = {
      ...DEFAULT_STEP,
      taskCount: TASKS_PER_STEP,
      cpuMillis: taskCpu,
      estimateMs: runMs,
    };
    const owner = { account: client.name, maximum: NO_LIMIT };
    const submitted: BatchJob = {
      jobId,
      queue: brand(client.pool),
      pool: client.pool,
      spec: '',
      steps: [step, { ...step, after: [0] }],
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: nowMs,
      ...(client.weight > 0 ? { owner } : {}),
    };
    const asked = { job: submitted, policy: POLICY };
    const refusal = isAdmissionOn ? admission.evaluate(asked, nowMs) : undefined;
    if (!refusal) {
      admission.addPending(asked, nowMs);
      admission.removePending(jobId);
      change(job, { isAccepted: true, acceptedAtMs: nowMs });
      addJob(state, { job: submitted, policy: POLICY, nowMs, wallClockMs: nowMs });
      return;
    }
    admission.recordRefusal(refusal, client.pool);
    recordFirstAttempts(state, [{ jobId, atMs: nowMs }]);
    change(job, { refusals: job.refusals + 1 });
    if (job.refusals < maxAttempts) retries.push({ job, atMs: nowMs + refusal.retryAfterMs });
  };

  const submit = (client: SimulatedClient, nowMs: number): void => {
    const jobId = brand<JobId>((played.size + 1).toString(16).padStart(16, '0'));
    const objectiveMs = objectiveOf(poolByName.get(client.pool) as SimulatedPool);
    const initialOutcome = {
      refusals: 0,
      isAccepted: false,
      acceptedAtMs: Infinity,
      hasRun: false,
      doneAtMs: Infinity,
    };
    const job: SimulatedJob = { jobId, client, atMs: nowMs, objectiveMs, ...initialOutcome };
    played.set(jobId, job);
    submitAttempt(job, nowMs);
  };

  const startRun = (endpoint: EndpointState, task: TaskKey, run: number, nowMs: number): void => {
    const { runMs, taskCpu } = poolByName.get(endpoint.pool) as SimulatedPool;
    const { endpointId, pool } = endpoint;
    ended += 1;
    const end = { number: ended, task, run, kind: 'done' as const, checkpoint: '' };
    applyStartOutcome(state, endpointId, { task, run, outcome: 'started', clockMs: nowMs, nowMs });
    const list = ends.get(endpointId) ?? [];
    ends.set(endpointId, list);
    list.push({ atMs: nowMs + Math.ceil(runMs / TIME_STEP_MS) * TIME_STEP_MS, end });
    workedCoreMs.set(pool, (workedCoreMs.get(pool) ?? 0) + (runMs * taskCpu) / 1000);
    const job = played.get(brand<JobId>(task.slice(0, 16)));
    if (job) change(job, { hasRun: true });
  };

  const report = (endpointId: EndpointId, nowMs: number): void => {
    const list = ends.get(endpointId) ?? [];
    const clockMs = nowMs - reportDelayMs;
    const over = list.filter(({ atMs }) => atMs <= clockMs);
    if (over.length > 0)
      ends.set(
        endpointId,
        list.filter(({ atMs }) => atMs > clockMs),
      );
    const rest = { running: [], hasMoreEnds: false, clockMs, requestedAtMs: 0, nowMs };
    applyReport(state, endpointId, { ...rest, ended: over.map(({ end }) => end) });
  };

  const recordDoneJobs = (nowMs: number): void =>
    state.jobs.forEach((job, jobId) => {
      if (job.phase !== 'completed') return;
      (played.get(jobId) as SimulatedJob).doneAtMs = nowMs;
      state.jobs.delete(jobId);
    });

  const runTimeStep = (nowMs: number, step: number): void => {
    fleet.finishMoves(nowMs);
    Array.from(state.endpoints.keys()).forEach((endpointId) => report(endpointId, nowMs));
    recordDoneJobs(nowMs);
    admission.checkTrackedRefusals(nowMs);
    if (step % TIME_STEPS_PER_MOVE_PASS === 0) fleet.planAndStartMoves(nowMs);
    pools.forEach(({ name }) => schedulePool(state, name, nowMs));
    removeEffects(state).forEach((effect) => {
      const endpoint = effect.kind === 'start' && state.endpoints.get(effect.endpointId);
      if (endpoint) startRun(endpoint, effect.task, effect.run, nowMs);
    });
  };

  const longestMs = Math.max(...pools.map(objectiveOf)) * LATE_OBJECTIVES;
  for (let nowMs = 0, step = 0; nowMs < submitForMs + longestMs; nowMs += TIME_STEP_MS, step += 1) {
    state.clockMs = nowMs;
    clients.forEach((client) => {
      const isArrival = random() < (client.jobsPerS(nowMs) * TIME_STEP_MS) / 1000;
      if (isArrival && nowMs < submitForMs) submit(client, nowMs);
    });
    retries
      .splice(0)
      .forEach((one) => (one.atMs <= nowMs ? submitAttempt(one.job, nowMs) : retries.push(one)));
    runTimeStep(nowMs, step);
  }
  return { jobs: Array.from(played.values()), state, workedCoreMs, admission };
};

/**
 * Returns the share of jobs that were done within their latency objective.
 *
 * @param jobs - The jobs.
 * @param factor - The factor by which the objective is multiplied.
 * @returns A number from 0 to 1; 1 if there are no jobs.
 */
export const shareWithinObjective = (jobs: readonly SimulatedJob[], factor = 1): number =>
  jobs.length === 0
    ? 1
    : jobs.filter(({ atMs, doneAtMs, objectiveMs }) => doneAtMs - atMs <= factor * objectiveMs)
        .length / jobs.length;
