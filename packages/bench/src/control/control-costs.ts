/** Measures what each host, member, configuration change and control turn costs. */
import {
  brand,
  planPoolTurn,
  applyDeltas,
  toSnapshot,
  type Configuration,
  type ConfigurationDelta,
  type HostId,
  type PoolName,
  type Versioned,
  type WaveId,
  type WaveRow,
} from '@valvelatch/core';
import { encodeFrame } from '@valvelatch/mesh';

import { computeMedian, roundToPrecision, type BenchRow } from '../report.js';
import {
  createFleetConfiguration,
  createPoolSnapshot,
  createPendingJobs,
  expectedFleetSize,
} from './large-fleet.js';
import { createMembershipModel } from './membership-model.js';

const CHANGES_PER_DAY = 81_000;
const SECONDS_PER_DAY = 86_400;
const TURNS = 15;
const MEASURED_CHANGES = 400;
const QUIET_STEPS = 80;
const BUSY_STEPS = 160;

const createCostRow = (name: string, value: number, unit: string): BenchRow => ({
  bench: 'control',
  slope: name,
  value: roundToPrecision(value),
  unit,
});

const collectGarbage = (): void => {
  const { gc } = globalThis as { gc?: () => void };
  gc?.();
};

const measureHeap = <Value>(
  build: () => Value,
): { readonly bytes: number; readonly value: Value } => {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const value = build();
  collectGarbage();
  return { bytes: process.memoryUsage().heapUsed - before, value };
};

const cpuMs = (run: () => void): number => {
  const before = process.cpuUsage();
  run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
};

const medianCpuMs = (run: () => void): number =>
  computeMedian(Array.from({ length: TURNS }, () => cpuMs(run)));

const pool = brand<PoolName>('pool-0');

const measureHosts = (): readonly BenchRow[] => {
  const small = measureHeap(() => createFleetConfiguration(expectedFleetSize));
  const world = measureHeap(() => createPoolSnapshot(small.value, pool));
  const hosts = world.value.hosts.size;
  return [
    createCostRow('bytes-per-declared-host', small.bytes / expectedFleetSize.hosts, 'bytes'),
    createCostRow('bytes-per-host-of-held-pool', world.bytes / hosts, 'bytes'),
    createCostRow('hosts-of-one-pool', hosts, 'hosts'),
    createCostRow(
      'snapshot-bytes',
      encodeFrame({ type: 'snapshot', snapshot: toSnapshot(small.value) }).length,
      'bytes',
    ),
  ];
};

const createDelta = (configuration: Configuration, revision: number): ConfigurationDelta => {
  const one = configuration.declarations.get(`Service/service-0-${revision % 5}`);
  return {
    revision,
    changeId: brand(`change-${revision}`),
    author: 'bench',
    upserts: one ? [one] : [],
    deletes: [],
  };
};

const measureChanges = (): readonly BenchRow[] => {
  const configuration = createFleetConfiguration(expectedFleetSize);
  const deltas = Array.from({ length: MEASURED_CHANGES }, (_, index) =>
    createDelta(configuration, index + 2),
  );
  const bytes = encodeFrame({ type: 'deltas', deltas: [deltas[0] as ConfigurationDelta] }).length;
  let state = configuration;
  const tookMs = cpuMs(() => {
    deltas.forEach((delta) => {
      state = applyDeltas(state, [delta]);
    });
  });
  const cpuUs = (tookMs * 1000) / MEASURED_CHANGES;
  const perS = CHANGES_PER_DAY / SECONDS_PER_DAY;
  return [
    createCostRow('bytes-per-change', bytes, 'bytes on a link'),
    createCostRow('cpu-us-per-change', cpuUs, 'us'),
    createCostRow('cpu-percent-of-changes', (perS * cpuUs) / 10_000, '% of a core at 81,000 a day'),
  ];
};

const createWaveRows = (hosts: readonly HostId[]): ReadonlyMap<WaveId, Versioned<WaveRow>> => {
  const waveId = brand<WaveId>('wave');
  const row: WaveRow = { waveId, selector: '', phase: 'running', reason: '', hosts };
  return new Map([[waveId, { value: row, version: 1 }]]);
};

const measureTurns = (): readonly BenchRow[] => {
  const configuration = createFleetConfiguration(expectedFleetSize);
  const idle = createPoolSnapshot(configuration, pool);
  const one = createPoolSnapshot(configuration, pool, createPendingJobs(pool, 1));
  const many = createPoolSnapshot(configuration, pool, createPendingJobs(pool, 200));
  const wave = { ...idle, waves: createWaveRows(Array.from(idle.hosts.keys())) };
  const turn = (world: typeof idle) => () => {
    planPoolTurn(world, 0);
  };
  const idleMs = medianCpuMs(turn(idle));
  return [
    createCostRow('cpu-ms-per-idle-turn', idleMs, 'ms, one pool'),
    createCostRow('cpu-ms-per-turn-with-one-urgent-job', medianCpuMs(turn(one)), 'ms, one pool'),
    createCostRow('cpu-ms-per-turn-with-200-jobs', medianCpuMs(turn(many)), 'ms, one pool'),
    createCostRow('cpu-ms-per-turn-with-a-wave', medianCpuMs(turn(wave)), 'ms, one pool'),
    createCostRow(
      'cpu-ms-per-turn-of-all-pools',
      idleMs * expectedFleetSize.pools,
      'ms, 21,000 hosts',
    ),
  ];
};

const measureMembership = (dataCentres: number, membersEach: number): readonly BenchRow[] => {
  const model = createMembershipModel(dataCentres, membersEach);
  const members = dataCentres * membersEach;
  const sent = () => model.traffic().map(({ bytes }) => bytes);
  const perS = (steps: number, run: () => void): number => {
    const before = sent();
    const startedMs = model.nowMs();
    run();
    const after = sent();
    const total = after.reduce((sum, bytes, index) => sum + bytes - (before[index] ?? 0), 0);
    return total / members / ((model.nowMs() - startedMs) / 1000) || steps * 0;
  };
  const run = (steps: number) => () => {
    for (let step = 0; step < steps; step += 1) model.step();
  };
  const quiet = perS(QUIET_STEPS, run(QUIET_STEPS));
  const busy = perS(BUSY_STEPS, () => {
    model.kill(model.ids()[1] as never);
    model.add(0);
    run(BUSY_STEPS)();
  });
  return [
    createCostRow(`member-bytes-per-s-quiet-${members}`, quiet, 'bytes/s sent by a member'),
    createCostRow(
      `member-bytes-per-s-one-replaced-in-40-s-${members}`,
      busy,
      'bytes/s sent by a member',
    ),
    createCostRow(`most-links-${members}`, model.maxLinks(), 'links'),
  ];
};

/**
 * Measures all unit costs. The memory figures need the Node.js flag `--expose-gc`.
 *
 * @returns One row per unit cost.
 */
export const benchControl = (): readonly BenchRow[] => [
  ...measureHosts(),
  ...measureChanges(),
  ...measureTurns(),
  ...measureMembership(2, 3),
  ...measureMembership(6, 10),
  ...measureMembership(20, 6),
  ...measureMembership(20, 30),
];
