/**
 * The platform's transactional table. An answer that was lost is settled here: each transaction
 * writes a row of its own change id, which is read back when the outcome is in doubt. So no change
 * happens twice, and none is reported that did not happen.
 */
import { randomUUID } from 'node:crypto';

import type { ChangeId, RowCheck, RowWrite, TableRow } from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import { createHttpJson, successBody, type HttpJsonOptions } from './http-json.js';
import type { PlatformError } from './platform-error.js';

/** How a transaction ended. All rows of a transaction get the same version. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | {
      readonly kind: 'conflict';
      readonly key: string;
      /** The rows of the checks as they are, where the table tells them. */
      readonly rows?: readonly TableRow[];
    };

/** A transaction as the callers of the client write it. */
export type TableTransaction = {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
};

export type TableClient = {
  readonly read: (keys: readonly string[]) => Promise<Result<readonly TableRow[], PlatformError>>;
  readonly scan: (prefix: string) => Promise<Result<readonly TableRow[], PlatformError>>;
  readonly transact: (
    transaction: TableTransaction,
  ) => Promise<Result<TransactionOutcome, PlatformError>>;
  readonly close: () => Promise<void>;
};

export type TableClientOptions = HttpJsonOptions & {
  /** How long a transaction in doubt is pursued before it is reported as unknown. */
  readonly settleMs?: number;
  readonly newChangeId?: () => ChangeId;
};

const CHANGE_PREFIX = 'change/';
const SETTLE_PAUSE_MS = 50;
/** Settled change rows are deleted with a later transaction, this many at a time. */
const SWEPT_PER_TRANSACTION = 16;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Opens a client of the table.
 *
 * @param options - The address and the bounds on time, in milliseconds.
 * @returns The client.
 */
export const createTableClient = ({
  settleMs = 4000,
  newChangeId = () => randomUUID() as string as ChangeId,
  ...httpOptions
}: TableClientOptions): TableClient => {
  const http = createHttpJson(httpOptions);
  const settledChanges: string[] = [];

  const read = async (keys: readonly string[]) => {
    const result = await http.request({ method: 'POST', path: '/table/read', body: { keys } });
    return successBody<{ rows: readonly TableRow[] }>(result).map(({ rows }) => rows);
  };

  const scan = async (prefix: string) => {
    const path = `/table/scan?prefix=${encodeURIComponent(prefix)}`;
    const result = await http.request({ method: 'GET', path });
    return successBody<{ rows: readonly TableRow[] }>(result).map(({ rows }) => rows);
  };

  const sendOnce = async (body: TableTransaction) =>
    successBody<TransactionOutcome>(
      await http.request({ method: 'POST', path: '/table/transact', body }),
    );

  /** The version of the change row, or 0 if the change has not happened. */
  const changeVersion = async (changeKey: string): Promise<Result<number, PlatformError>> =>
    (await read([changeKey])).map(([row]) => row?.version ?? 0);

  const settle = async (
    body: TableTransaction,
    changeKey: string,
    first: PlatformError,
  ): Promise<Result<TransactionOutcome, PlatformError>> => {
    const untilMs = performance.now() + settleMs;
    let isInDoubt = first.kind !== 'unreachable';
    let last = first;
    while (performance.now() < untilMs) {
      await pause(SETTLE_PAUSE_MS);
      const version = await changeVersion(changeKey);
      if (version.isErr()) {
        last = version.error;
        continue;
      }
      if (version.value > 0) return Ok({ kind: 'committed', version: version.value });
      const again = await sendOnce(body);
      if (again.isErr()) {
        isInDoubt ||= again.error.kind !== 'unreachable';
        last = again.error;
        continue;
      }
      if (again.value.kind === 'committed') return again;
      // The first attempt may have landed in between and be what this one conflicts with.
      const landed = await changeVersion(changeKey);
      if (landed.isErr()) {
        last = landed.error;
        continue;
      }
      return landed.value > 0 ? Ok({ kind: 'committed', version: landed.value }) : again;
    }
    return Err({ kind: isInDoubt ? 'unknown' : 'unreachable', detail: last.detail });
  };

  const transact = async ({ checks, writes }: TableTransaction) => {
    const changeKey = `${CHANGE_PREFIX}${newChangeId()}`;
    const swept = settledChanges.splice(0, SWEPT_PER_TRANSACTION);
    const body = {
      checks: [{ key: changeKey, version: 0 }, ...checks],
      writes: [
        { key: changeKey, value: 1 },
        ...writes,
        ...swept.map((key) => ({ key, value: null })),
      ],
    };
    const first = await sendOnce(body);
    const outcome =
      first.isErr() && first.error.kind !== 'rejected'
        ? await settle(body, changeKey, first.error)
        : first;
    const isCommitted = outcome.isOk() && outcome.value.kind === 'committed';
    if (isCommitted) settledChanges.push(changeKey);
    else settledChanges.push(...swept);
    return outcome;
  };

  return { read, scan, transact, close: http.close };
};
