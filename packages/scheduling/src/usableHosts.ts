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

/** Hosts of one service that may take tasks now. */
export interface ServiceHosts {
  /** For all tasks; the ejected ones where the service has no other. */
  readonly inService: readonly HostLedger[];
  /** Those that failed tasks of late. */
  readonly ejected: readonly HostLedger[];
}

export const NO_HOSTS: ServiceHosts = { inService: [], ejected: [] };

/** By service. */
export const usableHosts = ({
  entries,
  ejector,
  now,
  isEvacuated,
}: UsableHostsOptions): ReadonlyMap<string, ServiceHosts> => {
  const usable = [...entries]
    .filter((entry) => closedReason(entry, now) === undefined)
    .filter(({ ledger }) => !isEvacuated(ledger.availabilityZone))
    .map(({ ledger }) => ledger);
  const byService = groupBy(usable, ({ worker }) => worker.service as string);
  return new Map(
    [...byService].map(([service, hosts]) => [service, split(hosts, ejector)]),
  );
};

const split = (
  hosts: readonly HostLedger[],
  ejector: OutlierEjector,
): ServiceHosts => {
  const ejected = hosts.filter(({ host }) => ejector.isEjected(host));
  if (ejected.length === hosts.length) return { inService: hosts, ejected: [] };
  const inService = hosts.filter(({ host }) => !ejector.isEjected(host));
  return { inService, ejected };
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
