/**
 * Replays a trace against the production planner and checks the expectations that the trace states.
 */
import { listDeclarations, type Configuration } from '../configuration/configuration.js';
import { listDeclaredHosts, selectHosts } from '../fleet/fleet.js';
import { rowKey, rowPrefix, type HostRow, type JobRow, type WaveRow } from '../rows/rows.js';
import { parseSelector } from '../selectors/parse-selector.js';
import {
  brand,
  type DataCentreId,
  type HostId,
  type JobId,
  type PoolName,
  type WaveId,
} from '../shared/ids.js';
import {
  createFleetModel,
  type Decision,
  type FleetModel,
  type PlannedTurn,
} from './fleet-model.js';
import type { Expectation, TimedEvent, Trace } from './trace.js';

/** The result of a replay. */
export type ReplayReport = {
  readonly decisions: readonly Decision[];
  /** The number of expectations that were met. */
  readonly held: number;
  /** A description of each expectation or invariant that was violated. */
  readonly broken: readonly string[];
  /** The duration of the replay in virtual time, in seconds. */
  readonly lastedS: number;
};

type Run = {
  readonly fleet: FleetModel;
  readonly configuration: Configuration;
  readonly paused: Map<string, PlannedTurn>;
  readonly broken: string[];
  held: number;
};

const MS_PER_S = 1000;

const changeRow = <Row>(fleet: FleetModel, key: string, change: (row: Row) => Row): void => {
  const { value, version } = fleet.table.read(key);
  if (value !== null) {
    fleet.table.transact([{ key, version }], [{ key, value: change(value as Row) }]);
  }
};

const checkEqual = (run: Run, label: string, expected: unknown, actual: unknown): void => {
  const state = run;
  if (expected === actual) state.held += 1;
  else
    state.broken.push(
      `at ${run.fleet.nowMs() / MS_PER_S} s: ${label}: wanted ${String(expected)}, found ${String(actual)}`,
    );
};

const readRow = <Row>({ fleet }: Run, key: string): Row | undefined =>
  (fleet.table.read(key).value ?? undefined) as Row | undefined;

const checkExpectation = (run: Run, expectation: Expectation): void => {
  Object.entries(expectation.ready ?? {}).forEach(([service, count]) =>
    checkEqual(run, `ready of ${service}`, count, run.fleet.countReadyExecutors(service)),
  );
  Object.entries(expectation.jobs ?? {}).forEach(([job, phase]) =>
    checkEqual(run, `job ${job}`, phase, readRow<JobRow>(run, rowKey.job(job))?.phase),
  );
  Object.entries(expectation.waves ?? {}).forEach(([wave, phase]) =>
    checkEqual(run, `wave ${wave}`, phase, readRow<WaveRow>(run, rowKey.wave(wave))?.phase),
  );
  Object.entries(expectation.pools ?? {}).forEach(([host, pool]) =>
    checkEqual(run, `pool of ${host}`, pool, readRow<HostRow>(run, rowKey.host(host))?.pool),
  );
  Object.entries(expectation.phases ?? {}).forEach(([host, phase]) =>
    checkEqual(run, `phase of ${host}`, phase, readRow<HostRow>(run, rowKey.host(host))?.phase),
  );
  if (expectation.withheld !== undefined) {
    const text = expectation.withheld;
    const isReported = run.fleet.listWithheldActions().some(({ reason }) => reason.includes(text));
    checkEqual(run, `withheld: ${text}`, true, isReported);
  }
};

const startWave = ({ fleet, configuration }: Run, wave: string, selectorText: string): void => {
  const selector = parseSelector(selectorText).unwrap();
  const hosts = selectHosts(configuration, fleet.listRows<HostRow>(rowPrefix.host), selector);
  const waveId = brand<WaveId>(wave);
  const row: WaveRow = {
    waveId,
    selector: selectorText,
    phase: 'running',
    reason: 'started',
    hosts,
  };
  fleet.table.transact([], [{ key: rowKey.wave(wave), value: row }]);
};

const forEachHost = (
  { fleet }: Run,
  hosts: readonly string[],
  change: (hostId: HostId) => void,
): void =>
  hosts
    .map((host) => brand<HostId>(host))
    .filter((id) => fleet.workers.hosts.has(id))
    .forEach(change);

const setHosts = (
  run: Run,
  hosts: readonly string[],
  change: { readonly failsTasks?: boolean; readonly isLeaving?: boolean },
): void =>
  forEachHost(run, hosts, (id) => Object.assign(run.fleet.workers.hosts.get(id) ?? {}, change));

type EventOf<Type extends TimedEvent['type']> = Extract<TimedEvent, { type: Type }>;

