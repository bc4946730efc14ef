/**
 * Demo on embedded stand-ins: applies an example's declarations and runs its three
 * kinds of work while a side and an entry are stopped as planned.
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { createLogger } from "@rackspan/common";
import {
  loadSite,
  Site,
  waitUntil,
  type SiteDescription,
} from "@rackspan/harness";
import { DemoLoad } from "./demoLoad.js";
import { findFaults, formatSummary, summarize } from "./demoSummary.js";
import { findScenario, type Scenario } from "./scenarios.js";

interface DemoOptions {
  readonly example: string;
  readonly json?: boolean;
  readonly keep?: boolean;
  readonly logLevel: "silent" | "error" | "warn" | "info" | "debug";
}

const EXAMPLES = fileURLToPath(new URL("../../examples", import.meta.url));
const WATCHES = 4;
const MIXED_LOAD_MS = 1_500;
const AFTER_STOP_MS = 500;

/** Returns the site with free ports, so that several demos can run concurrently. */
const onFreePorts = (site: SiteDescription): SiteDescription => ({
  ...site,
  logPort: 0,
  hostListPort: 0,
  workers: site.workers.map((worker) => ({ ...worker, workerPort: 0 })),
});

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

const unitsAreUp = (site: Site): boolean =>
  [...site.entries.values()].every(({ fold }) =>
    [...fold.units.unfinishedUnits()].every(
      ({ phase, spec }) => phase === "claimed" || spec.kind === "job",
    ),
  );

const servicesAnswer = (site: Site): boolean =>
  [...site.entries.values()].every(({ fold, sides }) =>
    fold.config
      .services()
      .every(
        ({ name, replicas }) =>
          replicas === 0 || sides.serving(name).length > 0,
      ),
  );

const jobsAreFinished = (site: Site): boolean =>
  [...site.entries.values()].every(({ fold }) =>
    [...fold.units.unfinishedUnits()].every(({ spec }) => spec.kind !== "job"),
  );

/** Returns the host of the first watch's endpoint, whose side is then stopped. */
const hostOfWatch = (load: DemoLoad): string => {
  const [endpoint] = load.watches[0]?.endpoints ?? [];
  return (endpoint ?? "").split("@")[1] ?? "";
};

const runLoad = async (
  site: Site,
  load: DemoLoad,
  folder: string,
): Promise<void> => {
  let files = 0;
  const writeJobs = (jobs: readonly unknown[]): string => {
    const path = join(folder, `jobs-${(files += 1)}.json`);
    writeFileSync(path, JSON.stringify(jobs));
    return path;
  };
  const quick = load.runQuick();
  await load.openWatches(WATCHES);
  await Promise.all([
    load.submitJobs(writeJobs),
    load.runOnce(),
    pause(MIXED_LOAD_MS),
  ]);
  await waitUntil(
    "the first watch has an event",
    () => hostOfWatch(load) !== "",
  );
  const host = hostOfWatch(load);
  await site.stopSide(host);
  await site.startSide(host);
  await pause(AFTER_STOP_MS);
  await site.stopEntry("entry-b");
  await pause(AFTER_STOP_MS);
  load.stopQuick();
  await quick;
  await waitUntil("all jobs have finished", () => jobsAreFinished(site));
};

const waitUntilInterrupted = (): Promise<void> =>
  new Promise((resolve) => {
    const alive = setInterval(() => undefined, 60_000);
    const end = (): void => {
      clearInterval(alive);
      resolve();
    };
    process.once("SIGINT", end);
    process.once("SIGTERM", end);
  });

const runDemo = async (
  options: DemoOptions,
  scenario: Scenario,
): Promise<number> => {
  const { example, json } = options;
  const printText = (text: string): void => {
    if (!json) process.stdout.write(`${text}\n`);
  };
  const printEvent = (event: object): void => {
    if (json) process.stdout.write(`${JSON.stringify(event)}\n`);
  };
  const folder = mkdtempSync(join(tmpdir(), "rackspan-demo-"));
  const description = onFreePorts(
    loadSite(join(EXAMPLES, example, "site.jsonc")),
  );
  const logger = createLogger({ level: options.logLevel });
  const site = new Site({ description, logger });
  const load = new DemoLoad(site, scenario);
  try {
    await site.start();
    printText(
      `${description.entries.length} entries and ${description.workers.length} side processes are ready`,
    );
    await site.operator.runOrThrow(
      "apply",
      join(EXAMPLES, example, "declarations"),
      "--wait",
    );
    await waitUntil(
      "all units are up",
      () => unitsAreUp(site) && servicesAnswer(site),
    );
    const control = [...site.entries.values()].map(
      ({ controlAddress }) => controlAddress,
    );
    printEvent({ event: "ready", entries: site.urls, control });
    printText(
      `declarations of ${example} are in force; entries: ${site.urls.join(" ")}; control: ${control.join(" ")}`,
    );
    if (options.keep) {
      await waitUntilInterrupted();
      return 0;
    }
    await runLoad(site, load, folder);
    const summary = summarize(site, load, scenario);
    const faults = findFaults(summary);
    printText(formatSummary(summary));
    for (const fault of faults) process.stderr.write(`fault: ${fault}\n`);
    printEvent(summary);
    return faults.length === 0 ? 0 : 1;
  } finally {
    load.close();
    await site.close();
    rmSync(folder, { recursive: true, force: true });
  }
};

const program = new Command("demo")
  .option("--example <name>", "kaigi or bayfinder", "kaigi")
  .option("--json", "events as JSON lines, for programs")
  .option("--keep", "keep running until SIGINT, for manual tests")
  .option(
    "--log-level <level>",
    "log level of all processes; logs go to standard error",
    "silent",
  )
  .parse();
const options = program.opts<DemoOptions>();
process.exitCode = await runDemo(options, findScenario(options.example));
