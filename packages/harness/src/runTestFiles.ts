/** Runs test files concurrently, each in its own process. */

import { run } from "node:test";
import { tap } from "node:test/reporters";
import type { TestOutcome } from "./knownRed.js";

export interface TestFilesRun {
  readonly files: readonly string[];
  /** Timeout for one file, milliseconds; a file that exceeds it is ended and fails under its own name. */
  readonly fileTimeoutMs: number;
  /** Receives the results in TAP format as they arrive. */
  readonly write: (text: string) => void;
}

/** @returns the outcome of each test, and a failure for each file that did not end by itself */
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
