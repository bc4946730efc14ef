import { test } from "node:test";
import { expect } from "earl";
import { drawFaults, derivedRandom } from "@rackspan/soak";

test("a seed determines all faults and their times", () => {
  expect(drawFaults(7, 20)).toEqual(drawFaults(7, 20));
});

test("only the given series are drawn", () => {
  const kinds = drawFaults(7, 20, ["frozenLeader"]).map(({ kind }) => kind);
  expect([...new Set(kinds)]).toEqual(["frozenLeader"]);
});

test("small seeds differ from the first draw", () => {
  const draws = [1, 2, 3, 4].map((seed) =>
    derivedRandom(seed, "faults").next(),
  );
  const spread = Math.max(...draws) - Math.min(...draws);
  expect(spread > 0.2).toEqual(true);
});
