/**
 * One holder and one or two endpoints in virtual time. The outcome of each order is given: when it is carried out and when its
 * answer arrives, or that either is lost. Invariants are checked at the endpoints.
 */
import {
  startDueOccurrences,
  createBatchState,
  createSimulatedEndpoint,
  createSharedDelayEstimator,
  createOrderWindow,
  instanceIdOf,
  findTask,
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
  type RunEndKind,
  type EndedRunReport,
  type SimulatedEndpoint,
  type EndpointDescription,
  type JobState,
  type OrderError,
  type StepSpec,
  type TaskKey,
} from '@valvelatch/core/batch';
import { change } from '@valvelatch/core/shared/change';
import {
  type DataCentreId,
  type EndpointId,
  type JobId,
  type PoolName,
  brand,
} from '@valvelatch/core/shared/ids';
import { Err, type Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import { createEndpointRoster } from '../endpoints/endpoint-roster.js';
import type { EndpointOrders } from '../ports.js';

/** The outcome of one order. */
export type OrderOutcome = {
  /** How long until the endpoint carries the order out; null if it never does. */
  readonly requestMs: number | null;
  /** How long the answer is in flight; null if it is lost. */
  readonly answerMs: number | null;
  /** How long until the connection breaks, which ends the call before its timeout; null if it does not break. */
  readonly resetAfterMs?: number | null;
  /** If set, the holder gets the answer that the order was not carried out, with this reason. */
  readonly refusal?: 'unreachable' | 'unhealthy';
};

export type OrderKind = 'start' | 'stop' | 'list';

/**
 * The outcomes of the orders of each kind, in the order in which they are sent; later orders are carried out and
 * answered without delay.
 */
export type OrderOutcomes = Readonly<Record<OrderKind, readonly OrderOutcome[]>>;

/** The outcome of an order that is carried out and answered without delay. */
export const PROMPT_OUTCOME: OrderOutcome = { requestMs: 1, answerMs: 1 };

const POOL = brand<PoolName>('alpha');
const FENCE = 2;
const ENDPOINT_LEASE_MS = 6000;
const INHERITED_LEASES_MS = 100;
const TICK_MS = 100;
/** How many violations are recorded: later ones tend to follow from the first ones. */
const MAX_VIOLATIONS = 3;
const SAVE_AFTER_MS = 20;
/** The pause between two list requests of another holder. */
const SUCCESSOR_LIST_INTERVAL_MS = 100;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

const NO_ANSWER: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'no answer' };

const REPLACED: OrderError = { verdict: 'notRun', reason: 'other-endpoint', detail: '421' };

const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

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

/** The end of a run as done, and the run of the same task that started after it, if any. */
type DoneEnd = {
  readonly endpointId: EndpointId;
  readonly task: TaskKey;
  readonly run: number;
  readonly atMs: number;
  followedBy: number | undefined;
  isAcknowledged: boolean;
};

/** Computes an endpoint's lease from the orders that it carries out, independently of the endpoint. */
const createLeaseMirror = (clockRate: number) => {
  const startedAtMs = performance.now();
  let untilMs = 0;
  let lapsedAtMs = -Infinity;
  const readClockMs = (): number => 1000 + (performance.now() - startedAtMs) * clockRate;
  return {
    /** Applies an order to the lease; to be called just before the order is carried out. */
    apply: (keepUntilMs: number | undefined): void => {
      const clockMs = readClockMs();
      if (clockMs > untilMs) lapsedAtMs = performance.now() - (clockMs - untilMs) / clockRate;
      untilMs = Math.max(untilMs, keepUntilMs ?? 0);
    },
    /** Returns when a lease last ended before the next was granted; -Infinity before the first order. */
    lapsedAtMs: () => lapsedAtMs,
    isOver: (): boolean => readClockMs() > untilMs,
  };
};

const endNumberOf = ({ number }: EndedRunReport): number => number;

