/**
 * Measures the cost of a hop through an entry, compared with a minimal forwarder and with direct
 * requests. The three paths are measured alternately.
 */
import { runCli, startProcess, stopProcess, type RunningProcess } from '@valvelatch/stand-ins';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as hdr from 'hdr-histogram-js';
import { Pool, request } from 'undici';

import { computeMedian, roundToPrecision, type BenchRow } from '../report.js';

export type DataPathOptions = {
  readonly requests?: number;
  readonly rounds?: number;
  readonly concurrency?: number;
};

type Round = {
  readonly perS: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly cpuUs: number;
};
type Path = {
  readonly name: string;
  readonly url: string;
  readonly prefix: string;
  /** The CPU time that the hop has used so far, in microseconds. */
  readonly cpuUs: () => Promise<number>;
  readonly residentBytes?: () => Promise<number>;
};

const OPERATOR_KEY = 'bench-operator-key';
const BODY = Buffer.alloc(256, 'x');
const US_PER_MS = 1000;

const declarations = `
kind: DataCentre
name: east
spec: { region: here, entrySeats: 1 }
---
kind: Pool
name: main
spec: { reserveFor: none }
---
kind: Team
name: crew
spec: { quotaCores: 64 }
---
kind: HostGroup
name: east-r1
spec: { dataCentre: east, rack: east-r1, pool: main, hosts: 2, cores: 32, memoryMb: 65536 }
---
kind: Service
name: routing
spec: { pool: main, team: crew, executors: 1, minReady: 0, slots: 64, connections: 64, cores: 4, memoryMb: 4096 }
`;

const measure = async (
  path: Path,
  { requests = 20_000, concurrency = 32 }: DataPathOptions,
): Promise<Round> => {
  const pool = new Pool(path.url, { connections: concurrency, pipelining: 1 });
  const histogram = hdr.build();
  let left = requests;
  const sender = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const startedMs = performance.now();
      const answer = await pool.request({
        method: 'POST',
        path: `${path.prefix}/plan`,
        headers: { 'valvelatch-repeatable': 'true', 'x-work-ms': '0' },
        body: BODY,
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) throw new Error(`${path.name}: status ${answer.statusCode}`);
      histogram.recordValue(Math.max(1, Math.round((performance.now() - startedMs) * US_PER_MS)));
    }
  };
  const cpuBeforeUs = await path.cpuUs();
  const startedMs = performance.now();
  await Promise.all(Array.from({ length: concurrency }, sender));
  const tookMs = performance.now() - startedMs;
  const cpuUs = (await path.cpuUs()) - cpuBeforeUs;
  await pool.close();
  return {
    perS: (requests * 1000) / tookMs,
    p50Us: histogram.getValueAtPercentile(50),
    p99Us: histogram.getValueAtPercentile(99),
    cpuUs: cpuUs / requests,
  };
};

