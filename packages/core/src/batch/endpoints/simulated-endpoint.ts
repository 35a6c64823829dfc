/**
 * A simulated endpoint with leases measured by its own clock, fencing, and ended runs that are reported until they
 * are acknowledged. Tests in virtual time and the stand-in with real processes both use it.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import type { EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { endpointIdOf } from '../model/endpoint-incarnation.js';
import type { TaskKey } from '../model/job.js';
import type {
  EndpointClock,
  ListOrder,
  OrderError,
  StartOrder,
  StopOrder,
} from '../model/orders.js';
import type {
  RunEndKind,
  EndpointLists,
  EndedRunReport,
  RunningReport,
} from './endpoint-report.js';
import type { Capacity } from '../model/state.js';

/** Properties of a task in the simulation. */
export type SimulatedTask = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly runMs: number;
  readonly isLasting: boolean;
  /** How long a long-running task takes to become ready; `DEFAULT_START_MS` if undefined. */
  readonly startMs?: number | undefined;
  readonly fails: boolean;
  /** How long after its start the task crashes the endpoint; undefined if it doesn't crash it. */
  readonly crashesAfterMs?: number | undefined;
  /** The ticket that a start order must contain; undefined if none is required. */
  readonly ticket?: string | undefined;
};

type SimulatedRun = {
  readonly task: TaskKey;
  readonly run: number;
  readonly needs: SimulatedTask;
  readonly startedAtMs: number;
  isStopping: boolean;
  timer: NodeJS.Timeout | undefined;
};

/** Receives all events of simulated endpoints, to check invariants. */
export type EndpointObserver = {
  readonly onStart: (endpoint: SimulatedEndpoint, task: TaskKey, run: number) => void;
  readonly onEnd: (
    endpoint: SimulatedEndpoint,
    task: TaskKey,
    run: number,
    kind: RunEndKind | 'died',
  ) => void;
  readonly onAcknowledged: (end: EndedRunReport) => void;
  /** Called when a task crashes the endpoint; the creator of the endpoint then calls `crash`. */
  readonly onCrash?: (endpoint: SimulatedEndpoint, task: TaskKey) => void;
  readonly taskOf: (task: TaskKey) => SimulatedTask;
};

export type SimulatedEndpoint = {
  readonly instanceId: InstanceId;
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly capacity: Capacity;
  /** When this incarnation started, in wall-clock time. */
  readonly startedAtMs: number;
  /** The id of this incarnation. */
  readonly endpointId: EndpointId;
  readonly isUp: () => boolean;
  readonly runs: ReadonlyMap<TaskKey, Readonly<Omit<SimulatedRun, 'timer'>>>;
  readonly list: (order: ListOrder) => Promise<Result<EndpointClock & EndpointLists, OrderError>>;
  readonly start: (order: StartOrder) => Result<EndpointClock, OrderError>;
  readonly stop: (order: StopOrder) => Result<EndpointClock, OrderError>;
  /** Kills all runs; nothing is reported afterwards. */
  readonly crash: () => void;
  /** `hangs`: tasks make no progress. `fails`: tasks that start from now on fail. */
  faultMode: 'sound' | 'hangs' | 'fails';
};

const STOP_DURATION_MS = 300;
const DEFAULT_START_MS = 200;
const DEFAULT_ENDS_PER_RESPONSE = 500;
const DEFAULT_MAX_LEASE_MS = 10_000;

const refuse = (reason: OrderError['reason']): Err<OrderError> =>
  Err({ verdict: 'notRun', reason, detail: `the endpoint said ${reason}` });

export type SimulatedEndpointOptions = {
  readonly instanceId: InstanceId;
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly capacity: Capacity;
  /** Speed of the endpoint's clock relative to real time: 0.98 is 2 % slow. */
  readonly clockRate: number;
  readonly observer: EndpointObserver;
  /** Maximum number of ended runs in one list response. */
  readonly endsPerAnswer?: number;
  /** Maximum length of a lease; longer ones are shortened to it. */
  readonly longestLeaseMs?: number;
};

/**
 * Creates a simulated endpoint.
 *
 * @param options - Its ids, capacity and clock.
 * @returns The endpoint.
 */
