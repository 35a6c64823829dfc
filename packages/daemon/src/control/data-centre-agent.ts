/**
 * Carries out placements at the workers of this data centre. Several entries may do so at once, because starting
 * a task is idempotent by job and epoch. While the table cannot be read, the agent only renews the leases of the
 * tasks, so that running tasks go on. The task of a service is stopped only once no entry has a request in
 * flight there.
 */
import {
  findEmptyHosts,
  reconcile,
  listTasksToRenew,
  MAX_START_DELAY_MS,
  type DataCentreId,
  type HostRow,
  type UsageRow,
  type TableRow,
  rowKey,
  rowPrefix,
  type Configuration,
  findDeclaration,
  type HostId,
  type JobRow,
  type ObservedTask,
  type PlacementRow,
  type ReconcileAction,
  type Versioned,
} from '@valvelatch/core';
import {
  createCachedRowsReader,
  type HostListClient,
  type TableClient,
  type TaskSpec,
  type WorkerClient,
} from '@valvelatch/platform';

import { endpointIdOf } from '../data-path/endpoint-directory.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';

export type DataCentreAgentOptions = {
  readonly dataCentre: DataCentreId;
  readonly table: TableClient;
  readonly workers: WorkerClient;
  readonly hostList: HostListClient;
  readonly configuration: () => Configuration;
  /** The hosts of this data centre. */
  readonly localHosts: () => ReadonlySet<HostId>;
  /** The tasks that the workers last reported. */
  readonly observedTasks: () => readonly ObservedTask[];
  /** True once each entry that may send to the endpoint has confirmed that it has no request in flight there. */
  readonly isIdle: (endpointId: string) => Promise<boolean>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs?: () => number;
};

/** Rows of this data centre. */
type LocalRows = {
  readonly hosts: readonly Versioned<HostRow>[];
  readonly placements: readonly Versioned<PlacementRow>[];
};

/** Agent that makes the workers of a data centre match the placements. */
export type DataCentreAgent = { readonly tick: () => Promise<void> };

const MS_PER_S = 1000;
/** Interval of the usage reports. */
const USAGE_INTERVAL_MS = 5000;
/** Interval of the renewals of task leases; it is far below the shortest lease that is useful. */
const RENEWAL_INTERVAL_MS = 1000;

type ActionOf<Kind extends ReconcileAction['kind']> = Extract<ReconcileAction, { kind: Kind }>;
type Handlers = {
  readonly [Kind in ReconcileAction['kind']]: (action: ActionOf<Kind>) => Promise<void>;
};

/**
 * Creates the agent.
 *
 * @param options - The platform's clients, the configuration and the tasks that this entry knows.
 * @returns The agent.
 */
