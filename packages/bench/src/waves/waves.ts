/**
 * Measures roll-out time, moves and buffer cost of the planner and its baselines, in virtual time.
 */
import {
  createFleetModel,
  listDeclarations,
  rowKey,
  rowPrefix,
  type Configuration,
  type FleetModel,
  type HostId,
  type HostRow,
  type HostSpec,
  listDeclaredHosts,
  type WaveRow,
  type WaveStrategy,
} from '@valvelatch/core';

import { readExample } from '@valvelatch/stand-ins';

import { roundToPrecision, type BenchRow } from '../report.js';

/** What fails permanently during the wave. */
export type FailureKind = 'none' | 'host' | 'rack' | 'data-centre';

const REBOOT_MS = 300_000;
const START_MS = 2000;
const STEP_MS = 1000;
const SETTLE_STEPS = 20;
const MAX_STEPS = 15_000;
const WAVE = 'bench';
/** The failure occurs once this share of the hosts has been maintained. */
const LOSS_AT_SHARE = 0.25;

const planners: Readonly<Record<string, WaveStrategy>> = {
  valvelatch: 'growing',
  'one-host': 'one-host',
  rack: 'rack',
};
const allLosses: readonly FailureKind[] = ['none', 'host', 'rack', 'data-centre'];

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/**
 * Computes a lower bound of the roll-out time of any plan, in seconds: a canary host is maintained
 * first, then each pool can spare only as many hosts at a time as leave enough capacity for its
 * executors.
 */
const computeMinRollOutS = (configuration: Configuration): number => {
  const hosts = listDeclaredHosts(configuration);
  const rounds = listDeclarations(configuration, 'Pool').map(({ name }) => {
    const inPool = hosts.filter(({ initialPool }) => initialPool === name);
    const needed = sum(
      listDeclarations(configuration, 'Service')
        .filter(({ spec }) => spec.pool === name)
        .map(({ spec }) => spec.cores * spec.executors),
    );
    const coresEach = Math.max(...inPool.map(({ cores }) => cores));
    const free = Math.floor((sum(inPool.map(({ cores }) => cores)) - needed) / coresEach);
    return inPool.length === 0 ? 0 : 1 + Math.ceil((inPool.length - 1) / Math.max(1, free));
  });
  return (Math.max(...rounds) * REBOOT_MS) / 1000;
};

const startWave = (fleet: FleetModel, hosts: readonly HostId[]): void => {
  const row: WaveRow = {
    waveId: WAVE as WaveRow['waveId'],
    selector: '',
    phase: 'running',
    reason: 'started',
    hosts,
  };
  fleet.table.transact([], [{ key: rowKey.wave(WAVE), value: row }]);
};

const failedHosts: Record<
  FailureKind,
  (specs: readonly HostSpec[], used: HostSpec) => readonly HostSpec[]
> = {
  none: () => [],
  host: (_, used) => [used],
  rack: (specs, used) => specs.filter(({ rack }) => rack === used.rack),
  'data-centre': (specs, used) => specs.filter(({ dataCentre }) => dataCentre === used.dataCentre),
};

const findUsedHost = (fleet: FleetModel, specs: readonly HostSpec[]): HostSpec => {
  const [task] = fleet.workers.tasks().filter(({ service }) => service !== null);
  return specs.find(({ hostId }) => hostId === task?.hostId) ?? (specs[0] as HostSpec);
};

/**
 * Sums the cores of live hosts that are not assigned: hosts under maintenance, and hosts that are being
 * drained while replacements of their executors already use other cores.
 */
const sumHeldBackCores = (fleet: FleetModel, specs: ReadonlyMap<HostId, HostSpec>): number =>
  sum(
    fleet
      .listRows<HostRow>(rowPrefix.host)
      .filter(({ phase }) => phase !== 'assigned')
      .filter(({ hostId }) => fleet.workers.hosts.get(hostId)?.state !== 'dead')
      .map(({ hostId }) => specs.get(hostId)?.cores ?? 0),
  );

