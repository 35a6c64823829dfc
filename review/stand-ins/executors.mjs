/* eslint-disable */
/**
 * Stand-ins for machines and the executors on them, as PROTOCOL.md describes them. An executor guards its capacity
 * and starts, stops, lists and leases runs; a crashed one comes back on its machine as a new life with a new id.
 */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1500;
const HOLD_MAX_MS = 10_000;
const MAX_ENDS = 500;
const STOP_MS = 300;

const fits = ({ cpu, memMb }, used, needs) =>
  used.cpu + needs.cpu <= cpu && used.memMb + needs.memMb <= memMb;

/** One life of an executor. */
export const createExecutor = ({ machine, capacity, needsOf, onStart, onEnd, onAcknowledged }) => {
  const id = `i-${randomBytes(4).toString('hex')}`;
  const startedAtMs = performance.now();
  const clockMs = () => Math.round(100_000 + performance.now() - startedAtMs);
  const runs = new Map();
  const lastRuns = new Map();
  const used = { cpu: 0, memMb: 0 };
  const waiters = new Set();
  let ended = [];
  let nextEnd = 1;
  let fence = 0;
  let leaseUntilMs = 0;
  let isUp = true;

  const end = (run, how) => {
    if (runs.get(run.task) !== run) return;
    runs.delete(run.task);
    clearTimeout(run.timer);
    used.cpu -= run.needs.cpu;
    used.memMb -= run.needs.memMb;
    lastRuns.set(run.task, Math.max(run.run, lastRuns.get(run.task) ?? 0));
    ended.push([nextEnd, run.task, run.run, how, '']);
    nextEnd += 1;
    onEnd({ id, machine, task: run.task, run: run.run, how });
    for (const wake of [...waiters]) wake();
  };

  const leaseTimer = setInterval(() => {
    if (runs.size > 0 && clockMs() > leaseUntilMs)
      for (const run of [...runs.values()]) end(run, 'lapsed');
  }, 50);

  const extend = (untilMs) => {
    if (untilMs === undefined) return;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + HOLD_MAX_MS));
  };
  const refuse = (reason) => [409, { clockMs: clockMs(), reason }];
  const isFenced = (given = 0) => {
    if (given < fence) return true;
    fence = given;
    return false;
  };

  const start = ({ task, run, spec, untilMs, fence: given }) => {
    if (isFenced(given)) return refuse('fence');
    if (untilMs <= clockMs()) return refuse('late');
    extend(untilMs);
    const present = runs.get(task);
    if (present?.run === run) return [200, { clockMs: clockMs() }];
    if (present || run <= (lastRuns.get(task) ?? 0)) return refuse('old');
    const needs = needsOf(task);
    if (!needs) return [400, {}];
    if (!fits(capacity, used, needs)) return refuse('room');
    used.cpu += needs.cpu;
    used.memMb += needs.memMb;
    const started = { task, run, needs, startedAtMs: performance.now(), isStopping: false };
    started.timer = setTimeout(() => end(started, 'done'), needs.runMs);
    runs.set(task, started);
    onStart({ id, machine, task, run, spec });
    return [200, { clockMs: clockMs() }];
  };

  const stop = ({ task, run, fence: given }) => {
    if (isFenced(given)) return refuse('fence');
    const present = runs.get(task);
    if (present?.run === run && !present.isStopping) {
      present.isStopping = true;
      clearTimeout(present.timer);
      setTimeout(() => end(present, 'stopped'), STOP_MS);
    } else if (!present) lastRuns.set(task, Math.max(run, lastRuns.get(task) ?? 0));
    return [200, { clockMs: clockMs() }];
  };

  const hold = async ({ fence: given, lastSeen = 0, untilMs, waitMs = 0 }) => {
    if (isFenced(given)) return refuse('fence');
    extend(untilMs);
    for (const [number, task, run, how] of ended)
      if (number <= lastSeen) onAcknowledged({ id, task, run, how });
    ended = ended.filter(([number]) => number > lastSeen);
    if (waitMs > 0 && ended.length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2000, waitMs));
        waiters.add(wake);
      });
    }
    const running = [...runs.values()].map((run) => [
      run.task,
      run.run,
      '',
      Math.min(99, Math.round((100 * (performance.now() - run.startedAtMs)) / run.needs.runMs)),
      run.needs.cpu,
    ]);
    return [200, { clockMs: clockMs(), running, ended: ended.slice(0, MAX_ENDS) }];
  };

  const handlers = {
    '/-/run-start': start,
    '/-/run-stop': stop,
    '/-/hold': hold,
    '/-/pace': () => [200, { clockMs: clockMs() }],
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => response.destroy());
    request.on('end', async () => {
      const handle = handlers[request.url];
      const isOther = request.headers['x-expected-instance'] !== id;
      const [status, body] = isOther
        ? [421, {}]
        : handle
          ? await handle(JSON.parse(Buffer.concat(chunks).toString('utf8')))
          : [404, {}];
      if (response.destroyed || !isUp) return;
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });
  server.keepAliveTimeout = 60_000;

  return {
    id,
    server,
    runs,
    capacity,
    used,
    unacknowledged: () => ended.length,
    /** The executor dies: what runs there is gone, and its port answers with resets. */
    crash: () => {
      isUp = false;
      clearInterval(leaseTimer);
      for (const run of runs.values()) clearTimeout(run.timer);
      const lost = [...runs.values()].map(({ task, run }) => ({ task, run }));
      runs.clear();
      server.closeAllConnections();
      server.close();
      return lost;
    },
  };
};

