/** Writes declarations to a file of their own, for the command line to read. */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const writeDeclarations = (declarations: readonly unknown[]): string => {
  const folder = mkdtempSync(join(tmpdir(), "rackspan-test-"));
  const path = join(folder, "declarations.json");
  writeFileSync(path, JSON.stringify(declarations));
  return path;
};
