/**
 * A stand-in for the users' platform: the store of rows, the list of machines and the executors on
 * them, small enough to read. What must always hold is checked at the executors while it happens.
 */
import {
  parseTaskKey,
  type EndpointObserver,
  type EndedRunReport,
  type SimulatedTask,
  type TaskKey,
} from '@valvelatch/core/batch';
import type { InstanceId, HostId, PoolName } from '@valvelatch/core/shared/ids';
import fastify from 'fastify';

import { startExecutor, type StandInExecutor } from './executor-service.js';
import { createRowsService, type Place, type RowsService } from './rows-service.js';

/** Executors write their entry this often. */
const BEAT_MS = 500;
const MAINTENANCE_MS = 800;
const MOVE_MS = 600;
/** Of so many starts of executors on a machine one has a new id; the others go on under the id that it had. */
const NEW_ID_EVERY = 4;

type Machine = {
  readonly machine: string;
  readonly zone: string;
  pool: string;
  state: 'up' | 'moving' | 'upkeep' | 'down';
  executor: StandInExecutor | null;
  /** The id of the executor that it has or had last. */
  lastId: InstanceId | null;
};

/** What is wrong with the list of machines at the moment. */
export type MachinesFault = 'none' | 'unavailable' | 'silent';

type WaveOrder = { readonly wave: number; readonly machines: readonly string[] };

export type UsersPlatformOptions = {
  readonly pools?: readonly string[];
  readonly machinesPerPool?: number;
  /** Where machines stand, by turns. */
  readonly zones?: readonly string[];
  /** What the tasks of a job need, by the text in its spec's place; the same for all by default. */
  readonly needs?: SimulatedTask;
};

export type UsersPlatform = {
  readonly storeAddress: string;
  readonly machinesAddress: string;
  readonly rows: RowsService;
  readonly executors: () => readonly StandInExecutor[];
  /** What was broken: a task twice at once or again after its noted end, a wave told as completed too soon. */
  readonly broken: readonly string[];
  /** Jobs of which a task began. */
  readonly begun: ReadonlySet<string>;
  /** Each start of a task, by the steady clock of this process. */
  readonly starts: readonly { readonly zone: string; readonly atMs: number }[];
  readonly maintained: ReadonlySet<string>;
  /** Takes the list of machines away, with the orders to them, or gives it back. */
  readonly setMachinesFault: (fault: MachinesFault) => void;
  readonly close: () => Promise<void>;
};

const DEFAULT_NEEDS: SimulatedTask = {
  cpuMillis: 1000,
  memoryMb: 100,
  runMs: 150,
  isLasting: false,
  fails: false,
};

const CAPACITY = { cpuMillis: 8000, memoryMb: 16_000, accelerators: 0 };

const watchTasks = (
  executors: () => readonly StandInExecutor[],
  broken: string[],
  begun: Set<string>,
  needs: SimulatedTask,
): EndpointObserver => {
  const noted = new Set<TaskKey>();
  return {
    taskOf: () => needs,
    onStart: (endpoint, task, run) => {
      const others = executors().filter(
        ({ model }) => model !== endpoint && model.isUp() && model.runs.has(task),
      );
      if (others.length > 0) broken.push(`${task} run ${run} is on two executors`);
      if (noted.has(task)) broken.push(`${task} run ${run} began after its end was noted`);
      const name = parseTaskKey(task);
      if (name) begun.add(name.jobId);
      else broken.push(`${task} is no task`);
    },
    onEnd: () => undefined,
    onAcknowledged: ({ task, kind }: EndedRunReport) => {
      if (kind === 'done') noted.add(task);
    },
  };
};

/**
 * Starts a platform on the loopback address.
 *
 * @param options - Its pools and what their tasks need.
 * @returns The platform.
 */
