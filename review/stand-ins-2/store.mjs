/* eslint-disable */
/**
 * A stand-in for the platform's table store, after the pages: rows in tables with parts, transactions under conditions,
 * paged reads and feeds of changes. It refuses what the pages say it does not take: a value of more than `rowBytes`, and
 * a transaction of more than 100 entries or 1 MB.
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

const MAX_ENTRIES = 100;
const MAX_BYTES = 1_000_000;
const MAX_ROWS = 500;
const TX_MS = 8;
const READ_MS = 4;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const answer = (response, status, body) => {
  const text = body === undefined ? '' : JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const idOf = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

/** Starts the store on a free port of the loopback address. `rowBytes` is the largest size of a value. */
export const startStore = async ({ rowBytes = 65_536, record = () => undefined } = {}) => {
  const rows = new Map();
  const history = [];
  const waiters = new Set();
  const hooks = { beforeTransaction: async () => undefined, refuses: () => false };
  const refused = [];
  let version = 0;

  const nowMs = () => Math.round(performance.now());

  const commit = (puts, remove) => {
    version += 1;
    puts.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver: version };
      rows.set(idOf(row), row);
      history.push(row);
    });
    remove.forEach(({ table, part = '', key }) => {
      if (!rows.delete(idOf({ table, part, key }))) return;
      history.push({ table, part, key, ver: version, deleted: true });
    });
    waiters.forEach((wake) => wake());
    return version;
  };

  const findFault = ({ expectedRev, puts, remove }, bytes) => {
    const entries = expectedRev.length + puts.length + remove.length;
    if (entries > MAX_ENTRIES) return `${entries} entries`;
    if (bytes > MAX_BYTES) return `a transaction of ${bytes} bytes`;
    const large = puts.find(({ value }) => Buffer.from(value, 'base64').length > rowBytes);
    if (!large) return undefined;
    const size = Buffer.from(large.value, 'base64').length;
    return `the row ${large.table}/${large.key} has ${size} bytes, more than rowBytes=${rowBytes}`;
  };

  const transact = async (request, response) => {
    const text = await readBody(request);
    const { expectedRev = [], puts = [], remove = [] } = JSON.parse(text);
    const fault = findFault({ expectedRev, puts, remove }, Buffer.byteLength(text));
    if (fault !== undefined) {
      refused.push({ atMs: nowMs(), fault });
      record('store-refused', { fault, puts: puts.length });
      answer(response, 400, { reason: fault });
      return;
    }
    await sleep(TX_MS);
    if ((await hooks.beforeTransaction({ expectedRev, puts, remove, response })) === 'handled')
      return;
    const isAsExpected = expectedRev.every((one) => (rows.get(idOf(one))?.ver ?? 0) === one.ver);
    if (!isAsExpected) {
      const found = expectedRev.flatMap((one) => rows.get(idOf(one)) ?? []);
      answer(response, 412, { rows: found, ver: version, nowMs: nowMs() });
      return;
    }
    answer(response, 200, { ver: commit(puts, remove), nowMs: nowMs() });
  };

  const get = async (query, response) => {
    await sleep(READ_MS);
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = Array.from(rows.values())
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (page.length >= limit || (page.length > 0 && bytes > MAX_BYTES)) break;
      page.push(row);
    }
    answer(response, 200, {
      rows: page,
      hasMore: page.length < found.length,
      ver: version,
      nowMs: nowMs(),
    });
  };

  const changesAfter = (table, after) =>
    history.filter((row) => row.table === table && row.ver > after);

  const feed = async (query, request, response) => {
    await sleep(READ_MS);
    const table = query.get('table');
    const after = Number(query.get('after') ?? 0);
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    while (changesAfter(table, after).length === 0 && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, untilMs - performance.now()));
        waiters.add(wake);
      });
      if (request.socket.destroyed) return;
    }
    const changes = changesAfter(table, after);
    const page = [];
    let bytes = 0;
    for (const row of changes) {
      bytes += row.value?.length ?? 0;
      // A transaction is never divided between two answers.
      if (page.length > 0 && bytes > MAX_BYTES && row.ver !== page.at(-1).ver) break;
      page.push(row);
    }
    const ver = page.length < changes.length ? page.at(-1).ver : version;
    answer(response, 200, { rows: page, ver, nowMs: nowMs() });
  };

  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const serve = async () => {
      if (hooks.refuses(request, url)) answer(response, 503);
      else if (url.pathname === '/-/rows-tx') await transact(request, response);
      else if (url.pathname === '/-/rows-get') await get(url.searchParams, response);
      else if (url.pathname === '/-/rows-feed') await feed(url.searchParams, request, response);
      else answer(response, 404);
    };
    serve().catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    hooks,
    refused,
    put: (table, key, value) =>
      commit([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []),
    remove: (table, key) => commit([], [{ table, key }]),
    read: (table, part, key) => {
      const row = rows.get(idOf({ table, part, key }));
      return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};
