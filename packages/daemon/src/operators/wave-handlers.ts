/** Handlers that start, hold, resume and cancel maintenance waves. */
import {
  brand,
  selectHosts,
  parseSelector,
  rowKey,
  rowPrefix,
  type HostRow,
  type WaveId,
  type WavePhase,
  type WaveRow,
} from '@valvelatch/core';
import { z } from 'zod';

import type { OperatorContext } from './operator-context.js';
import {
  updateRow,
  ok,
  scanRows,
  selectorError,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

const waveStartBody = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  selector: z.string(),
});
const waveChangeBody = z.strictObject({
  name: z.string(),
  change: z.enum(['hold', 'resume', 'cancel']),
});

const startWave = async (
  { table, configSync }: OperatorContext,
  { name, selector: text }: z.infer<typeof waveStartBody>,
): Promise<OperatorResult> => {
  const selector = parseSelector(text);
  if (selector.isErr()) return selectorError(selector.error);
  const hostRows = await scanRows<HostRow>(table, rowPrefix.host);
  if (hostRows.isErr()) return platformUnavailable(hostRows.error);
  const rows = hostRows.value.map(({ value }) => value);
  const configuration = configSync.current();
  const hosts = selectHosts(configuration, rows, selector.value);
  if (hosts.length === 0) {
    return { kind: 'invalid', detail: `selector '${text}' matches no host` };
  }
  const waveId = brand<WaveId>(name);
  const key = rowKey.wave(name);
  const { revision } = configuration;
  const row: WaveRow = {
    waveId,
    selector: text,
    revision,
    phase: 'running',
    reason: 'started',
    hosts,
  };
  const outcome = await table.transact({
    checks: [{ key, version: 0 }],
    writes: [{ key, value: row }],
  });
  if (outcome.isErr()) return platformUnavailable(outcome.error);
  return outcome.value.kind === 'committed'
    ? ok(row)
    : { kind: 'conflict', detail: `a wave named ${name} exists already` };
};

const phaseAfter: Record<z.infer<typeof waveChangeBody>['change'], WavePhase> = {
  hold: 'held',
  resume: 'running',
  cancel: 'cancelled',
};

const changeWave = (
  { table }: OperatorContext,
  { name, change }: z.infer<typeof waveChangeBody>,
): Promise<OperatorResult> =>
  updateRow<WaveRow>(table, rowKey.wave(name), (row) =>
    row.phase === 'done' || row.phase === 'cancelled'
      ? `wave ${name} is ${row.phase} already`
      : { ...row, phase: phaseAfter[change], reason: `an operator: ${change}` },
  );

/**
 * Builds the handlers for waves.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const waveHandlers = (
  context: OperatorContext,
): Readonly<Record<'wave-start' | 'wave-change', Handler>> => ({
  'wave-start': withBody(waveStartBody, (body) => startWave(context, body)),
  'wave-change': withBody(waveChangeBody, (body) => changeWave(context, body)),
});
