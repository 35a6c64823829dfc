/**
 * The control of one pool: while this entry holds the pool's lease it takes turns. A turn reads the
 * rows, plans, and writes with the fence of the lease; what a paused holder writes after it has
 * lost the lease fails.
 */
import {
  brand,
  createRowAges,
  declaredHosts,
  planPoolTurn,
  retryDelayMs,
  rowPrefix,
  type Configuration,
  type ControlAction,
  type ControlChange,
  type HostId,
  type HostRow,
  type HostSighting,
  type HostSpec,
  type JobId,
  type JobRow,
  type PlacementRow,
  type PoolName,
  type PoolWorld,
  type UsageRow,
  type Versioned,
  type WaveId,
  type WaveRow,
  type Withheld,
} from '@valvelatch/core';
import type { HostListClient, ListedHost, PulsedReader, TableClient } from '@valvelatch/platform';

import type { LeaseKeeper } from '../leases/lease-keeper.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';

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
/** Changes that share one transaction. */
const MOST_CHANGES_PER_TRANSACTION = 32;
/** A turn that has changed something is followed by another at once, but not without end. */
const MOST_TURNS_PER_TICK = 4;

type Rows = ReadonlyMap<string, Versioned<unknown>>;

const byId = <Id extends string, Row>(rows: Rows, prefix: string): Map<Id, Versioned<Row>> =>
  new Map(
    Array.from(rows)
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, row]) => [key.slice(prefix.length) as Id, row as Versioned<Row>]),
  );

const usedCoresIn = (rows: Rows): ReadonlyMap<JobId, number> =>
  new Map(
    Array.from(byId<string, UsageRow>(rows, rowPrefix.usage).values()).flatMap(({ value }) =>
      Object.entries(value.usedCores).map(([jobId, cores]) => [jobId as JobId, cores] as const),
    ),
  );

const conflictsWith = (written: ReadonlySet<string>, change: ControlChange): boolean =>
  change.checks.some(({ key }) => written.has(key));

/** Groups changes; one that depends on a row written before it waits for the next turn. */
const toGroups = (changes: readonly ControlChange[]): readonly (readonly ControlChange[])[] => {
  const written = new Set<string>();
  const groups: ControlChange[][] = [];
  changes.forEach((change) => {
    if (conflictsWith(written, change)) return;
    change.writes.forEach(({ key }) => written.add(key));
    const last = groups[groups.length - 1];
    if (last && last.length < MOST_CHANGES_PER_TRANSACTION) last.push(change);
    else groups.push([change]);
  });
  return groups;
};

const mergeChecks = (group: readonly ControlChange[]) => {
  const byKey = new Map(group.flatMap(({ checks }) => checks.map((check) => [check.key, check])));
  return Array.from(byKey.values());
};

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
  const sightings = new Map<HostId, HostSighting>();
  const failuresSeen = new Map<JobId, { failures: number; retryAtMs: number }>();
  const hostAges = createRowAges<HostId>();
  const placementAges = createRowAges<JobId>();
  let withheld: readonly Withheld[] = [];
  let epochBase = 0;
  let nextEpoch = 0;
  let specsRevision = -1;
  let specs: ReadonlyMap<HostId, HostSpec> = new Map();

  const takeSightings = (listed: readonly ListedHost[]): void => {
    listed.forEach(({ hostId, state, boots }) => {
      const known = sightings.get(hostId);
      const sinceMs = known?.state === state ? known.sinceMs : nowMs();
      sightings.set(hostId, { state, boots, sinceMs });
    });
  };

  const readRows = async (): Promise<Rows | undefined> => {
    const read = await rowReader.read();
    if (read.isErr()) return undefined;
    return new Map(
      read.value.flat().map(({ key, value, version }) => [key, { value, version }] as const),
    );
  };

  const retryTimes = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): Map<JobId, number> => {
    jobs.forEach(({ value: { failures } }, jobId) => {
      if (failures === 0 || failuresSeen.get(jobId)?.failures === failures) return;
      failuresSeen.set(jobId, { failures, retryAtMs: nowMs() + retryDelayMs(failures) });
    });
    return new Map(Array.from(failuresSeen, ([jobId, { retryAtMs }]) => [jobId, retryAtMs]));
  };

  const currentSpecs = (): ReadonlyMap<HostId, HostSpec> => {
    const current = configuration();
    if (current.revision !== specsRevision) {
      specs = new Map(declaredHosts(current).map((spec) => [spec.hostId, spec]));
      specsRevision = current.revision;
    }
    return specs;
  };

  const epochs = (): number => {
    const base = lease.epoch() * EPOCHS_PER_LEASE;
    if (base !== epochBase) {
      epochBase = base;
      nextEpoch = base;
    }
    return nextEpoch;
  };

  const toWorld = (rows: Rows): PoolWorld => {
    const jobs = byId<JobId, JobRow>(rows, rowPrefix.job);
    const hosts = byId<HostId, HostRow>(rows, rowPrefix.host);
    const placements = byId<JobId, PlacementRow>(rows, rowPrefix.placement);
    return {
      pool,
      configuration: configuration(),
      fence: lease.fence(),
      nextEpoch: epochs(),
      specs: currentSpecs(),
      hosts,
      placements,
      jobs,
      waves: byId<WaveId, WaveRow>(rows, rowPrefix.wave),
      sightings,
      hostSinceMs: hostAges.see(hosts, nowMs()),
      placementSinceMs: placementAges.see(placements, nowMs()),
      waveStrategy: 'growing',
      usedCores: usedCoresIn(rows),
      retryAtMs: retryTimes(jobs),
    };
  };

  /** Gives the number of changes that were committed. */
  const commit = async (group: readonly ControlChange[]): Promise<number> => {
    const outcome = await table.transact({
      checks: mergeChecks(group),
      writes: group.flatMap(({ writes }) => writes),
    });
    if (outcome.isErr()) {
      log.warn('control-write-failed', { pool, detail: outcome.error.detail });
      return 0;
    }
    if (outcome.value.kind === 'committed') {
      metrics.count('control_changes', group.length);
      group.forEach((change) => {
        const { subject, reason } = change;
        log.info('control-change', { pool, subject, reason });
        onChange(change);
      });
      return group.length;
    }
    metrics.count('control_conflicts');
    log.info('control-conflict', { pool, key: outcome.value.key });
    // One conflict must not hold up the others.
    let committed = 0;
    for (let index = 0; group.length > 1 && index < group.length; index += 1) {
      committed += await commit([group[index] as ControlChange]);
    }
    return committed;
  };

  const carryOut = async (actions: readonly ControlAction[]): Promise<number> => {
    let committed = 0;
    const changes = actions.filter((one): one is ControlChange => one.kind === 'write');
    const groups = toGroups(changes);
    for (let index = 0; index < groups.length; index += 1) {
      if (!lease.holds()) return committed;
      committed += await commit(groups[index] as readonly ControlChange[]);
    }
    const reboots = actions.flatMap((one) => (one.kind === 'reboot' ? [one] : []));
    await Promise.all(
      reboots.map(({ hostId, requestName }) => hostList.reboot(hostId, requestName)),
    );
    return committed;
  };

  /** Gives the number of changes that were committed. */
  const turn = async (): Promise<number> => {
    const listed = await hostList.list();
    if (listed.isErr()) return 0;
    takeSightings(listed.value);
    const rows = await readRows();
    if (!rows || !lease.holds()) return 0;
    const startedMs = nowMs();
    const plan = planPoolTurn(toWorld(rows), nowMs());
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
