/** The plug-in point for the placement of units, and helpers for all placers. */

import { firstShortage, Registry, type Random } from "@rackspan/common";
import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";

export interface PlacerOptions {
  readonly random: Random;
}

export const placers = new Registry<PlacerOptions, Placer>("placer");

/**
 * Returns the hosts that accept new work and have free resources for the unit, as far
 * as this process has recorded.
 */
export const hostsWithCapacity = (
  { spec }: Unit,
  hosts: readonly HostView[],
): readonly HostView[] =>
  hosts.filter(
    ({ ready, leaving, free }) =>
      ready && !leaving && firstShortage(spec.resources, free) === undefined,
  );

/** Sorts by score in ascending order. The sort is stable. */
export const sortByScore = (
  hosts: readonly HostView[],
  score: (host: HostView) => number,
): readonly HostView[] =>
  hosts
    .map((host) => ({ host, score: score(host) }))
    .sort((a, b) => a.score - b.score)
    .map(({ host }) => host);

/** Returns the free share of the host's scarcest resource, in [0, 1]. */
export const freeShare = ({ free, capacity }: HostView): number => {
  const processors = free.processors / Math.max(1, capacity.processors);
  const memory = free.memoryMiB / Math.max(1, capacity.memoryMiB);
  return Math.min(processors, memory);
};
