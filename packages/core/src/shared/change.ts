/**
 * In-place changes of mutable records. A change made with this function names the fields that it
 * changes, and all such changes can be found by searching for its calls.
 */

/**
 * Assigns new values to fields of a record in place.
 *
 * @param record - The record to change.
 * @param changes - The fields to change, with their new values.
 */
export const change = <Fields extends object>(record: Fields, changes: Partial<Fields>): void => {
  Object.assign(record, changes);
};
