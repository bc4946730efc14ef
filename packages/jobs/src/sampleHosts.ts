/**
 * Samples hosts at random, so that the cost of placing a unit does not grow with the
 * number of hosts. The emptiest of a few dozen random hosts is nearly as empty as the
 * emptiest of all.
 */

import { pickIndex, type HostId, type Random } from "@rackspan/common";
import type { HostDirectory, HostView } from "./types.js";

/** Up to this number of hosts no sample is taken and all hosts are considered. */
export const SAMPLE_SIZE = 32;

export const sampleHosts = (
  directory: HostDirectory,
  random: Random,
): readonly HostView[] => {
  const names = directory.names();
  if (names.length <= SAMPLE_SIZE) return directory.views();
  const chosen = new Set<HostId>();
  while (chosen.size < SAMPLE_SIZE) {
    chosen.add(names[pickIndex(random, names.length)] as HostId);
  }
  return [...chosen].flatMap((host) => directory.view(host) ?? []);
};
