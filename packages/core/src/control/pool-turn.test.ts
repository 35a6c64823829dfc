import { fc, test } from '@fast-check/vitest';
import { describe, expect, it } from 'vitest';

import { createFleetModel, type FleetModel, type PlannedTurn } from '../replay/fleet-model.js';
import { rowKey, rowPrefix, type JobRow, type PlacementRow } from '../rows/rows.js';
import { brand, type DataCentreId, type HostId, type JobId, type PoolName } from '../shared/ids.js';
import { createRng, pickRandom } from '../shared/rng.js';
import { correctSize } from '../placement/correct-size.js';
import {
  changeHost,
  createConfiguration,
  listHostRows,
  createJob,
  startHostTransfer,
  runFor,
  startWave,
  submitJob,
  twoPoolsYaml,
  readWavePhase,
} from './control.fixtures.js';

const configuration = createConfiguration(twoPoolsYaml);
const allHosts = (fleet: FleetModel): readonly HostId[] => Array.from(fleet.workers.hosts.keys());
const createFleet = (): FleetModel => {
  const fleet = createFleetModel({ configuration, rebootMs: 3000, stepMs: 250 });
  runFor(fleet, 5000);
  return fleet;
};
const jobRow = (fleet: FleetModel, name: string): JobRow =>
  fleet.table.read(rowKey.job(name)).value as JobRow;
const placements = (fleet: FleetModel): readonly PlacementRow[] =>
  fleet.listRows<PlacementRow>(rowPrefix.placement);

