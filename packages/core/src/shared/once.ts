/** Values that are reckoned when they are first asked for. */

/**
 * Builds a value that is reckoned at its first use, and kept.
 *
 * @param reckon - Gives the value.
 * @returns A function that gives the same value each time.
 */
export const once = <Value>(reckon: () => Value): (() => Value) => {
  let known: { readonly value: Value } | undefined;
  return () => {
    known ??= { value: reckon() };
    return known.value;
  };
};
