/** The `rackspan` binary. */

import { stopSignal } from "./handleFailure.js";
import { processOutput } from "./Output.js";
import { runRackspan } from "./runRackspan.js";

process.exitCode = await runRackspan({
  args: process.argv.slice(2),
  env: process.env,
  output: processOutput,
  stop: stopSignal(),
});
