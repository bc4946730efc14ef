/** Paths and names that the demo uses with each example. */

export interface Scenario {
  /** Folder below `examples/`. */
  readonly example: string;
  /** Path of quick requests. */
  readonly quickPath: string;
  /** Path of keyed requests, which may run only once. */
  readonly oncePath: string;
  readonly watchPath: string;
  readonly jobPrefix: string;
  readonly jobTeam: string;
  readonly workerPrefix: string;
}

const SCENARIOS: readonly Scenario[] = [
  {
    example: "kaigi",
    quickPath: "/roll-call/meeting-7",
    oncePath: "/ballots/motion-3",
    watchPath: "/roll-call/live?watch",
    jobPrefix: "minutes",
    jobTeam: "minutes",
    workerPrefix: "worker/transcription/",
  },
  {
    example: "bayfinder",
    quickPath: "/bays/riverside",
    oncePath: "/settlements/2026-11-30",
    watchPath: "/halls/quay?watch",
    jobPrefix: "reconcile",
    jobTeam: "billing",
    workerPrefix: "worker/hall-feed/",
  },
];

/** @throws Error when there is no such example */
export const findScenario = (example: string): Scenario => {
  const scenario = SCENARIOS.find((candidate) => candidate.example === example);
  if (scenario) return scenario;
  const known = SCENARIOS.map((candidate) => candidate.example).join(", ");
  throw new Error(`unknown example "${example}"; use one of: ${known}`);
};
