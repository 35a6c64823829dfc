/** Tracks since when rows have had their present version, by the clock of the process that reads them. */
import type { Versioned } from '../rows/rows.js';

/** Tracks when the present version of each row was first seen. */
export type RowVersionTracker<Id> = {
  /**
   * Takes the rows as read at `nowMs` and returns when the version of each was first seen, in
   * milliseconds, by id.
   */
  readonly update: (
    rows: ReadonlyMap<Id, Versioned<unknown>>,
    nowMs: number,
  ) => ReadonlyMap<Id, number>;
};

/**
 * Creates an empty tracker. Rows that are missing from a reading are forgotten.
 *
 * @returns The tracker.
 */
export const createRowVersionTracker = <Id>(): RowVersionTracker<Id> => {
  let firstSeen = new Map<Id, { readonly version: number; readonly sinceMs: number }>();
  return {
    update: (rows, nowMs) => {
      firstSeen = new Map(
        Array.from(rows, ([id, { version }]) => {
          const previous = firstSeen.get(id);
          return [id, previous?.version === version ? previous : { version, sinceMs: nowMs }];
        }),
      );
      return new Map(Array.from(firstSeen, ([id, { sinceMs }]) => [id, sinceMs]));
    },
  };
};
