/**
 * Access to the table directly or through a neighbour, which is another entry: the platform may refuse the calls of one
 * entry while it serves the others. All calls here are safe to repeat, since a transaction carries its own conditions.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EntryId } from '@valvelatch/core/shared/ids';
import type { PlatformError, TableTransaction, TransactionOutcome } from '@valvelatch/platform';
import type { TableRow } from '@valvelatch/core/rows/transaction';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { firstAnswer, isAnswered, type CallResult } from './first-answer.js';
import { LEASE_PREFIX } from '../keys.js';
import type { AskPeer } from '../entry/peers.js';
import type { BatchTable } from '../ports.js';

/**
 * How long neighbours are asked first after a direct call has failed. An entry whose calls the platform drops without an
 * answer waits for a whole time-out on each direct attempt, and a few of those lose a lease.
 */
const NEIGHBOURS_FIRST_MS = 1500;
/** Time-out of a call through a neighbour. */
const RELAY_TIMEOUT_MS = 1000;
/**
 * If a call on a lease is not answered by a neighbour within this time, the next neighbour is asked as well. A neighbour
 * that the table serves answers in 20 ms.
 */
const STAGGER_MS = 250;
/**
 * If a call on a lease is not answered within this time on the first route, it is also made on the other route: two
 * time-outs lose a lease of 4 s. A slow table answers within 610 ms, so this must be longer, or every lease call would be
 * made twice on a slow table. Other calls are never hedged, because only the few lease calls may add to its load.
 */
const HEDGE_MS = 700;
/** A stagger that never ends, for calls that are not hedged: the longest delay that a Node.js timer accepts. */
const NO_STAGGER_MS = 2 ** 31 - 1;
/** Maximum number of neighbours that are asked before a call fails. */
const MAX_NEIGHBOURS = 3;
/**
 * How long no neighbour is asked after the calls of all that were asked have failed. In that case the table is overloaded
 * or unavailable to every entry, and more calls would only add to its load.
 */
const NEIGHBOURS_BACKOFF_MS = 1000;

/**
 * A table that has not answered for this long is probed every `PROBE_INTERVAL_MS`, while earlier calls still wait for their
 * time-outs, so that submissions are admitted again within `PROBE_INTERVAL_MS` of the table's return.
 */
const PROBE_AFTER_MS = 400;
export const PROBE_INTERVAL_MS = 200;
const MAX_PROBES_IN_FLIGHT = 4;
const PROBE_KEY = `${LEASE_PREFIX}control`;

/** A table call that an entry makes on behalf of a neighbour. */
export type TableCall =
  | { readonly kind: 'read'; readonly keys: readonly string[] }
  | { readonly kind: 'scan'; readonly prefix: string }
  | { readonly kind: 'transact'; readonly transaction: TableTransaction };

/**
 * The result of a table call as sent between entries: `value` is the call's value, or a `PlatformError` if not `isOk`.
 */
type TableCallAnswer = { readonly isOk: boolean; readonly value: unknown };

/** The mesh method that asks a neighbour to make a table call. */
export const TABLE_CALL_METHOD = 'table';

export type RelayedTableOptions = {
  readonly table: BatchTable;
  readonly neighbours: () => readonly EntryId[];
  readonly ask: AskPeer;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
  readonly random?: () => number;
};

export type RelayedTable = Pick<BatchTable, 'read' | 'scan' | 'transact'> & {
  /**
   * When the table last answered, directly or through a neighbour, by the monotonic clock; -Infinity before the first
   * answer.
   */
  readonly lastAnsweredAtMs: () => number;
  /**
   * Makes a call on behalf of a neighbour. Fails at once, without a call, if this entry's last direct call failed
   * recently.
   */
  readonly callForNeighbour: (call: TableCall) => Promise<TableCallAnswer>;
  /**
   * Milliseconds since the first direct call after the last answer, if nothing has been answered since, directly or
   * through a neighbour; else 0.
   */
  readonly unansweredForMs: () => number;
  /**
   * Reads a row while the table is not answering, so that its return is noticed quickly. To be called every
   * `PROBE_INTERVAL_MS`.
   */
  readonly probe: () => void;
  /** True if the last direct call that has ended was answered, or if none has ended yet. */
  readonly isDirectRouteUp: () => boolean;
  /**
   * When the first of the current run of failed direct calls failed, by the monotonic clock; Infinity if the last one
   * was answered.
   */
  readonly directRouteLostSinceMs: () => number;
};

const ALSO_REFUSED: PlatformError = {
  kind: 'unreachable',
  detail: 'the table turns this neighbour away too',
};

/**
 * Stands for the failure time of a neighbour whose last call succeeded. It sorts before 0, which stands for neighbours
 * that were never asked, and both sort before the times of failures.
 */
const LAST_CALL_SUCCEEDED = -1;

/** Tells whether a call reads or writes a lease row; a lease may be lost if such a call is late. */
const touchesLease = (call: TableCall): boolean => {
  const keys = {
    read: () => (call.kind === 'read' ? call.keys : []),
    scan: () => [],
    transact: () => (call.kind === 'transact' ? call.transaction.writes.map(({ key }) => key) : []),
  }[call.kind]();
  return keys.some((key) => key.startsWith(LEASE_PREFIX));
};

const callDirectly = (table: BatchTable, call: TableCall): Promise<CallResult> => {
  if (call.kind === 'read') return table.read(call.keys);
  if (call.kind === 'scan') return table.scan(call.prefix);
  return table.transact(call.transaction);
};

/**
 * Creates access to the table over two routes: directly and through neighbours.
 *
 * @param options - The table and the neighbours.
 * @returns The table over both routes.
 */
