/** The faults of a run, drawn before it begins. */

import { mixedRandom } from "./mixedRandom.js";

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
  readonly forMs: number;
  /** Decides which hosts or entries it affects, in [0, 1). */
  readonly draw: number;
}

interface Series {
  /** The share of runs that have it. */
  readonly share: number;
  /** Between two faults of the series, milliseconds on the mean. */
  readonly everyMs: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

/** Series overlap; each goes on from begin to end of the faults. */
export const SERIES: Readonly<Record<FaultKind, Series>> = {
  newLives: { share: 0.7, everyMs: 2_500, leastMs: 20, mostMs: 600 },
  lateCalls: { share: 0.5, everyMs: 2_000, leastMs: 500, mostMs: 2_000 },
  lateAnswers: { share: 0.5, everyMs: 2_000, leastMs: 500, mostMs: 2_000 },
  // Less than the leadership's lease, so that it leads on.
  frozenLeader: { share: 0.6, everyMs: 1_500, leastMs: 300, mostMs: 900 },
  frozenSides: { share: 0.4, everyMs: 3_000, leastMs: 200, mostMs: 1_500 },
  brokenConnections: { share: 0.4, everyMs: 2_000, leastMs: 0, mostMs: 0 },
  halfOpen: { share: 0.3, everyMs: 3_000, leastMs: 300, mostMs: 2_000 },
  killedEntry: { share: 0.3, everyMs: 8_000, leastMs: 100, mostMs: 2_000 },
  stoppedEntry: { share: 0.2, everyMs: 8_000, leastMs: 100, mostMs: 2_000 },
  killedSides: { share: 0.3, everyMs: 4_000, leastMs: 50, mostMs: 1_000 },
  // New ones come last, so that what seeds draw before them stays as it is. Long enough
  // that starts past the time that the operator allows would show.
  evacuatedZone: { share: 0.4, everyMs: 5_000, leastMs: 100, mostMs: 9_000 },
  livesAtOnce: { share: 0.5, everyMs: 2_500, leastMs: 1, mostMs: 900 },
  // Longer than the leadership's lease, so that another entry leads.
  lostLeader: { share: 0.4, everyMs: 5_000, leastMs: 2_600, mostMs: 5_000 },
  silentWorkers: { share: 0.4, everyMs: 4_000, leastMs: 500, mostMs: 12_000 },
};

/** @param only the series to play; drawn when undefined */
export const drawFaults = (
  seed: number,
  seconds: number,
  only?: readonly FaultKind[],
): Fault[] => {
  const random = mixedRandom(seed, "faults");
  const faults: Fault[] = [];
  for (const kind of Object.keys(SERIES) as FaultKind[]) {
    const { share, everyMs, leastMs, mostMs } = SERIES[kind];
    const isDrawn = random.next() < share;
    if (only ? !only.includes(kind) : !isDrawn) continue;
    let at = random.next() * everyMs;
    while (at < seconds * 1_000) {
      const forMs = leastMs + random.next() * (mostMs - leastMs);
      faults.push({ kind, at, forMs, draw: random.next() });
      at += everyMs * (0.5 + random.next());
    }
  }
  return faults.sort((one, other) => one.at - other.at);
};
