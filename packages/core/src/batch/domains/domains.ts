/**
 * Failure domains: the racks and data centres that take all their endpoints with them. The members of each are kept
 * as endpoints come and go, so that nothing has to scan the fleet for them.
 */
import { brand, type DataCentreId, type DomainId } from '../../shared/ids.js';
import type { BatchState, Domain, EndpointDomains, EndpointState } from '../model/state.js';

const RACK_PREFIX = 'rack:';
const DATA_CENTRE_PREFIX = 'data-centre:';

/** Endpoints without a rack are counted as one rack, those without a data centre as one data centre. */
const NO_RACK = brand<DomainId>(RACK_PREFIX);
const NO_DATA_CENTRE = brand<DomainId>(DATA_CENTRE_PREFIX);

/**
 * Names the domains of an endpoint. A rack's label may be used again in another data centre.
 *
 * @param dataCentre - Its data centre; '' if it has none.
 * @param rack - The label of its rack; '' if it has none.
 * @returns The domains.
 */
export const domainsOf = (dataCentre: DataCentreId, rack: string): EndpointDomains => ({
  rack: rack === '' ? null : brand<DomainId>(`${RACK_PREFIX}${dataCentre}/${rack}`),
  dataCentre: dataCentre === '' ? null : brand<DomainId>(`${DATA_CENTRE_PREFIX}${dataCentre}`),
});

/**
 * Gives the name of a domain as operators know it.
 *
 * @param domainId - The domain.
 * @returns `DATA-CENTRE/RACK` for a rack, the data centre's own name for a data centre.
 */
export const domainName = (domainId: DomainId): string =>
  domainId.slice(domainId.indexOf(':') + 1).replace(/^\//, '');

/**
 * Gives the key under which a step counts its tasks in an endpoint's rack.
 *
 * @param domains - The endpoint's domains.
 * @returns The key; the same one for all endpoints without a rack.
 */
export const rackCountKey = ({ rack }: EndpointDomains): DomainId => rack ?? NO_RACK;

/**
 * Gives the key under which a step counts its tasks in an endpoint's data centre.
 *
 * @param domains - The endpoint's domains.
 * @returns The key; the same one for all endpoints without a data centre.
 */
export const dataCentreCountKey = ({ dataCentre }: EndpointDomains): DomainId =>
  dataCentre ?? NO_DATA_CENTRE;

/**
 * Lists the domains of an endpoint that have a name.
 *
 * @param domains - The endpoint's domains.
 * @returns Each with its kind, the rack first.
 */
export const namedDomains = ({
  rack,
  dataCentre,
}: EndpointDomains): readonly Pick<Domain, 'domainId' | 'kind'>[] => [
  ...(rack === null ? [] : [{ domainId: rack, kind: 'rack' as const }]),
  ...(dataCentre === null ? [] : [{ domainId: dataCentre, kind: 'dataCentre' as const }]),
];

/**
 * Adds an endpoint to the members of its domains.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 */
export const joinDomains = ({ domains }: BatchState, endpoint: EndpointState): void =>
  namedDomains(endpoint.domains).forEach(({ domainId, kind }) => {
    const domain = domains.get(domainId) ?? { domainId, kind, members: new Set() };
    domain.members.add(endpoint);
    domains.set(domainId, domain);
  });

/**
 * Takes an endpoint from the members of its domains.
 *
 * @param state - All that is known, changed in place.
 * @param endpoint - The endpoint.
 */
export const leaveDomains = ({ domains }: BatchState, endpoint: EndpointState): void =>
  namedDomains(endpoint.domains).forEach(({ domainId }) => {
    const members = domains.get(domainId)?.members;
    members?.delete(endpoint);
    if (members?.size === 0) domains.delete(domainId);
  });
