/** Several pools under load from client accounts, step by step, with hosts that move between the pools. */
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
import { takeAccounts } from '../accounts/quota.js';
import { seeEndpoint } from '../endpoints/endpoints.js';
import { removeEndpoint } from '../endpoints/gone-endpoints.js';
import { applyReport, type EndReport } from '../endpoints/reports.js';
import { createAdmissionControl, type AdmissionControl } from '../jobs/admission-control.js';
import { noteFirstAttempts } from '../jobs/first-attempts.js';
import { takeInJob } from '../jobs/jobs.js';
import { NO_LIMIT } from '../model/capacity.js';
import { instanceOf } from '../model/endpoint-life.js';
import type { BatchJob, QueuePolicy, TaskKey } from '../model/job.js';
import { PLAIN_STEP } from '../model/plain-step.js';
import {
  createBatchState,
  takeEffects,
  type BatchState,
  type EndpointState,
} from '../model/state.js';
import { schedulePool } from '../placement/schedule.js';
import type { HostView, PoolView } from '../pools/hosts.js';
import { noteOutlooks, planMoves, planReclaims } from '../pools/pool-moves.js';
import { observePeaks } from '../pools/pool-needs.js';

const STEP_MS = 20;
const MOVE_EVERY_STEPS = 12;
const MOVE_MS = 1500;
const HOST_CPU = 64_000;
const SPARE = brand<PoolName>('spare');
const TASKS = 8;
const POLICY: QueuePolicy = { priority: 0, maxAttempts: 3, stretch: 1.5, targetLatencyMs: 600 };
/** A late success is worth something until so many objectives have passed. */
const LATE_FACTOR = 3;

/** The jobs of a pool: two steps of eight tasks, one after the other. */
export type PlayedPool = {
  readonly name: PoolName;
  readonly hosts: number;
  readonly taskCpu: number;
  readonly runMs: number;
};

/** What an account hands in. */
export type PlayedClient = {
  readonly name: AccountName;
  readonly pool: PoolName;
  /** 0 for an account that is not declared. */
  readonly weight: number;
  readonly jobsPerS: (nowMs: number) => number;
};

export type FleetPlay = {
  readonly pools: readonly PlayedPool[];
  readonly spareHosts: number;
  readonly clients: readonly PlayedClient[];
  readonly forMs: number;
  /** Jobs that could not be served are refused. */
  readonly isAdmissionOn?: boolean;
  /** A refused client comes back so often. */
  readonly mostTries?: number;
};

/** What became of one job. */
export type PlayedJob = {
  readonly jobId: JobId;
  readonly client: PlayedClient;
  /** When it was handed in for the first time. */
  readonly atMs: number;
  readonly objectiveMs: number;
  refusals: number;
  isAccepted: boolean;
  acceptedAtMs: number;
  hasRun: boolean;
  /** Infinity for one that is not done. */
  doneAtMs: number;
};

export type PlayedFleet = {
  readonly jobs: readonly PlayedJob[];
  readonly state: BatchState;
  /** Core-milliseconds of all runs, by pool. */
  readonly workedCoreMs: ReadonlyMap<PoolName, number>;
  readonly admission: AdmissionControl;
};

/** A source of chance that repeats. */
const createChance = (): (() => number) => {
  let state = 7;
  return () => {
    state = (state * 48271) % 2147483647;
    return state / 2147483647;
  };
};

const objectiveOf = ({ runMs }: PlayedPool): number =>
  POLICY.stretch * 2 * runMs + POLICY.targetLatencyMs;

