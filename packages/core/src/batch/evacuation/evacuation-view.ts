/**
 * An entry's view of the operator's evacuations: the data centres in which no task may start, as of a revision of the
 * operator's table. The view only advances to higher revisions, whether they come from the table or from another entry.
 */
import type { DataCentreId } from '../../shared/ids.js';

/** The latest change of a data centre's evacuation row: it was written or deleted. */
export type EvacuationChange = {
  readonly dataCentre: DataCentreId;
  /** The table's revision at which the row was written or deleted. */
  readonly revision: number;
  readonly isDeleted: boolean;
};

/** The evacuation rows from one read of the operator's table. */
export type EvacuationUpdate = {
  readonly changes: readonly EvacuationChange[];
  /** True if `changes` holds all rows of a full read, false if it holds only the rows that have changed. */
  readonly isFullRead: boolean;
  /** The table's revision up to which the read is complete. */
  readonly revision: number;
};

/** The evacuated data centres as of a revision of the operator's table. */
export type EvacuationView = {
  /** All changes up to this revision are known; -1 before the first read. */
  readonly revision: number;
  /** Each evacuated data centre with the revision at which its row was written. */
  readonly evacuated: ReadonlyMap<DataCentreId, number>;
};

/** The view of an entry that has not read the table yet. */
export const UNREAD_EVACUATION_VIEW: EvacuationView = { revision: -1, evacuated: new Map() };

const fromSnapshot = ({ changes, revision }: EvacuationUpdate): EvacuationView => ({
  revision,
  evacuated: new Map(
    changes
      .filter(({ isDeleted }) => !isDeleted)
      .map(({ dataCentre, revision: rowRevision }) => [dataCentre, rowRevision]),
  ),
});

const applyChanges = (
  view: EvacuationView,
  { changes, revision }: EvacuationUpdate,
): EvacuationView => {
  const evacuated = new Map(view.evacuated);
  changes
    .filter((change) => change.revision > view.revision)
    // A full read over several pages may already contain rows that are newer than the revision of the read.
    .filter((change) => change.revision >= (evacuated.get(change.dataCentre) ?? 0))
    .forEach((change) => {
      if (change.isDeleted) evacuated.delete(change.dataCentre);
      else evacuated.set(change.dataCentre, change.revision);
    });
  return { revision: Math.max(view.revision, revision), evacuated };
};

/**
 * Applies a read of the operator's table to a view.
 *
 * @param view - The current view.
 * @param update - The changes in ascending order of their revisions, or all rows of a full read. Changes and full reads
 * that are older than the view have no effect.
 * @returns The new view. After a newer full read, evacuations without a row in it have ended.
 */
export const applyEvacuationUpdate = (
  view: EvacuationView,
  update: EvacuationUpdate,
): EvacuationView => {
  if (!update.isFullRead) return applyChanges(view, update);
  return update.revision > view.revision ? fromSnapshot(update) : view;
};

/**
 * Merges the views of two entries.
 *
 * @param own - The view of this entry.
 * @param other - The view of another entry.
 * @returns The view with the higher revision; `own` if the revisions are equal.
 */
export const mergeEvacuationViews = (own: EvacuationView, other: EvacuationView): EvacuationView =>
  other.revision > own.revision ? other : own;
