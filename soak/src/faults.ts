/** The faults of a soak run, drawn before it starts. */

import { derivedRandom } from "./derivedRandom.js";

export type FaultKind =
  | "newLives"
  | "lateCalls"
  | "lateAnswers"
  | "frozenLeader"
  | "frozenSides"
  | "brokenConnections"
  | "halfOpen"
  | "killedEntry"
  | "stoppedEntry"
  | "killedSides"
  | "evacuatedZone"
  | "livesAtOnce"
  | "lostLeader"
  | "silentWorkers"
  | "killedSite";

export interface Fault {
  readonly kind: FaultKind;
  /** Start of the fault, in milliseconds after the injection of faults started. */
  readonly at: number;
  /** How long the fault lasts, milliseconds. */
  readonly durationMs: number;
  /** Seed that selects the affected hosts or entries, in [0, 1). */
  readonly draw: number;
}

interface FaultSeries {
  /** The share of soak runs that include the series. */
  readonly runShare: number;
  /** Mean interval between two faults of the series, milliseconds. */
  readonly meanIntervalMs: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
}

/** Series overlap; each lasts for the whole time in which faults are injected. */
export const FAULT_SERIES: Readonly<Record<FaultKind, FaultSeries>> = {
  newLives: {
    runShare: 0.7,
    meanIntervalMs: 2_500,
    minDurationMs: 20,
    maxDurationMs: 600,
  },
  lateCalls: {
    runShare: 0.5,
    meanIntervalMs: 2_000,
    minDurationMs: 500,
    maxDurationMs: 2_000,
  },
  lateAnswers: {
    runShare: 0.5,
    meanIntervalMs: 2_000,
    minDurationMs: 500,
    maxDurationMs: 2_000,
  },
  // Shorter than the leadership's lease, so that the leader keeps it.
  frozenLeader: {
    runShare: 0.6,
    meanIntervalMs: 1_500,
    minDurationMs: 300,
    maxDurationMs: 900,
  },
  frozenSides: {
    runShare: 0.4,
    meanIntervalMs: 3_000,
    minDurationMs: 200,
    maxDurationMs: 1_500,
  },
  brokenConnections: {
    runShare: 0.4,
    meanIntervalMs: 2_000,
    minDurationMs: 0,
    maxDurationMs: 0,
  },
  halfOpen: {
    runShare: 0.3,
    meanIntervalMs: 3_000,
    minDurationMs: 300,
    maxDurationMs: 2_000,
  },
  killedEntry: {
    runShare: 0.3,
    meanIntervalMs: 8_000,
    minDurationMs: 100,
    maxDurationMs: 2_000,
  },
  stoppedEntry: {
    runShare: 0.2,
    meanIntervalMs: 8_000,
    minDurationMs: 100,
    maxDurationMs: 2_000,
  },
  killedSides: {
    runShare: 0.3,
    meanIntervalMs: 4_000,
    minDurationMs: 50,
    maxDurationMs: 1_000,
  },
  // New series are appended, so that existing seeds draw the same faults as before.
  // Evacuations are long enough to expose starts after the time that the operator allows.
  evacuatedZone: {
    runShare: 0.4,
    meanIntervalMs: 5_000,
    minDurationMs: 100,
    maxDurationMs: 9_000,
  },
  livesAtOnce: {
    runShare: 0.5,
    meanIntervalMs: 2_500,
    minDurationMs: 1,
    maxDurationMs: 900,
  },
  // Longer than the leadership's lease, so that another entry becomes leader.
  lostLeader: {
    runShare: 0.4,
    meanIntervalMs: 5_000,
    minDurationMs: 2_600,
    maxDurationMs: 5_000,
  },
  silentWorkers: {
    runShare: 0.4,
    meanIntervalMs: 4_000,
    minDurationMs: 500,
    maxDurationMs: 12_000,
  },
  killedSite: {
    runShare: 0.3,
    meanIntervalMs: 12_000,
    minDurationMs: 200,
    maxDurationMs: 2_000,
  },
};

/** @param only the series to include; drawn from the seed when undefined */
export const drawFaults = (
  seed: number,
  seconds: number,
  only?: readonly FaultKind[],
): Fault[] => {
  const random = derivedRandom(seed, "faults");
  const faults: Fault[] = [];
  for (const kind of Object.keys(FAULT_SERIES) as FaultKind[]) {
    const { runShare, meanIntervalMs, minDurationMs, maxDurationMs } =
      FAULT_SERIES[kind];
    const isDrawn = random.next() < runShare;
    if (only ? !only.includes(kind) : !isDrawn) continue;
    let at = random.next() * meanIntervalMs;
    while (at < seconds * 1_000) {
      const durationMs =
        minDurationMs + random.next() * (maxDurationMs - minDurationMs);
      faults.push({ kind, at, durationMs, draw: random.next() });
      at += meanIntervalMs * (0.5 + random.next());
    }
  }
  return faults.sort((one, other) => one.at - other.at);
};
