/**
 * Seats: who may use which part of an endpoint's slots. The sum of what all entries use never
 * exceeds the slots, also while entries are cut off from each other or from the platform.
 *
 * A seat is a lease of the platform's table. A holder that cannot renew goes on with half of its
 * part while every other holder of the data centre promises, again and again, not to let another
 * take the seat. A seat whose lease has lapsed is taken over whole only with the consent of each
 * other holder; one that has consented never promises again, and one that has promised does not
 * consent until the promise has run out. Without consent the taker gets the other half, until it
 * is sure that the former holder has stopped. The consent of one that holds its own seat without
 * consent does not count: the former holder may still count on the promises of the one before it.
 */
import type { EntryId } from '../shared/ids.js';

/** Which part of a seat an entry may use. */
export type SeatPortion = 'full' | 'continuing' | 'unconsented';

/** How long a promise binds the one that gave it, in milliseconds. */
export const PROMISE_MS = 3000;
/** How long the receiver relies on a promise, counted from before it asked. */
export const PROMISE_USE_MS = 2000;
/** After so long without the platform a holder stops; only then may another use the whole seat. */
export const LONGEST_CONTINUING_MS = 2 * 60 * 60 * 1000;

/** One term of a seat: a promise or a consent speaks of this term alone. */
export type SeatTerm = { readonly seat: number; readonly epoch: number; readonly holder: EntryId };

/** What a holder has promised and consented to. */
export type SeatBook = {
  readonly promisedUntilMs: ReadonlyMap<string, number>;
  readonly consented: ReadonlySet<string>;
};

/** An answer to a question about a term, with the book as it is afterwards. */
export type SeatAnswer = { readonly isGranted: boolean; readonly book: SeatBook };

/** A book with no entries. */
export const emptySeatBook: SeatBook = { promisedUntilMs: new Map(), consented: new Set() };

const termKey = ({ seat, epoch, holder }: SeatTerm): string => `${seat}/${epoch}/${holder}`;

/**
 * Answers a holder that asks to go on without the platform.
 *
 * @param book - What this entry has promised so far.
 * @param term - The term of the one that asks.
 * @param nowMs - The time.
 * @returns The promise, if it can be given.
 */
export const answerPromise = (book: SeatBook, term: SeatTerm, nowMs: number): SeatAnswer => {
  const key = termKey(term);
  if (book.consented.has(key)) return { isGranted: false, book };
  const promisedUntilMs = new Map(book.promisedUntilMs).set(key, nowMs + PROMISE_MS);
  return { isGranted: true, book: { ...book, promisedUntilMs } };
};

/**
 * Answers an entry that wants to take over a lapsed seat.
 *
 * @param book - What this entry has promised so far.
 * @param term - The term that has lapsed.
 * @param isEntitled - Whether this entry's own lease is in force and was taken with consent.
 * @param nowMs - The time.
 * @returns The consent, if it can be given.
 */
export const answerConsent = (
  book: SeatBook,
  term: SeatTerm,
  isEntitled: boolean,
  nowMs: number,
): SeatAnswer => {
  const key = termKey(term);
  if (!isEntitled || nowMs < (book.promisedUntilMs.get(key) ?? -Infinity)) {
    return { isGranted: false, book };
  }
  return { isGranted: true, book: { ...book, consented: new Set(book.consented).add(key) } };
};

/**
 * Tells whether this entry has consented to the end of a term; its holder's word counts no more.
 *
 * @param book - What this entry has consented to.
 * @param term - The term.
 * @returns True if the term may have been taken over.
 */
export const hasConsented = (book: SeatBook, term: SeatTerm): boolean =>
  book.consented.has(termKey(term));

/**
 * Tells until when this entry's promise may carry a holder.
 *
 * @param book - What this entry has promised.
 * @param holder - The holder.
 * @returns The end of the last promise to it, or minus infinity.
 */
export const promisedUntilMs = (book: SeatBook, holder: EntryId): number =>
  Array.from(book.promisedUntilMs)
    .filter(([key]) => key.endsWith(`/${holder}`))
    .reduce((latest, [, untilMs]) => Math.max(latest, untilMs), -Infinity);

const portions: Record<SeatPortion, (share: number) => number> = {
  full: (share) => share,
  continuing: (share) => Math.ceil(share / 2),
  unconsented: (share) => Math.floor(share / 2),
};

/**
 * Gives the usable part of a seat's share.
 *
 * @param share - The seat's whole share of a limit.
 * @param portion - Which part may be used.
 * @returns The part; `continuing` and `unconsented` add up to the whole.
 */
export const portionOfShare = (share: number, portion: SeatPortion): number =>
  portions[portion](share);
