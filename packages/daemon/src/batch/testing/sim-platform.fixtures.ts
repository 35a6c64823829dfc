/** The platform as one entry of a simulated fleet sees it: with cut connections, lost messages and late effects. */
import {
  instanceIdOf,
  requireSameIncarnation,
  type BatchConfiguration,
  type SimulatedEndpoint,
  type EndpointReport,
  type EndpointDescription,
  type ListedHost,
  type OrderError,
  type MaintenanceRequest,
} from '@valvelatch/core/batch';
import {
  brand,
  type DataCentreId,
  EndpointId,
  HostId,
  InstanceId,
} from '@valvelatch/core/shared/ids';
import type { PlatformError } from '@valvelatch/platform';
import { Err, Ok, type Result } from 'ts-results-es';

import type { BatchPlatform, EndpointChanges, HostOrderIssuer, TableFeed } from '../ports.js';
import {
  MAINTENANCE_MS,
  mayRunAdvised,
  MOVE_MS,
  ADVICE_TICKET,
  type SimWorld,
} from './sim-environment.fixtures.js';

/** The limits that apply to a maintenance order whose wave is unknown. */
const UNKNOWN_WAVE: Pick<MaintenanceRequest, 'maximum' | 'hosts'> = {
  maximum: Infinity,
  hosts: [],
};
const HOP_MS = 1;
/** The data centres of the simulated hosts and of their endpoints. */
export const SIM_DATA_CENTRES = [0, 1].map((index) => brand<DataCentreId>(`dc-${index}`));
const STORE_DELAY_MS = 4;
const CALL_TIMEOUT_MS = 900;
const ADVICE_DELAY_MS = 60;
const ANSWERABLE_MS = 120_000;
/** The longest endpoint lease that an order can grant, whatever time it names. */
const MAX_LEASE_MS = 10_000;

/**
 * Resolves after a time.
 *
 * @param ms - The time in ms, on the virtual clock.
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Stands for an answer that never arrives.
 *
 * @returns A promise that never settles.
 */
export const neverSettle = <Value>(): Promise<Value> => new Promise<Value>(() => {});

/** A network link of limited bandwidth: in each direction it transfers one message after the other. */
export type SimLink = {
  readonly bytesPerMs: number;
  /** For each direction a promise that resolves once all queued messages are transferred. */
  queue: { out: Promise<void>; in: Promise<void> };
};

/**
 * Creates a link with no message in flight.
 *
 * @param bytesPerMs - The bandwidth of each direction.
 * @returns The link.
 */
export const createSimLink = (bytesPerMs: number): SimLink => ({
  bytesPerMs,
  queue: { out: Promise.resolve(), in: Promise.resolve() },
});

/** The size of the request line or status line, the headers and the like of a call or an answer. */
const FRAME_BYTES = 250;
/** The size of the field names and the frame of a message between entries. */
const MESH_FRAME_BYTES = 60;

/** Fields that the adapter derives from an answer, and that are therefore not sent. */
const DERIVED_FIELDS: ReadonlySet<string> = new Set<keyof EndpointReport>(['hasMoreEnds']);

const toWire = (value: unknown): string =>
  JSON.stringify(value, (key, field) => (DERIVED_FIELDS.has(key) ? undefined : field)) ?? '';