describe('control turns of pools', () => {
  describe('executors', () => {
    it('are all placed, spread over data centres and racks', () => {
      const fleet = createFleet();
      expect(fleet.countReadyExecutors('routing')).toBe(4);
      const racks = placements(fleet)
        .filter(({ service }) => service === 'routing')
        .map(({ hostId }) => hostId.slice(0, 2));
      expect(new Set(racks).size).toBe(3);
    });

    it('move off a drained host while the number of ready ones never falls', () => {
      const fleet = createFleet();
      const { hostId } = placements(fleet)[0] as PlacementRow;
      changeHost(fleet, hostId, (row) => ({
        ...row,
        phase: 'draining',
        drain: { kind: 'operator' },
        reason: 'test',
      }));
      for (let step = 0; step < 60; step += 1) {
        fleet.step();
        expect(fleet.countReadyExecutors('routing')).toBeGreaterThanOrEqual(4);
      }
      expect(placements(fleet).filter((one) => one.hostId === hostId)).toEqual([]);
    });

    it('are replaced when their host is lost, and the excess one is stopped when the host comes back', () => {
      const fleet = createFleet();
      const { hostId } = placements(fleet)[0] as PlacementRow;
      fleet.workers.crashHost(hostId);
      runFor(fleet, 15_000);
      expect(fleet.countReadyExecutors('routing')).toBe(4);
      fleet.workers.restartHost(hostId);
      runFor(fleet, 60_000);
      expect(fleet.countReadyExecutors('routing')).toBe(4);
      expect(fleet.workers.violations.duplicateRuns).toBe(0);
    });
  });

  describe('jobs', () => {
    it('are refused at once, with host counts by reason, if no host can ever take them', () => {
      const fleet = createFleet();
      submitJob(fleet, createJob('huge', 'pool: main, team: crew, cores: 17, memoryMb: 1'));
      submitJob(
        fleet,
        createJob('odd', "pool: main, team: crew, cores: 1, memoryMb: 1, selector: 'disk=tape'"),
      );
      runFor(fleet, 1000);
      expect(jobRow(fleet, 'huge')).toMatchObject({ phase: 'refused' });
      expect(jobRow(fleet, 'huge').reason).toContain('9 hosts: has fewer than 17 cores');
      expect(jobRow(fleet, 'odd').reason).toContain('9 hosts: selector disk=tape not met');
      expect(jobRow(fleet, 'odd').reason).toContain('3 hosts: pool is not main');
    });

    it('start in order of urgency when resources do not suffice for all', () => {
      const fleet = createFleet();
      const size = 'pool: spare, team: crew, cores: 16, memoryMb: 1, runTimeS: 60';
      ['a', 'b', 'c', 'd'].forEach((name) =>
        submitJob(fleet, createJob(name, `${size}, urgency: ${name === 'd' ? 'urgent' : 'batch'}`)),
      );
      runFor(fleet, 500);
      expect(fleet.table.read(rowKey.placement('d')).value).not.toBeNull();
      expect(placements(fleet).filter(({ service }) => service === null)).toHaveLength(3);
    });

    it('are withheld with a reason while they exceed the quota of their team', () => {
      const fleet = createFleet();
      ['a', 'b', 'c', 'd'].forEach((name) =>
        submitJob(
          fleet,
          createJob(name, 'pool: spare, team: crew, cores: 14, memoryMb: 1, runTimeS: 60'),
        ),
      );
      runFor(fleet, 2000);
      expect(fleet.listWithheldActions().map(({ reason }) => reason)).toContain(
        'team=crew uses 42 of its 48 cores, d wants 14',
      );
    });

    it('are retried on other hosts, and a host on which several distinct jobs fail is quarantined', () => {
      const fleet = createFleet();
      const failingHost = brand<HostId>('w2-1');
      (fleet.workers.hosts.get(failingHost) as { failsTasks: boolean }).failsTasks = true;
      for (let index = 0; index < 12; index += 1) {
        submitJob(
          fleet,
          createJob(`j${index}`, 'pool: spare, team: crew, cores: 1, memoryMb: 1, runTimeS: 1'),
        );
      }
      runFor(fleet, 40_000);
      const row = listHostRows(fleet).find(({ hostId }) => hostId === failingHost);
      expect(row).toMatchObject({ phase: 'quarantined' });
      expect(row?.reason).toMatch(/distinct jobs failed on it/);
      const phases = Array.from({ length: 12 }, (_, index) => jobRow(fleet, `j${index}`).phase);
      expect(phases).toEqual(phases.map(() => 'done'));
    });

    it('are preempted on an overused host, the least urgent first', () => {
      const fleet = createFleet();
      const size = 'pool: spare, team: crew, cores: 4, memoryMb: 1, runTimeS: 500, leaseS: 6';
      ['normal', 'batch', 'urgent'].forEach((urgency) => {
        submitJob(fleet, createJob(urgency, `${size}, urgency: ${urgency}, selector: 'host=w2-1'`));
        fleet.setUsedCores(brand<JobId>(urgency), 6);
      });
      runFor(fleet, 3000);
      const phases = ['normal', 'batch', 'urgent'].map(
        (name) => (fleet.table.read(rowKey.placement(name)).value as PlacementRow | null)?.phase,
      );
      expect(phases).toEqual(['running', undefined, 'running']);
      const reasons = fleet.decisions.map(({ reason }) => reason);
      expect(reasons).toContain(
        'host w2-1 is over-used, its tasks use 18.0 of 16 cores; batch (urgency batch) gives way',
      );
      expect(
        fleet.listWithheldActions().some(({ reason }) => /fewer than 4 cores free/.test(reason)),
      ).toBe(true);
    });

    it('count with their measured use: with more cores than declared, or with fewer', () => {
      const declared = { cores: 4, memoryMb: 1, accelerators: 0 };
      expect(correctSize(declared, 8, false).cores).toBe(10);
      expect(correctSize(declared, 0.1, false).cores).toBe(2);
      expect(correctSize(declared, 0.1, true).cores).toBe(4);
      expect(correctSize(declared, undefined, false)).toEqual(declared);
    });

    it('are not started again on another host while the lease on a lost host may still run', () => {
      const fleet = createFleet();
      submitJob(
        fleet,
        createJob('a', 'pool: spare, team: crew, cores: 1, memoryMb: 1, runTimeS: 300, leaseS: 20'),
      );
      runFor(fleet, 3000);
      const { hostId } = fleet.table.read(rowKey.placement('a')).value as PlacementRow;
      fleet.setPartitioned(brand<DataCentreId>('west'), true);
      runFor(fleet, 15_000);
      expect((fleet.table.read(rowKey.placement('a')).value as PlacementRow).hostId).toBe(hostId);
      fleet.setPartitioned(brand<DataCentreId>('west'), false);
      runFor(fleet, 10_000);
      expect(fleet.workers.violations.duplicateRuns).toBe(0);
    });
  });

  describe('a job whose hosts are lost while they run it', () => {
    /**
     * Kills each host on which the job runs as soon as it runs there, and revives it 30 s later.
     * Returns the number of lost hosts and the job's row after `forMs`.
     */
    const loseHostsOf = (forMs: number): { readonly hosts: number; readonly row: JobRow } => {
      const fleet = createFleet();
      const spec = 'pool: main, team: crew, cores: 1, memoryMb: 1, runTimeS: 300, leaseS: 5';
      submitJob(fleet, createJob('a', spec));
      const lost = new Set<string>();
      const toRevive: [number, HostId][] = [];
      const untilMs = fleet.nowMs() + forMs;
      while (fleet.nowMs() < untilMs) {
        runFor(fleet, 1000);
        const placed = fleet.table.read(rowKey.placement('a')).value as PlacementRow | null;
        const runKey = placed && `${placed.hostId}/${placed.epoch}`;
        if (placed && runKey && placed.phase === 'running' && !lost.has(runKey)) {
          lost.add(runKey);
          fleet.workers.crashHost(placed.hostId);
          toRevive.push([fleet.nowMs() + 30_000, placed.hostId]);
        }
        toRevive
          .filter(([atMs]) => atMs <= fleet.nowMs())
          .forEach(([, hostId]) => fleet.workers.restartHost(hostId));
      }
      return { hosts: lost.size, row: jobRow(fleet, 'a') };
    };
    it('is retried with a growing delay, and its row counts the lost hosts and names the count as the reason', () => {
      const { hosts, row } = loseHostsOf(300_000);
      expect(row.hostsLost).toBe(hosts);
      expect(hosts).toBeGreaterThan(2);
      // The first host does not count for the delay, which then doubles from 1 s to at most 60 s. The
      // delays 1, 2, 4, 8, 16, 32 and three times 60 s put the eleventh loss at 243 s or later.
      expect(hosts).toBeLessThanOrEqual(11);
      expect(row.reason).toContain(`${hosts} hosts`);
    });
  });

  describe('waves', () => {
    it('reboot every host exactly once without lowering the number of ready executors or cutting a task', () => {
      const fleet = createFleet();
      startWave(fleet, 'all', allHosts(fleet));
      let steps = 0;
      while (readWavePhase(fleet, 'all') !== 'done' && steps < 2000) {
        fleet.step();
        steps += 1;
        expect(fleet.countReadyExecutors('routing')).toBeGreaterThanOrEqual(4);
        expect(fleet.countReadyExecutors('convoy')).toBeGreaterThanOrEqual(3);
      }
      expect(readWavePhase(fleet, 'all')).toBe('done');
      expect(Array.from(fleet.workers.hosts.values(), ({ boots }) => boots)).toEqual(
        allHosts(fleet).map(() => 2),
      );
      expect(fleet.workers.violations).toEqual({ interruptedTasks: 0, duplicateRuns: 0 });
    });

    it('keep the placement reason of an executor that is parked and restarted on its host', () => {
      const parking = createConfiguration(
        twoPoolsYaml.replace(
          'spec: { reserveFor: rack }',
          'spec: { reserveFor: none, prefer: moves }',
        ),
      );
      const fleet = createFleetModel({ configuration: parking, rebootMs: 3000, stepMs: 250 });
      runFor(fleet, 5000);
      startWave(fleet, 'all', allHosts(fleet));
      runFor(fleet, 60_000);
      expect(fleet.decisions.some(({ reason }) => /starts again on/.test(reason))).toBe(true);
      placements(fleet).forEach(({ reason }) =>
        expect(reason).toMatch(/best of \d+ hosts of pool=main/),
      );
    });

    it('start by draining a single host', () => {
      const fleet = createFleet();
      startWave(
        fleet,
        'all',
        allHosts(fleet).filter((id) => !id.startsWith('w2')),
      );
      runFor(fleet, 500);
      expect(listHostRows(fleet).filter(({ drain }) => drain !== null)).toHaveLength(1);
    });

    it('drain no further hosts while held, continue when resumed, and return hosts to use when cancelled', () => {
      const fleet = createFleet();
      startWave(fleet, 'all', allHosts(fleet));
      runFor(fleet, 2000);
      const setWavePhase = (phase: string) => {
        const { value } = fleet.table.read(rowKey.wave('all'));
        fleet.table.transact(
          [],
          [{ key: rowKey.wave('all'), value: { ...(value as object), phase } }],
        );
      };
      setWavePhase('held');
      runFor(fleet, 20_000);
      const done = listHostRows(fleet).filter(({ maintainedBy }) => maintainedBy !== null).length;
      expect(listHostRows(fleet).filter(({ phase }) => phase !== 'assigned')).toEqual([]);
      expect(done).toBeLessThan(12);
      setWavePhase('running');
      runFor(fleet, 3000);
      setWavePhase('cancelled');
      runFor(fleet, 20_000);
      expect(listHostRows(fleet).filter(({ phase }) => phase !== 'assigned')).toEqual([]);
    });

    it('pause when a host does not come back from its reboot', () => {
      const fleet = createFleetModel({ configuration, rebootMs: 60 * 60 * 1000, stepMs: 2000 });
      runFor(fleet, 10_000);
      startWave(fleet, 'all', allHosts(fleet));
      runFor(fleet, 20 * 60 * 1000);
      expect(fleet.table.read(rowKey.wave('all')).value).toMatchObject({ phase: 'paused' });
    });
  });

  describe('under random interleavings of faults, operations and paused turns', () => {
    type Operation = (fleet: FleetModel, draw: () => number) => void;
    const paused: PlannedTurn[] = [];
    const pickHost = (fleet: FleetModel, draw: () => number) =>
      pickRandom(allHosts(fleet), draw) as HostId;
    const pickPool = (draw: () => number) => brand<PoolName>(draw() < 0.5 ? 'main' : 'spare');
    const operations: readonly Operation[] = [
      (fleet, draw) => startHostTransfer(fleet, pickHost(fleet, draw), pickPool(draw)),
      (fleet, draw) => fleet.workers.crashHost(pickHost(fleet, draw)),
      (fleet) => allHosts(fleet).forEach(fleet.workers.restartHost),
      (fleet, draw) => {
        paused.push(fleet.planTurn(pickPool(draw)));
      },
      (fleet) => paused.splice(0).forEach(fleet.writeTurn),
      (fleet, draw) => fleet.transferControl(pickPool(draw)),
      (fleet, draw) => fleet.setPlatformUnavailable(draw() < 0.5),
      (fleet, draw) => fleet.setPartitioned(brand<DataCentreId>('west'), draw() < 0.5),
      (fleet, draw) => {
        const name = `j${Math.floor(draw() * 1e6)}`;
        const pool = pickPool(draw);
        submitJob(
          fleet,
          createJob(
            name,
            `pool: ${pool}, team: crew, cores: 4, memoryMb: 1, runTimeS: 20, leaseS: 6`,
          ),
        );
      },
      (fleet, draw) => startWave(fleet, `wave-${Math.floor(draw() * 3)}`, allHosts(fleet)),
    ];

    /** Checks in plain code, because expect() after each of very many steps would be slow. */
    const faultsOf = (fleet: FleetModel): readonly string[] => {
      const { interruptedTasks, duplicateRuns } = fleet.workers.violations;
      const pools = new Map(listHostRows(fleet).map(({ hostId, pool }) => [hostId, pool]));
      return [
        ...(interruptedTasks > 0 ? ['a task was cut by a planned reboot'] : []),
        ...(duplicateRuns > 0 ? ['a job ran twice'] : []),
        ...(pools.size === 12 ? [] : ['a host has no row']),
        ...placements(fleet)
          .filter(({ hostId, pool }) => pools.get(hostId) !== pool)
          .map(({ jobId }) => `${jobId} is placed on a host of another pool`),
        ...listHostRows(fleet)
          .filter(({ phase, drain }) => (phase === 'draining' || phase === 'empty') && !drain)
          .map(({ hostId }) => `${hostId} is being drained without a purpose`),
      ];
    };
    const checkAll = (fleet: FleetModel): void => {
      const faults = faultsOf(fleet);
      if (faults.length > 0) expect(faults).toEqual([]);
    };

    test.prop([fc.integer()], { seed: 51, numRuns: 60 })(
      'no job runs twice, no task is cut, every host keeps its row, and every placement is in the pool of its host',
      (seed) => {
        const draw = createRng(seed);
        const fleet = createFleet();
        paused.length = 0;
        for (let change = 0; change < 25; change += 1) {
          (pickRandom(operations, draw) as Operation)(fleet, draw);
          const steps = 1 + Math.floor(draw() * 16);
          for (let step = 0; step < steps; step += 1) {
            fleet.step();
            checkAll(fleet);
          }
        }
        fleet.setPlatformUnavailable(false);
        fleet.setPartitioned(brand<DataCentreId>('west'), false);
        allHosts(fleet).forEach(fleet.workers.restartHost);
        runFor(fleet, 120_000);
        checkAll(fleet);
        // Moves of hosts to the spare pool may leave too few resources for all executors, so only the
        // upper bounds are checked.
        expect(fleet.countReadyExecutors('routing')).toBeLessThanOrEqual(4);
        expect(fleet.countReadyExecutors('convoy')).toBeLessThanOrEqual(3);
      },
    );
  });
});
