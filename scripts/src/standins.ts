/** Runs the stand-in platform of an example, to try the programs as separate processes. */

import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { loadSite, StandinPlatform } from "@rackspan/harness";

interface StandinsOptions {
  readonly example: string;
}

const EXAMPLES = fileURLToPath(new URL("../../examples", import.meta.url));

const program = new Command("standins")
  .option("--example <name>", "kaigi or bayfinder", "kaigi")
  .parse();
const { example } = program.opts<StandinsOptions>();
const site = loadSite(join(EXAMPLES, example, "site.jsonc"));
const platform = new StandinPlatform(site);
await platform.start();
for (const place of site.workers) {
  platform.listWorker(place, `127.0.0.1:${place.sidePort}`);
}
for (const place of site.entries) {
  platform.listEntry(place, `127.0.0.1:${place.controlPort}`);
}
process.stdout.write(
  `log ${platform.log.server.url}, host list ${platform.hostList.server.url}, ${site.workers.length} workers; end with SIGINT\n`,
);
const alive = setInterval(() => undefined, 60_000);
const end = async (): Promise<void> => {
  clearInterval(alive);
  await platform.close();
};
process.once("SIGINT", () => void end());
process.once("SIGTERM", () => void end());
