/** The declared fleet: expands host groups into hosts and evaluates selectors over them. */
import type { Configuration } from '../configuration/configuration.js';
import { listDeclarations } from '../configuration/configuration.js';
import type { DeclarationOf } from '../declarations/schema.js';
import type { HostRow, HostSpec } from '../rows/rows.js';
import { matchesSelector, type Selector } from '../selectors/selector.js';
import {
  brand,
  type DataCentreId,
  type HostId,
  type PoolName,
  type RackId,
} from '../shared/ids.js';

/** The keys of the labels that every host has without declaring them. */
export const builtInLabel = {
  host: 'host',
  rack: 'rack',
  dataCentre: 'data-centre',
  pool: 'pool',
} as const;

/** Expands a host group into its hosts, which are numbered from 1. */
const toHosts = ({ name, labels, spec }: DeclarationOf<'HostGroup'>): readonly HostSpec[] =>
  Array.from({ length: spec.hosts }, (_, index) => {
    const hostId = brand<HostId>(`${name}-${index + 1}`);
    return {
      hostId,
      dataCentre: brand<DataCentreId>(spec.dataCentre),
      rack: brand<RackId>(spec.rack),
      initialPool: brand<PoolName>(spec.pool),
      cores: spec.cores,
      memoryMb: spec.memoryMb,
      accelerators: spec.accelerators,
      labels: {
        ...labels,
        [builtInLabel.host]: hostId,
        [builtInLabel.rack]: spec.rack,
        [builtInLabel.dataCentre]: spec.dataCentre,
      },
    };
  });

/**
 * Lists the declared hosts.
 *
 * @param configuration - The configuration.
 * @returns The hosts, with their locations and labels.
 */
export const listDeclaredHosts = (configuration: Configuration): readonly HostSpec[] =>
  listDeclarations(configuration, 'HostGroup').flatMap(toHosts);

/**
 * Lists the declared hosts that match a selector. The pool label is the pool that a host is
 * currently in; it is empty for a host without a row.
 *
 * @param configuration - The configuration.
 * @param rows - The rows of the hosts.
 * @param selector - The selector.
 * @returns The hosts' identifiers.
 */
export const selectHosts = (
  configuration: Configuration,
  rows: readonly HostRow[],
  selector: Selector,
): readonly HostId[] => {
  const poolByHost = new Map(rows.map(({ hostId, pool }) => [hostId, pool]));
  return listDeclaredHosts(configuration)
    .filter(({ hostId, labels }) =>
      matchesSelector(selector, { ...labels, [builtInLabel.pool]: poolByHost.get(hostId) ?? '' }),
    )
    .map(({ hostId }) => hostId);
};
