/** Program that runs the test file of its first argument and prints the outcomes. */

import { runTestFiles } from "@rackspan/harness";

const [file = "", fileTimeoutMs = ""] = process.argv.slice(2);
const outcomes = await runTestFiles({
  files: [file],
  fileTimeoutMs: Number(fileTimeoutMs),
  write: () => undefined,
});
process.stdout.write(JSON.stringify(outcomes));
process.exit(0);