/** The hosts of a play, their moves and what runs on them. */
const createHosts = (state: BatchState, { pools, spareHosts }: FleetPlay) => {
  const hosts = new Map<HostId, HostView>();
  const backAtMs = new Map<HostId, number>();
  const views: readonly PoolView[] = [
    ...pools.map(({ name }) => ({ name, isSpare: false })),
    { name: SPARE, isSpare: true },
  ];
  let lives = 0;

  const raise = (host: HostView, nowMs: number): void => {
    if (host.pool === SPARE) {
      hosts.set(host.hostId, { ...host, state: 'up', instanceId: null });
      return;
    }
    lives += 1;
    const endpointId = brand<EndpointId>(`i-${lives}`);
    const { hostId, pool, capacity, dataCentre, labels } = host;
    seeEndpoint(
      state,
      { endpointId, pool, hostId, address: '', dataCentre, labels, capacity, isDraining: false },
      nowMs,
    );
    hosts.set(hostId, { ...host, state: 'up', instanceId: instanceOf(endpointId) });
  };

  const add = (pool: PoolName, count: number): void => {
    Array.from({ length: count }).forEach((_, index) => {
      const hostId = brand<HostId>(`h-${pool}-${index}`);
      const capacity = { cpuMillis: HOST_CPU, memoryMb: 256_000, accelerators: 0 };
      const dataCentre = brand<DataCentreId>('dc');
      raise({ hostId, pool, state: 'up', dataCentre, labels: [], capacity, instanceId: null }, 0);
    });
  };
  pools.forEach(({ name, hosts: count }) => add(name, count));
  add(SPARE, spareHosts);

  const finishMoves = (nowMs: number): void =>
    Array.from(backAtMs).forEach(([hostId, atMs]) => {
      if (atMs > nowMs) return;
      backAtMs.delete(hostId);
      raise(hosts.get(hostId) as HostView, nowMs);
    });

  const move = (hostId: HostId, pool: PoolName, nowMs: number): void => {
    const host = hosts.get(hostId) as HostView;
    const endpoint = host.instanceId && state.lives.get(host.instanceId);
    const gone = { detail: 'host-ordered', atMs: nowMs, nowMs } as const;
    if (endpoint) removeEndpoint(state, endpoint.endpointId, gone);
    hosts.set(hostId, { ...host, pool, state: 'moving', instanceId: null });
    backAtMs.set(hostId, nowMs + MOVE_MS);
  };

  return {
    finishMoves,
    moveSome: (nowMs: number): void => {
      const world = { state, hosts, pools: views, busyHosts: new Set<HostId>(), nowMs };
      observePeaks(world);
      change(state, { reclaimed: planReclaims(world) });
      noteOutlooks(world);
      planMoves(world).forEach(({ hostId, toPool }) => move(hostId, toPool, nowMs));
    },
  };
};

/**
 * Plays a load.
 *
 * @param play - The pools, the hosts and what clients hand in.
 * @returns What became of each job.
 */
