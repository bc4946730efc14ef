/** A map of limited size that drops its oldest entries, by order of insertion. */

export class BoundedMap<K, V> {
  private readonly entries = new Map<K, V>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key);
  }

  /**
   * Inserts the entry as the newest one.
   * @returns the entry that was dropped to stay within the limit, if any
   */
  set(key: K, value: V): readonly [K, V] | undefined {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.limit) return undefined;
    const oldest = this.entries.entries().next().value as [K, V];
    this.entries.delete(oldest[0]);
    return oldest;
  }

  /** Replaces the value without changing the entry's position in the order. */
  replace(key: K, value: V): void {
    if (this.entries.has(key)) this.entries.set(key, value);
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  [Symbol.iterator](): IterableIterator<[K, V]> {
    return this.entries[Symbol.iterator]();
  }
}
