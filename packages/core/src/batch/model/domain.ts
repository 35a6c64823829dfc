/** Sets of endpoints that fail together. */
import type { DomainId, EndpointId } from '../../shared/ids.js';
import type { EndpointState } from './endpoint-state.js';

export type DomainKind = 'rack' | 'dataCentre';

/** A rack or a data centre. */
export type Domain = {
  readonly domainId: DomainId;
  readonly kind: DomainKind;
  readonly members: Set<EndpointState>;
};

/** A domain that may be lost as a whole. */
export type SuspectedDomain = {
  readonly domainId: DomainId;
  readonly sinceMs: number;
  /** How many endpoints stood in it then. */
  readonly endpoints: number;
  /** Those that have not answered since. */
  readonly awaited: Set<EndpointId>;
};
