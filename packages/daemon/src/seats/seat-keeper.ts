/** Keeps this entry's seat: takes one, renews it, and goes on through outages as far as is safe. */
import {
  answerConsent,
  answerPromise,
  emptySeatBook,
  hasConsented,
  LONGEST_CONTINUING_MS,
  PROMISE_USE_MS,
  promisedUntilMs,
  type EntryId,
  type LeaseRow,
  type SeatBook,
  type SeatPortion,
  type SeatTerm,
} from '@valvelatch/core';
import { change } from '@valvelatch/core/shared/change';

import type { LeaseKeeper } from '../leases/lease-keeper.js';
import type { Log } from '../observe/log.js';

/** What this entry may use. */
export type HeldSeat = {
  readonly seats: number;
  readonly seat: number;
  readonly portion: SeatPortion;
  /** Until when it may be used, unless it is renewed. */
  readonly untilMs: number;
};

export type SeatKeeper = {
  /** Reads, takes and renews. */
  readonly tick: () => Promise<void>;
  readonly held: () => HeldSeat | null;
  readonly onPromiseAsked: (term: SeatTerm) => boolean;
  readonly onConsentAsked: (term: SeatTerm) => boolean;
  /** The holders of the other seats of the data centre, as last read. */
  readonly otherHolders: () => readonly EntryId[];
  /** How long the own lease has lapsed, in milliseconds; negative while it is held. */
  readonly lapsedForMs: () => number;
  /** True if the holder has surely stopped sending: its lease has lapsed for long enough. */
  readonly hasLapsed: (holder: EntryId, graceMs: number) => boolean;
  readonly release: () => Promise<void>;
};

export type SeatKeeperOptions = {
  readonly self: EntryId;
  /** How many seats the data centre has; 0 while that is not known. */
  readonly seats: () => number;
  readonly createLease: (seat: number, mayTake: () => boolean) => LeaseKeeper;
  /** Asks another entry; false where it refuses or cannot be reached. */
  readonly askPromise: (holder: EntryId, term: SeatTerm) => Promise<boolean>;
  readonly askConsent: (holder: EntryId, term: SeatTerm) => Promise<boolean>;
  /** Called before a seat is taken without consent; false puts the taking off. */
  readonly beforeUnconsented: () => Promise<boolean>;
  readonly log: Log;
  readonly nowMs?: () => number;
};

type Seat = { readonly index: number; readonly lease: LeaseKeeper; mayTake: boolean };

/**
 * Builds the keeper.
 *
 * @param options - Who asks, how many seats there are, and the links to the other holders.
 * @returns The keeper, without a seat.
 */
