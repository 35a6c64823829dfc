/** Handlers that submit and cancel jobs. */
import { parseJobs, rowKey, type DeclarationFile, type JobRow } from '@valvelatch/core';
import { z } from 'zod';

import { files } from './configuration-handlers.js';
import type { OperatorContext } from './operator-context.js';
import {
  updateRow,
  ok,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

const submitJobs = async (
  { table }: OperatorContext,
  declarationFiles: readonly DeclarationFile[],
): Promise<OperatorResult> => {
  const read = parseJobs(declarationFiles);
  if (read.isErr()) {
    return { kind: 'invalid', detail: 'nothing was submitted', faults: read.error };
  }
  const rows = read.value.map((job) => ({
    key: rowKey.job(job.name),
    value: { job, phase: 'pending', failures: 0, failedOn: [], reason: 'submitted' },
  }));
  const outcome = await table.transact({
    checks: rows.map(({ key }) => ({ key, version: 0 })),
    writes: rows,
  });
  if (outcome.isErr()) return platformUnavailable(outcome.error);
  return outcome.value.kind === 'committed'
    ? ok({ submitted: read.value.map(({ name }) => name) })
    : {
        kind: 'conflict',
        detail: `${outcome.value.key} exists already; nothing was submitted`,
      };
};

const cancelJob = ({ table }: OperatorContext, name: string): Promise<OperatorResult> =>
  updateRow<JobRow>(table, rowKey.job(name), (row) =>
    row.phase === 'pending'
      ? { ...row, phase: 'cancelled', reason: 'an operator cancelled it' }
      : `job ${name} is ${row.phase} already`,
  );

/**
 * Builds the handlers for jobs.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const jobHandlers = (
  context: OperatorContext,
): Readonly<Record<'job-submit' | 'job-cancel', Handler>> => ({
  'job-submit': withBody(z.strictObject({ files }), (body) => submitJobs(context, body.files)),
  'job-cancel': withBody(z.strictObject({ name: z.string() }), ({ name }) =>
    cancelJob(context, name),
  ),
});
