/** The plug-in point for placement, and what all placers share. */

import { firstShortage, Registry, type Random } from "@rackspan/common";
import type { HostView, Placer } from "@rackspan/jobs";
import type { Unit } from "@rackspan/state";

export interface PlacerOptions {
  readonly random: Random;
}

export const placers = new Registry<PlacerOptions, Placer>("placer");

/** Hosts that take new work and have room for the unit by what is known here. */
export const hostsWithCapacity = (
  { spec }: Unit,
  hosts: readonly HostView[],
): readonly HostView[] =>
  hosts.filter(
    ({ ready, leaving, free }) =>
      ready && !leaving && firstShortage(spec.resources, free) === undefined,
  );

/** The lowest score first; equal scores keep their order. */
export const sortByScore = (
  hosts: readonly HostView[],
  score: (host: HostView) => number,
): readonly HostView[] =>
  hosts
    .map((host) => ({ host, score: score(host) }))
    .sort((a, b) => a.score - b.score)
    .map(({ host }) => host);

/** Share of the host that is free, by its scarcest amount, in [0, 1]. */
export const freeShare = ({ free, capacity }: HostView): number => {
  const processors = free.processors / Math.max(1, capacity.processors);
  const memory = free.memoryMiB / Math.max(1, capacity.memoryMiB);
  return Math.min(processors, memory);
};