export const playFleet = (play: FleetPlay): PlayedFleet => {
  const { pools, clients, forMs, isAdmissionOn = true, mostTries = 3 } = play;
  const state = createBatchState(2);
  change(state, { takenOverAtMs: -Infinity });
  const random = createChance();
  const admission = createAdmissionControl({ state, random: createChance() });
  const declared = clients.filter(({ weight }) => weight > 0);
  takeAccounts(
    state,
    new Map(declared.map(({ name, weight }) => [name, { weight, maximum: NO_LIMIT }] as const)),
  );
  const fleet = createHosts(state, play);
  const poolBy = new Map(pools.map((pool) => [pool.name, pool]));
  const played = new Map<JobId, PlayedJob>();
  const returning: { readonly job: PlayedJob; readonly atMs: number }[] = [];
  const workedCoreMs = new Map<PoolName, number>();
  const ends = new Map<EndpointId, { readonly atMs: number; readonly end: EndReport }[]>();
  let ended = 0;

  const handIn = (job: PlayedJob, nowMs: number): void => {
    const { client, jobId } = job;
    const { taskCpu, runMs } = poolBy.get(client.pool) as PlayedPool;
    const step = { ...PLAIN_STEP, taskCount: TASKS, cpuMillis: taskCpu, estimateMs: runMs };
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
    const refusal = isAdmissionOn ? admission.judge(asked, nowMs) : undefined;
    if (!refusal) {
      admission.admit(asked, nowMs);
      admission.settle(jobId);
      change(job, { isAccepted: true, acceptedAtMs: nowMs });
      takeInJob(state, { job: submitted, policy: POLICY, nowMs, todayMs: nowMs });
      return;
    }
    admission.noteRefused(refusal, client.pool);
    noteFirstAttempts(state, [{ jobId, atMs: nowMs }]);
    change(job, { refusals: job.refusals + 1 });
    if (job.refusals < mostTries) returning.push({ job, atMs: nowMs + refusal.retryAfterMs });
  };

  const submit = (client: PlayedClient, nowMs: number): void => {
    const jobId = brand<JobId>((played.size + 1).toString(16).padStart(16, '0'));
    const objectiveMs = objectiveOf(poolBy.get(client.pool) as PlayedPool);
    const ofNew = {
      refusals: 0,
      isAccepted: false,
      acceptedAtMs: Infinity,
      hasRun: false,
      doneAtMs: Infinity,
    };
    const job: PlayedJob = { jobId, client, atMs: nowMs, objectiveMs, ...ofNew };
    played.set(jobId, job);
    handIn(job, nowMs);
  };

  const begin = (endpoint: EndpointState, task: TaskKey, run: number, nowMs: number): void => {
    const { runMs, taskCpu } = poolBy.get(endpoint.pool) as PlayedPool;
    const { endpointId, pool } = endpoint;
    ended += 1;
    const end = { number: ended, task, run, kind: 'done' as const, checkpoint: '' };
    const list = ends.get(endpointId) ?? [];
    ends.set(endpointId, list);
    list.push({ atMs: nowMs + Math.ceil(runMs / STEP_MS) * STEP_MS, end });
    workedCoreMs.set(pool, (workedCoreMs.get(pool) ?? 0) + (runMs * taskCpu) / 1000);
    const job = played.get(brand<JobId>(task.slice(0, 16)));
    if (job) change(job, { hasRun: true });
  };

  const report = (endpointId: EndpointId, nowMs: number): void => {
    const list = ends.get(endpointId) ?? [];
    const over = list.filter(({ atMs }) => atMs <= nowMs);
    if (over.length > 0)
      ends.set(
        endpointId,
        list.filter(({ atMs }) => atMs > nowMs),
      );
    const rest = { running: [], hasMoreEnds: false, askedAtMs: 0, nowMs };
    applyReport(state, endpointId, { ...rest, ended: over.map(({ end }) => end) });
  };

  const noteDone = (nowMs: number): void =>
    state.jobs.forEach((job, jobId) => {
      if (job.phase !== 'completed') return;
      (played.get(jobId) as PlayedJob).doneAtMs = nowMs;
      state.jobs.delete(jobId);
    });

  const cycle = (nowMs: number, step: number): void => {
    fleet.finishMoves(nowMs);
    Array.from(state.endpoints.keys()).forEach((endpointId) => report(endpointId, nowMs));
    noteDone(nowMs);
    admission.followUp(nowMs);
    if (step % MOVE_EVERY_STEPS === 0) fleet.moveSome(nowMs);
    pools.forEach(({ name }) => schedulePool(state, name, nowMs));
    takeEffects(state).forEach((effect) => {
      const endpoint = effect.kind === 'start' && state.endpoints.get(effect.endpointId);
      if (endpoint) begin(endpoint, effect.task, effect.run, nowMs);
    });
  };

  const longestMs = Math.max(...pools.map(objectiveOf)) * LATE_FACTOR;
  for (let nowMs = 0, step = 0; nowMs < forMs + longestMs; nowMs += STEP_MS, step += 1) {
    state.clockMs = nowMs;
    clients.forEach((client) => {
      const isDrawn = random() < (client.jobsPerS(nowMs) * STEP_MS) / 1000;
      if (isDrawn && nowMs < forMs) submit(client, nowMs);
    });
    returning
      .splice(0)
      .forEach((one) => (one.atMs <= nowMs ? handIn(one.job, nowMs) : returning.push(one)));
    cycle(nowMs, step);
  }
  return { jobs: Array.from(played.values()), state, workedCoreMs, admission };
};

/**
 * Gives the share of jobs that were done within their objective.
 *
 * @param jobs - The jobs.
 * @param factor - Within so many objectives.
 * @returns 0 to 1; 1 without any job.
 */
export const shareInTime = (jobs: readonly PlayedJob[], factor = 1): number =>
  jobs.length === 0
    ? 1
    : jobs.filter(({ atMs, doneAtMs, objectiveMs }) => doneAtMs - atMs <= factor * objectiveMs)
        .length / jobs.length;
