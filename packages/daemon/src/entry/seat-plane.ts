/** The seat of an entry, with what is known of claims while the table does not show them. */
import {
  findDeclaration,
  type Configuration,
  type DataCentreId,
  type EntryId,
} from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import { createDoubtWatch, type DoubtWatch } from '../data-path/doubt-watch.js';
import { createOutageClaims, type OutageClaims } from '../data-path/outage-claims.js';
import { createLeaseKeeper } from '../leases/lease-keeper.js';
import type { Log } from '../observe/log.js';
import { createSeatKeeper, type SeatKeeper } from '../seats/seat-keeper.js';

/** The seat and the claims. */
export type SeatPlane = {
  readonly seatKeeper: SeatKeeper;
  readonly outage: OutageClaims;
  readonly doubtWatch: DoubtWatch;
};

export type SeatPlaneOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  readonly table: TableClient;
  readonly configuration: () => Configuration;
  readonly leaseMs: number;
  /** Asks another entry by a method's name; false where it does not answer. */
  readonly askEntry: (entryId: EntryId, method: string, payload: unknown) => Promise<boolean>;
  readonly log: Log;
};

/**
 * Builds the keeper of the seat and of claims in memory.
 *
 * @param options - The table, the configuration and the links to the other entries.
 * @returns Both, with no seat held yet.
 */
export const createSeatPlane = ({
  self,
  dataCentre,
  table,
  configuration,
  leaseMs,
  askEntry,
  log,
}: SeatPlaneOptions): SeatPlane => {
  const doubtWatch = createDoubtWatch({ table });
  const seatKeeper = createSeatKeeper({
    self,
    seats: () => findDeclaration(configuration(), 'DataCentre', dataCentre)?.spec.entrySeats ?? 0,
    createLease: (seat, mayTake) =>
      createLeaseKeeper({
        table,
        name: `seat/${dataCentre}/${seat}`,
        self,
        durationMs: leaseMs,
        mayTake,
        // A renewed seat says that this entry holds no claims which the table does not show.
        beforeWrite: () => outage.flush(),
      }),
    askPromise: (holder, term) => askEntry(holder, 'promise-seat', term),
    askConsent: (holder, term) => askEntry(holder, 'consent-seat', term),
    beforeUnconsented: () => doubtWatch.raise(dataCentre),
    log,
  });
  const outage = createOutageClaims({
    table,
    lapsedForMs: seatKeeper.lapsedForMs,
    isContinuing: () => seatKeeper.held()?.portion === 'continuing',
    leaseMs,
    otherHolders: seatKeeper.otherHolders,
    askKeep: (holder, claim) => askEntry(holder, 'keep-claim', claim),
  });
  return { seatKeeper, outage, doubtWatch };
};
