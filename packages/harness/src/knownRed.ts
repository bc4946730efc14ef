/** Tests that are known to fail, as KNOWN-RED.txt at the root lists them. */

export interface KnownRed {
  /** Name of the test, as the test file gives it. */
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
  /** How it is run, and with which seed. */
  readonly command: string;
}

/** More than this is not a list of exceptions any more. */
export const MAX_KNOWN_RED = 3;

/** @throws Error when a line has another form, or there are too many of them */
export const parseKnownRed = (text: string): KnownRed[] => {
  const lines = text.split("\n").map((line) => line.trim());
  const listed = lines
    .filter((line) => line !== "" && !line.startsWith("#"))
    .map(parseLine);
  if (listed.length > MAX_KNOWN_RED) {
    throw new Error(
      `KNOWN-RED.txt lists ${listed.length} tests, ${MAX_KNOWN_RED} at most may be; mend some`,
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
  /** Listed tests that did not fail: they passed, or were not run. */
  readonly notFailed: readonly KnownRed[];
}

/** Compares what failed with what is known to fail. */
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
