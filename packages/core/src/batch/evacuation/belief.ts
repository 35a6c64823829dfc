/**
 * What an entry believes of the operator's evacuations: the data centres in which nothing may begin, as of a
 * revision of the operator's table. The belief moves only to higher revisions, whoever tells of them.
 */
import type { DataCentreId } from '../../shared/ids.js';

/** One row about a data centre as it was written or deleted. */
export type EvacuationChange = {
  readonly dataCentre: DataCentreId;
  /** The version at which the row was written or deleted. */
  readonly revision: number;
  readonly isDeleted: boolean;
};

/** What one reading of the operator's table says of evacuations. */
export type EvacuationReading = {
  readonly changes: readonly EvacuationChange[];
  /** All rows that were there, not only those that changed. */
  readonly isWhole: boolean;
  /** The version up to which the reading is complete. */
  readonly revision: number;
};

/** The evacuated data centres as of a revision. */
export type EvacuationBelief = {
  /** All changes up to this version are known; -1 before the first reading. */
  readonly revision: number;
  /** The version of the row of each evacuated data centre. */
  readonly evacuated: ReadonlyMap<DataCentreId, number>;
};

/** The belief of an entry that has read nothing. */
export const NO_BELIEF: EvacuationBelief = { revision: -1, evacuated: new Map() };

const replaceBy = ({ changes, revision }: EvacuationReading): EvacuationBelief => ({
  revision,
  evacuated: new Map(
    changes
      .filter(({ isDeleted }) => !isDeleted)
      .map(({ dataCentre, revision: writtenAt }) => [dataCentre, writtenAt]),
  ),
});

const applyChanges = (
  belief: EvacuationBelief,
  { changes, revision }: EvacuationReading,
): EvacuationBelief => {
  const evacuated = new Map(belief.evacuated);
  changes
    .filter((change) => change.revision > belief.revision)
    // A full reading over several pages may already contain a row that is newer than its revision.
    .filter((change) => change.revision >= (evacuated.get(change.dataCentre) ?? 0))
    .forEach((change) => {
      if (change.isDeleted) evacuated.delete(change.dataCentre);
      else evacuated.set(change.dataCentre, change.revision);
    });
  return { revision: Math.max(belief.revision, revision), evacuated };
};

/**
 * Applies a reading of the operator's table.
 *
 * @param belief - What was believed.
 * @param reading - Changes in ascending order of their versions, or all rows. Changes and full readings that
 * are older than the belief change nothing.
 * @returns The new belief. After a newer full reading, evacuations without a row in it are withdrawn.
 */
export const applyEvacuationReading = (
  belief: EvacuationBelief,
  reading: EvacuationReading,
): EvacuationBelief => {
  if (!reading.isWhole) return applyChanges(belief, reading);
  return reading.revision > belief.revision ? replaceBy(reading) : belief;
};

/**
 * Merges the beliefs of two entries.
 *
 * @param own - What this entry believes.
 * @param other - What another entry believes.
 * @returns The one of the higher revision; the own one of equals.
 */
export const mergeEvacuations = (
  own: EvacuationBelief,
  other: EvacuationBelief,
): EvacuationBelief => (other.revision > own.revision ? other : own);
