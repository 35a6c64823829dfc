/** Grouping of lists by a key. */

/**
 * Groups items by a key. The order of the items within a group is kept.
 *
 * @param items - The items.
 * @param keyOf - Returns the key of an item.
 * @returns A map from each key to its items.
 */
export const groupBy = <Key, Item>(
  items: Iterable<Item>,
  keyOf: (item: Item) => Key,
): Map<Key, Item[]> => {
  const groups = new Map<Key, Item[]>();
  Array.from(items).forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
};

/**
 * Counts items by a key.
 *
 * @param items - The items.
 * @param keyOf - Returns the key of an item.
 * @returns A plain object from key to count, for use in an explanation.
 */
export const countBy = <Item>(
  items: Iterable<Item>,
  keyOf: (item: Item) => string,
): Record<string, number> =>
  Object.fromEntries(Array.from(groupBy(items, keyOf), ([key, group]) => [key, group.length]));
