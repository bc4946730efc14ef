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
    .filter((entry) => closedReason(entry, now) === undefined)
    .filter(({ ledger }) => !isEvacuated(ledger.availabilityZone))
    .map(({ ledger }) => ledger);
  const healthy = usable.filter(({ host }) => !ejector.isEjected(host));
  return groupBy(
    healthy.length > 0 ? healthy : usable,
    ({ worker }) => worker.service as string,
  );
};

/** Why a host takes no new tasks, by its own state. */
export type ClosedReason =
  | "detached"
  | "not-rostered"
  | "draining"
  | "unknown-run"
  | "holds-suspect"
  | "not-reported"
  | "refused-a-start"
  | "quiet";

/** @returns undefined for a host that takes tasks, by its own state */
export const closedReason = (
  { ledger, session, rostered }: HostEntry,
  now: Monotonic,
): ClosedReason | undefined => {
  if (!session) return "detached";
  if (!rostered) return "not-rostered";
  if (ledger.worker.draining) return "draining";
  if (ledger.mayBeFull) return "unknown-run";
  if (ledger.holdsApart) return "holds-suspect";
  if (ledger.reportedAt === undefined) return "not-reported";
  if (now < ledger.pausedUntil) return "refused-a-start";
  return now - ledger.heardAt < ENGINE.quietMs ? undefined : "quiet";
};
