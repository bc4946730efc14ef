import { test } from "node:test";
import { expect } from "earl";
import {
  compareOutcomes,
  MAX_KNOWN_RED,
  parseKnownRed,
} from "@rackspan/harness";

const LINE = "a task runs once | given back twice | 19 | npm test, no seed";

test("known failures are parsed line by line, ignoring comments and empty lines", () => {
  expect(parseKnownRed(`# test | cause\n\n${LINE}\n`)).toEqual([
    {
      test: "a task runs once",
      cause: "given back twice",
      issue: "19",
      command: "npm test, no seed",
    },
  ]);
  expect(parseKnownRed("")).toEqual([]);
});

test("a known failure without cause, issue or command is rejected", () => {
  expect(() => parseKnownRed("a task runs once | given back twice")).toThrow(
    "is not of the form",
  );
  expect(() => parseKnownRed("a | b | c | d | e")).toThrow(
    "is not of the form",
  );
});

test("a list with too many known failures is rejected", () => {
  const lines = Array.from({ length: MAX_KNOWN_RED + 1 }, () => LINE);
  expect(() => parseKnownRed(lines.join("\n"))).toThrow("at most");
});

test("unlisted failures and listed tests that do not fail are reported", () => {
  const listed = parseKnownRed(LINE);
  const fails = { test: "a task runs once", passed: false };
  expect(compareOutcomes([fails], listed)).toEqual({
    unexpected: [],
    knownRed: listed,
    notFailed: [],
  });
  const other = { test: "another", passed: false };
  expect(compareOutcomes([fails, other], listed).unexpected).toEqual([
    "another",
  ]);
  const passing = { test: "a task runs once", passed: true };
  expect(compareOutcomes([passing], listed).notFailed).toEqual(listed);
  expect(compareOutcomes([], listed).notFailed).toEqual(listed);
});
