/** The events of random schedules: submitted work and injected faults. */

import { pickIndex, type SeededRandom } from "@rackspan/common";
import type { StoreFault } from "@rackspan/standins";
import type { ImageName } from "@rackspan/state";
import type { JobWorld } from "./JobWorld.js";
import type { SilentDirection } from "./SideLink.js";

/** One event of a schedule, which draws its own random parameters. */
export type ScheduleEvent = (world: JobWorld, random: SeededRandom) => void;

/** Draws a uniformly distributed value from `least` (inclusive) to `most` (exclusive). */
export const between = (
  random: SeededRandom,
  least: number,
  most: number,
): number => least + random.next() * (most - least);

/** Submits a plain or lasting job of one or two steps. */
export const submitJob: ScheduleEvent = (world, random) => {
  const lasting = random.next() < 0.25;
  const demand = { memoryMiB: 100, accelerators: 0 };
  const taskCount = 1 + pickIndex(random, 4);
  const estimateMs = between(random, 200, 2_500);
  const milliCores = 250 * (1 + pickIndex(random, 4));
  const step = {
    taskCount,
    estimateMs,
    lasting,
    demand: { ...demand, milliCores },
  };
  const hasNext = !lasting && random.next() < 0.4;
  world.submit(hasNext ? [step, { ...step, after: [0] }] : [step]);
};

/** Submits a job with a gang, filling or serving tasks, a limit per host, or repeats. */
export const submitSpecialJob: ScheduleEvent = (world, random) => {
  const kind = pickIndex(random, 5);
  const demand = {
    memoryMiB: 100,
    accelerators: 0,
    milliCores: 250 * (1 + pickIndex(random, 4)),
  };
  const checkpointing = random.next() < 0.5;
  const taskCount = 2 + pickIndex(random, 3);
  const estimateMs = between(random, 200, 1_500);
  const step = { demand, checkpointing, taskCount, estimateMs };
  const image = `image${pickIndex(random, 3)}` as unknown as ImageName;
  const next = { estimateMs, demand, after: [0] };
  switch (kind) {
    case 0:
      return world.submit([{ ...step, gang: true }, next]);
    case 1:
      return world.submit([{ ...step, filling: true, image }, next]);
    case 2:
      return world.submit([
        { ...step, lasting: true, image, tailTargetMs: 100 },
      ]);
    case 3:
      return world.submit([{ ...step, maxPerHost: 1 }, next]);
    default: {
      const firstAt = world.clock.now() + between(random, 0, 2_000);
      const intervalMs = between(random, 300, 2_000);
      const gang = random.next() < 0.3;
      const count = 2 + pickIndex(random, 2);
      return world.submit([{ ...step, gang }], { count, firstAt, intervalMs });
    }
  }
};

/** Cancels a random job that was not cancelled yet. */
export const cancelJob: ScheduleEvent = (world, random) => {
  const { wanted } = world.jobs;
  const id = wanted[pickIndex(random, wanted.length)];
  if (id !== undefined) world.cancel(id);
};

/** Submits a job whose first task crashes each worker that starts it. */
export const submitCrashingJob: ScheduleEvent = (world, random) => {
  const taskCount = 1 + pickIndex(random, 3);
  const milliCores = 250 * (1 + pickIndex(random, 4));
  const demand = { memoryMiB: 100, accelerators: 0, milliCores };
  const estimateMs = between(random, 200, 1_500);
  const lasting = random.next() < 0.2;
  world.submitCrashing([{ taskCount, demand, estimateMs, lasting }]);
};

/** Submits a job so small that three hosts have capacity for all jobs queued in a long wait. */
export const submitSmallJob: ScheduleEvent = (world, random) => {
  const demand = { memoryMiB: 100, accelerators: 0, milliCores: 40 };
  const taskCount = 1 + pickIndex(random, 3);
  const estimateMs = between(random, 300, 1_900);
  const lasting = random.next() < 0.2;
  world.submit([{ taskCount, demand, estimateMs, lasting }]);
};

/** Makes a worker silent: sometimes for good, otherwise for a limited time. */
export const silenceWorker: ScheduleEvent = (world, random) => {
  const draw = random.next();
  const ms = between(random, 500, 14_000);
  if (draw < 0.15) world.loseWorker(Infinity);
  else if (draw < 0.4) world.loseWorker(ms);
  else world.cutWorker(draw < 0.7 ? "answers" : "calls", ms);
};

/**
 * Makes a worker silent while its leader is lost, replaced or stays. In half of the cases the
 * worker becomes reachable again while its side and the leader are cut off from each other.
 */
export const silenceWorkerAndLoseLeader: ScheduleEvent = (world, random) => {
  const cut = random.next() < 0.6 ? "answers" : "calls";
  const ms = between(random, 1_000, 3_000);
  if (random.next() < 0.5)
    world.reconnectWorkerBehindCut(cut, ms, between(random, 500, 6_000));
  else world.cutWorker(cut, 3 * ms);
  const draw = random.next();
  if (draw < 0.2) world.leaders.kill();
  else if (draw < 0.7) world.leaders.replaceWithoutNotice();
};

const STORE_FAULTS: readonly StoreFault[] = [
  "refuses",
  "loses-answers",
  "silent",
];

export const failStore: ScheduleEvent = (world, random) => {
  const fault = STORE_FAULTS[pickIndex(random, STORE_FAULTS.length)];
  world.failStore(fault as StoreFault, between(random, 100, 3_000));
};

const SILENT_DIRECTIONS: readonly SilentDirection[] = [
  "to-side",
  "to-leader",
  "both",
];

/** Makes connections silent for good, or until delayed bytes arrive beside the next connection. */
export const silenceLink: ScheduleEvent = (world, random) => {
  const direction = SILENT_DIRECTIONS[
    pickIndex(random, SILENT_DIRECTIONS.length)
  ] as SilentDirection;
  const ms = random.next() < 0.5 ? Infinity : between(random, 100, 5_000);
  if (random.next() < 0.2) world.silenceLinks(direction, ms);
  else world.silenceLink(direction, ms);
};

/** Leaves calls to a worker unanswered: some are lost, others executed at once or later. */
export const silenceCalls: ScheduleEvent = (world, random) =>
  world.silenceCalls(between(random, 0.1, 0.9), between(random, 200, 3_000));
