/**
 * One holder and one or two endpoints in virtual time. The outcome of each order is given, and invariants are checked at
 * the endpoints.
 */
import {
  startDueOccurrences,
  createBatchState,
  createSimulatedEndpoint,
  createSharedDelayEstimator,
  createOrderWindow,
  instanceIdOf,
  isFinal,
  parseTaskKey,
  createScheduleCycle,
  stopRun,
  removeEffects,
  addJob,
  handleStalledAndLapsedRuns,
  DEFAULT_STEP,
  type BatchJob,
  type BatchState,
  type SimulatedEndpoint,
  type EndpointDescription,
  type JobState,
  type StepSpec,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import {
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
  brand,
} from '@valvelatch/core/shared/ids';

import { createMetrics } from '../../observe/metrics.js';
import { createEndpointRoster } from '../endpoints/endpoint-roster.js';
import {
  createPlannedOrders,
  type OrderKind,
  type OrderOutcome,
  type OrderOutcomes,
} from './planned-orders.fixtures.js';
import { createRunInvariants } from './run-invariants.fixtures.js';
import { SILENT_LOG } from './silent-log.fixtures.js';
import { createLeaseMirror, type SimEndpoint } from './sim-endpoint.fixtures.js';

export {
  PROMPT_OUTCOME,
  type OrderKind,
  type OrderOutcome,
  type OrderOutcomes,
} from './planned-orders.fixtures.js';

const POOL = brand<PoolName>('alpha');
const FENCE = 2;
const ENDPOINT_LEASE_MS = 6000;
const INHERITED_LEASES_MS = 100;
const TICK_MS = 100;
const SAVE_AFTER_MS = 20;
/** The pause between two list requests of another holder. */
const SUCCESSOR_LIST_INTERVAL_MS = 100;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

export type HolderSimulationOptions = {
  /** How many tasks each endpoint can run at a time. */
  readonly taskCapacities: readonly number[];
  /** The run times of tasks, which are assigned to them in turn. */
  readonly runMs: readonly number[];
  readonly steps: readonly Partial<StepSpec>[];
  /** The numbers of the endpoints on which tasks end as failed. */
  readonly failsOn?: readonly number[];
  /** How fast the clocks of the endpoints run: 0.98 is 2 % slow. */
  readonly clockRate?: number;
  /** How long it takes to write run ends; they are acknowledged afterwards. */
  readonly saveMs?: number;
  /** The maximum number of run ends in one answer of an endpoint. */
  readonly maxReportedEnds?: number;
  readonly outcomes?: Partial<OrderOutcomes>;
  /** Prepares the endpoints before this holder learns of them. */
  readonly prepareEndpoints?: (endpoints: readonly SimulatedEndpoint[]) => void;
  /** How long after its creation the holder learns of the endpoints. */
  readonly discoveryDelayMs?: number;
  /** True if another holder takes part: it acknowledges run ends, and endpoints may refuse this holder's fence. */
  readonly hasSuccessor?: boolean;
};

/**
 * Creates a holder with its endpoints, none of which has answered yet.
 *
 * @param options - The endpoints, the work and the outcomes of orders.
 * @returns The simulation; `stop` ends it.
 */
export const createHolderSimulation = ({
  taskCapacities,
  runMs,
  steps,
  failsOn = [],
  clockRate = 1,
  saveMs = 4,
  maxReportedEnds = Infinity,
  outcomes = {},
  prepareEndpoints = () => undefined,
  discoveryDelayMs = 0,
  hasSuccessor = false,
}: HolderSimulationOptions) => {
  const state: BatchState = createBatchState(FENCE);
  const endpoints = new Map<EndpointId, SimEndpoint>();
  const startedAtMs = performance.now();
  change(state, { takenOverAtMs: startedAtMs });
  let isStopped = false;
  let isClosed = false;
  let isCyclePending = false;
  let isSavePlanned = false;
  let endpointCount = 0;
  const nowMs = (): number => performance.now();
  const { violations, starts, recordViolation, observeStart, observeEnd, observeAcknowledged } =
    createRunInvariants({ state, endpoints, hasSuccessor });
  const { orders, plannedOutcomes } = createPlannedOrders({
    endpoints,
    outcomes,
    maxReportedEnds,
    isStopped: () => isStopped,
  });
  const jobs: JobState[] = [];

  const addEndpoint = (taskCapacity: number): EndpointDescription => {
    const endpointId = brand<EndpointId>(`i-${endpointCount}`);
    const index = endpointCount;
    endpointCount += 1;
    const capacity = { cpuMillis: taskCapacity * 1000, memoryMb: 64_000, accelerators: 0 };
    const model = createSimulatedEndpoint({
      instanceId: instanceIdOf(endpointId),
      hostId: brand(`h-${index}`),
      pool: POOL,
      capacity,
      clockRate,
      observer: {
        taskOf: (key) => {
          const name = parseTaskKey(key);
          return {
            cpuMillis: 1000,
            memoryMb: 100,
            runMs: runMs[((name?.index ?? 0) + (name?.step ?? 0)) % runMs.length] ?? 300,
            isLasting: false,
            fails: failsOn.includes(index),
          };
        },
        onStart: (_, task, run) => observeStart(endpointId, task, run),
        onEnd: (_, task, run, kind) => observeEnd(endpointId, task, run, kind),
        onAcknowledged: (end) => observeAcknowledged(endpointId, end),
      },
    });
    endpoints.set(endpointId, {
      model,
      lease: createLeaseMirror(clockRate),
      reportedEnds: new Set(),
      isReplaced: false,
      cutUntilMs: 0,
      deliversAfterCut: false,
    });
    return {
      endpointId,
      pool: POOL,
      hostId: null,
      address: endpointId,
      dataCentre: brand<DataCentreId>('dc'),
      labels: [],
      capacity,
      isDraining: false,
    };
  };

  const schedulePools = createScheduleCycle(state);

  const cycle = (): void => {
    if (isStopped) return;
    state.clockMs = nowMs();
    schedulePools(Infinity, nowMs());
    removeEffects(state).forEach((effect) => {
      if (effect.kind === 'start' || effect.kind === 'stop') roster.perform(effect);
      if (effect.kind === 'save') saveCrashRecordLater(effect.jobId);
    });
  };

  const saveCrashRecordLater = (jobId: JobId): void => {
    const job = state.jobs.get(jobId);
    if (!job) return;
    const { crashRecordRevision } = job;
    setTimeout(
      () =>
        change(job, {
          writtenCrashRecordRevision: Math.max(job.writtenCrashRecordRevision, crashRecordRevision),
        }),
      saveMs,
    );
  };

  const requestScheduling = (): void => {
    if (isCyclePending) return;
    isCyclePending = true;
    setImmediate(() => {
      isCyclePending = false;
      cycle();
    });
  };

  /** Acknowledges run ends once they are written: those that had been applied when the write began. */
  const requestSave = (): void => {
    if (isSavePlanned) return;
    isSavePlanned = true;
    setTimeout(() => {
      isSavePlanned = false;
      setTimeout(roster.snapshotAppliedEnds(), saveMs);
    }, SAVE_AFTER_MS);
  };

  const roster = createEndpointRoster({
    state,
    feed: { next: () => new Promise(() => {}) },
    linkContext: {
      state,
      orders,
      sharedDelayEstimator: createSharedDelayEstimator(),
      orderWindow: createOrderWindow(),
      endpointLeaseMs: ENDPOINT_LEASE_MS,
      log: SILENT_LOG,
      metrics: createMetrics(),
      nowMs,
      isCertainlyHolder: () => !isStopped,
      isStartAllowedIn: () => true,
      requestScheduling,
      requestSave,
      onFenceLost: () => {
        if (!hasSuccessor) recordViolation('the fence was lost');
        isStopped = true;
      },
    },
    inheritedLeasesMs: INHERITED_LEASES_MS,
    isStopped: () => isStopped,
  });

  const submit = (extra: Partial<BatchJob> = {}): JobState => {
    const jobId = brand<JobId>((jobs.length + 1).toString(16).padStart(16, '0'));
    const job: BatchJob = {
      jobId,
      queue: brand('q'),
      pool: POOL,
      spec: '',
      steps: steps.map((step) => ({ ...DEFAULT_STEP, ...step })),
      repeats: 0,
      firstDueAtMs: 0,
      intervalMs: 0,
      acceptedAtMs: 0,
      ...extra,
    };
    const added = addJob(state, { job, policy: POLICY, nowMs: nowMs(), wallClockMs: Date.now() });
    jobs.push(added);
    requestScheduling();
    return added;
  };

  const stopOne = (pick: number): void => {
    const running = Array.from(state.endpoints.values()).flatMap((endpoint) =>
      Array.from(endpoint.runs.values(), (run) => ({ endpoint, run })),
    );
    const chosen = running[pick % Math.max(1, running.length)];
    if (chosen) stopRun(state, chosen.endpoint, chosen.run, 'moved');
    cycle();
  };

  const pickLiveEndpoint = (pick: number): SimEndpoint | undefined => {
    const liveEndpoints = Array.from(endpoints.values()).filter(({ model }) => model.isUp());
    return liveEndpoints[pick % Math.max(1, liveEndpoints.length)];
  };

  /** Crashes an endpoint with all its runs; another incarnation starts at its address after backAfterMs. */
  const crash = (pick: number, backAfterMs: number): void => {
    const target = pickLiveEndpoint(pick);
    if (!target) return;
    target.model.crash();
    setTimeout(() => {
      if (isStopped) return;
      target.isReplaced = true;
      roster.applyListChanges({
        changed: [addEndpoint(target.model.capacity.cpuMillis / 1000)],
        removed: [],
      });
    }, backAfterMs);
  };

  /** Cuts an endpoint off from the holder. */
  const cut = (pick: number, forMs: number, deliversAfterCut: boolean): void => {
    const target = pickLiveEndpoint(pick);
    if (target) Object.assign(target, { cutUntilMs: nowMs() + forMs, deliversAfterCut });
  };

  /**
   * Starts another holder that lists the runs of each endpoint from some time on, which differs by endpoint, and
   * acknowledges reported ends at once. From now on this holder cannot rely on being the only one; it learns nothing
   * more about the other.
   */
  const succeed = (afterMs: readonly number[]): void => {
    state.soleHolderUntilMs = nowMs();
    Array.from(endpoints.values()).forEach(({ model, lease }, index) => {
      let acknowledged = 0;
      const listRuns = async (): Promise<void> => {
        if (isClosed || !model.isUp()) return;
        const keepUntilMs = 1000 + (nowMs() - startedAtMs) * clockRate + ENDPOINT_LEASE_MS;
        lease.apply(keepUntilMs);
        const order = { fence: FENCE + 1, acknowledged, keepUntilMs, waitMs: 0 };
        const answer = await model.list(order);
        if (answer.isOk())
          acknowledged = Math.max(acknowledged, ...answer.value.ended.map(({ number }) => number));
        setTimeout(() => {
          void listRuns();
        }, SUCCESSOR_LIST_INTERVAL_MS);
      };
      setTimeout(() => {
        void listRuns();
      }, afterMs[index] ?? 0);
    });
  };

  const timer = setInterval(() => {
    state.recurringJobs.forEach((job) => startDueOccurrences(state, job, nowMs(), Date.now()));
    handleStalledAndLapsedRuns(state, nowMs());
    cycle();
  }, TICK_MS);

  const changed = taskCapacities.map(addEndpoint);
  prepareEndpoints(Array.from(endpoints.values(), ({ model }) => model));
  setTimeout(() => roster.applyListChanges({ changed, removed: [] }), discoveryDelayMs);

  return {
    state,
    jobs,
    endpoints,
    violations,
    starts,
    submit,
    /** Orders one of the current runs to be stopped. */
    stopOne,
    crash,
    cut,
    succeed,
    /** Appends outcomes to the planned ones of a kind of order. */
    plan: (kind: OrderKind, ...more: readonly OrderOutcome[]): void => {
      plannedOutcomes[kind].push(...more);
    },
    /**
     * Removes all planned outcomes and cuts: orders that are sent from now on are carried out and answered without
     * delay.
     */
    calm: (): void => {
      Object.values(plannedOutcomes).forEach((planned) => planned.splice(0));
      endpoints.forEach((endpoint) => Object.assign(endpoint, { cutUntilMs: 0 }));
    },
    /** Lists the ids of the jobs that have not ended. */
    open: (): readonly string[] =>
      jobs.filter(({ phase }) => !isFinal(phase)).map(({ job }) => job.jobId),
    stop: (): void => {
      isStopped = true;
      isClosed = true;
      clearInterval(timer);
      roster.close();
    },
  };
};

export type HolderSimulation = ReturnType<typeof createHolderSimulation>;
