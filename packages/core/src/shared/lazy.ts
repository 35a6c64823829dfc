/** Lazily computed values. */

/**
 * Creates a value that is computed at its first use and then cached.
 *
 * @param compute - Computes the value.
 * @returns A function that returns the same value at each call.
 */
export const lazy = <Value>(compute: () => Value): (() => Value) => {
  let cached: { readonly value: Value } | undefined;
  return () => {
    cached ??= { value: compute() };
    return cached.value;
  };
};
