/* eslint-disable */
/**
 * Small stand-ins for the users' platform, as its pages describe it: the store with its limits, the list of machines, and
 * executors. All of them live in the process of the script and listen on the loopback address.
 */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout, clearTimeout, setInterval, clearInterval } from 'node:timers';

const HOST = '127.0.0.1';
const ROW_BYTES = 65536;
const MAX_TX_ENTRIES = 100;
const MAX_TX_BYTES = 1_000_000;
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const READ_MS = 4;
const TX_MS = 8;
const HISTORY_MS = 20_000;

const nowMs = () => performance.now();

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const answer = (response, status, body) => {
  if (response.destroyed) return;
  const text = JSON.stringify(body ?? {});
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const listen = async (handle) => {
  const server = http.createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return { server, address: `${HOST}:${server.address().port}` };
};

const later = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const rowId = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

/** The store: rows with versions, transactions under conditions, and a feed of changes. */
export const startStore = async ({ record = () => undefined } = {}) => {
  const rows = new Map();
  let history = [];
  let forgottenUpTo = 0;
  let version = 0;
  const waiters = new Set();
  const partFreeAtMs = new Map();
  const refusals = { rowBytes: 0, txBytes: 0, entries: 0 };

  const keep = (row) => {
    history.push({ row, atMs: nowMs() });
    if (row.deleted) rows.delete(rowId(row));
    else rows.set(rowId(row), row);
  };

  const commit = ({ puts = [], remove = [] }) => {
    version += 1;
    puts.forEach(({ table, part = '', key, value }) =>
      keep({ table, part, key, value, ver: version }),
    );
    remove.forEach(({ table, part = '', key }) => {
      if (rows.has(rowId({ table, part, key })))
        keep({ table, part, key, ver: version, deleted: true });
    });
    const oldMs = nowMs() - HISTORY_MS;
    while (history.length > 0 && history[0].atMs < oldMs) forgottenUpTo = history.shift().row.ver;
    Array.from(waiters).forEach((wake) => wake());
    return version;
  };

  const findLimitFault = ({ expectedRev = [], puts = [], remove = [] }, bytes) => {
    const tooLong = puts.find(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES);
    if (tooLong) {
      refusals.rowBytes += 1;
      const length = Buffer.from(tooLong.value, 'base64').length;
      record('store-refuses', {
        limit: 'rowBytes',
        table: tooLong.table,
        key: tooLong.key,
        length,
      });
      return `the value of ${tooLong.table}/${tooLong.key} has ${length} bytes, rowBytes is ${ROW_BYTES}`;
    }
    if (bytes > MAX_TX_BYTES) {
      refusals.txBytes += 1;
      record('store-refuses', { limit: 'transaction', bytes });
      return `the transaction has ${bytes} bytes`;
    }
    if (expectedRev.length + puts.length + remove.length > MAX_TX_ENTRIES) {
      refusals.entries += 1;
      record('store-refuses', { limit: 'entries' });
      return 'more than 100 entries';
    }
    return undefined;
  };

  /** A part takes its transactions in turn. */
  const waitForTurn = async (part) => {
    const startMs = Math.max(nowMs(), partFreeAtMs.get(part) ?? 0);
    partFreeAtMs.set(part, startMs + TX_MS);
    await later(startMs + TX_MS - nowMs());
  };

  const transact = async (request, response) => {
    const bytes = await readBody(request);
    const tx = JSON.parse(bytes.toString('utf8'));
    const fault = findLimitFault(tx, bytes.length);
    if (fault !== undefined) {
      answer(response, 400, { detail: fault });
      return;
    }
    const entries = [...(tx.expectedRev ?? []), ...(tx.puts ?? []), ...(tx.remove ?? [])];
    await waitForTurn(entries[0]?.part ?? '');
    const checks = tx.expectedRev ?? [];
    if (checks.some((check) => (rows.get(rowId(check))?.ver ?? 0) !== check.ver)) {
      const current = checks.flatMap((check) => rows.get(rowId(check)) ?? []);
      answer(response, 412, { rows: current, ver: version, nowMs: Math.round(nowMs()) });
      return;
    }
    const ver = commit(tx);
    answer(response, 200, { ver, nowMs: Math.round(nowMs()) });
  };

  const page = (found, limit) => {
    const taken = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value?.length ?? 0;
      if (taken.length >= limit || (taken.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      taken.push(row);
    }
    return taken;
  };

  const read = async (query, response) => {
    await later(READ_MS);
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
    const found = Array.from(rows.values())
      .filter((row) => row.table === query.get('table') && row.part === part && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const taken = page(found, limit);
    answer(response, 200, {
      rows: taken,
      hasMore: taken.length < found.length,
      ver: version,
      nowMs: Math.round(nowMs()),
    });
  };

  const waitForChange = (ms) =>
    new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      waiters.add(wake);
    });

  const follow = async (query, response) => {
    await later(READ_MS);
    const after = Number(query.get('after'));
    const table = query.get('table');
    const untilMs = nowMs() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    const changes = () => history.filter(({ row }) => row.table === table && row.ver > after);
    while (after >= forgottenUpTo && changes().length === 0 && nowMs() < untilMs)
      await waitForChange(Math.max(1, untilMs - nowMs()));
    if (after < forgottenUpTo) {
      answer(response, 410, {});
      return;
    }
    const all = changes().map(({ row }) => row);
    const taken = page(all, Infinity);
    const ver = taken.length < all.length ? taken.at(-1).ver : version;
    answer(response, 200, { rows: taken, ver, nowMs: Math.round(nowMs()) });
  };

  const { server, address } = await listen(async (request, response) => {
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/-/rows-tx') await transact(request, response);
    else if (url.pathname === '/-/rows-get') await read(url.searchParams, response);
    else if (url.pathname === '/-/rows-feed') await follow(url.searchParams, response);
    else answer(response, 404, {});
  });

  return {
    address,
    refusals,
    put: (table, key, value) =>
      commit({
        puts: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }],
      }),
    remove: (table, key) => commit({ remove: [{ table, key }] }),
    sizeOf: (table, key) => {
      const row = Array.from(rows.values()).find((one) => one.table === table && one.key === key);
      return row ? Buffer.from(row.value, 'base64').length : 0;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

const parseTask = (task) => {
  const [jobId, occurrence, step, index] = task.split('.');
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
};

/**
 * One executor. How long a task works and how it ends stands in its job's `spec`, as JSON with `workMs` and `how`.
 *
 * @param options - Its name, its capacity, and what is called for each start and end.
 */
export const startExecutor = async ({ id, capacity, onStart, onEnd, needsOf, mayStart }) => {
  const bornMs = nowMs();
  const clockMs = () => Math.round(nowMs() - bornMs + 1000);
  const running = new Map();
  const highestOver = new Map();
  let ended = [];
  let lastN = 0;
  let acknowledged = 0;
  let highestFence = 0;
  let leaseUntil = 0;
  let isUp = true;
  const waiters = new Set();

  const end = (task, how) => {
    const run = running.get(task);
    if (!run) return;
    clearTimeout(run.timer);
    running.delete(task);
    highestOver.set(task, Math.max(highestOver.get(task) ?? 0, run.run));
    lastN += 1;
    ended.push([lastN, task, run.run, how, '']);
    onEnd({ executor: id, task, run: run.run, how });
    Array.from(waiters).forEach((wake) => wake());
  };

  const lapse = setInterval(() => {
    if (running.size > 0 && clockMs() > leaseUntil)
      Array.from(running.keys()).forEach((task) => end(task, 'lapsed'));
  }, 50);

  const hold = (untilMs) => {
    if (untilMs !== undefined)
      leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clockMs() + 10_000));
  };

  const used = () => {
    let cpu = 0;
    let memMb = 0;
    running.forEach((_, task) => {
      const needs = needsOf(parseTask(task));
      cpu += needs.cpu ?? 0;
      memMb += needs.memMb ?? 0;
    });
    return { cpu, memMb };
  };

  const start = ({ task, run, spec, untilMs, fence = 0, ticket = '' }) => {
    if (fence < highestFence) return [409, 'fence'];
    highestFence = fence;
    if (running.get(task)?.run === run) return [200];
    if (running.has(task) || run <= (highestOver.get(task) ?? 0)) {
      hold(untilMs);
      return [409, 'old'];
    }
    if (untilMs <= clockMs()) return [409, 'late'];
    hold(untilMs);
    const needs = needsOf(parseTask(task));
    const taken = used();
    if (
      taken.cpu + (needs.cpu ?? 0) > capacity.cpu ||
      taken.memMb + (needs.memMb ?? 0) > capacity.memMb
    )
      return [409, 'room'];
    if (!mayStart(task, id, ticket)) return [409, 'ticket'];
    const { workMs = 100, how = 'done' } = JSON.parse(spec);
    const timer = setTimeout(() => end(task, how), workMs);
    running.set(task, { run, timer, startedMs: nowMs(), workMs });
    onStart({ executor: id, task, run, fence, spec });
    return [200];
  };

  const stop = ({ task, run, fence = 0 }) => {
    if (fence < highestFence) return [409, 'fence'];
    highestFence = fence;
    highestOver.set(task, Math.max(highestOver.get(task) ?? 0, run));
    if (running.get(task)?.run === run) setTimeout(() => end(task, 'stopped'), 50);
    return [200];
  };

  const waitForEnd = (ms) =>
    new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      waiters.add(wake);
    });

  const list = async ({ fence = 0, lastSeen = 0, untilMs, waitMs = 0 }) => {
    if (fence < highestFence) return [409, 'fence'];
    highestFence = fence;
    hold(untilMs);
    acknowledged = Math.max(acknowledged, lastSeen);
    ended = ended.filter(([number]) => number > acknowledged);
    if (waitMs > 0 && ended.length === 0) await waitForEnd(Math.min(2000, waitMs));
    const rows = Array.from(running, ([task, { run, startedMs, workMs }]) => [
      task,
      run,
      '',
      Math.min(99, Math.floor(((nowMs() - startedMs) / workMs) * 100)),
      0,
    ]);
    return [200, undefined, { running: rows, ended: ended.slice(0, 500) }];
  };

  const handlers = { '/-/run-start': start, '/-/run-stop': stop, '/-/hold': list };
  const { server, address } = await listen(async (request, response) => {
    if (request.headers['x-expected-instance'] !== id) {
      answer(response, 421, {});
      return;
    }
    const handler = handlers[request.url];
    if (!handler) {
      answer(response, 404, {});
      return;
    }
    const body = JSON.parse((await readBody(request)).toString('utf8'));
    const [status, reason, rest = {}] = await handler(body);
    answer(response, status, { clockMs: clockMs(), ...(reason ? { reason } : {}), ...rest });
  });

  return {
    id,
    address,
    clockMs,
    isUp: () => isUp,
    running: () => Array.from(running.keys()),
    /** Ends that the system has not taken note of. */
    unacknowledged: () => ended.length,
    listedEnds: () => lastN,
    close: () => {
      isUp = false;
      clearInterval(lapse);
      running.forEach(({ timer }) => clearTimeout(timer));
      running.clear();
      server.closeAllConnections();
      server.close();
    },
  };
};

