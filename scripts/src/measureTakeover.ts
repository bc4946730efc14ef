/**
 * `npm run measure:takeover -- --runs N`: how soon known tasks run again after a takeover
 * beside missing hosts, without and with recorded placements.
 */

import { Command } from "commander";
import {
  measureTakeover,
  type TakeoverCause,
  type TakeoverFigures,
} from "@rackspan/checker";
import { parseInteger } from "./parseInteger.js";

interface Options {
  readonly runs: number;
  readonly seed: number;
  readonly lost: number;
}

const { runs, seed, lost } = new Command("measure:takeover")
  .option("--runs <n>", "seeds to run", parseInteger, 200)
  .option("--seed <s>", "the first one", parseInteger, 1)
  .option("--lost <n>", "missing hosts, of 5", parseInteger, 1)
  .parse()
  .opts<Options>();

const CAUSES: readonly TakeoverCause[] = ["power-loss", "cut-off-hosts"];

const seconds = (ms: number): string => (ms / 1_000).toFixed(2);

const describe = (figures: readonly TakeoverFigures[]): string => {
  const sum = (of: (one: TakeoverFigures) => number): number =>
    figures.reduce((total, one) => total + of(one), 0);
  const max = (of: (one: TakeoverFigures) => number): number =>
    Math.max(...figures.map(of));
  const mean = (of: (one: TakeoverFigures) => number): number =>
    sum(of) / figures.length;
  const known = sum((one) => one.knownTasks);
  const prompt = sum((one) => one.startedPromptly);
  return [
    `${prompt} of ${known} known tasks started within 2 s (${(prompt / Math.max(1, known)).toFixed(3)})`,
    `longest time without a run of a lasting task: max ${seconds(max((one) => one.longestLastingGapMs))} s, mean ${seconds(mean((one) => one.longestLastingGapMs))} s`,
    `if its last host came back: max ${seconds(max((one) => one.longestGapElsewhereMs))} s, mean ${seconds(mean((one) => one.longestGapElsewhereMs))} s`,
    `${sum((one) => one.violations.length)} violations`,
  ].join("; ");
};

for (const cause of CAUSES) {
  for (const recordsPlacements of [false, true]) {
    const figures: TakeoverFigures[] = [];
    for (let at = seed; at < seed + runs; at += 1) {
      figures.push(
        await measureTakeover({
          seed: at,
          cause,
          lostHosts: lost,
          recordsPlacements,
        }),
      );
    }
    const flag = recordsPlacements ? "on" : "off";
    process.stdout.write(
      `${cause}, ${lost} of 5 hosts missing, ${runs} seeds from ${seed}, placements ${flag}: ${describe(figures)}\n`,
    );
  }
}
