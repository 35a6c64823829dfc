/**
 * Measures the resource use of idle entries, which consists of control turns, mesh traffic and
 * polling.
 */
import { runCli, startExample, type RunningProcess } from '@valvelatch/stand-ins';
import { request } from 'undici';

import { computeMedian, roundToPrecision, type BenchRow } from '../report.js';

const WARM_UP_MS = 8000;
const MEASUREMENT_MS = 20_000;
const BYTES_PER_MB = 1024 * 1024;

type Reading = { readonly cpuUs: number; readonly residentBytes: number };

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const parseMetric = (text: string, name: string): number =>
  Number(new RegExp(`valvelatch_${name} (\\d+)`).exec(text)?.[1] ?? 0);

const readMetrics = async ({ fields }: RunningProcess, key: string): Promise<Reading> => {
  const answer = await request(`${fields.operatorsUrl}/metrics`, {
    headers: { authorization: `Bearer ${key}` },
  });
  const text = await answer.body.text();
  return {
    cpuUs: parseMetric(text, 'process_cpu_us'),
    residentBytes: parseMetric(text, 'process_resident_bytes'),
  };
};

type Counts = {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly reads: number;
};

const platformCounts = async (platformUrl: string): Promise<Counts> =>
  (await (await request(`${platformUrl}/stand-in/counts`)).body.json()) as Counts;

/**
 * Runs an example without requests and measures the CPU time and memory of its entries, and the load
 * that they put on the platform's table.
 *
 * @param example - The name of the folder under `examples/`.
 * @returns One row.
 */
export const benchIdle = async (example: string): Promise<readonly BenchRow[]> => {
  const deployment = await startExample(example);
  const { entries, operatorKey, platformUrl } = deployment;
  try {
    const applied = await runCli(['apply', '-f', deployment.declarationsFolder], {
      VALVELATCH_URL: entries.map(({ fields }) => fields.operatorsUrl).join(','),
      VALVELATCH_KEY: operatorKey,
    });
    if (applied.code !== 0) throw new Error(applied.stderr);
    await pause(WARM_UP_MS);
    const readAll = () => Promise.all(entries.map((entry) => readMetrics(entry, operatorKey)));
    const [before, countsBefore] = [await readAll(), await platformCounts(platformUrl)];
    await pause(MEASUREMENT_MS);
    const [after, countsAfter] = [await readAll(), await platformCounts(platformUrl)];
    const percents = after.map(
      ({ cpuUs }, index) => ((cpuUs - (before[index]?.cpuUs ?? 0)) / (MEASUREMENT_MS * 1000)) * 100,
    );
    const perS = (field: keyof Counts): number =>
      roundToPrecision((countsAfter[field] - countsBefore[field]) / (MEASUREMENT_MS / 1000));
    return [
      {
        bench: 'idle',
        example,
        entries: entries.length,
        cpuPercentMedian: roundToPrecision(computeMedian(percents)),
        cpuPercentMost: roundToPrecision(Math.max(...percents)),
        residentMB: roundToPrecision(
          computeMedian(after.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MB,
        ),
        tableReadsPerS: perS('reads'),
        tableTransactionsPerS: perS('transactions'),
      },
    ];
  } finally {
    await deployment.stop();
  }
};
