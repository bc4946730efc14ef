/**
 * Tells whether this entry reaches the store. One that is cut off can keep no
 * job: callers are better served by another entry, and the platform sends them
 * there while this one does not say that it is ready.
 */

import type { Clock } from "@rackspan/common";
import type { TopicWriter, TopicFollower } from "@rackspan/state";

const REACH = {
  /**
   * A write without an answer for this long, while nothing else is heard of the
   * store, shows a cut; a store that is merely slow answers other calls.
   * Milliseconds: twice the time of a writer's first try.
   */
  silentWriteMs: 600,
  /**
   * Nothing heard at all for this long shows one too, milliseconds: a poll
   * that has no news is answered after 1.5 s, and may be late by as much.
   */
  silentMs: 3_000,
} as const;

export interface StoreReachabilityOptions {
  readonly followers: readonly TopicFollower[];
  readonly writers: readonly TopicWriter[];
  readonly clock: Clock;
  /** Whether a cut is looked for at all. */
  readonly enabled: boolean;
}

export class StoreReachability {
  constructor(private readonly options: StoreReachabilityOptions) {}

  get isReachable(): boolean {
    const { followers, enabled: watches } = this.options;
    if (!watches) return true;
    if (followers.every(({ failing }) => failing)) return false;
    return !this.isSilent();
  }

  private isSilent(): boolean {
    const { followers, writers, clock } = this.options;
    const now = clock.monotonic();
    const heardAt = Math.max(...followers.map((each) => each.lastAnswerAt));
    if (now - heardAt > REACH.silentMs) return true;
    return writers.some(({ inFlightSince: sendingSince }) => {
      if (sendingSince === undefined || heardAt > sendingSince) return false;
      return now - sendingSince > REACH.silentWriteMs;
    });
  }
}