export const createDataCentreAgent = ({
  dataCentre,
  table,
  workers,
  hostList,
  configuration,
  localHosts,
  observedTasks,
  isIdle,
  log,
  metrics,
  nowMs = () => performance.now(),
}: DataCentreAgentOptions): DataCentreAgent => {
  const rowReader = createCachedRowsReader(table, [rowPrefix.host, rowPrefix.placement]);
  let lastPlacements: readonly Versioned<PlacementRow>[] = [];
  let startDeadlineMs = -Infinity;
  let nextUsageMs = -Infinity;
  let nextRenewalMs = -Infinity;

  const specOfService = (service: string): TaskSpec | undefined => {
    const spec = findDeclaration(configuration(), 'Service', service)?.spec;
    return (
      spec && { slots: spec.slots, connections: spec.connections, runTimeMs: 0, cores: spec.cores }
    );
  };

  const specOfJob = async (jobId: string): Promise<TaskSpec | undefined> => {
    const rows = await table.read([rowKey.job(jobId)]);
    if (rows.isErr()) return undefined;
    const spec = (rows.value[0]?.value as JobRow | null)?.job.spec;
    return (
      spec && { slots: 0, connections: 0, runTimeMs: spec.runTimeS * MS_PER_S, cores: spec.cores }
    );
  };

  const handlers: Handlers = {
    start: async ({ placement }) => {
      // A placement that was read too long ago may have been withdrawn since, and its job placed elsewhere.
      if (nowMs() > startDeadlineMs) return;
      const spec =
        placement.service === null
          ? await specOfJob(placement.jobId)
          : specOfService(placement.service);
      if (!spec) return;
      const started = await workers.start(placement, spec);
      if (started.isOk()) metrics.count('tasks_started');
      else log.info('task-not-started', { jobId: placement.jobId, detail: started.error.detail });
    },
    drain: async ({ task }) => {
      const drained = await workers.drain(task);
      if (drained.isOk()) await handlers.stop({ kind: 'stop', task });
    },
    stop: async ({ task }) => {
      if (task.service !== null && !(await isIdle(endpointIdOf(task)))) return;
      const stopped = await workers.stop(task);
      if (stopped.isOk()) log.info('task-stopped', { jobId: task.jobId, epoch: task.epoch });
    },
    forget: async ({ task }) => {
      await workers.stop(task);
    },
    // `renewAll` renews all leases in one message.
    renew: async () => undefined,
    report: async ({ placement, phase, outcome }) => {
      const key = rowKey.placement(placement.value.jobId);
      await table.transact({
        checks: [{ key, version: placement.version }],
        writes: [{ key, value: { ...placement.value, phase, outcome } }],
      });
    },
  };

  const execute = (action: ReconcileAction): Promise<void> =>
    (handlers[action.kind] as (one: ReconcileAction) => Promise<void>)(action);

  /** Renews the leases of tasks if the interval has passed since the last renewal. */
  const renewAll = async (tasksToRenew: readonly ObservedTask[]): Promise<void> => {
    if (tasksToRenew.length === 0 || nowMs() < nextRenewalMs) return;
    nextRenewalMs = nowMs() + RENEWAL_INTERVAL_MS;
    await workers.renew(tasksToRenew);
  };

  /** Drains the running service tasks on hosts that the host list reports as leaving. */
  const drainLeavingHosts = async (): Promise<void> => {
    const listed = await hostList.list();
    if (listed.isErr()) return;
    const leaving = new Set(
      listed.value.filter(({ state }) => state === 'leaving').map(({ hostId }) => hostId),
    );
    await Promise.all(
      observedTasks()
        .filter(
          ({ hostId, phase, service }) =>
            service !== null && phase === 'running' && leaving.has(hostId),
        )
        .map((task) => workers.drain(task)),
    );
  };

  const reportEmptyHost = async ({ value, version }: Versioned<HostRow>): Promise<void> => {
    const key = rowKey.host(value.hostId);
    const row: HostRow = { ...value, phase: 'empty', reason: 'verified empty' };
    await table.transact({ checks: [{ key, version }], writes: [{ key, value: row }] });
  };

  /** Reads the rows of this data centre, hosts before placements; undefined if they cannot be read. */
  const readRows = async (): Promise<LocalRows | undefined> => {
    const read = await rowReader.read();
    if (read.isErr()) return undefined;
    const [hostRows = [], placementRows = []] = read.value;
    const local = localHosts();
    const ofLocal = <Row extends { readonly hostId: HostId }>(rows: readonly TableRow[]) =>
      rows
        .map(({ value, version }) => ({ value: value as Row, version }))
        .filter(({ value }) => local.has(value.hostId));
    return {
      hosts: ofLocal<HostRow>(hostRows),
      placements: ofLocal<PlacementRow>(placementRows),
    };
  };

  /** Usage figures are delayed and change slowly, so they are written seldom, in one row per data centre. */
  const reportUsage = async (): Promise<void> => {
    if (nowMs() < nextUsageMs) return;
    nextUsageMs = nowMs() + USAGE_INTERVAL_MS;
    const usage = await workers.usage();
    if (usage.isErr()) return;
    const value: UsageRow = {
      usedCores: Object.fromEntries(usage.value.map((one) => [one.jobId, one.usedCores])),
    };
    await table.transact({ checks: [], writes: [{ key: rowKey.usage(dataCentre), value }] });
  };

  const tick = async (): Promise<void> => {
    const readAtMs = nowMs();
    const rows = await readRows();
    const observed = await workers.tasks();
    if (observed.isErr()) return;
    if (!rows) {
      await renewAll(listTasksToRenew(lastPlacements, observed.value));
      return;
    }
    lastPlacements = rows.placements;
    startDeadlineMs = readAtMs + MAX_START_DELAY_MS / 2;
    const actions = reconcile(rows.placements, observed.value);
    await renewAll(actions.flatMap((one) => (one.kind === 'renew' ? [one.task] : [])));
    await Promise.all(actions.map(execute));
    await Promise.all(
      findEmptyHosts(rows.hosts, rows.placements, observed.value).map(reportEmptyHost),
    );
    await drainLeavingHosts();
    await reportUsage();
  };

  return { tick };
};
