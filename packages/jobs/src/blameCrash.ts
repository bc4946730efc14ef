/** Tells which runs of a host speak against their tasks when its worker is lost. */

import { runKeyOf } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import type { CrashEvidence } from "@rackspan/state";
import { CRASH_LIMITS } from "./CrashLog.js";
import {
  isApart,
  refOf,
  workedMs,
  type ActiveRun,
  type HostLedger,
} from "./HostLedger.js";

/** How a worker's life was lost: it crashed, or its host was silent until its lease was over. */
export type WorkerLoss = "crashed" | "silent";

/**
 * A run that began apart answers for the crash, and those beside it go free: they
 * only shared the worker. Else each run there may have done it, most of all those
 * of which the side knows that they were at work. Without that knowledge a run that
 * had ended unheard of would count as a crash under its task.
 *
 * @param lostRuns what the side tells of the runs that were lost with the worker
 * @returns nothing for a worker that was leaving: its end was planned
 */
export const blameCrash = (
  ledger: HostLedger,
  loss: WorkerLoss,
  lostRuns: readonly LostRun[],
): ReadonlyMap<ActiveRun, CrashEvidence> => {
  if (ledger.worker.draining) return new Map();
  const runs = [...ledger.runs.values()];
  if (loss === "silent") return new Map(runs.map((run) => [run, "lost"]));
  const atWork = new Set(
    lostRuns.filter(({ wasAtWork }) => wasAtWork).map(runKeyOf),
  );
  const wasAtWork = (run: ActiveRun): boolean =>
    atWork.has(runKeyOf(refOf(run)));
  const sole = findSole(runs);
  if (sole && wasAtWork(sole)) return new Map([[sole, proofOf(sole)]]);
  return new Map(runs.map((run) => [run, evidenceOf(run, wasAtWork(run))]));
};

/** The run that began apart, unless another one had begun just before it. */
const findSole = (runs: readonly ActiveRun[]): ActiveRun | undefined => {
  const sole = runs.find(isApart);
  if (!sole) return undefined;
  const others = runs.filter((run) => run !== sole);
  const isAlone = others.every(
    (run) => isSettled(run) || hasSettledAfter(sole.startedAt - run.startedAt),
  );
  return isAlone ? sole : undefined;
};

const proofOf = (sole: ActiveRun): CrashEvidence =>
  wasShown(sole) ? "sole" : "unanswered";

const evidenceOf = (run: ActiveRun, wasAtWork: boolean): CrashEvidence =>
  evidenceAfter(wasShown(run) ? workedMs(run) : undefined, wasAtWork);

const wasShown = ({ shownFirstAt }: ActiveRun): boolean =>
  shownFirstAt !== undefined;

/**
 * @param ms for how long the worker had shown the run when it crashed; undefined
 *   when it never had
 * @param wasAtWork whether its side knows that it was at work then
 */
export const evidenceAfter = (
  ms: number | undefined,
  wasAtWork: boolean,
): CrashEvidence => {
  if (ms === undefined) return "unseen";
  if (!wasAtWork) return "unheard";
  return hasSettledAfter(ms) ? "settled" : "young";
};

/** Whether a run that worked for so long is not thought of first when its worker crashes. */
export const hasSettledAfter = (ms: number): boolean =>
  ms >= CRASH_LIMITS.settledMs;

export const isSettled = (run: ActiveRun): boolean =>
  hasSettledAfter(workedMs(run));
