/**
 * Control of one pool. While this entry holds the pool's control lease it runs control turns. A turn reads the
 * rows, plans changes and writes them on condition that the fence row of the lease is unchanged, so the writes
 * of a holder that was paused and has lost the lease fail.
 */
import {
  brand,
  planPoolTurn,
  type Configuration,
  type ControlAction,
  type ControlChange,
  type PoolName,
  type WithheldAction,
} from '@valvelatch/core';
import type { HostListClient, CachedRowsReader, TableClient } from '@valvelatch/platform';

import type { LeaseManager } from '../leases/lease-manager.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { createChangeWriter } from './change-writer.js';
import { createPoolSnapshotBuilder, type RowsByKey } from './pool-snapshot-builder.js';

export type PoolControlOptions = {
  readonly pool: PoolName;
  readonly lease: LeaseManager;
  readonly table: TableClient;
  /** Reads the rows that control depends on; all pools of an entry share it. */
  readonly rowReader: CachedRowsReader;
  readonly hostList: HostListClient;
  readonly configuration: () => Configuration;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Called with each change that was committed. */
  readonly onChange: (change: ControlChange) => void;
  readonly nowMs?: () => number;
};

/** Control of one pool. */
export type PoolControl = {
  /** Takes or renews the lease if it is due and, while the lease is held, runs control turns. */
  readonly tick: () => Promise<void>;
  /** Whether this entry holds the control lease. */
  readonly holds: () => boolean;
  /** Actions that the last turn considered and did not take, with the reasons. */
  readonly withheldActions: () => readonly WithheldAction[];
  /** Releases the control lease. */
  readonly release: () => Promise<void>;
};

/**
 * Placement epochs that are reserved for each epoch of the control lease. A holder that handed out more of them
 * would use epochs of the next holder.
 */
const PLACEMENT_EPOCHS_PER_LEASE_EPOCH = 2 ** 24;
/** A turn that committed changes is followed by another at once, at most until this many turns have run. */
const MAX_TURNS_PER_TICK = 4;

/**
 * Creates the control of a pool.
 *
 * @param options - The pool, its lease, the platform's clients and the configuration.
 * @returns The control, which holds no lease yet.
 */
export const createPoolControl = ({
  pool,
  lease,
  table,
  rowReader,
  hostList,
  configuration,
  log,
  metrics,
  onChange,
  nowMs = () => performance.now(),
}: PoolControlOptions): PoolControl => {
  const view = createPoolSnapshotBuilder({ pool, configuration, nowMs });
  const writeChanges = createChangeWriter({
    pool,
    table,
    mayWrite: lease.holds,
    log,
    metrics,
    onChange,
  });
  let withheld: readonly WithheldAction[] = [];
  let epochBase = 0;
  let nextEpoch = 0;

  const readRows = async (): Promise<RowsByKey | undefined> => {
    const read = await rowReader.read();
    if (read.isErr()) return undefined;
    return new Map(
      read.value.flat().map(({ key, value, version }) => [key, { value, version }] as const),
    );
  };

  /** Returns the next placement epoch; under a new lease epoch it starts at the first that is reserved for it. */
  const currentNextEpoch = (): number => {
    const base = lease.epoch() * PLACEMENT_EPOCHS_PER_LEASE_EPOCH;
    if (base !== epochBase) {
      epochBase = base;
      nextEpoch = base;
    }
    return nextEpoch;
  };

  /** Writes the changes, then reboots hosts; returns the number of changes that were committed. */
  const execute = async (actions: readonly ControlAction[]): Promise<number> => {
    const changes = actions.filter((one): one is ControlChange => one.kind === 'write');
    const { committedCount, isLeaseLost } = await writeChanges(changes);
    if (isLeaseLost) return committedCount;
    const reboots = actions.flatMap((one) => (one.kind === 'reboot' ? [one] : []));
    await Promise.all(
      reboots.map(({ hostId, requestName }) => hostList.reboot(hostId, requestName)),
    );
    return committedCount;
  };

  /** Runs one control turn and returns the number of changes that were committed. */
  const runTurn = async (): Promise<number> => {
    const listed = await hostList.list();
    if (listed.isErr()) return 0;
    view.updateListedHosts(listed.value);
    const rows = await readRows();
    if (!rows || !lease.holds()) return 0;
    const startedMs = nowMs();
    const world = view.createSnapshot(rows, {
      fence: lease.fence(),
      nextEpoch: currentNextEpoch(),
    });
    const plan = planPoolTurn(world, nowMs());
    metrics.time('control_turn', (nowMs() - startedMs) * 1000);
    withheld = plan.withheld;
    nextEpoch = plan.nextEpoch;
    return execute(plan.actions);
  };

  const tick = async (): Promise<void> => {
    const wasHeld = lease.holds();
    await lease.tick();
    if (lease.holds() !== wasHeld) {
      log.info(lease.holds() ? 'control-taken' : 'control-lost', { pool, epoch: lease.epoch() });
    }
    if (!lease.holds()) withheld = [];
    let turns = 0;
    while (lease.holds() && turns < MAX_TURNS_PER_TICK) {
      turns += 1;
      if ((await runTurn()) === 0) return;
    }
  };

  return {
    tick,
    holds: lease.holds,
    withheldActions: () => withheld,
    release: async () => {
      await lease.release();
    },
  };
};

/**
 * Builds the name of a pool's control lease.
 *
 * @param pool - The pool.
 * @returns The lease's name.
 */
export const formatControlLeaseName = (pool: PoolName): string => `control/${pool}`;

/**
 * Converts the name of a declared pool to its branded type.
 *
 * @param name - The declared name.
 * @returns The branded name.
 */
export const toPoolName = (name: string): PoolName => brand<PoolName>(name);
