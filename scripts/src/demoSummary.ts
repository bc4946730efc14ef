/** Summarizes the results of the demo as text and as JSON. */

import type { Site } from "@rackspan/harness";
import type { DemoLoad } from "./demoLoad.js";
import type { Scenario } from "./scenarios.js";

export interface DemoSummary {
  readonly event: "summary";
  readonly example: string;
  readonly requestsSent: number;
  readonly requestsAnswered: number;
  readonly requestsBroken: number;
  readonly requestsRefused: Readonly<Record<string, number>>;
  readonly keysUsed: number;
  readonly keysReplayed: number;
  /** Keys whose request was executed more than once. */
  readonly keysRunTwice: number;
  readonly jobsSubmitted: number;
  readonly jobsDone: number;
  readonly jobsCancelled: number;
  readonly jobsRefused: number;
  readonly jobsRunTwice: number;
  readonly jobsLost: number;
  /** How often two tasks of one unit ran at the same time. */
  readonly overlaps: number;
  readonly standingWorkersRestarted: number;
  readonly watches: number;
  /** Watches that continued from another endpoint, on the same or a new connection. */
  readonly watchesMoved: number;
  readonly watchesReconnected: number;
  /** Watches that lost or repeated an event. */
  readonly watchesBroken: number;
  readonly quickP50Ms: number;
  readonly quickP99Ms: number;
}

const sumRefused = (
  tallies: readonly Readonly<Record<string, number>>[],
): Readonly<Record<string, number>> => {
  const sum: Record<string, number> = {};
  for (const tally of tallies) {
    for (const [reason, count] of Object.entries(tally)) {
      sum[reason] = (sum[reason] ?? 0) + count;
    }
  }
  return sum;
};

export const summarize = (
  site: Site,
  load: DemoLoad,
  scenario: Scenario,
): DemoSummary => {
  const { tasks, requests } = site.platform;
  const [entry] = site.entries.values();
  const jobs = (entry?.fold.units.finishedUnits() ?? []).filter(({ id }) =>
    id.includes("-demo-"),
  );
  const done = jobs.filter(({ finish }) => finish === "succeeded");
  const cancelled = jobs.filter(({ finish }) => finish === "cancelled");
  const runTwice = [...tasks.successCounts()].filter(([, count]) => count > 1);
  const { quick, once, replays } = load;
  const all = [quick, once, replays];
  const quickLatency = entry?.metrics.latency(latencyName(scenario));
  return {
    event: "summary",
    example: scenario.example,
    requestsSent: all.reduce((sum, { sent }) => sum + sent, 0),
    requestsAnswered: all.reduce((sum, { answered }) => sum + answered, 0),
    requestsBroken: all.reduce((sum, { broken }) => sum + broken, 0),
    requestsRefused: sumRefused(all.map(({ refused }) => refused)),
    keysUsed: load.keys.length,
    keysReplayed: replays.answered,
    keysRunTwice: load.keys.filter((key) => requests.runCountOfKey(key) > 1)
      .length,
    jobsSubmitted: load.jobsSubmitted,
    jobsDone: done.length,
    jobsCancelled: cancelled.length,
    jobsRefused: load.jobsRefused,
    jobsRunTwice: runTwice.length,
    jobsLost: load.jobsSubmitted - done.length - cancelled.length,
    overlaps: tasks.overlaps,
    standingWorkersRestarted: tasks.entries.filter(
      ({ unit, end }) =>
        unit.startsWith(scenario.workerPrefix) && end === "failed",
    ).length,
    watches: load.watches.length,
    watchesMoved: load.watches.filter(({ endpoints }) => endpoints.size > 1)
      .length,
    watchesReconnected: load.watches.filter(({ reconnects }) => reconnects > 0)
      .length,
    watchesBroken: load.watches.filter(
      (watch) => watch.ids.length === 0 || !watch.isGapless,
    ).length,
    quickP50Ms: quickLatency?.quantile(0.5) ?? 0,
    quickP99Ms: quickLatency?.quantile(0.99) ?? 0,
  };
};

const latencyName = ({ example }: Scenario): string =>
  example === "kaigi" ? "request_check" : "request_query";

/** Returns the violated expectations of the demo; empty if it succeeded. */
export const findFaults = (summary: DemoSummary): readonly string[] => {
  const faults: string[] = [];
  const expectNone = (what: string, count: number): void => {
    if (count > 0) faults.push(`${what}: ${count}`);
  };
  expectNone("requests broken", summary.requestsBroken);
  expectNone("keys run twice", summary.keysRunTwice);
  expectNone("keys not replayed", summary.keysUsed - summary.keysReplayed);
  expectNone("jobs run twice", summary.jobsRunTwice);
  expectNone("jobs lost", summary.jobsLost);
  expectNone("tasks of one unit at once", summary.overlaps);
  expectNone("watches broken", summary.watchesBroken);
  expectNone("impossible jobs taken", 1 - summary.jobsRefused);
  expectNone(
    "standing workers not restarted",
    summary.standingWorkersRestarted >= 3 ? 0 : 1,
  );
  return faults;
};

export const formatSummary = (summary: DemoSummary): string => {
  const refused = Object.entries(summary.requestsRefused)
    .map(([reason, count]) => `${reason}: ${count}`)
    .join(", ");
  const rows: readonly (readonly [string, string])[] = [
    ["requests sent", String(summary.requestsSent)],
    ["  answered", String(summary.requestsAnswered)],
    ["  refused", refused || "none"],
    ["  broken", String(summary.requestsBroken)],
    [
      "quick requests, p50 / p99",
      `${summary.quickP50Ms} / ${summary.quickP99Ms} ms`,
    ],
    [
      "keys used / replayed / run twice",
      `${summary.keysUsed} / ${summary.keysReplayed} / ${summary.keysRunTwice}`,
    ],
    ["jobs submitted", String(summary.jobsSubmitted)],
    ["  done / cancelled", `${summary.jobsDone} / ${summary.jobsCancelled}`],
    ["  run twice / lost", `${summary.jobsRunTwice} / ${summary.jobsLost}`],
    ["  refused as impossible", String(summary.jobsRefused)],
    ["standing workers restarted", String(summary.standingWorkersRestarted)],
    [
      "watches open / moved / reconnected / broken",
      `${summary.watches} / ${summary.watchesMoved} / ${summary.watchesReconnected} / ${summary.watchesBroken}`,
    ],
  ];
  const width = Math.max(...rows.map(([name]) => name.length));
  return rows
    .map(([name, value]) => `${name.padEnd(width)}  ${value}`)
    .join("\n");
};