type Outcome = {
  readonly rollOutS: number;
  readonly moves: number;
  readonly heldBackCoreS: number;
  readonly peakCores: number;
  readonly budgetViolations: number;
  readonly cutRequests: number;
  readonly phase: string;
};

const runOne = (
  configuration: Configuration,
  strategy: WaveStrategy,
  losses: FailureKind,
): Outcome => {
  const fleet = createFleetModel({
    configuration,
    taskStartMs: START_MS,
    rebootMs: REBOOT_MS,
    stepMs: STEP_MS,
    waveStrategy: strategy,
  });
  const list = listDeclaredHosts(configuration);
  const specs = new Map(list.map((spec) => [spec.hostId, spec]));
  const services = listDeclarations(configuration, 'Service');
  for (let step = 0; step < SETTLE_STEPS; step += 1) fleet.step();
  const startedMs = fleet.nowMs();
  const decided = fleet.decisions.length;
  startWave(
    fleet,
    list.map(({ hostId }) => hostId),
  );
  let heldBackCoreS = 0;
  let peakCores = 0;
  let budgetViolations = 0;
  let isLost = false;
  const wave = (): WaveRow => fleet.table.read(rowKey.wave(WAVE)).value as WaveRow;
  const maintained = (): number =>
    fleet.listRows<HostRow>(rowPrefix.host).filter(({ maintainedBy }) => maintainedBy !== null)
      .length;
  for (let step = 0; step < MAX_STEPS && wave().phase === 'running'; step += 1) {
    fleet.step();
    if (!isLost && maintained() >= list.length * LOSS_AT_SHARE) {
      isLost = true;
      failedHosts[losses](list, findUsedHost(fleet, list)).forEach(({ hostId }) =>
        fleet.workers.crashHost(hostId),
      );
    }
    const held = sumHeldBackCores(fleet, specs);
    heldBackCoreS += (held * STEP_MS) / 1000;
    peakCores = Math.max(peakCores, held);
    budgetViolations += services.filter(
      ({ name, spec }) => fleet.countReadyExecutors(name) < spec.minReady,
    ).length;
  }
  const placed = fleet.decisions
    .slice(decided)
    .filter(({ subject, reason }) => /^placement/.test(subject) && /best of/.test(reason));
  return {
    rollOutS: (fleet.nowMs() - startedMs) / 1000,
    moves: placed.length,
    heldBackCoreS,
    peakCores,
    budgetViolations,
    cutRequests: fleet.workers.violations.interruptedTasks,
    phase: wave().phase,
  };
};

/**
 * Runs the planner and its baselines on an example with each kind of failure.
 *
 * @param example - The name of the folder under `examples/`.
 * @returns One row per run.
 */
export const benchWaves = async (example: string): Promise<readonly BenchRow[]> => {
  const configuration = await readExample(example);
  const hosts = listDeclaredHosts(configuration);
  const totalCores = sum(hosts.map(({ cores }) => cores));
  const bound = computeMinRollOutS(configuration);
  return allLosses.flatMap((losses) => {
    const outcomes = Object.entries(planners).map(
      ([planner, strategy]) => [planner, runOne(configuration, strategy, losses)] as const,
    );
    // The buffer cost of all planners refers to the same period, so that a short wave is not penalised.
    const horizonS = Math.max(...outcomes.map(([, { rollOutS }]) => rollOutS));
    return outcomes.map(([planner, outcome]) => ({
      bench: 'waves',
      example,
      planner,
      losses,
      hosts: hosts.length,
      rollOutS: outcome.rollOutS,
      boundS: bound,
      moves: outcome.moves,
      bufferCoreFraction: roundToPrecision(outcome.heldBackCoreS / (totalCores * horizonS)),
      peakCoreFraction: roundToPrecision(outcome.peakCores / totalCores),
      budgetViolations: outcome.budgetViolations,
      cutRequests: outcome.cutRequests,
      end: outcome.phase,
    }));
  });
};
