/** The ways to place tasks of short steps that can be told apart by measurement. */

/**
 * `fullest`: on the fullest endpoint that fits. `spread`: in the rack where the step has fewest tasks. `together`: on
 * a host, then in a rack, where tasks of the same job stand, so that the loss of one touches fewer jobs.
 */
export const PLACEMENT_POLICIES = ['fullest', 'spread', 'together'] as const;

/** One of the ways. */
export type PlacementPolicy = (typeof PLACEMENT_POLICIES)[number];

/**
 * Tells whether a word names a way.
 *
 * @param word - The word.
 * @returns True if it does.
 */
export const isPlacementPolicy = (word: string): word is PlacementPolicy =>
  PLACEMENT_POLICIES.some((policy) => policy === word);
