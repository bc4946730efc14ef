/** Tracks since when each key has been present without interruption. */

import type { Clock, Monotonic } from "@rackspan/common";

export class PresenceTracker<K> {
  private readonly since = new Map<K, Monotonic>();

  constructor(private readonly clock: Clock) {}

  /** Records that the key is present now; @returns for how many milliseconds it has been */
  observe(key: K): number {
    const now = this.clock.monotonic();
    const first = this.since.get(key) ?? now;
    this.since.set(key, first);
    return now - first;
  }

  forget(key: K): void {
    this.since.delete(key);
  }

  /** Removes every key that is not in the given set. */
  retainOnly(keys: ReadonlySet<K>): void {
    for (const key of this.since.keys()) {
      if (!keys.has(key)) this.since.delete(key);
    }
  }

  get size(): number {
    return this.since.size;
  }
}
