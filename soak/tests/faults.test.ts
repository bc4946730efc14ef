import { test } from "node:test";
import { expect } from "earl";
import { drawFaults, mixedRandom } from "@rackspan/soak";

test("a seed decides all faults, and when they come", () => {
  expect(drawFaults(7, 20)).toEqual(drawFaults(7, 20));
});

test("only the named series are drawn when there are some", () => {
  const kinds = drawFaults(7, 20, ["frozenLeader"]).map(({ kind }) => kind);
  expect([...new Set(kinds)]).toEqual(["frozenLeader"]);
});

test("small seeds differ from their first draw on", () => {
  const draws = [1, 2, 3, 4].map((seed) => mixedRandom(seed, "faults").next());
  const spread = Math.max(...draws) - Math.min(...draws);
  expect(spread > 0.2).toEqual(true);
});
