/**
 * Synchronizes the configuration of this entry with the accepted one. The table is authoritative. The mesh only
 * spreads changes faster, and distributes the configuration while the platform is unavailable. The configuration
 * only moves to higher revisions.
 */
import {
  declarationKey,
  diffConfiguration,
  emptyConfiguration,
  isEmptyDifference,
  rowKey,
  applyDeltas,
  applySnapshot,
  toSnapshot,
  type Configuration,
  type ConfigurationDelta,
  type ConfigurationDifference,
  type ConfigurationSnapshot,
  type Declaration,
  type ChangeId,
} from '@valvelatch/core';
import type { ObjectClient, PlatformError, TableClient } from '@valvelatch/platform';
import { Err, Ok, type Result } from 'ts-results-es';

import type { Log } from '../observe/log.js';

/** Row with the latest accepted revision. */
type HeadRow = { readonly revision: number };

/** Why a set of declarations was not accepted. */
export type ApplyError =
  /** Another change was accepted since the base revision. The difference is to the current configuration. */
  | {
      readonly kind: 'raced';
      readonly revision: number;
      readonly difference: ConfigurationDifference;
    }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** The accepted revision and how it differs from the one before. */
export type ApplyResult = {
  readonly revision: number;
  readonly difference: ConfigurationDifference;
};

/** A complete set of declarations that is to become the configuration. */
export type ApplyRequest = {
  readonly declarations: readonly Declaration[];
  /** The revision that the operator has seen; the request is refused if another change was accepted since. */
  readonly baseRevision: number;
  readonly author: string;
  readonly changeId: ChangeId;
};

/** Holds the configuration of this entry and applies changes to it. */
export type ConfigSync = {
  readonly current: () => Configuration;
  /** False until the accepted configuration has been received from the platform or from a peer. */
  readonly isKnown: () => boolean;
  /** The deltas that follow a revision, in order; undefined if not all of them are in memory any more. */
  readonly deltasAfter: (revision: number) => readonly ConfigurationDelta[] | undefined;
  readonly applyPeerDeltas: (deltas: readonly ConfigurationDelta[]) => void;
  readonly applyPeerSnapshot: (snapshot: ConfigurationSnapshot) => void;
  /** Reads the latest revision from the table and loads what is missing. */
  readonly poll: () => Promise<void>;
  /** Writes a new revision to the table, unless another change was accepted since the base revision. */
  readonly apply: (request: ApplyRequest) => Promise<Result<ApplyResult, ApplyError>>;
};

export type ConfigSyncOptions = {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly log: Log;
  /** Called with the deltas that have newly come into force; without any after a snapshot. */
  readonly onChange: (deltas: readonly ConfigurationDelta[]) => void;
};

const SNAPSHOT_KEY = 'config/snapshot';
/** Number of revisions after which a snapshot is stored. */
const SNAPSHOT_INTERVAL_REVISIONS = 100;
/** Number of latest revisions whose rows are kept; older rows are deleted because a snapshot covers them. */
const MAX_REVISION_ROWS = 1000;
/** Number of deltas that are kept in memory for peers that are a few revisions behind. */
const MAX_RECENT_DELTAS = 256;
/** Most revisions that are read in one request; an entry further behind reads the snapshot first. */
const MAX_REVISIONS_PER_READ = 200;

const range = (from: number, to: number): readonly number[] =>
  Array.from({ length: Math.max(0, to - from + 1) }, (_, index) => from + index);

const toDelta = (
  base: Configuration,
  { declarations, author, changeId }: ApplyRequest,
  { added, changed, removed }: ConfigurationDifference,
): ConfigurationDelta => {
  const upsertedKeys = new Set([...added, ...changed]);
  return {
    revision: base.revision + 1,
    changeId,
    author,
    upserts: declarations.filter((one) => upsertedKeys.has(declarationKey(one))),
    deletes: removed,
  };
};

/**
 * Creates the synchronization, which starts with an empty configuration.
 *
 * @param options - The platform's clients, the log, and the callback for changes.
 * @returns The synchronization.
 */
