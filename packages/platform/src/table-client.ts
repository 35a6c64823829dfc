/**
 * A client of the platform's transactional table. When the response to a transaction is lost, the
 * client finds out the outcome: each transaction writes a row under its own change id, which is read
 * back when the outcome is unknown. No change is applied twice, and none is reported as committed that
 * was not.
 */
import { randomUUID } from 'node:crypto';

import type { ChangeId, RowCheck, RowWrite, TableRow } from '@valvelatch/core';
import { Err, Ok, type Result } from 'ts-results-es';

import { createHttpJson, successBody, type HttpJsonOptions } from './http-json.js';
import type { PlatformError } from './platform-error.js';

/** The outcome of a transaction. All rows that a transaction writes get the same version. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly version: number }
  | {
      readonly kind: 'conflict';
      /** The checked key whose version did not match. */
      readonly key: string;
      /** The current rows of the checked keys; undefined when the table does not return them. */
      readonly rows?: readonly TableRow[];
    };

/** A transaction as callers submit it: the writes are applied only if all checks hold. */
export type TableTransaction = {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
};

export type TableClient = {
  /** Returns the rows of the given keys. */
  readonly read: (keys: readonly string[]) => Promise<Result<readonly TableRow[], PlatformError>>;
  /** Returns all rows whose keys begin with the prefix. */
  readonly scan: (prefix: string) => Promise<Result<readonly TableRow[], PlatformError>>;
  readonly transact: (
    transaction: TableTransaction,
  ) => Promise<Result<TransactionOutcome, PlatformError>>;
  readonly close: () => Promise<void>;
};

export type TableClientOptions = HttpJsonOptions & {
  /** How long the outcome of a failed transaction is pursued before the error is returned. */
  readonly resolveTimeoutMs?: number;
  readonly newChangeId?: () => ChangeId;
};

const CHANGE_PREFIX = 'change/';
const RETRY_PAUSE_MS = 50;
/** Change rows of committed transactions are deleted by later ones, up to this many by each. */
const MAX_CHANGE_ROWS_DELETED = 16;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Creates a client of the table.
 *
 * @param options - The address, the timeouts in milliseconds and the generator of change ids.
 * @returns The client.
 */
export const createTableClient = ({
  resolveTimeoutMs = 4000,
  newChangeId = () => randomUUID() as string as ChangeId,
  ...httpOptions
}: TableClientOptions): TableClient => {
  const http = createHttpJson(httpOptions);
  const obsoleteChangeKeys: string[] = [];

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

  /** Returns the version of the change row, or 0 if the transaction has not been committed. */
  const readChangeVersion = async (changeKey: string): Promise<Result<number, PlatformError>> =>
    (await read([changeKey])).map(([row]) => row?.version ?? 0);

  /** Finds out the outcome of a failed transaction, and sends it again if it was not committed. */
  const resolveOutcome = async (
    body: TableTransaction,
    changeKey: string,
    firstError: PlatformError,
  ): Promise<Result<TransactionOutcome, PlatformError>> => {
    const deadlineMs = performance.now() + resolveTimeoutMs;
    let isInDoubt = firstError.kind !== 'unreachable';
    let lastError = firstError;
    while (performance.now() < deadlineMs) {
      await pause(RETRY_PAUSE_MS);
      const version = await readChangeVersion(changeKey);
      if (version.isErr()) {
        lastError = version.error;
        continue;
      }
      if (version.value > 0) return Ok({ kind: 'committed', version: version.value });
      const retry = await sendOnce(body);
      if (retry.isErr()) {
        isInDoubt ||= retry.error.kind !== 'unreachable';
        lastError = retry.error;
        continue;
      }
      if (retry.value.kind === 'committed') return retry;
      // An earlier attempt may have been committed after the change row was read, and be the cause of
      // this conflict.
      const versionAfterRetry = await readChangeVersion(changeKey);
      if (versionAfterRetry.isErr()) {
        lastError = versionAfterRetry.error;
        continue;
      }
      return versionAfterRetry.value > 0
        ? Ok({ kind: 'committed', version: versionAfterRetry.value })
        : retry;
    }
    return Err({ kind: isInDoubt ? 'unknown' : 'unreachable', detail: lastError.detail });
  };

  const transact = async ({ checks, writes }: TableTransaction) => {
    const changeKey = `${CHANGE_PREFIX}${newChangeId()}`;
    const toDelete = obsoleteChangeKeys.splice(0, MAX_CHANGE_ROWS_DELETED);
    const body = {
      checks: [{ key: changeKey, version: 0 }, ...checks],
      writes: [
        { key: changeKey, value: 1 },
        ...writes,
        ...toDelete.map((key) => ({ key, value: null })),
      ],
    };
    const first = await sendOnce(body);
    const outcome =
      first.isErr() && first.error.kind !== 'rejected'
        ? await resolveOutcome(body, changeKey, first.error)
        : first;
    const isCommitted = outcome.isOk() && outcome.value.kind === 'committed';
    if (isCommitted) obsoleteChangeKeys.push(changeKey);
    else obsoleteChangeKeys.push(...toDelete);
    return outcome;
  };

  return { read, scan, transact, close: http.close };
};
