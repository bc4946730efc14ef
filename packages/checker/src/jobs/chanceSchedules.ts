/**
 * Random schedules of tasks that crash nothing, on workers that end by chance, about one a
 * second: how often a job is given up, and how often without cause.
 */

import { pickIndex, type SeededRandom } from "@rackspan/common";
import { JobWorld } from "./JobWorld.js";
import type { JobViolation } from "./RunHistory.js";
import { between } from "./scheduleEvents.js";

const SCHEDULE = {
  /** Work comes, and workers end, for this long, milliseconds. */
  troubledMs: 60_000,
  /** Between two jobs, at the most; milliseconds. */
  maxPauseMs: 250,
  /** Between two workers that end, milliseconds. */
  endsEveryMs: { least: 600, most: 1_400 },
  /** A worker is back after this, milliseconds. */
  backMs: 2_000,
  /** Between two workers that get short of processor time, milliseconds. */
  slowEveryMs: 250,
  /** How long a look at such a worker waits, at the most, and for how long it is so. */
  slow: { mostMs: 200, forMs: 1_000 },
  /** All work is done this long after. */
  finishMs: 60_000,
} as const;

/** Jobs are given up with cause once workers have ended under so many runs of one task. */
const CRASHES_TO_FAIL = 2;

export interface ChanceOutcome {
  readonly jobs: number;
  /** Jobs that are shown as failed. */
  readonly givenUp: number;
  /** Those under whose tasks fewer workers have ended than the rules ask for. */
  readonly withoutCause: number;
  readonly violations: readonly JobViolation[];
}

/** Plays one seed to its rest. */
export const runChanceSchedule = async (
  seed: number,
): Promise<ChanceOutcome> => {
  const world = new JobWorld({
    seed,
    closesPreviousLinks: true,
    unattendedLeaseMs: Infinity,
    deliversMessagesBeforeTimers: true,
    failShare: 0,
    maxAttempts: 3,
  });
  const { clock, random, history } = world;
  await clock.advance(2_000);
  const endAt = clock.monotonic() + SCHEDULE.troubledMs;
  const repeat = (act: () => void, nextMs: () => number): void => {
    if (clock.monotonic() >= endAt) return;
    act();
    clock.after(nextMs(), () => repeat(act, nextMs));
  };
  repeat(
    () => world.crashAndRestartWorker(SCHEDULE.backMs),
    () =>
      between(random, SCHEDULE.endsEveryMs.least, SCHEDULE.endsEveryMs.most),
  );
  repeat(
    () => world.slowWorker(SCHEDULE.slow.mostMs, SCHEDULE.slow.forMs),
    () => SCHEDULE.slowEveryMs,
  );
  repeat(
    () => submitHarmlessJob(world, random),
    () => random.next() * SCHEDULE.maxPauseMs,
  );
  await clock.advance(SCHEDULE.troubledMs + SCHEDULE.finishMs);
  for (const id of world.jobs.wanted) {
    if (!world.jobs.hasEnded(id))
      history.add("not-finished", clock.monotonic(), id);
  }
  world.checkEnds();
  const givenUp = world.jobs.wanted.filter((id) => world.jobs.hasFailed(id));
  const withoutCause = givenUp.filter(
    (id) => history.mostCrashes(id) < CRASHES_TO_FAIL,
  );
  for (const id of withoutCause) {
    history.add("given-up", clock.monotonic(), id);
  }
  return {
    jobs: world.jobs.wanted.length,
    givenUp: givenUp.length,
    withoutCause: withoutCause.length,
    violations: history.violations,
  };
};

export const addChance = (
  a: ChanceOutcome,
  b: ChanceOutcome,
): ChanceOutcome => ({
  jobs: a.jobs + b.jobs,
  givenUp: a.givenUp + b.givenUp,
  withoutCause: a.withoutCause + b.withoutCause,
  violations: [...a.violations, ...b.violations],
});

const submitHarmlessJob = (world: JobWorld, random: SeededRandom): void => {
  const milliCores = 250 * (1 + pickIndex(random, 3));
  const demand = { memoryMiB: 100, accelerators: 0, milliCores };
  const estimateMs = between(random, 200, 1_500);
  world.submit([{ taskCount: 1 + pickIndex(random, 3), estimateMs, demand }]);
};
