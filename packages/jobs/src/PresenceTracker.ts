/** Since when something has been seen without a break; forgets what is gone. */

import type { Clock, Monotonic } from "@rackspan/common";

export class PresenceTracker<K> {
  private readonly since = new Map<K, Monotonic>();

  constructor(private readonly clock: Clock) {}

  /** Notes that the key is seen now; @returns for how many milliseconds it has been */
  observe(key: K): number {
    const now = this.clock.monotonic();
    const first = this.since.get(key) ?? now;
    this.since.set(key, first);
    return now - first;
  }

  forget(key: K): void {
    this.since.delete(key);
  }

  /** Forgets every key that is not among these. */
  retainOnly(keys: ReadonlySet<K>): void {
    for (const key of this.since.keys()) {
      if (!keys.has(key)) this.since.delete(key);
    }
  }

  get size(): number {
    return this.since.size;
  }
}
