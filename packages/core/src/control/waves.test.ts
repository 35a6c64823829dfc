/**
 * Tests when a wave ends. They guard against counting a host that the platform does not see at the
 * moment as one that no longer exists: the wave would end without it, and the host would never be
 * maintained by that wave.
 */
import { describe, expect, it } from 'vitest';

import { createFleetModel, type FleetModel } from '../replay/fleet-model.js';
import { rowKey, type WaveRow } from '../rows/rows.js';
import { brand, type HostId } from '../shared/ids.js';
import {
  createConfiguration,
  listHostRows,
  runFor,
  startWave,
  twoPoolsYaml,
  readWavePhase,
} from './control.fixtures.js';

const MINUTE_MS = 60_000;

describe('the end of a wave', () => {
  const createFleet = (): FleetModel => {
    const configuration = createConfiguration(twoPoolsYaml);
    const fleet = createFleetModel({ configuration, rebootMs: 3000, stepMs: 250 });
    runFor(fleet, 5000);
    return fleet;
  };

  const hostsOf = (fleet: FleetModel, group: string): HostId[] =>
    Array.from(fleet.workers.hosts.keys()).filter((hostId) => hostId.startsWith(group));

  const maintainedHosts = (fleet: FleetModel): readonly HostId[] =>
    listHostRows(fleet)
      .filter(({ maintainedBy }) => maintainedBy === 'all')
      .map(({ hostId }) => hostId);

  const reasonOf = (fleet: FleetModel): string =>
    (fleet.table.read(rowKey.wave('all')).value as WaveRow).reason;

  describe('with a host that the platform does not see', () => {
    const runWaveWithUnseenHost = () => {
      const fleet = createFleet();
      const hosts = hostsOf(fleet, 'w2');
      const [unseen] = hosts as [HostId];
      fleet.workers.crashHost(unseen);
      runFor(fleet, 8000);
      startWave(fleet, 'all', hosts);
      runFor(fleet, MINUTE_MS);
      return { fleet, hosts, unseen };
    };

    it('is delayed with a stated reason, and the host is maintained when it is back', () => {
      const { fleet, hosts, unseen } = runWaveWithUnseenHost();
      expect(readWavePhase(fleet, 'all')).toBe('running');
      expect(maintainedHosts(fleet)).toHaveLength(hosts.length - 1);
      const entry = fleet
        .listWithheldActions()
        .find(({ subject }) => subject === rowKey.host(unseen));
      expect(entry?.reason).toMatch(/wave all: the platform has not seen it for \d+ s/);
      fleet.workers.restartHost(unseen);
      runFor(fleet, MINUTE_MS);
      expect(readWavePhase(fleet, 'all')).toBe('done');
      expect(maintainedHosts(fleet)).toHaveLength(hosts.length);
    });

    it('comes after five minutes without the host, and the reason names it', () => {
      const { fleet, unseen } = runWaveWithUnseenHost();
      runFor(fleet, 5 * MINUTE_MS);
      expect(readWavePhase(fleet, 'all')).toBe('done');
      expect(reasonOf(fleet)).toBe(`ended without ${unseen}: gone`);
    });
  });

  describe('with a host that is rebooting for the wave', () => {
    it('is delayed until the host is back, although the platform does not see it meanwhile', () => {
      const fleet = createFleet();
      const hosts = hostsOf(fleet, 'w2');
      startWave(fleet, 'all', hosts);
      const rebooting = (): readonly HostId[] =>
        listHostRows(fleet)
          .filter(({ phase }) => phase === 'rebooting')
          .map(({ hostId }) => hostId);
      const areRemainingHostsRebooting = (): boolean =>
        rebooting().length > 0 &&
        maintainedHosts(fleet).length + rebooting().length === hosts.length;
      for (let steps = 0; steps < 400 && !areRemainingHostsRebooting(); steps += 1) fleet.step();
      const [unseen] = rebooting() as [HostId];
      fleet.workers.crashHost(unseen);
      runFor(fleet, MINUTE_MS);
      expect(readWavePhase(fleet, 'all')).toBe('running');
      fleet.workers.restartHost(unseen);
      runFor(fleet, MINUTE_MS);
      expect(readWavePhase(fleet, 'all')).toBe('done');
      expect(maintainedHosts(fleet)).toHaveLength(hosts.length);
    });
  });

  describe('with hosts that the configuration of the lease holder does not declare', () => {
    it('is delayed if the configuration is older than the wave', () => {
      const fleet = createFleet();
      const hosts = hostsOf(fleet, 'w2');
      startWave(fleet, 'all', [...hosts, brand<HostId>('n1-0')], 2);
      runFor(fleet, MINUTE_MS);
      expect(maintainedHosts(fleet)).toHaveLength(hosts.length);
      expect(readWavePhase(fleet, 'all')).toBe('running');
    });

    it('comes without these hosts if the configuration is as new as the wave', () => {
      const fleet = createFleet();
      const hosts = hostsOf(fleet, 'w2');
      startWave(fleet, 'all', [...hosts, brand<HostId>('n1-0')], 1);
      runFor(fleet, MINUTE_MS);
      expect(readWavePhase(fleet, 'all')).toBe('done');
    });
  });
});
