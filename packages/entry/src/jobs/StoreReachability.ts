/**
 * Detects that this entry is cut off from the store. Such an entry cannot persist jobs.
 * It reports that it is not ready, so that the platform sends callers to other entries.
 */

import type { Clock } from "@rackspan/common";
import type { TopicWriter, TopicFollower } from "@rackspan/state";

const REACHABILITY = {
  /**
   * An entry counts as cut off when a write is unanswered for this long and the store
   * has answered nothing else meanwhile; a store that is only slow answers other calls.
   * Milliseconds: twice the timeout of a writer's first attempt.
   */
  writeTimeoutMs: 600,
  /**
   * An entry also counts as cut off when the store has answered nothing at all for this
   * long, milliseconds: a poll without new records is answered after 1.5 s, and the
   * answer may be late by the same time.
   */
  idleTimeoutMs: 3_000,
} as const;

export interface StoreReachabilityOptions {
  readonly followers: readonly TopicFollower[];
  readonly writers: readonly TopicWriter[];
  readonly clock: Clock;
  /** Whether reachability is checked; if not, the store always counts as reachable. */
  readonly enabled: boolean;
}

export class StoreReachability {
  constructor(private readonly options: StoreReachabilityOptions) {}

  get isReachable(): boolean {
    const { followers, enabled } = this.options;
    if (!enabled) return true;
    if (followers.every(({ failing }) => failing)) return false;
    return !this.isUnresponsive();
  }

  private isUnresponsive(): boolean {
    const { followers, writers, clock } = this.options;
    const now = clock.monotonic();
    const lastAnswerAt = Math.max(
      ...followers.map((each) => each.lastAnswerAt),
    );
    if (now - lastAnswerAt > REACHABILITY.idleTimeoutMs) return true;
    return writers.some(({ inFlightSince }) => {
      if (inFlightSince === undefined || lastAnswerAt > inFlightSince)
        return false;
      return now - inFlightSince > REACHABILITY.writeTimeoutMs;
    });
  }
}
