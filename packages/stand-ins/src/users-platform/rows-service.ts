/** A stand-in for the users' store of rows: transactions, pages and feeds, in memory. */
import type { FastifyInstance } from 'fastify';

type Row = {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly deleted?: boolean;
};

/** Where a row is. */
export type Place = { readonly table: string; readonly part: string; readonly key: string };

type Transaction = {
  readonly expectedRev?: readonly (Place & { readonly ver: number })[];
  readonly puts?: readonly (Place & { readonly value: string })[];
  readonly remove?: readonly Place[];
};

/** What is wrong with the store at the moment. */
export type RowsFault = {
  /** `lose`: writes are done and not answered. */
  readonly kind: 'none' | 'unavailable' | 'silent' | 'lose';
};

export type RowsServiceOptions = {
  /** Told of each row that is written, before its writer has an answer. */
  readonly onPut?: (place: Place) => void;
};

export type RowsService = {
  readonly put: (table: string, key: string, value: unknown) => void;
  readonly drop: (table: string, key: string) => void;
  readonly valueOf: (table: string, part: string, key: string) => unknown;
  readonly keysOf: (table: string) => readonly string[];
  readonly setFault: (fault: RowsFault) => void;
  /** Forgets what happened so far: feeds that are behind must begin anew. */
  readonly forgetHistory: () => void;
  readonly register: (server: FastifyInstance) => void;
};

const MOST_WAIT_MS = 30_000;
/** An answer holds no more than this, but at least one row. */
const PAGE_BYTES = 1_000_000;

const idOf = ({ table, part, key }: Place): string => JSON.stringify([table, part, key]);

const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64');

/** The rows that one answer holds. */
const firstPage = (rows: readonly Row[], mostRows = Infinity): readonly Row[] => {
  let bytes = 0;
  const isOver = ({ value = '' }: Row, index: number): boolean => {
    bytes += value.length;
    return index >= mostRows || (index > 0 && bytes > PAGE_BYTES);
  };
  const end = rows.findIndex(isOver);
  return end < 0 ? rows : rows.slice(0, end);
};

/**
 * Builds the service.
 *
 * @param options - Who is told of writes.
 * @returns The service, to be put on a server.
 */
export const createRowsService = ({
  onPut = () => undefined,
}: RowsServiceOptions = {}): RowsService => {
  const rows = new Map<string, Row>();
  let history: Row[] = [];
  let version = 0;
  let forgottenUpTo = 0;
  let fault: RowsFault = { kind: 'none' };
  const waiters = new Set<() => void>();

  const note = (row: Row): void => {
    history.push(row);
    if (row.deleted) rows.delete(idOf(row));
    else rows.set(idOf(row), row);
  };

  const commit = ({ puts = [], remove = [] }: Transaction): number => {
    version += 1;
    puts.forEach((put) => {
      note({ ...put, ver: version });
      onPut(put);
    });
    remove
      .filter((place) => rows.has(idOf(place)))
      .forEach((place) => note({ ...place, ver: version, deleted: true }));
    waiters.forEach((wake) => wake());
    return version;
  };

  const changesOf = (table: string, after: number): readonly Row[] =>
    history.filter((row) => row.table === table && row.ver > after);

  const waitForChange = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiters.add(wake);
    });

  const register = (server: FastifyInstance): void => {
    server.addHook('onRequest', async (_, reply) => {
      if (fault.kind === 'unavailable') await reply.code(503).send();
      if (fault.kind === 'silent') await new Promise<void>(() => {});
    });

    server.post<{ Body: Transaction }>('/-/rows-tx', async ({ body }, reply) => {
      const { expectedRev = [] } = body;
      const isMoved = (check: Place & { readonly ver: number }): boolean =>
        (rows.get(idOf(check))?.ver ?? 0) !== check.ver;
      if (expectedRev.some(isMoved)) {
        const there = expectedRev.flatMap((check) => rows.get(idOf(check)) ?? []);
        return reply.code(412).send({ rows: there, ver: version });
      }
      const ver = commit(body);
      if (fault.kind === 'lose') reply.raw.destroy();
      return { ver, nowMs: Math.round(performance.now()) };
    });

    server.get<{ Querystring: { table: string; part: string; from?: string; limit?: string } }>(
      '/-/rows-get',
      async ({ query }) => {
        const limit = Number(query.limit ?? 500);
        const found = Array.from(rows.values())
          .filter(({ table, part }) => table === query.table && part === (query.part ?? ''))
          .filter(({ key }) => key >= (query.from ?? ''))
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        const page = firstPage(found, limit);
        return { rows: page, hasMore: found.length > page.length, ver: version };
      },
    );

    server.get<{ Querystring: { table: string; after: string; waitMs?: string } }>(
      '/-/rows-feed',
      async ({ query }, reply) => {
        const after = Number(query.after);
        if (after < forgottenUpTo) return reply.code(410).send();
        const untilMs = performance.now() + Math.min(MOST_WAIT_MS, Number(query.waitMs ?? 0));
        while (changesOf(query.table, after).length === 0 && performance.now() < untilMs) {
          await waitForChange(Math.max(1, untilMs - performance.now()));
        }
        // What came while the question waited may be forgotten before it is answered.
        if (after < forgottenUpTo) return reply.code(410).send();
        const changes = changesOf(query.table, after);
        const page = firstPage(changes);
        // What does not fit is asked for after the last row of this answer.
        const upTo = page.length < changes.length ? page.at(-1)?.ver : version;
        return { rows: page, ver: upTo ?? version };
      },
    );
  };

  return {
    put: (table, key, value) => {
      commit({ puts: [{ table, part: '', key, value: encode(value) }] });
    },
    drop: (table, key) => {
      commit({ remove: [{ table, part: '', key }] });
    },
    valueOf: (table, part, key) => {
      const row = rows.get(idOf({ table, part, key }));
      if (!row?.value) return undefined;
      return JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')) as unknown;
    },
    keysOf: (table) =>
      Array.from(rows.values())
        .filter((row) => row.table === table)
        .map(({ key }) => key),
    setFault: (now) => {
      fault = now;
    },
    forgetHistory: () => {
      history = [];
      forgottenUpTo = version;
    },
    register,
  };
};
