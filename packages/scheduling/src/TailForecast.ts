/** Foretells the tails of serving tasks on a host by what was learnt of the images. */

import type { HostLedger, InterferenceBook } from "@rackspan/jobs";
import type { ImageName } from "@rackspan/state";

/** What adds less than this to the logarithm of a tail disturbs nobody. */
const NEGLIGIBLE = 0.02;

export interface TailForecastOptions {
  readonly interference: InterferenceBook;
  /** Share of its target up to which a tail is let grow. */
  readonly limit: number;
}

export class TailForecast {
  private readonly interference: InterferenceBook;
  /** Logarithm of the share of its target. */
  private readonly limit: number;

  constructor({ interference, limit }: TailForecastOptions) {
    this.interference = interference;
    this.limit = Math.log(limit);
  }

  /** By how much the tail of a serving task placed there would pass the limit. */
  excess(host: HostLedger, image: ImageName): number {
    const tail = this.interference.predict(image, host.fillingCores);
    return Math.max(0, tail - this.limit);
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
      if (added > NEGLIGIBLE) {
        const tail = this.atFullPace(host, serving) + added;
        if (tail > this.limit) return undefined;
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
