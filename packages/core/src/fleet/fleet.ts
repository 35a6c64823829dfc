/** The fleet as declared: host groups written out as hosts, services as the executors they want. */
import type { Configuration } from '../configuration/configuration.js';
import { declarationsOf } from '../configuration/configuration.js';
import type { DeclarationOf } from '../declarations/schema.js';
import type { HostRow, HostSpec } from '../rows/rows.js';
import { matches, type Selector } from '../selectors/selector.js';
import {
  brand,
  type DataCentreId,
  type HostId,
  type PoolName,
  type RackId,
} from '../shared/ids.js';

/** Labels that each host has without being given them. */
export const builtInLabel = {
  host: 'host',
  rack: 'rack',
  dataCentre: 'data-centre',
  pool: 'pool',
} as const;

const toHosts = ({ name, labels, spec }: DeclarationOf<'HostGroup'>): readonly HostSpec[] =>
  Array.from({ length: spec.hosts }, (_, index) => {
    const hostId = brand<HostId>(`${name}-${index + 1}`);
    return {
      hostId,
      dataCentre: brand<DataCentreId>(spec.dataCentre),
      rack: brand<RackId>(spec.rack),
      firstPool: brand<PoolName>(spec.pool),
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
 * @returns Each host, with its place and labels.
 */
export const declaredHosts = (configuration: Configuration): readonly HostSpec[] =>
  declarationsOf(configuration, 'HostGroup').flatMap(toHosts);

/**
 * Lists the declared hosts that a selector names; the pool label is the pool that a host is in now.
 *
 * @param configuration - The configuration.
 * @param rows - The rows of hosts.
 * @param selector - The selector.
 * @returns The hosts' identifiers.
 */
export const hostsNamedBy = (
  configuration: Configuration,
  rows: readonly HostRow[],
  selector: Selector,
): readonly HostId[] => {
  const pools = new Map(rows.map(({ hostId, pool }) => [hostId, pool]));
  return declaredHosts(configuration)
    .filter(({ hostId, labels }) =>
      matches(selector, { ...labels, [builtInLabel.pool]: pools.get(hostId) ?? '' }),
    )
    .map(({ hostId }) => hostId);
};
