/** Random numbers. Every function that uses randomness takes an `Rng` as an argument. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws the next number from [0, 1). */
export type Rng = () => number;

/**
 * Creates a generator with a reproducible sequence.
 *
 * @param seed - The seed; equal seeds give equal sequences.
 * @returns The generator.
 */
export const createRng = (seed: number): Rng => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

/**
 * Draws one item of a list with equal probability.
 *
 * @param items - The list.
 * @param rng - The source of random numbers.
 * @returns An item, or undefined for an empty list.
 */
export const pickRandom = <Item>(items: readonly Item[], rng: Rng): Item | undefined =>
  items[Math.floor(rng() * items.length)];
