/**
 * One holder and one or two endpoints in virtual time, with a fate for each order: when it is carried
 * out, when its answer comes, or neither. What must always hold is checked at the endpoints.
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
  takeEffects,
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

/** What becomes of one order. */
export type Fate = {
  /** How long until the endpoint carries it out; null if it never does. */
  readonly goMs: number | null;
  /** How long its answer is under way; null if it is lost. */
  readonly backMs: number | null;
  /** How soon the connection breaks, so that no time-out is waited for; null if it does not. */
  readonly breaksMs?: number | null;
  /** The holder is told that nothing was done. */
  readonly refusal?: 'unreachable' | 'unhealthy';
};

export type OrderKind = 'start' | 'stop' | 'list';

/** The fates of orders of each kind, in the order in which they are sent; later ones are sound. */
export type Fates = Readonly<Record<OrderKind, readonly Fate[]>>;

export const SOUND: Fate = { goMs: 1, backMs: 1 };

const POOL = brand<PoolName>('alpha');
const FENCE = 2;
const ENDPOINT_LEASE_MS = 6000;
const INHERITED_LEASES_MS = 100;
const TICK_MS = 100;
/** One fault leads to more: the first ones tell what it was. */
const MOST_BROKEN = 3;
const SAVE_AFTER_MS = 20;
const SUCCESSOR_ASKS_MS = 100;
const POLICY = { priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 600 };

const NO_ANSWER: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'silence' };

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

export type HeldWorldOptions = {
  /** How many tasks each endpoint has room for. */
  readonly rooms: readonly number[];
  /** How long tasks run, in turn. */
  readonly runMs: readonly number[];
  readonly steps: readonly Partial<StepSpec>[];
  /** Tasks end as failed at these endpoints, by number. */
  readonly failsOn?: readonly number[];
  /** How fast the clocks of the endpoints run: 0.98 is 2 % slow. */
  readonly clockRate?: number;
  /** How long it takes to write ends, after which they are acknowledged. */
  readonly saveMs?: number;
  /** An endpoint lists so many ends at once. */
  readonly mostEnds?: number;
  readonly fates?: Partial<Fates>;
  /** What the endpoints went through before this holder meets them. */
  readonly before?: (endpoints: readonly SimulatedEndpoint[]) => void;
  readonly meetsAfterMs?: number;
  /** True if another holder takes part: it acknowledges ends, and this one's fence may be refused. */
  readonly hasSuccessor?: boolean;
};

/** An end as done, and what followed it. */
type DoneEnd = {
  readonly endpointId: EndpointId;
  readonly task: TaskKey;
  readonly run: number;
  readonly atMs: number;
  followedBy: number | undefined;
  isAcknowledged: boolean;
};

/** When the lease of an endpoint ends, by what it was told, and when one was last over. */
const createLeaseMirror = (clockRate: number) => {
  const bornAtMs = performance.now();
  let untilMs = 0;
  let lapsedAtMs = -Infinity;
  const clockOf = (): number => 1000 + (performance.now() - bornAtMs) * clockRate;
  return {
    /** To be called with each order before it is carried out. */
    note: (keepUntilMs: number | undefined): void => {
      const clockMs = clockOf();
      if (clockMs > untilMs) lapsedAtMs = performance.now() - (clockMs - untilMs) / clockRate;
      untilMs = Math.max(untilMs, keepUntilMs ?? 0);
    },
    lapsedAtMs: () => lapsedAtMs,
    isOver: (): boolean => clockOf() > untilMs,
  };
};

const numberOf = ({ number }: EndedRunReport): number => number;

type SimEndpoint = {
  readonly model: SimulatedEndpoint;
  readonly lease: ReturnType<typeof createLeaseMirror>;
  /** The numbers of the ends that the holder was told of. */
  readonly told: Set<number>;
  /** Another life at its address answers what is meant for it. */
  isReplaced: boolean;
  /** Nothing reaches it before then, and none of its answers arrives. */
  cutUntilMs: number;
  /** What was sent to it meanwhile is delivered at the end of the cut. */
  isHeldUp: boolean;
};

