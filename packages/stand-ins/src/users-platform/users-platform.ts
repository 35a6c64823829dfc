/**
 * A stand-in for the users' platform: the row store, the machine list and the executors on the
 * machines. Invariants are checked at the executors and at the row store as events happen.
 */
import type { EndpointObserver, SimulatedTask } from '@valvelatch/core/batch';
import type { InstanceId, HostId, PoolName } from '@valvelatch/core/shared/ids';
import fastify from 'fastify';

import { startExecutor, type StandInExecutor } from './executor-service.js';
import { createRowsService, type RowLocation, type RowsService } from './rows-service.js';
import { createTaskObserver } from './task-observer.js';

/** Each executor writes its row in the table `servers` at this interval. */
const SERVER_ROW_INTERVAL_MS = 500;
const MAINTENANCE_MS = 800;
const MOVE_MS = 600;
/**
 * One in this many executor starts, counted over all machines, gets a new instance id. The others
 * keep the machine's previous id, if it has one.
 */
const NEW_ID_EVERY = 4;

type Machine = {
  readonly machine: string;
  readonly zone: string;
  pool: string;
  state: 'up' | 'moving' | 'upkeep' | 'down';
  executor: StandInExecutor | null;
  /** The instance id of the current executor or, without one, of the previous executor. */
  lastId: InstanceId | null;
};

/** The current fault of the machine list: it answers 503, or it never answers. */
export type MachineListFault = 'none' | 'unavailable' | 'silent';

type WaveOrder = { readonly wave: number; readonly machines: readonly string[] };

export type UsersPlatformOptions = {
  readonly pools?: readonly string[];
  readonly machinesPerPool?: number;
  /** The zones of the machines, assigned in turn. */
  readonly zones?: readonly string[];
  /** The needs and the behaviour of every task. */
  readonly needs?: SimulatedTask;
};

