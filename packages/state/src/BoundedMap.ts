/** A map that drops its oldest entries past a size, by order of insertion. */

export class BoundedMap<K, V> {
  private readonly entries = new Map<K, V>();

  constructor(private readonly limit: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: K): V | undefined {
    return this.entries.get(key);
  }

  /** Puts the entry last; @returns what was forgotten to make room. */
  set(key: K, value: V): readonly [K, V] | undefined {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.limit) return undefined;
    const oldest = this.entries.entries().next().value as [K, V];
    this.entries.delete(oldest[0]);
    return oldest;
  }

  /** Changes the value without making the entry younger. */
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
