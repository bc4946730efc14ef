/** Shows an operator what a joint assignment of filling tasks decided. */

import type { Monotonic } from "@rackspan/common";
import type { HostState, JobTask } from "@rackspan/jobs";
import type { EngineOptions } from "./engineTypes.js";
import type { FillingPlacement } from "./taskPlacers.js";

export interface FillingAssignmentReport {
  readonly tasks: readonly JobTask[];
  readonly hosts: readonly HostState[];
  readonly placements: readonly FillingPlacement[];
  /** When the scheduling cycle read the state of the hosts. */
  readonly now: Monotonic;
}

/** Logs nothing if no task got a host, as most cycles under load place none. */
export const reportFillingAssignment = (
  { clock, logger, metrics }: EngineOptions,
  { tasks, hosts, placements, now }: FillingAssignmentReport,
): void => {
  metrics.latency("filling_assignment").record(clock.monotonic() - now);
  const { length: assigned } = placements;
  const left = tasks.length - assigned;
  metrics.gauge("filling_waiting", left);
  if (assigned === 0) return;
  const oldest = hosts.reduce(
    (at, { reportReceivedAt }) => Math.min(at, reportReceivedAt),
    now,
  );
  const used = new Set(placements.map(({ host }) => host));
  const beside = placements.filter(
    ({ host }) => host.allocated.servingMilliCores > 0,
  );
  const { length: count } = beside;
  metrics.count("filling_assigned", { beside: "serving" }, count);
  metrics.count("filling_assigned", { beside: "none" }, assigned - count);
  logger.info("filling.assigned", {
    assigned,
    waits: left,
    steps: new Set(tasks.map(({ step }) => step)).size,
    hosts: used.size,
    besideServing: count,
    reportAge: Math.round(now - oldest),
  });
};
