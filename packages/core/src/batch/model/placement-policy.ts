/** The available policies for placing the tasks of short steps. Measurements can be run with each of them to compare them. */

/**
 * - `fullest`: on the fullest endpoint that fits.
 * - `spread`: in the rack with the fewest tasks of the step.
 * - `together`: on a host, or else in a rack, that holds tasks of the same job, so that the loss of a host or rack affects
 *   fewer jobs.
 */
export const PLACEMENT_POLICIES = ['fullest', 'spread', 'together'] as const;

/** A placement policy. */
export type PlacementPolicy = (typeof PLACEMENT_POLICIES)[number];

/**
 * Tells whether a text is the name of a placement policy.
 *
 * @param name - The text.
 * @returns True if it does.
 */
export const isPlacementPolicy = (name: string): name is PlacementPolicy =>
  PLACEMENT_POLICIES.some((policy) => policy === name);
