/** Stable hashing of names, with which entries make the same choice without communicating. */
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

type WeightedName = { readonly name: string; readonly weight: number };

const byWeightDescending: Ord.Ord<WeightedName> = pipe(
  Ord.reverse(N.Ord),
  Ord.contramap(({ weight }) => weight),
);
const byName: Ord.Ord<WeightedName> = pipe(
  S.Ord,
  Ord.contramap(({ name }) => name),
);

/**
 * Orders candidates by rendezvous hashing for one key. All entries that know the same candidates
 * compute the same order.
 *
 * @param key - The key of what is being assigned.
 * @param candidates - The names of those to which it can be assigned.
 * @returns The candidates, highest weight first; equal weights are ordered by name.
 */
export const orderByRendezvous = <Name extends string>(
  key: string,
  candidates: readonly Name[],
): readonly Name[] =>
  pipe(
    candidates,
    RA.map((name) => ({ name, weight: hash32(`${key}/${name}`) })),
    RA.sortBy([byWeightDescending, byName]),
    RA.map(({ name }) => name),
  );
