/** An entry's seat, its claims that are not in the table yet, and which data centres may hold such claims. */
import {
  findDeclaration,
  type Configuration,
  type DataCentreId,
  type EntryId,
} from '@valvelatch/core';
import type { TableClient } from '@valvelatch/platform';

import {
  createUnflushedClaimsMonitor,
  type UnflushedClaimsMonitor,
} from '../data-path/unflushed-claims-monitor.js';
import { createOutageClaims, type OutageClaims } from '../data-path/outage-claims.js';
import { createLeaseManager } from '../leases/lease-manager.js';
import type { Log } from '../observe/log.js';
import { createSeatManager, type SeatManager } from '../seats/seat-manager.js';

/** Parts that depend on the seat of an entry. */
export type SeatServices = {
  readonly seatKeeper: SeatManager;
  /** Claims kept in memory while the data centre cannot reach the platform. */
  readonly outageClaims: OutageClaims;
  /** Watches the seats of all data centres for those that may hold claims which the table lacks. */
  readonly doubtWatch: UnflushedClaimsMonitor;
};

export type SeatServicesOptions = {
  readonly self: EntryId;
  readonly dataCentre: DataCentreId;
  readonly table: TableClient;
  readonly configuration: () => Configuration;
  /** Duration of a seat lease, in milliseconds. */
  readonly leaseMs: number;
  /** Calls a method of another entry; false if it refuses or does not answer. */
  readonly askEntry: (entryId: EntryId, method: string, payload: unknown) => Promise<boolean>;
  readonly log: Log;
};

/**
 * Creates the seat manager, the claims in memory and the watch of the seats.
 *
 * @param options - The table, the configuration and how to reach the other entries.
 * @returns The three parts, with no seat held yet.
 */
export const createSeatServices = ({
  self: ownEntryId,
  dataCentre,
  table,
  configuration,
  leaseMs,
  askEntry,
  log,
}: SeatServicesOptions): SeatServices => {
  const doubtWatch = createUnflushedClaimsMonitor({ table });
  const seatKeeper = createSeatManager({
    ownEntryId,
    seatCount: () =>
      findDeclaration(configuration(), 'DataCentre', dataCentre)?.spec.entrySeats ?? 0,
    createLease: (seat, mayAcquire) =>
      createLeaseManager({
        table,
        name: `seat/${dataCentre}/${seat}`,
        self: ownEntryId,
        durationMs: leaseMs,
        mayAcquire,
        // A renewed seat lease tells the other entries that this entry holds no claims which the table lacks.
        beforeWrite: () => outageClaims.flush(),
      }),
    requestPromise: (holder, term) => askEntry(holder, 'promise-seat', term),
    requestConsent: (holder, term) => askEntry(holder, 'consent-seat', term),
    beforeTakingWithoutConsent: () => doubtWatch.recordPossibleClaimLoss(dataCentre),
    log,
  });
  const outageClaims = createOutageClaims({
    table,
    leaseLapsedForMs: seatKeeper.leaseLapsedForMs,
    isUsingPromises: () => seatKeeper.heldSeat()?.portion === 'continuing',
    leaseMs,
    otherSeatHolders: seatKeeper.otherSeatHolders,
    requestReplica: (holder, claim) => askEntry(holder, 'keep-claim', claim),
  });
  return { seatKeeper, outageClaims, doubtWatch };
};
