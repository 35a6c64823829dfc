/** Failure domains: sets of endpoints that can fail together. */
import type { DomainId, EndpointId } from '../../shared/ids.js';
import type { EndpointState } from './endpoint-state.js';

export type DomainKind = 'rack' | 'dataCentre';

/** A rack or a data centre with the endpoints in it. */
export type Domain = {
  readonly domainId: DomainId;
  readonly kind: DomainKind;
  readonly members: Set<EndpointState>;
};

/** A domain that is suspected to have failed as a whole. */
export type SuspectedDomain = {
  readonly domainId: DomainId;
  /** When the suspicion began. */
  readonly sinceMs: number;
  /** How many endpoints were in the domain at that time. */
  readonly endpointCount: number;
  /** The endpoints that have not answered since then. */
  readonly unansweringEndpoints: Set<EndpointId>;
};