/**
 * Builds a holder with its endpoints, of which none has answered yet.
 *
 * @param options - The endpoints, the work, and the fates of orders.
 * @returns The world; `stop` ends it.
 */
export const createHeldWorld = ({
  rooms,
  runMs,
  steps,
  failsOn = [],
  clockRate = 1,
  saveMs = 4,
  mostEnds = Infinity,
  fates = {},
  before = () => undefined,
  meetsAfterMs = 0,
  hasSuccessor = false,
}: HeldWorldOptions) => {
  const state: BatchState = createBatchState(FENCE);
  const endpoints = new Map<EndpointId, SimEndpoint>();
  const doneEnds: DoneEnd[] = [];
  const broken: string[] = [];
  const starts: { readonly task: TaskKey; readonly run: number; readonly on: EndpointId }[] = [];
  const left: Record<OrderKind, Fate[]> = {
    start: [...(fates.start ?? [])],
    stop: [...(fates.stop ?? [])],
    list: [...(fates.list ?? [])],
  };
  const bornAtMs = performance.now();
  let isStopped = false;
  let isDone = false;
  let isPoked = false;
  let isSavePlanned = false;
  let lastEndpoint = 0;
  const nowMs = (): number => performance.now();
  const breaks = (text: string): void => {
    if (broken.length < MOST_BROKEN) broken.push(`${Math.round(nowMs())} ms: ${text}`);
  };

  const jobs: JobState[] = [];

  const taskOf = (key: TaskKey) => {
    const name = parseTaskKey(key);
    return name && findTask(state, name);
  };

  /** True if whoever asks now may take note of an end: its endpoint is up, and its lease never ended. */
  const isNotable = ({ endpointId, atMs }: DoneEnd): boolean => {
    const endpoint = endpoints.get(endpointId);
    if (!endpoint?.model.isUp()) return false;
    return !endpoint.lease.isOver() && endpoint.lease.lapsedAtMs() <= atMs;
  };

  const observeStart = (on: EndpointId, task: TaskKey, run: number): void => {
    starts.push({ task, run, on });
    endpoints.forEach(({ model }, other) => {
      if (other !== on && model.isUp() && model.runs.has(task))
        breaks(`${task} run ${run} began on ${on} while a run is on ${other}`);
    });
    doneEnds
      .filter((end) => end.task === task)
      .forEach((end) => {
        const earlier = `${task} run ${end.run} had ended as done on ${end.endpointId}`;
        if (end.isAcknowledged) breaks(`run ${run} began on ${on} after ${earlier}, acknowledged`);
        else if (isNotable(end)) breaks(`run ${run} began on ${on} after ${earlier}, still listed`);
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
    const named = `the end ${number} of ${task} run ${run} as ${kind} on ${on}`;
    // Another holder acknowledges by what it was told itself.
    if (!hasSuccessor) {
      if (!endpoint.told.has(number)) breaks(`${named} was acknowledged and never told`);
      else if (!isApplied(end)) breaks(`${named} was acknowledged and not applied`);
    }
    const ended = doneEnds.find(
      (one) => one.endpointId === on && one.task === task && one.run === run,
    );
    if (!ended || endpoint.lease.lapsedAtMs() > ended.atMs) return;
    ended.isAcknowledged = true;
    if (ended.followedBy !== undefined) breaks(`run ${ended.followedBy} had begun after ${named}`);
  };

  const addEndpoint = (room: number): EndpointDescription => {
    const endpointId = brand<EndpointId>(`i-${lastEndpoint}`);
    const index = lastEndpoint;
    lastEndpoint += 1;
    const capacity = { cpuMillis: room * 1000, memoryMb: 64_000, accelerators: 0 };
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
      told: new Set(),
      isReplaced: false,
      cutUntilMs: 0,
      isHeldUp: false,
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

  /** Sends an order to its fate. */
  const send = <Value>(
    kind: OrderKind,
    endpointId: EndpointId,
    timeoutMs: number,
    carryOut: (endpoint: SimEndpoint) => Promise<Answer<Value>> | Answer<Value>,
    onAnswer: (endpoint: SimEndpoint, answer: Answer<Value>) => void = () => undefined,
  ): Promise<Answer<Value>> =>
    new Promise((resolve) => {
      const { goMs, backMs, breaksMs = null, refusal } = left[kind].shift() ?? SOUND;
      const endpoint = endpoints.get(endpointId);
      if (!endpoint || isStopped) return;
      let isOver = false;
      const settle = (answer: Answer<Value>): void => {
        if (isOver) return;
        isOver = true;
        onAnswer(endpoint, answer);
        resolve(answer);
      };
      const arrive = async (): Promise<void> => {
        const cutForMs = endpoint.cutUntilMs - nowMs();
        if (cutForMs > 0 && !endpoint.isHeldUp) return;
        if (cutForMs > 0) await sleep(cutForMs);
        if (isStopped || (!endpoint.model.isUp() && !endpoint.isReplaced)) return;
        const answer = endpoint.model.isUp() ? await carryOut(endpoint) : Err(REPLACED);
        if (backMs === null) return;
        await sleep(backMs);
        if (nowMs() >= endpoint.cutUntilMs) settle(answer);
      };
      setTimeout(() => settle(Err(NO_ANSWER)), timeoutMs);
      if (refusal !== undefined) {
        const refused: OrderError = { verdict: 'notRun', reason: refusal, detail: 'refused' };
        setTimeout(() => settle(Err(refused)), backMs ?? 1);
      }
      if (breaksMs !== null) setTimeout(() => settle(Err(NO_ANSWER)), breaksMs);
      if (goMs === null) return;
      setTimeout(() => {
        void arrive();
      }, goMs);
    });

  const orders: EndpointOrders = {
    list: ({ endpointId }, order, timeoutMs) =>
      send(
        'list',
        endpointId,
        order.waitMs + timeoutMs,
        async ({ model, lease }) => {
          lease.note(order.keepUntilMs);
          const answer = await model.list(order);
          return answer.map((told) => ({ ...told, ended: told.ended.slice(0, mostEnds) }));
        },
        ({ told }, answer) => {
          if (answer.isOk()) answer.value.ended.forEach(({ number }) => told.add(number));
        },
      ),
    start: ({ endpointId }, order, timeoutMs) =>
      send('start', endpointId, timeoutMs, ({ model, lease }) => {
        lease.note(order.keepUntilMs);
        return model.start(order);
      }),
    stop: ({ endpointId }, order, timeoutMs) =>
      send('stop', endpointId, timeoutMs, ({ model }) => model.stop(order)),
    pace: async () => Err(NO_ANSWER),
    forget: () => undefined,
  };

  const schedulePools = createScheduleCycle(state);

  const cycle = (): void => {
    if (isStopped) return;
    state.clockMs = nowMs();
    schedulePools(Infinity, nowMs());
    takeEffects(state).forEach((effect) => {
      if (effect.kind === 'start' || effect.kind === 'stop') roster.perform(effect);
      if (effect.kind === 'save') writeLater(effect.jobId);
    });
  };

  const writeLater = (jobId: JobId): void => {
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

  const poke = (): void => {
    if (isPoked) return;
    isPoked = true;
    setImmediate(() => {
      isPoked = false;
      cycle();
    });
  };

  /** Ends are acknowledged once they are written, as far as they were applied when that began. */
  const wantSave = (): void => {
    if (isSavePlanned) return;
    isSavePlanned = true;
    setTimeout(() => {
      isSavePlanned = false;
      setTimeout(roster.mark(), saveMs);
    }, SAVE_AFTER_MS);
  };

  const roster = createEndpointRoster({
    state,
    feed: { next: () => new Promise(() => {}) },
    linkContext: {
      state,
      orders,
      linkDelay: createSharedDelayEstimator(),
      window: createOrderWindow(),
      endpointLeaseMs: ENDPOINT_LEASE_MS,
      log: SILENT_LOG,
      metrics: createMetrics(),
      nowMs,
      mayOrder: () => !isStopped,
      mayStartIn: () => true,
      poke,
      wantSave,
      onFenceLost: () => {
        if (!hasSuccessor) breaks('the fence was lost');
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
    const taken = addJob(state, { job, policy: POLICY, nowMs: nowMs(), wallClockMs: Date.now() });
    jobs.push(taken);
    poke();
    return taken;
  };

  const stopOne = (pick: number): void => {
    const running = Array.from(state.endpoints.values()).flatMap((endpoint) =>
      Array.from(endpoint.runs.values(), (run) => ({ endpoint, run })),
    );
    const chosen = running[pick % Math.max(1, running.length)];
    if (chosen) stopRun(state, chosen.endpoint, chosen.run, 'moved');
    cycle();
  };

  /** An endpoint dies with all that runs there; another life comes up at its address. */
  const crash = (pick: number, backAfterMs: number): void => {
    const living = Array.from(endpoints.values()).filter(({ model }) => model.isUp());
    const struck = living[pick % Math.max(1, living.length)];
    if (!struck) return;
    struck.model.crash();
    setTimeout(() => {
      if (isStopped) return;
      struck.isReplaced = true;
      roster.take({ seen: [addEndpoint(struck.model.capacity.cpuMillis / 1000)], gone: [] });
    }, backAfterMs);
  };

  /** Cuts an endpoint off from the holder. */
  const cut = (pick: number, forMs: number, isHeldUp: boolean): void => {
    const living = Array.from(endpoints.values()).filter(({ model }) => model.isUp());
    const struck = living[pick % Math.max(1, living.length)];
    if (struck) Object.assign(struck, { cutUntilMs: nowMs() + forMs, isHeldUp });
  };

  /**
   * Another holder asks the endpoints from now on, each after a time of its own, and acknowledges what
   * it hears at once. This holder can no longer be sure to be the only one; nobody tells it more.
   */
  const succeed = (afterMs: readonly number[]): void => {
    state.soleHolderUntilMs = nowMs();
    Array.from(endpoints.values()).forEach(({ model, lease }, index) => {
      let acknowledged = 0;
      const ask = async (): Promise<void> => {
        if (isDone || !model.isUp()) return;
        const keepUntilMs = 1000 + (nowMs() - bornAtMs) * clockRate + ENDPOINT_LEASE_MS;
        lease.note(keepUntilMs);
        const order = { fence: FENCE + 1, acknowledged, keepUntilMs, waitMs: 0 };
        const answer = await model.list(order);
        if (answer.isOk())
          acknowledged = Math.max(acknowledged, ...answer.value.ended.map(numberOf));
        setTimeout(() => {
          void ask();
        }, SUCCESSOR_ASKS_MS);
      };
      setTimeout(() => {
        void ask();
      }, afterMs[index] ?? 0);
    });
  };

  const timer = setInterval(() => {
    state.recurringJobs.forEach((job) => startDueOccurrences(state, job, nowMs(), Date.now()));
    handleStalledAndLapsedRuns(state, nowMs());
    cycle();
  }, TICK_MS);

  const seen = rooms.map(addEndpoint);
  before(Array.from(endpoints.values(), ({ model }) => model));
  setTimeout(() => roster.take({ seen, gone: [] }), meetsAfterMs);

  return {
    state,
    jobs,
    endpoints,
    broken,
    starts,
    submit,
    /** Has a run stopped, wherever it is. */
    stopOne,
    crash,
    cut,
    succeed,
    /** Has the next order of a kind meet this fate, after those that are planned. */
    plan: (kind: OrderKind, ...more: readonly Fate[]): void => {
      left[kind].push(...more);
    },
    /** Orders that are sent from now on are sound, and nothing is cut. */
    calm: (): void => {
      Object.values(left).forEach((planned) => planned.splice(0));
      endpoints.forEach((endpoint) => Object.assign(endpoint, { cutUntilMs: 0 }));
    },
    /** The names of the jobs that have not ended. */
    open: (): readonly string[] =>
      jobs.filter(({ phase }) => !isFinal(phase)).map(({ job }) => job.jobId),
    stop: (): void => {
      isStopped = true;
      isDone = true;
      clearInterval(timer);
      roster.close();
    },
  };
};

export type HeldWorld = ReturnType<typeof createHeldWorld>;
