/**
 * One term of a holder of control: from taking the lease until it is lost or given up. Nothing of
 * it outlives it; the next holder starts from the rows and from what endpoints report.
 */
import {
  startDueOccurrences,
  cancelJob,
  countWaitingJobs,
  createAdmissionControl,
  createBatchState,
  createSharedDelayEstimator,
  createOrderWindow,
  createScheduleCycle,
  addPendingReports,
  instanceIdOf,
  isWithinObjective,
  recordFirstAttempts,
  paceGapFillers,
  remainingSoleHolderMs,
  setAccounts,
  takeEffects,
  handleStalledAndLapsedRuns,
  type AdmissionControl,
  type BatchEffect,
  type BatchJob,
  type BatchPhase,
  type BatchState,
  type Caller,
  type JobState,
  type JobStatus,
  type LapsedEndpoint,
  type PlacementPolicy,
  type QueueIndex,
} from '@valvelatch/core/batch';
import type { RowCheck } from '@valvelatch/core/rows/transaction';
import type { EntryId, JobId } from '@valvelatch/core/shared/ids';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { startLoops, type RunningLoops } from '../../shared/loops.js';
import { OPEN_GATE, type StartGate } from '../configuration/start-gate.js';
import { createAdvisor } from '../endpoints/advisor.js';
import { createEndedJobs } from '../jobs/ended-jobs.js';
import { createEndpointRoster } from '../endpoints/endpoint-roster.js';
import { createFleetCycle, type FleetCycle } from '../hosts/fleet-cycle.js';
import { createEvacuationWatch, type EvacuationWatch } from './evacuation-watch.js';
import { createDomainGauges } from './domain-gauges.js';
import { takeGuard } from './guard.js';
import { createJobAdmission, noteAdmission } from '../jobs/job-admission.js';
import { createRowLookup } from '../jobs/row-lookup.js';
import { createJobRows, type Until } from '../jobs/job-rows.js';
import {
  createJobSaver,
  type AcceptOutcome,
  type JobSaver,
  type LiveRow,
} from '../jobs/job-saver.js';
import { batchKey } from '../keys.js';
import { createLearnedKeeper } from './learned-keeper.js';
import { noteLoad, type LoadNoteOptions } from './load-note.js';
import type { BatchPlatform } from '../ports.js';
import type { RefusedJob } from '../jobs/refused-jobs.js';

const TICK_MS = 100;
/** New jobs are announced over the mesh; the feed finds what was lost there. */
const JOB_FEED_MS = 500;
/** Each endpoint writes its entry every 1.5 s, so a waiting feed would wake all the time. */
const ENDPOINT_FEED_MS = 400;
/** A lease on an endpoint ends so much later by an endpoint's slow clock and a late answer. */
const LEASE_SLACK = 1.05;
const LEASE_MARGIN_MS = 500;
const FEED_RETRY_MS = 300;
/** A sweep takes 40 jobs: 57 a second, above the 50 that a fleet of 250 endpoints admits. */
const SWEEP_MS = 700;
/** A change of the holder costs the learning of so long; each writing is one call of the table. */
const LEARNED_MS = 2000;
const NOTE_LOAD_MS = 1000;

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
  /** For how long after the start of the term holders before may still order endpoints. */
  readonly holdersBeforeMs: number;
  /** For how long an endpoint keeps what runs there without contact with the holder. */
  readonly endpointLeaseMs: number;
  /** Where tasks of short steps go; `fullest` if left out. */
  readonly placementPolicy?: PlacementPolicy;
  /** The table has answered nothing for so long that it is away. */
  readonly isTableAway: () => boolean;
  /** Until then no other entry can have become the holder: what was not heard has not happened elsewhere. */
  readonly soleHolderUntilMs: () => number;
  readonly configuration: () => QueueIndex | undefined;
  /** Whether orders to start may leave this entry. */
  readonly startGate?: StartGate;
  readonly onLost: (reason: string) => void;
  readonly nowMs?: () => number;
  readonly todayMs?: () => number;
};

