/** Handler that lists the current configuration and rows. */
import {
  listDeclaredHosts,
  listDeclarations,
  matchesSelector,
  parseSelector,
  rowPrefix,
  type HostRow,
  type HostSpec,
} from '@valvelatch/core';
import { z } from 'zod';

import type { OperatorContext } from './operator-context.js';
import {
  ok,
  scanRows,
  selectorError,
  platformUnavailable,
  withBody,
  type Handler,
  type OperatorResult,
} from './operator-result.js';

const getBody = z.strictObject({
  kind: z.enum(['config', 'pools', 'hosts', 'jobs', 'placements', 'waves']),
  selector: z.string().default(''),
});

type Lister = (context: OperatorContext, selector: string) => Promise<OperatorResult>;

/**
 * Converts a host's declaration to the operators' view, which names the initial pool `firstPool`.
 */
const toHostView = ({ hostId, dataCentre, rack, initialPool, ...others }: HostSpec) => ({
  hostId,
  dataCentre,
  rack,
  firstPool: initialPool,
  ...others,
});

const listHosts: Lister = async ({ table, configSync }, selectorText) => {
  const selector = parseSelector(selectorText);
  if (selector.isErr()) return selectorError(selector.error);
  const rows = await scanRows<HostRow>(table, rowPrefix.host);
  if (rows.isErr()) return platformUnavailable(rows.error);
  const views = new Map(
    listDeclaredHosts(configSync.current()).map((spec) => [spec.hostId, toHostView(spec)]),
  );
  return ok(
    rows.value
      .map(({ value }) => ({ ...views.get(value.hostId), ...value }))
      .filter(({ labels = {}, pool }) => matchesSelector(selector.value, { ...labels, pool })),
  );
};

const listPools: Lister = async ({ table, configSync }) => {
  const rows = await scanRows<HostRow>(table, rowPrefix.host);
  if (rows.isErr()) return platformUnavailable(rows.error);
  return ok(
    listDeclarations(configSync.current(), 'Pool').map(({ name, spec }) => ({
      pool: name,
      ...spec,
      hosts: rows.value.filter(({ value }) => value.pool === name).length,
      inUse: rows.value.filter(({ value }) => value.pool === name && value.phase === 'assigned')
        .length,
    })),
  );
};

const listRows =
  (prefix: string): Lister =>
  async ({ table }) => {
    const rows = await scanRows(table, prefix);
    return rows.isErr()
      ? platformUnavailable(rows.error)
      : ok(rows.value.map(({ value }) => value));
  };

const listers: Record<z.infer<typeof getBody>['kind'], Lister> = {
  config: async ({ configSync }) =>
    ok({
      revision: configSync.current().revision,
      declarations: Array.from(configSync.current().declarations.values()),
    }),
  pools: listPools,
  hosts: listHosts,
  jobs: listRows(rowPrefix.job),
  placements: listRows(rowPrefix.placement),
  waves: listRows(rowPrefix.wave),
};

/**
 * Builds the handler for lists.
 *
 * @param context - The dependencies of the handler.
 * @returns The handler, by method.
 */
export const listHandlers = (context: OperatorContext): Readonly<Record<'get', Handler>> => ({
  get: withBody(getBody, ({ kind, selector }) => listers[kind](context, selector)),
});
