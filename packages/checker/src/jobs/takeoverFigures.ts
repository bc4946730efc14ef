/**
 * Measures how soon known tasks run again after a power loss from which some hosts do not
 * come back, or after the loss of a leader beside hosts that are cut off and run on.
 */

import type { JobTaskId, Monotonic } from "@rackspan/common";
import { taskIdAt } from "@rackspan/state";
import { JobWorld } from "./JobWorld.js";
import type { JobViolation, ObservedRun } from "./RunHistory.js";
import { between } from "./scheduleEvents.js";

const SCENARIO = {
  /** Jobs and their tasks; the remaining hosts have capacity for all of them. */
  lastingJobs: 6,
  plainJobs: 20,
  tasksPerJob: 3,
  milliCores: 40,
  /** Time until all sides have reported to the first leader, milliseconds. */
  joinMs: 3_000,
  /** Time for which the tasks run before the loss, milliseconds. */
  workMs: { least: 2_000, most: 4_000 },
  /** Estimate of plain tasks; most of them run at the time of the loss, milliseconds. */
  estimateMs: 8_000,
  /** Time until the processes that come back are back, milliseconds. */
  downMs: 1_000,
  /** Jobs that are accepted just before the loss, so that no task of them was started. */
  newJobs: 4,
  /** Time after which all leases of the missing hosts have expired, milliseconds. */
  recoverMs: 16_000,
  /** Known tasks should start within this time of the leader being ready, milliseconds. */
  promptMs: 2_000,
} as const;

/** What ends the leader. */
export type TakeoverCause = "power-loss" | "cut-off-hosts";

export interface TakeoverScenario {
  readonly seed: number;
  readonly cause: TakeoverCause;
  readonly lostHosts: number;
  readonly recordsPlacements: boolean;
}

export interface TakeoverFigures {
  /** Tasks that were known to the new leader and ran nowhere when it was ready. */
  readonly knownTasks: number;
  /** Those of them that started within 2 s of the leader being ready. */
  readonly startedPromptly: number;
  /** Longest time without a run of any lasting task, milliseconds. */
  readonly longestLastingGapMs: number;
  /** The same for tasks whose last host came back. */
  readonly longestGapElsewhereMs: number;
  readonly violations: readonly JobViolation[];
}

export const measureTakeover = async (
  scenario: TakeoverScenario,
): Promise<TakeoverFigures> => {
  const { seed, cause, lostHosts, recordsPlacements } = scenario;
  const world = new JobWorld({
    seed,
    closesPreviousLinks: true,
    unattendedLeaseMs: Infinity,
    deliversMessagesBeforeTimers: true,
    failShare: 0,
    maxAttempts: 3,
    placementMode: () => (recordsPlacements ? "on" : "off"),
  });
  const { clock, random, leaders } = world;
  await clock.advance(SCENARIO.joinMs);
  const tasks = submitJobs(world, SCENARIO.lastingJobs, true);
  tasks.push(...submitJobs(world, SCENARIO.plainJobs, false));
  const { least, most } = SCENARIO.workMs;
  await clock.advance(between(random, least, most));
  const missing = world.hosts.slice(0, lostHosts).map(({ host }) => host);
  tasks.push(...submitJobs(world, SCENARIO.newJobs, false));
  if (cause === "power-loss") {
    world.losePowerAndHosts(lostHosts, SCENARIO.downMs);
  } else {
    for (const host of world.hosts.slice(0, lostHosts)) host.isCut = true;
    leaders.kill();
  }
  const previous = leaders.latest;
  while (leaders.latest === previous || leaders.latest?.readyAt === undefined)
    await clock.advance(5);
  const readyAt = clock.monotonic();
  const isWaiting = (task: JobTaskId): boolean =>
    world.history
      .runsOf(task)
      .every((run) => run.endedAt !== undefined && run.outcome !== "done");
  const known = tasks.filter(isWaiting);
  await clock.advance(SCENARIO.recoverMs);
  const lasting = tasks.filter((task) => world.jobs.isLastingTask(task));
  const gaps = lasting.map((task) => ({
    gapMs: longestGap(world.history.runsOf(task), clock.monotonic()),
    wasElsewhere: world.history
      .runsOf(task)
      .every((run) => !missing.includes(run.host)),
  }));
  const longestOf = (some: typeof gaps): number =>
    Math.max(0, ...some.map(({ gapMs }) => gapMs));
  return {
    knownTasks: known.length,
    startedPromptly: known.filter((task) =>
      world.history
        .runsOf(task)
        .some(
          ({ beganAt }) =>
            beganAt >= readyAt && beganAt - readyAt <= SCENARIO.promptMs,
        ),
    ).length,
    longestLastingGapMs: longestOf(gaps),
    longestGapElsewhereMs: longestOf(gaps.filter((one) => one.wasElsewhere)),
    violations: world.history.violations,
  };
};

const submitJobs = (
  world: JobWorld,
  count: number,
  lasting: boolean,
): JobTaskId[] => {
  const { tasksPerJob: taskCount, milliCores, estimateMs } = SCENARIO;
  const demand = { memoryMiB: 100, accelerators: 0, milliCores };
  return Array.from({ length: count }, () => {
    const { id } = world.submit([{ taskCount, demand, lasting, estimateMs }]);
    return Array.from({ length: taskCount }, (_, index) =>
      taskIdAt({ job: id, occurrence: 0, step: 0, index }),
    );
  }).flat();
};

/** Longest time between two runs, or after the last one. */
const longestGap = (runs: readonly ObservedRun[], now: Monotonic): number => {
  const inOrder = [...runs].sort((a, b) => a.beganAt - b.beganAt);
  const gaps = inOrder.map(({ endedAt }, index) => {
    const nextAt = inOrder[index + 1]?.beganAt ?? now;
    return nextAt - (endedAt ?? nextAt);
  });
  return Math.max(0, ...gaps);
};
