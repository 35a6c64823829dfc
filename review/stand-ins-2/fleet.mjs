/* eslint-disable */
/**
 * Stand-ins for the workers and for the list of machines, after the pages. A worker leases what it runs, guards its
 * capacity, keeps the highest fence, lists what runs and what has ended, and forgets ends up to `lastSeen`.
 *
 * What a task needs stands in the `spec` of its job, as JSON: `ms`, `cpu` and `memMb`. The tasks of a job take `ms` to
 * `ms` + `spreadMs`, each always as long.
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

const DEFAULT_STOP_MS = 60;
const MAX_LEASE_MS = 10_000;
const MAX_ENDS = 500;
const HEARTBEAT_MS = 1500;

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const send = (response, status, body) => {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/** A number from 0 to 1 for a task, always the same one. */
const fractionOf = (task) => {
  let hash = 7;
  for (const letter of task) hash = (hash * 31 + letter.charCodeAt(0)) % 1_000_003;
  return hash / 1_000_003;
};

const readNeeds = (spec, task) => {
  const { ms = 0, spreadMs = 0, cpu = 0, memMb = 0 } = JSON.parse(spec);
  return { ms: Math.round(ms + spreadMs * fractionOf(task)), cpu, memMb };
};

/** One life of a worker. */
const startLife = async ({ id, machine, capacity, onStart, onEnd, fails, guards, stopMs }) => {
  const bornMs = performance.now();
  const clockMs = () => Math.round(performance.now() - bornMs) + 1000;
  const runs = new Map();
  const highestEnded = new Map();
  const lookers = new Set();
  let ended = [];
  let nextEnd = 1;
  let fence = 0;
  let leaseUntilMs = 0;
  let isAlive = true;

  const used = () => {
    const sum = { cpu: 0, memMb: 0 };
    runs.forEach(({ needs }) => {
      sum.cpu += needs.cpu;
      sum.memMb += needs.memMb;
    });
    return sum;
  };

  const end = (task, how) => {
    const one = runs.get(task);
    if (!one) return;
    clearTimeout(one.timer);
    runs.delete(task);
    highestEnded.set(task, Math.max(one.run, highestEnded.get(task) ?? 0));
    ended.push([nextEnd, task, one.run, how, '']);
    nextEnd += 1;
    onEnd({ id, machine, task, run: one.run, how });
    lookers.forEach((wake) => wake());
  };

  const extendLease = (untilMs) => {
    if (untilMs === undefined) return;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS));
  };

  const leaseTimer = setInterval(() => {
    if (clockMs() < leaseUntilMs) return;
    Array.from(runs.keys()).forEach((task) => end(task, 'lapsed'));
  }, 20);

  const list = () => ({
    clockMs: clockMs(),
    running: Array.from(runs, ([task, { run, startedMs, needs }]) => {
      const worked = clockMs() - startedMs;
      const percent = needs.ms === 0 ? 100 : Math.min(99, Math.floor((100 * worked) / needs.ms));
      return [task, run, '', percent, needs.cpu];
    }),
    ended: ended.slice(0, MAX_ENDS),
  });

  const start = ({ task, run, spec, untilMs }) => {
    const known = runs.get(task);
    if (known?.run === run) return [200];
    extendLease(untilMs);
    if (run <= (highestEnded.get(task) ?? 0) || known) return [409, 'old'];
    if (untilMs <= clockMs()) return [409, 'late'];
    const needs = readNeeds(spec, task);
    const { cpu, memMb } = used();
    const isOver = cpu + needs.cpu > capacity.cpu || memMb + needs.memMb > capacity.memMb;
    if (isOver && guards) return [409, 'room'];
    const how = fails(task) ? 'failed' : 'done';
    const timer = needs.ms === 0 ? undefined : setTimeout(() => end(task, how), needs.ms);
    runs.set(task, { run, needs, startedMs: clockMs(), timer });
    onStart({ id, machine, task, run, isOver, cpu: cpu + needs.cpu, memMb: memMb + needs.memMb });
    return [200];
  };

  const stop = ({ task, run }) => {
    const known = runs.get(task);
    if (known?.run === run) {
      clearTimeout(known.timer);
      setTimeout(() => end(task, 'stopped'), stopMs);
    } else if (!known || known.run < run) {
      highestEnded.set(task, Math.max(run, highestEnded.get(task) ?? 0));
    }
    return [200];
  };

  const hold = async ({ lastSeen = 0, untilMs, waitMs = 0 }) => {
    extendLease(untilMs);
    ended = ended.filter(([number]) => number > lastSeen);
    if (waitMs > 0 && ended.length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          lookers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2000, waitMs));
        lookers.add(wake);
      });
    }
    return list();
  };

  const serve = async (request, response) => {
    const body = await readJson(request);
    if (!isAlive) return;
    if ((request.headers['x-expected-instance'] ?? id) !== id) {
      send(response, 421, {});
      return;
    }
    if ((body.fence ?? 0) < fence) {
      send(response, 409, { clockMs: clockMs(), reason: 'fence' });
      return;
    }
    fence = Math.max(fence, body.fence ?? 0);
    if (request.url === '/-/hold') {
      const seen = await hold(body);
      if (isAlive) send(response, 200, seen);
      return;
    }
    const handlers = { '/-/run-start': start, '/-/run-stop': stop, '/-/pace': () => [200] };
    const [status, reason] = handlers[request.url]?.(body) ?? [404];
    send(response, status, { clockMs: clockMs(), ...(reason ? { reason } : {}) });
  };

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    id,
    address: `127.0.0.1:${server.address().port}`,
    runs,
    used,
    countUnseenEnds: () => ended.length,
    /** The process dies: all that runs there is lost, and connections are reset. */
    crash: () => {
      isAlive = false;
      clearInterval(leaseTimer);
      runs.forEach(({ timer }) => clearTimeout(timer));
      runs.clear();
      server.closeAllConnections();
      server.close();
    },
  };
};

