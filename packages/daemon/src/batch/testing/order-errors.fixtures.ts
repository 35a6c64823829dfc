/** Errors that a holder gets for orders in simulations. */
import type { OrderError } from '@valvelatch/core/batch';

/** No answer arrived in time, so that the order may have been carried out. */
export const NO_ANSWER: OrderError = {
  verdict: 'mayHaveRun',
  reason: 'no-answer',
  detail: 'no answer',
};

/** Another incarnation answers at the address of the endpoint. */
export const REPLACED: OrderError = { verdict: 'notRun', reason: 'other-endpoint', detail: '421' };

/**
 * The error of an order that was refused without being carried out.
 *
 * @param reason - Why it was refused.
 * @returns The error.
 */
export const refusedOrder = (reason: 'unreachable' | 'unhealthy'): OrderError => ({
  verdict: 'notRun',
  reason,
  detail: 'refused',
});
