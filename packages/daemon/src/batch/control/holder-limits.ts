/** What a control holder may still do, by the age of its last renewal and by what the table answers to it. */
import type { LeaseManager } from '../../leases/lease-manager.js';
import type { RelayedTable } from '../relays/relayed-table.js';
import {
  CONTROL_LEASE_MS,
  MAX_RENEWAL_AGE_FOR_HOST_ORDERS_MS,
  SOLE_HOLDER_MS,
} from './control-lease-timing.js';

/** Added to the minimum time between the host orders of two holders. */
const HOLDER_TURN_MARGIN_MS = 300;

/**
 * A holder gives up control when its own route to the table has been lost for this long while the table serves its
 * neighbours. With a shorter time a single lost connection would change the holder, which costs 0.5 s; with a
 * longer one accepted jobs wait for the change.
 */
const TABLE_ROUTE_LOST_MS = 1200;
/**
 * A holder cannot renew if the table has not answered it for this long, either on its direct route or on any route.
 * A slow table takes up to 610 ms.
 */
const TABLE_SILENCE_LIMIT_MS = 1000;

export type HolderLimitsOptions = {
  /** The control lease. */
  readonly lease: LeaseManager;
  readonly table: Pick<
    RelayedTable,
    'isDirectRouteUp' | 'directRouteLostSinceMs' | 'lastAnsweredAtMs' | 'unansweredForMs'
  >;
  /** The shortest time between the host orders of two holders, in milliseconds. */
  readonly holderTurnMs: () => number;
  readonly nowMs: () => number;
};

export type HolderLimits = {
  /** The delay before this holder's first host order, in milliseconds. */
  readonly hostOrdersAfterMs: () => number;
  /** For how long earlier holders may still order endpoints, by their own clocks, in milliseconds. */
  readonly formerOrdersRemainingMs: () => number;
  /** True shortly after a renewal, while this entry's own route to the table is up. */
  readonly mayOrderHosts: () => boolean;
  /** Until this time no other entry can have become the holder, in milliseconds. */
  readonly soleHolderUntilMs: () => number;
  /** True if the table serves other entries and not this one: then one of them must hold control. */
  readonly isTableServingOthersOnly: () => boolean;
  /** True if the last renewal is so old that another entry may take the lease, and the table does not answer. */
  readonly cannotRenew: () => boolean;
};

/**
 * Creates the limits of a holder.
 *
 * @param options - The control lease, and the table.
 * @returns The limits.
 */
export const createHolderLimits = ({
  lease,
  table,
  holderTurnMs,
  nowMs,
}: HolderLimitsOptions): HolderLimits => {
  /**
   * Two holders that both reach the platform must not order hosts within `holderTurnMs` of each other. A holder whose lease was taken did not renew it, so it does not reach
   * the platform; one that gave up its lease recorded for how long it had ordered no host.
   */
  const hostOrdersAfterMs = (): number => {
    if (lease.previousHolder() !== null) return 0;
    const distanceMs = holderTurnMs() + HOLDER_TURN_MARGIN_MS;
    return Math.max(
      0,
      distanceMs - lease.previousHolderIdleMs() - lease.unchangedBeforeAcquisitionMs(),
    );
  };

  const formerOrdersRemainingMs = (): number =>
    Math.max(0, lease.earlierHoldersUntilMs() - nowMs());

  const mayOrderHosts = (): boolean =>
    table.isDirectRouteUp() &&
    lease.heldUntilMs() - nowMs() > CONTROL_LEASE_MS - MAX_RENEWAL_AGE_FOR_HOST_ORDERS_MS;

  const isTableServingOthersOnly = (): boolean =>
    nowMs() - table.directRouteLostSinceMs() > TABLE_ROUTE_LOST_MS &&
    table.lastAnsweredAtMs() - table.directRouteLostSinceMs() > TABLE_ROUTE_LOST_MS / 2 &&
    nowMs() - table.lastAnsweredAtMs() < TABLE_ROUTE_LOST_MS;

  const cannotRenew = (): boolean => {
    const renewedAtMs = lease.heldUntilMs() - CONTROL_LEASE_MS;
    const unansweredMs = Math.max(
      table.unansweredForMs(),
      nowMs() - table.directRouteLostSinceMs(),
    );
    return nowMs() - renewedAtMs >= SOLE_HOLDER_MS && unansweredMs >= TABLE_SILENCE_LIMIT_MS;
  };

  return {
    hostOrdersAfterMs,
    formerOrdersRemainingMs,
    mayOrderHosts,
    soleHolderUntilMs: () => lease.heldUntilMs() - CONTROL_LEASE_MS + SOLE_HOLDER_MS,
    isTableServingOthersOnly,
    cannotRenew,
  };
};
