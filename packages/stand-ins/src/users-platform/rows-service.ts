/** An in-memory stand-in for the users' row store, with transactions, paged reads and change feeds. */
import type { FastifyInstance } from 'fastify';

type Row = {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly ver: number;
  readonly deleted?: boolean;
};

/** The location of a row. */
export type RowLocation = { readonly table: string; readonly part: string; readonly key: string };

type Transaction = {
  /** The transaction fails unless each of these rows has this version; 0 means that it is absent. */
  readonly expectedRev?: readonly (RowLocation & { readonly ver: number })[];
  readonly puts?: readonly (RowLocation & { readonly value: string })[];
  readonly remove?: readonly RowLocation[];
};

/** The current fault of the store. */
export type RowsFault = {
  /**
   * `unavailable`: requests are answered with 503. `silent`: requests are never answered.
   * `lose`: transactions are applied, but their responses are lost.
   */
  readonly kind: 'none' | 'unavailable' | 'silent' | 'lose';
};

export type RowsServiceOptions = {
  /** Called for each row that is written, before the writer gets a response. */
  readonly onPut?: (place: RowLocation) => void;
};

export type RowsService = {
  /** Writes a row, outside of any check. */
  readonly put: (table: string, key: string, value: unknown) => void;
  /** Writes a row whose value is a text of any form, as another writer may. */
  readonly putText: (table: string, key: string, value: string) => void;
  /** Deletes a row if it exists. */
  readonly remove: (table: string, key: string) => void;
  /** Returns the decoded value of a row; undefined when the row does not exist. */
  readonly readValue: (table: string, part: string, key: string) => unknown;
  readonly listKeys: (table: string) => readonly string[];
  readonly setFault: (fault: RowsFault) => void;
  /** Discards the change history, so that feeds which have not read all of it must start again. */
  readonly discardHistory: () => void;
  /** Adds the routes and the faults of the store to a server. */
  readonly register: (server: FastifyInstance) => void;
};

const MAX_WAIT_MS = 30_000;
/** Maximum size of the values in one response, which always holds at least one row. */
const MAX_PAGE_BYTES = 1_000_000;

const rowId = ({ table, part, key }: RowLocation): string => JSON.stringify([table, part, key]);

const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64');

/** Returns the leading rows that fit into one response. */
const firstPage = (rows: readonly Row[], maxRows = Infinity): readonly Row[] => {
  let bytes = 0;
  const isOver = ({ value = '' }: Row, index: number): boolean => {
    bytes += value.length;
    return index >= maxRows || (index > 0 && bytes > MAX_PAGE_BYTES);
  };
  const end = rows.findIndex(isOver);
  return end < 0 ? rows : rows.slice(0, end);
};

/**
 * Creates the service.
 *
 * @param options - The callback for writes.
 * @returns The service, which `register` adds to a server.
 */
export const createRowsService = ({
  onPut = () => undefined,
}: RowsServiceOptions = {}): RowsService => {
  const rows = new Map<string, Row>();
  let history: Row[] = [];
  let version = 0;
  let truncatedUpTo = 0;
  let fault: RowsFault = { kind: 'none' };
  const waiters = new Set<() => void>();

  const recordChange = (row: Row): void => {
    history.push(row);
    if (row.deleted) rows.delete(rowId(row));
    else rows.set(rowId(row), row);
  };

  const commit = ({ puts = [], remove = [] }: Transaction): number => {
    version += 1;
    puts.forEach((put) => {
      recordChange({ ...put, ver: version });
      onPut(put);
    });
    remove
      .filter((place) => rows.has(rowId(place)))
      .forEach((place) => recordChange({ ...place, ver: version, deleted: true }));
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
      const hasOtherVersion = (check: RowLocation & { readonly ver: number }): boolean =>
        (rows.get(rowId(check))?.ver ?? 0) !== check.ver;
      if (expectedRev.some(hasOtherVersion)) {
        const currentRows = expectedRev.flatMap((check) => rows.get(rowId(check)) ?? []);
        return reply.code(412).send({ rows: currentRows, ver: version });
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
        if (after < truncatedUpTo) return reply.code(410).send();
        const untilMs = performance.now() + Math.min(MAX_WAIT_MS, Number(query.waitMs ?? 0));
        while (changesOf(query.table, after).length === 0 && performance.now() < untilMs) {
          await waitForChange(Math.max(1, untilMs - performance.now()));
        }
        // The history may have been discarded while the request waited.
        if (after < truncatedUpTo) return reply.code(410).send();
        const changes = changesOf(query.table, after);
        const page = firstPage(changes);
        // When the changes do not fit, the reader continues after the last row of this response.
        const upTo = page.length < changes.length ? page.at(-1)?.ver : version;
        return { rows: page, ver: upTo ?? version };
      },
    );
  };

  return {
    put: (table, key, value) => {
      commit({ puts: [{ table, part: '', key, value: encode(value) }] });
    },
    putText: (table, key, value) => {
      commit({ puts: [{ table, part: '', key, value }] });
    },
    remove: (table, key) => {
      commit({ remove: [{ table, part: '', key }] });
    },
    readValue: (table, part, key) => {
      const row = rows.get(rowId({ table, part, key }));
      if (!row?.value) return undefined;
      return JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')) as unknown;
    },
    listKeys: (table) =>
      Array.from(rows.values())
        .filter((row) => row.table === table)
        .map(({ key }) => key),
    setFault: (newFault) => {
      fault = newFault;
    },
    discardHistory: () => {
      history = [];
      truncatedUpTo = version;
    },
    register,
  };
};
