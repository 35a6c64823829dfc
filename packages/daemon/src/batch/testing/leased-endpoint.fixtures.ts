/**
 * A holder and one endpoint in virtual time. Each call has a fate of its own, the
 * endpoint's lease is counted beside it, and what must hold between the lease and the holder's count
 * of it is checked whenever either changes.
 */
import {
  createBatchState,
  createSimulatedEndpoint,
  createSharedDelayEstimator,
  createOrderWindow,
  instanceIdOf,
  createScheduleCycle,
  parseTaskKey,
  takeEffects,
  addJob,
  handleStalledAndLapsedRuns,
  DEFAULT_STEP,
  type BatchState,
  type SimulatedEndpoint,
  type EndedRunReport,
  type ListOrder,
  type OrderError,
  type StartOrder,
  type StepSpec,
  type TaskKey,
} from '@valvelatch/core/batch';
import { type DataCentreId, type EndpointId, type JobId, brand } from '@valvelatch/core/shared/ids';
import { Err, Ok, type Result } from 'ts-results-es';

import type { Log } from '../../observe/log.js';
import { createMetrics } from '../../observe/metrics.js';
import { ENDPOINT_LEASE_MS } from '../endpoints/endpoint-link.js';
import { createEndpointRoster, type EndpointRoster } from '../endpoints/endpoint-roster.js';
import type { EndpointFeed, EndpointOrders } from '../ports.js';
import { never, sleep } from './sim-platform.fixtures.js';
import { SIM_POLICY } from './sim-world.fixtures.js';

/** A holder's control lease, and for how long after a renewal nobody else can have taken it. */
const CONTROL_LEASE_MS = 8000;
const SOLE_HOLDER_MS = 2400;
const RENEW_EVERY_MS = 1300;
/** Another entry takes a lease that was not renewed for so long. */
export const EARLY_TAKE_MS = 2600;

const TICK_MS = 100;
const FEED_MS = 400;
const SAVE_MS = 30;
const SUCCESSOR_LISTS_EVERY_MS = 300;
/** Timers are rounded to whole milliseconds. */
const ROUNDING_MS = 2;

const FENCE = 2;
const ENDPOINT = brand<EndpointId>('i-1');
const POOL = 'alpha';
/** The endpoint's clock at its birth. */
const CLOCK_BORN_MS = 1000;

/** What becomes of one call. */
export type Fate = {
  readonly kind: 'carried' | 'request-lost' | 'answer-lost' | 'carried-late';
  /** How long the request and the answer are on the network. */
  readonly toMs: number;
  readonly backMs: number;
  /** How late a request is carried out that is carried out late. */
  readonly lateMs: number;
};

/** A call that nothing delays. */
export const QUICK: Fate = { kind: 'carried', toMs: 1, backMs: 1, lateMs: 0 };

/** A time in which something is wrong. */
export type Trouble = {
  /**
   * `freeze`: the holder sends and takes in nothing. `cut`: calls to the endpoint have no answer.
   * `refuse`: connections to it are refused. `table`: the control lease is not renewed.
   */
  readonly kind: 'freeze' | 'cut' | 'refuse' | 'table';
  readonly atMs: number;
  readonly forMs: number;
};

/** Another entry that takes control once it may, and keeps what runs on the endpoint. */
export type Successor = {
  /** How long after it may take control it does. */
  readonly afterMs: number;
  /** For how long it keeps what runs there. */
  readonly forMs: number;
};

export type LeasedEndpointOptions = {
  /** Met by one call after the other, again from the first after the last. */
  readonly fates?: readonly Fate[];
  readonly troubles?: readonly Trouble[];
  /** How fast the endpoint's clock runs: 0.98 is 2 % slow. */
  readonly clockRate?: number;
  /** Takes control once the control lease has not been renewed for long enough. */
  readonly successor?: Successor;
  readonly taskCount?: number;
  /** How long a task runs; Infinity for one that lasts. */
  readonly runMs?: number;
  /** The first task is handed in after this time. */
  readonly idleMs?: number;
  /** What the holder counts for what an earlier one may have granted. */
  readonly inheritedLeasesMs?: number;
};

