/** Stable hashing of names, used where several entries must choose alike without talking. */
import createXxhash from 'xxhash-wasm';

const { h32 } = await createXxhash();

/**
 * Hashes a text to 32 bits.
 *
 * @param text - The text.
 * @returns An unsigned 32-bit number.
 */
export const hash32 = (text: string): number => h32(text);

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
  candidates
    .map((name) => ({ name, weight: hash32(`${key}/${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
