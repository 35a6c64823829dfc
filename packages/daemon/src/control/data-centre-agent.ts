/**
 * Carries out placements at the workers of this data centre. Any entry may do it; starting is
 * idempotent by job and epoch. While the table is away only leases are renewed, so that what runs
 * goes on. A task is stopped only once no entry has anything in flight there.
 */
import {
  reconcile,
  renewals,
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
import type { HostListClient, TableClient, TaskSpec, WorkerClient } from '@valvelatch/platform';

import { endpointIdOf } from '../data-path/endpoint-directory.js';
import type { Log } from '../observe/log.js';
import type { Metrics } from '../observe/metrics.js';

/** Options for the agent. */
export type DataCentreAgentOptions = {
  readonly table: TableClient;
  readonly workers: WorkerClient;
  readonly hostList: HostListClient;
  readonly configuration: () => Configuration;
  /** The hosts of this data centre. */
  readonly localHosts: () => ReadonlySet<HostId>;
  readonly tasks: () => readonly ObservedTask[];
  /** True once each entry that may send to the endpoint has confirmed that nothing is in flight. */
  readonly isQuiet: (endpointId: string) => Promise<boolean>;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** The agent. */
export type DataCentreAgent = { readonly tick: () => Promise<void> };

const MS_PER_S = 1000;

type ActionOf<Kind extends ReconcileAction['kind']> = Extract<ReconcileAction, { kind: Kind }>;
type Handlers = {
  readonly [Kind in ReconcileAction['kind']]: (action: ActionOf<Kind>) => Promise<void>;
};

/**
 * Builds the agent.
 *
 * @param options - The platform's clients and what this entry knows.
 * @returns The agent.
 */
export const createDataCentreAgent = ({
  table,
  workers,
  hostList,
  configuration,
  localHosts,
  tasks,
  isQuiet,
  log,
  metrics,
}: DataCentreAgentOptions): DataCentreAgent => {
  let lastRead: readonly Versioned<PlacementRow>[] = [];

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
      if (task.service !== null && !(await isQuiet(endpointIdOf(task)))) return;
      const stopped = await workers.stop(task);
      if (stopped.isOk()) log.info('task-stopped', { jobId: task.jobId, epoch: task.epoch });
    },
    forget: async ({ task }) => {
      await workers.stop(task);
    },
    // Leases are renewed together, in one message.
    renew: async () => undefined,
    report: async ({ placement, phase, outcome }) => {
      const key = rowKey.placement(placement.value.jobId);
      await table.transact({
        checks: [{ key, version: placement.version }],
        writes: [{ key, value: { ...placement.value, phase, outcome } }],
      });
    },
  };

  const carryOut = (action: ReconcileAction): Promise<void> =>
    (handlers[action.kind] as (one: ReconcileAction) => Promise<void>)(action);

  const renewAll = async (known: readonly ObservedTask[]): Promise<void> => {
    if (known.length > 0) await workers.renew(known);
  };

  const drainOnLeavingHosts = async (): Promise<void> => {
    const listed = await hostList.list();
    if (listed.isErr()) return;
    const leaving = new Set(
      listed.value.filter(({ state }) => state === 'leaving').map(({ hostId }) => hostId),
    );
    await Promise.all(
      tasks()
        .filter(
          ({ hostId, phase, service }) =>
            service !== null && phase === 'running' && leaving.has(hostId),
        )
        .map((task) => workers.drain(task)),
    );
  };

  const tick = async (): Promise<void> => {
    const observed = await workers.tasks();
    if (observed.isErr()) return;
    const scan = await table.scan(rowPrefix.placement);
    if (scan.isErr()) {
      await renewAll(renewals(lastRead, observed.value));
      return;
    }
    const hosts = localHosts();
    lastRead = scan.value
      .map(({ value, version }) => ({ value: value as PlacementRow, version }))
      .filter(({ value }) => hosts.has(value.hostId));
    const actions = reconcile(lastRead, observed.value);
    await renewAll(actions.flatMap((one) => (one.kind === 'renew' ? [one.task] : [])));
    await Promise.all(actions.map(carryOut));
    await drainOnLeavingHosts();
  };

  return { tick };
};