/** An order as it was sent to the endpoint. */
export type SeenOrder = {
  readonly kind: 'list' | 'start' | 'stop';
  readonly sentAtMs: number;
  readonly keepUntilMs: number | undefined;
  /** The end up to which it acknowledges; 0 for none. */
  readonly acknowledged: number;
};

export type LeasedEndpoint = {
  readonly state: BatchState;
  readonly model: SimulatedEndpoint;
  /** What did not hold, with its time. */
  readonly broken: readonly string[];
  /** Every order that was sent, carried out or not. */
  readonly sent: readonly SeenOrder[];
  /** When the holder gave runs up because the lease was over. */
  readonly gaveUpAtMs: readonly number[];
  /** When the endpoint's lease ends, by true time; 0 before the first. */
  readonly leaseEndsAtMs: () => number;
  /** When the holder counts it over; 0 while it does not know the endpoint. */
  readonly countedUntilMs: () => number;
  /** Sets whether the list of endpoints names it. */
  readonly list: (isListed: boolean) => void;
  /** What becomes of the next calls, one after the other; those after them go through. */
  readonly meet: (fates: readonly Fate[]) => void;
  /** Adds a time of trouble that begins now. */
  readonly strike: (kind: Trouble['kind'], forMs: number) => void;
  /** Hands a job in whose tasks run for so long; Infinity for tasks that last. */
  readonly submit: (taskCount: number, taskMs: number) => void;
  readonly close: () => void;
};

const stepOf = (taskCount: number, isLasting: boolean): StepSpec => ({
  ...DEFAULT_STEP,
  taskCount,
  isLasting,
});

const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const NO_ANSWER: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'silence' };
const REFUSED: OrderError = { verdict: 'notRun', reason: 'unreachable', detail: 'refused' };

/**
 * Builds a holder that knows one endpoint, and begins its term.
 *
 * @param options - What its calls meet, and what goes wrong when.
 * @returns The two, to be driven by the virtual clock.
 */
