/** The ways to order the queue that can be told apart by measurement. */

/**
 * `due-first`: what can be in time, then the more urgent queue, then what is due first, whoever owns it.
 * `owed-first`: the same among what accounts are owed, and after it the same among the rest.
 * `owed-then-fair`: the same among what accounts are owed, and after it, of what can be in time, the job whose
 * account is furthest behind.
 * `fair-first`: among what can be in time, the job whose account is furthest behind its weight.
 */
export type OrderWay = 'due-first' | 'owed-first' | 'owed-then-fair' | 'fair-first';