export const createConfigSync = ({
  table,
  objects,
  log,
  onChange,
}: ConfigSyncOptions): ConfigSync => {
  let configuration = emptyConfiguration;
  let isKnown = false;
  let recentDeltas: readonly ConfigurationDelta[] = [];

  const advanceTo = (next: Configuration, deltas: readonly ConfigurationDelta[]): void => {
    if (next.revision <= configuration.revision) return;
    const newDeltas = deltas.filter(({ revision }) => revision > configuration.revision);
    configuration = next;
    // The deltas in memory must follow each other without a gap, and a snapshot may skip revisions.
    recentDeltas = [...(newDeltas.length > 0 ? recentDeltas : []), ...newDeltas].slice(
      -MAX_RECENT_DELTAS,
    );
    log.info('configuration-in-force', { revision: next.revision });
    onChange(newDeltas);
  };

  const advanceByDeltas = (deltas: readonly ConfigurationDelta[]): void =>
    advanceTo(applyDeltas(configuration, deltas), deltas);

  const deltasAfter = (revision: number): readonly ConfigurationDelta[] | undefined => {
    if (revision >= configuration.revision) return [];
    const after = recentDeltas.filter((delta) => delta.revision > revision);
    return after[0]?.revision === revision + 1 ? after : undefined;
  };

  const readRevisions = async (from: number, to: number): Promise<void> => {
    const keys = range(from, Math.min(to, from + MAX_REVISIONS_PER_READ - 1)).map(
      rowKey.configRevision,
    );
    const rows = await table.read(keys);
    if (rows.isErr()) return;
    advanceByDeltas(
      rows.value.flatMap(({ value }) => (value === null ? [] : [value as ConfigurationDelta])),
    );
  };

  const readSnapshot = async (): Promise<void> => {
    const stored = await objects.get<ConfigurationSnapshot>(SNAPSHOT_KEY);
    if (stored.isOk() && stored.value) advanceTo(applySnapshot(configuration, stored.value), []);
  };

  const catchUp = async (head: number): Promise<void> => {
    if (head - configuration.revision > MAX_REVISIONS_PER_READ) await readSnapshot();
    while (configuration.revision < head) {
      const before = configuration.revision;
      await readRevisions(before + 1, head);
      if (configuration.revision === before) await readSnapshot();
      if (configuration.revision === before) return;
    }
  };

  const readHead = async () => {
    const rows = await table.read([rowKey.configHead]);
    return rows.map(([row]) => ({
      revision: (row?.value as HeadRow | null)?.revision ?? 0,
      version: row?.version ?? 0,
    }));
  };

  const poll = async (): Promise<void> => {
    const head = await readHead();
    if (head.isErr()) {
      log.debug('configuration-head-unreadable', { detail: head.error.detail });
      return;
    }
    await catchUp(head.value.revision);
    isKnown ||= configuration.revision >= head.value.revision;
  };

  const storeSnapshot = async (): Promise<void> => {
    const stored = await objects.put(SNAPSHOT_KEY, toSnapshot(configuration));
    if (stored.isErr()) log.warn('snapshot-not-stored', { detail: stored.error.detail });
  };

  const conflictError = (request: ApplyRequest): ApplyError => ({
    kind: 'raced',
    revision: configuration.revision,
    difference: diffConfiguration(configuration, request.declarations),
  });

  const apply = async (request: ApplyRequest): Promise<Result<ApplyResult, ApplyError>> => {
    const head = await readHead();
    if (head.isErr()) return Err({ kind: 'platform', error: head.error });
    await catchUp(head.value.revision);
    isKnown = true;
    if (request.baseRevision !== head.value.revision) return Err(conflictError(request));
    const difference = diffConfiguration(configuration, request.declarations);
    if (isEmptyDifference(difference)) return Ok({ revision: head.value.revision, difference });
    const delta = toDelta(configuration, request, difference);
    const expiredRevision = delta.revision - MAX_REVISION_ROWS;
    const outcome = await table.transact({
      checks: [{ key: rowKey.configHead, version: head.value.version }],
      writes: [
        { key: rowKey.configHead, value: { revision: delta.revision } },
        { key: rowKey.configRevision(delta.revision), value: delta },
        ...(expiredRevision > 0
          ? [{ key: rowKey.configRevision(expiredRevision), value: null }]
          : []),
      ],
    });
    if (outcome.isErr()) return Err({ kind: 'platform', error: outcome.error });
    if (outcome.value.kind === 'conflict') {
      await poll();
      return Err(conflictError(request));
    }
    advanceByDeltas([delta]);
    if (delta.revision % SNAPSHOT_INTERVAL_REVISIONS === 0) await storeSnapshot();
    return Ok({ revision: delta.revision, difference });
  };

  return {
    current: () => configuration,
    isKnown: () => isKnown,
    deltasAfter,
    applyPeerDeltas: (deltas) => {
      advanceByDeltas(deltas);
      isKnown ||= configuration.revision > 0;
    },
    applyPeerSnapshot: (snapshot) => {
      isKnown = true;
      advanceTo(applySnapshot(configuration, snapshot), []);
    },
    poll,
    apply,
  };
};