export const createRelayedTable = ({
  table,
  neighbours,
  ask,
  log,
  metrics,
  nowMs = () => performance.now(),
  random = Math.random,
}: RelayedTableOptions): RelayedTable => {
  let consecutiveFailures = 0;
  let lostSinceMs = Infinity;
  let neighboursFirstUntilMs = 0;
  let neighboursBackoffUntilMs = 0;
  const failedAtMs = new Map<EntryId, number>();
  let answeredAtMs = -Infinity;
  /** When the first direct call after the last answer was made; Infinity if there was none. */
  let unansweredSinceMs = Infinity;
  let probesInFlight = 0;

  const callTable = async (call: TableCall): Promise<CallResult> => {
    unansweredSinceMs = Math.min(unansweredSinceMs, nowMs());
    const result = await callDirectly(table, call);
    if (result.isOk() || result.error.kind === 'rejected') {
      if (consecutiveFailures > 0) log.info('table-regained', {});
      consecutiveFailures = 0;
      lostSinceMs = Infinity;
      recordAnswer();
      return result;
    }
    consecutiveFailures += 1;
    if (consecutiveFailures === 1) lostSinceMs = nowMs();
    if (consecutiveFailures === 1) log.warn('table-lost', { detail: result.error.detail });
    neighboursFirstUntilMs = nowMs() + NEIGHBOURS_FIRST_MS;
    return result;
  };

  const recordAnswer = (): void => {
    answeredAtMs = nowMs();
    unansweredSinceMs = Infinity;
  };

  const unansweredForMs = (): number => Math.max(0, nowMs() - unansweredSinceMs);

  const probe = (): void => {
    if (unansweredForMs() < PROBE_AFTER_MS || probesInFlight >= MAX_PROBES_IN_FLIGHT) return;
    probesInFlight += 1;
    void callTable({ kind: 'read', keys: [PROBE_KEY] }).then(() => {
      probesInFlight -= 1;
    });
  };

  const callThroughNeighbour = async (neighbour: EntryId, call: TableCall): Promise<CallResult> => {
    metrics.count('table_relays');
    try {
      const answer = (await ask(
        neighbour,
        TABLE_CALL_METHOD,
        call,
        RELAY_TIMEOUT_MS,
      )) as TableCallAnswer;
      if (!answer.isOk) {
        failedAtMs.set(neighbour, nowMs());
        return Err(answer.value as PlatformError);
      }
      failedAtMs.set(neighbour, LAST_CALL_SUCCEEDED);
      recordAnswer();
      return Ok(answer.value);
    } catch (error) {
      failedAtMs.set(neighbour, nowMs());
      return Err({ kind: 'unknown', detail: `relay by ${neighbour}: ${String(error)}` });
    }
  };

  /**
   * Selects the neighbours to ask: first those whose last call succeeded, then those never asked, then those that failed,
   * the least recent failure first. Ties are broken at random, because a network cut often affects all entries of one data
   * centre.
   */
  const rankNeighbours = (): readonly EntryId[] =>
    neighbours()
      .map((entryId) => ({
        entryId,
        lastFailedAtMs: failedAtMs.get(entryId) ?? 0,
        tieBreaker: random(),
      }))
      .sort(
        (left, right) =>
          left.lastFailedAtMs - right.lastFailedAtMs || left.tieBreaker - right.tieBreaker,
      )
      .slice(0, MAX_NEIGHBOURS)
      .map(({ entryId }) => entryId);

  const callThroughNeighbours = async (call: TableCall): Promise<CallResult> => {
    if (nowMs() < neighboursBackoffUntilMs) {
      return Err({ kind: 'unreachable', detail: 'neighbours are turned away too' });
    }
    const attempts = rankNeighbours().map(
      (neighbour) => () => callThroughNeighbour(neighbour, call),
    );
    if (attempts.length === 0) return Err({ kind: 'unreachable', detail: 'no neighbour' });
    const result = await firstAnswer(attempts, touchesLease(call) ? STAGGER_MS : NO_STAGGER_MS);
    if (!isAnswered(result)) neighboursBackoffUntilMs = nowMs() + NEIGHBOURS_BACKOFF_MS;
    return result;
  };

  const callByEitherRoute = async (call: TableCall): Promise<CallResult> => {
    const isNeighboursFirst = nowMs() < neighboursFirstUntilMs;
    const routes = isNeighboursFirst
      ? [callThroughNeighbours, callTable]
      : [callTable, callThroughNeighbours];
    const staggerMs = touchesLease(call) ? HEDGE_MS : NO_STAGGER_MS;
    return firstAnswer(
      routes.map((route) => () => route(call)),
      staggerMs,
    );
  };

  const callForNeighbour = async (call: TableCall): Promise<TableCallAnswer> => {
    const result = nowMs() < neighboursFirstUntilMs ? Err(ALSO_REFUSED) : await callTable(call);
    return result.isOk()
      ? { isOk: true, value: result.value }
      : { isOk: false, value: result.error };
  };

  return {
    callForNeighbour,
    read: (keys) =>
      callByEitherRoute({ kind: 'read', keys }) as Promise<
        Result<readonly TableRow[], PlatformError>
      >,
    scan: (prefix) =>
      callByEitherRoute({ kind: 'scan', prefix }) as Promise<
        Result<readonly TableRow[], PlatformError>
      >,
    transact: (transaction) =>
      callByEitherRoute({ kind: 'transact', transaction }) as Promise<
        Result<TransactionOutcome, PlatformError>
      >,
    lastAnsweredAtMs: () => answeredAtMs,
    unansweredForMs,
    probe,
    isDirectRouteUp: () => consecutiveFailures === 0,
    directRouteLostSinceMs: () => lostSinceMs,
  };
};
