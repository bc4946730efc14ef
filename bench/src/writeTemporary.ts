/** Writes a value to a temporary file for the command line. */

import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const writeTemporary = (value: unknown): string => {
  const path = join(
    mkdtempSync(join(tmpdir(), "rackspan-bench-")),
    "value.json",
  );
  writeFileSync(path, JSON.stringify(value));
  return path;
};