const handlers: {
  readonly [Type in TimedEvent['type']]: (run: Run, event: EventOf<Type>) => void;
} = {
  'job-submit': ({ fleet }, { job }) => {
    const row: JobRow = { job, phase: 'pending', failures: 0, failedOn: [], reason: 'submitted' };
    fleet.table.transact([], [{ key: rowKey.job(job.name), value: row }]);
  },
  'job-cancel': ({ fleet }, { job }) =>
    changeRow<JobRow>(fleet, rowKey.job(job), (row) =>
      row.phase === 'pending'
        ? { ...row, phase: 'cancelled', reason: 'an operator cancelled it' }
        : row,
    ),
  'job-uses': ({ fleet }, { job, cores }) => fleet.setUsedCores(brand<JobId>(job), cores),
  'host-kill': (run, { hosts }) => forEachHost(run, hosts, run.fleet.workers.crashHost),
  'host-revive': (run, { hosts }) => forEachHost(run, hosts, run.fleet.workers.restartHost),
  'host-fails-tasks': (run, { hosts }) => setHosts(run, hosts, { failsTasks: true }),
  'host-leaving': (run, { hosts }) => setHosts(run, hosts, { isLeaving: true }),
  'rack-kill': (run, { rack }) =>
    listDeclaredHosts(run.configuration)
      .filter((spec) => spec.rack === rack)
      .forEach(({ hostId }) => run.fleet.workers.crashHost(hostId)),
  'data-centre-cut': ({ fleet }, { dataCentre }) =>
    fleet.setPartitioned(brand<DataCentreId>(dataCentre), true),
  'data-centre-heal': ({ fleet }, { dataCentre }) =>
    fleet.setPartitioned(brand<DataCentreId>(dataCentre), false),
  'platform-away': ({ fleet }) => fleet.setPlatformUnavailable(true),
  'platform-back': ({ fleet }) => fleet.setPlatformUnavailable(false),
  'wave-start': (run, { wave, selector }) => startWave(run, wave, selector),
  'wave-change': ({ fleet }, { wave, to }) =>
    changeRow<WaveRow>(fleet, rowKey.wave(wave), (row) => ({
      ...row,
      phase: to,
      reason: `an operator: ${to}`,
    })),
  'host-move': ({ fleet }, { host, toPool }) =>
    changeRow<HostRow>(fleet, rowKey.host(host), (row) =>
      row.phase === 'assigned'
        ? {
            ...row,
            phase: 'draining',
            drain: { kind: 'transfer', toPool: brand<PoolName>(toPool) },
            reason: `an operator moves it to pool=${toPool}`,
          }
        : row,
    ),
  'control-paused': ({ fleet, paused }, { pool }) => {
    paused.set(pool, fleet.planTurn(brand<PoolName>(pool)));
  },
  'control-taken': ({ fleet }, { pool }) => fleet.transferControl(brand<PoolName>(pool)),
  'control-woken': (run, { pool }) => {
    const turn = run.paused.get(pool);
    if (turn)
      checkEqual(run, `writes of the paused holder of ${pool}`, 0, run.fleet.writeTurn(turn));
    run.paused.delete(pool);
  },
  expect: checkExpectation,
};

const checkInvariants = (run: Run, allowBudgetViolations: boolean): void => {
  const { interruptedTasks, duplicateRuns } = run.fleet.workers.violations;
  if (interruptedTasks > 0) checkEqual(run, 'tasks cut by a planned reboot', 0, interruptedTasks);
  if (duplicateRuns > 0) checkEqual(run, 'jobs that ran twice at one time', 0, duplicateRuns);
  if (allowBudgetViolations) return;
  listDeclarations(run.configuration, 'Service').forEach(({ name, spec }) => {
    const ready = run.fleet.countReadyExecutors(name);
    if (ready < spec.minReady)
      checkEqual(run, `budget of ${name} (minReady ${spec.minReady})`, true, false);
  });
};

/**
 * Nothing runs at the start, so invariants and availability budgets are checked only after this
 * time.
 */
const INVARIANT_CHECKS_FROM_S = 10;

/**
 * Replays a trace.
 *
 * @param trace - The trace.
 * @param configuration - The configuration that the trace's declarations define.
 * @returns The decisions, the number of met expectations, and the violations. The replay stops
 * advancing time at the first violation.
 */
export const replayTrace = (trace: Trace, configuration: Configuration): ReplayReport => {
  const { fleet: fleetLine, events } = trace;
  const fleet = createFleetModel({
    configuration,
    rebootMs: fleetLine.rebootS * MS_PER_S,
    taskStartMs: fleetLine.startS * MS_PER_S,
  });
  const run: Run = { fleet, configuration, paused: new Map(), broken: [], held: 0 };
  events.forEach((event) => {
    while (fleet.nowMs() < event.atS * MS_PER_S && run.broken.length === 0) {
      fleet.step();
      if (fleet.nowMs() > INVARIANT_CHECKS_FROM_S * MS_PER_S)
        checkInvariants(run, fleetLine.budgetsMayBreak);
    }
    (handlers[event.type] as (one: Run, what: TimedEvent) => void)(run, event);
  });
  return {
    decisions: fleet.decisions,
    held: run.held,
    broken: run.broken,
    lastedS: fleet.nowMs() / MS_PER_S,
  };
};
