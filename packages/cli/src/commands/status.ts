/** `rackspan status`: shows entries, hosts, units and refusals. */

import { sleep, SystemClock } from "@rackspan/common";
import type { OperatorStatus } from "@rackspan/entry";
import { EXIT_CODE } from "../exitCodes.js";
import { formatTable } from "../Output.js";
import { registerCommand } from "./registry.js";

interface StatusOptions {
  readonly json?: boolean;
  readonly watch?: boolean;
}

const WATCH_MS = 1_000;

const hostState = ({
  ready,
  leaving,
}: {
  ready: boolean;
  leaving: boolean;
}): string => {
  if (leaving) return "leaving";
  return ready ? "ready" : "starting";
};

const hostRows = (status: OperatorStatus): string[][] =>
  status.hosts.map((host) => [
    host.host,
    host.availabilityZone,
    host.rack,
    hostState(host),
    String(host.tasks),
    `${host.free.processors}/${host.capacity.processors}`,
    `${host.free.memoryMiB}/${host.capacity.memoryMiB}`,
    `${host.free.accelerators}/${host.capacity.accelerators}`,
  ]);

const entryRows = (status: OperatorStatus): string[][] => {
  const all = [{ host: status.entry, status }, ...status.peers];
  return all.map(({ host, status: entry }) =>
    entry
      ? [
          host,
          entry.ready ? "ready" : "not ready",
          String(entry.configVersion),
          String(entry.logPosition),
          String(entry.appendsQueued),
        ]
      : [host, "no answer", "-", "-", "-"],
  );
};

/** Formats the status as tables. */
export const formatStatus = (status: OperatorStatus): string => {
  const { open, claimed, finished } = status.units;
  const parts = [
    formatTable([
      ["ENTRY", "STATE", "CONFIG", "LOG", "APPENDS QUEUED"],
      ...entryRows(status),
    ]),
    formatTable([
      [
        "HOST",
        "ZONE",
        "RACK",
        "STATE",
        "TASKS",
        "FREE CPU",
        "FREE MIB",
        "FREE ACC",
      ],
      ...hostRows(status),
    ]),
    `units: ${open} open, ${claimed} claimed; jobs finished: ${finished}`,
  ];
  if (status.refusals.length > 0) {
    const rows = status.refusals.map(({ reason, outcome, count }) => [
      reason,
      outcome,
      String(count),
    ]);
    parts.push(formatTable([["REFUSED", "OUTCOME", "COUNT"], ...rows]));
  }
  return parts.join("\n\n");
};

registerCommand<StatusOptions>({
  name: "status",
  summary: "show entries, hosts, units and refusals",
  define: (command) => {
    command
      .option("--json", "print JSON")
      .option("--watch", "refresh every second");
  },
  perform: async ({ client, output, stop }, _args, { json, watch }) => {
    const clock = new SystemClock({ keepsProcessAlive: true });
    for (;;) {
      const status = await client.call("status", {});
      output.line(json ? JSON.stringify(status) : formatStatus(status));
      if (!watch || stop.aborted) return EXIT_CODE.OK;
      await sleep(clock, WATCH_MS, stop).catch(() => undefined);
      if (stop.aborted) return EXIT_CODE.OK;
    }
  },
});
