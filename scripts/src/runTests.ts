/**
 * `npm test`: runs the test files that it is given. Passes over the tests that
 * KNOWN-RED.txt lists, and prints them; fails on any other failure, and when a
 * listed test did not fail, since its line must then go.
 */

import { existsSync, readFileSync } from "node:fs";
import {
  compareOutcomes,
  parseKnownRed,
  runTestFiles,
  type KnownRed,
  type OutcomeComparison,
} from "@rackspan/harness";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Several times what the longest file takes on a busy machine. */
const FILE_TIMEOUT_MS = 10 * 60 * 1_000;

const readKnownRed = (): KnownRed[] =>
  existsSync(KNOWN_RED_FILE)
    ? parseKnownRed(readFileSync(KNOWN_RED_FILE, "utf8"))
    : [];

const printVerdict = ({
  unexpected,
  knownRed,
  notFailed,
}: OutcomeComparison): void => {
  for (const { test, cause, issue, command } of knownRed) {
    console.log(
      `KNOWN RED: ${test} (issue ${issue}): ${cause}; run: ${command}`,
    );
  }
  for (const test of unexpected) console.log(`FAILED: ${test}`);
  for (const { test } of notFailed) {
    console.log(
      `LISTED IN VAIN: ${test} did not fail; take it off ${KNOWN_RED_FILE}`,
    );
  }
};

const files = process.argv.slice(2);
const outcomes = await runTestFiles({
  files,
  fileTimeoutMs: FILE_TIMEOUT_MS,
  write: (text) => process.stdout.write(text),
});
const verdict = compareOutcomes(outcomes, readKnownRed());
printVerdict(verdict);
const isGreen =
  outcomes.length > 0 &&
  verdict.unexpected.length === 0 &&
  verdict.notFailed.length === 0;
// Files whose process is kept open by a handle must not keep this one.
process.exit(isGreen ? 0 : 1);
