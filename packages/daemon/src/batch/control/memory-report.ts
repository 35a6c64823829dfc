/** How much memory the jobs of a holder may take and do take, for logs and metrics. */
import { getHeapStatistics } from 'node:v8';

import type { JobMemory } from '@valvelatch/core/batch';

import type { Log } from '../../observe/log.js';
import type { Metrics } from '../../observe/metrics.js';

/**
 * The share of the heap that jobs may take. A takeover briefly takes as much again for their rows, and jobs on which
 * something depends are added beyond the bound.
 */
const HEAP_SHARE_OF_JOBS = 0.25;
/** A line is logged each time that the use rises by another tenth of the bound. */
const LOGGED_STEPS = 10;

/**
 * Returns how much memory jobs may take in this process.
 *
 * @returns The bound in bytes, a share of the heap limit.
 */
export const defaultJobMemoryBytes = (): number =>
  Math.floor(getHeapStatistics().heap_size_limit * HEAP_SHARE_OF_JOBS);

export type MemoryReportOptions = {
  readonly memory: Pick<JobMemory, 'measure'>;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
};

const formatSizes = (sizes: readonly (readonly [string, number])[]): string =>
  sizes.map(([name, bytes]) => `${name}:${bytes}`).join(',');

/**
 * Creates the report of the memory that jobs take.
 *
 * @param options - The account of the memory, and where the report goes.
 * @returns A function that publishes the gauges, and logs a line when the use has risen.
 */
export const createMemoryReport = ({
  memory,
  log,
  metrics,
  nowMs,
}: MemoryReportOptions): (() => void) => {
  let lastStep = 0;

  return () => {
    const { heldBytes, boundBytes, deferredJobs, largestScopes, largestJobs } =
      memory.measure(nowMs());
    metrics.gauge('job_memory_bytes', heldBytes);
    metrics.gauge('job_memory_bound_bytes', boundBytes);
    metrics.gauge('jobs_deferred', deferredJobs);
    const step = Math.floor((heldBytes / boundBytes) * LOGGED_STEPS);
    if (step > lastStep) {
      log.info('job-memory', {
        heldBytes,
        boundBytes,
        deferredJobs,
        scopes: formatSizes(largestScopes),
        jobs: formatSizes(largestJobs),
      });
    }
    lastStep = step;
  };
};