/** What others may ask a holder. */
export type Term = {
  readonly self: EntryId;
  readonly state: BatchState;
  readonly fleet: FleetCycle;
  readonly evacuations: Omit<EvacuationWatch, 'look' | 'close'>;
  readonly admission: AdmissionControl;
  readonly start: () => Promise<void>;
  readonly stop: () => Promise<void>;
  /** Where a job stands; undefined if the holder cannot tell. */
  readonly statusOf: (jobId: JobId) => JobStatus | undefined;
  readonly waiting: () => ReadonlyMap<string, number> | undefined;
  /** Writes and admits a job; undefined if this entry cannot. */
  readonly accept: (row: LiveRow) => Promise<AcceptOutcome | undefined>;
  /** Admits a job whose row another entry wrote. */
  readonly takeIn: (row: LiveRow, version: number) => void;
  /** Notes jobs whose clients were refused and come back. */
  readonly noteRefused: (jobs: readonly RefusedJob[]) => void;
  readonly cancel: (jobId: JobId, caller: Caller) => BatchPhase | undefined;
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
  holdersBeforeMs,
  endpointLeaseMs,
  placementPolicy = 'fullest',
  isTableAway,
  soleHolderUntilMs,
  configuration,
  startGate = OPEN_GATE,
  onLost,
  nowMs = () => performance.now(),
  todayMs = () => Date.now(),
}: TermOptions): Term => {
  const state = createBatchState(fence);
  const bornAtMs = nowMs();
  state.placementPolicy = placementPolicy;
  const schedulePools = createScheduleCycle(state);
  const inheritedLeasesMs = endpointLeaseMs * LEASE_SLACK + LEASE_MARGIN_MS + holdersBeforeMs;
  const window = createOrderWindow();
  const linkDelay = createSharedDelayEstimator();
  let guard: RowCheck = { key: batchKey.guard, version: -1 };
  let isStopped = false;
  let isReady = false;
  let isPoked = false;
  let loops: RunningLoops | undefined;

  const isSoleHolder = (): boolean => nowMs() < soleHolderUntilMs();

  /** A new holder starts nothing before it has asked what is evacuated: the holder before may have known more. */
  const mayStart = (): boolean => startGate.isConfirmedSince(bornAtMs) && startGate.isOpen();

  const confirmEvacuations = async (): Promise<void> => {
    if (mayStart()) return;
    await startGate.confirm();
    poke();
  };

  /** A term whose lease has lapsed cannot know what another holder does. */
  const isAnswering = (): boolean => !isStopped && isReady && holds();

  const lose = (reason: string): void => {
    if (isStopped) return;
    isStopped = true;
    onLost(reason);
  };

  const poke = (): void => {
    if (isPoked || isStopped) return;
    isPoked = true;
    setImmediate(() => {
      isPoked = false;
      cycle();
    });
  };

  const roster = createEndpointRoster({
    state,
    feed: platform.endpoints(),
    linkContext: {
      state,
      orders: platform.orders,
      linkDelay,
      window,
      endpointLeaseMs,
      log,
      metrics,
      nowMs,
      mayOrder: () => !isStopped && holds(),
      mayStartIn: (dataCentre) => mayStart() && startGate.mayStartIn(dataCentre),
      poke,
      wantSave: () => saver.poke(),
      onFenceLost: () => lose('an endpoint has seen a higher fence'),
    },
    inheritedLeasesMs,
    isStopped: () => isStopped,
  });

  const ended = createEndedJobs({
    table: platform.table,
    guard: () => guard,
    log,
    answerableMs: () => platform.bounds().answerableMs,
    todayMs,
  });

  const saver: JobSaver = createJobSaver({
    table: platform.table,
    state,
    fence: () => guard,
    log,
    metrics,
    todayMs,
    isTableAway,
    beginRound: roster.mark,
    onSaved: ({ job, phase, reason }: JobState) => {
      ended.add(job.jobId, { phase, reason, ...accountOf(job) }, todayMs());
      state.jobs.delete(job.jobId);
      saver.versions.delete(job.jobId);
    },
    onAccepted: (row, version) => jobRows.takeIn(row, version),
    onFenceLost: () => lose('another holder changed the fence row'),
  });

  const jobRows = createJobRows({
    state,
    table: platform.table,
    versions: saver.versions,
    ended,
    configuration,
    isSoleHolder,
    isStopped: () => isStopped,
    poke,
    log,
    nowMs,
    todayMs,
  });

  const admission = createAdmissionControl({ state });
  const admitJob = createJobAdmission({
    admission,
    write: saver.accept,
    hasRow: createRowLookup(platform.table),
    isAnswering,
    log,
    metrics,
    nowMs,
  });

  const learned = createLearnedKeeper({ table: platform.table, state, log, nowMs, todayMs });

  const advisor = createAdvisor({ state, port: platform.advice, log, metrics, nowMs, poke });

  const evacuations = createEvacuationWatch({
    state,
    gate: startGate,
    log,
    metrics,
    nowMs,
    todayMs,
  });

  const effectHandlers: {
    readonly [Kind in BatchEffect['kind']]: (effect: Extract<BatchEffect, { kind: Kind }>) => void;
  } = {
    start: roster.perform,
    stop: roster.perform,
    pace: roster.perform,
    ask: roster.perform,
    advise: advisor.ask,
    save: ({ jobId, isUrgent }) => {
      const job = state.jobs.get(jobId);
      if (job && isUrgent) {
        log.info('job-ended', { job: jobId, phase: job.phase, reason: job.reason });
        if (job.phase === 'completed')
          admission.recordCompletion(job.job, isWithinObjective(state, job, nowMs()));
      }
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

  const cycle = (): void => {
    state.evacuatedDataCentres = startGate.evacuated();
    if (isStopped || !isReady || !holds()) {
      perform();
      return;
    }
    state.clockMs = nowMs();
    state.wallClockOffsetMs = todayMs() - nowMs();
    state.soleHolderUntilMs = soleHolderUntilMs();
    setAccounts(state, configuration()?.accounts.byName ?? state.accounts);
    schedulePools(mayStart() ? window.available() : 0, nowMs());
    perform();
  };

  const domainGauges = createDomainGauges(state, metrics);

  const loadNote: LoadNoteOptions = {
    state,
    window,
    linkDelay,
    soleForMs: () => soleHolderUntilMs() - nowMs(),
    nowMs,
    log,
  };

  const note = (): void => {
    noteLoad(loadNote);
    noteAdmission(admission, metrics);
  };

  const noteLapsed = ({ endpointId, endedAtMs }: LapsedEndpoint): void =>
    log.warn('endpoint-lease-ended', {
      endpoint: endpointId,
      ageMs: Math.round(nowMs() - endedAtMs),
      soleForMs: remainingSoleHolderMs(state, nowMs()),
    });

  const tick = async (): Promise<void> => {
    if (isStopped || !isReady) return;
    state.soleHolderUntilMs = soleHolderUntilMs();
    saver.lookAtTable();
    evacuations.look();
    state.recurringJobs.forEach((job) => startDueOccurrences(state, job, nowMs(), todayMs()));
    handleStalledAndLapsedRuns(state, nowMs()).forEach(noteLapsed);
    paceGapFillers(state, nowMs());
    admission.checkTrackedRefusals(nowMs());
    cycle();
  };

  const until: Until = async (attempt) => {
    while (!isStopped) {
      const value = await attempt();
      if (value !== undefined) return value;
      await new Promise((resolve) => {
        setTimeout(resolve, FEED_RETRY_MS);
      });
    }
    return undefined;
  };

  const ownGuard = async (): Promise<true | undefined> => {
    const outcome = await takeGuard(platform.table, fence);
    if (outcome.kind === 'superseded') lose('a later holder has written the guard row');
    if (outcome.kind !== 'taken') return undefined;
    guard = outcome.check;
    return true;
  };

  const recover = async (): Promise<void> => {
    const startedAtMs = nowMs();
    state.takenOverAtMs = startedAtMs;
    state.longestLeaseMs = platform.bounds().longestLeaseMs;
    state.inheritedLeasesEndAtMs = startedAtMs + inheritedLeasesMs;
    state.formerOrdersEndAtMs = startedAtMs + holdersBeforeMs;
    state.isHostListAwaited = true;
    // What is inherited waits for the hosts; nothing else does.
    void fleet.refreshHosts();
    // What an earlier holder wrote between the first reading and the guard is in the second.
    const [, early, endpoints] = await Promise.all([
      until(ownGuard),
      jobRows.read(until),
      until(roster.read),
      learned.restore(),
    ]);
    const late = await jobRows.read(until);
    if (isStopped || !early || !late || !endpoints) return;
    state.clockMs = nowMs();
    jobRows.restore([early, late]);
    addPendingReports(
      state,
      endpoints.seen.map(({ endpointId, pool }) => ({
        instanceId: instanceIdOf(endpointId),
        pool,
      })),
    );
    roster.take(endpoints);
    isReady = true;
    log.info('term-recovered', {
      fence,
      jobs: state.jobs.size,
      ended: ended.count(),
      endpoints: endpoints.seen.length,
      tookMs: Math.round(nowMs() - startedAtMs),
    });
    perform();
  };

  const fleet = createFleetCycle({
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
    dropEndpoint: roster.drop,
  });

  const start = async (): Promise<void> => {
    log.info('term-started', { fence });
    // Beside the recovery, which takes several calls.
    void confirmEvacuations();
    await recover();
    if (isStopped) return;
    loops = startLoops(
      [
        { name: 'tick', everyMs: TICK_MS, run: tick },
        { name: 'evacuations', everyMs: TICK_MS, run: confirmEvacuations },
        { name: 'endpoints', everyMs: ENDPOINT_FEED_MS, run: roster.follow },
        { name: 'jobs', everyMs: JOB_FEED_MS, run: jobRows.follow },
        { name: 'fleet', everyMs: fleet.everyMs, run: fleet.run },
        { name: 'waves', everyMs: fleet.everyMs, run: fleet.follow },
        { name: 'sweep', everyMs: SWEEP_MS, run: ended.sweep },
        { name: 'load', everyMs: NOTE_LOAD_MS, run: async () => note() },
        { name: 'domains', everyMs: NOTE_LOAD_MS, run: async () => domainGauges.note() },
        { name: 'learned', everyMs: LEARNED_MS, run: learned.save },
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
    roster.close();
    evacuations.close();
    domainGauges.clear();
    log.info('term-stopped', { fence });
    void loops?.stop();
  };

  return {
    self,
    state,
    fleet,
    evacuations,
    admission,
    start,
    stop,
    statusOf: (jobId) =>
      !isAnswering() ? undefined : (ended.statusOf(jobId) ?? savedStatus(state.jobs.get(jobId))),
    waiting: () => (isAnswering() ? countWaitingJobs(state) : undefined),
    accept: async (row) => {
      if (!isAnswering()) return undefined;
      const { jobId } = row.job;
      if (state.jobs.has(jobId) || ended.has(jobId)) return { kind: 'conflict' };
      return admitJob(row);
    },
    takeIn: (row, version) => {
      if (isReady && !isStopped && isSoleHolder()) jobRows.takeIn(row, version);
    },
    noteRefused: (jobs) =>
      recordFirstAttempts(
        state,
        jobs.map(([jobId, agoMs]) => ({ jobId, atMs: nowMs() - agoMs })),
      ),
    cancel: (jobId, caller) => {
      if (!isAnswering()) return undefined;
      const phase = ended.statusOf(jobId)?.phase ?? cancelJob(state, jobId, caller);
      perform();
      return phase;
    },
  };
};

const accountOf = ({ owner }: BatchJob): Pick<JobStatus, 'account'> =>
  owner ? { account: owner.account } : {};

/** An end is reported only once it is written, so that any entry can find it again. */
const savedStatus = (job: JobState | undefined): JobStatus | undefined => {
  if (!job) return undefined;
  const isWritten = job.phase !== 'completed' && job.phase !== 'failed';
  return { phase: isWritten ? job.phase : 'running', reason: '', ...accountOf(job.job) };
};
