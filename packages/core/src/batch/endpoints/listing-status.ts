/** What an endpoint's list responses have told this holder, and what they have left out. */
import type { EndpointState, ListingStatus } from '../model/state.js';

/**
 * Tells whether an endpoint has answered this holder, so that it can be ordered to start tasks.
 *
 * @param endpoint - The endpoint.
 * @returns True from its first answer on, even if that left out runs.
 */
export const hasAnswered = ({ listing }: Pick<EndpointState, 'listing'>): boolean =>
  listing !== 'none';

/**
 * Tells whether an endpoint is known to have ended runs that it has not listed.
 *
 * @param endpoint - The endpoint.
 * @returns True until it has listed all of them.
 */
export const hasUnlistedEnds = ({ listing }: Pick<EndpointState, 'listing'>): boolean =>
  listing === 'ends-missing';

/**
 * Tells whether an endpoint has listed all that it can list. If rows of its list cannot be read, that may not be all
 * that runs there; waiting for it would take the endpoint out of use for good.
 *
 * @param endpoint - The endpoint.
 * @returns True if it has answered and holds back no ended runs.
 */
export const hasListedRuns = (endpoint: Pick<EndpointState, 'listing'>): boolean =>
  hasAnswered(endpoint) && !hasUnlistedEnds(endpoint);

/** What a list response leaves out; see `EndpointReport`. */
type ListGaps = { readonly hasMoreEnds: boolean; readonly hasUnreadableRows?: boolean };

/**
 * Returns what an endpoint has listed once a response of it is applied.
 *
 * @param current - What it had listed before.
 * @param response - The response.
 * @returns The new status.
 */
export const listingAfter = (
  current: ListingStatus,
  { hasMoreEnds, hasUnreadableRows = false }: ListGaps,
): ListingStatus => {
  if (current === 'complete' || !hasMoreEnds) return 'complete';
  return hasUnreadableRows ? 'rows-unreadable' : 'ends-missing';
};
