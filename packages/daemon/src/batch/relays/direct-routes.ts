/**
 * Decides which endpoints get their orders directly although orders are relayed. An endpoint may leave an order
 * unanswered by itself. Only a second order that is lost over the relay, after one that was sent directly, shows that the
 * relay cannot reach the endpoint.
 */
import type { EndpointId } from '@valvelatch/core/shared/ids';

/** How long an endpoint that its relay cannot reach gets its orders directly. */
const DIRECT_MS = 3000;
/** The number of consecutive orders lost over the relay after which the relay counts as unable to reach the endpoint. */
const LOSSES_TO_AVOID_RELAY = 2;

/** What is known of the relayed route to one endpoint since the last answer over it. */
type RouteState = { losses: number; isNextDirect: boolean; directUntilMs: number };

export type DirectRoutes = {
  /** Tells whether the next order to the endpoint is sent directly. To be called once for each order. */
  readonly takeNext: (endpointId: EndpointId) => boolean;
  /** Records that an order got no answer over the relay: the next one is sent directly. */
  readonly recordLoss: (endpointId: EndpointId) => void;
  /** Records that the relay says that it cannot reach the endpoint. */
  readonly recordUnreachable: (endpointId: EndpointId) => void;
  /** Records an answer of the endpoint over the relay. */
  readonly recordAnswer: (endpointId: EndpointId) => void;
  readonly forget: (endpointId: EndpointId) => void;
};

/**
 * Creates the routes of a holder's endpoints, none of them direct.
 *
 * @param nowMs - The holder's monotonic clock, in milliseconds.
 * @returns The routes.
 */
export const createDirectRoutes = (nowMs: () => number): DirectRoutes => {
  const routes = new Map<EndpointId, RouteState>();

  const routeOf = (endpointId: EndpointId): RouteState => {
    const known = routes.get(endpointId);
    if (known) return known;
    const route = { losses: 0, isNextDirect: false, directUntilMs: 0 };
    routes.set(endpointId, route);
    return route;
  };

  const avoidRelay = (endpointId: EndpointId): void => {
    routes.set(endpointId, { losses: 0, isNextDirect: false, directUntilMs: nowMs() + DIRECT_MS });
  };

  return {
    takeNext: (endpointId) => {
      const route = routes.get(endpointId);
      if (!route) return false;
      const { isNextDirect, directUntilMs } = route;
      route.isNextDirect = false;
      return isNextDirect || nowMs() < directUntilMs;
    },
    recordLoss: (endpointId) => {
      const route = routeOf(endpointId);
      route.losses += 1;
      route.isNextDirect = true;
      if (route.losses >= LOSSES_TO_AVOID_RELAY) avoidRelay(endpointId);
    },
    recordUnreachable: avoidRelay,
    recordAnswer: (endpointId) => {
      if (nowMs() >= (routes.get(endpointId)?.directUntilMs ?? 0)) routes.delete(endpointId);
    },
    forget: (endpointId) => {
      routes.delete(endpointId);
    },
  };
};
