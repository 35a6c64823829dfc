/** Handlers that drain hosts, move them to another pool and return them to service. */
import {
  brand,
  listDeclarations,
  rowKey,
  type DrainPurpose,
  type HostRow,
  type PoolName,
} from '@valvelatch/core';
import { z } from 'zod';

import type { OperatorContext } from './operator-context.js';
import { updateRow, withBody, type Handler, type OperatorResult } from './operator-result.js';

const hostBody = z.strictObject({ hostId: z.string(), toPool: z.string().optional() });
type HostBody = z.infer<typeof hostBody>;

const drainHost = (
  { table }: OperatorContext,
  hostId: string,
  drain: DrainPurpose,
  reason: string,
): Promise<OperatorResult> =>
  updateRow<HostRow>(table, rowKey.host(hostId), (row) =>
    row.phase === 'assigned' || row.phase === 'quarantined'
      ? { ...row, phase: 'draining', drain, reason }
      : `host ${hostId} is ${row.phase} already: ${row.reason}`,
  );

const moveHost = async (
  context: OperatorContext,
  { hostId, toPool }: HostBody,
): Promise<OperatorResult> => {
  const isDeclared = listDeclarations(context.configSync.current(), 'Pool').some(
    ({ name }) => name === toPool,
  );
  if (toPool === undefined || !isDeclared) {
    return { kind: 'invalid', detail: `no Pool named '${toPool ?? ''}' is declared` };
  }
  const purpose: DrainPurpose = { kind: 'transfer', toPool: brand<PoolName>(toPool) };
  return drainHost(context, hostId, purpose, `an operator moves it to pool=${toPool}`);
};

const returnHost = ({ table }: OperatorContext, { hostId }: HostBody): Promise<OperatorResult> =>
  updateRow<HostRow>(table, rowKey.host(hostId), (row) =>
    row.phase === 'quarantined' || row.drain?.kind === 'operator' || row.drain?.kind === 'transfer'
      ? { ...row, phase: 'assigned', drain: null, reason: 'an operator returned it to use' }
      : `host ${hostId} is ${row.phase}: ${row.reason}`,
  );

/**
 * Builds the handlers for hosts.
 *
 * @param context - The dependencies of the handlers.
 * @returns The handlers, by method.
 */
export const hostHandlers = (
  context: OperatorContext,
): Readonly<Record<'host-drain' | 'host-return' | 'host-move', Handler>> => ({
  'host-drain': withBody(hostBody, ({ hostId }) =>
    drainHost(context, hostId, { kind: 'operator' }, 'an operator drains it'),
  ),
  'host-return': withBody(hostBody, (body) => returnHost(context, body)),
  'host-move': withBody(hostBody, (body) => moveHost(context, body)),
});
