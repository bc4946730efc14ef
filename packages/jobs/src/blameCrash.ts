/** Tells which runs of a host speak against their tasks when its worker is lost. */

import type { CrashEvidence } from "@rackspan/state";
import { CRASH_LIMITS } from "./CrashLog.js";
import {
  isApart,
  workedMs,
  type ActiveRun,
  type HostLedger,
} from "./HostLedger.js";

/** How a worker's life was lost: it crashed, or its host was silent until its lease was over. */
export type WorkerLoss = "crashed" | "silent";

/**
 * A run that began apart answers for the crash, and those beside it go free: they
 * only shared the worker. Else each run there may have done it.
 *
 * @returns nothing for a worker that was leaving: its end was planned
 */
export const blameCrash = (
  ledger: HostLedger,
  loss: WorkerLoss,
): ReadonlyMap<ActiveRun, CrashEvidence> => {
  if (ledger.worker.draining) return new Map();
  const runs = [...ledger.runs.values()];
  const sole = loss === "crashed" ? findSole(runs) : undefined;
  if (sole) return new Map([[sole, wasShown(sole) ? "sole" : "unanswered"]]);
  return new Map(runs.map((run) => [run, evidenceOf(run, loss)]));
};

/** The run that began apart, unless another one had begun just before it. */
const findSole = (runs: readonly ActiveRun[]): ActiveRun | undefined => {
  const sole = runs.find(isApart);
  if (!sole) return undefined;
  const others = runs.filter((run) => run !== sole);
  const isAlone = others.every(
    (run) =>
      isSettled(run) ||
      sole.startedAt - run.startedAt >= CRASH_LIMITS.settledMs,
  );
  return isAlone ? sole : undefined;
};

const evidenceOf = (run: ActiveRun, loss: WorkerLoss): CrashEvidence => {
  if (loss === "silent") return "lost";
  return evidenceAfter(wasShown(run) ? workedMs(run) : undefined);
};

const wasShown = ({ shownFirstAt }: ActiveRun): boolean =>
  shownFirstAt !== undefined;

/**
 * @param ms for how long the worker had shown the run when it crashed; undefined
 *   when it never had
 */
export const evidenceAfter = (ms: number | undefined): CrashEvidence => {
  if (ms === undefined) return "unseen";
  return ms >= CRASH_LIMITS.settledMs ? "settled" : "young";
};

export const isSettled = (run: ActiveRun): boolean =>
  workedMs(run) >= CRASH_LIMITS.settledMs;
