/** What an entry costs while nobody sends requests: control, mesh and polls alone. */
import { runCli, startExample, type RunningProcess } from '@valvelatch/stand-ins';
import { request } from 'undici';

import { median, rounded, type BenchRow } from '../report.js';

const SETTLE_MS = 8000;
const MEASURED_MS = 20_000;
const BYTES_PER_MB = 1024 * 1024;

type Reading = { readonly cpuUs: number; readonly residentBytes: number };

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const metricIn = (text: string, name: string): number =>
  Number(new RegExp(`valvelatch_${name} (\\d+)`).exec(text)?.[1] ?? 0);

const read = async ({ fields }: RunningProcess, key: string): Promise<Reading> => {
  const answer = await request(`${fields.operatorsUrl}/metrics`, {
    headers: { authorization: `Bearer ${key}` },
  });
  const text = await answer.body.text();
  return {
    cpuUs: metricIn(text, 'process_cpu_us'),
    residentBytes: metricIn(text, 'process_resident_bytes'),
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
 * Runs an example without requests and measures its entries.
 *
 * @param example - The folder under `examples/`.
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
    await pause(SETTLE_MS);
    const readAll = () => Promise.all(entries.map((entry) => read(entry, operatorKey)));
    const [before, countsBefore] = [await readAll(), await platformCounts(platformUrl)];
    await pause(MEASURED_MS);
    const [after, countsAfter] = [await readAll(), await platformCounts(platformUrl)];
    const percents = after.map(
      ({ cpuUs }, index) => ((cpuUs - (before[index]?.cpuUs ?? 0)) / (MEASURED_MS * 1000)) * 100,
    );
    const perS = (field: keyof Counts): number =>
      rounded((countsAfter[field] - countsBefore[field]) / (MEASURED_MS / 1000));
    return [
      {
        bench: 'idle',
        example,
        entries: entries.length,
        cpuPercentMedian: rounded(median(percents)),
        cpuPercentMost: rounded(Math.max(...percents)),
        residentMB: rounded(median(after.map(({ residentBytes }) => residentBytes)) / BYTES_PER_MB),
        tableReadsPerS: perS('reads'),
        tableTransactionsPerS: perS('transactions'),
      },
    ];
  } finally {
    await deployment.stop();
  }
};
