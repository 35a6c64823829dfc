/**
 * The control of one pool: while this entry holds the pool's lease it takes turns. A turn reads the
 * rows, plans, and writes with the fence of the lease; what a paused holder writes after it has
 * lost the lease fails.
 */
import {
  brand,
  planPoolTurn,
  type Configuration,
  type ControlAction,
  type ControlChange,
  type PoolName,
  type Withheld,
} from '@valvelatch/core';
import type { HostListClient, PulsedReader, TableClient } from '@valvelatch/platform';

import type { LeaseKeeper } from '../leases/lease-keeper.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';
import { createChangeWriter } from './change-writer.js';
import { createPoolView, type Rows } from './pool-view.js';

export type PoolControlOptions = {
  readonly pool: PoolName;
  readonly lease: LeaseKeeper;
  readonly table: TableClient;
  /** Reads the rows of control; pools of one entry share it. */
  readonly rowReader: PulsedReader;
  readonly hostList: HostListClient;
  readonly configuration: () => Configuration;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Told of each change that was committed. */
  readonly onChange: (change: ControlChange) => void;
  readonly nowMs?: () => number;
};

export type PoolControl = {
  /** Keeps the lease and, while it is held, takes a turn. */
  readonly tick: () => Promise<void>;
  readonly holds: () => boolean;
  /** Why things were not done in the last turn. */
  readonly withheld: () => readonly Withheld[];
  readonly release: () => Promise<void>;
};

/** Each lease epoch leaves room for this many placements before the next epoch's begin. */
const EPOCHS_PER_LEASE = 2 ** 24;
/** A turn that has changed something is followed by another at once, but not without end. */
const MOST_TURNS_PER_TICK = 4;

/**
 * Builds the control of a pool.
 *
 * @param options - The pool, its lease, the platform's clients and what is known.
 * @returns The control.
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
  const view = createPoolView({ pool, configuration, nowMs });
  const writeChanges = createChangeWriter({
    pool,
    table,
    mayWrite: lease.holds,
    log,
    metrics,
    onChange,
  });
  let withheld: readonly Withheld[] = [];
  let epochBase = 0;
  let nextEpoch = 0;

  const readRows = async (): Promise<Rows | undefined> => {
    const read = await rowReader.read();
    if (read.isErr()) return undefined;
    return new Map(
      read.value.flat().map(({ key, value, version }) => [key, { value, version }] as const),
    );
  };

  const epochs = (): number => {
    const base = lease.epoch() * EPOCHS_PER_LEASE;
    if (base !== epochBase) {
      epochBase = base;
      nextEpoch = base;
    }
    return nextEpoch;
  };

  /** Gives the number of changes that were committed. */
  const carryOut = async (actions: readonly ControlAction[]): Promise<number> => {
    const changes = actions.filter((one): one is ControlChange => one.kind === 'write');
    const { committedCount, isStopped } = await writeChanges(changes);
    if (isStopped) return committedCount;
    const reboots = actions.flatMap((one) => (one.kind === 'reboot' ? [one] : []));
    await Promise.all(
      reboots.map(({ hostId, requestName }) => hostList.reboot(hostId, requestName)),
    );
    return committedCount;
  };

  /** Gives the number of changes that were committed. */
  const turn = async (): Promise<number> => {
    const listed = await hostList.list();
    if (listed.isErr()) return 0;
    view.takeSightings(listed.value);
    const rows = await readRows();
    if (!rows || !lease.holds()) return 0;
    const startedMs = nowMs();
    const world = view.toWorld(rows, { fence: lease.fence(), nextEpoch: epochs() });
    const plan = planPoolTurn(world, nowMs());
    metrics.time('control_turn', (nowMs() - startedMs) * 1000);
    withheld = plan.withheld;
    nextEpoch = plan.nextEpoch;
    return carryOut(plan.actions);
  };

  const tick = async (): Promise<void> => {
    const heldBefore = lease.holds();
    await lease.tick();
    if (lease.holds() !== heldBefore) {
      log.info(lease.holds() ? 'control-taken' : 'control-lost', { pool, epoch: lease.epoch() });
    }
    if (!lease.holds()) withheld = [];
    let turns = 0;
    while (lease.holds() && turns < MOST_TURNS_PER_TICK) {
      turns += 1;
      if ((await turn()) === 0) return;
    }
  };

  return {
    tick,
    holds: lease.holds,
    withheld: () => withheld,
    release: async () => {
      await lease.release();
    },
  };
};

/**
 * Names the control lease of a pool.
 *
 * @param pool - The pool.
 * @returns The lease's name.
 */
export const controlLeaseName = (pool: PoolName): string => `control/${pool}`;

/**
 * Reads a pool's name from a declaration.
 *
 * @param name - The declared name.
 * @returns The branded name.
 */
export const poolName = (name: string): PoolName => brand<PoolName>(name);