type SimEndpoint = {
  readonly model: SimulatedEndpoint;
  readonly lease: ReturnType<typeof createLeaseMirror>;
  /** The numbers of the run ends that were reported to the holder. */
  readonly reportedEnds: Set<number>;
  /** True once another incarnation at its address answers the orders that are meant for it. */
  isReplaced: boolean;
  /** Before this time no order reaches it, and none of its answers arrives. */
  cutUntilMs: number;
  /** True if orders that are sent during the cut are delivered at its end; they are lost otherwise. */
  deliversAfterCut: boolean;
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
  const doneEnds: DoneEnd[] = [];
  const violations: string[] = [];
  const starts: { readonly task: TaskKey; readonly run: number; readonly on: EndpointId }[] = [];
  const plannedOutcomes: Record<OrderKind, OrderOutcome[]> = {
    start: [...(outcomes.start ?? [])],
    stop: [...(outcomes.stop ?? [])],
    list: [...(outcomes.list ?? [])],
  };
  const startedAtMs = performance.now();
  let isStopped = false;
  let isClosed = false;
  let isCyclePending = false;
  let isSavePlanned = false;
  let endpointCount = 0;
  const nowMs = (): number => performance.now();
  const recordViolation = (text: string): void => {
    if (violations.length < MAX_VIOLATIONS) violations.push(`${Math.round(nowMs())} ms: ${text}`);
  };

  const jobs: JobState[] = [];

  const taskOf = (key: TaskKey) => {
    const name = parseTaskKey(key);
    return name && findTask(state, name);
  };

  /**
   * Tells whether a holder that asks now can learn of a run's end: the endpoint must be up, and its lease must not have
   * ended since the run's end.
   */
  const canBeReported = ({ endpointId, atMs }: DoneEnd): boolean => {
    const endpoint = endpoints.get(endpointId);
    if (!endpoint?.model.isUp()) return false;
    return !endpoint.lease.isOver() && endpoint.lease.lapsedAtMs() <= atMs;
  };

  const observeStart = (on: EndpointId, task: TaskKey, run: number): void => {
    starts.push({ task, run, on });
    endpoints.forEach(({ model }, other) => {
      if (other !== on && model.isUp() && model.runs.has(task))
        recordViolation(
          `${task} run ${run} started on ${on} while another run of it is on ${other}`,
        );
    });
    doneEnds
      .filter((end) => end.task === task)
      .forEach((end) => {
        const earlier = `${task} run ${end.run} had ended as done on ${end.endpointId}`;
        if (end.isAcknowledged)
          recordViolation(`run ${run} started on ${on} after ${earlier}, acknowledged`);
        else if (canBeReported(end))
          recordViolation(`run ${run} started on ${on} after ${earlier}, still listed`);
        Object.assign(end, { followedBy: run });
      });
  };

  const observeEnd = (
    on: EndpointId,
    task: TaskKey,
    run: number,
    kind: RunEndKind | 'died',
  ): void => {
    if (kind !== 'done') return;
    const atMs = nowMs();
    const followedBy = undefined;
    doneEnds.push({ endpointId: on, task, run, atMs, followedBy, isAcknowledged: false });
  };

  const isApplied = ({ task, run, kind }: EndedRunReport): boolean => {
    const found = taskOf(task);
    if (!found) return false;
    if (isFinal(found.step.job.phase)) return true;
    if (kind === 'done') return found.task.phase === 'done';
    return kind === 'failed' ? found.task.failedRuns.includes(run) : true;
  };

  const observeAcknowledged = (on: EndpointId, end: EndedRunReport): void => {
    const { number, task, run, kind } = end;
    const endpoint = endpoints.get(on);
    if (!endpoint) return;
    const description = `the end ${number} of ${task} run ${run} as ${kind} on ${on}`;
    // Another holder acknowledges the ends that were reported to itself, which are not recorded here.
    if (!hasSuccessor) {
      if (!endpoint.reportedEnds.has(number))
        recordViolation(`${description} was acknowledged but never reported`);
      else if (!isApplied(end)) recordViolation(`${description} was acknowledged but not applied`);
    }
    const ended = doneEnds.find(
      (one) => one.endpointId === on && one.task === task && one.run === run,
    );
    if (!ended || endpoint.lease.lapsedAtMs() > ended.atMs) return;
    ended.isAcknowledged = true;
    if (ended.followedBy !== undefined)
      recordViolation(`run ${ended.followedBy} had started after ${description}`);
  };

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

  type Answer<Value> = Result<Value, OrderError>;

  /** Sends an order, which meets the next planned outcome of its kind. */
  const send = <Value>(
    kind: OrderKind,
    endpointId: EndpointId,
    timeoutMs: number,
    carryOut: (endpoint: SimEndpoint) => Promise<Answer<Value>> | Answer<Value>,
    onAnswer: (endpoint: SimEndpoint, answer: Answer<Value>) => void = () => undefined,
  ): Promise<Answer<Value>> =>
    new Promise((resolve) => {
      const {
        requestMs,
        answerMs,
        resetAfterMs = null,
        refusal,
      } = plannedOutcomes[kind].shift() ?? PROMPT_OUTCOME;
      const endpoint = endpoints.get(endpointId);
      if (!endpoint || isStopped) return;
      let isFinished = false;
      const finish = (answer: Answer<Value>): void => {
        if (isFinished) return;
        isFinished = true;
        onAnswer(endpoint, answer);
        resolve(answer);
      };
      const deliver = async (): Promise<void> => {
        const cutForMs = endpoint.cutUntilMs - nowMs();
        if (cutForMs > 0 && !endpoint.deliversAfterCut) return;
        if (cutForMs > 0) await sleep(cutForMs);
        if (isStopped || (!endpoint.model.isUp() && !endpoint.isReplaced)) return;
        const answer = endpoint.model.isUp() ? await carryOut(endpoint) : Err(REPLACED);
        if (answerMs === null) return;
        await sleep(answerMs);
        if (nowMs() >= endpoint.cutUntilMs) finish(answer);
      };
      setTimeout(() => finish(Err(NO_ANSWER)), timeoutMs);
      if (refusal !== undefined) {
        const refused: OrderError = { verdict: 'notRun', reason: refusal, detail: 'refused' };
        setTimeout(() => finish(Err(refused)), answerMs ?? 1);
      }
      if (resetAfterMs !== null) setTimeout(() => finish(Err(NO_ANSWER)), resetAfterMs);
      if (requestMs === null) return;
      setTimeout(() => {
        void deliver();
      }, requestMs);
    });

  const orders: EndpointOrders = {
    list: ({ endpointId }, order, timeoutMs) =>
      send(
        'list',
        endpointId,
        order.waitMs + timeoutMs,
        async ({ model, lease }) => {
          lease.apply(order.keepUntilMs);
          const answer = await model.list(order);
          return answer.map((reported) => ({
            ...reported,
            ended: reported.ended.slice(0, maxReportedEnds),
          }));
        },
        ({ reportedEnds }, answer) => {
          if (answer.isOk()) answer.value.ended.forEach(({ number }) => reportedEnds.add(number));
        },
      ),
    start: ({ endpointId }, order, timeoutMs) =>
      send('start', endpointId, timeoutMs, ({ model, lease }) => {
        lease.apply(order.keepUntilMs);
        return model.start(order);
      }),
    stop: ({ endpointId }, order, timeoutMs) =>
      send('stop', endpointId, timeoutMs, ({ model }) => model.stop(order)),
    setPace: async () => Err(NO_ANSWER),
    release: () => undefined,
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

  /** Crashes an endpoint with all its runs; another incarnation starts at its address after backAfterMs. */
  const crash = (pick: number, backAfterMs: number): void => {
    const liveEndpoints = Array.from(endpoints.values()).filter(({ model }) => model.isUp());
    const target = liveEndpoints[pick % Math.max(1, liveEndpoints.length)];
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
    const liveEndpoints = Array.from(endpoints.values()).filter(({ model }) => model.isUp());
    const target = liveEndpoints[pick % Math.max(1, liveEndpoints.length)];
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
          acknowledged = Math.max(acknowledged, ...answer.value.ended.map(endNumberOf));
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
