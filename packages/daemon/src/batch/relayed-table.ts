/**
 * The table, also through a neighbour: the platform may turn one entry away while it serves the
 * others. All calls here are safe to repeat: a transaction carries its own conditions.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EntryId } from '@valvelatch/core/shared/ids';
import type { PlatformError, TableTransaction, TransactionOutcome } from '@valvelatch/platform';
import type { TableRow } from '@valvelatch/core/rows/transaction';

import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import type { BatchTable } from './ports.js';

/**
 * After a failure the neighbours are asked first for this time: an entry that is turned away in
 * silence loses a time-out with each try, and a lease with a few of them.
 */
const TURNED_MS = 1500;
const RELAY_MS = 1000;
/** So many neighbours are asked before a call is given up. */
const MOST_NEIGHBOURS = 3;
/**
 * Neighbours that are turned away as well show that the table is overloaded or away for all: more
 * calls would only add to that. They are not asked for this time.
 */
const ALL_AWAY_MS = 1000;

/** The calls that neighbours make for each other. */
export type RelayCall =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | { readonly kind: 'scan'; readonly prefix: string }
  | { readonly kind: 'transact'; readonly transaction: TableTransaction };

type RelayAnswer = { readonly isOk: boolean; readonly value: unknown };

export const RELAY_METHOD = 'table';

export type RelayedTableOptions = {
  readonly table: BatchTable;
  readonly neighbours: () => readonly EntryId[];
  readonly ask: (
    entryId: EntryId,
    method: string,
    payload: unknown,
    ms: number,
  ) => Promise<unknown>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
};

export type RelayedTable = Pick<BatchTable, 'read' | 'scan' | 'transact'> & {
  /** When the table answered last, directly or through a neighbour. */
  readonly answeredAtMs: () => number;
  /** True if the last call on the own way was answered. */
  readonly isServed: () => boolean;
};

type AnyResult = Result<unknown, PlatformError>;

const callDirectly = (table: BatchTable, call: RelayCall): Promise<AnyResult> => {
  if (call.kind === 'read') return table.read(call.keys);
  if (call.kind === 'scan') return table.scan(call.prefix);
  return table.transact(call.transaction);
};

/**
 * Answers a neighbour's call.
 *
 * @param table - The own way to the table.
 * @param call - The neighbour's call.
 * @returns The answer for it.
 */
export const answerRelay = async (table: BatchTable, call: RelayCall): Promise<RelayAnswer> => {
  const result = await callDirectly(table, call);
  return result.isOk() ? { isOk: true, value: result.value } : { isOk: false, value: result.error };
};

/**
 * Puts neighbours beside the own way to the table.
 *
 * @param options - The table and the neighbours.
 * @returns The table.
 */
export const createRelayedTable = ({
  table,
  neighbours,
  ask,
  log,
  metrics,
  nowMs = () => performance.now(),
}: RelayedTableOptions): RelayedTable => {
  let failures = 0;
  let turnedUntilMs = 0;
  let allAwayUntilMs = 0;
  const failedAtMs = new Map<EntryId, number>();
  let answeredAtMs = -Infinity;

  const direct = async (call: RelayCall): Promise<AnyResult> => {
    const result = await callDirectly(table, call);
    if (result.isOk() || result.error.kind === 'rejected') {
      if (failures > 0) log.info('table-regained', {});
      failures = 0;
      answeredAtMs = nowMs();
      return result;
    }
    failures += 1;
    if (failures === 1) log.warn('table-lost', { detail: result.error.detail });
    turnedUntilMs = nowMs() + TURNED_MS;
    return result;
  };

  const relayBy = async (neighbour: EntryId, call: RelayCall): Promise<AnyResult> => {
    metrics.count('table_relays');
    try {
      const answer = (await ask(neighbour, RELAY_METHOD, call, RELAY_MS)) as RelayAnswer;
      if (!answer.isOk) {
        failedAtMs.set(neighbour, nowMs());
        return Err(answer.value as PlatformError);
      }
      failedAtMs.delete(neighbour);
      answeredAtMs = nowMs();
      return Ok(answer.value);
    } catch (error) {
      failedAtMs.set(neighbour, nowMs());
      return Err({ kind: 'unknown', detail: `relay by ${neighbour}: ${String(error)}` });
    }
  };

  /** Neighbours that were served last come before those that failed last. */
  const byTrust = (): readonly EntryId[] =>
    [...neighbours()]
      .sort((left, right) => (failedAtMs.get(left) ?? 0) - (failedAtMs.get(right) ?? 0))
      .slice(0, MOST_NEIGHBOURS);

  const relay = async (call: RelayCall): Promise<AnyResult> => {
    if (nowMs() < allAwayUntilMs) {
      return Err({ kind: 'unreachable', detail: 'neighbours are turned away too' });
    }
    const [first, ...others] = byTrust();
    if (!first) return Err({ kind: 'unreachable', detail: 'no neighbour' });
    const result = await others.reduce<Promise<AnyResult>>(
      async (before, neighbour) => {
        const last = await before;
        return isAnswered(last) ? last : join(last, await relayBy(neighbour, call));
      },
      relayBy(first, call),
    );
    if (!isAnswered(result)) allAwayUntilMs = nowMs() + ALL_AWAY_MS;
    return result;
  };

  const isAnswered = (result: AnyResult): boolean =>
    result.isOk() || result.error.kind === 'rejected';

  const join = (first: AnyResult, second: AnyResult): AnyResult => {
    if (isAnswered(second) || first.isOk() || second.isOk()) return second;
    const isUnknown = first.error.kind === 'unknown' || second.error.kind === 'unknown';
    return Err({
      kind: isUnknown ? 'unknown' : 'unreachable',
      detail: `${first.error.detail}; ${second.error.detail}`,
    });
  };

  const call = async (one: RelayCall): Promise<AnyResult> => {
    const order = nowMs() < turnedUntilMs ? [relay, direct] : [direct, relay];
    const first = await (order[0] as typeof direct)(one);
    if (isAnswered(first)) return first;
    return join(first, await (order[1] as typeof direct)(one));
  };

  return {
    read: (keys) =>
      call({ kind: 'read', keys }) as Promise<Result<readonly TableRow[], PlatformError>>,
    scan: (prefix) =>
      call({ kind: 'scan', prefix }) as Promise<Result<readonly TableRow[], PlatformError>>,
    transact: (transaction) =>
      call({ kind: 'transact', transaction }) as Promise<Result<TransactionOutcome, PlatformError>>,
    answeredAtMs: () => answeredAtMs,
    isServed: () => failures === 0,
  };
};
