/**
 * A fleet in virtual time: runs the production planner against models of the table and of the
 * workers. Used by trace replay, property-based tests and the planner benchmark.
 */
import type { Configuration } from '../configuration/configuration.js';
import { listDeclarations } from '../configuration/configuration.js';
import type { ControlAction, WithheldAction } from '../control/draft.js';
import { retryDelayMs, countBackoffFailures } from '../control/jobs.js';
import { planPoolTurn } from '../control/plan-turn.js';
import { createRowVersionTracker } from '../control/row-ages.js';
import type { PoolSnapshot, WaveStrategy } from '../control/world.js';
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
import { createTableModel, rowsOf, type TableModel } from './table-model.js';
import { createWorkersModel, type WorkersModel } from './workers-model.js';

/** Options of a fleet. Times are in milliseconds of virtual time. */
export type FleetModelOptions = {
  readonly configuration: Configuration;
  readonly startMs?: number;
  readonly rebootMs?: number;
  readonly stepMs?: number;
  /** How stale the platform's list of hosts is. */
  readonly listLagMs?: number;
  readonly goneAfterMs?: number;
  readonly waveStrategy?: WaveStrategy;
};

/** A committed decision of a control turn. */
export type Decision = { readonly atMs: number; readonly subject: string; readonly reason: string };

/** A turn that was planned but not yet written; models a holder that is paused between the two. */
export type PausedTurn = { readonly pool: PoolName; readonly actions: readonly ControlAction[] };

export type FleetModel = {
  readonly table: TableModel;
  readonly workers: WorkersModel;
  readonly nowMs: () => number;
  readonly step: () => void;
  readonly setPlatformAway: (isAway: boolean) => void;
  readonly setCut: (dataCentre: DataCentreId, isCut: boolean) => void;
  /** Plans a turn of a pool without writing it. */
  readonly planOnly: (pool: PoolName) => PausedTurn;
  /** Writes a turn that was planned earlier and returns the number of committed actions. */
  readonly write: (turn: PausedTurn) => number;
  /**
   * Transfers control of a pool to a new holder; later writes of the former holder are rejected.
   */
  readonly takeControl: (pool: PoolName) => void;
  /** Sets the cores that a job uses from now on. Until then no usage is reported for it. */
  readonly setUse: (jobId: JobId, cores: number) => void;
  readonly pools: readonly PoolName[];
  readonly decisions: readonly Decision[];
  readonly withheld: () => readonly WithheldAction[];
  readonly readyOf: (service: string) => number;
  readonly rows: <Row>(prefix: string) => readonly Row[];
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
  startMs = 1000,
  rebootMs = 60_000,
  stepMs = 500,
  listLagMs = 1000,
  goneAfterMs = 5000,
  waveStrategy = 'growing',
}: FleetModelOptions): FleetModel => {
  const specs = new Map(listDeclaredHosts(configuration).map((spec) => [spec.hostId, spec]));
  const dataCentreByHost = new Map(Array.from(specs, ([id, { dataCentre }]) => [id, dataCentre]));
  const table = createTableModel();
  const workers = createWorkersModel(dataCentreByHost, { startMs, rebootMs });
  const cut = new Set<DataCentreId>();
  const hostList = createHostListModel({ workers, cut, lagMs: listLagMs, goneAfterMs });
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

  const takeControl = (pool: PoolName): void => {
    const control = controlByPool.get(pool);
    if (!control) return;
    const known = table.read(control.fence.key);
    const epoch = ((known.value as { epoch: number } | null)?.epoch ?? 0) + 1;
    const outcome = table.transact([], [{ key: control.fence.key, value: { epoch } }]);
    if (outcome.kind !== 'committed') return;
    control.fence = { key: control.fence.key, version: outcome.version };
    control.nextEpoch = epoch * EPOCHS_PER_TERM;
  };
  Array.from(controlByPool.keys()).forEach(takeControl);

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
    const hosts = rowsOf<HostId, HostRow>(table, rowPrefix.host);
    const jobs = rowsOf<JobId, JobRow>(table, rowPrefix.job);
    const placements = rowsOf<JobId, PlacementRow>(table, rowPrefix.placement);
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
      waves: rowsOf<WaveId, WaveRow>(table, rowPrefix.wave),
      listedHosts: hostList.sightings(),
      hostRowSinceMs: hostAges.update(hosts, nowMs),
      placementRowSinceMs: placementAges.update(placements, nowMs),
      waveStrategy,
      usedCores: listUsedCores(),
      retryAtMs: new Map(Array.from(lastFailures, ([id, { atMs }]) => [id, atMs])),
    };
  };

  const planOnly = (pool: PoolName): PausedTurn => {
    const control = controlByPool.get(pool) as Control;
    const plan = planPoolTurn(buildSnapshot(control), nowMs);
    control.nextEpoch = plan.nextEpoch;
    control.withheld = plan.withheld;
    return { pool, actions: plan.actions };
  };

  const write = ({ actions }: PausedTurn): number =>
    actions.reduce((committed, action) => {
      if (action.kind === 'reboot') {
        const host = workers.hosts.get(action.hostId);
        if (host && !cut.has(host.dataCentre)) {
          workers.reboot(action.hostId, action.requestName, nowMs);
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
    hostList.look(nowMs);
    agents.forEach((agent, dataCentre) =>
      agent.run(!isPlatformAway && !cut.has(dataCentre), nowMs),
    );
    if (!isPlatformAway) controlByPool.forEach(({ pool }) => write(planOnly(pool)));
  };

  return {
    table,
    workers,
    nowMs: () => nowMs,
    step,
    setPlatformAway: (isAway) => {
      isPlatformAway = isAway;
    },
    setCut: (dataCentre, isCut) => {
      if (isCut) cut.add(dataCentre);
      else cut.delete(dataCentre);
    },
    planOnly,
    write,
    takeControl,
    setUse: (jobId, cores) => {
      usedCoresByJob.set(jobId, cores);
    },
    pools: Array.from(controlByPool.keys()),
    decisions,
    withheld: () => Array.from(controlByPool.values()).flatMap(({ withheld }) => withheld),
    readyOf: (service) =>
      workers.tasks().filter((task) => task.service === service && task.phase === 'running').length,
    rows: <Row>(prefix: string) => table.scan(prefix).map(({ value }) => value as Row),
  };
};
