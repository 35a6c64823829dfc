/** The platform as one entry of a simulated fleet meets it: with cuts, losses and late effects. */
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

import type { BatchPlatform, EndpointNews, HostOrderer, TableFeed } from '../ports.js';
import {
  MAINTENANCE_MS,
  mayRunAdvised,
  MOVE_MS,
  TICKET,
  type SimWorld,
} from './sim-world.fixtures.js';

/** What bounds an order for a wave that nobody has ordered. */
const SIM_NO_WAVE: Pick<MaintenanceRequest, 'maximum' | 'hosts'> = { maximum: Infinity, hosts: [] };
const HOP_MS = 1;
/** Where hosts are, and with them their endpoints. */
export const SIM_DATA_CENTRES = [0, 1].map((index) => brand<DataCentreId>(`dc-${index}`));
const STORE_MS = 4;
const CALL_TIMEOUT_MS = 900;
const ADVICE_MS = 60;
const ANSWERABLE_MS = 120_000;
/** No order keeps anything for longer, whatever time it names. */
const LONGEST_LEASE_MS = 10_000;

/**
 * Waits.
 *
 * @param ms - For how long, in virtual time.
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Waits for what never comes.
 *
 * @returns A promise that stays open.
 */
export const never = <Value>(): Promise<Value> => new Promise<Value>(() => {});

/** A link that queues: each direction carries one message after the other. */
export type SimLink = {
  readonly bytesPerMs: number;
  /** Resolves once all that was queued has passed. */
  queue: { out: Promise<void>; in: Promise<void> };
};

/**
 * Builds a link with nothing under way.
 *
 * @param bytesPerMs - What each direction carries.
 * @returns The link.
 */
export const createSimLink = (bytesPerMs: number): SimLink => ({
  bytesPerMs,
  queue: { out: Promise.resolve(), in: Promise.resolve() },
});

/** Request line, headers and their kin of a call or an answer. */
const FRAME_BYTES = 250;
/** Names of fields and the frame of a message between entries. */
const MESH_FRAME_BYTES = 60;

/** What an adapter works out of an answer is not on the wire. */
const WORKED_OUT: ReadonlySet<string> = new Set<keyof EndpointReport>(['hasMoreEnds']);

const toWire = (value: unknown): string =>
  JSON.stringify(value, (key, field) => (WORKED_OUT.has(key) ? undefined : field)) ?? '';

/** What an entry can reach, and whether it runs. */
export type SimReach = {
  /** Without a limit if left out. */
  link?: SimLink;
  /** What its calls to endpoints have put on the link. */
  orderBytes: { out: number; in: number };
  isDead: boolean;
  isFrozen: boolean;
  isCutFromTable: boolean;
  /** Whether it is cut from the list of hosts and from orders to them; as from the table if left out. */
  isCutFromHosts?: boolean;
  /** Whether the list of endpoints does not answer it; as the table if left out. */
  isCutFromEndpointList?: boolean;
  /** Whether the operator's rows do not answer it; as the table if left out. */
  isCutFromOperator?: boolean;
  /** Its calls of the table through neighbours hang, while all else on the mesh goes through. */
  isCutFromRelays?: boolean;
  /** Its questions about rows that changed are carried out so late, whatever it is cut from. */
  feedMs?: number;
  /** The mesh between it and the other entries is cut. */
  isSilent: boolean;
  /** Endpoints that it cannot reach. */
  readonly cutFrom: Set<InstanceId>;
};

export type SimPlatformOptions = {
  readonly configuration: BatchConfiguration;
  readonly evacuateMs?: number | undefined;
};

/**
 * Builds the platform of an entry.
 *
 * @param world - What all entries work on.
 * @param entry - What this one reaches, at the time of each call.
 * @param options - The configuration that the operator has ordered, and the bound for evacuations if there is one.
 * @returns The platform, a way to wait until the entry runs, and its link for messages.
 */
