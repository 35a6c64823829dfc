/**
 * One term of a holder of control: from taking the lease until it is lost or given up. Nothing of
 * it outlives it; the next holder starts from the rows and from what endpoints report.
 */
import {
  beginDue,
  cancelJob,
  countWaiting,
  createBatchState,
  expectReports,
  paceFillers,
  removeEndpoint,
  restoreJob,
  schedulePool,
  seeEndpoint,
  takeEffects,
  takeInJob,
  watchRuns,
  type BatchEffect,
  type BatchJobRow,
  type BatchPhase,
  type BatchState,
  type JobState,
  type ProgressRow,
  type QueueIndex,
  type QueuePolicy,
  type BatchJob,
} from '@valvelatch/core/batch';
import type { RowCheck, TableRow } from '@valvelatch/core/rows/transaction';
import type { EndpointId, EntryId, JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { startLoops, type RunningLoops } from '../shared/loops.js';
import { createAdvisor } from './advisor.js';
import { createEndpointLink, KEEP_MS, type EndpointLink } from './endpoint-link.js';
import { createFleetTurn, type FleetTurn } from './fleet-turn.js';
import { createJobSaver, type AcceptOutcome, type JobSaver, type LiveRow } from './job-saver.js';
import { batchKey, parseJobKey } from './keys.js';
import type { BatchPlatform, EndpointNews, TableFeed } from './ports.js';

const TICK_MS = 100;
/** New jobs are told over the mesh; the feed finds what was lost there. */
const JOB_FEED_MS = 500;
/** Each endpoint writes its entry every 1.5 s, so a waiting feed would wake all the time. */
const ENDPOINT_FEED_MS = 400;
/** An earlier holder's leases on endpoints: their length, slow clocks and late answers included. */
const INHERITED_LEASES_MS = KEEP_MS * 1.05 + 500;
const FEED_RETRY_MS = 300;

export type TermOptions = {
  readonly self: EntryId;
  readonly fence: number;
  /** The row that a taker of the lease changes; writes of waves depend on it. */
  readonly fenceCheck: RowCheck;
  readonly platform: BatchPlatform;
  readonly log: Log;
  readonly metrics: Metrics;
  /** True while the lease is surely held. */
  readonly holds: () => boolean;
  /** True while orders to hosts may be sent too. */
  readonly mayOrderHosts: () => boolean;
  /** How long after its start the term may order hosts for the first time. */
  readonly hostOrdersAfterMs: number;
  /** For how long after the start of the term the holder before may still order endpoints. */
  readonly holderBeforeMs: number;
  /** True while no other entry can have become the holder, so that all jobs in the rows are ours. */
  readonly isFresh: () => boolean;
  readonly configuration: () => QueueIndex | undefined;
  readonly onLost: (reason: string) => void;
  readonly nowMs?: () => number;
  readonly todayMs?: () => number;
};

/** What others may ask a holder. */
export type Term = {
  readonly self: EntryId;
  readonly state: BatchState;
  readonly fleet: FleetTurn;
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
  /** The phase of a job; undefined if the holder cannot tell. */
  readonly phaseOf: (jobId: JobId) => BatchPhase | undefined;
  readonly waiting: () => ReadonlyMap<string, number> | undefined;
  /** Writes and takes in a job; undefined if this entry cannot. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome | undefined>;
  /** Takes in a job whose row another entry wrote. */
  readonly takeIn: (row: LiveRow, version: number) => void;
  readonly cancel: (jobId: JobId) => BatchPhase | undefined;
};

/**
 * Builds a term.
 *
 * @param options - Who holds control, under which fence, and on which platform.
 * @returns The term, not yet started.
 */
export const createTerm = ({
  self,
  fence,
  fenceCheck,
  platform,
  log,
  metrics,
  holds,
  mayOrderHosts,
  hostOrdersAfterMs,
  holderBeforeMs,
  isFresh,
  configuration,
  onLost,
  nowMs = () => performance.now(),
  todayMs = () => Date.now(),
}: TermOptions): Term => {
  const state = createBatchState(fence);
  const links = new Map<EndpointId, EndpointLink>();
  const ended = new Map<JobId, BatchPhase>();
  /** Ids are never used again; late news of these is passed over. */
  const goneForGood = new Set<EndpointId>();
  const jobFeed = platform.table.feed('job');
  const endpointFeed = platform.endpoints();
  let guard: RowCheck = { key: batchKey.guard, version: -1 };
  const inheritedLeasesMs = INHERITED_LEASES_MS + holderBeforeMs;
  let isStopped = false;
  let isReady = false;
  let isPoked = false;
  let loops: RunningLoops | undefined;

  const lose = (reason: string): void => {
    if (isStopped) return;
    isStopped = true;
    onLost(reason);
  };

  const policyOf = (queue: string, fallback: QueuePolicy): QueuePolicy =>
    configuration()?.byName.get(queue as BatchJob['queue'])?.policy ?? fallback;

  const saver: JobSaver = createJobSaver({
    table: platform.table,
    state,
    fence: () => guard,
    log,
    metrics,
    todayMs,
    beginRound: () => {
      const marks = Array.from(links.values(), (link) => [link, link.takenNumber()] as const);
      return () => marks.forEach(([link, number]) => link.acknowledge(number));
    },
    onSaved: ({ job, phase }: JobState) => {
      ended.set(job.jobId, phase);
      state.jobs.delete(job.jobId);
      saver.versions.delete(job.jobId);
    },
    onAccepted: (row, version) => takeIn(row, version),
    onFenceLost: () => lose('another holder changed the fence row'),
  });

  const poke = (): void => {
    if (isPoked || isStopped) return;
    isPoked = true;
    setImmediate(() => {
      isPoked = false;
      turn();
    });
  };

  const linkContext = {
    state,
    orders: platform.orders,
    log,
    metrics,
    nowMs,
    mayOrder: () => !isStopped && holds(),
    poke,
    wantSave: () => saver.poke(),
    onFenceLost: () => lose('an endpoint has seen a higher fence'),
    onReplaced: (endpointId: EndpointId) =>
      dropEndpoint(endpointId, 'another endpoint has its address'),
  };

  const dropEndpoint = (endpointId: EndpointId, reason: string): void => {
    const endpoint = state.endpoints.get(endpointId);
    if (!endpoint) return;
    log.info('endpoint-gone', {
      endpoint: endpointId,
      pool: endpoint.pool,
      runs: endpoint.runs.size,
      reason,
    });
    links.get(endpointId)?.close();
    links.delete(endpointId);
    goneForGood.add(endpointId);
    removeEndpoint(state, endpointId, nowMs());
    poke();
  };

  const advisor = createAdvisor({ state, port: platform.advice, log, metrics, nowMs, poke });

  const effectHandlers: {
    readonly [Kind in BatchEffect['kind']]: (effect: Extract<BatchEffect, { kind: Kind }>) => void;
  } = {
    start: (effect) => links.get(effect.endpointId)?.perform(effect),
    stop: (effect) => links.get(effect.endpointId)?.perform(effect),
    pace: (effect) => links.get(effect.endpointId)?.perform(effect),
    advise: (effect) => advisor.ask(effect),
    save: ({ jobId, isUrgent }) => {
      const job = state.jobs.get(jobId);
      if (job && isUrgent)
        log.info('job-ended', { job: jobId, phase: job.phase, reason: job.reason });
      saver.mark(jobId, isUrgent);
    },
    note: ({ event, fields }) => log.info(event, fields),
  };

  const perform = (): void => {
    takeEffects(state).forEach((effect) => {
      const handle = effectHandlers[effect.kind] as (one: BatchEffect) => void;
      handle(effect);
    });
  };

  const turn = (): void => {
    if (isStopped || !isReady || !holds()) {
      perform();
      return;
    }
    state.clockMs = nowMs();
    state.pools.forEach(({ name }) => schedulePool(state, name, nowMs()));
    perform();
  };

  const tick = async (): Promise<void> => {
    if (isStopped || !isReady) return;
    state.timed.forEach((job) => beginDue(state, job, nowMs(), todayMs()));
    watchRuns(state, nowMs()).forEach((endpoint) => log.warn('lease-ended-unheard', { endpoint }));
    paceFillers(state, nowMs());
    turn();
  };

  const takeEndpoints = ({ seen, gone }: EndpointNews): void => {
    seen.forEach((sighting) => {
      if (goneForGood.has(sighting.endpointId)) return;
      const isNew = !state.endpoints.has(sighting.endpointId);
      const endpoint = seeEndpoint(state, sighting, nowMs());
      if (!isNew) return;
      endpoint.leaseEndsAtMs = nowMs() + inheritedLeasesMs;
      const link = createEndpointLink(
        { endpointId: sighting.endpointId, address: sighting.address },
        linkContext,
      );
      links.set(sighting.endpointId, link);
      log.info('endpoint-seen', {
        endpoint: sighting.endpointId,
        pool: sighting.pool,
        dataCentre: sighting.dataCentre,
      });
      link.watch();
    });
    gone.forEach((endpointId) => {
      // A silent entry may be of an endpoint that is only cut off: its lease decides.
      const endpoint = state.endpoints.get(endpointId);
      if (endpoint) endpoint.isDraining = true;
    });
    poke();
  };

  /** Endpoints that are no longer listed go once nothing can be running there. */
  const dropUnlisted = (listed: ReadonlySet<EndpointId>): void => {
    Array.from(state.endpoints.values())
      .filter(({ endpointId, pool, runs }) => {
        // One that was never heard may run what an earlier holder began: its lease decides.
        const isUnheard = state.pools.get(pool)?.unheard.has(endpointId) ?? false;
        return !listed.has(endpointId) && runs.size === 0 && !isUnheard;
      })
      .forEach(({ endpointId }) => {
        dropEndpoint(endpointId, 'no longer listed');
        // It may only have been silent: it is taken in again if it is listed again.
        goneForGood.delete(endpointId);
      });
  };

  const listedEndpoints = new Set<EndpointId>();

  const followEndpoints = async (): Promise<void> => {
    const news = await endpointFeed.next(0);
    if (news.isErr()) {
      log.warn('endpoint-list-failed', news.error);
      return;
    }
    news.value.seen.forEach(({ endpointId }) => listedEndpoints.add(endpointId));
    news.value.gone.forEach((endpointId) => listedEndpoints.delete(endpointId));
    if (isStopped) return;
    takeEndpoints(news.value);
    dropUnlisted(listedEndpoints);
  };

  const takeRow = (
    { key, value, version }: TableRow,
    progress?: ReadonlyMap<string, TableRow>,
  ): void => {
    const { jobId, isCancel } = parseJobKey(key);
    if (isCancel || value === null) return;
    const row = value as BatchJobRow;
    if (row.kind === 'ended') {
      ended.set(jobId as JobId, row.phase);
      return;
    }
    if (ended.has(jobId as JobId)) return;
    if (!progress) {
      takeIn(row, version);
      return;
    }
    const progressRow = progress.get(jobId);
    saver.versions.set(jobId as JobId, {
      job: version,
      progress: progressRow?.value ? progressRow.version : 0,
    });
    restoreJob(state, {
      job: row.job,
      policy: policyOf(row.job.queue, row.policy),
      progress: (progressRow?.value ?? undefined) as ProgressRow | undefined,
      nowMs: nowMs(),
      todayMs: todayMs(),
    });
  };

  const takeCancels = (rows: readonly TableRow[]): void => {
    rows.forEach(({ key, value }) => {
      const { jobId, isCancel } = parseJobKey(key);
      if (isCancel && value !== null) cancelJob(state, jobId as JobId);
    });
  };

  const takeIn = ({ job, policy }: LiveRow, version: number): void => {
    if (ended.has(job.jobId) || state.jobs.has(job.jobId)) return;
    saver.versions.set(job.jobId, { job: version, progress: 0 });
    takeInJob(state, {
      job,
      policy: policyOf(job.queue, policy),
      nowMs: nowMs(),
      todayMs: todayMs(),
    });
    poke();
  };

  const followJobs = async (): Promise<void> => {
    // What is read now is taken in only if the term is still the last one after the answer.
    if (!isFresh()) return;
    const rows = await jobFeed.next(0);
    if (rows.isErr()) {
      log.warn('job-feed-failed', rows.error);
      return;
    }
    if (isStopped) return;
    rows.value.forEach((row) => takeRow(row));
    takeCancels(rows.value);
    if (rows.value.length > 0) poke();
  };

  const until = async <Value>(
    attempt: () => Promise<Value | undefined>,
  ): Promise<Value | undefined> => {
    while (!isStopped) {
      const value = await attempt();
      if (value !== undefined) return value;
      await new Promise((resolve) => {
        setTimeout(resolve, FEED_RETRY_MS);
      });
    }
    return undefined;
  };

  /** From here on no earlier holder writes jobs; false if there is a later one, or no answer. */
  const takeGuard = async (): Promise<true | undefined> => {
    const rows = await platform.table.read([guard.key]);
    if (rows.isErr()) return undefined;
    const [row] = rows.value;
    const value = (row?.value ?? { fence: 0 }) as { readonly fence: number };
    if (row && value.fence === fence) {
      // An earlier try took effect without an answer.
      guard = { key: guard.key, version: row.version };
      return true;
    }
    if (value.fence > fence) {
      lose('a later holder has written the guard row');
      return undefined;
    }
    const outcome = await platform.table.transact({
      checks: [{ key: guard.key, version: row?.version ?? 0 }],
      writes: [{ key: guard.key, value: { fence } }],
    });
    if (outcome.isErr() || outcome.value.kind === 'conflict') return undefined;
    guard = { key: guard.key, version: outcome.value.version };
    return true;
  };

  const recover = async (): Promise<void> => {
    const startedAtMs = nowMs();
    const progressFeed = platform.table.feed('progress');
    const read = (feed: TableFeed) => until(async () => (await feed.next(0)).unwrapOr(undefined));
    // What an earlier holder wrote between the first reading and the guard is in the second.
    const [, earlyJobs, earlyProgress, endpoints, hosts] = await Promise.all([
      until(takeGuard),
      read(jobFeed),
      read(progressFeed),
      until(async () => (await endpointFeed.next(0)).unwrapOr(undefined)),
      fleet.refreshHosts(),
    ]);
    const [lateJobs, lateProgress] = await Promise.all([read(jobFeed), read(progressFeed)]);
    if (isStopped || !earlyJobs || !lateJobs || !earlyProgress || !lateProgress || !endpoints)
      return;
    const progress = new Map(
      [...earlyProgress, ...lateProgress].map((row) => [row.key.slice('progress/'.length), row]),
    );
    const jobRows = newestRows([...earlyJobs, ...lateJobs]);
    state.clockMs = nowMs();
    jobRows.forEach((row) => takeRow(row, progress));
    takeCancels(jobRows);
    endpoints.seen.forEach(({ endpointId }) => listedEndpoints.add(endpointId));
    const known = endpoints.seen.map(({ endpointId, pool }) => ({ endpointId, pool }));
    const onHosts = hosts.flatMap(({ endpointId, pool }) =>
      endpointId ? [{ endpointId, pool }] : [],
    );
    expectReports(state, [...known, ...onHosts], startedAtMs + inheritedLeasesMs);
    takeEndpoints(endpoints);
    isReady = true;
    log.info('term-recovered', {
      fence,
      jobs: state.jobs.size,
      ended: ended.size,
      endpoints: endpoints.seen.length,
      tookMs: Math.round(nowMs() - startedAtMs),
    });
    perform();
  };

  const fleet = createFleetTurn({
    self,
    fence,
    fenceCheck,
    platform,
    state,
    log,
    metrics,
    nowMs,
    todayMs,
    mayOrder: () => !isStopped && isReady && holds() && mayOrderHosts(),
    orderAfterMs: hostOrdersAfterMs,
    configuration,
    dropEndpoint,
  });

  const start = async (): Promise<void> => {
    log.info('term-started', { fence });
    await recover();
    if (isStopped) return;
    loops = startLoops(
      [
        { name: 'tick', everyMs: TICK_MS, run: tick },
        { name: 'endpoints', everyMs: ENDPOINT_FEED_MS, run: followEndpoints },
        { name: 'jobs', everyMs: JOB_FEED_MS, run: followJobs },
        { name: 'fleet', everyMs: fleet.everyMs, run: fleet.run },
        { name: 'waves', everyMs: fleet.everyMs, run: fleet.follow },
      ],
      (name, error) => {
        const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
        log.error('term-loop-failed', { name, detail });
      },
    );
    poke();
  };

  const stop = async (): Promise<void> => {
    isStopped = true;
    saver.stop();
    links.forEach((link) => link.close());
    log.info('term-stopped', { fence });
    void loops?.stop();
  };

  return {
    self,
    state,
    fleet,
    start,
    stop,
    phaseOf: (jobId) =>
      isStopped || !isReady ? undefined : (ended.get(jobId) ?? savedPhase(state.jobs.get(jobId))),
    waiting: () => (isStopped || !isReady ? undefined : countWaiting(state)),
    accept: async (row) => {
      if (isStopped || !isReady || !holds()) return undefined;
      const { jobId } = row.job;
      if (state.jobs.has(jobId) || ended.has(jobId)) return { kind: 'conflict' };
      return saver.accept(row);
    },
    takeIn: (row, version) => {
      if (isReady && !isStopped && isFresh()) takeIn(row, version);
    },
    cancel: (jobId) => {
      if (isStopped || !isReady) return undefined;
      const phase = ended.get(jobId) ?? cancelJob(state, jobId);
      perform();
      return phase;
    },
  };
};

/** Of several readings of a row the last one counts; a deleted one is left out. */
const newestRows = (rows: readonly TableRow[]): readonly TableRow[] =>
  Array.from(new Map(rows.map((row) => [row.key, row])).values()).filter(
    ({ value }) => value !== null,
  );

/** An end is told only once it is written: what nobody could find again is not told. */
const savedPhase = (job: JobState | undefined): BatchPhase | undefined => {
  if (!job) return undefined;
  if (job.phase === 'completed' || job.phase === 'failed') return 'running';
  return job.phase;
};
