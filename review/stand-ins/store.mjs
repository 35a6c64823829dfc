/* eslint-disable */
/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows in tables and parts, transactions
 * with conditions, whole reads and feeds. It refuses what the page excludes: more than 100 entries or 1 MB in a
 * transaction, entries of several parts, and values over `rowBytes`.
 */
import { createServer } from 'node:http';

const MAX_ENTRIES = 100;
const MAX_TX_BYTES = 1_000_000;
const MAX_PAGE_BYTES = 1_000_000;
const MAX_WAIT_MS = 30_000;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const idOf = ({ table, part, key }) => `${table}\u0001${part}\u0001${key}`;
const byKey = (left, right) =>
  Buffer.compare(Buffer.from(left.key, 'utf8'), Buffer.from(right.key, 'utf8'));

export const createStore = ({ rowBytes = 65536, txMs = 8, readMs = 4, record = () => {} } = {}) => {
  const rows = new Map();
  let history = [];
  let version = 0;
  const waiters = new Set();
  const queues = new Map();

  const commit = ({ puts = [], remove = [] }) => {
    version += 1;
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver: version };
      rows.set(idOf(row), row);
      history.push(row);
    }
    for (const { table, part = '', key } of remove) {
      const id = idOf({ table, part, key });
      if (!rows.has(id)) continue;
      rows.delete(id);
      history.push({ table, part, key, ver: version, deleted: true });
    }
    if (history.length > 50_000) history = history.slice(-25_000);
    for (const wake of [...waiters]) wake();
    return version;
  };

  /** The fault of a transaction that the page doesn't allow; undefined if it is allowed. */
  const findFault = ({ expectedRev = [], puts = [], remove = [] }) => {
    const all = [...expectedRev, ...puts, ...remove];
    if (all.length > MAX_ENTRIES) return `more than ${MAX_ENTRIES} entries`;
    if (new Set(all.map(({ part = '' }) => part)).size > 1) return 'several parts';
    if (puts.some(({ table }) => table === 'servers' || table === 'op'))
      return 'not yours to write';
    const large = puts.find(({ value }) => value.length > rowBytes);
    if (large) return `value of ${large.table}/${large.key} has ${large.value.length} bytes`;
    const bytes = puts.reduce((sum, { value }) => sum + value.length, 0);
    if (bytes > MAX_TX_BYTES) return `${bytes} bytes in one transaction`;
    return undefined;
  };

  /** The transactions of one part run one after the other. */
  const inTurn = async (part, work) => {
    const before = queues.get(part) ?? Promise.resolve();
    const mine = before.then(async () => {
      await sleep(txMs);
      return work();
    });
    queues.set(
      part,
      mine.catch(() => undefined),
    );
    return mine;
  };

  const transact = async (body) => {
    const fault = findFault(body);
    if (fault) {
      record('store-refused', { fault });
      return [400, { error: fault }];
    }
    const { expectedRev = [], puts = [], remove = [] } = body;
    const part = [...expectedRev, ...puts, ...remove][0]?.part ?? '';
    return inTurn(part, () => {
      const differs = ({ table, part: of = '', key, ver }) =>
        (rows.get(idOf({ table, part: of, key }))?.ver ?? 0) !== ver;
      if (expectedRev.some(differs)) {
        const current = expectedRev.flatMap(
          ({ table, part: of = '', key }) => rows.get(idOf({ table, part: of, key })) ?? [],
        );
        return [412, { rows: current, ver: version, nowMs: Math.round(performance.now()) }];
      }
      return [200, { ver: commit(body), nowMs: Math.round(performance.now()) }];
    });
  };

  const firstPage = (found, limit) => {
    const page = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value?.length ?? 0;
      if (page.length >= limit || (page.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      page.push(row);
    }
    return page;
  };

  const get = (query) => {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = Buffer.from(query.get('from') ?? '', 'utf8');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => Buffer.compare(Buffer.from(key, 'utf8'), from) >= 0)
      .sort(byKey);
    const page = firstPage(found, limit);
    return [
      200,
      {
        rows: page,
        hasMore: found.length > page.length,
        ver: version,
        nowMs: Math.round(performance.now()),
      },
    ];
  };

  const feed = async (query) => {
    const table = query.get('table');
    const after = Number(query.get('after') ?? 0);
    const untilMs = performance.now() + Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const changes = () => history.filter((row) => row.table === table && row.ver > after);
    while (changes().length === 0 && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, untilMs - performance.now()));
        waiters.add(wake);
      });
    }
    const all = changes();
    const page = firstPage(all, Infinity);
    const ver = page.length < all.length ? page.at(-1).ver : version;
    return [200, { rows: page, ver, nowMs: Math.round(performance.now()) }];
  };

  const answer = async (method, url, body) => {
    const { pathname, searchParams } = new URL(url, 'http://store');
    if (method === 'POST' && pathname === '/-/rows-tx') return transact(JSON.parse(body));
    if (method === 'GET' && pathname === '/-/rows-feed') return feed(searchParams);
    await sleep(readMs);
    if (method === 'GET' && pathname === '/-/rows-get') return get(searchParams);
    return [404, {}];
  };

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => response.destroy());
    request.on('end', async () => {
      const [status, body] = await answer(
        request.method,
        request.url,
        Buffer.concat(chunks).toString('utf8'),
      );
      if (response.destroyed) return;
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
  });

  const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');
  return {
    server,
    /** Writes a row of the operator or of an executor. */
    put: (table, key, value) => commit({ puts: [{ table, part: '', key, value: encode(value) }] }),
    remove: (table, key) => commit({ remove: [{ table, part: '', key }] }),
    /** The holder that the row of the lease names, to stop the process that leads. */
    read: (table, part, key) => {
      const row = rows.get(idOf({ table, part, key }));
      return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
    },
  };
};