export const createSimPlatform = (
  world: SimWorld,
  entry: SimReach,
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
    breaks,
    checkBudgets,
    checkStop,
    checkEmpty,
    checkReport,
    lateOrder,
    noteAsked,
    newestFence,
    relive,
    readAll,
    commit,
  } = world;
  const { cutFrom } = entry;

  /** A process that does not run sends nothing and takes nothing in. */
  const awake = async (): Promise<void> => {
    while (entry.isFrozen) await sleep(20);
    if (entry.isDead) await never();
  };

  /** Waits for the link's turn and for what is sent to pass; what was given up by then is not sent. */
  const carry = async (
    direction: 'out' | 'in',
    bytes: number,
    isGivenUp: () => boolean = () => false,
  ): Promise<void> => {
    const { link } = entry;
    if (!link) return;
    const passes = link.queue[direction].then(async () => {
      if (!isGivenUp()) await sleep(bytes / link.bytesPerMs);
    });
    link.queue[direction] = passes;
    await passes;
  };

  const noteBytes = (direction: 'out' | 'in', bytes: number): void => {
    const { orderBytes } = entry;
    orderBytes[direction] += bytes;
  };

  const sizeOf = (value: unknown): number => FRAME_BYTES + toWire(value).length;

  const toService = async <Value>(
    isCut: () => boolean,
    call: () => Value,
  ): Promise<Result<Value, PlatformError>> => {
    await awake();
    await carry('out', FRAME_BYTES);
    await sleep(STORE_MS);
    if (isCut() || faults.isTableDown) {
      await sleep(CALL_TIMEOUT_MS);
      await awake();
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
    if (entry.link) await carry('in', sizeOf(value));
    await awake();
    return isLost ? Err({ kind: 'unknown', detail: 'no answer' }) : Ok(value);
  };

  const toTable = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    toService(() => entry.isCutFromTable, call);

  const toEndpointList = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    toService(() => entry.isCutFromEndpointList ?? entry.isCutFromTable, call);

  const toHosts = <Value>(call: () => Value): Promise<Result<Value, PlatformError>> =>
    toService(() => entry.isCutFromHosts ?? entry.isCutFromTable, call);

  const noAnswer: OrderError = { verdict: 'mayHaveRun', reason: 'no-answer', detail: 'silence' };
  const otherEndpoint: OrderError = {
    verdict: 'notRun',
    reason: 'other-endpoint',
    detail: 'another endpoint has this address',
  };

  const callEndpoint = async <Value>(
    instanceId: InstanceId,
    order: unknown,
    isGivenUp: () => boolean,
    call: (
      endpoint: SimulatedEndpoint,
    ) => Promise<Result<Value, OrderError>> | Result<Value, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Value, OrderError>> => {
    const decidedAtMs = performance.now();
    await awake();
    const sentAtMs = performance.now();
    // What was decided before its process stood still leaves as late as one that the network held up.
    const isHeldUp = sentAtMs > decidedAtMs;
    noteBytes('out', sizeOf(order));
    await carry('out', sizeOf(order), isGivenUp);
    await sleep(HOP_MS);
    // A connection that was reset delivers nothing.
    if (isGivenUp()) return Err(noAnswer);
    const endpoint = endpoints.get(instanceId);
    if (!endpoint?.isUp() && !cutFrom.has(instanceId) && faults.reused.has(instanceId)) {
      return Err(otherEndpoint);
    }
    if (!endpoint?.isUp() || cutFrom.has(instanceId)) {
      await sleep(timeoutMs);
      await awake();
      return Err(noAnswer);
    }
    if (random() < faults.lateOrders) {
      setTimeout(
        () => {
          // Whichever life has the id by then.
          const now = endpoints.get(instanceId);
          if (!now?.isUp()) return;
          lateOrder.sentAtMs = sentAtMs;
          void call(now);
          lateOrder.sentAtMs = Infinity;
        },
        2000 + random() * 10_000,
      );
      await sleep(timeoutMs);
      await awake();
      return Err(noAnswer);
    }
    if (isHeldUp) lateOrder.sentAtMs = decidedAtMs;
    const answering = call(endpoint);
    lateOrder.sentAtMs = Infinity;
    const answer = await answering;
    // One that dies while a question waits there breaks the connection.
    if (!endpoint.isUp()) return Err(noAnswer);
    const answerBytes = sizeOf(answer.isOk() ? answer.value : null);
    noteBytes('in', answerBytes);
    await carry('in', answerBytes, isGivenUp);
    await sleep(HOP_MS + random() * 2 + faults.answerMs);
    await awake();
    if (cutFrom.has(instanceId) || random() < faults.lostAnswers) return Err(noAnswer);
    return answer;
  };

  /** Only over a link that queues can an answer come after its time: elsewhere it is lost or quick. */
  const toEndpoint = async <Value>(
    instanceId: InstanceId,
    order: unknown,
    call: (
      endpoint: SimulatedEndpoint,
    ) => Promise<Result<Value, OrderError>> | Result<Value, OrderError>,
    timeoutMs: number,
  ): Promise<Result<Value, OrderError>> => {
    if (!entry.link) return callEndpoint(instanceId, order, () => false, call, timeoutMs);
    const givesUpAtMs = performance.now() + timeoutMs;
    const isGivenUp = (): boolean => performance.now() >= givesUpAtMs;
    return Promise.race([
      callEndpoint(instanceId, order, isGivenUp, call, timeoutMs),
      sleep(timeoutMs).then(() => Err(noAnswer)),
    ]);
  };

  const feed = (kind: string): TableFeed => {
    let after = -1;
    return {
      next: async () => {
        const from = after;
        const { feedMs } = entry;
        if (feedMs !== undefined) await sleep(feedMs);
        const isCut = (): boolean => feedMs === undefined && entry.isCutFromTable;
        const read = await toService(isCut, () => ({
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

  const placeOf = ({
    hostId,
  }: SimulatedEndpoint): Pick<EndpointDescription, 'dataCentre' | 'labels'> => {
    const host = hosts.get(hostId);
    return {
      dataCentre: host?.dataCentre ?? brand<DataCentreId>(''),
      labels: world.hasDomains ? (host?.labels ?? []) : [],
    };
  };

  const endpointFeed = () => {
    const told = new Set<EndpointId>();
    return {
      next: (): Promise<Result<EndpointNews, PlatformError>> =>
        toEndpointList(() => {
          const live = Array.from(endpoints.values()).filter(isListed);
          const gone = Array.from(told).filter((id) => !live.some((one) => one.endpointId === id));
          gone.forEach((id) => told.delete(id));
          live.forEach(({ endpointId }) => told.add(endpointId));
          const seen = live.map((one) => ({
            ...placeOf(one),
            endpointId: one.endpointId,
            pool: one.pool,
            hostId: one.hostId,
            address: one.instanceId,
            capacity: one.capacity,
            isDraining: false,
          }));
          return { seen, gone };
        }),
    };
  };

  const orderHost = async (
    { fence }: HostOrderer,
    hostId: HostId,
    checkTaken: (host: ListedHost) => void,
    act: (host: ListedHost) => void,
    isDone: (host: ListedHost) => boolean,
    isRefused: (hostId: HostId) => boolean = () => false,
  ) => {
    await sleep(faults.hostOrderMs);
    const sentAtMs = performance.now();
    const result = await toHosts(() => {
      const host = hosts.get(hostId);
      if (!host || isRefused(hostId)) return 'refused' as const;
      if (isDone(host)) return 'done' as const;
      if (host.state !== 'up') return 'busy' as const;
      // What a former holder ordered and the platform held up is nobody's to prevent.
      const isHeldUp = performance.now() - sentAtMs > CALL_TIMEOUT_MS;
      if (!isHeldUp || fence >= newestFence()) checkTaken(host);
      act(host);
      return 'done' as const;
    });
    return { outcome: result.unwrapOr('unknown' as const), detail: 'simulated' };
  };

  const platform: BatchPlatform = {
    table: {
      read: (keys) => toTable(() => readAll(keys)),
      scan: (prefix) => toTable(() => table.scan(prefix)),
      transact: (transaction) =>
        toTable(() => {
          const outcome = commit(transaction);
          return outcome.kind === 'committed'
            ? outcome
            : { ...outcome, rows: transaction.checks.map(({ key }) => table.read(key)) };
        }),
      feed,
    },
    operator: world.operator.feedOf({
      awake,
      isCut: () => faults.isTableDown || (entry.isCutFromOperator ?? entry.isCutFromTable),
      lost: () => faults.lostWrites,
      configuration,
    }),
    endpoints: endpointFeed,
    orders: {
      list: async ({ endpointId }, order, timeoutMs) => {
        const ask = async (one: SimulatedEndpoint) => {
          noteAsked(one);
          const answer = await one.list(order);
          return answer.map((value) => ({ bornAtMs: one.startedAtMs, value }));
        };
        const patienceMs = order.waitMs + timeoutMs;
        const answer = await toEndpoint(instanceIdOf(endpointId), order, ask, patienceMs);
        return answer.andThen(({ bornAtMs, value }) =>
          requireSameIncarnation(endpointId, bornAtMs, value),
        );
      },
      start: ({ endpointId }, order, timeoutMs) => {
        const instanceId = instanceIdOf(endpointId);
        const { task, run } = order;
        world.startsSent.push({ instanceId, task, run, atMs: performance.now() });
        return toEndpoint(instanceId, order, (one) => one.start(order), timeoutMs);
      },
      stop: ({ endpointId }, order, timeoutMs) =>
        toEndpoint(
          instanceIdOf(endpointId),
          order,
          (one) => {
            checkStop(one, order.task);
            return one.stop(order);
          },
          timeoutMs,
        ),
      pace: async () => Ok({ clockMs: 0 }),
      forget: () => undefined,
    },
    hosts: {
      list: async () => {
        await awake();
        if (faults.hostListMs > 0) await sleep(faults.hostListMs);
        if (faults.isHostListDown) return Err({ kind: 'unknown', detail: 'no answer' });
        return toHosts(() =>
          Array.from(hosts.values()).filter(({ hostId }) => !faults.leftOut.has(hostId)),
        );
      },
      move: (by, { hostId, toPool }) =>
        orderHost(
          by,
          hostId,
          checkEmpty,
          (host) => {
            hosts.set(hostId, { ...host, pool: toPool, state: 'moving' });
            relive({ ...host, pool: toPool, state: 'moving' }, MOVE_MS);
          },
          (host) => host.pool === toPool,
        ),
      maintain: (by, { hostId, waveNumber }) =>
        orderHost(
          by,
          hostId,
          checkBudgets,
          (host) => {
            const { maximum, hosts: inWave } = waves.get(waveNumber) ?? SIM_NO_WAVE;
            const down = inWave.filter((id) => hosts.get(id)?.state === 'maintenance');
            if (down.length >= maximum) breaks(`${hostId} goes down beside ${down.length} others`);
            maintained.add(`${waveNumber}/${hostId}`);
            relive({ ...host, state: 'maintenance' }, MAINTENANCE_MS);
          },
          () => maintained.has(`${waveNumber}/${hostId}`),
          (refused) => faults.refused.has(refused),
        ),
      reportWave: (waveNumber, state) =>
        toTable(() => {
          checkReport(waveNumber, state);
          return waveStatus.set(waveNumber, state);
        }),
    },
    advice: {
      ask: async ({ endpoints: asked }) => {
        await awake();
        await sleep(ADVICE_MS);
        if (random() < faults.lostAnswers) return Err({ kind: 'unknown', detail: 'no answer' });
        const good = asked
          .filter((endpointId) => mayRunAdvised(instanceIdOf(endpointId)))
          .map((endpointId) => [endpointId, TICKET] as const);
        return Ok({ good, validMs: 3000 });
      },
    },
    linkUse: () => ({
      sentBytes: entry.orderBytes.out,
      receivedBytes: entry.orderBytes.in,
      bytesPerS: (entry.link?.bytesPerMs ?? Infinity) * 1000,
    }),
    noteMeshFrame: () => undefined,
    bounds: () => ({
      maintenanceMs: MAINTENANCE_MS,
      holderTurnMs: 3000,
      answerableMs: ANSWERABLE_MS,
      longestLeaseMs: LONGEST_LEASE_MS,
      ...(evacuateMs === undefined ? {} : { evacuateMs }),
    }),
    close: () => undefined,
  };

  /** Passes a message between entries over this one's link. */
  const carryMessage = (direction: 'out' | 'in', payload: unknown): Promise<void> =>
    carry(direction, MESH_FRAME_BYTES + (JSON.stringify(payload) ?? '').length);

  return { platform, awake, carryMessage };
};
