/**
 * A fleet in virtual time: runs the production planner against models of the table and of the
 * workers. Used by trace replay, property-based tests and the planner benchmark.
 */
import type { Configuration } from '../configuration/configuration.js';
import { listDeclarations } from '../configuration/configuration.js';
import type { ControlAction, WithheldAction } from '../control/draft.js';
import { retryDelayMs, countBackoffFailures } from '../control/jobs.js';
import { planPoolTurn } from '../control/plan-turn.js';
import { createRowVersionTracker } from '../control/row-version-tracker.js';
import type { PoolSnapshot, WaveStrategy } from '../control/pool-snapshot.js';
import { listDeclaredHosts } from '../fleet/fleet.js';
import {
  rowKey,
  rowPrefix,
  type HostRow,
  type JobRow,
  type PlacementRow,
  type Versioned,
  type WaveRow,
} from '../rows/rows.js';
import {
  brand,
  type DataCentreId,
  type HostId,
  type JobId,
  type PoolName,
  type WaveId,
} from '../shared/ids.js';
import { createAgentModel } from './agent-model.js';
import { createHostListModel } from './host-list-model.js';
import { createTableModel, readRows, type TableModel } from './table-model.js';
import { createWorkersModel, type WorkersModel } from './workers-model.js';

/** Options of a fleet. Times are in milliseconds of virtual time. */
export type FleetModelOptions = {
  readonly configuration: Configuration;
  readonly taskStartMs?: number;
  readonly rebootMs?: number;
  readonly stepMs?: number;
  /** How stale the platform's list of hosts is. */
  readonly listLagMs?: number;
  readonly silenceTimeoutMs?: number;
  readonly waveStrategy?: WaveStrategy;
};

/** A committed decision of a control turn. */
export type Decision = { readonly atMs: number; readonly subject: string; readonly reason: string };

/** A turn that was planned but not yet written; models a holder that is paused between the two. */
export type PlannedTurn = { readonly pool: PoolName; readonly actions: readonly ControlAction[] };

export type FleetModel = {
  readonly table: TableModel;
  readonly workers: WorkersModel;
  readonly nowMs: () => number;
  readonly step: () => void;
  readonly setPlatformUnavailable: (isAway: boolean) => void;
  readonly setPartitioned: (dataCentre: DataCentreId, isCut: boolean) => void;
  /** Plans a turn of a pool without writing it. */
  readonly planTurn: (pool: PoolName) => PlannedTurn;
  /** Writes a turn that was planned earlier and returns the number of committed actions. */
  readonly writeTurn: (turn: PlannedTurn) => number;
  /**
   * Transfers control of a pool to a new holder; later writes of the former holder are rejected.
   */
  readonly transferControl: (pool: PoolName) => void;
  /** Sets the cores that a job uses from now on. Until then no usage is reported for it. */
  readonly setUsedCores: (jobId: JobId, cores: number) => void;
  readonly pools: readonly PoolName[];
  readonly decisions: readonly Decision[];
  readonly listWithheldActions: () => readonly WithheldAction[];
  readonly countReadyExecutors: (service: string) => number;
  readonly listRows: <Row>(prefix: string) => readonly Row[];
};

type Control = {
  readonly pool: PoolName;
  fence: { readonly key: string; readonly version: number };
  nextEpoch: number;
  withheld: readonly WithheldAction[];
};

const EPOCHS_PER_TERM = 2 ** 24;

/**
 * Builds a fleet.
 *
 * @param options - The configuration and the times of the model.
 * @returns The fleet at time 0, with no placements.
 */
