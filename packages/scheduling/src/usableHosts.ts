/** Tells on which hosts a pass may start tasks. */

import {
  groupBy,
  type AvailabilityZone,
  type Monotonic,
} from "@rackspan/common";
import type { HostLedger } from "@rackspan/jobs";
import type { OutlierEjector } from "@rackspan/routing";
import { ENGINE, type HostEntry } from "./engineTypes.js";

export interface UsableHostsOptions {
  readonly entries: Iterable<HostEntry>;
  readonly ejector: OutlierEjector;
  readonly now: Monotonic;
  /** See EngineOptions. */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
}

/** By service; hosts that failed of late only where no other is left at all. */
export const usableHosts = ({
  entries,
  ejector,
  now,
  isEvacuated,
}: UsableHostsOptions): ReadonlyMap<string, readonly HostLedger[]> => {
  const usable = [...entries]
    .filter((entry) => isUsable(entry, now))
    .filter(({ ledger }) => !isEvacuated(ledger.availabilityZone))
    .map(({ ledger }) => ledger);
  const healthy = usable.filter(({ host }) => !ejector.isEjected(host));
  return groupBy(
    healthy.length > 0 ? healthy : usable,
    ({ worker }) => worker.service as string,
  );
};

const isUsable = (
  { ledger, session, rostered }: HostEntry,
  now: Monotonic,
): boolean => {
  if (!session || !rostered || ledger.worker.draining) return false;
  if (ledger.mayBeFull || ledger.holdsApart) return false;
  if (ledger.reportedAt === undefined) return false;
  return now >= ledger.pausedUntil && now - ledger.heardAt < ENGINE.quietMs;
};