/**
 * Starts workers and the list of machines. Workers with `guards` false start whatever they are told, over their capacity
 * too; a stop takes `stopMs`. `pools` gives for each service the number of machines and of machines in a
 * rack; the machines of a rack stand in one zone.
 */
export const startFleet = async ({
  store,
  pools,
  zones,
  capacity,
  spare = '',
  record = () => undefined,
  fails = () => false,
  guards = true,
  stopMs = DEFAULT_STOP_MS,
}) => {
  const machines = new Map();
  let lastId = 0;

  const onStart = (event) => record('start', event);
  const onEnd = (event) => record('end', event);

  const writeEntry = ({ pool, zone, rack, machine, life }) =>
    store.put('servers', life.id, {
      service: pool,
      address: life.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      machine,
      capacity: { ...capacity, gpu: 0 },
      labels: ['a', rack],
      seq: Math.round(performance.now()),
    });

  const startOn = async (one) => {
    lastId += 1;
    const id = `i-${String(lastId).padStart(8, '0')}`;
    const { machine } = one;
    one.life = await startLife({
      id,
      machine,
      capacity,
      onStart,
      onEnd,
      fails,
      guards,
      stopMs,
    });
    one.state = 'up';
    writeEntry(one);
  };

  /** The worker of a machine crashes, and another one with a new id comes after `downMs`. */
  const crash = (machine, downMs) => {
    const one = machines.get(machine);
    const { life } = one;
    record('crash', { machine, id: life.id, runs: life.runs.size });
    life.crash();
    one.life = null;
    one.state = 'down';
    setTimeout(() => store.remove('servers', life.id), 3 * HEARTBEAT_MS);
    setTimeout(() => {
      startOn(one).catch(() => undefined);
    }, downMs);
  };

  const cloud = createServer((request, response) => {
    const url = new URL(request.url, 'http://cloud');
    const serve = async () => {
      if (url.pathname === '/-/machines') {
        const list = Array.from(
          machines.values(),
          ({ machine, pool, state, zone, rack, life }) => ({
            machine,
            pool,
            state,
            zone,
            labels: ['a', rack],
            capacity: { ...capacity, gpu: 0 },
            ...(life ? { id: life.id } : {}),
          }),
        );
        send(response, 200, { machines: list, nextToken: null });
        return;
      }
      const { machine, pool } = await readJson(request);
      const one = machines.get(machine);
      if (!one) send(response, 400, {});
      else if (url.pathname === '/-/machine-move' && one.pool === pool) send(response, 200, {});
      else if (one.state !== 'up') send(response, 409, { reason: 'busy' });
      else if (url.pathname === '/-/machine-move') {
        record('move', { machine, from: one.pool, to: pool });
        store.remove('servers', one.life.id);
        one.life.crash();
        one.life = null;
        Object.assign(one, { pool, state: 'moving' });
        setTimeout(() => {
          startOn(one).catch(() => undefined);
        }, 1500);
        send(response, 200, {});
      } else send(response, 400, {});
    };
    serve().catch(() => response.destroy());
  });
  await new Promise((resolve) => cloud.listen(0, '127.0.0.1', resolve));

  let rackNumber = 0;
  for (const [pool, { count, perRack }] of Object.entries(pools)) {
    for (let index = 0; index < count; index += 1) {
      if (index % perRack === 0) rackNumber += 1;
      const machine = `m-${pool}-${index}`;
      const zone = zones[rackNumber % zones.length];
      const rack = `r1-${rackNumber}`;
      const one = { machine, pool, zone, rack, state: 'up', life: null };
      machines.set(machine, one);
      await startOn(one);
    }
  }
  const beat = setInterval(
    () => machines.forEach((one) => one.life && writeEntry(one)),
    HEARTBEAT_MS,
  );

  return {
    cloudAddress: `127.0.0.1:${cloud.address().port}`,
    machines,
    spare,
    crash,
    close: () => {
      clearInterval(beat);
      cloud.closeAllConnections();
      cloud.close();
      machines.forEach(({ life }) => life?.crash());
    },
  };
};
