import { test } from "node:test";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "earl";
import fc from "fast-check";
import { z } from "zod";
import {
  checkDocument,
  loadSettings,
  overrideFromFlag,
  overridesFromEnvironment,
  parseDocument,
  SettingsError,
  type Fault,
} from "@rackspan/kernel";

const schema = z.strictObject({
  name: z.string(),
  listen: z.strictObject({
    port: z.number().int().max(65_535),
    address: z.string().default("::1"),
  }),
});

const faultsOf = (work: () => unknown): readonly Fault[] => {
  try {
    work();
  } catch (err) {
    if (err instanceof SettingsError) return err.faults;
    throw err;
  }
  return [];
};

const check = (text: string): readonly Fault[] =>
  faultsOf(() => checkDocument(schema, parseDocument("a.jsonc", text)));

test("all faults are reported at once, each with its line, path and remedy", () => {
  const faults = check(
    '{\n  // a comment\n  "name": 7,\n  "listen": {\n    "port": 70000,\n    "prot": 1,\n  },\n}',
  );
  expect(faults.map(({ line, path }) => [line, path])).toEqual([
    [3, "name"],
    [5, "listen.port"],
    [4, "listen"],
  ]);
  expect(faults[2]?.remedy ?? "").toEqual(expect.includes("prot"));
});

test("syntax faults and duplicate keys are reported with their lines", () => {
  expect(check('{\n  "name": \n}')[0]?.line).toEqual(3);
  const [twice] = check(
    '{\n  "name": "a",\n  "listen": { "port": 1 },\n  "name": "b"\n}',
  );
  expect([twice?.line, twice?.path]).toEqual([4, "name"]);
  expect(check("").length).toEqual(1);
});

test("flags take precedence over the environment, which takes precedence over the file", () => {
  const file = join(mkdtempSync(join(tmpdir(), "rackspan-test-")), "s.jsonc");
  writeFileSync(file, '{ "name": "file", "listen": { "port": 1 } }');
  const environment = overridesFromEnvironment({
    RACKSPAN__listen__port: "2",
    RACKSPAN__name: "env",
    HOME: "/x",
  });
  const fromEnvironment = loadSettings({
    file,
    schema,
    overrides: environment,
  });
  expect(fromEnvironment).toEqual({
    name: "env",
    listen: { port: 2, address: "::1" },
  });
  const overrides = [...environment, overrideFromFlag("listen.port=3")];
  expect(loadSettings({ file, schema, overrides }).listen.port).toEqual(3);
});

test("an override with an invalid path is a fault and cannot change a prototype", () => {
  const file = join(mkdtempSync(join(tmpdir(), "rackspan-test-")), "s.jsonc");
  writeFileSync(file, '{ "name": "file", "listen": { "port": 1 } }');
  for (const flag of ["listen", "=3", "listen..port=1", "__proto__.x=1"]) {
    const faults = faultsOf(() =>
      loadSettings({ file, schema, overrides: [overrideFromFlag(flag)] }),
    );
    expect(faults.length > 0).toEqual(true);
  }
  expect(({} as Record<string, unknown>)["x"]).toEqual(undefined);
});

test("any input yields a value or a list of faults", () => {
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    fc.string({
      unit: fc.constantFrom(
        "{",
        "}",
        "[",
        "]",
        '"',
        ":",
        ",",
        "a",
        "1",
        "/",
        "*",
        "\n",
      ),
      maxLength: 60,
    }),
  );
  fc.assert(
    fc.property(text, (source) => {
      for (const { line, file } of check(source)) {
        expect(line >= 1 && line <= source.split("\n").length).toEqual(true);
        expect(file).toEqual("a.jsonc");
      }
    }),
    { seed: 7, numRuns: 2_000 },
  );
});
