/** Selects the hosts on which a scheduling cycle may start tasks. */

import {
  groupBy,
  type AvailabilityZone,
  type Monotonic,
} from "@rackspan/common";
import type { ActiveRun, HostState } from "@rackspan/jobs";
import type { OutlierEjector } from "@rackspan/routing";
import { ENGINE, type HostEntry } from "./engineTypes.js";

/** Inputs of the host rules beside the host itself. */
export interface HostRuleContext {
  readonly now: Monotonic;
  /** See EngineOptions. */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
}

interface HostRule {
  readonly reason: string;
  readonly closes: (entry: HostEntry, context: HostRuleContext) => boolean;
}

/**
 * Rules that close a host to all new tasks. The first that applies is the reported
 * reason.
 */
const HOST_RULES = [
  { reason: "detached", closes: ({ session }) => !session },
  { reason: "not-rostered", closes: ({ rostered }) => !rostered },
  { reason: "draining", closes: ({ hostState }) => hostState.worker.draining },
  { reason: "unknown-run", closes: ({ hostState }) => hostState.mayBeFull },
  {
    reason: "holds-suspect",
    closes: ({ hostState }) => hostState.hasIsolatedRun,
  },
  {
    reason: "not-reported",
    closes: ({ hostState }) => hostState.reportedAt === undefined,
  },
  {
    reason: "refused-a-start",
    closes: ({ hostState }, { now }) => now < hostState.pausedUntil,
  },
  {
    reason: "quiet",
    closes: ({ hostState }, { now }) =>
      now - hostState.reportReceivedAt >= ENGINE.quietMs,
  },
  {
    reason: "evacuated",
    closes: ({ hostState }, { isEvacuated }) =>
      isEvacuated(hostState.availabilityZone),
  },
] as const satisfies readonly HostRule[];

/** Why a host accepts no new tasks. */
export type ClosedReason = (typeof HOST_RULES)[number]["reason"];

/** @returns undefined for a host that accepts tasks */
export const closedReason = (
  entry: HostEntry,
  context: HostRuleContext,
): ClosedReason | undefined =>
  HOST_RULES.find(({ closes }) => closes(entry, context))?.reason;

/**
 * Rules that concern the start of further tasks only: they do not keep back an order whose
 * task was placed before.
 */
const RULES_FOR_PLACING: readonly ClosedReason[] = [
  "unknown-run",
  "holds-suspect",
  "not-reported",
];

/** @returns why no order may be sent to the host for a run that is placed there */
export const orderBlockedReason = (
  entry: HostEntry,
  run: ActiveRun,
  context: HostRuleContext,
): ClosedReason | undefined => {
  // The host was reserved for a suspect task after the run was placed.
  if (entry.hostState.hasIsolatedRunBeside(run)) return "holds-suspect";
  return HOST_RULES.find(
    ({ reason, closes }) =>
      !RULES_FOR_PLACING.includes(reason) && closes(entry, context),
  )?.reason;
};

export interface UsableHostsOptions extends HostRuleContext {
  readonly entries: Iterable<HostEntry>;
  readonly ejector: OutlierEjector;
}

/** Hosts of one service that accept tasks now. */
export interface ServiceHosts {
  /** Hosts for all tasks; includes the ejected ones if the service has no others. */
  readonly inService: readonly HostState[];
  /** Hosts on which tasks failed recently. */
  readonly ejected: readonly HostState[];
}

export const NO_HOSTS: ServiceHosts = { inService: [], ejected: [] };

/** Returns the usable hosts by service. */
export const usableHosts = ({
  entries,
  ejector,
  ...context
}: UsableHostsOptions): ReadonlyMap<string, ServiceHosts> => {
  const usable = [...entries]
    .filter((entry) => closedReason(entry, context) === undefined)
    .map(({ hostState }) => hostState);
  const byService = groupBy(usable, ({ worker }) => worker.service as string);
  return new Map(
    [...byService].map(([service, hosts]) => [
      service,
      splitByEjection(hosts, ejector),
    ]),
  );
};

const splitByEjection = (
  hosts: readonly HostState[],
  ejector: OutlierEjector,
): ServiceHosts => {
  const ejected = hosts.filter(({ host }) => ejector.isEjected(host));
  if (ejected.length === hosts.length) return { inService: hosts, ejected: [] };
  const inService = hosts.filter(({ host }) => !ejector.isEjected(host));
  return { inService, ejected };
};
