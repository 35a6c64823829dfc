/** Starts all processes of an example deployment on the loopback address. */
import { readdir, readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import {
  listDeclaredHosts,
  listDeclarations,
  emptyConfiguration,
  parseDeclarations,
  applySnapshot,
  type Configuration,
} from '@valvelatch/core';

import { startProcess, stopProcess, type RunningProcess } from './processes.js';

/** A running example and its addresses. */
export type ExampleDeployment = {
  readonly configuration: Configuration;
  readonly declarationsFolder: string;
  readonly jobsFolder: string;
  readonly entries: readonly RunningProcess[];
  /** The addresses of the workers, by data centre. */
  readonly workersUrls: Readonly<Record<string, string>>;
  readonly platformUrl: string;
  readonly operatorKey: string;
  readonly processes: readonly RunningProcess[];
  readonly stop: () => Promise<void>;
};

const EXAMPLES = new URL('../../../examples/', import.meta.url);
const OPERATOR_KEY = 'example-operator-key';
const MESH_KEY = 'example-mesh-key-0000';

/**
 * Reads the declarations of an example.
 *
 * @param example - The folder under `examples/`.
 * @returns The configuration that results from them, with revision 1.
 */
export const readExample = async (example: string): Promise<Configuration> => {
  const folder = new URL(`${example}/declarations/`, EXAMPLES);
  const names = await readdir(folder);
  const files = await Promise.all(
    names.map(async (file) => ({ file, text: await readFile(new URL(file, folder), 'utf8') })),
  );
  const declarations = parseDeclarations(files).unwrap();
  return applySnapshot(emptyConfiguration, { revision: 1, declarations });
};

/** Runs an asynchronous function for each item, one after the other. */
const runSequentially = <Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> => items.reduce((before, item) => before.then(() => run(item)), Promise.resolve());

const urlOf = ({ fields }: RunningProcess): string => fields.url ?? '';

/**
 * Starts an example: the platform, the workers of each data centre, and an entry for each seat.
 * The declarations are not applied yet.
 *
 * @param example - The folder under `examples/`.
 * @returns The running processes.
 */
export const startExample = async (example: string): Promise<ExampleDeployment> => {
  const configuration = await readExample(example);
  const processes: RunningProcess[] = [];
  const entries: RunningProcess[] = [];
  const workersUrls: Record<string, string> = {};
  const start = async (...args: Parameters<typeof startProcess>): Promise<RunningProcess> => {
    const running = await startProcess(...args);
    processes.push(running);
    return running;
  };
  const stop = async (): Promise<void> => {
    await Promise.all(processes.map(stopProcess));
  };

  const startWorkersOf = async (dataCentre: string, platformUrl: string): Promise<void> => {
    const hosts = listDeclaredHosts(configuration).filter((spec) => spec.dataCentre === dataCentre);
    const workers = await start('standIn', [
      'workers',
      `--data-centre=${dataCentre}`,
      `--hosts=${hosts.map(({ hostId }) => hostId).join(',')}`,
      `--platform-url=${platformUrl}`,
      '--reboot-ms=500',
    ]);
    workersUrls[dataCentre] = urlOf(workers);
  };

  const startEntryAt = async (dataCentre: string, seat: number, platformUrl: string) => {
    const entry = await start('entry', [
      `--entry-id=${dataCentre}-entry-${seat}`,
      `--data-centre=${dataCentre}`,
      `--platform-url=${platformUrl}`,
      `--workers-url=${workersUrls[dataCentre] ?? ''}`,
      `--operator-key=${OPERATOR_KEY}`,
      `--mesh-key=${MESH_KEY}`,
      `--seeds=${entries.map(({ fields }) => fields.meshUrl).join(',')}`,
    ]);
    entries.push(entry);
  };

  try {
    const platformUrl = urlOf(await start('standIn', ['platform']));
    const centres = listDeclarations(configuration, 'DataCentre');
    await runSequentially(centres, ({ name }) => startWorkersOf(name, platformUrl));
    const seats = centres.flatMap(({ name, spec }) =>
      Array.from({ length: spec.entrySeats }, (_, seat) => ({ name, seat })),
    );
    // Each entry joins those that were started before it.
    await runSequentially(seats, ({ name, seat }) => startEntryAt(name, seat, platformUrl));
    return {
      configuration,
      declarationsFolder: fileURLToPath(new URL(`${example}/declarations`, EXAMPLES)),
      jobsFolder: fileURLToPath(new URL(`${example}/jobs`, EXAMPLES)),
      entries,
      workersUrls,
      platformUrl,
      operatorKey: OPERATOR_KEY,
      processes,
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
};
