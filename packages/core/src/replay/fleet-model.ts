/**
 * A fleet in virtual time: the real decisions against a model of the table and of the workers. It
 * serves replay of traces, property-based tests and the planners' benchmark.
 */
import type { Configuration } from '../configuration/configuration.js';
import { declarationsOf } from '../configuration/configuration.js';
import type { ControlAction, Withheld } from '../control/draft.js';
import { retryDelayMs } from '../control/jobs.js';
import { planPoolTurn } from '../control/plan-turn.js';
import { createRowAges } from '../control/row-ages.js';
import { emptyHosts, reconcile, renewals, type ReconcileAction } from '../control/reconcile.js';
import type { HostSighting, PoolWorld, WaveStrategy } from '../control/world.js';
import { declaredHosts } from '../fleet/fleet.js';
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
import { createTableModel, type TableModel } from './table-model.js';
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

/** The fleet. */
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
  readonly withheld: () => readonly Withheld[];
  readonly readyOf: (service: string) => number;
  readonly rows: <Row>(prefix: string) => readonly Row[];
};

type Control = {
  readonly pool: PoolName;
  fence: { readonly key: string; readonly version: number };
  nextEpoch: number;
  withheld: readonly Withheld[];
};

type Listed = { readonly atMs: number; readonly sightings: ReadonlyMap<HostId, HostSighting> };

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
  const specs = new Map(declaredHosts(configuration).map((spec) => [spec.hostId, spec]));
  const places = new Map(Array.from(specs, ([id, { dataCentre }]) => [id, dataCentre]));
  const table = createTableModel();
  const workers = createWorkersModel(places, { startMs, rebootMs });
  const dataCentres = Array.from(new Set(places.values()));
  const cut = new Set<DataCentreId>();
  const lastPlacements = new Map<DataCentreId, readonly Versioned<PlacementRow>[]>();
  const heardMs = new Map<HostId, number>(Array.from(specs.keys(), (id) => [id, 0]));
  const uses = new Map<JobId, number>();
  const failuresSeen = new Map<JobId, { readonly failures: number; readonly atMs: number }>();
  const hostAges = createRowAges<HostId>();
  const placementAges = createRowAges<JobId>();
  const decisions: Decision[] = [];
  let listings: Listed[] = [];
  let isPlatformAway = false;
  let nowMs = 0;

  const controls = new Map<PoolName, Control>(
    declarationsOf(configuration, 'Pool').map(({ name }) => {
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

  const rowsOf = <Id extends string, Row>(prefix: string): Map<Id, Versioned<Row>> =>
    new Map(
      table
        .scan(prefix)
        .map(({ key, value, version }) => [
          key.slice(prefix.length) as Id,
          { value: value as Row, version },
        ]),
    );

  const sight = (): void => {
    const known = listings[listings.length - 1]?.sightings;
    const sightings = new Map<HostId, HostSighting>();
    workers.hosts.forEach((host, hostId) => {
      if (host.state !== 'dead' && !cut.has(host.dataCentre)) heardMs.set(hostId, nowMs);
      const isGone = nowMs - (heardMs.get(hostId) ?? 0) > goneAfterMs;
      const isLeaving = host.isLeaving || host.state === 'rebooting';
      const present = isLeaving ? 'leaving' : 'live';
      const state = isGone ? 'gone' : present;
      const before = known?.get(hostId);
      const sinceMs = before?.state === state ? before.sinceMs : nowMs;
      sightings.set(hostId, { state, boots: host.boots, sinceMs });
    });
    listings = [
      ...listings.filter(({ atMs }) => nowMs - atMs <= listLagMs),
      { atMs: nowMs, sightings },
    ];
  };

  const noteFailures = (jobs: ReadonlyMap<JobId, Versioned<JobRow>>): void =>
    jobs.forEach(({ value: { failures } }, jobId) => {
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

  const worldOf = (control: Control): PoolWorld => {
    const hosts = rowsOf<HostId, HostRow>(rowPrefix.host);
    const jobs = rowsOf<JobId, JobRow>(rowPrefix.job);
    const placements = rowsOf<JobId, PlacementRow>(rowPrefix.placement);
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
      waves: rowsOf<WaveId, WaveRow>(rowPrefix.wave),
      sightings: listings[0]?.sightings ?? new Map(),
      hostSinceMs: hostAges.see(hosts, nowMs),
      placementSinceMs: placementAges.see(placements, nowMs),
      waveStrategy,
      usedCores: usedCores(),
      retryAtMs: new Map(Array.from(failuresSeen, ([id, { atMs }]) => [id, atMs])),
    };
  };

  const planOnly = (pool: PoolName): PausedTurn => {
    const control = controls.get(pool) as Control;
    const plan = planPoolTurn(worldOf(control), nowMs);
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

  const runTimeOf = (jobId: JobId): number => {
    const row = table.read(rowKey.job(jobId)).value as JobRow | null;
    return (row?.job.spec.runTimeS ?? 0) * 1000;
  };

  type ActionOf<Kind extends ReconcileAction['kind']> = Extract<ReconcileAction, { kind: Kind }>;
  const handlers: {
    readonly [Kind in ReconcileAction['kind']]: (action: ActionOf<Kind>) => void;
  } = {
    start: ({ placement }) => workers.start(placement, runTimeOf(placement.jobId), nowMs),
    drain: ({ task }) => workers.drain(task),
    stop: ({ task }) => workers.stop(task),
    forget: ({ task }) => workers.stop(task),
    renew: ({ task }) => workers.renew(task, nowMs),
    report: ({ placement, phase, outcome }) => {
      const key = rowKey.placement(placement.value.jobId);
      table.transact(
        [{ key, version: placement.version }],
        [{ key, value: { ...placement.value, phase, outcome } }],
      );
    },
  };

  const runAgent = (dataCentre: DataCentreId): void => {
    const observed = workers.observed(dataCentre);
    if (isPlatformAway || cut.has(dataCentre)) {
      renewals(lastPlacements.get(dataCentre) ?? [], observed).forEach((task) =>
        workers.renew(task, nowMs),
      );
      return;
    }
    const placements = Array.from(rowsOf<JobId, PlacementRow>(rowPrefix.placement).values()).filter(
      ({ value }) => places.get(value.hostId) === dataCentre,
    );
    lastPlacements.set(dataCentre, placements);
    const hosts = Array.from(rowsOf<HostId, HostRow>(rowPrefix.host).values()).filter(
      ({ value }) => places.get(value.hostId) === dataCentre,
    );
    emptyHosts(hosts, placements, observed)
      .filter(({ value }) => workers.hosts.get(value.hostId)?.state === 'up')
      .forEach(({ value, version }) => {
        const key = rowKey.host(value.hostId);
        const row: HostRow = { ...value, phase: 'empty', reason: 'verified empty' };
        table.transact([{ key, version }], [{ key, value: row }]);
      });
    reconcile(placements, observed).forEach((action) =>
      (handlers[action.kind] as (one: ReconcileAction) => void)(action),
    );
  };

  const step = (): void => {
    nowMs += stepMs;
    workers.advance(nowMs);
    sight();
    dataCentres.forEach(runAgent);
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
