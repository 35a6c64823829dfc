/** Replay of a trace against the real decisions, with its stated outcomes checked. */
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
  type PausedTurn,
} from './fleet-model.js';
import type { Expectation, TimedEvent, Trace } from './trace.js';

/** What a replay has shown. */
export type ReplayReport = {
  readonly decisions: readonly Decision[];
  /** Outcomes that were stated and held. */
  readonly held: number;
  /** Outcomes that did not hold, in words. */
  readonly broken: readonly string[];
  readonly lastedS: number;
};

type Run = {
  readonly fleet: FleetModel;
  readonly configuration: Configuration;
  readonly paused: Map<string, PausedTurn>;
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

const note = (run: Run, what: string, wanted: unknown, found: unknown): void => {
  const state = run;
  if (wanted === found) state.held += 1;
  else
    state.broken.push(
      `at ${run.fleet.nowMs() / MS_PER_S} s: ${what}: wanted ${String(wanted)}, found ${String(found)}`,
    );
};

const readRow = <Row>({ fleet }: Run, key: string): Row | undefined =>
  (fleet.table.read(key).value ?? undefined) as Row | undefined;

const checkExpectation = (run: Run, one: Expectation): void => {
  Object.entries(one.ready ?? {}).forEach(([service, count]) =>
    note(run, `ready of ${service}`, count, run.fleet.readyOf(service)),
  );
  Object.entries(one.jobs ?? {}).forEach(([job, phase]) =>
    note(run, `job ${job}`, phase, readRow<JobRow>(run, rowKey.job(job))?.phase),
  );
  Object.entries(one.waves ?? {}).forEach(([wave, phase]) =>
    note(run, `wave ${wave}`, phase, readRow<WaveRow>(run, rowKey.wave(wave))?.phase),
  );
  Object.entries(one.pools ?? {}).forEach(([host, pool]) =>
    note(run, `pool of ${host}`, pool, readRow<HostRow>(run, rowKey.host(host))?.pool),
  );
  Object.entries(one.phases ?? {}).forEach(([host, phase]) =>
    note(run, `phase of ${host}`, phase, readRow<HostRow>(run, rowKey.host(host))?.phase),
  );
  if (one.withheld !== undefined) {
    const text = one.withheld;
    const isTold = run.fleet.withheld().some(({ reason }) => reason.includes(text));
    note(run, `withheld: ${text}`, true, isTold);
  }
};

const startWave = ({ fleet, configuration }: Run, wave: string, selectorText: string): void => {
  const selector = parseSelector(selectorText).unwrap();
  const hosts = selectHosts(configuration, fleet.rows<HostRow>(rowPrefix.host), selector);
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

const eachHost = (
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
  eachHost(run, hosts, (id) => Object.assign(run.fleet.workers.hosts.get(id) ?? {}, change));

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
  'job-uses': ({ fleet }, { job, cores }) => fleet.setUse(brand<JobId>(job), cores),
  'host-kill': (run, { hosts }) => eachHost(run, hosts, run.fleet.workers.kill),
  'host-revive': (run, { hosts }) => eachHost(run, hosts, run.fleet.workers.revive),
  'host-fails-tasks': (run, { hosts }) => setHosts(run, hosts, { failsTasks: true }),
  'host-leaving': (run, { hosts }) => setHosts(run, hosts, { isLeaving: true }),
  'rack-kill': (run, { rack }) =>
    listDeclaredHosts(run.configuration)
      .filter((spec) => spec.rack === rack)
      .forEach(({ hostId }) => run.fleet.workers.kill(hostId)),
  'data-centre-cut': ({ fleet }, { dataCentre }) =>
    fleet.setCut(brand<DataCentreId>(dataCentre), true),
  'data-centre-heal': ({ fleet }, { dataCentre }) =>
    fleet.setCut(brand<DataCentreId>(dataCentre), false),
  'platform-away': ({ fleet }) => fleet.setPlatformAway(true),
  'platform-back': ({ fleet }) => fleet.setPlatformAway(false),
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
    paused.set(pool, fleet.planOnly(brand<PoolName>(pool)));
  },
  'control-taken': ({ fleet }, { pool }) => fleet.takeControl(brand<PoolName>(pool)),
  'control-woken': (run, { pool }) => {
    const turn = run.paused.get(pool);
    if (turn) note(run, `writes of the paused holder of ${pool}`, 0, run.fleet.write(turn));
    run.paused.delete(pool);
  },
  expect: checkExpectation,
};

const checkAlways = (run: Run, mayBreakBudgets: boolean): void => {
  const { cutTasks, doubleRuns } = run.fleet.workers.faults;
  if (cutTasks > 0) note(run, 'tasks cut by a planned reboot', 0, cutTasks);
  if (doubleRuns > 0) note(run, 'jobs that ran twice at one time', 0, doubleRuns);
  if (mayBreakBudgets) return;
  listDeclarations(run.configuration, 'Service').forEach(({ name, spec }) => {
    const ready = run.fleet.readyOf(name);
    if (ready < spec.minReady)
      note(run, `budget of ${name} (minReady ${spec.minReady})`, true, false);
  });
};

/** At the start nothing runs yet, so budgets are watched only from then on. */
const SETTLED_AFTER_S = 10;

/**
 * Replays a trace.
 *
 * @param trace - The trace.
 * @param configuration - What its declarations say.
 * @returns The decisions, and which of the stated outcomes held.
 */
export const replayTrace = (trace: Trace, configuration: Configuration): ReplayReport => {
  const { fleet: line, events } = trace;
  const fleet = createFleetModel({
    configuration,
    rebootMs: line.rebootS * MS_PER_S,
    startMs: line.startS * MS_PER_S,
  });
  const run: Run = { fleet, configuration, paused: new Map(), broken: [], held: 0 };
  events.forEach((event) => {
    while (fleet.nowMs() < event.atS * MS_PER_S && run.broken.length === 0) {
      fleet.step();
      if (fleet.nowMs() > SETTLED_AFTER_S * MS_PER_S) checkAlways(run, line.budgetsMayBreak);
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
