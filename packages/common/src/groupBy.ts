/** Groups items by key. Groups and the items in them keep the order of the input. */
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