const readEntryMetric = async (entry: RunningProcess, name: string): Promise<number> => {
  const answer = await request(`${entry.fields.operatorsUrl as string}/metrics`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  const text = await answer.body.text();
  return Number(new RegExp(`valvelatch_${name} (\\d+)`).exec(text)?.[1] ?? 0);
};

const readForwarderCpuUs = async (forward: RunningProcess): Promise<number> => {
  const answer = await request(`${forward.fields.url as string}/usage`);
  const { user, system } = (await answer.body.json()) as NodeJS.CpuUsage;
  return user + system;
};

const applyDeclarations = async (entry: RunningProcess): Promise<void> => {
  const folder = await mkdtemp(join(tmpdir(), 'valvelatch-bench-'));
  const file = join(folder, 'all.yaml');
  await writeFile(file, declarations);
  const environment = {
    VALVELATCH_URL: entry.fields.operatorsUrl as string,
    VALVELATCH_KEY: OPERATOR_KEY,
  };
  const applied = await runCli(['apply', '-f', file], environment);
  await rm(folder, { recursive: true });
  if (applied.code !== 0) throw new Error(applied.stderr);
};

const waitForAnswer = async (url: string): Promise<void> => {
  for (let tries = 0; tries < 200; tries += 1) {
    const answer = await request(`${url}/services/routing/x`, { method: 'GET' });
    await answer.body.dump();
    if (answer.statusCode === 200) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  throw new Error('the entry did not answer a request with status 200 within 200 attempts');
};

const findExecutorAddress = async (workers: RunningProcess): Promise<string> => {
  const answer = await request(`${workers.fields.url as string}/tasks`);
  const { tasks } = (await answer.body.json()) as { tasks: readonly { address: string }[] };
  return tasks[0]?.address ?? '';
};

const startAll = async (running: RunningProcess[]): Promise<readonly Path[]> => {
  const start = async (program: Parameters<typeof startProcess>[0], args: readonly string[]) => {
    const process = await startProcess(program, args);
    running.push(process);
    return process;
  };
  const platform = await start('standIn', ['platform']);
  const platformUrl = platform.fields.url as string;
  const workers = await start('standIn', [
    'workers',
    '--data-centre=east',
    '--hosts=east-r1-1,east-r1-2',
    `--platform-url=${platformUrl}`,
  ]);
  const entry = await start('entry', [
    '--entry-id=bench',
    '--data-centre=east',
    `--platform-url=${platformUrl}`,
    `--workers-url=${workers.fields.url as string}`,
    `--operator-key=${OPERATOR_KEY}`,
    '--mesh-key=bench-mesh-key-0000',
  ]);
  await applyDeclarations(entry);
  const entryUrl = entry.fields.callersUrl as string;
  await waitForAnswer(entryUrl);
  const address = await findExecutorAddress(workers);
  const forward = await start('bareForward', [address]);
  return [
    { name: 'direct', url: address, prefix: '', cpuUs: async () => 0 },
    {
      name: 'forward',
      url: forward.fields.url as string,
      prefix: '',
      cpuUs: () => readForwarderCpuUs(forward),
    },
    {
      name: 'valvelatch',
      url: entryUrl,
      prefix: '/services/routing',
      cpuUs: () => readEntryMetric(entry, 'process_cpu_us'),
      residentBytes: () => readEntryMetric(entry, 'process_resident_bytes'),
    },
  ];
};

/**
 * Measures the three paths alternately.
 *
 * @param options - The requests per round, the rounds, and the concurrency.
 * @returns One row per path, with the medians of its rounds.
 */
export const benchDataPath = async (
  options: DataPathOptions = {},
): Promise<readonly BenchRow[]> => {
  const running: RunningProcess[] = [];
  try {
    const paths = await startAll(running);
    const rounds = new Map<string, Round[]>(paths.map(({ name }) => [name, []]));
    // The first round is a warm-up and is not counted.
    for (let round = 0; round <= (options.rounds ?? 5); round += 1) {
      for (let index = 0; index < paths.length; index += 1) {
        const path = paths[index] as Path;
        const measured = await measure(path, options);
        if (round > 0) rounds.get(path.name)?.push(measured);
      }
    }
    return Array.from(rounds, ([path, all]) => ({
      bench: 'data-path',
      path,
      requestsPerS: roundToPrecision(computeMedian(all.map(({ perS }) => perS))),
      p50Us: roundToPrecision(computeMedian(all.map(({ p50Us }) => p50Us))),
      p99Us: roundToPrecision(computeMedian(all.map(({ p99Us }) => p99Us))),
      cpuUsPerRequest: roundToPrecision(computeMedian(all.map(({ cpuUs }) => cpuUs))),
    }));
  } finally {
    await Promise.all(running.map(stopProcess));
  }
};

const BYTES_PER_MB = 1024 * 1024;

/**
 * Sends many requests through one entry and measures its memory along the way.
 *
 * @param requests - The total number of requests.
 * @param steps - How many times the memory is measured.
 * @returns One row per step, with the resident memory in megabytes.
 */
export const benchMemory = async (requests: number, steps = 10): Promise<readonly BenchRow[]> => {
  const running: RunningProcess[] = [];
  try {
    const path = (await startAll(running)).find(({ residentBytes }) => residentBytes);
    const rows: BenchRow[] = [];
    for (let step = 1; path?.residentBytes && step <= steps; step += 1) {
      await measure(path, { requests: Math.floor(requests / steps) });
      const residentMB = roundToPrecision((await path.residentBytes()) / BYTES_PER_MB);
      rows.push({ bench: 'memory', requests: Math.floor((requests * step) / steps), residentMB });
    }
    return rows;
  } finally {
    await Promise.all(running.map(stopProcess));
  }
};
