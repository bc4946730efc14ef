/**
 * Random schedules of tasks that crash no worker, on workers that crash at random, about one
 * per second. They count the jobs that fail permanently, and those that do so without cause.
 */

import { pickIndex, type SeededRandom } from "@rackspan/common";
import { JobWorld } from "./JobWorld.js";
import type { JobViolation } from "./RunHistory.js";
import { between } from "./scheduleEvents.js";

const SCHEDULE = {
  /** Duration of the phase with new jobs and crashes, milliseconds. */
  faultsMs: 60_000,
  /** Maximum time between two jobs, milliseconds. */
  maxPauseMs: 250,
  /** Time between two crashes of workers, milliseconds. */
  crashEveryMs: { least: 600, most: 1_400 },
  /** Time until a crashed worker is back, milliseconds. */
  backMs: 2_000,
  /** Interval at which a worker becomes short of processor time, milliseconds. */
  slowEveryMs: 250,
  /** Maximum delay of a poll of such a worker, and duration of the shortage, milliseconds. */
  slow: { maxDelayMs: 200, forMs: 1_000 },
  /** Time within which all jobs finish afterwards, milliseconds. */
  finishMs: 60_000,
} as const;

/** A job may fail permanently once this many runs of one task ended by a crash of the worker. */
const CRASHES_TO_FAIL = 2;

export interface ChanceOutcome {
  readonly jobs: number;
  /** Number of jobs that failed permanently. */
  readonly failedPermanently: number;
  /** Number of failed jobs with fewer crashes of workers per task than the rules require. */
  readonly failedWithoutCause: number;
  readonly violations: readonly JobViolation[];
}

/** Runs the schedule of one seed until all jobs should have finished. */
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
  const endAt = clock.monotonic() + SCHEDULE.faultsMs;
  const repeat = (act: () => void, nextMs: () => number): void => {
    if (clock.monotonic() >= endAt) return;
    act();
    clock.after(nextMs(), () => repeat(act, nextMs));
  };
  repeat(
    () => world.crashAndRestartWorker(SCHEDULE.backMs),
    () =>
      between(random, SCHEDULE.crashEveryMs.least, SCHEDULE.crashEveryMs.most),
  );
  repeat(
    () => world.slowWorker(SCHEDULE.slow.maxDelayMs, SCHEDULE.slow.forMs),
    () => SCHEDULE.slowEveryMs,
  );
  repeat(
    () => submitHarmlessJob(world, random),
    () => random.next() * SCHEDULE.maxPauseMs,
  );
  await clock.advance(SCHEDULE.faultsMs + SCHEDULE.finishMs);
  for (const id of world.jobs.wanted) {
    if (!world.jobs.hasEnded(id))
      history.add("not-finished", clock.monotonic(), id);
  }
  world.checkEnds();
  const givenUp = world.jobs.wanted.filter((id) => world.jobs.hasFailed(id));
  const withoutCause = givenUp.filter(
    (id) => history.maxTaskCrashes(id) < CRASHES_TO_FAIL,
  );
  for (const id of withoutCause) {
    history.add("given-up", clock.monotonic(), id);
  }
  return {
    jobs: world.jobs.wanted.length,
    failedPermanently: givenUp.length,
    failedWithoutCause: withoutCause.length,
    violations: history.violations,
  };
};

export const addChanceOutcomes = (
  a: ChanceOutcome,
  b: ChanceOutcome,
): ChanceOutcome => ({
  jobs: a.jobs + b.jobs,
  failedPermanently: a.failedPermanently + b.failedPermanently,
  failedWithoutCause: a.failedWithoutCause + b.failedWithoutCause,
  violations: [...a.violations, ...b.violations],
});

const submitHarmlessJob = (world: JobWorld, random: SeededRandom): void => {
  const milliCores = 250 * (1 + pickIndex(random, 3));
  const demand = { memoryMiB: 100, accelerators: 0, milliCores };
  const estimateMs = between(random, 200, 1_500);
  world.submit([{ taskCount: 1 + pickIndex(random, 3), estimateMs, demand }]);
};
