/** The events of each kind of schedule, with their weights. */

import { pickIndex, type SeededRandom } from "@rackspan/common";
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

/** Events with their relative frequencies. */
export type WeightedEvents = readonly (readonly [number, ScheduleEvent])[];

/** The basic events. */
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

/** The basic events and more severe faults. */
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

/** The basic events, and a leader that is often briefly short of processor time. */
export const STARVED_LEADER_EVENTS: WeightedEvents = [
  ...BASIC_EVENTS,
  [
    20,
    (world, random) =>
      world.leaders.starveOfProcessorTime(between(random, 200, 1_500)),
  ],
];

/**
 * Tasks that crash their workers, leaders whose machines are suspended, workers whose
 * capacity changes. No worker crashes by itself, so no other job may fail permanently.
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

/** The harsh events, and evacuations of one or all availability zones. */
export const EVACUATING_EVENTS: WeightedEvents = [
  ...HARSH_EVENTS,
  [
    14,
    (world, random) =>
      world.evacuate(between(random, 0.2, 1), between(random, 100, 12_000)),
  ],
];

/**
 * Workers whose incarnations use one id and restart at once, also twice within a second,
 * while orders are executed late, also by the next incarnation. Sides are not restarted,
 * because a side cannot fence starts that it has no record of.
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

/** The worker restarts, and sides that restart without any state of the previous process. */
export const SIDE_RESTART_EVENTS: WeightedEvents = [
  ...WORKER_RESTART_EVENTS,
  [5, (world) => world.restartSide()],
  [5, (world, random) => world.stopSide(between(random, 300, 3_000))],
];

/**
 * The harsh events, connections of all kinds that become silent without a reset, heartbeats
 * that arrive after the end of their sender, and workers that are back at once.
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

/** The ways in which a leader is lost. */
export const LEADER_LOSSES: readonly ScheduleEvent[] = [
  (world) => world.leaders.kill(),
  (world, random) => world.leaders.freeze(between(random, 2_600, 6_000)),
  (world) => world.leaders.cutFromStore(),
];

/** Events that run beside successive losses of leaders. */
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

/** The succession events, and workers that become silent as the leader is lost or replaced. */
export const REPLACED_LEADER_EVENTS: WeightedEvents = [
  ...SUCCESSION_EVENTS,
  [8, silenceWorkerAndLoseLeader],
];

/** The succession events, and connections of all kinds that become silent. */
export const SILENT_SUCCESSION_EVENTS: WeightedEvents = [
  ...SUCCESSION_EVENTS,
  [8, silenceLink],
  [4, silenceCalls],
];

/**
 * The harsh events, silent workers, and leaders that end while some hosts are cut off and
 * run on.
 */
export const MISSING_HOST_EVENTS: WeightedEvents = [
  ...HARSH_EVENTS,
  [20, submitSmallJob],
  [6, silenceWorker],
  [
    6,
    (world, random) =>
      world.loseLeaderBesideMissingHosts(
        1 + pickIndex(random, 2),
        between(random, 2_000, 14_000),
      ),
  ],
];

/** Picks one event at random by weight. */
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
