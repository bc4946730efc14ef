/** The programs of this tree as real processes break no rule under many faults at once. */

import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { after, test } from "node:test";
import { expect } from "earl";
import { killAllProcesses, playSoak, Programs } from "@rackspan/soak";

const SECONDS = 14;

const folder = mkdtempSync(join(tmpdir(), "rackspan-soak-"));

after(() => {
  killAllProcesses();
  rmSync(folder, { recursive: true });
});

/** Bundles the tree's programs into a folder of this test. */
const bundle = (): Programs => {
  const url = new URL("../../../scripts/bundle.mjs", import.meta.url);
  const target = join(folder, "target");
  execFileSync(process.execPath, [fileURLToPath(url), target]);
  return new Programs(target);
};

test("no rule is broken while workers get new lives and answers come late", async () => {
  const {
    violations,
    accepted,
    ended,
    unexpectedExits: ownEnds,
  } = await playSoak({
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
  expect(ownEnds).toEqual(0);
});

// Workers crash by their tasks alone here, so no other job may be given up.
test("tasks that crash their workers are given up, and no others, while leaders are killed", async () => {
  const {
    violations,
    accepted,
    ended,
    unexpectedExits: ownEnds,
  } = await playSoak({
    seed: 23,
    seconds: SECONDS,
    programs: new Programs(join(folder, "target")),
    folder: join(folder, "crash-logs"),
    only: ["killedEntry", "frozenLeader", "killedSides"],
    crashingJobs: true,
  });
  expect(violations.map(({ kind, detail }) => `${kind}: ${detail}`)).toEqual(
    [],
  );
  expect(accepted > 0).toEqual(true);
  expect(ended).toEqual(accepted);
  expect(ownEnds).toEqual(0);
});

// The first ends of a next life must not be forgotten unread.
test("no rule is broken while workers start again at once under their ids", async () => {
  const {
    violations,
    accepted,
    ended,
    unexpectedExits: ownEnds,
  } = await playSoak({
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
  expect(ownEnds).toEqual(0);
});
