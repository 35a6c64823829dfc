/** Stable hashing of names, used where several entries must choose alike without talking. */
import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import * as S from 'fp-ts/lib/string.js';
import createXxhash from 'xxhash-wasm';

const { h32 } = await createXxhash();

/**
 * Hashes a text to 32 bits.
 *
 * @param text - The text.
 * @returns An unsigned 32-bit number.
 */
export const hash32 = (text: string): number => h32(text);

type Weighed = { readonly name: string; readonly weight: number };

const heaviestFirst: Ord.Ord<Weighed> = pipe(
  Ord.reverse(N.Ord),
  Ord.contramap(({ weight }) => weight),
);
const byName: Ord.Ord<Weighed> = pipe(
  S.Ord,
  Ord.contramap(({ name }) => name),
);

/**
 * Orders candidates by rendezvous hashing for one key: all who know the same candidates agree.
 *
 * @param key - What is being assigned.
 * @param candidates - The names that may take it.
 * @returns The candidates, best first.
 */
export const rendezvousOrder = <Name extends string>(
  key: string,
  candidates: readonly Name[],
): readonly Name[] =>
  pipe(
    candidates,
    RA.map((name) => ({ name, weight: hash32(`${key}/${name}`) })),
    RA.sortBy([heaviestFirst, byName]),
    RA.map(({ name }) => name),
  );
