/**
 * The table, also through a neighbour: the platform may refuse one entry while it serves the
 * others. All calls here are safe to repeat: a transaction carries its own conditions.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import type { EntryId } from '@valvelatch/core/shared/ids';
import type { PlatformError, TableTransaction, TransactionOutcome } from '@valvelatch/platform';
import type { TableRow } from '@valvelatch/core/rows/transaction';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';
import { firstAnswered, isAnswered, type AnyResult } from './first-answered.js';
import { LEASE_PREFIX } from '../keys.js';
import type { AskPeer } from '../entry/peers.js';
import type { BatchTable } from '../ports.js';

/**
 * After a failure the neighbours are asked first for this time: an entry that is refused in
 * silence loses a time-out with each try, and a lease with a few of them.
 */
const NEIGHBOURS_FIRST_MS = 1500;
const RELAY_MS = 1000;
/** Where control hangs on it, the next neighbour is asked too after this: a served one takes 20 ms. */
const STAGGER_MS = 250;
/**
 * A lease of 4 s is lost with two time-outs, so what keeps control takes both routes after this time.
 * A slow table takes up to 610 ms, and only control's few calls may be made twice there.
 */
const HEDGE_MS = 700;
const NEVER_MS = 2 ** 31 - 1;
/** So many neighbours are asked before a call is given up. */
const MOST_NEIGHBOURS = 3;
/**
 * Neighbours that are refused as well show that the table is overloaded or away for all: more
 * calls would only add to that. They are not asked for this time.
 */
const ALL_AWAY_MS = 1000;

/**
 * A table that has been silent for so long is asked again and again, beside the calls that wait for
 * their time-outs, so that submissions are admitted again within `PROBE_EVERY_MS` of its return.
 */
const PROBE_AFTER_MS = 400;
export const PROBE_EVERY_MS = 200;
const MOST_PROBES = 4;
const PROBE_KEY = `${LEASE_PREFIX}control`;

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
  readonly ask: AskPeer;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
  readonly random?: () => number;
};

export type RelayedTable = Pick<BatchTable, 'read' | 'scan' | 'transact'> & {
  /** When the table answered last, directly or through a neighbour. */
  readonly answeredAtMs: () => number;
  /** Answers a neighbour's call, at once if the table refuses this entry as well. */
  readonly answerNeighbour: (call: RelayCall) => Promise<RelayAnswer>;
  /** For how long nothing that was asked has been answered, directly or through a neighbour. */
  readonly silentForMs: () => number;
  /** While nothing is answered, asks again so that the table's return is seen at once. */
  readonly probe: () => void;
  /** True if the last call on the direct route was answered. */
  readonly isServed: () => boolean;
  /** Since when the direct route has not been answered; Infinity while it is. */
  readonly lostSinceMs: () => number;
};

const REFUSED_TOO: PlatformError = {
  kind: 'unreachable',
  detail: 'the table turns this neighbour away too',
};

/** Stands before those that were never asked, which stand before those that failed. */
const SERVED = -1;

/** Calls that a lease hangs on. */
const keepsControl = (call: RelayCall): boolean => {
  const keys = {
    read: () => (call.kind === 'read' ? call.keys : []),
    scan: () => [],
    transact: () => (call.kind === 'transact' ? call.transaction.writes.map(({ key }) => key) : []),
  }[call.kind]();
  return keys.some((key) => key.startsWith(LEASE_PREFIX));
};

const callDirectly = (table: BatchTable, call: RelayCall): Promise<AnyResult> => {
  if (call.kind === 'read') return table.read(call.keys);
  if (call.kind === 'scan') return table.scan(call.prefix);
  return table.transact(call.transaction);
};