export type UsersPlatform = {
  readonly storeAddress: string;
  readonly machineListAddress: string;
  readonly rows: RowsService;
  readonly executors: () => readonly StandInExecutor[];
  /**
   * Violated invariants: a task that runs twice at once or starts again after its end was acknowledged,
   * an invalid task key, or a wave that is reported as completed too early.
   */
  readonly violations: readonly string[];
  /** Jobs of which at least one task has started. */
  readonly startedJobs: ReadonlySet<string>;
  /** Each start of a task, with its time by the monotonic clock of this process. */
  readonly taskStarts: readonly { readonly zone: string; readonly atMs: number }[];
  /** Maintenance that has begun, as `wave/machine`. */
  readonly startedMaintenance: ReadonlySet<string>;
  /** Makes the machine list and the orders to machines fail, or restores them. */
  readonly setMachineListFault: (fault: MachineListFault) => void;
  /** Adds entries of any form to the list of machines, as another writer may. */
  readonly addListedEntries: (entries: readonly unknown[]) => void;
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

/**
 * Starts a platform on the loopback address.
 *
 * @param options - Its pools, machines and zones, and the needs of the tasks.
 * @returns The running platform.
 */
export const startUsersPlatform = async ({
  pools = ['routing', 'convoy'],
  machinesPerPool = 2,
  zones = ['hall'],
  needs = DEFAULT_NEEDS,
}: UsersPlatformOptions = {}): Promise<UsersPlatform> => {
  const rows = createRowsService({ onPut: (place) => checkWaveCompletion(place) });
  const machines = new Map<string, Machine>();
  const violations: string[] = [];
  const startedMaintenance = new Set<string>();
  let startCount = 0;
  let lastIdNumber = 0;

  const executors = (): readonly StandInExecutor[] =>
    Array.from(machines.values()).flatMap(({ executor }) => executor ?? []);
  const startedJobs = new Set<string>();
  let machinesFault: MachineListFault = 'none';

  /**
   * Checks that a wave is reported as completed only after each of its machines has gone into
   * maintenance. Machines never leave this platform, so that no machine may be missing.
   */
  const checkWaveCompletion = ({ table, key }: RowLocation): void => {
    if (table !== 'status') return;
    const { state } = rows.readValue('status', '', key) as { state: string };
    const { wave, machines: due } = rows.readValue('op', '', key) as WaveOrder;
    const missing = due.filter((name) => !startedMaintenance.has(`${wave}/${name}`));
    if (state === 'completed' && missing.length > 0) {
      violations.push(
        `wave ${wave} is reported as completed without maintenance of ${missing.join(', ')}`,
      );
    }
  };

  const taskStarts: { readonly zone: string; readonly atMs: number }[] = [];
  const taskObserver = createTaskObserver({ executors, needs, violations, startedJobs });
  const observer: EndpointObserver = {
    ...taskObserver,
    onStart: (endpoint, task, run) => {
      const zone = machines.get(endpoint.hostId)?.zone ?? '';
      taskStarts.push({ zone, atMs: performance.now() });
      taskObserver.onStart(endpoint, task, run);
    },
  };

  /** Writes the row of an executor in the table `servers`. */
  const writeServerRow = (
    { machine, pool, zone }: Machine,
    { model, address }: StandInExecutor,
  ): void =>
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

  /** Chooses the id of the next executor of a machine, which may be that of its previous executor. */
  const chooseInstanceId = ({ lastId: former }: Machine): InstanceId => {
    startCount += 1;
    if (former !== null && startCount % NEW_ID_EVERY !== 0) return former;
    lastIdNumber += 1;
    return `i-${lastIdNumber}` as InstanceId;
  };

  /** Starts an executor on a machine. */
  const startOn = async (machine: Machine): Promise<void> => {
    const instanceId = chooseInstanceId(machine);
    const executor = await startExecutor({
      instanceId,
      hostId: machine.machine as HostId,
      pool: machine.pool as PoolName,
      capacity: CAPACITY,
      clockRate: 1,
      observer,
    });
    Object.assign(machine, { executor, lastId: instanceId, state: 'up' });
    writeServerRow(machine, executor);
  };

  /** Stops the executor of a machine and starts another one after a delay in milliseconds. */
  const restartLater = async (
    machine: Machine,
    state: Machine['state'],
    afterMs: number,
  ): Promise<void> => {
    const { executor } = machine;
    Object.assign(machine, { executor: null, state });
    if (executor) {
      rows.remove('servers', executor.model.instanceId);
      await executor.close();
    }
    setTimeout(() => {
      void startOn(machine);
    }, afterMs);
  };

  const store = fastify();
  rows.register(store);
  const machineList = fastify();
  machineList.addHook('onRequest', async (_, reply) => {
    if (machinesFault === 'unavailable') await reply.code(503).send();
    if (machinesFault === 'silent') await new Promise<void>(() => {});
  });
  const addedEntries: unknown[] = [];
  machineList.get('/-/machines', async () => {
    const ownEntries = Array.from(
      machines.values(),
      ({ machine, pool, state, zone, executor }) => ({
        machine,
        pool,
        state,
        zone,
        labels: ['a', 'r1-1'],
        capacity: { cpu: CAPACITY.cpuMillis, memMb: CAPACITY.memoryMb },
        id: executor?.model.instanceId ?? null,
      }),
    );
    return { machines: [...addedEntries, ...ownEntries], nextToken: null };
  });
  machineList.post<{ Body: { machine: string; wave: number } }>(
    '/-/machine-upkeep',
    async ({ body }, reply) => {
      const machine = machines.get(body.machine);
      if (!machine) return reply.code(400).send();
      if (startedMaintenance.has(`${body.wave}/${body.machine}`)) return {};
      if (machine.state !== 'up') return reply.code(409).send({ reason: 'busy' });
      startedMaintenance.add(`${body.wave}/${body.machine}`);
      await restartLater(machine, 'upkeep', MAINTENANCE_MS);
      return {};
    },
  );
  machineList.post<{ Body: { machine: string; pool: string } }>(
    '/-/machine-move',
    async ({ body }, reply) => {
      const machine = machines.get(body.machine);
      if (!machine) return reply.code(400).send();
      if (machine.pool === body.pool) return {};
      if (machine.state !== 'up') return reply.code(409).send({ reason: 'busy' });
      machine.pool = body.pool;
      await restartLater(machine, 'moving', MOVE_MS);
      return {};
    },
  );

  const [storeUrl, listUrl] = await Promise.all([
    store.listen({ host: '127.0.0.1', port: 0 }),
    machineList.listen({ host: '127.0.0.1', port: 0 }),
  ]);
  const machineSpecs = pools.flatMap((pool) =>
    Array.from({ length: machinesPerPool }, (_, index) => ({
      pool,
      name: `m-${pool}-${index}`,
      zone: zones[index % zones.length] ?? '',
    })),
  );
  await Promise.all(
    machineSpecs.map(async ({ pool, name, zone }) => {
      const machine: Machine = {
        machine: name,
        zone,
        pool,
        state: 'up',
        executor: null,
        lastId: null,
      };
      machines.set(name, machine);
      await startOn(machine);
    }),
  );
  const serverRowTimer = setInterval(() => {
    machines.forEach((machine) => {
      if (machine.executor) writeServerRow(machine, machine.executor);
    });
  }, SERVER_ROW_INTERVAL_MS);

  return {
    storeAddress: storeUrl.replace('http://', ''),
    machineListAddress: listUrl.replace('http://', ''),
    rows,
    executors,
    violations,
    startedJobs,
    taskStarts,
    startedMaintenance,
    setMachineListFault: (fault) => {
      machinesFault = fault;
    },
    addListedEntries: (entries) => addedEntries.push(...entries),
    close: async () => {
      clearInterval(serverRowTimer);
      await Promise.all(executors().map((executor) => executor.close()));
      [store, machineList].forEach(({ server }) => server.closeAllConnections());
      await Promise.all([store.close(), machineList.close()]);
    },
  };
};
