/** A set of endpoints that fail together. */
import type { DomainId } from '../../shared/ids.js';
import type { EndpointState } from './endpoint-state.js';

export type DomainKind = 'rack' | 'dataCentre';

/** A rack or a data centre. */
export type Domain = {
  readonly domainId: DomainId;
  readonly kind: DomainKind;
  readonly members: Set<EndpointState>;
};
