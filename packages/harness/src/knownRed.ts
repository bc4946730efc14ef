/** Parses KNOWN-RED.txt, the list of tests that are known to fail, and compares it with test outcomes. */

export interface KnownRed {
  /** Title of the test in its file. */
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
  /** Command that runs the test, with its seed. */
  readonly command: string;
}

/** Maximum number of listed tests: the list is for exceptions only. */
export const MAX_KNOWN_RED = 3;

/** @throws Error when a line is malformed or there are too many lines */
export const parseKnownRed = (text: string): KnownRed[] => {
  const lines = text.split("\n").map((line) => line.trim());
  const listed = lines
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map(parseLine);
  if (listed.length > MAX_KNOWN_RED) {
    throw new Error(
      `KNOWN-RED.txt lists ${listed.length} tests; at most ${MAX_KNOWN_RED} are allowed, fix some of them`,
    );
  }
  return listed;
};

const parseLine = (line: string): KnownRed => {
  const [test, cause, issue, command, ...rest] = line
    .split("|")
    .map((field) => field.trim());
  if (!test || !cause || !issue || !command || rest.length > 0) {
    throw new Error(
      `KNOWN-RED.txt: "${line}" is not of the form test | cause | issue | command and seed`,
    );
  }
  return { test, cause, issue, command };
};

export interface TestOutcome {
  readonly test: string;
  readonly passed: boolean;
}

export interface OutcomeComparison {
  /** Tests that failed and are not listed. */
  readonly unexpected: readonly string[];
  /** Listed tests that failed, as expected. */
  readonly knownRed: readonly KnownRed[];
  /** Listed tests that did not fail: they passed or were not run. */
  readonly notFailed: readonly KnownRed[];
}

/** Compares the failed tests with the listed ones. */
export const compareOutcomes = (
  outcomes: readonly TestOutcome[],
  listed: readonly KnownRed[],
): OutcomeComparison => {
  const failed = outcomes.filter(({ passed }) => !passed);
  const failedNames = new Set(failed.map(({ test }) => test));
  const listedNames = new Set(listed.map(({ test }) => test));
  return {
    unexpected: [...failedNames].filter((name) => !listedNames.has(name)),
    knownRed: listed.filter(({ test }) => failedNames.has(test)),
    notFailed: listed.filter(({ test }) => !failedNames.has(test)),
  };
};
