/** Writes declarations to a temporary file for the command line. */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const writeDeclarations = (declarations: readonly unknown[]): string => {
  const folder = mkdtempSync(join(tmpdir(), "rackspan-test-"));
  const path = join(folder, "declarations.json");
  writeFileSync(path, JSON.stringify(declarations));
  return path;
};
