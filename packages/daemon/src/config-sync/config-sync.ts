/**
 * Keeps the configuration of this entry in step with the accepted one. The table is the truth; the
 * mesh only makes it faster and carries it while the platform is away. The configuration moves
 * only to higher revisions.
 */
import {
  declarationKey,
  differenceOf,
  emptyConfiguration,
  isEmptyDifference,
  rowKey,
  takeDeltas,
  takeSnapshot,
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

type HeadRow = { readonly revision: number };

/** Why a set of declarations was not accepted. */
export type ApplyError =
  | {
      readonly kind: 'raced';
      readonly revision: number;
      readonly difference: ConfigurationDifference;
    }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** What was accepted. */
export type Applied = { readonly revision: number; readonly difference: ConfigurationDifference };

/** A wanted set of declarations. */
export type ApplyRequest = {
  readonly declarations: readonly Declaration[];
  /** The revision that the operator has seen; another's change since then is not overwritten. */
  readonly baseRevision: number;
  readonly author: string;
  readonly changeId: ChangeId;
};

/** The keeper of the configuration. */
export type ConfigSync = {
  readonly current: () => Configuration;
  /** False until the accepted configuration has been heard of from the platform or from a peer. */
  readonly isKnown: () => boolean;
  readonly deltasAfter: (revision: number) => readonly ConfigurationDelta[] | undefined;
  readonly takeFromPeer: (deltas: readonly ConfigurationDelta[]) => void;
  readonly takeSnapshotFromPeer: (snapshot: ConfigurationSnapshot) => void;
  readonly poll: () => Promise<void>;
  readonly apply: (request: ApplyRequest) => Promise<Result<Applied, ApplyError>>;
};

export type ConfigSyncOptions = {
  readonly table: TableClient;
  readonly objects: ObjectClient;
  readonly log: Log;
  /** Called with what has newly come into force. */
  readonly onChange: (deltas: readonly ConfigurationDelta[]) => void;
};

const SNAPSHOT_KEY = 'config/snapshot';
/** A snapshot is stored each time so many revisions have been accepted. */
const SNAPSHOT_EVERY = 100;
/** Rows of revisions older than this are deleted; a snapshot covers them. */
const KEPT_REVISION_ROWS = 1000;
/** Deltas kept in memory for peers that are a little behind. */
const KEPT_DELTAS = 256;
const READ_AT_ONCE = 200;

const range = (from: number, to: number): readonly number[] =>
  Array.from({ length: Math.max(0, to - from + 1) }, (_, index) => from + index);

const toDelta = (
  base: Configuration,
  { declarations, author, changeId }: ApplyRequest,
  { added, changed, removed }: ConfigurationDifference,
): ConfigurationDelta => {
  const touched = new Set([...added, ...changed]);
  return {
    revision: base.revision + 1,
    changeId,
    author,
    upserts: declarations.filter((one) => touched.has(declarationKey(one))),
    deletes: removed,
  };
};

/**
 * Builds the keeper.
 *
 * @param options - The platform's clients, the log, and who is told of changes.
 * @returns The keeper.
 */
export const createConfigSync = ({
  table,
  objects,
  log,
  onChange,
}: ConfigSyncOptions): ConfigSync => {
  let configuration = emptyConfiguration;
  let isKnown = false;
  let kept: readonly ConfigurationDelta[] = [];

  const moveTo = (next: Configuration, deltas: readonly ConfigurationDelta[]): void => {
    if (next.revision <= configuration.revision) return;
    const fresh = deltas.filter(({ revision }) => revision > configuration.revision);
    configuration = next;
    // After a snapshot the deltas at hand do not join up with the earlier ones.
    kept = [...(fresh.length > 0 ? kept : []), ...fresh].slice(-KEPT_DELTAS);
    log.info('configuration-in-force', { revision: next.revision });
    onChange(fresh);
  };

  const takeAll = (deltas: readonly ConfigurationDelta[]): void =>
    moveTo(takeDeltas(configuration, deltas), deltas);

  const deltasAfter = (revision: number): readonly ConfigurationDelta[] | undefined => {
    if (revision >= configuration.revision) return [];
    const after = kept.filter((delta) => delta.revision > revision);
    return after[0]?.revision === revision + 1 ? after : undefined;
  };

  const readRevisions = async (from: number, to: number): Promise<void> => {
    const keys = range(from, Math.min(to, from + READ_AT_ONCE - 1)).map(rowKey.configRevision);
    const rows = await table.read(keys);
    if (rows.isErr()) return;
    takeAll(
      rows.value.flatMap(({ value }) => (value === null ? [] : [value as ConfigurationDelta])),
    );
  };

  const readSnapshot = async (): Promise<void> => {
    const stored = await objects.get<ConfigurationSnapshot>(SNAPSHOT_KEY);
    if (stored.isOk() && stored.value) moveTo(takeSnapshot(configuration, stored.value), []);
  };

  const catchUp = async (head: number): Promise<void> => {
    if (head - configuration.revision > READ_AT_ONCE) await readSnapshot();
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

  const raced = (request: ApplyRequest): ApplyError => ({
    kind: 'raced',
    revision: configuration.revision,
    difference: differenceOf(configuration, request.declarations),
  });

  const apply = async (request: ApplyRequest): Promise<Result<Applied, ApplyError>> => {
    const head = await readHead();
    if (head.isErr()) return Err({ kind: 'platform', error: head.error });
    await catchUp(head.value.revision);
    isKnown = true;
    if (request.baseRevision !== head.value.revision) return Err(raced(request));
    const difference = differenceOf(configuration, request.declarations);
    if (isEmptyDifference(difference)) return Ok({ revision: head.value.revision, difference });
    const delta = toDelta(configuration, request, difference);
    const outdated = delta.revision - KEPT_REVISION_ROWS;
    const outcome = await table.transact({
      checks: [{ key: rowKey.configHead, version: head.value.version }],
      writes: [
        { key: rowKey.configHead, value: { revision: delta.revision } },
        { key: rowKey.configRevision(delta.revision), value: delta },
        ...(outdated > 0 ? [{ key: rowKey.configRevision(outdated), value: null }] : []),
      ],
    });
    if (outcome.isErr()) return Err({ kind: 'platform', error: outcome.error });
    if (outcome.value.kind === 'conflict') {
      await poll();
      return Err(raced(request));
    }
    takeAll([delta]);
    if (delta.revision % SNAPSHOT_EVERY === 0) await storeSnapshot();
    return Ok({ revision: delta.revision, difference });
  };

  return {
    current: () => configuration,
    isKnown: () => isKnown,
    deltasAfter,
    takeFromPeer: (deltas) => {
      takeAll(deltas);
      isKnown ||= configuration.revision > 0;
    },
    takeSnapshotFromPeer: (snapshot) => {
      isKnown = true;
      moveTo(takeSnapshot(configuration, snapshot), []);
    },
    poll,
    apply,
  };
};
