/**
 * A model of an endpoint: leases by its own clock, fences, ends that wait to be acknowledged. Tests
 * in virtual time and the stand-in with real processes run the same one.
 */
import { Err, Ok, type Result } from 'ts-results-es';

import type { EndpointId, HostId, InstanceId, PoolName } from '../../shared/ids.js';
import { lifeOf } from '../model/endpoint-life.js';
import type { TaskKey } from '../model/job.js';
import type {
  EndpointClock,
  ListOrder,
  OrderError,
  StartOrder,
  StopOrder,
} from '../model/orders.js';
import type { EndKind, EndpointReport, EndReport, RunningReport } from './reports.js';
import type { Capacity } from '../model/state.js';

/** What a task needs, as the simulated endpoint is told by the simulated fleet. */
export type ModelTask = {
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly runMs: number;
  readonly isLasting: boolean;
  /** How long a lasting task takes to be at work; `START_MS` if left out. */
  readonly startMs?: number | undefined;
  readonly fails: boolean;
  /** It takes the endpoint down so long after its start; undefined for one that does not. */
  readonly crashesAfterMs?: number | undefined;
  /** What a start must show; undefined where none is needed. */
  readonly ticket?: string | undefined;
};

type ModelRun = {
  readonly task: TaskKey;
  readonly run: number;
  readonly needs: ModelTask;
  readonly startedAtMs: number;
  isStopping: boolean;
  timer: NodeJS.Timeout | undefined;
};

/** Told of all that happens on endpoints, to check what must always hold. */
export type EndpointObserver = {
  readonly onStart: (endpoint: EndpointModel, task: TaskKey, run: number) => void;
  readonly onEnd: (
    endpoint: EndpointModel,
    task: TaskKey,
    run: number,
    kind: EndKind | 'died',
  ) => void;
  readonly onAcknowledged: (end: EndReport) => void;
  /** A task takes the endpoint down; whoever built it ends its life. */
  readonly onCrash?: (endpoint: EndpointModel, task: TaskKey) => void;
  readonly needsOf: (task: TaskKey) => ModelTask;
};

export type EndpointModel = {
  readonly instanceId: InstanceId;
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly capacity: Capacity;
  /** When this life began, by the time of day. */
  readonly bornAtMs: number;
  /** The name of this life. */
  readonly endpointId: EndpointId;
  readonly isUp: () => boolean;
  readonly runs: ReadonlyMap<TaskKey, Readonly<Omit<ModelRun, 'timer'>>>;
  readonly list: (
    order: ListOrder,
  ) => Promise<
    Result<EndpointClock & Pick<EndpointReport, 'running' | 'ended' | 'hasMoreEnds'>, OrderError>
  >;
  readonly start: (order: StartOrder) => Result<EndpointClock, OrderError>;
  readonly stop: (order: StopOrder) => Result<EndpointClock, OrderError>;
  /** All that runs here dies, nothing is reported any more. */
  readonly die: () => void;
  /** Tasks stand still or fail from now on. */
  mood: 'sound' | 'hangs' | 'fails';
};

const STOP_MS = 300;
const START_MS = 200;
const ENDS_PER_ANSWER = 500;
const LONGEST_LEASE_MS = 10_000;

const refuse = (reason: OrderError['reason']): Err<OrderError> =>
  Err({ verdict: 'notRun', reason, detail: `the endpoint said ${reason}` });

export type EndpointModelOptions = {
  readonly instanceId: InstanceId;
  readonly hostId: HostId;
  readonly pool: PoolName;
  readonly capacity: Capacity;
  /** How fast its clock runs: 0.98 is 2 % slow. */
  readonly clockRate: number;
  readonly observer: EndpointObserver;
  /** The most ends that it lists at once. */
  readonly endsPerAnswer?: number;
  /** A longer lease is cut to this. */
  readonly longestLeaseMs?: number;
};

/**
 * Builds an endpoint.
 *
 * @param options - Its names, room and clock.
 * @returns The endpoint.
 */
