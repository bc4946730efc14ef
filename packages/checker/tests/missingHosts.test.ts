/** Hosts that are missing at takeovers, with leaders that record placements. */

import { test } from "node:test";
import { expect } from "earl";
import {
  measureTakeover,
  PLACEMENT_MUTANTS,
  runMissingHostSchedule,
  type PlacementMutant,
  type PlacementPlan,
  type TakeoverCause,
} from "@rackspan/checker";

const SEEDS = [1, 2, 3, 4];

// A task that may be running on a missing host must not start elsewhere.
for (const plan of ["always", "alternating", "mixed"] as const) {
  test(`no task runs twice beside missing hosts, placements recorded: ${plan}`, async () => {
    for (const seed of SEEDS) {
      const violations = await runMissingHostSchedule(seed, plan);
      expect({ seed, violations }).toEqual({ seed, violations: [] });
    }
  });
}

/** A schedule in which the omitted guard lets a task run twice. */
const DETECTED_BY: Readonly<
  Record<PlacementMutant, { plan: PlacementPlan; seed: number }>
> = {
  "order-before-record": { plan: "always", seed: 29 },
  "trust-without-term": { plan: "alternating", seed: 3 },
  "former-version-ignored": { plan: "mixed", seed: 34 },
  "host-left-out-of-gate": { plan: "always", seed: 1 },
};

for (const mutant of PLACEMENT_MUTANTS) {
  test(`a schedule with missing hosts detects "${mutant}"`, async () => {
    const { plan, seed } = DETECTED_BY[mutant];
    const violations = await runMissingHostSchedule(seed, plan, mutant);
    const kinds = violations.map(({ kind }) => kind);
    expect(kinds).toInclude("twice");
    expect(await runMissingHostSchedule(seed, plan)).toEqual([]);
  });
}

const measure = (cause: TakeoverCause, recordsPlacements: boolean) =>
  measureTakeover({ seed: 1, cause, lostHosts: 1, recordsPlacements });

// One host of five is missing; only its tasks may wait for the end of its leases.
for (const cause of ["power-loss", "cut-off-hosts"] as const) {
  test(`most known tasks start within 2 s beside a missing host: ${cause}`, async () => {
    const without = await measure(cause, false);
    const recorded = await measure(cause, true);
    expect(without.violations).toEqual([]);
    expect(recorded.violations).toEqual([]);
    expect(without.startedPromptly).toEqual(0);
    const share = recorded.startedPromptly / recorded.knownTasks;
    expect(share >= 0.7).toEqual(true);
  });
}

test("lasting tasks of hosts that come back do not wait for the leases of a missing host", async () => {
  const without = await measure("power-loss", false);
  const recorded = await measure("power-loss", true);
  expect(without.longestGapElsewhereMs > 9_000).toEqual(true);
  expect(recorded.longestGapElsewhereMs < 4_000).toEqual(true);
});
