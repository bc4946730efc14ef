/** Groups items by a key that each of them has. */

/** Groups stand in the order in which their keys came first, as do their items. */
export const groupBy = <T, K>(
  items: Iterable<T>,
  keyOf: (item: T) => K,
): Map<K, T[]> => {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
};
