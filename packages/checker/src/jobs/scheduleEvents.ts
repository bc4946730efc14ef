/** Work and faults that come up in a random schedule, one at a time. */

import { pickIndex, type SeededRandom } from "@rackspan/common";
import type { StoreFault } from "@rackspan/standins";
import type { ImageName } from "@rackspan/state";
import type { JobWorld } from "./JobWorld.js";
import type { SilentDirection } from "./SideLink.js";

/** What may happen in a schedule; it draws whatever it needs. */
export type ScheduleEvent = (world: JobWorld, random: SeededRandom) => void;

/** Uniform between the two. */
export const between = (
  random: SeededRandom,
  least: number,
  most: number,
): number => least + random.next() * (most - least);

/** Plain and lasting jobs of one or two steps. */
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

/** Gangs, tasks that fill or serve, limits by host, repeats. */
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

/** Any job that was not cancelled yet. */
export const cancelJob: ScheduleEvent = (world, random) => {
  const { wanted } = world.jobs;
  const id = wanted[pickIndex(random, wanted.length)];
  if (id !== undefined) world.cancel(id);
};

/** Its first task crashes each worker that starts it. */
export const submitCrashingJob: ScheduleEvent = (world, random) => {
  const taskCount = 1 + pickIndex(random, 3);
  const milliCores = 250 * (1 + pickIndex(random, 4));
  const demand = { memoryMiB: 100, accelerators: 0, milliCores };
  const estimateMs = between(random, 200, 1_500);
  const lasting = random.next() < 0.2;
  world.submitCrashing([{ taskCount, demand, estimateMs, lasting }]);
};

/** Small enough that three hosts have room for all that has piled up in a long wait. */
export const submitSmallJob: ScheduleEvent = (world, random) => {
  const demand = { memoryMiB: 100, accelerators: 0, milliCores: 40 };
  const taskCount = 1 + pickIndex(random, 3);
  const estimateMs = between(random, 300, 1_900);
  const lasting = random.next() < 0.2;
  world.submit([{ taskCount, demand, estimateMs, lasting }]);
};

/** One worker is lost for good now and then; others are silent for a while. */
export const silenceWorker: ScheduleEvent = (world, random) => {
  const draw = random.next();
  const ms = between(random, 500, 14_000);
  if (draw < 0.15) world.loseWorker(Infinity);
  else if (draw < 0.4) world.loseWorker(ms);
  else world.cutWorker(draw < 0.7 ? "answers" : "calls", ms);
};

/**
 * A worker falls silent as its leader is lost, or stays; in half of the cases it comes
 * back while its side and the leader cannot reach each other.
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

/** For good, or until late bytes of it arrive beside the next connection. */
export const silenceLink: ScheduleEvent = (world, random) => {
  const way = SILENT_DIRECTIONS[
    pickIndex(random, SILENT_DIRECTIONS.length)
  ] as SilentDirection;
  const ms = random.next() < 0.5 ? Infinity : between(random, 100, 5_000);
  if (random.next() < 0.2) world.silenceLinks(way, ms);
  else world.silenceLink(way, ms);
};

/** Of the calls to a worker some are lost, and some carried out at once or later. */
export const silenceCalls: ScheduleEvent = (world, random) =>
  world.silenceCalls(between(random, 0.1, 0.9), between(random, 200, 3_000));