export const startUsersPlatform = async ({
  pools = ['routing', 'convoy'],
  machinesPerPool = 2,
  zones = ['hall'],
  needs = DEFAULT_NEEDS,
}: UsersPlatformOptions = {}): Promise<UsersPlatform> => {
  const rows = createRowsService({ onPut: (place) => checkReport(place) });
  const machines = new Map<string, Machine>();
  const broken: string[] = [];
  const maintained = new Set<string>();
  let lastLife = 0;
  let lastId = 0;

  const executors = (): readonly StandInExecutor[] =>
    Array.from(machines.values()).flatMap(({ executor }) => executor ?? []);
  const begun = new Set<string>();
  let machinesFault: MachinesFault = 'none';

  /** A wave may be told as completed once each of its machines has gone down: none leaves here. */
  const checkReport = ({ table, key }: Place): void => {
    if (table !== 'status') return;
    const { state } = rows.valueOf('status', '', key) as { state: string };
    const { wave, machines: due } = rows.valueOf('op', '', key) as WaveOrder;
    const open = due.filter((name) => !maintained.has(`${wave}/${name}`));
    if (state === 'completed' && open.length > 0) {
      broken.push(`wave ${wave} is completed without ${open.join(', ')}`);
    }
  };

  const starts: { readonly zone: string; readonly atMs: number }[] = [];
  const watcher = watchTasks(executors, broken, begun, needs);
  const observer: EndpointObserver = {
    ...watcher,
    onStart: (endpoint, task, run) => {
      const zone = machines.get(endpoint.hostId)?.zone ?? '';
      starts.push({ zone, atMs: performance.now() });
      watcher.onStart(endpoint, task, run);
    },
  };

  const write = ({ machine, pool, zone }: Machine, { model, address }: StandInExecutor): void =>
    rows.put('servers', model.instanceId, {
      service: pool,
      address,
      zone,
      state: 'ready',
      machine,
      capacity: { cpu: CAPACITY.cpuMillis, memMb: CAPACITY.memoryMb },
      labels: ['a', 'r1-1'],
      born: model.startedAtMs,
      seq: Math.round(performance.now()),
    });

  /** An executor may start again under the id that the one before it had. */
  const idFor = ({ lastId: former }: Machine): InstanceId => {
    lastLife += 1;
    if (former !== null && lastLife % NEW_ID_EVERY !== 0) return former;
    lastId += 1;
    return `i-${lastId}` as InstanceId;
  };

  const live = async (machine: Machine): Promise<void> => {
    const instanceId = idFor(machine);
    const executor = await startExecutor({
      instanceId,
      hostId: machine.machine as HostId,
      pool: machine.pool as PoolName,
      capacity: CAPACITY,
      clockRate: 1,
      observer,
    });
    Object.assign(machine, { executor, lastId: instanceId, state: 'up' });
    write(machine, executor);
  };

  const end = async (machine: Machine, state: Machine['state'], afterMs: number): Promise<void> => {
    const { executor } = machine;
    Object.assign(machine, { executor: null, state });
    if (executor) {
      rows.drop('servers', executor.model.instanceId);
      await executor.close();
    }
    setTimeout(() => {
      void live(machine);
    }, afterMs);
  };

  const store = fastify();
  rows.register(store);
  const list = fastify();
  list.addHook('onRequest', async (_, reply) => {
    if (machinesFault === 'unavailable') await reply.code(503).send();
    if (machinesFault === 'silent') await new Promise<void>(() => {});
  });
  list.get('/-/machines', async () => ({
    machines: Array.from(machines.values(), ({ machine, pool, state, zone, executor }) => ({
      machine,
      pool,
      state,
      zone,
      labels: ['a', 'r1-1'],
      capacity: { cpu: CAPACITY.cpuMillis, memMb: CAPACITY.memoryMb },
      id: executor?.model.instanceId ?? null,
    })),
    nextToken: null,
  }));
  list.post<{ Body: { machine: string; wave: number } }>(
    '/-/machine-upkeep',
    async ({ body }, reply) => {
      const machine = machines.get(body.machine);
      if (!machine) return reply.code(400).send();
      if (maintained.has(`${body.wave}/${body.machine}`)) return {};
      if (machine.state !== 'up') return reply.code(409).send({ reason: 'busy' });
      maintained.add(`${body.wave}/${body.machine}`);
      await end(machine, 'upkeep', MAINTENANCE_MS);
      return {};
    },
  );
  list.post<{ Body: { machine: string; pool: string } }>(
    '/-/machine-move',
    async ({ body }, reply) => {
      const machine = machines.get(body.machine);
      if (!machine) return reply.code(400).send();
      if (machine.pool === body.pool) return {};
      if (machine.state !== 'up') return reply.code(409).send({ reason: 'busy' });
      machine.pool = body.pool;
      await end(machine, 'moving', MOVE_MS);
      return {};
    },
  );

  const [storeUrl, listUrl] = await Promise.all([
    store.listen({ host: '127.0.0.1', port: 0 }),
    list.listen({ host: '127.0.0.1', port: 0 }),
  ]);
  const names = pools.flatMap((pool) =>
    Array.from({ length: machinesPerPool }, (_, index) => ({
      pool,
      name: `m-${pool}-${index}`,
      zone: zones[index % zones.length] ?? '',
    })),
  );
  await Promise.all(
    names.map(async ({ pool, name, zone }) => {
      const machine: Machine = {
        machine: name,
        zone,
        pool,
        state: 'up',
        executor: null,
        lastId: null,
      };
      machines.set(name, machine);
      await live(machine);
    }),
  );
  const beats = setInterval(() => {
    machines.forEach((machine) => {
      if (machine.executor) write(machine, machine.executor);
    });
  }, BEAT_MS);

  return {
    storeAddress: storeUrl.replace('http://', ''),
    machinesAddress: listUrl.replace('http://', ''),
    rows,
    executors,
    broken,
    begun,
    starts,
    maintained,
    setMachinesFault: (fault) => {
      machinesFault = fault;
    },
    close: async () => {
      clearInterval(beats);
      await Promise.all(executors().map((executor) => executor.close()));
      [store, list].forEach(({ server }) => server.closeAllConnections());
      await Promise.all([store.close(), list.close()]);
    },
  };
};