export const createSeatKeeper = ({
  self,
  seats: seatCount,
  createLease,
  askPromise,
  askConsent,
  beforeUnconsented,
  log,
  nowMs = () => performance.now(),
}: SeatKeeperOptions): SeatKeeper => {
  const seats: Seat[] = [];
  let book: SeatBook = emptySeatBook;
  let own: Seat | null = null;
  let isConsented = true;
  /** Until when the promises of all other holders carry this entry. */
  let carriedUntilMs = -Infinity;
  let lapsedSinceMs: number | null = null;

  const grow = (): void => {
    while (seats.length < seatCount()) {
      const index = seats.length;
      const seat: Seat = { index, lease: createLease(index, () => seat.mayTake), mayTake: false };
      seats.push(seat);
    }
  };

  const holderOf = ({ lease }: Seat): EntryId | null => lease.lastRow()?.holder ?? null;

  const otherSeats = (except: Seat | null): readonly Seat[] =>
    seats.filter((seat) => seat !== except && (holderOf(seat) ?? self) !== self);

  const termOf = (seat: Seat, row: LeaseRow): SeatTerm => ({
    seat: seat.index,
    epoch: row.epoch,
    holder: row.holder as EntryId,
  });

  const allAgree = async (
    seat: Seat,
    term: SeatTerm,
    ask: (holder: EntryId, one: SeatTerm) => Promise<boolean>,
  ): Promise<boolean> => {
    const others = otherSeats(seat).map((one) => termOf(one, one.lease.lastRow() as LeaseRow));
    // With no other holder there is nobody who could rule out that two use the seat.
    if (others.length === 0) return false;
    if (others.some((other) => hasConsented(book, other))) return false;
    const answers = await Promise.all(others.map(({ holder }) => ask(holder, term)));
    return answers.every(Boolean);
  };

  const tryTake = async (seat: Seat): Promise<boolean> => {
    await seat.lease.tick();
    const row = seat.lease.lastRow();
    const former = row?.holder ?? null;
    const isLapsed = row !== null && seat.lease.unchangedForMs() >= row.durationMs * 1.25;
    if (former !== null && !isLapsed) return false;
    const consent =
      former === null || (await allAgree(seat, termOf(seat, row as LeaseRow), askConsent));
    if (!consent && !(await beforeUnconsented())) return false;
    change(seat, { mayTake: true });
    await seat.lease.tick();
    change(seat, { mayTake: false });
    if (!seat.lease.holds()) return false;
    own = seat;
    isConsented = consent;
    log.info('seat-taken', { seat: seat.index, epoch: seat.lease.epoch(), isConsented });
    return true;
  };

  const takeOne = async (): Promise<void> => {
    for (let index = 0; index < seats.length; index += 1) {
      if (await tryTake(seats[index] as Seat)) return;
    }
  };

  const goOnWithoutPlatform = async (seat: Seat): Promise<void> => {
    const askedAtMs = nowMs();
    lapsedSinceMs ??= askedAtMs;
    const row = seat.lease.lastRow();
    if (row?.holder !== self || askedAtMs - lapsedSinceMs > LONGEST_CONTINUING_MS) {
      own = null;
      return;
    }
    const isCarried = await allAgree(seat, termOf(seat, row), askPromise);
    if (isCarried) carriedUntilMs = askedAtMs + PROMISE_USE_MS;
  };

  const keepOwn = async (seat: Seat): Promise<void> => {
    await seat.lease.tick();
    if (seat.lease.holds()) {
      lapsedSinceMs = null;
      return;
    }
    if (holderOf(seat) !== self) {
      log.warn('seat-lost', { seat: seat.index });
      own = null;
      return;
    }
    await goOnWithoutPlatform(seat);
  };

  const watchOthers = async (): Promise<void> => {
    await Promise.all(seats.filter((seat) => seat !== own).map(({ lease }) => lease.tick()));
  };

  const tick = async (): Promise<void> => {
    grow();
    if (own) await keepOwn(own);
    else await takeOne();
    if (own) await watchOthers();
  };

  const portion = (seat: Seat): SeatPortion | null => {
    if (seat.lease.holds()) return isConsented ? 'full' : 'unconsented';
    return isConsented && nowMs() < carriedUntilMs ? 'continuing' : null;
  };

  const held = (): HeldSeat | null => {
    const usable = own && portion(own);
    if (!own || !usable) return null;
    const untilMs = usable === 'continuing' ? carriedUntilMs : own.lease.heldUntilMs();
    return { seats: seats.length, seat: own.index, portion: usable, untilMs };
  };

  const isEntitled = (): boolean => own !== null && own.lease.holds() && isConsented;

  return {
    tick,
    held,
    onPromiseAsked: (term) => {
      const answer = answerPromise(book, term, nowMs());
      book = answer.book;
      return answer.isGranted;
    },
    onConsentAsked: (term) => {
      const answer = answerConsent(book, term, isEntitled(), nowMs());
      book = answer.book;
      return answer.isGranted;
    },
    otherHolders: () => otherSeats(own).map((seat) => holderOf(seat) as EntryId),
    lapsedForMs: () => (own ? nowMs() - own.lease.heldUntilMs() : -Infinity),
    hasLapsed: (holder, graceMs) =>
      // Without a promise of this entry the holder cannot go on past its lease.
      own !== null &&
      nowMs() > promisedUntilMs(book, holder) + graceMs &&
      seats
        .filter((seat) => holderOf(seat) === holder)
        .every(({ lease }) => {
          const durationMs = lease.lastRow()?.durationMs ?? 0;
          return lease.unchangedForMs() > durationMs * 1.25 + graceMs;
        }),
    release: async () => {
      await own?.lease.release();
      own = null;
    },
  };
};
