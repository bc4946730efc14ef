/** Schedules of work and faults that fast-check generates and shrinks. */

import fc from "fast-check";
import type { RequestFault } from "./fakeAttempts.js";
import { checkHistory, type Violation } from "./checkHistory.js";
import type { Mutant } from "./mutants.js";
import { World } from "./World.js";

const index = fc.nat(5);
const duration = fc.constantFrom(50, 300, 1_200, 3_500, 6_000);

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant("job" as const),
      index,
      runMs: fc.constantFrom(200, 1_500, 4_000),
      processors: fc.integer({ min: 1, max: 3 }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      do: fc.constant("request" as const),
      index,
      key: fc.nat(6),
      fault: fc.constantFrom<RequestFault>(
        "none",
        "not-sent",
        "lost",
        "late",
        "answer-lost",
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constant("config" as const),
      operators: fc.integer({ min: 1, max: 2 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constantFrom(
        "cancel" as const,
        "killEntry" as const,
        "restartEntry" as const,
        "killSide" as const,
        "restartSide" as const,
        "replaceHost" as const,
        "abandonHost" as const,
        "drainHost" as const,
        "cutRetention" as const,
      ),
      index,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constantFrom(
        "pauseSide" as const,
        "pauseEntry" as const,
        "replacePausedSide" as const,
        "delayStart" as const,
      ),
      index,
      ms: duration,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constant("cutLink" as const),
      index,
      host: index,
      ms: duration,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      do: fc.constantFrom("logDown" as const, "logSlow" as const),
      ms: duration,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      do: fc.constantFrom("loseAppends" as const, "loseAnswers" as const),
      index,
      count: fc.integer({ min: 1, max: 3 }),
    }),
  },
);

export type Step = typeof step extends fc.Arbitrary<infer S> ? S : never;

export interface Schedule {
  readonly seed: number;
  readonly steps: readonly { readonly step: Step; readonly waitMs: number }[];
}

export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(1_000_000),
  steps: fc.array(
    fc.record({ step, waitMs: fc.constantFrom(0, 1, 20, 250, 900, 2_500) }),
    { minLength: 4, maxLength: 24 },
  ),
});

const perform = (world: World, action: Step): void => {
  switch (action.do) {
    case "job":
      return world.submitJob(action.index, action.runMs, action.processors);
    case "request":
      return world.request(action.index, action.key, action.fault);
    case "config":
      return world.changeConfig(action.operators);
    case "cancel":
      return world.cancelJob(action.index);
    case "killEntry":
      return world.killEntry(action.index);
    case "restartEntry":
      return world.restartEntry(action.index);
    case "killSide":
      return world.killSide(action.index);
    case "restartSide":
      return world.restartSide(action.index);
    case "replaceHost":
      return world.replaceHost(action.index);
    case "abandonHost":
      return world.abandonHost(action.index);
    case "drainHost":
      return world.drainHost(action.index);
    case "cutRetention":
      return world.cutRetention(action.index);
    case "pauseSide":
      return world.pauseSide(action.index, action.ms);
    case "pauseEntry":
      return world.pauseEntry(action.index, action.ms);
    case "replacePausedSide":
      return world.replacePausedSide(action.index, action.ms);
    case "delayStart":
      return world.delayStart(action.index, action.ms);
    case "cutLink":
      return world.cutLink(action.index, action.host, action.ms);
    case "logDown":
      return world.logFault("down", action.ms);
    case "logSlow":
      return world.logFault("slow", action.ms);
    case "loseAppends":
      world.log.loseAnswers += action.count;
      return;
    case "loseAnswers":
      return world.loseAnswers(action.index, action.count);
  }
};

export interface RunResult {
  readonly violations: readonly Violation[];
  readonly events: World["history"]["events"];
}

/** Runs one schedule until it is idle, and checks the recorded history. */
export const runSchedule = async (
  { seed, steps }: Schedule,
  mutant?: Mutant,
): Promise<RunResult> => {
  const world = new World(seed, mutant);
  await world.advance(1_000);
  for (const { step: action, waitMs } of steps) {
    perform(world, action);
    await world.advance(waitMs);
  }
  await world.finish();
  const { events } = world.history;
  return { violations: checkHistory(events), events };
};
