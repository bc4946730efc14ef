/** The `rackspan-side` binary. */

import { stopSignal } from "./handleFailure.js";
import { processOutput } from "./Output.js";
import { runSide } from "./runSide.js";

process.exitCode = await runSide({
  args: process.argv.slice(2),
  env: process.env,
  output: processOutput,
  stop: stopSignal(),
});
