/** Foretells the tails of serving tasks on a host by what was learnt of the images. */

import type { HostLedger, InterferenceBook } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";

/** Logarithms of the share of its target that a tail takes. */
export const TAIL_BOUNDS = {
  /** Up to which a tail is let grow (0.85). */
  limit: -0.16,
  /** What adds less than this to a tail disturbs nobody. */
  negligible: 0.02,
} as const;

export class TailForecast {
  constructor(private readonly interference: InterferenceBook) {}

  /** By how much the tail of a serving task placed there would pass the limit. */
  excess(host: HostLedger, image: ImageName): number {
    const tail = this.interference.predict(image, host.fillingCores);
    return Math.max(0, tail - TAIL_BOUNDS.limit);
  }

  /**
   * The most that a filling task of so many cores adds to a tail there.
   *
   * @returns undefined when a tail would pass the limit
   */
  mostAdded(
    host: HostLedger,
    filling: ImageName,
    cores: number,
  ): number | undefined {
    let most = 0;
    for (const serving of host.servingImages) {
      const added = this.interference.weight(serving, filling) * cores;
      if (added > TAIL_BOUNDS.negligible) {
        const tail = this.atFullPace(host, serving) + added;
        if (tail > TAIL_BOUNDS.limit) return undefined;
      }
      most = Math.max(most, added);
    }
    return most;
  }

  /**
   * Logarithm of the tail once all that was placed there runs at full pace: what
   * was read last, and what tasks add that got less than they ask for by then.
   */
  private atFullPace(host: HostLedger, serving: ImageName): number {
    const { tails, usedCores } = host.readings;
    const read = tails.get(serving);
    if (read === undefined) {
      return this.interference.predict(serving, host.fillingCores);
    }
    let tail = read;
    for (const [image, asked] of host.fillingCores) {
      const unused = Math.max(0, asked - (usedCores.get(image) ?? 0));
      tail += this.interference.weight(serving, image) * unused;
    }
    return tail;
  }
}
