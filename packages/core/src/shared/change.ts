/** How what a holder knows is changed in place: named at each change, and found by one search. */

/**
 * Changes fields of a record in place.
 *
 * @param record - What is changed.
 * @param changes - The fields with their new values.
 */
export const change = <Fields extends object>(record: Fields, changes: Partial<Fields>): void => {
  Object.assign(record, changes);
};
