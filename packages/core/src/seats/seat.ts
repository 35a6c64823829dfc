/**
 * Seats: a seat is a lease in the platform's table that entitles its holder to one part of the
 * slots of each endpoint. The total that all entries use never exceeds the slots, even while
 * entries are cut off from each other or from the platform.
 *
 * A holder that cannot renew its lease continues with half of its part for as long as every other
 * holder of the data centre keeps promising not to let another entry take the seat. An entry that
 * takes over an expired seat may use the whole part only with the consent of every other holder. An
 * entry that has consented to the end of a term never promises for that term again, and an entry
 * that has promised does not consent before its promise has expired. Without consent the new holder
 * gets the other half, until it is certain that the former holder has stopped.
 *
 * The consent of an entry that holds its own seat without consent does not count: the former holder
 * of that seat may still be relying on promises of the holder before it.
 */
import type { EntryId } from '../shared/ids.js';

/**
 * Which part of a seat an entry may use: all of it, the half of a holder that continues without
 * renewing its lease, or the half of a holder that took the seat without consent.
 */
export type SeatPortion = 'full' | 'continuing' | 'unconsented';

/**
 * How long a promise binds the entry that gave it, in milliseconds. Longer than
 * PROMISE_RELIANCE_MS, so that the receiver stops relying on a promise before it stops being binding.
 */
export const PROMISE_MS = 3000;
/** How long the receiver relies on a promise, in milliseconds from before it asked for it. */
export const PROMISE_RELIANCE_MS = 2000;
/**
 * How long a holder continues without the platform, in milliseconds. Without consent, a new holder
 * may use the whole seat only after this time.
 */
export const MAX_CONTINUING_MS = 2 * 60 * 60 * 1000;

/** One term of a seat: a promise or a consent is valid for this term only. */
export type SeatTerm = { readonly seat: number; readonly epoch: number; readonly holder: EntryId };

/** The promises and consents that a holder has given. */
export type SeatCommitments = {
  /** The end of the last promise for each term, by key of the term. */
  readonly promisedUntilMs: ReadonlyMap<string, number>;
  /** The keys of the terms to whose end this entry has consented. */
  readonly consented: ReadonlySet<string>;
};

/** The answer to a request for a promise or a consent, with the updated commitments. */
export type SeatAnswer = { readonly isGranted: boolean; readonly commitments: SeatCommitments };

/** Commitments without promises or consents. */
export const noSeatCommitments: SeatCommitments = {
  promisedUntilMs: new Map(),
  consented: new Set(),
};

const termKey = ({ seat, epoch, holder }: SeatTerm): string => `${seat}/${epoch}/${holder}`;

/**
 * Answers a holder that asks for a promise, so that it can continue without the platform.
 *
 * @param commitments - The promises and consents that this entry has given.
 * @param term - The term of the holder that asks.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the promise is given, and the updated commitments.
 */
export const handlePromiseRequest = (
  commitments: SeatCommitments,
  term: SeatTerm,
  nowMs: number,
): SeatAnswer => {
  const key = termKey(term);
  if (commitments.consented.has(key)) return { isGranted: false, commitments };
  const promisedUntilMs = new Map(commitments.promisedUntilMs).set(key, nowMs + PROMISE_MS);
  return { isGranted: true, commitments: { ...commitments, promisedUntilMs } };
};

/**
 * Answers an entry that asks for consent to take over an expired seat.
 *
 * @param commitments - The promises and consents that this entry has given.
 * @param term - The term that has expired.
 * @param isEntitled - Whether this entry's own lease is valid and was taken with consent.
 * @param nowMs - The current time, in milliseconds.
 * @returns Whether the consent is given, and the updated commitments.
 */
export const handleConsentRequest = (
  commitments: SeatCommitments,
  term: SeatTerm,
  isEntitled: boolean,
  nowMs: number,
): SeatAnswer => {
  const key = termKey(term);
  if (!isEntitled || nowMs < (commitments.promisedUntilMs.get(key) ?? -Infinity)) {
    return { isGranted: false, commitments };
  }
  return {
    isGranted: true,
    commitments: { ...commitments, consented: new Set(commitments.consented).add(key) },
  };
};

/**
 * Checks whether this entry has consented to the end of a term. If so, the answers of the term's
 * holder no longer count.
 *
 * @param commitments - The promises and consents that this entry has given.
 * @param term - The term.
 * @returns True if the term may have been taken over.
 */
export const hasConsented = (commitments: SeatCommitments, term: SeatTerm): boolean =>
  commitments.consented.has(termKey(term));

/**
 * Returns the time until which a holder may rely on a promise of this entry.
 *
 * @param commitments - The promises and consents that this entry has given.
 * @param holder - The holder.
 * @returns The end of the last promise to the holder, in milliseconds, or -Infinity without one.
 */
export const latestPromiseEndMs = (commitments: SeatCommitments, holder: EntryId): number =>
  Array.from(commitments.promisedUntilMs)
    .filter(([key]) => key.endsWith(`/${holder}`))
    .reduce((latest, [, untilMs]) => Math.max(latest, untilMs), -Infinity);

const portionSizes: Record<SeatPortion, (share: number) => number> = {
  full: (share) => share,
  continuing: (share) => Math.ceil(share / 2),
  unconsented: (share) => Math.floor(share / 2),
};

/**
 * Returns the usable part of a seat's share.
 *
 * @param share - The seat's whole share of a limit.
 * @param portion - Which part may be used.
 * @returns The part, a whole number; `continuing` and `unconsented` add up to the whole share.
 */
export const computePortion = (share: number, portion: SeatPortion): number =>
  portionSizes[portion](share);