/** What an entry can reach, and the state of its process. */
export type EntryConditions = {
  /** The entry's network link; undefined for unlimited bandwidth. */
  link?: SimLink;
  /** The bytes sent and received so far by its calls to endpoints. */
  orderBytes: { out: number; in: number };
  /** True once its process has ended. */
  isDead: boolean;
  /** True while its process is paused: it then sends nothing and handles nothing that it receives. */
  isFrozen: boolean;
  isCutFromTable: boolean;
  /** True if it reaches neither the list of hosts nor hosts with orders; isCutFromTable applies if undefined. */
  isCutFromHosts?: boolean;
  /** True if the list of endpoints does not answer it; isCutFromTable applies if undefined. */
  isCutFromEndpointList?: boolean;
  /** True if the operator's rows do not answer it; isCutFromTable applies if undefined. */
  isCutFromOperator?: boolean;
  /** True if its table calls that neighbours relay never complete, while all other mesh messages arrive. */
  isCutFromRelays?: boolean;
  /** If set, each read of its table feeds is delayed by this many ms, and works even while it is cut from the table. */
  feedMs?: number;
  /** True while the mesh between it and the other entries is cut. */
  isSilent: boolean;
  /** The endpoints that it cannot reach. */
  readonly unreachableEndpoints: Set<InstanceId>;
};

export type SimPlatformOptions = {
  readonly configuration: BatchConfiguration;
  readonly evacuateMs?: number | undefined;
};

/**
 * Creates the platform of an entry.
 *
 * @param world - The simulated table, endpoints and hosts that all entries share.
 * @param entry - What this entry can reach; read at the time of each call.
 * @param options - The operator's configuration, and the bound for evacuations if there is one.
 * @returns The platform, a function that waits until the entry runs, and one that transfers a message over the
 *   entry's link.
 */
