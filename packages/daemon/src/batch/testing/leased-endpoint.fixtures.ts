/**
 * A holder and one endpoint in virtual time. The outcome of each call is given, and the end of the endpoint's lease is
 * computed independently. Whenever the lease or the holder's estimate of its end changes, their relation is checked:
 * the lease must never end after the estimate.
 */
import {
  createBatchState,
  createSimulatedEndpoint,
  createSharedDelayEstimator,
  createOrderWindow,
  instanceIdOf,
  createScheduleCycle,
  parseTaskKey,
  removeEffects,
  addJob,
  handleStalledAndLapsedRuns,
  DEFAULT_STEP,
  type BatchState,
  type SimulatedEndpoint,
  type EndedRunReport,
  type ListOrder,
  type StartOrder,
  type StepSpec,
  type TaskKey,
} from '@valvelatch/core/batch';
import { type DataCentreId, type EndpointId, type JobId, brand } from '@valvelatch/core/shared/ids';
import { Ok } from 'ts-results-es';

import { createMetrics } from '../../observe/metrics.js';
import { ENDPOINT_LEASE_MS } from '../endpoints/endpoint-link.js';
import { createEndpointRoster, type EndpointRoster } from '../endpoints/endpoint-roster.js';
import type { EndpointFeed, EndpointOrders } from '../ports.js';
import { createExpectedLease } from './expected-lease.fixtures.js';
import {
  createFaultyCalls,
  PROMPT_OUTCOME,
  type CallOutcome,
  type FaultPeriod,
  type SentOrder,
} from './faulty-calls.fixtures.js';
import { SILENT_LOG } from './silent-log.fixtures.js';
import { SIM_QUEUE_POLICY } from './sim-environment.fixtures.js';
import { sleep } from './sim-platform.fixtures.js';

export {
  PROMPT_OUTCOME,
  type CallOutcome,
  type FaultPeriod,
  type SentOrder,
} from './faulty-calls.fixtures.js';

/** How long the control lease lasts after a renewal. */
const CONTROL_LEASE_MS = 8000;
/** Time after a renewal during which no other entry can acquire the control lease. */
const SOLE_HOLDER_MS = 2400;
/** How often the holder renews the control lease. */
const RENEW_EVERY_MS = 1300;
/** Another entry takes over a control lease that has not been renewed for this long. */
export const EARLY_TAKEOVER_MS = 2600;

const TICK_MS = 100;
const FEED_INTERVAL_MS = 400;
const SAVE_DELAY_MS = 30;
const SUCCESSOR_LISTS_EVERY_MS = 300;
/** The tolerance for timers, which are rounded to whole milliseconds. */
const ROUNDING_MS = 2;

const FENCE = 2;
const ENDPOINT = brand<EndpointId>('i-1');
const POOL = 'alpha';
/** Another entry that takes over the control lease as soon as it may, and renews the endpoint's lease. */
export type Successor = {
  /** How long it waits after the time from which it may take the control lease. */
  readonly afterMs: number;
  /** For how long it renews the endpoint's lease. */
  readonly renewsForMs: number;
};

export type LeasedEndpointOptions = {
  /** The outcomes of the calls in order; starts again with the first after the last. */
  readonly outcomes?: readonly CallOutcome[];
  readonly faults?: readonly FaultPeriod[];
  /** How fast the endpoint's clock runs: 0.98 is 2 % slow. */
  readonly clockRate?: number;
  /** The entry that takes over once the control lease has not been renewed for long enough; undefined for none. */
  readonly successor?: Successor;
  readonly taskCount?: number;
  /** How long a task runs; Infinity for a long-running one. */
  readonly runMs?: number;
  /** How long after its creation the holder gets the first job. */
  readonly idleMs?: number;
  /** How long the holder assumes leases of an earlier holder to last. */
  readonly inheritedLeasesMs?: number;
};

export type LeasedEndpoint = {
  readonly state: BatchState;
  readonly model: SimulatedEndpoint;
  /** The violated invariants, with the time of each. */
  readonly violations: readonly string[];
  /** All orders that were sent, whether or not they were carried out. */
  readonly sent: readonly SentOrder[];
  /** When the holder gave runs up because it took the endpoint's lease for ended. */
  readonly gaveUpAtMs: readonly number[];
  /** Returns when the endpoint's lease ends, on the virtual clock; 0 before the first lease. */
  readonly leaseEndsAtMs: () => number;
  /** Returns when the lease ends by the holder's estimate, on the same clock; 0 while it does not know the endpoint. */
  readonly estimatedLeaseEndsAtMs: () => number;
  /** Sets whether the list of endpoints contains the endpoint. */
  readonly setListed: (isListed: boolean) => void;
  /** Sets the outcomes of the next calls in order; calls after them are carried out without delay. */
  readonly setNextOutcomes: (fates: readonly CallOutcome[]) => void;
  /** Adds a fault that begins now. */
  readonly addFault: (kind: FaultPeriod['kind'], forMs: number) => void;
  /** Submits a job whose tasks run for taskMs; Infinity for long-running tasks. */
  readonly submit: (taskCount: number, taskMs: number) => void;
  readonly close: () => void;
};

