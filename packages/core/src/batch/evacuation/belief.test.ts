/** Guards against evacuations that are forgotten or come back by readings out of order. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { brand, type DataCentreId } from '../../shared/ids.js';
import {
  applyEvacuationReading,
  mergeEvacuations,
  NO_BELIEF,
  type EvacuationBelief,
  type EvacuationChange,
  type EvacuationReading,
} from './belief.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const ZONES = [NORTH, SOUTH, brand<DataCentreId>('west')];

const written = (dataCentre: DataCentreId, revision: number): EvacuationChange => ({
  dataCentre,
  revision,
  isDeleted: false,
});

const deleted = (dataCentre: DataCentreId, revision: number): EvacuationChange => ({
  dataCentre,
  revision,
  isDeleted: true,
});

const changesOf = (
  changes: readonly EvacuationChange[],
  revision = changes.at(-1)?.revision ?? 0,
): EvacuationReading => ({ changes, isWhole: false, revision });

const wholeOf = (changes: readonly EvacuationChange[], revision: number): EvacuationReading => ({
  changes,
  isWhole: true,
  revision,
});

const after = (...readings: readonly EvacuationReading[]): EvacuationBelief =>
  readings.reduce(applyEvacuationReading, NO_BELIEF);

const zonesOf = ({ evacuated }: EvacuationBelief): readonly DataCentreId[] =>
  Array.from(evacuated.keys()).sort();

describe('the belief about evacuations', () => {
  describe('by changes', () => {
    it('has a data centre from the row that is written until the one that deletes it', () => {
      const begun = after(changesOf([written(NORTH, 3)]));
      expect(zonesOf(begun)).toEqual([NORTH]);
      expect(zonesOf(applyEvacuationReading(begun, changesOf([deleted(NORTH, 4)])))).toEqual([]);
    });

    it('passes over a change that is older than what is known', () => {
      // An answer that was held up must neither withdraw an evacuation nor bring one back.
      const known = after(changesOf([written(NORTH, 9)], 12));
      expect(zonesOf(applyEvacuationReading(known, changesOf([deleted(NORTH, 8)])))).toEqual([
        NORTH,
      ]);
      expect(zonesOf(applyEvacuationReading(known, changesOf([written(SOUTH, 11)])))).toEqual([
        NORTH,
      ]);
    });

    it('moves its revision on where nothing has changed', () => {
      expect(after(changesOf([], 7)).revision).toBe(7);
    });
  });

  describe('by full readings', () => {
    it('withdraws an evacuation whose row is missing, also one that a neighbour had told', () => {
      const told = mergeEvacuations(NO_BELIEF, after(changesOf([written(NORTH, 3)])));
      expect(zonesOf(applyEvacuationReading(told, wholeOf([], 4)))).toEqual([]);
    });

    it('keeps all that is known where the reading is older', () => {
      // After a compaction of the history, readings may be seconds old.
      const known = after(changesOf([written(NORTH, 9)]));
      expect(applyEvacuationReading(known, wholeOf([written(SOUTH, 5)], 8))).toBe(known);
    });

    it('keeps a row that is newer than its first page, whatever older change follows', () => {
      const belief = after(wholeOf([written(NORTH, 6)], 4), changesOf([deleted(NORTH, 5)]));
      expect(zonesOf(belief)).toEqual([NORTH]);
    });
  });

  describe('by a neighbour', () => {
    it('is the one of the higher revision', () => {
      const own = after(changesOf([written(NORTH, 3)]));
      const other = after(changesOf([deleted(NORTH, 5)]));
      expect(mergeEvacuations(own, other)).toBe(other);
      expect(mergeEvacuations(other, own)).toBe(other);
      expect(mergeEvacuations(own, { ...own })).toBe(own);
    });
  });

  it('is that of the table at its revision, in whatever order readings and neighbours tell it', () => {
    const operations = fc.array(
      fc.record({ zone: fc.constantFrom(...ZONES), isDeleted: fc.boolean() }),
      { minLength: 1, maxLength: 12 },
    );
    const readings = fc.array(
      fc.record({
        isWhole: fc.boolean(),
        from: fc.nat(12),
        to: fc.nat(12),
        isByNeighbour: fc.boolean(),
      }),
    );
    fc.assert(
      fc.property(operations, readings, (ordered, told) => {
        const history = ordered.map(({ zone, isDeleted }, index): EvacuationChange => ({
          dataCentre: zone,
          revision: index + 1,
          isDeleted,
        }));
        const tableAt = (revision: number): readonly EvacuationChange[] =>
          ZONES.flatMap((zone) => {
            const last = history.findLast(
              (one) => one.dataCentre === zone && one.revision <= revision,
            );
            return last && !last.isDeleted ? [last] : [];
          });
        let belief = NO_BELIEF;
        told.forEach(({ isWhole, from, to, isByNeighbour }) => {
          const revision = Math.min(history.length, to);
          // A feed asks for what comes after the position that it has reached, or before that.
          const position = Math.min(from, Math.max(0, belief.revision));
          const changes = history.filter(
            (one) => one.revision > position && one.revision <= revision,
          );
          const reading = isWhole
            ? wholeOf(tableAt(revision), revision)
            : changesOf(changes, revision);
          const before = belief.revision;
          belief = isByNeighbour
            ? mergeEvacuations(belief, after(wholeOf(tableAt(revision), revision)))
            : applyEvacuationReading(belief, reading);
          expect(belief.revision).toBe(Math.max(before, revision));
          expect(zonesOf(belief)).toEqual(
            tableAt(belief.revision)
              .map(({ dataCentre }) => dataCentre)
              .sort(),
          );
        });
      }),
    );
  });
});
