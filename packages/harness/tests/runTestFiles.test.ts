/** Guards against test runs that hang because a test file leaves a handle open. */

import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { expect } from "earl";

const HUNG_FILE = `
import { createServer } from "node:net";
import { test } from "node:test";
test("leaves a listener open", () => void createServer().listen(0));
`;
/** Time for a process to start and to run one test. */
const FILE_TIMEOUT_MS = 15_000;

const RUN_ONE_FILE = fileURLToPath(new URL("runOneFile.js", import.meta.url));

/** Runs the file from a separate process: node:test does not run files from within a test process. */
const outcomesOf = async (file: string): Promise<unknown> => {
  const args = [RUN_ONE_FILE, file, String(FILE_TIMEOUT_MS)];
  const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
  const { stdout } = await promisify(execFile)(process.execPath, args, { env });
  return JSON.parse(stdout);
};

test("a file whose process does not exit fails without blocking the run", async () => {
  const folder = mkdtempSync(join(tmpdir(), "rackspan-"));
  const file = join(folder, "hung.test.mjs");
  writeFileSync(file, HUNG_FILE);
  try {
    expect(await outcomesOf(file)).toEqual([
      { test: "leaves a listener open", passed: true },
      { test: file, passed: false },
    ]);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
