/** `npm run bench -- NAME [options]`: runs one benchmark, or lists them. */

import { benchmarks } from "./benchmarks.js";
import "./capacity.js";
import "./config.js";
import "./decisions.js";
import "./path.js";
import "./routing.js";
import "./starts.js";
import "./state.js";

const [name, ...args] = process.argv.slice(2);
const run = name === undefined ? undefined : benchmarks.get(name);
if (run) {
  await run(args);
} else {
  const names = [...benchmarks.keys()].sort().join(", ");
  process.stderr.write(`benchmarks: ${names}\n`);
  process.exitCode = 2;
}
