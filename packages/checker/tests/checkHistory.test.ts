import { test } from "node:test";
import { expect } from "earl";
import {
  checkHistory,
  INVARIANTS,
  type HistoryEvent,
  type Invariant,
} from "@rackspan/checker";

const resources = { processors: 3, memoryMiB: 1, accelerators: 0 };
const capacity = { processors: 4, memoryMiB: 10, accelerators: 0 };

const started = (
  at: number,
  task: string,
  host = "h@1",
  checkpoint?: string,
): HistoryEvent => ({
  at,
  type: "taskStarted",
  host,
  unit: task.split("#")[0] ?? "",
  task,
  resources,
  checkpoint,
});

const ended = (
  at: number,
  task: string,
  end: string,
  host = "h@1",
  checkpoint?: string,
): HistoryEvent => ({
  at,
  type: "taskEnded",
  host,
  unit: task.split("#")[0] ?? "",
  task,
  end,
  checkpoint,
});

const hasCapacity = (host: string): HistoryEvent => ({
  at: 0,
  type: "capacity",
  host,
  capacity,
});

/** A history without violations. */
const VALID: readonly HistoryEvent[] = [
  hasCapacity("h@1"),
  hasCapacity("i@1"),
  { at: 1, type: "jobAccepted", unit: "a" },
  started(2, "a#1"),
  ended(3, "a#1", "checkpointed", "h@1", "7"),
  started(4, "a#2", "i@1", "7"),
  ended(5, "a#2", "succeeded", "i@1"),
  { at: 6, type: "jobFinal", unit: "a", finish: "succeeded" },
  { at: 7, type: "requestRan", request: "r1", key: "k1", host: "h@1" },
  {
    at: 8,
    type: "requestAnswered",
    request: "k1",
    answerOf: "k1",
    whole: true,
  },
  { at: 9, type: "toldNotRun", request: "r2" },
  { at: 10, type: "hostLeaving", host: "h@1" },
  { at: 11, type: "configAccepted", name: "q", value: 1, version: 4, base: 0 },
  { at: 12, type: "configAccepted", name: "q", value: 2, version: 9, base: 4 },
  { at: 13, type: "configSeen", process: "e", version: 4 },
  { at: 14, type: "configSeen", process: "e", version: 9 },
  { at: 15, type: "requestCut", request: "r3", plannedStop: false },
  { at: 16, type: "configFinal", process: "e", name: "q", value: 2 },
];

test("a valid history has no violations", () => {
  expect(checkHistory(VALID)).toEqual([]);
});

const INVALID: readonly (readonly [
  Invariant,
  string,
  readonly HistoryEvent[],
])[] = [
  [
    "commitment",
    "two tasks that do not fit together",
    [started(20, "b#1"), started(21, "c#1")],
  ],
  [
    "one-place",
    "one unit on two hosts",
    [started(20, "b#1"), started(21, "b#2", "i@1")],
  ],
  [
    "resumes-once",
    "an attempt that starts twice",
    [started(20, "a#2"), ended(21, "a#2", "stopped")],
  ],
  [
    "resumes-once",
    "a second success",
    [started(20, "a#3", "h@1", "7"), ended(21, "a#3", "succeeded")],
  ],
  [
    "resumes-once",
    "a skipped checkpoint",
    [started(20, "a#3"), ended(21, "a#3", "stopped")],
  ],
  [
    "resumes-once",
    "an accepted job that is lost",
    [
      { at: 20, type: "jobAccepted", unit: "z" },
      { at: 21, type: "jobFinal", unit: "z", finish: undefined },
    ],
  ],
  [
    "own-answer",
    "the answer to another request",
    [
      {
        at: 20,
        type: "requestAnswered",
        request: "k1",
        answerOf: "k9",
        whole: true,
      },
    ],
  ],
  [
    "own-answer",
    "an incomplete answer",
    [
      {
        at: 20,
        type: "requestAnswered",
        request: "k1",
        answerOf: "k1",
        whole: false,
      },
    ],
  ],
  [
    "not-run",
    "a request that ran although it was reported as not run",
    [{ at: 20, type: "requestRan", request: "r2", key: "k2", host: "i@1" }],
  ],
  [
    "at-most-once",
    "a key that ran twice",
    [{ at: 20, type: "requestRan", request: "r9", key: "k1", host: "i@1" }],
  ],
  ["leaving", "work for a host that left", [started(6_000, "b#1")]],
  [
    "planned-stop",
    "a request cut by a planned stop",
    [{ at: 20, type: "requestCut", request: "r4", plannedStop: true }],
  ],
  [
    "config",
    "a change based on an outdated version",
    [
      {
        at: 20,
        type: "configAccepted",
        name: "q",
        value: 2,
        version: 11,
        base: 4,
      },
    ],
  ],
  [
    "config",
    "a process that returns to an older version",
    [{ at: 20, type: "configSeen", process: "e", version: 4 }],
  ],
  [
    "config",
    "a process that ends with another value",
    [{ at: 20, type: "configFinal", process: "f", name: "q", value: 1 }],
  ],
];

for (const [invariant, what, events] of INVALID) {
  test(`${what} violates "${invariant}"`, () => {
    const found = checkHistory([...VALID, ...events]).map(
      (violation) => violation.invariant,
    );
    expect(found).toEqual(expect.includes(invariant));
  });
}

test("every invariant has a history that violates it", () => {
  const covered = new Set(INVALID.map(([invariant]) => invariant));
  expect(INVARIANTS.filter((invariant) => !covered.has(invariant))).toEqual([]);
});
