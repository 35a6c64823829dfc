/** Since when rows have been as they are, by the clock of the one that watches them. */
import type { Versioned } from '../rows/rows.js';

/** Remembers when each version of a row was first seen. */
export type RowAges<Id> = {
  /** Takes in a reading and gives the times, by id. */
  readonly see: (
    rows: ReadonlyMap<Id, Versioned<unknown>>,
    nowMs: number,
  ) => ReadonlyMap<Id, number>;
};

/**
 * Builds an empty memory; rows that vanish are forgotten.
 *
 * @returns The memory.
 */
export const createRowAges = <Id>(): RowAges<Id> => {
  let seen = new Map<Id, { readonly version: number; readonly sinceMs: number }>();
  return {
    see: (rows, nowMs) => {
      seen = new Map(
        Array.from(rows, ([id, { version }]) => {
          const known = seen.get(id);
          return [id, known?.version === version ? known : { version, sinceMs: nowMs }];
        }),
      );
      return new Map(Array.from(seen, ([id, { sinceMs }]) => [id, sinceMs]));
    },
  };
};