export const createLeasedEndpoint = ({
  fates: firstFates = [QUICK],
  troubles: planned = [],
  clockRate = 0.98,
  successor,
  taskCount = 1,
  runMs = Infinity,
  idleMs = 0,
  inheritedLeasesMs = 0,
}: LeasedEndpointOptions = {}): LeasedEndpoint => {
  const nowMs = (): number => performance.now();
  const bornAtMs = nowMs();
  const broken: string[] = [];
  const sent: SeenOrder[] = [];
  const gaveUpAtMs: number[] = [];
  const givenUp = new Set<string>();
  /** When leases ended that were followed by another. */
  const lapsedAtMs: number[] = [];
  const doneAtMs = new Map<string, number>();
  const troubles: Trouble[] = planned.map((one) => ({ ...one, atMs: bornAtMs + one.atMs }));
  const runMsOf = new Map<JobId, number>();
  let fates = firstFates;
  let isOnce = false;
  let calls = 0;
  let isClosed = false;
  let isListed = true;
  let isReplaced = false;
  let isTermOver = false;
  let renewedAtMs = bornAtMs;
  let highestFence = 0;
  let untilMs = 0;
  /** The part of it that the holder granted itself. */
  let ownUntilMs = 0;
  let toldUntilMs = 0;
  let jobs = 0;

  const breaks = (text: string): void => {
    broken.push(`${Math.round(nowMs() - bornAtMs)} ms: ${text}`);
  };

  const isIn = (kind: Trouble['kind']): boolean =>
    troubles.some(
      (one) => one.kind === kind && nowMs() >= one.atMs && nowMs() < one.atMs + one.forMs,
    );

  /** A process that does not run sends nothing and takes nothing in. */
  const awake = async (): Promise<void> => {
    while (isIn('freeze')) await sleep(7);
    if (isClosed) await never();
  };

  const endOf = (keepUntilMs: number): number =>
    bornAtMs + (keepUntilMs - CLOCK_BORN_MS) / clockRate;
  const leaseEndsAtMs = (): number => (untilMs === 0 ? 0 : endOf(untilMs));
  const countedUntilMs = (): number => state.endpoints.get(ENDPOINT)?.leaseEndsAtMs ?? 0;

  const nameOf = (task: TaskKey, run: number): string => `${task}/${run}`;

  const model = createSimulatedEndpoint({
    instanceId: instanceIdOf(ENDPOINT),
    hostId: brand('h-1'),
    pool: brand(POOL),
    capacity: { cpuMillis: 4000, memoryMb: 4000, accelerators: 0 },
    clockRate,
    observer: {
      taskOf: (task) => {
        const taskMs = runMsOf.get(parseTaskKey(task)?.jobId ?? brand('')) ?? 0;
        const isLasting = taskMs === Infinity;
        return { cpuMillis: 1000, memoryMb: 100, runMs: taskMs, isLasting, fails: false };
      },
      onStart: (_, task, run) => {
        if (givenUp.has(nameOf(task, run)))
          breaks(`${task} run ${run} began after it was given up`);
      },
      onEnd: (_, task, run, kind) => {
        const name = nameOf(task, run);
        if (kind === 'done') doneAtMs.set(name, nowMs());
        if (kind === 'done' && givenUp.has(name)) breaks(`${name} was done after it was given up`);
        const lateMs = nowMs() - leaseEndsAtMs();
        if (kind === 'lapsed' && Math.abs(lateMs) > ROUNDING_MS) {
          breaks(`the lease counted here is wrong by ${lateMs} ms`);
        }
      },
      onAcknowledged: ({ task, run, kind }: EndedRunReport) => {
        const name = nameOf(task, run);
        const endedAtMs = doneAtMs.get(name) ?? 0;
        const hasLapsed = [...lapsedAtMs, leaseEndsAtMs()].some(
          (one) => one >= endedAtMs && one <= nowMs(),
        );
        if (kind === 'done' && givenUp.has(name) && !hasLapsed) {
          breaks(`${name} was given up and noted as done within one lease`);
        }
      },
    },
  });

  /** Counts the lease as the endpoint does, before it carries the order out. */
  const noteKept = (fence: number, keepUntilMs: number | undefined, isStart: boolean): void => {
    if (fence < highestFence) return;
    highestFence = fence;
    const clockMs = CLOCK_BORN_MS + (nowMs() - bornAtMs) * clockRate;
    if (keepUntilMs === undefined || keepUntilMs <= untilMs) return;
    if (isStart && keepUntilMs <= clockMs) return;
    if (untilMs !== 0 && leaseEndsAtMs() <= nowMs()) lapsedAtMs.push(leaseEndsAtMs());
    untilMs = keepUntilMs;
    if (fence === FENCE) ownUntilMs = keepUntilMs;
    checkCount();
  };

  /** What the holder's own orders keep is never kept longer than it counts; told once for each order. */
  const checkCount = (): void => {
    const isKnown = state.endpoints.has(ENDPOINT);
    if (!isKnown || ownUntilMs === 0 || ownUntilMs === toldUntilMs) return;
    const beyondMs = endOf(ownUntilMs) - countedUntilMs();
    if (beyondMs <= 0) return;
    toldUntilMs = ownUntilMs;
    breaks(`an order keeps what runs ${Math.round(beyondMs)} ms beyond what the holder counts`);
  };

  const carriedOut = {
    list: (order: ListOrder) => {
      noteKept(order.fence, order.keepUntilMs, false);
      return model.list(order);
    },
    start: (order: StartOrder) => {
      noteKept(order.fence, order.keepUntilMs, true);
      return model.start(order);
    },
  };

  const nextFate = (): Fate => {
    const fate = fates[isOnce ? calls : calls % fates.length] ?? QUICK;
    calls += 1;
    return fate;
  };

  const call = async <Answer>(
    seen: Omit<SeenOrder, 'sentAtMs'>,
    act: () => Promise<Result<Answer, OrderError>> | Result<Answer, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Answer, OrderError>> => {
    sent.push({ ...seen, sentAtMs: nowMs() });
    await awake();
    const { kind, toMs, backMs, lateMs } = nextFate();
    const deliver = async (): Promise<Result<Answer, OrderError>> => {
      // At least one: a refusal in no time at all would be answered by the next start for ever.
      await sleep(Math.max(1, toMs));
      if (isIn('refuse')) return Err(REFUSED);
      if (kind === 'request-lost' || isIn('cut')) return never();
      if (kind === 'carried-late') {
        setTimeout(act, lateMs);
        return never();
      }
      const answer = await act();
      await sleep(backMs);
      return kind === 'answer-lost' || isIn('cut') ? never() : answer;
    };
    const answer = await Promise.race([deliver(), sleep(timeoutMs).then(() => Err(NO_ANSWER))]);
    await awake();
    return answer;
  };

  const orders: EndpointOrders = {
    list: (_, order, timeoutMs) =>
      call(
        {
          kind: 'list',
          keepUntilMs: order.keepUntilMs,
          acknowledged: order.acknowledged,
        },
        () => carriedOut.list(order),
        order.waitMs + timeoutMs,
      ),
    start: (_, order, timeoutMs) =>
      call(
        { kind: 'start', keepUntilMs: order.keepUntilMs, acknowledged: 0 },
        () => carriedOut.start(order),
        timeoutMs,
      ),
    stop: (_, order, timeoutMs) =>
      call(
        { kind: 'stop', keepUntilMs: undefined, acknowledged: 0 },
        () => model.stop(order),
        timeoutMs,
      ),
    pace: async () => Ok({ clockMs: 0 }),
    forget: () => undefined,
  };

  const state = createBatchState(FENCE);
  const schedulePools = createScheduleCycle(state);
  const window = createOrderWindow();

  const holds = (): boolean => !isTermOver && nowMs() < renewedAtMs + CONTROL_LEASE_MS;

  const perform = (): void => {
    takeEffects(state).forEach((effect) => {
      if (effect.kind === 'start' || effect.kind === 'stop') roster.perform(effect);
    });
  };

  const cycle = (): void => {
    if (isIn('freeze') || isClosed) return;
    state.clockMs = nowMs();
    if (holds()) schedulePools(window.available(), nowMs());
    perform();
  };

  const save = async (): Promise<void> => {
    const acknowledge = roster.mark();
    await sleep(SAVE_MS);
    await awake();
    acknowledge();
  };

  const feed: EndpointFeed = {
    next: async () =>
      Ok(
        isListed
          ? {
              seen: [
                {
                  endpointId: ENDPOINT,
                  pool: brand(POOL),
                  hostId: null,
                  address: ENDPOINT,
                  dataCentre: brand<DataCentreId>('dc'),
                  labels: [],
                  capacity: model.capacity,
                  isDraining: false,
                },
              ],
              gone: [],
            }
          : { seen: [], gone: [ENDPOINT] },
      ),
  };

  const roster: EndpointRoster = createEndpointRoster({
    state,
    feed,
    linkContext: {
      state,
      orders,
      linkDelay: createSharedDelayEstimator(),
      window,
      endpointLeaseMs: ENDPOINT_LEASE_MS,
      log: SILENT_LOG,
      metrics: createMetrics(),
      nowMs,
      mayOrder: holds,
      mayStartIn: () => true,
      poke: () => setImmediate(cycle),
      wantSave: () => {
        void save();
      },
      onFenceLost: () => {
        isTermOver = true;
      },
    },
    inheritedLeasesMs,
    isStopped: () => isClosed || isTermOver,
  });

  const renew = (): void => {
    if (isIn('table') || nowMs() < renewedAtMs + RENEW_EVERY_MS) return;
    if (isReplaced) isTermOver = true;
    else renewedAtMs = nowMs();
  };

  /** Gives up what the holder takes for ended, and checks that it is. */
  const giveUp = (): void => {
    const runs = Array.from(state.endpoints.get(ENDPOINT)?.runs.values() ?? []);
    const names = runs.map(({ task, run }) => nameOf(task.key, run));
    if (handleStalledAndLapsedRuns(state, nowMs()).length === 0) return;
    gaveUpAtMs.push(nowMs());
    names.forEach((name) => givenUp.add(name));
    const leftMs = leaseEndsAtMs() - nowMs();
    if (leftMs > 0)
      breaks(`${names.join()} given up ${Math.round(leftMs)} ms before the lease ends`);
    const running = Array.from(model.runs, ([task, { run }]) => nameOf(task, run));
    names.filter((name) => running.includes(name)).forEach((name) => breaks(`${name} runs on`));
  };

  const tick = (): void => {
    if (isIn('freeze') || isTermOver) return;
    checkCount();
    state.soleHolderUntilMs = renewedAtMs + SOLE_HOLDER_MS;
    giveUp();
    cycle();
    // Last: a holder that wakes may look at leases before it hears that it was replaced.
    renew();
  };

  const succeed = async ({ afterMs, forMs }: Successor): Promise<void> => {
    while (!isClosed && nowMs() < renewedAtMs + EARLY_TAKE_MS + afterMs) await sleep(TICK_MS);
    isReplaced = true;
    const endsAtMs = nowMs() + forMs;
    while (!isClosed && nowMs() < endsAtMs) {
      const clockMs = CLOCK_BORN_MS + (nowMs() - bornAtMs) * clockRate;
      const keepUntilMs = Math.floor(clockMs) + ENDPOINT_LEASE_MS;
      void carriedOut.list({ fence: FENCE + 1, acknowledged: 0, waitMs: 0, keepUntilMs });
      await sleep(SUCCESSOR_LISTS_EVERY_MS);
    }
  };

  const submit: LeasedEndpoint['submit'] = (count, taskMs) => {
    jobs += 1;
    const jobId = brand<JobId>(`${jobs}`.padStart(16, '0'));
    runMsOf.set(jobId, taskMs);
    addJob(state, {
      job: {
        jobId,
        queue: brand('q'),
        pool: brand(POOL),
        spec: '',
        steps: [stepOf(count, taskMs === Infinity)],
        repeats: 0,
        firstDueAtMs: 0,
        intervalMs: 0,
        acceptedAtMs: 0,
      },
      policy: SIM_POLICY,
      nowMs: nowMs(),
      wallClockMs: 0,
      isInherited: false,
    });
    cycle();
  };

  const follow = async (): Promise<void> => {
    await awake();
    await roster.follow();
  };

  const timers = [setInterval(tick, TICK_MS), setInterval(follow, FEED_MS)];
  void follow();
  if (successor) void succeed(successor);
  setTimeout(() => submit(taskCount, runMs), idleMs);

  return {
    state,
    model,
    broken,
    sent,
    gaveUpAtMs,
    leaseEndsAtMs,
    countedUntilMs,
    list: (now) => {
      isListed = now;
    },
    meet: (next) => {
      fates = next;
      calls = 0;
      isOnce = true;
    },
    strike: (kind, forMs) => {
      troubles.push({ kind, atMs: nowMs(), forMs });
    },
    submit,
    close: () => {
      isClosed = true;
      timers.forEach((timer) => clearInterval(timer));
      roster.close();
      model.crash();
    },
  };
};