export const createEndpointModel = ({
  instanceId,
  hostId,
  pool,
  capacity,
  clockRate,
  observer,
  endsPerAnswer = ENDS_PER_ANSWER,
  longestLeaseMs = LONGEST_LEASE_MS,
}: EndpointModelOptions): EndpointModel => {
  const clockBeganAtMs = performance.now();
  const bornAtMs = Math.floor(Date.now());
  const runs = new Map<TaskKey, ModelRun>();
  const highestEnded = new Map<TaskKey, number>();
  let ends: EndReport[] = [];
  let lastNumber = 0;
  let fence = 0;
  let untilMs = 0;
  let isUp = true;
  let leaseTimer: NodeJS.Timeout | undefined;
  const waiters = new Set<() => void>();

  const clockMs = (): number => 1000 + (performance.now() - clockBeganAtMs) * clockRate;

  const finish = (run: ModelRun, kind: EndKind): void => {
    if (!isUp || runs.get(run.task) !== run) return;
    clearTimeout(run.timer);
    runs.delete(run.task);
    highestEnded.set(run.task, Math.max(run.run, highestEnded.get(run.task) ?? 0));
    lastNumber += 1;
    ends.push({ number: lastNumber, task: run.task, run: run.run, kind, checkpoint: '' });
    observer.onEnd(self, run.task, run.run, kind);
    waiters.forEach((wake) => wake());
  };

  const lapse = (): void => {
    if (clockMs() < untilMs) {
      planLapse();
      return;
    }
    Array.from(runs.values()).forEach((run) => finish(run, 'lapsed'));
  };

  const planLapse = (): void => {
    clearTimeout(leaseTimer);
    leaseTimer = setTimeout(lapse, Math.max(1, (untilMs - clockMs()) / clockRate));
  };

  const keep = (wantedMs: number | undefined): void => {
    const grantedMs = Math.min(wantedMs ?? 0, clockMs() + longestLeaseMs);
    if (grantedMs <= untilMs) return;
    untilMs = grantedMs;
    planLapse();
  };

  const checkFence = (given: number): boolean => {
    if (given < fence) return false;
    fence = given;
    return true;
  };

  const used = () =>
    Array.from(runs.values()).reduce(
      (sum, { needs }) => ({
        cpuMillis: sum.cpuMillis + needs.cpuMillis,
        memoryMb: sum.memoryMb + needs.memoryMb,
      }),
      { cpuMillis: 0, memoryMb: 0 },
    );

  const percentOf = ({ startedAtMs, needs, isStopping }: ModelRun): number => {
    const ranMs = performance.now() - startedAtMs;
    if (self.mood === 'hangs' || isStopping) return 0;
    const wholeMs = needs.isLasting ? (needs.startMs ?? START_MS) : needs.runMs;
    return Math.min(needs.isLasting ? 100 : 99, Math.floor((ranMs / wholeMs) * 100));
  };

  const start: EndpointModel['start'] = ({ task, run, keepUntilMs, fence: given, ticket }) => {
    if (!checkFence(given)) return refuse('fence');
    if (keepUntilMs <= clockMs()) return refuse('late');
    keep(keepUntilMs);
    if (runs.get(task)?.run === run) return Ok({ clockMs: clockMs() });
    if (run <= (highestEnded.get(task) ?? 0) || runs.has(task)) return refuse('old');
    const needs = observer.needsOf(task);
    if (needs.ticket !== undefined && needs.ticket !== ticket) return refuse('ticket');
    const room = used();
    if (
      room.cpuMillis + needs.cpuMillis > capacity.cpuMillis ||
      room.memoryMb + needs.memoryMb > capacity.memoryMb
    ) {
      return refuse('room');
    }
    const begun: ModelRun = {
      task,
      run,
      needs,
      startedAtMs: performance.now(),
      isStopping: false,
      timer: undefined,
    };
    runs.set(task, begun);
    observer.onStart(self, task, run);
    if (needs.crashesAfterMs !== undefined) {
      begun.timer = setTimeout(() => observer.onCrash?.(self, task), needs.crashesAfterMs);
      return Ok({ clockMs: clockMs() });
    }
    const fails = needs.fails || self.mood === 'fails';
    if (self.mood !== 'hangs' && (!needs.isLasting || fails)) {
      begun.timer = setTimeout(() => finish(begun, fails ? 'failed' : 'done'), needs.runMs);
    }
    return Ok({ clockMs: clockMs() });
  };

  const stop: EndpointModel['stop'] = ({ task, run, fence: given }) => {
    if (!checkFence(given)) return refuse('fence');
    const known = runs.get(task);
    if (known && known.run <= run && !known.isStopping) {
      known.isStopping = true;
      clearTimeout(known.timer);
      known.timer = setTimeout(() => finish(known, 'stopped'), STOP_MS);
    }
    highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
    return Ok({ clockMs: clockMs() });
  };

  const list: EndpointModel['list'] = async ({
    fence: given,
    acknowledged,
    keepUntilMs,
    waitMs,
  }) => {
    if (!checkFence(given)) return refuse('fence');
    ends.filter(({ number }) => number <= acknowledged).forEach(observer.onAcknowledged);
    ends = ends.filter(({ number }) => number > acknowledged);
    keep(keepUntilMs);
    if (ends.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          waiters.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        waiters.add(wake);
      });
    }
    const running: readonly RunningReport[] = Array.from(runs.values(), (run) => ({
      task: run.task,
      run: run.run,
      checkpoint: '',
      percent: percentOf(run),
      figure: 0,
    }));
    const ended = ends.slice(0, endsPerAnswer);
    const hasMoreEnds = ended.length < ends.length;
    return Ok({ clockMs: clockMs(), running, ended, hasMoreEnds });
  };

  const self: EndpointModel = {
    instanceId,
    hostId,
    pool,
    capacity,
    bornAtMs,
    endpointId: lifeOf(instanceId, bornAtMs),
    isUp: () => isUp,
    runs,
    list,
    start,
    stop,
    die: () => {
      isUp = false;
      clearTimeout(leaseTimer);
      runs.forEach((run) => {
        clearTimeout(run.timer);
        observer.onEnd(self, run.task, run.run, 'died');
      });
      runs.clear();
    },
    mood: 'sound',
  };
  return self;
};