export const createFleetModel = ({
  configuration,
  taskStartMs = 1000,
  rebootMs = 60_000,
  stepMs = 500,
  listLagMs = 1000,
  silenceTimeoutMs = 5000,
  waveStrategy = 'growing',
}: FleetModelOptions): FleetModel => {
  const specs = new Map(listDeclaredHosts(configuration).map((spec) => [spec.hostId, spec]));
  const dataCentreByHost = new Map(Array.from(specs, ([id, { dataCentre }]) => [id, dataCentre]));
  const table = createTableModel();
  const workers = createWorkersModel(dataCentreByHost, { taskStartMs, rebootMs });
  const partitionedDataCentres = new Set<DataCentreId>();
  const hostList = createHostListModel({
    workers,
    partitionedDataCentres,
    lagMs: listLagMs,
    silenceTimeoutMs,
  });
  const agents = new Map(
    Array.from(new Set(dataCentreByHost.values()), (dataCentre) => [
      dataCentre,
      createAgentModel({ dataCentre, table, workers }),
    ]),
  );
  const usedCoresByJob = new Map<JobId, number>();
  const lastFailures = new Map<JobId, { readonly failures: number; readonly atMs: number }>();
  const hostAges = createRowVersionTracker<HostId>();
  const placementAges = createRowVersionTracker<JobId>();
  const decisions: Decision[] = [];
  let isPlatformAway = false;
  let nowMs = 0;

  const controlByPool = new Map<PoolName, Control>(
    listDeclarations(configuration, 'Pool').map(({ name }) => {
      const pool = brand<PoolName>(name);
      return [
        pool,
        { pool, fence: { key: rowKey.fence(pool), version: 0 }, nextEpoch: 0, withheld: [] },
      ];
    }),
  );

  const transferControl = (pool: PoolName): void => {
    const control = controlByPool.get(pool);
    if (!control) return;
    const known = table.read(control.fence.key);
    const epoch = ((known.value as { epoch: number } | null)?.epoch ?? 0) + 1;
    const outcome = table.transact([], [{ key: control.fence.key, value: { epoch } }]);
    if (outcome.kind !== 'committed') return;
    control.fence = { key: control.fence.key, version: outcome.version };
    control.nextEpoch = epoch * EPOCHS_PER_TERM;
  };
  Array.from(controlByPool.keys()).forEach(transferControl);

  const recordFailures = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): void =>
    jobs.forEach(({ value }, jobId) => {
      const failures = countBackoffFailures(value);
      if (failures > 0 && lastFailures.get(jobId)?.failures !== failures) {
        lastFailures.set(jobId, { failures, atMs: nowMs + retryDelayMs(failures) });
      }
    });

  const listUsedCores = (): ReadonlyMap<JobId, number> =>
    new Map(
      workers
        .tasks()
        .filter(({ phase }) => phase === 'running')
        .flatMap(({ jobId }) => {
          const cores = usedCoresByJob.get(jobId);
          return cores === undefined ? [] : [[jobId, cores] as const];
        }),
    );

  const buildSnapshot = (control: Control): PoolSnapshot => {
    const hosts = readRows<HostId, HostRow>(table, rowPrefix.host);
    const jobs = readRows<JobId, JobRow>(table, rowPrefix.job);
    const placements = readRows<JobId, PlacementRow>(table, rowPrefix.placement);
    recordFailures(jobs);
    return {
      pool: control.pool,
      configuration,
      fence: control.fence,
      nextEpoch: control.nextEpoch,
      specs,
      hosts,
      placements,
      jobs,
      waves: readRows<WaveId, WaveRow>(table, rowPrefix.wave),
      listedHosts: hostList.listedHosts(),
      hostRowSinceMs: hostAges.update(hosts, nowMs),
      placementRowSinceMs: placementAges.update(placements, nowMs),
      waveStrategy,
      usedCores: listUsedCores(),
      retryAtMs: new Map(Array.from(lastFailures, ([id, { atMs }]) => [id, atMs])),
    };
  };

  const planTurn = (pool: PoolName): PlannedTurn => {
    const control = controlByPool.get(pool) as Control;
    const plan = planPoolTurn(buildSnapshot(control), nowMs);
    control.nextEpoch = plan.nextEpoch;
    control.withheld = plan.withheld;
    return { pool, actions: plan.actions };
  };

  const writeTurn = ({ actions }: PlannedTurn): number =>
    actions.reduce((committed, action) => {
      if (action.kind === 'reboot') {
        const host = workers.hosts.get(action.hostId);
        if (host && !partitionedDataCentres.has(host.dataCentre)) {
          workers.rebootHost(action.hostId, action.requestName, nowMs);
        }
        return committed;
      }
      const outcome = table.transact(action.checks, action.writes);
      if (outcome.kind === 'conflict') return committed;
      decisions.push({ atMs: nowMs, subject: action.subject, reason: action.reason });
      return committed + 1;
    }, 0);

  const step = (): void => {
    nowMs += stepMs;
    workers.advance(nowMs);
    hostList.recordListing(nowMs);
    agents.forEach((agent, dataCentre) =>
      agent.reconcile(!isPlatformAway && !partitionedDataCentres.has(dataCentre), nowMs),
    );
    if (!isPlatformAway) controlByPool.forEach(({ pool }) => writeTurn(planTurn(pool)));
  };

  return {
    table,
    workers,
    nowMs: () => nowMs,
    step,
    setPlatformUnavailable: (isAway) => {
      isPlatformAway = isAway;
    },
    setPartitioned: (dataCentre, isCut) => {
      if (isCut) partitionedDataCentres.add(dataCentre);
      else partitionedDataCentres.delete(dataCentre);
    },
    planTurn,
    writeTurn,
    transferControl,
    setUsedCores: (jobId, cores) => {
      usedCoresByJob.set(jobId, cores);
    },
    pools: Array.from(controlByPool.keys()),
    decisions,
    listWithheldActions: () =>
      Array.from(controlByPool.values()).flatMap(({ withheld }) => withheld),
    countReadyExecutors: (service) =>
      workers.tasks().filter((task) => task.service === service && task.phase === 'running').length,
    listRows: <Row>(prefix: string) => table.scan(prefix).map(({ value }) => value as Row),
  };
};
