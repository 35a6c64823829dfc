/**
 * Doubt about claims. While a data centre is without the platform, its entries may take claims in
 * memory, which the table does not show yet. A data centre is free of doubt while at least one of
 * its seats is seen to be renewed: an entry acknowledges no claim in memory until its own lease has
 * been over for a whole duration, and renews only after it has written its claims to the table.
 */
import type { LeaseRow } from '../leases/lease.js';

/** What has been seen of one seat's row. */
export type SeatSight = {
  readonly version: number;
  readonly row: LeaseRow;
  /** No earlier than this was the row renewed; a time before the reading that showed it. */
  readonly renewedSinceMs: number;
};

/** What has been seen of all seats, by key of the row. */
export type SeatSights = {
  readonly lastReadMs: number;
  readonly seats: ReadonlyMap<string, SeatSight>;
};

/** Nothing has been seen yet. */
export const noSights: SeatSights = { lastReadMs: -Infinity, seats: new Map() };

/**
 * Takes in a reading of all seat rows.
 *
 * @param sights - What was seen before.
 * @param rows - The rows with their versions, by key.
 * @param startedMs - The time before the reading was sent.
 * @returns What has been seen now.
 */
export const takeSeatRows = (
  sights: SeatSights,
  rows: readonly { readonly key: string; readonly row: LeaseRow; readonly version: number }[],
  startedMs: number,
): SeatSights => ({
  lastReadMs: startedMs,
  seats: new Map(
    rows.map(({ key, row, version }) => {
      const known = sights.seats.get(key);
      if (known?.version === version) return [key, known];
      // The renewal came after the reading before this one, at any moment since.
      return [key, { version, row, renewedSinceMs: sights.lastReadMs }];
    }),
  ),
});

const dataCentreOf = (key: string): string => key.split('/')[2] ?? '';

/**
 * Lists the data centres that may hold claims which the table does not show.
 *
 * @param sights - What has been seen of the seats.
 * @param nowMs - The time.
 * @returns The data centres in doubt. One with a single seat takes no claims in memory.
 */
export const dataCentresInDoubt = (sights: SeatSights, nowMs: number): readonly string[] => {
  const seats = Array.from(sights.seats, ([key, sight]) => ({ key, sight }));
  const centres = Array.from(new Set(seats.map(({ key }) => dataCentreOf(key))));
  return centres.filter((centre) => {
    const local = seats.filter(
      ({ key, sight }) => dataCentreOf(key) === centre && sight.row.holder !== null,
    );
    if (local.length < 2) return false;
    return local.every(({ sight }) => nowMs - sight.renewedSinceMs > sight.row.durationMs);
  });
};
