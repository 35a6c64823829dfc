/**
 * Manages this entry's seat: takes a seat, renews its lease, and keeps using it during an outage of the
 * platform for as long as that is safe. The rules of promises and consent are in `@valvelatch/core`.
 */
import {
  handleConsentRequest,
  handlePromiseRequest,
  noSeatCommitments,
  hasConsented,
  MAX_CONTINUING_MS,
  PROMISE_RELIANCE_MS,
  latestPromiseEndMs,
  type EntryId,
  type LeaseRow,
  type SeatCommitments,
  type SeatPortion,
  type SeatTerm,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import type { LeaseManager } from '../leases/lease-manager.js';
import type { Log } from '../observe/log.js';

/** The seat that this entry may use at present. */
export type HeldSeat = {
  /** Number of seats of the data centre. */
  readonly seatCount: number;
  /** Index of the seat, starting from 0. */
  readonly seatIndex: number;
  /** The part of the seat's share that may be used. */
  readonly portion: SeatPortion;
  /** Time until which the seat may be used unless it is renewed, on the monotonic clock. */
  readonly validUntilMs: number;
};

/** Manager of this entry's seat. */
export type SeatManager = {
  /** Renews the held seat, or tries to take one, and reads the rows of the other seats. */
  readonly tick: () => Promise<void>;
  /** Returns the seat that may be used now, or null if there is none. */
  readonly heldSeat: () => HeldSeat | null;
  /** Handles a holder's request for a promise; returns whether the promise was given. */
  readonly handlePromiseRequest: (term: SeatTerm) => boolean;
  /** Handles a request for consent to take over a lapsed seat; returns whether it was given. */
  readonly handleConsentRequest: (term: SeatTerm) => boolean;
  /** Returns the holders of the data centre's other seats, as last read from the table. */
  readonly otherSeatHolders: () => readonly EntryId[];
  /**
   * Returns the time since this entry's own lease lapsed, in milliseconds: negative while it is held,
   * minus infinity without a seat.
   */
  readonly leaseLapsedForMs: () => number;
  /**
   * Returns whether a holder has certainly stopped sending: `graceMs` milliseconds have passed since
   * the last promise of this entry to it ended and since its leases, with a margin, have lapsed.
   * False while this entry has no seat.
   */
  readonly hasStoppedSending: (holder: EntryId, graceMs: number) => boolean;
  /** Gives up the held seat. */
  readonly release: () => Promise<void>;
};

export type SeatManagerOptions = {
  /** The id of this entry. */
  readonly ownEntryId: EntryId;
  /** Returns the number of seats of the data centre, or 0 while it is unknown. */
  readonly seatCount: () => number;
  /** Creates the lease of a seat, which is only taken while `mayTake` returns true. */
  readonly createLease: (seat: number, mayTake: () => boolean) => LeaseManager;
  /** Asks a holder to promise not to consent to a takeover; false if it refuses or is unreachable. */
  readonly requestPromise: (holder: EntryId, term: SeatTerm) => Promise<boolean>;
  /** Asks a holder to consent to taking over a lapsed seat; false if it refuses or is unreachable. */
  readonly requestConsent: (holder: EntryId, term: SeatTerm) => Promise<boolean>;
  /** Called before a seat is taken without consent; false postpones the taking. */
  readonly beforeTakingWithoutConsent: () => Promise<boolean>;
  readonly log: Log;
  readonly nowMs?: () => number;
};

/** A seat of the data centre. `mayTake` is only true while its lease is being taken. */
type Seat = { readonly index: number; readonly lease: LeaseManager; mayTake: boolean };

/**
 * Creates the seat manager.
 *
 * @param options - The id of this entry, the number of seats, and the calls to other holders.
 * @returns The seat manager, without a seat.
 */
export const createSeatManager = ({
  ownEntryId,
  seatCount,
  createLease,
  requestPromise,
  requestConsent,
  beforeTakingWithoutConsent,
  log,
  nowMs = () => performance.now(),
}: SeatManagerOptions): SeatManager => {
  const seats: Seat[] = [];
  let seatBook: SeatCommitments = noSeatCommitments;
  let ownSeat: Seat | null = null;
  let takenWithConsent = true;
  /** Time until which this entry may use its seat based on the promises of all other holders. */
  let promisedUseUntilMs = -Infinity;
  let outageSinceMs: number | null = null;

  const createMissingSeats = (): void => {
    while (seats.length < seatCount()) {
      const index = seats.length;
      const seat: Seat = { index, lease: createLease(index, () => seat.mayTake), mayTake: false };
      seats.push(seat);
    }
  };

  const holderOf = ({ lease }: Seat): EntryId | null => lease.lastRow()?.holder ?? null;

  const otherSeats = (excluded: Seat | null): readonly Seat[] =>
    seats.filter((seat) => seat !== excluded && (holderOf(seat) ?? ownEntryId) !== ownEntryId);

  const termOf = (seat: Seat, row: LeaseRow): SeatTerm => ({
    seat: seat.index,
    epoch: row.epoch,
    holder: row.holder as EntryId,
  });

  /** Returns whether all holders of other seats grant a request about a seat's term. */
  const allOthersGrant = async (
    seat: Seat,
    term: SeatTerm,
    sendRequest: (holder: EntryId, other: SeatTerm) => Promise<boolean>,
  ): Promise<boolean> => {
    const otherTerms = otherSeats(seat).map((other) =>
      termOf(other, other.lease.lastRow() as LeaseRow),
    );
    // Without another holder, nobody can guarantee that the seat is not used by two entries.
    if (otherTerms.length === 0) return false;
    if (otherTerms.some((other) => hasConsented(seatBook, other))) return false;
    const answers = await Promise.all(otherTerms.map(({ holder }) => sendRequest(holder, term)));
    return answers.every(Boolean);
  };

  const tryTakeSeat = async (seat: Seat): Promise<boolean> => {
    await seat.lease.tick();
    const row = seat.lease.lastRow();
    const formerHolder = row?.holder ?? null;
    const isLapsed = row !== null && seat.lease.unchangedForMs() >= row.durationMs * 1.25;
    if (formerHolder !== null && !isLapsed) return false;
    const hasConsent =
      formerHolder === null ||
      (await allOthersGrant(seat, termOf(seat, row as LeaseRow), requestConsent));
    if (!hasConsent && !(await beforeTakingWithoutConsent())) return false;
    change(seat, { mayTake: true });
    await seat.lease.tick();
    change(seat, { mayTake: false });
    if (!seat.lease.holds()) return false;
    ownSeat = seat;
    takenWithConsent = hasConsent;
    log.info('seat-taken', {
      seat: seat.index,
      epoch: seat.lease.epoch(),
      isConsented: takenWithConsent,
    });
    return true;
  };

  const takeFreeSeat = async (): Promise<void> => {
    for (let index = 0; index < seats.length; index += 1) {
      if (await tryTakeSeat(seats[index] as Seat)) return;
    }
  };

  const continueWithoutPlatform = async (seat: Seat): Promise<void> => {
    const requestedAtMs = nowMs();
    outageSinceMs ??= requestedAtMs;
    const row = seat.lease.lastRow();
    if (row?.holder !== ownEntryId || requestedAtMs - outageSinceMs > MAX_CONTINUING_MS) {
      ownSeat = null;
      return;
    }
    const hasAllPromises = await allOthersGrant(seat, termOf(seat, row), requestPromise);
    if (hasAllPromises) promisedUseUntilMs = requestedAtMs + PROMISE_RELIANCE_MS;
  };

  const renewOwnSeat = async (seat: Seat): Promise<void> => {
    await seat.lease.tick();
    if (seat.lease.holds()) {
      outageSinceMs = null;
      return;
    }
    if (holderOf(seat) !== ownEntryId) {
      log.warn('seat-lost', { seat: seat.index });
      ownSeat = null;
      return;
    }
    await continueWithoutPlatform(seat);
  };

  const readOtherSeats = async (): Promise<void> => {
    await Promise.all(seats.filter((seat) => seat !== ownSeat).map(({ lease }) => lease.tick()));
  };

  const tick = async (): Promise<void> => {
    createMissingSeats();
    if (ownSeat) await renewOwnSeat(ownSeat);
    else await takeFreeSeat();
    if (ownSeat) await readOtherSeats();
  };

  const currentPortionOf = (seat: Seat): SeatPortion | null => {
    if (seat.lease.holds()) return takenWithConsent ? 'full' : 'unconsented';
    return takenWithConsent && nowMs() < promisedUseUntilMs ? 'continuing' : null;
  };

  const heldSeat = (): HeldSeat | null => {
    const currentPortion = ownSeat && currentPortionOf(ownSeat);
    if (!ownSeat || !currentPortion) return null;
    const validUntilMs =
      currentPortion === 'continuing' ? promisedUseUntilMs : ownSeat.lease.heldUntilMs();
    return {
      seatCount: seats.length,
      seatIndex: ownSeat.index,
      portion: currentPortion,
      validUntilMs,
    };
  };

  const mayConsent = (): boolean => ownSeat !== null && ownSeat.lease.holds() && takenWithConsent;

  return {
    tick,
    heldSeat,
    handlePromiseRequest: (term) => {
      const answer = handlePromiseRequest(seatBook, term, nowMs());
      seatBook = answer.commitments;
      return answer.isGranted;
    },
    handleConsentRequest: (term) => {
      const answer = handleConsentRequest(seatBook, term, mayConsent(), nowMs());
      seatBook = answer.commitments;
      return answer.isGranted;
    },
    otherSeatHolders: () => otherSeats(ownSeat).map((seat) => holderOf(seat) as EntryId),
    leaseLapsedForMs: () => (ownSeat ? nowMs() - ownSeat.lease.heldUntilMs() : -Infinity),
    hasStoppedSending: (holder, graceMs) =>
      // Without a promise of this entry, the holder cannot use its seat after its lease has lapsed.
      ownSeat !== null &&
      nowMs() > latestPromiseEndMs(seatBook, holder) + graceMs &&
      seats
        .filter((seat) => holderOf(seat) === holder)
        .every(({ lease }) => {
          const durationMs = lease.lastRow()?.durationMs ?? 0;
          return lease.unchangedForMs() > durationMs * 1.25 + graceMs;
        }),
    release: async () => {
      await ownSeat?.lease.release();
      ownSeat = null;
    },
  };
};
