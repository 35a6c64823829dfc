/** Guards against evacuations that are lost or reappear when updates arrive out of order. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { brand, type DataCentreId } from '../../shared/ids.js';
import {
  applyEvacuationUpdate,
  mergeEvacuationViews,
  UNREAD_EVACUATION_VIEW,
  type EvacuationView,
  type EvacuationChange,
  type EvacuationUpdate,
} from './evacuation-view.js';

const NORTH = brand<DataCentreId>('north');
const SOUTH = brand<DataCentreId>('south');
const DATA_CENTRES = [NORTH, SOUTH, brand<DataCentreId>('west')];

const rowWritten = (dataCentre: DataCentreId, revision: number): EvacuationChange => ({
  dataCentre,
  revision,
  isDeleted: false,
});

const rowDeleted = (dataCentre: DataCentreId, revision: number): EvacuationChange => ({
  dataCentre,
  revision,
  isDeleted: true,
});

const changeUpdate = (
  changes: readonly EvacuationChange[],
  revision = changes.at(-1)?.revision ?? 0,
): EvacuationUpdate => ({ changes, isFullRead: false, revision });

const snapshotUpdate = (
  changes: readonly EvacuationChange[],
  revision: number,
): EvacuationUpdate => ({
  changes,
  isFullRead: true,
  revision,
});

const viewAfter = (...updates: readonly EvacuationUpdate[]): EvacuationView =>
  updates.reduce(applyEvacuationUpdate, UNREAD_EVACUATION_VIEW);

const evacuatedIn = ({ evacuated }: EvacuationView): readonly DataCentreId[] =>
  Array.from(evacuated.keys()).sort();

describe('the view of evacuations', () => {
  describe('updated with changes', () => {
    it('contains a data centre from the change that writes its row until the change that deletes it', () => {
      const begunView = viewAfter(changeUpdate([rowWritten(NORTH, 3)]));
      expect(evacuatedIn(begunView)).toEqual([NORTH]);
      expect(
        evacuatedIn(applyEvacuationUpdate(begunView, changeUpdate([rowDeleted(NORTH, 4)]))),
      ).toEqual([]);
    });

    it('ignores a change that is older than the view', () => {
      // A delayed response must neither end an evacuation nor bring one back.
      const known = viewAfter(changeUpdate([rowWritten(NORTH, 9)], 12));
      expect(
        evacuatedIn(applyEvacuationUpdate(known, changeUpdate([rowDeleted(NORTH, 8)]))),
      ).toEqual([NORTH]);
      expect(
        evacuatedIn(applyEvacuationUpdate(known, changeUpdate([rowWritten(SOUTH, 11)]))),
      ).toEqual([NORTH]);
    });

    it('advances its revision even if no row has changed', () => {
      expect(viewAfter(changeUpdate([], 7)).revision).toBe(7);
    });
  });

  describe('updated with full reads', () => {
    it('drops an evacuation whose row is missing, even if it was received from another entry', () => {
      const received = mergeEvacuationViews(
        UNREAD_EVACUATION_VIEW,
        viewAfter(changeUpdate([rowWritten(NORTH, 3)])),
      );
      expect(evacuatedIn(applyEvacuationUpdate(received, snapshotUpdate([], 4)))).toEqual([]);
    });

    it('is unchanged if the full read is older than the view', () => {
      // After the table's history has been compacted, full reads may be seconds old.
      const known = viewAfter(changeUpdate([rowWritten(NORTH, 9)]));
      expect(applyEvacuationUpdate(known, snapshotUpdate([rowWritten(SOUTH, 5)], 8))).toBe(known);
    });

    it('keeps a row that is newer than the revision of the full read when an older change of it follows', () => {
      const view = viewAfter(
        snapshotUpdate([rowWritten(NORTH, 6)], 4),
        changeUpdate([rowDeleted(NORTH, 5)]),
      );
      expect(evacuatedIn(view)).toEqual([NORTH]);
    });
  });

  describe('merged with the view of another entry', () => {
    it('is the view with the higher revision', () => {
      const own = viewAfter(changeUpdate([rowWritten(NORTH, 3)]));
      const other = viewAfter(changeUpdate([rowDeleted(NORTH, 5)]));
      expect(mergeEvacuationViews(own, other)).toBe(other);
      expect(mergeEvacuationViews(other, own)).toBe(other);
      expect(mergeEvacuationViews(own, { ...own })).toBe(own);
    });
  });

  it('equals the table at its revision, in whatever order updates and views of other entries arrive', () => {
    const operationsArbitrary = fc.array(
      fc.record({ dataCentre: fc.constantFrom(...DATA_CENTRES), isDeleted: fc.boolean() }),
      { minLength: 1, maxLength: 12 },
    );
    const updatesArbitrary = fc.array(
      fc.record({
        isFullRead: fc.boolean(),
        from: fc.nat(12),
        to: fc.nat(12),
        isFromOtherEntry: fc.boolean(),
      }),
    );
    fc.assert(
      fc.property(operationsArbitrary, updatesArbitrary, (operations, drawnUpdates) => {
        const history = operations.map(({ dataCentre, isDeleted }, index): EvacuationChange => ({
          dataCentre,
          revision: index + 1,
          isDeleted,
        }));
        const tableAt = (revision: number): readonly EvacuationChange[] =>
          DATA_CENTRES.flatMap((dataCentre) => {
            const last = history.findLast(
              (one) => one.dataCentre === dataCentre && one.revision <= revision,
            );
            return last && !last.isDeleted ? [last] : [];
          });
        let view = UNREAD_EVACUATION_VIEW;
        drawnUpdates.forEach(({ isFullRead, from, to, isFromOtherEntry }) => {
          const revision = Math.min(history.length, to);
          // A feed requests the changes after the position that it has reached, or after an earlier position.
          const position = Math.min(from, Math.max(0, view.revision));
          const changes = history.filter(
            (one) => one.revision > position && one.revision <= revision,
          );
          const update = isFullRead
            ? snapshotUpdate(tableAt(revision), revision)
            : changeUpdate(changes, revision);
          const before = view.revision;
          view = isFromOtherEntry
            ? mergeEvacuationViews(view, viewAfter(snapshotUpdate(tableAt(revision), revision)))
            : applyEvacuationUpdate(view, update);
          expect(view.revision).toBe(Math.max(before, revision));
          expect(evacuatedIn(view)).toEqual(
            tableAt(view.revision)
              .map(({ dataCentre }) => dataCentre)
              .sort(),
          );
        });
      }),
    );
  });
});