/** A platform with some executors in each pool. */
export const startPlatform = async ({
  pools,
  perPool = 3,
  perRack = 1,
  record,
  mayStart = () => true,
}) => {
  const store = await startStore({ record });
  const capacity = { cpu: 32_000, memMb: 131_072, gpu: 0 };
  const zones = ['hall-a', 'hall-b', 'hall-c'];
  const steps = new Map();
  const needsOf = ({ jobId, step }) => steps.get(jobId)?.[step] ?? {};
  const starts = [];
  const ends = [];
  const machines = [];
  let lastId = 0;
  const startOn = async (machine) => {
    lastId += 1;
    const executor = await startExecutor({
      id: `i-${lastId}-${machine.machine}`,
      capacity,
      needsOf,
      mayStart,
      onStart: (one) => {
        starts.push({ ...one, atMs: nowMs() });
        const { executor: id, task, run, fence } = one;
        record('task-start', { executor: id, task, run, fence });
      },
      onEnd: (one) => {
        ends.push({ ...one, atMs: nowMs() });
        record('task-end', one);
      },
    });
    Object.assign(machine, { executor, state: 'up' });
  };
  for (const pool of pools) {
    for (let index = 0; index < perPool; index += 1) {
      const rack = Math.floor(index / perRack);
      const machine = {
        machine: `m-${pool}-${index}`,
        pool,
        zone: zones[rack % zones.length],
        rack: `r${rack + 1}-1`,
        labels: ['a', `r${rack + 1}-1`],
        executor: null,
        state: 'down',
        seq: 0,
      };
      machines.push(machine);
      await startOn(machine);
    }
  }

  const beat = () =>
    machines.forEach((one) => {
      const { executor, pool, zone, machine, labels } = one;
      if (!executor) return;
      one.seq += 1;
      store.put('servers', executor.id, {
        service: pool,
        address: executor.address,
        zone,
        machine,
        version: 'v1',
        slots: 8,
        state: 'ready',
        coldLeftMs: 0,
        capacity,
        labels,
        clockMs: executor.clockMs(),
        seq: one.seq,
      });
    });
  beat();
  const beater = setInterval(beat, 1500);
  let isClosed = false;

  const cloud = await listen(async (request, response) => {
    await readBody(request);
    await later(READ_MS);
    if (request.method === 'GET' && request.url.startsWith('/-/machines'))
      answer(response, 200, {
        machines: machines.map(({ machine, pool, state, zone, labels, executor }) => ({
          machine,
          pool,
          state,
          zone,
          labels,
          capacity,
          id: executor?.id ?? null,
        })),
        nextToken: null,
      });
    else answer(response, 409, { reason: 'busy' });
  });

  return {
    store,
    cloudAddress: cloud.address,
    zones,
    machines,
    starts,
    ends,
    executors: () => machines.flatMap(({ executor }) => executor ?? []),
    /** Executors crash with all that runs on them; new ones come on the same machines later. */
    crash: (some, backAfterMs) => {
      record('executors-crash', { machines: some.map(({ machine }) => machine), backAfterMs });
      some.forEach((machine) => {
        const { executor } = machine;
        Object.assign(machine, { executor: null, state: 'down' });
        const atMs = nowMs();
        executor
          .running()
          .forEach((task) => ends.push({ executor: executor.id, task, how: 'crashed', atMs }));
        executor.close();
        setTimeout(() => store.remove('servers', executor.id), 3 * 1500);
        setTimeout(() => {
          if (!isClosed) startOn(machine).then(beat);
        }, backAfterMs);
      });
    },
    /** Tells the executors what the tasks of a job take, as the platform's own description of the job does. */
    declareJob: (jobId, jobSteps) => steps.set(jobId, jobSteps),
    close: () => {
      isClosed = true;
      clearInterval(beater);
      machines.forEach(({ executor }) => executor?.close());
      cloud.server.closeAllConnections();
      cloud.server.close();
      store.close();
    },
  };
};