/** The machines of a deployment, the platform's list of them, and the rows with which their executors register. */
export const createFleet = ({ store, pools, ipOf, port, needsOf, observer, record }) => {
  const machines = new Map();
  const listenOn = (server, ip) => new Promise((resolve) => server.listen(port, ip, resolve));

  const beat = (machine) => {
    const { executor } = machine;
    if (!executor) return;
    machine.seq += 1;
    store.put('servers', executor.id, {
      service: machine.pool,
      address: `${machine.ip}:${port}`,
      zone: machine.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      machine: machine.name,
      capacity: machine.capacity,
      labels: machine.labels,
      seq: machine.seq,
    });
  };

  const bringUp = async (machine) => {
    const executor = createExecutor({
      machine: machine.name,
      capacity: machine.capacity,
      needsOf,
      ...observer,
    });
    await listenOn(executor.server, machine.ip);
    machine.executor = executor;
    machine.state = 'up';
    record('executor-up', { machine: machine.name, id: executor.id, pool: machine.pool });
    beat(machine);
  };

  const takeDown = (machine, state) => {
    const { executor } = machine;
    machine.executor = null;
    machine.state = state;
    executor.crash();
    store.remove('servers', executor.id);
  };

  const listMachines = () => [
    200,
    {
      machines: [...machines.values()].map((one) => ({
        machine: one.name,
        pool: one.pool,
        state: one.state,
        zone: one.zone,
        labels: one.labels,
        capacity: one.capacity,
        id: one.executor?.id ?? null,
      })),
      nextToken: null,
    },
  ];

  const moveMachine = ({ machine: name, pool }) => {
    const machine = machines.get(name);
    if (!machine || !pools.some((one) => one.name === pool)) return [400, {}];
    if (machine.pool === pool) return [200, {}];
    if (machine.state !== 'up') return [409, { reason: 'busy' }];
    record('machine-moved', { machine: name, pool });
    takeDown(machine, 'moving');
    machine.pool = pool;
    setTimeout(() => bringUp(machine), 1500);
    return [200, {}];
  };

  const waves = new Set();
  const maintainMachine = ({ machine: name, wave }) => {
    const machine = machines.get(name);
    if (!machine) return [400, {}];
    const order = store.read('op', '', `wave/${wave}`);
    if (!order?.machines.includes(name)) return [409, { reason: 'wave' }];
    if (waves.has(`${wave}/${name}`)) return [200, {}];
    if (machine.state !== 'up') return [409, { reason: 'busy' }];
    waves.add(`${wave}/${name}`);
    record('machine-upkeep', { machine: name, wave });
    takeDown(machine, 'upkeep');
    setTimeout(() => bringUp(machine), 2000);
    return [200, {}];
  };

  const cloud = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => response.destroy());
    request.on('end', () => {
      const read = () => JSON.parse(Buffer.concat(chunks).toString('utf8'));
      const path = request.url.split('?')[0];
      const [status, body] =
        path === '/-/machines'
          ? listMachines()
          : path === '/-/machine-move'
            ? moveMachine(read())
            : path === '/-/machine-upkeep'
              ? maintainMachine(read())
              : [404, {}];
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });

  return {
    cloud,
    machines,
    start: async () => {
      let number = 0;
      for (const { name: pool, count, capacity, rack = 4, zones } of pools) {
        for (let index = 0; index < count; index += 1) {
          number += 1;
          const machine = {
            name: `m-${pool}-${index}`,
            pool,
            zone: zones[index % zones.length],
            ip: ipOf(number),
            labels: ['a', `r-${pool}-${Math.floor(index / rack)}`],
            capacity,
            state: 'down',
            executor: null,
            seq: 0,
          };
          machines.set(machine.name, machine);
          await bringUp(machine);
        }
      }
      const timer = setInterval(() => machines.forEach(beat), HEARTBEAT_MS);
      timer.unref();
    },
    /**
     * An executor crashes; its entry goes after three missed heartbeats, and a new life comes after `forMs`, or never if
     * that is left out.
     */
    crash: (machine, forMs) => {
      const { executor } = machine;
      machine.executor = null;
      machine.state = 'down';
      const lost = executor.crash();
      setTimeout(() => store.remove('servers', executor.id), 3 * HEARTBEAT_MS);
      if (forMs !== undefined) setTimeout(() => bringUp(machine), forMs);
      return lost;
    },
    closeAll: () => {
      for (const { executor } of machines.values()) executor?.crash();
    },
  };
};
