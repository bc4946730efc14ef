/** Runs test files side by side, each in a process of its own. */

import { run } from "node:test";
import { tap } from "node:test/reporters";
import type { TestOutcome } from "./knownRed.js";

export interface TestFilesRun {
  readonly files: readonly string[];
  /** A file that takes longer fails under its own name and is ended, milliseconds. */
  readonly fileTimeoutMs: number;
  /** Takes the results as they come, in the form of TAP. */
  readonly write: (text: string) => void;
}

/** @returns how each test ended, and each file that did not end by itself */
export const runTestFiles = async ({
  files,
  fileTimeoutMs,
  write,
}: TestFilesRun): Promise<TestOutcome[]> => {
  const outcomes: TestOutcome[] = [];
  const events = run({
    files: [...files],
    concurrency: true,
    timeout: fileTimeoutMs,
  });
  events.on("test:pass", ({ name }) =>
    outcomes.push({ test: name, passed: true }),
  );
  events.on("test:fail", ({ name }) =>
    outcomes.push({ test: name, passed: false }),
  );
  for await (const line of events.compose(tap)) write(String(line));
  return outcomes;
};
