/** The duration of the control lease, and the times after a renewal on which the rules of control depend. */

/**
 * Duration of the control lease. A holder without the table continues to order endpoints for this long after its
 * last renewal, so that accepted work continues through an outage of 6 s. A holder that has failed is silent on
 * the mesh too and is replaced sooner (`EARLY_TAKEOVER_MS`).
 */
export const CONTROL_LEASE_MS = 8000;
/**
 * Renewals come every 1.2 to 1.7 s with this value. The rules that depend on the age of the last renewal need them that
 * often.
 */
export const RENEW_AFTER_MS = 1300;
/**
 * Safety margin of the lease between its holder and the entries that may take it. Their clocks may differ by 2 % over
 * the lease; the rest is for late timers.
 */
export const CONTROL_LEASE_MARGIN_MS = 500;
/**
 * The lease of a holder that is also silent on the mesh is taken after this time without a renewal; a working
 * holder renews every 1.3 to 1.8 s. The silent holder may still act as if it held control, which is safe:
 * endpoints and rows are fenced, and hosts are ordered and jobs of other entries admitted only shortly after a
 * renewal (`MAX_RENEWAL_AGE_FOR_HOST_ORDERS_MS`, `SOLE_HOLDER_MS`).
 */
export const EARLY_TAKEOVER_MS = 2600;
/**
 * For this long after a renewal no other entry can have taken the lease. Only in this time does the holder admit
 * jobs that other entries wrote, since later ones may have been accepted by a next holder, which starts them; and
 * only in this time does it treat an endpoint's lease as ended, since a next holder may have extended it. Must be
 * less than `EARLY_TAKEOVER_MS` by more than clocks can differ over that time.
 */
export const SOLE_HOLDER_MS = 2400;
/**
 * Hosts are ordered only within this time after a renewal, so that an entry that takes over a lapsed lease knows
 * a minimum for the time since the last order.
 */
export const MAX_RENEWAL_AGE_FOR_HOST_ORDERS_MS = 1800;