/**
 * Puts neighbours beside the direct route to the table.
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
  random = Math.random,
}: RelayedTableOptions): RelayedTable => {
  let failures = 0;
  let lostSinceMs = Infinity;
  let neighboursFirstUntilMs = 0;
  let allAwayUntilMs = 0;
  const failedAtMs = new Map<EntryId, number>();
  let answeredAtMs = -Infinity;
  /** When the first of the calls that were not answered since the last answer was made. */
  let unansweredSinceMs = Infinity;
  let probes = 0;

  const direct = async (call: RelayCall): Promise<AnyResult> => {
    unansweredSinceMs = Math.min(unansweredSinceMs, nowMs());
    const result = await callDirectly(table, call);
    if (result.isOk() || result.error.kind === 'rejected') {
      if (failures > 0) log.info('table-regained', {});
      failures = 0;
      lostSinceMs = Infinity;
      noteAnswer();
      return result;
    }
    failures += 1;
    if (failures === 1) lostSinceMs = nowMs();
    if (failures === 1) log.warn('table-lost', { detail: result.error.detail });
    neighboursFirstUntilMs = nowMs() + NEIGHBOURS_FIRST_MS;
    return result;
  };

  const noteAnswer = (): void => {
    answeredAtMs = nowMs();
    unansweredSinceMs = Infinity;
  };

  const silentForMs = (): number => Math.max(0, nowMs() - unansweredSinceMs);

  const probe = (): void => {
    if (silentForMs() < PROBE_AFTER_MS || probes >= MOST_PROBES) return;
    probes += 1;
    void direct({ kind: 'read', keys: [PROBE_KEY] }).then(() => {
      probes -= 1;
    });
  };

  const relayBy = async (neighbour: EntryId, call: RelayCall): Promise<AnyResult> => {
    metrics.count('table_relays');
    try {
      const answer = (await ask(neighbour, RELAY_METHOD, call, RELAY_MS)) as RelayAnswer;
      if (!answer.isOk) {
        failedAtMs.set(neighbour, nowMs());
        return Err(answer.value as PlatformError);
      }
      failedAtMs.set(neighbour, SERVED);
      noteAnswer();
      return Ok(answer.value);
    } catch (error) {
      failedAtMs.set(neighbour, nowMs());
      return Err({ kind: 'unknown', detail: `relay by ${neighbour}: ${String(error)}` });
    }
  };

  /**
   * Neighbours that were served last come before those that failed last, and of equal ones any: a
   * cut often takes all entries of one data centre.
   */
  const byTrust = (): readonly EntryId[] =>
    neighbours()
      .map((entryId) => ({ entryId, failedMs: failedAtMs.get(entryId) ?? 0, chance: random() }))
      .sort((left, right) => left.failedMs - right.failedMs || left.chance - right.chance)
      .slice(0, MOST_NEIGHBOURS)
      .map(({ entryId }) => entryId);

  const relay = async (call: RelayCall): Promise<AnyResult> => {
    if (nowMs() < allAwayUntilMs) {
      return Err({ kind: 'unreachable', detail: 'neighbours are turned away too' });
    }
    const tries = byTrust().map((neighbour) => () => relayBy(neighbour, call));
    if (tries.length === 0) return Err({ kind: 'unreachable', detail: 'no neighbour' });
    const result = await firstAnswered(tries, keepsControl(call) ? STAGGER_MS : NEVER_MS);
    if (!isAnswered(result)) allAwayUntilMs = nowMs() + ALL_AWAY_MS;
    return result;
  };

  const call = async (one: RelayCall): Promise<AnyResult> => {
    const isRefused = nowMs() < neighboursFirstUntilMs;
    const routes = isRefused ? [relay, direct] : [direct, relay];
    const staggerMs = keepsControl(one) ? HEDGE_MS : NEVER_MS;
    return firstAnswered(
      routes.map((route) => () => route(one)),
      staggerMs,
    );
  };

  const answerNeighbour = async (one: RelayCall): Promise<RelayAnswer> => {
    const result = nowMs() < neighboursFirstUntilMs ? Err(REFUSED_TOO) : await direct(one);
    return result.isOk()
      ? { isOk: true, value: result.value }
      : { isOk: false, value: result.error };
  };

  return {
    answerNeighbour,
    read: (keys) =>
      call({ kind: 'read', keys }) as Promise<Result<readonly TableRow[], PlatformError>>,
    scan: (prefix) =>
      call({ kind: 'scan', prefix }) as Promise<Result<readonly TableRow[], PlatformError>>,
    transact: (transaction) =>
      call({ kind: 'transact', transaction }) as Promise<Result<TransactionOutcome, PlatformError>>,
    answeredAtMs: () => answeredAtMs,
    silentForMs,
    probe,
    isServed: () => failures === 0,
    lostSinceMs: () => lostSinceMs,
  };
};
