import { test } from "node:test";
import { expect } from "earl";
import {
  compareOutcomes,
  MAX_KNOWN_RED,
  parseKnownRed,
} from "@rackspan/harness";

const LINE = "a task runs once | given back twice | 19 | npm test, no seed";

test("known failures are read line by line, comments and empty lines aside", () => {
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

test("a known failure without its cause, issue or command is refused", () => {
  expect(() => parseKnownRed("a task runs once | given back twice")).toThrow(
    "is not of the form",
  );
  expect(() => parseKnownRed("a | b | c | d | e")).toThrow(
    "is not of the form",
  );
});

test("a long list of known failures is refused", () => {
  const lines = Array.from({ length: MAX_KNOWN_RED + 1 }, () => LINE);
  expect(() => parseKnownRed(lines.join("\n"))).toThrow("at most");
});

test("only listed tests may fail, and only while they fail", () => {
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
  const mended = { test: "a task runs once", passed: true };
  expect(compareOutcomes([mended], listed).notFailed).toEqual(listed);
  expect(compareOutcomes([], listed).notFailed).toEqual(listed);
});
