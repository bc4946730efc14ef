/** Runs the programs of this tree as real processes under concurrent faults and checks all invariants. */

import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { after, test } from "node:test";
import { expect } from "earl";
import { killAllProcesses, runSoak, BundledPrograms } from "@rackspan/soak";

const SECONDS = 14;

const folder = mkdtempSync(join(tmpdir(), "rackspan-soak-"));

after(() => {
  killAllProcesses();
  rmSync(folder, { recursive: true });
});

/** Bundles the tree's programs into the folder of this test. */
const bundle = (): BundledPrograms => {
  const url = new URL("../../../scripts/bundle.mjs", import.meta.url);
  const target = join(folder, "target");
  execFileSync(process.execPath, [fileURLToPath(url), target]);
  return new BundledPrograms(target);
};

test("no invariant is violated while workers are replaced and answers are delayed", async () => {
  const { violations, accepted, ended, unexpectedExits } = await runSoak({
    seed: 16,
    seconds: SECONDS,
    programs: bundle(),
    folder: join(folder, "logs"),
    only: ["newLives", "lateAnswers"],
    reusesIds: false,
  });
  expect(violations.map(({ kind, detail }) => `${kind}: ${detail}`)).toEqual(
    [],
  );
  expect(accepted > 0).toEqual(true);
  expect(ended).toEqual(accepted);
  expect(unexpectedExits).toEqual(0);
});

// Only tasks crash workers here, so no other job may fail permanently.
test("only tasks that crash their workers fail permanently while leaders are killed", async () => {
  const { violations, accepted, ended, unexpectedExits } = await runSoak({
    seed: 23,
    seconds: SECONDS,
    programs: new BundledPrograms(join(folder, "target")),
    folder: join(folder, "crash-logs"),
    only: ["killedEntry", "frozenLeader", "killedSides"],
    crashingJobs: true,
  });
  expect(violations.map(({ kind, detail }) => `${kind}: ${detail}`)).toEqual(
    [],
  );
  expect(accepted > 0).toEqual(true);
  expect(ended).toEqual(accepted);
  expect(unexpectedExits).toEqual(0);
});

// Guards against losing the first ends of a next incarnation before they are read.
test("no invariant is violated while workers restart at once with the same ids", async () => {
  const { violations, accepted, ended, unexpectedExits } = await runSoak({
    seed: 3,
    seconds: SECONDS,
    programs: bundle(),
    folder: join(folder, "reborn"),
    only: ["newLives", "livesAtOnce", "lateCalls", "killedSides"],
    crashingJobs: false,
    reusesIds: true,
  });
  expect(violations.map(({ kind, detail }) => `${kind}: ${detail}`)).toEqual(
    [],
  );
  expect(accepted > 0).toEqual(true);
  expect(ended).toEqual(accepted);
  expect(unexpectedExits).toEqual(0);
});

// Guards against a record that the store refuses for its size and that holds up all others,
// and against loads that a slow link never completes after a restart.
test("jobs end while all processes are killed, with small records or slow links", async () => {
  for (const hasSlowLinks of [false, true]) {
    const { violations, accepted, ended, unexpectedExits } = await runSoak({
      seed: 5,
      seconds: SECONDS,
      programs: new BundledPrograms(join(folder, "target")),
      folder: join(folder, hasSlowLinks ? "slow-links" : "small-records"),
      only: ["killedSite", "frozenLeader", "killedSides"],
      hasSmallRecords: !hasSlowLinks,
      hasSlowLinks,
    });
    expect(violations.map(({ kind, detail }) => `${kind}: ${detail}`)).toEqual(
      [],
    );
    expect(accepted > 0).toEqual(true);
    expect(ended).toEqual(accepted);
    expect(unexpectedExits).toEqual(0);
  }
});
