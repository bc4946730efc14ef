/** The soak plays the features that callers get: those that the templates in deploy/ switch on. */

import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "node:test";
import { expect } from "earl";
import { DEPLOYED } from "@rackspan/soak";

const flagsOf = (file: string): string[] => {
  const url = new URL(`../../../deploy/${file}`, import.meta.url);
  const text = readFileSync(fileURLToPath(url), "utf8");
  return [...text.matchAll(/"(\w+)": true/g)].map(([, flag = ""]) => flag);
};

test("the settings of the soak have the features that are deployed, and no others", () => {
  const { peers, policy, worker } = DEPLOYED;
  expect(Object.keys({ ...peers, ...policy }).sort()).toEqual(
    flagsOf("entry.jsonc").sort(),
  );
  expect(Object.keys(worker)).toEqual(flagsOf("side.jsonc"));
});
