/**
 * `npm test`: runs the given test files. Tolerates and prints failures of the tests that
 * KNOWN-RED.txt lists. Fails on any other failure, and when a listed test did not fail,
 * since its line must then be removed.
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
/** Several times the duration of the longest file on a busy machine. */
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
// Exits explicitly, so that test processes kept open by a handle do not block this one.
process.exit(isGreen ? 0 : 1);
