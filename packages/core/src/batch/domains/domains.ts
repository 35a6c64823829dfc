/**
 * Failure domains: racks and data centres, each of which can fail together with all its endpoints. The member endpoints
 * of each domain are kept up to date as endpoints come and go, so that the fleet need not be scanned for them.
 */
import { brand, type DataCentreId, type DomainId } from '../../shared/ids.js';
import type { BatchState, Domain, EndpointDomains, EndpointState } from '../model/state.js';

const RACK_PREFIX = 'rack:';
const DATA_CENTRE_PREFIX = 'data-centre:';

/** The keys under which endpoints without a rack are counted as one rack, and those without a data centre as one. */
const NO_RACK = brand<DomainId>(RACK_PREFIX);
const NO_DATA_CENTRE = brand<DomainId>(DATA_CENTRE_PREFIX);

/**
 * Gives the domain ids of an endpoint. A rack's id includes its data centre, because another data centre may use the
 * same rack label.
 *
 * @param dataCentre - The endpoint's data centre; '' if it has none.
 * @param rack - The label of the endpoint's rack; '' if it has none.
 * @returns The domains.
 */
export const domainsOf = (dataCentre: DataCentreId, rack: string): EndpointDomains => ({
  rack: rack === '' ? null : brand<DomainId>(`${RACK_PREFIX}${dataCentre}/${rack}`),
  dataCentre: dataCentre === '' ? null : brand<DomainId>(`${DATA_CENTRE_PREFIX}${dataCentre}`),
});

/**
 * Gives the name under which a domain is shown to operators.
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
 * Lists the domains of an endpoint, leaving out the rack or the data centre that it does not have.
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
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint.
 */
export const addToDomains = ({ domains }: BatchState, endpoint: EndpointState): void =>
  namedDomains(endpoint.domains).forEach(({ domainId, kind }) => {
    const domain = domains.get(domainId) ?? { domainId, kind, members: new Set() };
    domain.members.add(endpoint);
    domains.set(domainId, domain);
  });

/**
 * Removes an endpoint from the members of its domains, and removes domains without members.
 *
 * @param state - The batch state, changed in place.
 * @param endpoint - The endpoint.
 */
export const removeFromDomains = ({ domains }: BatchState, endpoint: EndpointState): void =>
  namedDomains(endpoint.domains).forEach(({ domainId }) => {
    const members = domains.get(domainId)?.members;
    members?.delete(endpoint);
    if (members?.size === 0) domains.delete(domainId);
  });