export const createSimPlatform = (
  world: SimWorld,
  entry: EntryConditions,
  { configuration, evacuateMs }: SimPlatformOptions,
) => {
  const {
    random,
    table,
    changes,
    endpoints,
    hosts,
    faults,
    maintained,
    isListed,
    waveStatus,
    waves,
    recordViolation,
    checkBudgets,
    checkStop,
    checkEmpty,
    checkReport,
    lateOrder,
    recordListed,
    newestFence,
    restartHost,
    readAll,
    commit,
  } = world;
  const { unreachableEndpoints } = entry;

  /** Resolves once the entry's process runs: a paused one sends and handles nothing. Never resolves for an ended one. */
  const waitUntilRunning = async (): Promise<void> => {
    while (entry.isFrozen) await sleep(20);
    if (entry.isDead) await neverSettle();
  };

  /**
   * Queues a message on the link and resolves once it is transferred. A message whose caller has given up by the time
   * of its turn is not sent.
   */
  const transfer = async (
    direction: 'out' | 'in',
    bytes: number,
    hasTimedOut: () => boolean = () => false,
  ): Promise<void> => {
    const { link } = entry;
    if (!link) return;
    const transferred = link.queue[direction].then(async () => {
      if (!hasTimedOut()) await sleep(bytes / link.bytesPerMs);
    });
    link.queue[direction] = transferred;
    await transferred;
  };

  const countBytes = (direction: 'out' | 'in', bytes: number): void => {
    const { orderBytes } = entry;
    orderBytes[direction] += bytes;
  };

  const sizeOf = (value: unknown): number => FRAME_BYTES + toWire(value).length;

  const callService = async <Value>(
    isCut: () => boolean,
    call: () => Value,
  ): Promise<Result<Value, PlatformError>> => {
    await waitUntilRunning();
    await transfer('out', FRAME_BYTES);
    await sleep(STORE_DELAY_MS);
    if (isCut() || faults.isTableDown) {
      await sleep(CALL_TIMEOUT_MS);
      await waitUntilRunning();
      return Err({ kind: 'unknown', detail: 'no answer' });
    }
    const isLost = random() < faults.lostWrites;
    if (isLost && random() < 0.5) {
      setTimeout(call, 1000 + random() * 5000);
      await sleep(CALL_TIMEOUT_MS);
      return Err({ kind: 'unknown', detail: 'no answer' });
    }
    const value = call();
    await sleep(HOP_MS);
    if (entry.link) await transfer('in', sizeOf(value));
    await waitUntilRunning();
    return isLost ? Err({ kind: 'unknown', detail: 'no answer' }) : Ok(value);
  };

  const callTable = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    callService(() => entry.isCutFromTable, call);

  const callEndpointList = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    callService(() => entry.isCutFromEndpointList ?? entry.isCutFromTable, call);

  const callHosts = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    callService(() => entry.isCutFromHosts ?? entry.isCutFromTable, call);

  const noAnswer: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'no answer' };
  const otherEndpoint: OrderError = {
    verdict: 'notRun',
    reason: 'other-endpoint',
    detail: 'another endpoint has this address',
  };

  const callEndpoint = async <Value>(
    instanceId: InstanceId,
    order: unknown,
    hasTimedOut: () => boolean,
    call: (
      endpoint: SimulatedEndpoint,
    ) => Promise<Result<Value, OrderError>> | Result<Value, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Value, OrderError>> => {
    const decidedAtMs = performance.now();
    await waitUntilRunning();
    const sentAtMs = performance.now();
    // An order that was decided before the process was paused is sent as late as one that the network delayed.
    const isDelayed = sentAtMs > decidedAtMs;
    countBytes('out', sizeOf(order));
    await transfer('out', sizeOf(order), hasTimedOut);
    await sleep(HOP_MS);
    // The caller has timed out and reset the connection, which therefore delivers nothing.
    if (hasTimedOut()) return Err(noAnswer);
    const endpoint = endpoints.get(instanceId);
    if (
      !endpoint?.isUp() &&
      !unreachableEndpoints.has(instanceId) &&
      faults.replacedEndpoints.has(instanceId)
    ) {
      return Err(otherEndpoint);
    }
    if (!endpoint?.isUp() || unreachableEndpoints.has(instanceId)) {
      await sleep(timeoutMs);
      await waitUntilRunning();
      return Err(noAnswer);
    }
    if (random() < faults.lateOrders) {
      setTimeout(
        () => {
          // The order reaches whichever incarnation has the id by then.
          const current = endpoints.get(instanceId);
          if (!current?.isUp()) return;
          lateOrder.sentAtMs = sentAtMs;
          void call(current);
          lateOrder.sentAtMs = Infinity;
        },
        2000 + random() * 10_000,
      );
      await sleep(timeoutMs);
      await waitUntilRunning();
      return Err(noAnswer);
    }
    if (isDelayed) lateOrder.sentAtMs = decidedAtMs;
    const pendingAnswer = call(endpoint);
    lateOrder.sentAtMs = Infinity;
    const answer = await pendingAnswer;
    // An endpoint that crashes while a request waits there breaks the connection.
    if (!endpoint.isUp()) return Err(noAnswer);
    const answerBytes = sizeOf(answer.isOk() ? answer.value : null);
    countBytes('in', answerBytes);
    await transfer('in', answerBytes, hasTimedOut);
    await sleep(HOP_MS + random() * 2 + faults.answerMs);
    await waitUntilRunning();
    if (unreachableEndpoints.has(instanceId) || random() < faults.lostAnswers) return Err(noAnswer);
    return answer;
  };

  /**
   * Calls an endpoint with a timeout. Only over a link of limited bandwidth can an answer arrive after the timeout:
   * without one it is either lost or fast, so that no timer is needed.
   */
  const callEndpointWithTimeout = async <Value>(
    instanceId: InstanceId,
    order: unknown,
    call: (
      endpoint: SimulatedEndpoint,
    ) => Promise<Result<Value, OrderError>> | Result<Value, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Value, OrderError>> => {
    if (!entry.link) return callEndpoint(instanceId, order, () => false, call, timeoutMs);
    const timesOutAtMs = performance.now() + timeoutMs;
    const hasTimedOut = (): boolean => performance.now() >= timesOutAtMs;
    return Promise.race([
      callEndpoint(instanceId, order, hasTimedOut, call, timeoutMs),
      sleep(timeoutMs).then(() => Err(noAnswer)),
    ]);
  };

  const createTableFeed = (kind: string): TableFeed => {
    let after = -1;
    return {
      next: async () => {
        const from = after;
        const { feedMs } = entry;
        if (feedMs !== undefined) await sleep(feedMs);
        const isCut = (): boolean => feedMs === undefined && entry.isCutFromTable;
        const read = await callService(isCut, () => ({
          end: changes.length,
          rows: from < 0 ? table.scan(`${kind}/`) : changes.slice(from),
        }));
        return read.map(({ end, rows }) => {
          after = end;
          return rows.filter(({ key }) => key.startsWith(`${kind}/`));
        });
      },
    };
  };

  const locationOf = ({
    hostId,
  }: SimulatedEndpoint): Pick<EndpointDescription, 'dataCentre' | 'labels'> => {
    const host = hosts.get(hostId);
    return {
      dataCentre: host?.dataCentre ?? brand<DataCentreId>(''),
      labels: world.hasDomains ? (host?.labels ?? []) : [],
    };
  };

  const createEndpointFeed = () => {
    const reportedIds = new Set<EndpointId>();
    return {
      next: (): Promise<Result<EndpointChanges, PlatformError>> =>
        callEndpointList(() => {
          const live = Array.from(endpoints.values()).filter(isListed);
          const removed = Array.from(reportedIds).filter(
            (id) => !live.some((one) => one.endpointId === id),
          );
          removed.forEach((id) => reportedIds.delete(id));
          live.forEach(({ endpointId }) => reportedIds.add(endpointId));
          const changed = live.map((one) => ({
            ...locationOf(one),
            endpointId: one.endpointId,
            pool: one.pool,
            hostId: one.hostId,
            address: one.instanceId,
            capacity: one.capacity,
            isDraining: false,
          }));
          return { changed, removed };
        }),
    };
  };

  const orderHost = async (
    { fence }: HostOrderIssuer,
    hostId: HostId,
    checkHost: (host: ListedHost) => void,
    act: (host: ListedHost) => void,
    isDone: (host: ListedHost) => boolean,
    isRefused: (hostId: HostId) => boolean = () => false,
  ) => {
    await sleep(faults.hostOrderMs);
    const sentAtMs = performance.now();
    const result = await callHosts(() => {
      const host = hosts.get(hostId);
      if (!host || isRefused(hostId)) return 'refused' as const;
      if (isDone(host)) return 'done' as const;
      if (host.state !== 'up') return 'busy' as const;
      // No entry can prevent an order that a former holder sent and the platform delayed: the checks skip it.
      const isDelayed = performance.now() - sentAtMs > CALL_TIMEOUT_MS;
      if (!isDelayed || fence >= newestFence()) checkHost(host);
      act(host);
      return 'done' as const;
    });
    return { outcome: result.unwrapOr('unknown' as const), detail: 'simulated' };
  };

  const platform: BatchPlatform = {
    table: {
      read: (keys) => callTable(() => readAll(keys)),
      scan: (prefix) => callTable(() => table.scan(prefix)),
      transact: (transaction) =>
        callTable(() => {
          const outcome = commit(transaction);
          return outcome.kind === 'committed'
            ? outcome
            : { ...outcome, rows: transaction.checks.map(({ key }) => table.read(key)) };
        }),
      feed: createTableFeed,
    },
    operator: world.operator.createFeed({
      waitUntilRunning,
      isCut: () => faults.isTableDown || (entry.isCutFromOperator ?? entry.isCutFromTable),
      lossShare: () => faults.lostWrites,
      configuration,
    }),
    endpoints: createEndpointFeed,
    orders: {
      list: async ({ endpointId }, order, timeoutMs) => {
        const listRuns = async (one: SimulatedEndpoint) => {
          recordListed(one);
          const answer = await one.list(order);
          return answer.map((value) => ({ startedAtMs: one.startedAtMs, value }));
        };
        const totalTimeoutMs = order.waitMs + timeoutMs;
        const answer = await callEndpointWithTimeout(
          instanceIdOf(endpointId),
          order,
          listRuns,
          totalTimeoutMs,
        );
        return answer.andThen(({ startedAtMs, value }) =>
          requireSameIncarnation(endpointId, startedAtMs, value),
        );
      },
      start: ({ endpointId }, order, timeoutMs) => {
        const instanceId = instanceIdOf(endpointId);
        const { task, run } = order;
        world.startsSent.push({ instanceId, task, run, atMs: performance.now() });
        return callEndpointWithTimeout(instanceId, order, (one) => one.start(order), timeoutMs);
      },
      stop: ({ endpointId }, order, timeoutMs) =>
        callEndpointWithTimeout(
          instanceIdOf(endpointId),
          order,
          (one) => {
            checkStop(one, order.task);
            return one.stop(order);
          },
          timeoutMs,
        ),
      setPace: async () => Ok({ clockMs: 0 }),
      release: () => undefined,
    },
    hosts: {
      list: async () => {
        await waitUntilRunning();
        if (faults.hostListMs > 0) await sleep(faults.hostListMs);
        if (faults.isHostListDown) return Err({ kind: 'unknown', detail: 'no answer' });
        return callHosts(() =>
          Array.from(hosts.values()).filter(({ hostId }) => !faults.unlistedHosts.has(hostId)),
        );
      },
      move: (by, { hostId, toPool }) =>
        orderHost(
          by,
          hostId,
          checkEmpty,
          (host) => {
            hosts.set(hostId, { ...host, pool: toPool, state: 'moving' });
            restartHost({ ...host, pool: toPool, state: 'moving' }, MOVE_MS);
          },
          (host) => host.pool === toPool,
        ),
      maintain: (by, { hostId, waveNumber }) =>
        orderHost(
          by,
          hostId,
          checkBudgets,
          (host) => {
            const { maximum, hosts: inWave } = waves.get(waveNumber) ?? UNKNOWN_WAVE;
            const down = inWave.filter((id) => hosts.get(id)?.state === 'maintenance');
            if (down.length >= maximum)
              recordViolation(`${hostId} goes down beside ${down.length} others`);
            maintained.add(`${waveNumber}/${hostId}`);
            restartHost({ ...host, state: 'maintenance' }, MAINTENANCE_MS);
          },
          () => maintained.has(`${waveNumber}/${hostId}`),
          (refused) => faults.refusedHosts.has(refused),
        ),
      reportWave: (waveNumber, state) =>
        callTable(() => {
          checkReport(waveNumber, state);
          return waveStatus.set(waveNumber, state);
        }),
    },
    advice: {
      ask: async ({ endpoints: asked }) => {
        await waitUntilRunning();
        await sleep(ADVICE_DELAY_MS);
        if (random() < faults.lostAnswers) return Err({ kind: 'unknown', detail: 'no answer' });
        const good = asked
          .filter((endpointId) => mayRunAdvised(instanceIdOf(endpointId)))
          .map((endpointId) => [endpointId, ADVICE_TICKET] as const);
        return Ok({ good, validMs: 3000 });
      },
    },
    readLinkUsage: () => ({
      sentBytes: entry.orderBytes.out,
      receivedBytes: entry.orderBytes.in,
      bytesPerS: (entry.link?.bytesPerMs ?? Infinity) * 1000,
    }),
    recordMeshFrame: () => undefined,
    bounds: () => ({
      maintenanceMs: MAINTENANCE_MS,
      holderTurnMs: 3000,
      answerableMs: ANSWERABLE_MS,
      longestLeaseMs: MAX_LEASE_MS,
      ...(evacuateMs === undefined ? {} : { evacuateMs }),
    }),
    close: () => undefined,
  };

  /** Transfers a message between entries over this entry's link. */
  const transferMessage = (direction: 'out' | 'in', payload: unknown): Promise<void> =>
    transfer(direction, MESH_FRAME_BYTES + (JSON.stringify(payload) ?? '').length);

  return { platform, waitUntilRunning, transferMessage };
};