export const createSimulatedEndpoint = ({
  instanceId,
  hostId,
  pool,
  capacity,
  clockRate,
  observer,
  endsPerAnswer = DEFAULT_ENDS_PER_RESPONSE,
  longestLeaseMs = DEFAULT_MAX_LEASE_MS,
}: SimulatedEndpointOptions): SimulatedEndpoint => {
  const clockStartedAtMs = performance.now();
  const bornAtMs = Math.floor(Date.now());
  const runs = new Map<TaskKey, SimulatedRun>();
  const highestEndedRun = new Map<TaskKey, number>();
  let unacknowledgedEnds: EndedRunReport[] = [];
  let lastEndNumber = 0;
  let fence = 0;
  let leaseEndsAtMs = 0;
  let isUp = true;
  let leaseTimer: NodeJS.Timeout | undefined;
  const wakeCallbacks = new Set<() => void>();

  const clockMs = (): number => 1000 + (performance.now() - clockStartedAtMs) * clockRate;

  const finish = (run: SimulatedRun, kind: RunEndKind): void => {
    if (!isUp || runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    runs.delete(run.task);
    highestEndedRun.set(run.task, Math.max(run.run, highestEndedRun.get(run.task) ?? 0));
    lastEndNumber += 1;
    unacknowledgedEnds.push({
      number: lastEndNumber,
      task: run.task,
      run: run.run,
      kind,
      checkpoint: '',
    });
    observer.onEnd(self, run.task, run.run, kind);
    wakeCallbacks.forEach((wake) => wake());
  };

  const checkLeaseExpiry = (): void => {
    if (clockMs() < leaseEndsAtMs) {
      scheduleLeaseCheck();
      return;
    }
    Array.from(runs.values()).forEach((run) => finish(run, 'lapsed'));
  };

  const scheduleLeaseCheck = (): void => {
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(checkLeaseExpiry, Math.max(1, (leaseEndsAtMs - clockMs()) / clockRate));
  };

  const extendLease = (requestedMs: number | undefined): void => {
    const grantedMs = Math.min(requestedMs ?? 0, clockMs() + longestLeaseMs);
    if (grantedMs <= leaseEndsAtMs) return;
    leaseEndsAtMs = grantedMs;
    scheduleLeaseCheck();
  };

  const acceptFence = (orderFence: number): boolean => {
    if (orderFence < fence) return false;
    fence = orderFence;
    return true;
  };

  const usedCapacity = () =>
    Array.from(runs.values()).reduce(
      (sum, { needs }) => ({
        cpuMillis: sum.cpuMillis + needs.cpuMillis,
        memoryMb: sum.memoryMb + needs.memoryMb,
      }),
      { cpuMillis: 0, memoryMb: 0 },
    );

  const progressOf = ({ startedAtMs, needs, isStopping }: SimulatedRun): number => {
    const ranMs = performance.now() - startedAtMs;
    if (self.faultMode === 'hangs' || isStopping) return 0;
    const totalMs = needs.isLasting ? (needs.startMs ?? DEFAULT_START_MS) : needs.runMs;
    return Math.min(needs.isLasting ? 100 : 99, Math.floor((ranMs / totalMs) * 100));
  };

  const start: SimulatedEndpoint['start'] = ({
    task,
    run,
    keepUntilMs,
    fence: orderFence,
    ticket,
  }) => {
    if (!acceptFence(orderFence)) return refuse('fence');
    if (keepUntilMs <= clockMs()) return refuse('late');
    extendLease(keepUntilMs);
    if (runs.get(task)?.run === run) return Ok({ clockMs: clockMs() });
    if (run <= (highestEndedRun.get(task) ?? 0) || runs.has(task)) return refuse('old');
    const needs = observer.taskOf(task);
    if (needs.ticket !== undefined && needs.ticket !== ticket) return refuse('ticket');
    const used = usedCapacity();
    if (
      used.cpuMillis + needs.cpuMillis > capacity.cpuMillis ||
      used.memoryMb + needs.memoryMb > capacity.memoryMb
    ) {
      return refuse('room');
    }
    const newRun: SimulatedRun = {
      task,
      run,
      needs,
      startedAtMs: performance.now(),
      isStopping: false,
      timer: undefined,
    };
    runs.set(task, newRun);
    observer.onStart(self, task, run);
    if (needs.crashesAfterMs !== undefined) {
      newRun.timer = setTimeout(() => observer.onCrash?.(self, task), needs.crashesAfterMs);
      return Ok({ clockMs: clockMs() });
    }
    const fails = needs.fails || self.faultMode === 'fails';
    if (self.faultMode !== 'hangs' && (!needs.isLasting || fails)) {
      newRun.timer = setTimeout(() => finish(newRun, fails ? 'failed' : 'done'), needs.runMs);
    }
    return Ok({ clockMs: clockMs() });
  };

  const stop: SimulatedEndpoint['stop'] = ({ task, run, fence: orderFence }) => {
    if (!acceptFence(orderFence)) return refuse('fence');
    const existingRun = runs.get(task);
    if (existingRun && existingRun.run <= run && !existingRun.isStopping) {
      existingRun.isStopping = true;
      clearTimeout(existingRun.timer);
      existingRun.timer = setTimeout(() => finish(existingRun, 'stopped'), STOP_DURATION_MS);
    }
    highestEndedRun.set(task, Math.max(run, highestEndedRun.get(task) ?? 0));
    return Ok({ clockMs: clockMs() });
  };

  const list: SimulatedEndpoint['list'] = async ({
    fence: orderFence,
    acknowledged,
    keepUntilMs,
    waitMs,
  }) => {
    if (!acceptFence(orderFence)) return refuse('fence');
    unacknowledgedEnds
      .filter(({ number }) => number <= acknowledged)
      .forEach(observer.onAcknowledged);
    unacknowledgedEnds = unacknowledgedEnds.filter(({ number }) => number > acknowledged);
    extendLease(keepUntilMs);
    if (unacknowledgedEnds.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          wakeCallbacks.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        wakeCallbacks.add(wake);
      });
    }
    const running: readonly RunningReport[] = Array.from(runs.values(), (run) => ({
      task: run.task,
      run: run.run,
      checkpoint: '',
      percent: progressOf(run),
      figure: 0,
    }));
    const ended = unacknowledgedEnds.slice(0, endsPerAnswer);
    const hasMoreEnds = ended.length < unacknowledgedEnds.length;
    return Ok({ clockMs: clockMs(), running, ended, hasMoreEnds });
  };

  const self: SimulatedEndpoint = {
    instanceId,
    hostId,
    pool,
    capacity,
    startedAtMs: bornAtMs,
    endpointId: endpointIdOf(instanceId, bornAtMs),
    isUp: () => isUp,
    runs,
    list,
    start,
    stop,
    crash: () => {
      isUp = false;
      clearTimeout(leaseTimer);
      runs.forEach((run) => {
        clearTimeout(run.timer);
        observer.onEnd(self, run.task, run.run, 'died');
      });
      runs.clear();
    },
    faultMode: 'sound',
  };
  return self;
};
