/**
 * One term of a control holder, from taking the lease until it is lost or given up. No state in memory is kept
 * after it: the next holder starts from the stored rows and from the reports of endpoints.
 */
import {
  startDueOccurrences,
  countWaitingJobs,
  createBatchState,
  createSharedDelayEstimator,
  createOrderWindow,
  createScheduleCycle,
  recordFirstAttempts,
  paceGapFillers,
  remainingSoleHolderMs,
  setAccounts,
  handleStalledAndLapsedRuns,
  type LapsedEndpoint,
} from '@valvelatch/core/batch';

import type { RunningLoops } from '../../shared/loops.js';
import { OPEN_GATE } from '../configuration/start-gate.js';
import { createAdvisor } from '../endpoints/advisor.js';
import { createEndpointRoster } from '../endpoints/endpoint-roster.js';
import { createFleetCycle } from '../hosts/fleet-cycle.js';
import { createEvacuationWatch } from './evacuation-watch.js';
import { createDomainGauges } from './domain-gauges.js';
import { createHeldTaskLog } from './held-task-log.js';
import { publishAdmissionCounts } from '../jobs/job-admission.js';
import { batchKey } from '../keys.js';
import { createDemandHistoryStore } from './demand-history-store.js';
import { logLoad, type LoadLogOptions } from './load-log.js';
import { createEffectPerformer } from './effect-performer.js';
import { createRowAlarm } from './row-alarm.js';
import { createProcessLoadMeter } from './process-load.js';
import { createMemoryReport, defaultJobMemoryBytes } from './memory-report.js';
import { createTermGuard } from './term-guard.js';
import { createTermJobs } from './term-jobs.js';
import { startTermLoops, TICK_MS } from './term-loops.js';
import { createTermRecovery } from './term-recovery.js';
import type { Term, TermOptions } from './term-types.js';

/** An endpoint's lease may last longer than its duration by this factor, because of a slow clock at the endpoint. */
const LEASE_CLOCK_FACTOR = 1.05;
/** An endpoint's lease may last longer by this time in addition, because of a late answer. */
const LEASE_MARGIN_MS = 500;

/**
 * Builds a term.
 *
 * @param options - The holder, its fence, the platform and the limits from the lease.
 * @returns The term, not yet started.
 */
