/**
 * The agent of a data centre in virtual time: runs the production reconciler against the models.
 */
import {
  findEmptyHosts,
  reconcile,
  listTasksToRenew,
  type ReconcileAction,
} from '../control/reconcile.js';
import {
  rowKey,
  rowPrefix,
  type HostRow,
  type JobRow,
  type PlacementRow,
  type Versioned,
} from '../rows/rows.js';
import type { DataCentreId, HostId, JobId } from '../shared/ids.js';
import { readRows, type TableModel } from './table-model.js';
import type { WorkersModel } from './workers-model.js';

export type AgentModel = {
  /**
   * Reconciles the data centre's workers with the table. Without access to the table
   * (`hasTable` is false), only renews the leases of tasks that the last read placements contain.
   */
  readonly reconcile: (hasTable: boolean, nowMs: number) => void;
};

export type AgentModelOptions = {
  readonly dataCentre: DataCentreId;
  readonly table: TableModel;
  readonly workers: WorkersModel;
};

type ActionOf<Kind extends ReconcileAction['kind']> = Extract<ReconcileAction, { kind: Kind }>;

/**
 * Builds the agent of a data centre.
 *
 * @param options - The data centre, the table and the workers.
 * @returns The agent.
 */
export const createAgentModel = ({ dataCentre, table, workers }: AgentModelOptions): AgentModel => {
  let lastPlacements: readonly Versioned<PlacementRow>[] = [];

  /** Lists the rows under a prefix that refer to hosts of this data centre. */
  const localRows = <Row extends { readonly hostId: HostId }>(
    prefix: string,
  ): readonly Versioned<Row>[] =>
    Array.from(readRows<string, Row>(table, prefix).values()).filter(
      ({ value }) => workers.hosts.get(value.hostId)?.dataCentre === dataCentre,
    );

  const runTimeOf = (jobId: JobId): number => {
    const row = table.read(rowKey.job(jobId)).value as JobRow | null;
    return (row?.job.spec.runTimeS ?? 0) * 1000;
  };

  const handlers: {
    readonly [Kind in ReconcileAction['kind']]: (action: ActionOf<Kind>, nowMs: number) => void;
  } = {
    start: ({ placement }, nowMs) => workers.start(placement, runTimeOf(placement.jobId), nowMs),
    drain: ({ task }) => workers.drain(task),
    stop: ({ task }) => workers.stop(task),
    forget: ({ task }) => workers.stop(task),
    renew: ({ task }, nowMs) => workers.renew(task, nowMs),
    report: ({ placement: { value, version }, phase, outcome }) => {
      const key = rowKey.placement(value.jobId);
      table.transact([{ key, version }], [{ key, value: { ...value, phase, outcome } }]);
    },
  };

  const applyAction = (action: ReconcileAction, nowMs: number): void => {
    const handle = handlers[action.kind] as (one: ReconcileAction, atMs: number) => void;
    handle(action, nowMs);
  };

  const reportEmpty = ({ value, version }: Versioned<HostRow>): void => {
    if (workers.hosts.get(value.hostId)?.state !== 'up') return;
    const key = rowKey.host(value.hostId);
    const row: HostRow = { ...value, phase: 'empty', reason: 'verified empty' };
    table.transact([{ key, version }], [{ key, value: row }]);
  };

  return {
    reconcile: (hasTable, nowMs) => {
      const observed = workers.listObservedTasks(dataCentre);
      if (!hasTable) {
        listTasksToRenew(lastPlacements, observed).forEach((task) => workers.renew(task, nowMs));
        return;
      }
      const placements = localRows<PlacementRow>(rowPrefix.placement);
      lastPlacements = placements;
      findEmptyHosts(localRows<HostRow>(rowPrefix.host), placements, observed).forEach(reportEmpty);
      reconcile(placements, observed).forEach((action) => applyAction(action, nowMs));
    },
  };
};
