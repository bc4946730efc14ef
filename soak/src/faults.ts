/** The faults of a run, drawn before it begins. */

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
  | "silentWorkers";

export interface Fault {
  readonly kind: FaultKind;
  /** Milliseconds since the faults began. */
  readonly at: number;
  /** How long it lasts, milliseconds. */
  readonly durationMs: number;
  /** Decides which hosts or entries it affects, in [0, 1). */
  readonly draw: number;
}

interface FaultSeries {
  /** The share of runs that have it. */
  readonly runShare: number;
  /** Between two faults of the series, milliseconds on the mean. */
  readonly meanIntervalMs: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
}

/** Series overlap; each goes on from begin to end of the faults. */
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
  // Less than the leadership's lease, so that it leads on.
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
  // New ones come last, so that what seeds draw before them stays as it is. Long enough
  // that starts past the time that the operator allows would show.
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
  // Longer than the leadership's lease, so that another entry leads.
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
};

/** @param only the series to play; drawn when undefined */
export const drawFaults = (
  seed: number,
  seconds: number,
  only?: readonly FaultKind[],
): Fault[] => {
  const random = derivedRandom(seed, "faults");
  const faults: Fault[] = [];
  for (const kind of Object.keys(FAULT_SERIES) as FaultKind[]) {
    const {
      runShare: share,
      meanIntervalMs: everyMs,
      minDurationMs: leastMs,
      maxDurationMs: mostMs,
    } = FAULT_SERIES[kind];
    const isDrawn = random.next() < share;
    if (only ? !only.includes(kind) : !isDrawn) continue;
    let at = random.next() * everyMs;
    while (at < seconds * 1_000) {
      const forMs = leastMs + random.next() * (mostMs - leastMs);
      faults.push({ kind, at, durationMs: forMs, draw: random.next() });
      at += everyMs * (0.5 + random.next());
    }
  }
  return faults.sort((one, other) => one.at - other.at);
};
