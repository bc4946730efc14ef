/** Which events come up in each kind of schedule, and how often. */

import type { SeededRandom } from "@rackspan/common";
import {
  between,
  cancelJob,
  failStore,
  silenceWorkerAndLoseLeader,
  silenceCalls,
  silenceLink,
  silenceWorker,
  submitCrashingJob,
  submitJob,
  submitSmallJob,
  submitSpecialJob,
  type ScheduleEvent,
} from "./scheduleEvents.js";

/** With how often each comes, among all. */
export type WeightedEvents = readonly (readonly [number, ScheduleEvent])[];

/** The usual ones. */
export const BASIC_EVENTS: WeightedEvents = [
  [40, submitJob],
  [8, cancelJob],
  [7, (world, random) => world.crashWorkers(0.5, between(random, 100, 900))],
  [5, (world, random) => world.delayOrders(between(random, 500, 3_000))],
  [6, (world, random) => world.cutLink(between(random, 100, 8_000))],
  [4, (world) => world.resetLink()],
  [4, (world) => world.restartSide()],
  [3, (world, random) => world.drain(between(random, 500, 4_000))],
  [4, (world, random) => world.leaders.freeze(between(random, 100, 6_000))],
  [2, (world) => world.leaders.kill()],
  [4, failStore],
];

/** Harsher ones, beside those above. */
export const HARSH_EVENTS: WeightedEvents = [
  ...BASIC_EVENTS,
  [25, submitSpecialJob],
  [3, (world, random) => world.restartSide(between(random, 50, 1_500))],
  [
    4,
    (world, random) =>
      world.drainAndDeregister(
        between(random, 200, 2_500),
        between(random, 0, 6),
        between(random, 50, 1_500),
      ),
  ],
  [1, (world, random) => world.losePower(between(random, 200, 2_000))],
];

/** The leader's process is often short of processor time for a moment. */
export const STARVED_LEADER_EVENTS: WeightedEvents = [
  ...BASIC_EVENTS,
  [
    20,
    (world, random) =>
      world.leaders.starveOfProcessorTime(between(random, 200, 1_500)),
  ],
];

/**
 * Tasks that crash their workers, leaders whose machines are suspended, workers
 * whose room changes. No worker crashes by itself, so no other job may be given up.
 */
export const CRASHING_EVENTS: WeightedEvents = [
  [20, submitJob],
  [6, submitCrashingJob],
  [6, cancelJob],
  [3, (world, random) => world.cutLink(between(random, 100, 4_000))],
  [3, (world) => world.resetLink()],
  [3, (world) => world.restartSide()],
  [5, (world, random) => world.leaders.suspend(between(random, 500, 9_000))],
  [3, (world) => world.leaders.kill()],
  [8, (world, random) => world.changeCapacity(between(random, 0.25, 1))],
];

/** Zones that are evacuated, also all at once, beside everything harsh. */
export const EVACUATING_EVENTS: WeightedEvents = [
  ...HARSH_EVENTS,
  [
    14,
    (world, random) =>
      world.evacuate(between(random, 0.2, 1), between(random, 100, 12_000)),
  ],
];

/**
 * Workers whose lives stand under one id: at once, twice in a second, beside orders that
 * are carried out late, by the next life too. Sides go on: what one has forgotten it
 * cannot bar.
 */
export const WORKER_RESTART_EVENTS: WeightedEvents = [
  [40, submitJob],
  [25, submitSpecialJob],
  [8, cancelJob],
  [6, (world, random) => world.cutLink(between(random, 100, 8_000))],
  [4, (world) => world.resetLink()],
  [4, (world, random) => world.leaders.freeze(between(random, 100, 6_000))],
  [2, (world) => world.leaders.kill()],
  [
    4,
    (world, random) =>
      world.drainAndDeregister(
        between(random, 200, 2_500),
        between(random, 0, 6),
        between(random, 50, 1_500),
      ),
  ],
  [10, (world, random) => world.crashTwice(between(random, 1, 1_000))],
  [6, (world, random) => world.crashWorkers(0.4, between(random, 0, 40))],
  [8, (world, random) => world.delayOrders(between(random, 500, 3_000))],
];

/** The same, and sides that are started anew, which know nothing of the one before. */
export const SIDE_RESTART_EVENTS: WeightedEvents = [
  ...WORKER_RESTART_EVENTS,
  [5, (world) => world.restartSide()],
  [5, (world, random) => world.stopSide(between(random, 300, 3_000))],
];

/**
 * Connections that fall silent without a reset, between all ends, heartbeats that come
 * after their sender's end, and workers that are back at once; beside everything harsh.
 */
export const SILENT_CONNECTION_EVENTS: WeightedEvents = [
  ...HARSH_EVENTS,
  [12, silenceLink],
  [8, silenceCalls],
  [
    6,
    (world, random) =>
      world.delayHeartbeats(
        between(random, 200, 6_000),
        between(random, 500, 6_000),
      ),
  ],
  [
    10,
    (world, random) =>
      world.crashWithLateHeartbeats(
        between(random, 300, 5_000),
        between(random, 1, 600),
      ),
  ],
  [6, (world, random) => world.crashWorkers(0.4, between(random, 200, 400))],
];

/** How a leader may be lost. */
export const LEADER_LOSSES: readonly ScheduleEvent[] = [
  (world) => world.leaders.kill(),
  (world, random) => world.leaders.freeze(between(random, 2_600, 6_000)),
  (world) => world.leaders.cutFromStore(),
];

/** Beside leaders that are lost one after the other. */
export const SUCCESSION_EVENTS: WeightedEvents = [
  [40, submitSmallJob],
  [6, cancelJob],
  [8, silenceWorker],
  [6, (world, random) => world.delayOrders(between(random, 500, 3_000))],
  [3, (world, random) => world.cutLink(between(random, 100, 3_000))],
  [3, (world) => world.resetLink()],
  [3, (world) => world.restartSide()],
  [3, (world, random) => world.stopSide(between(random, 300, 6_000))],
];

/** The same, and workers that fall silent as a leader is dropped. */
export const REPLACED_LEADER_EVENTS: WeightedEvents = [
  ...SUCCESSION_EVENTS,
  [8, silenceWorkerAndLoseLeader],
];

/** Connections that fall silent between all ends, beside leaders that are lost in a row. */
export const SILENT_SUCCESSION_EVENTS: WeightedEvents = [
  ...SUCCESSION_EVENTS,
  [8, silenceLink],
  [4, silenceCalls],
];

/** One of them, as often as its weight says. */
export const pickEvent = (
  events: WeightedEvents,
  random: SeededRandom,
): ScheduleEvent => {
  const total = events.reduce((sum, [weight]) => sum + weight, 0);
  let at = random.next() * total;
  for (const [weight, event] of events) {
    at -= weight;
    if (at < 0) return event;
  }
  return submitJob;
};
