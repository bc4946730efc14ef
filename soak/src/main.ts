/**
 * `npm run soak`: runs the bundled programs as real processes under faults. The seed
 * determines all random draws, including the faults and their times. Timing is real,
 * so that two runs of one seed are similar but not identical: reproducing a violation
 * may take several runs of its seed, and the logs of the first one are the evidence.
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Command } from "commander";
import type { JobViolation } from "@rackspan/checker";
import type { FaultKind } from "./faults.js";
import { killAllProcesses } from "./ManagedProcess.js";
import { runSoak, type SoakResult } from "./runSoak.js";
import { BundledPrograms } from "./BundledPrograms.js";

interface Options {
  readonly seed: string;
  readonly runs: string;
  readonly seconds: string;
  readonly programs: string;
  readonly logs: string;
  readonly only?: FaultKind[];
}

const countKinds = (violations: readonly JobViolation[]): string => {
  const counts = new Map<string, number>();
  for (const { kind } of violations)
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
  if (counts.size === 0) return "none";
  return [...counts].map(([kind, count]) => `${kind}:${count}`).join(",");
};

const formatResult = (seed: number, result: SoakResult, ms: number): string =>
  [
    `seed=${seed}`,
    `runs=${result.runs}`,
    `violations=${countKinds(result.violations)}`,
    `accepted=${result.accepted}`,
    `ended=${result.ended}`,
    `ownEnds=${result.unexpectedExits}`,
    `hosts=${result.hosts}`,
    `attempts=${result.maxAttempts}`,
    `oneId=${result.reusesId}`,
    `smallRecords=${result.storeLimits !== undefined}`,
    `slowLinks=${result.linkBytesPerInterval !== undefined}`,
    `seconds=${Math.round(ms / 1_000)}`,
    `faults=${result.faultKinds.join(",")}`,
  ].join(" ");

const runSeed = async (seed: number, options: Options): Promise<boolean> => {
  const folder = join(options.logs, `seed-${seed}`);
  const beganAt = performance.now();
  const result = await runSoak({
    seed,
    seconds: Number(options.seconds),
    programs: new BundledPrograms(options.programs),
    folder,
    only: options.only,
  });
  const lines = result.violations.map(
    ({ kind, at, detail }) =>
      `${new Date(performance.timeOrigin + at).toISOString()} ${kind}: ${detail}`,
  );
  writeFileSync(join(folder, "violations.log"), lines.join("\n"));
  console.log(formatResult(seed, result, performance.now() - beganAt));
  return result.violations.length === 0;
};

const program = new Command("soak")
  .option("--seed <number>", "seed of the first run", "1")
  .option("--runs <number>", "number of runs, with consecutive seeds", "1")
  .option("--seconds <number>", "duration of jobs and faults", "20")
  .option("--programs <folder>", "folder of the bundled programs", "target")
  .option("--logs <folder>", "folder for settings, logs and runs", "tmp/soak")
  .option("--only <kinds...>", "fault series; drawn from the seed by default")
  .action(async (options: Options) => {
    let clean = true;
    for (let at = 0; at < Number(options.runs); at += 1) {
      clean = (await runSeed(Number(options.seed) + at, options)) && clean;
    }
    process.exitCode = clean ? 0 : 1;
  });

process.on("exit", killAllProcesses);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.on(signal, () => process.exit(1));
}
await program.parseAsync();
