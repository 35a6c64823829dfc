/** The available orders of the queue. Measurements can be run with each of them to compare them. */

/**
 * How open steps are ordered. In the names, `owed` means within the account's share.
 * - `due-first`: steps that can finish within their objective first, then by priority, then by the end of the objective;
 *   accounts do not matter.
 * - `owed-first`: the jobs within their account's share in the order of `due-first`, then all other jobs in that order.
 * - `owed-then-fair`: the jobs within their account's share in the order of `due-first`. Then the other jobs: those that
 *   can finish within their objective first, and among them the job whose account is furthest behind its weight.
 * - `fair-first`: steps that can finish within their objective first, and among them the job whose account is furthest
 *   behind its weight.
 */
export type QueueOrder = 'due-first' | 'owed-first' | 'owed-then-fair' | 'fair-first';