export const createTerm = ({
  self,
  fence,
  fenceCheck,
  platform,
  log,
  metrics,
  holdsLease,
  mayOrderHosts,
  hostOrderDelayMs,
  formerOrdersRemainingMs,
  endpointLeaseMs,
  placementPolicy = 'fullest',
  isTableUnavailable,
  soleHolderUntilMs,
  configuration,
  startGate = OPEN_GATE,
  jobMemoryBytes = defaultJobMemoryBytes(),
  onLost,
  nowMs = () => performance.now(),
  wallClockMs = () => Date.now(),
}: TermOptions): Term => {
  const state = createBatchState(fence);
  const createdAtMs = nowMs();
  state.placementPolicy = placementPolicy;
  // Until the memory that the restored jobs take is known, each recurring job has one occurrence.
  state.occurrenceBytesLeft = 0;
  const schedulePools = createScheduleCycle(state);
  const inheritedLeasesMs =
    endpointLeaseMs * LEASE_CLOCK_FACTOR + LEASE_MARGIN_MS + formerOrdersRemainingMs;
  const orderWindow = createOrderWindow();
  const sharedDelayEstimator = createSharedDelayEstimator();
  let isStopped = false;
  let isReady = false;
  let isCycleRequested = false;
  let loops: RunningLoops | undefined;

  const isSoleHolder = (): boolean => nowMs() < soleHolderUntilMs();

  /**
   * A new holder starts nothing before its evacuation view was confirmed: the previous holder may have known of a newer
   * evacuation.
   */
  const mayStart = (): boolean => startGate.isConfirmedSince(createdAtMs) && startGate.isOpen();

  const confirmEvacuations = async (): Promise<void> => {
    if (mayStart()) return;
    await startGate.confirm();
    requestCycle();
  };

  /** False once the lease has lapsed, since another holder may have changed what this one would answer. */
  const isHolder = (): boolean => !isStopped && isReady && holdsLease();

  const endAsLost = (reason: string): void => {
    if (isStopped) return;
    isStopped = true;
    onLost(reason);
  };

  const requestCycle = (): void => {
    if (isCycleRequested || isStopped) return;
    isCycleRequested = true;
    setImmediate(() => {
      isCycleRequested = false;
      cycle();
    });
  };

  const guard = createTermGuard({
    table: platform.table,
    fence,
    onUnreadableRow: createRowAlarm({ key: batchKey.guard, log, metrics }),
    onSuperseded: () => endAsLost('a later holder has written the guard row'),
  });

  const roster = createEndpointRoster({
    state,
    feed: platform.endpoints(),
    linkContext: {
      state,
      orders: platform.orders,
      sharedDelayEstimator,
      orderWindow,
      endpointLeaseMs,
      log,
      metrics,
      nowMs,
      isCertainlyHolder: () => !isStopped && holdsLease(),
      isStartAllowedIn: (dataCentre) => mayStart() && startGate.mayStartIn(dataCentre),
      requestScheduling: requestCycle,
      requestSave: () => saver.requestRound(),
      onFenceLost: () => endAsLost('an endpoint has seen a higher fence'),
    },
    inheritedLeasesMs,
    isStopped: () => isStopped,
  });

  const jobs = createTermJobs({
    state,
    table: platform.table,
    guard,
    answerableMs: () => platform.bounds().answerableMs,
    configuration,
    isTableUnavailable,
    isSoleHolder,
    isHolder,
    isStopped: () => isStopped,
    beginSaveRound: () => {
      // An applied end counts as stored only if its job is marked as changed before the round.
      perform();
      return roster.snapshotAppliedEnds();
    },
    requestScheduling: requestCycle,
    endAsLost,
    jobMemoryBytes,
    log,
    metrics,
    nowMs,
    wallClockMs,
  });
  const { saver, admission } = jobs;

  const demandHistory = createDemandHistoryStore({
    table: platform.table,
    state,
    log,
    nowMs,
    wallClockMs,
  });

  const advisor = createAdvisor({
    state,
    port: platform.advice,
    log,
    metrics,
    nowMs,
    requestScheduling: requestCycle,
  });

  const evacuations = createEvacuationWatch({
    state,
    gate: startGate,
    log,
    metrics,
    nowMs,
    wallClockMs,
  });

  const perform = createEffectPerformer({
    state,
    performAtEndpoint: roster.perform,
    askForAdvice: advisor.ask,
    admission,
    requestSave: saver.requestSave,
    log,
    nowMs,
  });

  const cycle = (): void => {
    state.evacuatedDataCentres = startGate.evacuated();
    if (isStopped || !isReady || !holdsLease()) {
      perform();
      return;
    }
    state.clockMs = nowMs();
    state.wallClockOffsetMs = wallClockMs() - nowMs();
    state.soleHolderUntilMs = soleHolderUntilMs();
    setAccounts(state, configuration()?.accounts.byName ?? state.accounts);
    schedulePools(mayStart() ? orderWindow.available() : 0, nowMs());
    perform();
  };

  const domainGauges = createDomainGauges(state, metrics);

  const processLoadMeter = createProcessLoadMeter(TICK_MS, nowMs);

  const loadLogOptions: LoadLogOptions = {
    state,
    orderWindow,
    sharedDelayEstimator,
    saverLoad: saver.load,
    measureProcessLoad: processLoadMeter.measure,
    remainingSoleHolderMs: () => soleHolderUntilMs() - nowMs(),
    nowMs,
    log,
  };

  const logHeldTasks = createHeldTaskLog({ state, log, nowMs });

  const reportMemory = createMemoryReport({ memory: jobs.memory, log, metrics, nowMs });

  const reportLoad = (): void => {
    logLoad(loadLogOptions);
    logHeldTasks();
    publishAdmissionCounts(admission, metrics);
    reportMemory();
  };

  const logLapsedLease = ({ endpointId, endedAtMs }: LapsedEndpoint): void =>
    log.warn('endpoint-lease-ended', {
      endpoint: endpointId,
      ageMs: Math.round(nowMs() - endedAtMs),
      soleForMs: remainingSoleHolderMs(state, nowMs()),
    });

  const tick = async (): Promise<void> => {
    processLoadMeter.recordTick();
    if (isStopped || !isReady) return;
    state.soleHolderUntilMs = soleHolderUntilMs();
    saver.refuseIfTableUnavailable();
    evacuations.update();
    if (state.recurringJobs.size > 0)
      state.occurrenceBytesLeft = jobs.memory.bytesForOccurrences(nowMs());
    state.recurringJobs.forEach((job) => startDueOccurrences(state, job, nowMs(), wallClockMs()));
    handleStalledAndLapsedRuns(state, nowMs()).forEach(logLapsedLease);
    paceGapFillers(state, nowMs());
    admission.checkTrackedRefusals(nowMs());
    cycle();
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
    wallClockMs,
    mayOrder: () => !isStopped && isReady && holdsLease() && mayOrderHosts(),
    minTermAgeToOrderMs: hostOrderDelayMs,
    configuration,
    dropEndpoint: roster.removeGoneEndpoint,
  });

  /** Begins to act as the holder. */
  const becomeReady = (endpointCount: number): void => {
    isReady = true;
    log.info('term-recovered', {
      fence,
      jobs: state.jobs.size,
      deferred: state.deferredJobs.size,
      ended: jobs.countEnded(),
      endpoints: endpointCount,
      tookMs: Math.round(nowMs() - state.takenOverAtMs),
    });
    perform();
  };

  const recover = createTermRecovery({
    state,
    guard,
    jobRows: jobs.rows,
    roster,
    demandHistory,
    refreshHosts: fleet.refreshHosts,
    longestLeaseMs: () => platform.bounds().longestLeaseMs,
    formerOrdersRemainingMs,
    inheritedLeasesMs,
    isStopped: () => isStopped,
    onRecovered: becomeReady,
    nowMs,
  });

  const start = async (): Promise<void> => {
    log.info('term-started', { fence });
    // Runs in parallel with the recovery, which takes several calls.
    void confirmEvacuations();
    await recover();
    if (isStopped) return;
    loops = startTermLoops(
      {
        tick,
        confirmEvacuations,
        refreshEndpoints: roster.refresh,
        readJobRows: jobs.rows.applyChanges,
        addDeferredJobs: jobs.addDeferredJobs,
        fleet,
        deleteExpiredRows: jobs.deleteExpiredRows,
        reportLoad,
        updateDomainGauges: domainGauges.update,
        saveDemandHistory: demandHistory.save,
      },
      log,
    );
    requestCycle();
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
    memory: jobs.memory,
    start,
    stop,
    isReady: isHolder,
    statusOf: (jobId) => (isHolder() ? jobs.findStatus(jobId) : undefined),
    countWaitingJobs: () => (isHolder() ? countWaitingJobs(state) : undefined),
    accept: async (row) => (isHolder() ? jobs.accept(row) : undefined),
    addAcceptedJob: (row, version) => {
      if (isReady && !isStopped && isSoleHolder()) jobs.rows.addAcceptedJob(row, version);
    },
    recordRefusedJobs: (refused) =>
      recordFirstAttempts(
        state,
        refused.map(([jobId, agoMs]) => ({ jobId, atMs: nowMs() - agoMs })),
      ),
    cancel: (jobId, caller) => {
      if (!isHolder()) return undefined;
      const phase = jobs.cancel(jobId, caller);
      perform();
      return phase ?? 'unknown';
    },
  };
};
