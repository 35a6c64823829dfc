/**
 * A fleet in virtual time: the real decisions against a model of the table and of the workers. It
 * serves replay of traces, property-based tests and the planners' benchmark.
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

/** Options for a fleet. Times are in milliseconds of virtual time. */
export type FleetModelOptions = {
  readonly configuration: Configuration;
  readonly startMs?: number;
  readonly rebootMs?: number;
  readonly stepMs?: number;
  /** How far the platform's list of hosts lags. */
  readonly listLagMs?: number;
  readonly goneAfterMs?: number;
  readonly waveStrategy?: WaveStrategy;
};

/** A decision of a control turn that was committed. */
export type Decision = { readonly atMs: number; readonly subject: string; readonly reason: string };

/** A turn that was planned but not yet written, as by a holder that is paused. */
export type PausedTurn = { readonly pool: PoolName; readonly actions: readonly ControlAction[] };

export type FleetModel = {
  readonly table: TableModel;
  readonly workers: WorkersModel;
  readonly nowMs: () => number;
  readonly step: () => void;
  readonly setPlatformAway: (isAway: boolean) => void;
  readonly setCut: (dataCentre: DataCentreId, isCut: boolean) => void;
  /** Plans a turn without writing it. */
  readonly planOnly: (pool: PoolName) => PausedTurn;
  /** Writes a turn that was planned earlier; gives the number of changes that were committed. */
  readonly write: (turn: PausedTurn) => number;
  /** Another holder takes the control of a pool: what the former one writes fails. */
  readonly takeControl: (pool: PoolName) => void;
  /** Sets what a job uses from now on; without it nothing is reported of it. */
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
 * @returns The fleet at time 0, with nothing placed yet.
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
  const places = new Map(Array.from(specs, ([id, { dataCentre }]) => [id, dataCentre]));
  const table = createTableModel();
  const workers = createWorkersModel(places, { startMs, rebootMs });
  const cut = new Set<DataCentreId>();
  const hostList = createHostListModel({ workers, cut, lagMs: listLagMs, goneAfterMs });
  const agents = new Map(
    Array.from(new Set(places.values()), (dataCentre) => [
      dataCentre,
      createAgentModel({ dataCentre, table, workers }),
    ]),
  );
  const uses = new Map<JobId, number>();
  const failuresSeen = new Map<JobId, { readonly failures: number; readonly atMs: number }>();
  const hostAges = createRowVersionTracker<HostId>();
  const placementAges = createRowVersionTracker<JobId>();
  const decisions: Decision[] = [];
  let isPlatformAway = false;
  let nowMs = 0;

  const controls = new Map<PoolName, Control>(
    listDeclarations(configuration, 'Pool').map(({ name }) => {
      const pool = brand<PoolName>(name);
      return [
        pool,
        { pool, fence: { key: rowKey.fence(pool), version: 0 }, nextEpoch: 0, withheld: [] },
      ];
    }),
  );

  const takeControl = (pool: PoolName): void => {
    const control = controls.get(pool);
    if (!control) return;
    const known = table.read(control.fence.key);
    const epoch = ((known.value as { epoch: number } | null)?.epoch ?? 0) + 1;
    const outcome = table.transact([], [{ key: control.fence.key, value: { epoch } }]);
    if (outcome.kind !== 'committed') return;
    control.fence = { key: control.fence.key, version: outcome.version };
    control.nextEpoch = epoch * EPOCHS_PER_TERM;
  };
  Array.from(controls.keys()).forEach(takeControl);

  const noteFailures = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): void =>
    jobs.forEach(({ value }, jobId) => {
      const failures = countBackoffFailures(value);
      if (failures > 0 && failuresSeen.get(jobId)?.failures !== failures) {
        failuresSeen.set(jobId, { failures, atMs: nowMs + retryDelayMs(failures) });
      }
    });

  const usedCores = (): ReadonlyMap<JobId, number> =>
    new Map(
      workers
        .tasks()
        .filter(({ phase }) => phase === 'running')
        .flatMap(({ jobId }) => {
          const cores = uses.get(jobId);
          return cores === undefined ? [] : [[jobId, cores] as const];
        }),
    );

  const snapshotOf = (control: Control): PoolSnapshot => {
    const hosts = rowsOf<HostId, HostRow>(table, rowPrefix.host);
    const jobs = rowsOf<JobId, JobRow>(table, rowPrefix.job);
    const placements = rowsOf<JobId, PlacementRow>(table, rowPrefix.placement);
    noteFailures(jobs);
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
      usedCores: usedCores(),
      retryAtMs: new Map(Array.from(failuresSeen, ([id, { atMs }]) => [id, atMs])),
    };
  };

  const planOnly = (pool: PoolName): PausedTurn => {
    const control = controls.get(pool) as Control;
    const plan = planPoolTurn(snapshotOf(control), nowMs);
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
    if (!isPlatformAway) controls.forEach(({ pool }) => write(planOnly(pool)));
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
      uses.set(jobId, cores);
    },
    pools: Array.from(controls.keys()),
    decisions,
    withheld: () => Array.from(controls.values()).flatMap(({ withheld }) => withheld),
    readyOf: (service) =>
      workers.tasks().filter((task) => task.service === service && task.phase === 'running').length,
    rows: <Row>(prefix: string) => table.scan(prefix).map(({ value }) => value as Row),
  };
};
