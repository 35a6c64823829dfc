/**
 * Finds the data centres with unflushed claims: those whose entries may hold claims that the table
 * does not contain. While a data centre is cut off from the platform, its entries may accept claims
 * in memory. A data centre counts as one without unflushed claims while at least one of its seats
 * is observed to be renewed, because an entry acknowledges no claim in memory until its own lease
 * has been expired for a whole duration, and renews the lease only after it has written its claims
 * to the table.
 */
import type { LeaseRow } from '../leases/lease.js';

/** The last observation of one seat's row. */
export type SeatObservation = {
  readonly version: number;
  readonly row: LeaseRow;
  /** A lower bound of the time at which this version was written: the start of the read before. */
  readonly renewedNoEarlierThanMs: number;
};

/** The last observations of all seats, by key of the row. */
export type SeatObservations = {
  /** The time just before the last read was sent; -Infinity before the first. */
  readonly lastReadMs: number;
  readonly seats: ReadonlyMap<string, SeatObservation>;
};

/** The observations before the first read. */
export const noSeatObservations: SeatObservations = { lastReadMs: -Infinity, seats: new Map() };

/**
 * Updates the observations with a read of all seat rows.
 *
 * @param sights - The previous observations.
 * @param rows - The rows with their versions, by key.
 * @param startedMs - The time just before the read was sent, in milliseconds.
 * @returns The new observations.
 */
export const updateSeatObservations = (
  sights: SeatObservations,
  rows: readonly { readonly key: string; readonly row: LeaseRow; readonly version: number }[],
  startedMs: number,
): SeatObservations => ({
  lastReadMs: startedMs,
  seats: new Map(
    rows.map(({ key, row, version }) => {
      const previous = sights.seats.get(key);
      if (previous?.version === version) return [key, previous];
      // The row was renewed at an unknown time after the start of the previous read.
      return [key, { version, row, renewedNoEarlierThanMs: sights.lastReadMs }];
    }),
  ),
});

/** Returns the data centre in a seat's key, `lease/seat/<data centre>/...`. */
const dataCentreOf = (key: string): string => key.split('/')[2] ?? '';

/**
 * Lists the data centres whose entries may hold claims that the table does not contain.
 *
 * @param sights - The observations of the seats.
 * @param nowMs - The current time, in milliseconds.
 * @returns The data centres with unflushed claims. A data centre with fewer than two held seats is
 * never one, because a data centre with a single seat accepts no claims in memory.
 */
export const findDataCentresWithUnflushedClaims = (
  sights: SeatObservations,
  nowMs: number,
): readonly string[] => {
  const seats = Array.from(sights.seats, ([key, sight]) => ({ key, sight }));
  const dataCentres = Array.from(new Set(seats.map(({ key }) => dataCentreOf(key))));
  return dataCentres.filter((dataCentre) => {
    const heldSeats = seats.filter(
      ({ key, sight }) => dataCentreOf(key) === dataCentre && sight.row.holder !== null,
    );
    if (heldSeats.length < 2) return false;
    return heldSeats.every(
      ({ sight }) => nowMs - sight.renewedNoEarlierThanMs > sight.row.durationMs,
    );
  });
};
