/** A small fleet's declarations, and helpers that change and read a simulated fleet. */
import {
  emptyConfiguration,
  applySnapshot,
  type Configuration,
} from '../configuration/configuration.js';
import { parseDeclarations, parseJobs } from '../declarations/read-declarations.js';
import type { JobDeclaration } from '../declarations/schema.js';
import type { FleetModel } from '../replay/fleet-model.js';
import { rowKey, rowPrefix, type HostRow, type JobRow, type WaveRow } from '../rows/rows.js';
import { brand, type HostId, type PoolName, type WaveId } from '../shared/ids.js';

export const twoPoolsYaml = `
kind: DataCentre
name: east
spec: { region: here, entrySeats: 2 }
---
kind: DataCentre
name: west
spec: { region: here, entrySeats: 2 }
---
kind: Pool
name: main
spec: { reserveFor: rack }
---
kind: Pool
name: spare
spec: { reserveFor: none }
---
kind: Team
name: crew
spec: { quotaCores: 48 }
---
kind: HostGroup
name: e1
labels: { disk: ssd }
spec: { dataCentre: east, rack: e1, pool: main, hosts: 3, cores: 16, memoryMb: 65536 }
---
kind: HostGroup
name: e2
labels: { disk: ssd }
spec: { dataCentre: east, rack: e2, pool: main, hosts: 3, cores: 16, memoryMb: 65536 }
---
kind: HostGroup
name: w1
labels: { disk: hdd }
spec: { dataCentre: west, rack: w1, pool: main, hosts: 3, cores: 16, memoryMb: 65536 }
---
kind: HostGroup
name: w2
labels: { disk: hdd }
spec: { dataCentre: west, rack: w2, pool: spare, hosts: 3, cores: 16, memoryMb: 65536 }
---
kind: Service
name: routing
spec: { pool: main, team: crew, executors: 4, minReady: 2, slots: 8, connections: 64, cores: 4, memoryMb: 4096 }
---
kind: Service
name: convoy
spec: { pool: main, team: crew, executors: 3, minReady: 1, slots: 8, connections: 64, cores: 2, memoryMb: 4096 }
`;

export const createConfiguration = (text: string): Configuration =>
  applySnapshot(emptyConfiguration, {
    revision: 1,
    declarations: parseDeclarations([{ file: 'test.yaml', text }]).unwrap(),
  });

export const createJob = (name: string, spec: string): JobDeclaration =>
  parseJobs([
    { file: 'job.yaml', text: `kind: Job\nname: ${name}\nspec: { ${spec} }\n` },
  ]).unwrap()[0] as JobDeclaration;

export const submitJob = (fleet: FleetModel, job: JobDeclaration): void => {
  const row: JobRow = { job, phase: 'pending', failures: 0, failedOn: [], reason: 'submitted' };
  fleet.table.transact([], [{ key: rowKey.job(job.name), value: row }]);
};

export const startWave = (
  fleet: FleetModel,
  name: string,
  hosts: readonly HostId[],
  revision = 1,
): void => {
  const waveId = brand<WaveId>(name);
  const row: WaveRow = {
    waveId,
    selector: 'test',
    revision,
    phase: 'running',
    reason: 'started',
    hosts,
  };
  fleet.table.transact([], [{ key: rowKey.wave(name), value: row }]);
};

export const changeHost = (
  fleet: FleetModel,
  hostId: HostId,
  change: (row: HostRow) => HostRow,
): void => {
  const key = rowKey.host(hostId);
  const { value, version } = fleet.table.read(key);
  if (value === null) return;
  fleet.table.transact([{ key, version }], [{ key, value: change(value as HostRow) }]);
};

export const startHostTransfer = (fleet: FleetModel, hostId: HostId, toPool: string): void =>
  changeHost(fleet, hostId, (row) =>
    row.phase === 'assigned'
      ? {
          ...row,
          phase: 'draining',
          drain: { kind: 'transfer', toPool: brand<PoolName>(toPool) },
          reason: 'an operator moves it',
        }
      : row,
  );

export const runFor = (fleet: FleetModel, ms: number): void => {
  const untilMs = fleet.nowMs() + ms;
  while (fleet.nowMs() < untilMs) fleet.step();
};

export const listHostRows = (fleet: FleetModel): readonly HostRow[] =>
  fleet.listRows<HostRow>(rowPrefix.host);

export const readWavePhase = (fleet: FleetModel, name: string): string =>
  (fleet.table.read(rowKey.wave(name)).value as WaveRow).phase;