const stepOf = (taskCount: number, isLasting: boolean): StepSpec => ({
  ...DEFAULT_STEP,
  taskCount,
  isLasting,
});

/**
 * Creates a holder with one endpoint and starts the holder's term.
 *
 * @param options - The outcomes of its calls, the faults and the work.
 * @returns The holder and the endpoint, which run on the virtual clock.
 */
export const createLeasedEndpoint = ({
  outcomes = [PROMPT_OUTCOME],
  faults = [],
  clockRate = 0.98,
  successor,
  taskCount = 1,
  runMs = Infinity,
  idleMs = 0,
  inheritedLeasesMs = 0,
}: LeasedEndpointOptions = {}): LeasedEndpoint => {
  const nowMs = (): number => performance.now();
  const startedAtMs = nowMs();
  const violations: string[] = [];
  const gaveUpAtMs: number[] = [];
  const givenUp = new Set<string>();
  const doneAtMs = new Map<string, number>();
  const runMsOf = new Map<JobId, number>();
  let isClosed = false;
  let isListed = true;
  let isReplaced = false;
  let isTermOver = false;
  let renewedAtMs = startedAtMs;
  let jobCount = 0;

  const recordViolation = (text: string): void => {
    violations.push(`${Math.round(nowMs() - startedAtMs)} ms: ${text}`);
  };

  const { sent, hasFault, awake, call, setNextOutcomes, addFault } = createFaultyCalls({
    outcomes,
    faults,
    isClosed: () => isClosed,
  });
  const estimatedLeaseEndsAtMs = (): number => state.endpoints.get(ENDPOINT)?.leaseEndsAtMs ?? 0;
  const lease = createExpectedLease({
    clockRate,
    ownFence: FENCE,
    estimatedEndsAtMs: () => state.endpoints.get(ENDPOINT)?.leaseEndsAtMs,
    recordViolation,
  });

  const formatRun = (task: TaskKey, run: number): string => `${task}/${run}`;

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
        if (givenUp.has(formatRun(task, run)))
          recordViolation(`${task} run ${run} started after it was given up`);
      },
      onEnd: (_, task, run, kind) => {
        const name = formatRun(task, run);
        if (kind === 'done') doneAtMs.set(name, nowMs());
        if (kind === 'done' && givenUp.has(name))
          recordViolation(`${name} was done after it was given up`);
        const lateMs = nowMs() - lease.endsAtMs();
        if (kind === 'lapsed' && Math.abs(lateMs) > ROUNDING_MS) {
          recordViolation(`the lease ended ${lateMs} ms after the end that the test computed`);
        }
      },
      onAcknowledged: ({ task, run, kind }: EndedRunReport) => {
        const name = formatRun(task, run);
        const endedAtMs = doneAtMs.get(name) ?? 0;
        if (kind === 'done' && givenUp.has(name) && !lease.hasEndedSince(endedAtMs)) {
          recordViolation(`${name} was given up and acknowledged as done within one lease`);
        }
      },
    },
  });

  const endpointOrders = {
    list: (order: ListOrder) => {
      lease.record(order.fence, order.keepUntilMs, false);
      return model.list(order);
    },
    start: (order: StartOrder) => {
      lease.record(order.fence, order.keepUntilMs, true);
      return model.start(order);
    },
  };

  const orders: EndpointOrders = {
    list: (_, order, timeoutMs) =>
      call(
        {
          kind: 'list',
          keepUntilMs: order.keepUntilMs,
          acknowledged: order.acknowledged,
        },
        () => endpointOrders.list(order),
        order.waitMs + timeoutMs,
      ),
    start: (_, order, timeoutMs) =>
      call(
        { kind: 'start', keepUntilMs: order.keepUntilMs, acknowledged: 0 },
        () => endpointOrders.start(order),
        timeoutMs,
      ),
    stop: (_, order, timeoutMs) =>
      call(
        { kind: 'stop', keepUntilMs: undefined, acknowledged: 0 },
        () => model.stop(order),
        timeoutMs,
      ),
    setPace: async () => Ok({ clockMs: 0 }),
    release: () => undefined,
  };

  const state = createBatchState(FENCE);
  const schedulePools = createScheduleCycle(state);
  const orderWindow = createOrderWindow();

  const holdsControlLease = (): boolean => !isTermOver && nowMs() < renewedAtMs + CONTROL_LEASE_MS;

  const performEffects = (): void => {
    removeEffects(state).forEach((effect) => {
      if (effect.kind === 'start' || effect.kind === 'stop') roster.perform(effect);
    });
  };

  const cycle = (): void => {
    if (hasFault('freeze') || isClosed) return;
    state.clockMs = nowMs();
    if (holdsControlLease()) schedulePools(orderWindow.available(), nowMs());
    performEffects();
  };

  const save = async (): Promise<void> => {
    const acknowledge = roster.snapshotAppliedEnds();
    await sleep(SAVE_DELAY_MS);
    await awake();
    acknowledge();
  };

  const feed: EndpointFeed = {
    next: async () =>
      Ok(
        isListed
          ? {
              changed: [
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
              removed: [],
            }
          : { changed: [], removed: [ENDPOINT] },
      ),
  };

  const roster: EndpointRoster = createEndpointRoster({
    state,
    feed,
    linkContext: {
      state,
      orders,
      sharedDelayEstimator: createSharedDelayEstimator(),
      orderWindow,
      endpointLeaseMs: ENDPOINT_LEASE_MS,
      log: SILENT_LOG,
      metrics: createMetrics(),
      nowMs,
      isCertainlyHolder: holdsControlLease,
      isStartAllowedIn: () => true,
      requestScheduling: () => setImmediate(cycle),
      requestSave: () => {
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
    if (hasFault('table') || nowMs() < renewedAtMs + RENEW_EVERY_MS) return;
    if (isReplaced) isTermOver = true;
    else renewedAtMs = nowMs();
  };

  /** Has the holder give up the runs whose lease it takes for ended, and checks that the lease has ended. */
  const giveUpRuns = (): void => {
    const runs = Array.from(state.endpoints.get(ENDPOINT)?.runs.values() ?? []);
    const names = runs.map(({ task, run }) => formatRun(task.key, run));
    if (handleStalledAndLapsedRuns(state, nowMs()).length === 0) return;
    gaveUpAtMs.push(nowMs());
    names.forEach((name) => givenUp.add(name));
    const leftMs = lease.endsAtMs() - nowMs();
    if (leftMs > 0)
      recordViolation(`${names.join()} given up ${Math.round(leftMs)} ms before the lease ends`);
    const running = Array.from(model.runs, ([task, { run }]) => formatRun(task, run));
    names
      .filter((name) => running.includes(name))
      .forEach((name) => recordViolation(`${name} still runs after it was given up`));
  };

  const tick = (): void => {
    if (hasFault('freeze') || isTermOver) return;
    lease.checkEstimate();
    state.soleHolderUntilMs = renewedAtMs + SOLE_HOLDER_MS;
    giveUpRuns();
    cycle();
    // Last, because a holder that resumes may check leases before it learns that it was replaced.
    renew();
  };

  const runSuccessor = async ({ afterMs, renewsForMs }: Successor): Promise<void> => {
    while (!isClosed && nowMs() < renewedAtMs + EARLY_TAKEOVER_MS + afterMs) await sleep(TICK_MS);
    isReplaced = true;
    const endsAtMs = nowMs() + renewsForMs;
    while (!isClosed && nowMs() < endsAtMs) {
      const keepUntilMs = Math.floor(lease.readClockMs()) + ENDPOINT_LEASE_MS;
      void endpointOrders.list({ fence: FENCE + 1, acknowledged: 0, waitMs: 0, keepUntilMs });
      await sleep(SUCCESSOR_LISTS_EVERY_MS);
    }
  };

  const submit: LeasedEndpoint['submit'] = (count, taskMs) => {
    jobCount += 1;
    const jobId = brand<JobId>(`${jobCount}`.padStart(16, '0'));
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
      policy: SIM_QUEUE_POLICY,
      nowMs: nowMs(),
      wallClockMs: 0,
      isInherited: false,
    });
    cycle();
  };

  const follow = async (): Promise<void> => {
    await awake();
    await roster.refresh();
  };

  const timers = [setInterval(tick, TICK_MS), setInterval(follow, FEED_INTERVAL_MS)];
  void follow();
  if (successor) void runSuccessor(successor);
  setTimeout(() => submit(taskCount, runMs), idleMs);

  return {
    state,
    model,
    violations,
    sent,
    gaveUpAtMs,
    leaseEndsAtMs: lease.endsAtMs,
    estimatedLeaseEndsAtMs,
    setListed: (isNowListed) => {
      isListed = isNowListed;
    },
    setNextOutcomes,
    addFault,
    submit,
    close: () => {
      isClosed = true;
      timers.forEach((timer) => clearInterval(timer));
      roster.close();
      model.crash();
    },
  };
};
