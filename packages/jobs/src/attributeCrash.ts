/** Tells which runs of a host speak against their tasks when its worker is lost. */

import { runKeyOf } from "@rackspan/ports";
import type { LostRun } from "@rackspan/protocol";
import type { CrashEvidence } from "@rackspan/state";
import { CRASH_LIMITS } from "./CrashLog.js";
import {
  isIsolated,
  runRefOf,
  workedMs,
  type ActiveRun,
  type HostState,
} from "./HostState.js";
import type { JobTask } from "./JobTask.js";
import type { StepRun } from "./StepRun.js";

/** How a worker's life was lost: it crashed, or its host was silent until its lease was over. */
export type WorkerLoss = "crashed" | "silent";

/**
 * What the side knows of a lost run: whether it was at work when its worker ended.
 * `unreached`: its worker had stopped answering before the run was ordered.
 */
export type LostRunState =
  "at-work" | "may-have-ended" | "unheard" | "unreached";

/**
 * A look that breaks off shows a run at work only while it is far from its end: the
 * look, or the answer that tells of the end, may have been held up on its way.
 *
 * @param expectedMs how long a run of the task is expected to take; undefined for one
 *   that lasts
 */
export const lostRunStateOf = (
  { wasAtWork, orderedMs = 0 }: Pick<LostRun, "wasAtWork" | "orderedMs">,
  expectedMs: number | undefined,
): LostRunState => {
  if (orderedMs < 0) return "unreached";
  if (!wasAtWork) return "unheard";
  if (expectedMs === undefined) return "at-work";
  const isFarFromEnd = orderedMs < CRASH_LIMITS.maxAtWorkShare * expectedMs;
  return isFarFromEnd ? "at-work" : "may-have-ended";
};

export interface WorkerCrash {
  readonly host: HostState;
  readonly loss: WorkerLoss;
  /** What the side tells of the runs that were lost with the worker. */
  readonly lostRuns: readonly LostRun[];
  /** How long a run of the step is expected to take; undefined for one that lasts. */
  readonly expectedMs: (step: StepRun) => number | undefined;
  /** Whether the side knows that the run had ended before its worker crashed. */
  readonly hasEnded: (run: ActiveRun) => boolean;
}

/**
 * A run that began apart counts for the crash, and those beside it do not: they
 * only shared the worker. Else each run there may have done it, most of all those
 * of which the side knows that they were at work. Without that knowledge a run that
 * had ended unheard of would count as a crash under its task.
 *
 * @returns nothing for a worker that was leaving: its end was planned
 */
export const attributeCrash = ({
  host: ledger,
  loss,
  lostRuns,
  expectedMs,
  hasEnded,
}: WorkerCrash): ReadonlyMap<ActiveRun, CrashEvidence> => {
  if (ledger.worker.draining) return new Map();
  const runs = [...ledger.runs.values()].filter((run) => !hasEnded(run));
  if (loss === "silent") return new Map(runs.map((run) => [run, "lost"]));
  const told = new Map(lostRuns.map((lost) => [runKeyOf(lost), lost]));
  const sightOfRun = (run: ActiveRun): LostRunState => {
    const lost = told.get(runKeyOf(runRefOf(run)));
    return lost ? lostRunStateOf(lost, expectedMs(run.task.step)) : "unheard";
  };
  const sights = new Map(runs.map((run) => [run, sightOfRun(run)]));
  const sole = findSole(runs.filter((run) => sights.get(run) !== "unreached"));
  const soleSight = sole && sights.get(sole);
  if (sole && soleSight && soleSight !== "unheard") {
    const evidence = evidenceOfIsolatedRun(
      sole.task,
      wasShown(sole),
      soleSight,
    );
    return new Map([[sole, evidence]]);
  }
  return new Map(
    [...sights].map(([run, sight]) => [run, evidenceOf(run, sight)]),
  );
};

/** The run that began apart, unless another one had begun just before it. */
const findSole = (runs: readonly ActiveRun[]): ActiveRun | undefined => {
  const sole = runs.find(isIsolated);
  if (!sole) return undefined;
  const others = runs.filter((run) => run !== sole);
  const isAlone = others.every(
    (run) => isSettled(run) || hasSettledAfter(sole.startedAt - run.startedAt),
  );
  return isAlone ? sole : undefined;
};

/**
 * What a run that began apart says of its task: proof, where the worker had shown it
 * and it was at work for certain. One that went on from a checkpoint may have had
 * little left to do.
 */
export const evidenceOfIsolatedRun = (
  { checkpoint, step }: JobTask,
  wasShownThere: boolean,
  sight: LostRunState,
): CrashEvidence => {
  const mayBeShort = checkpoint !== "" && !step.spec.lasting;
  const isProof = wasShownThere && sight === "at-work" && !mayBeShort;
  return isProof ? "sole" : "unanswered";
};

const evidenceOf = (run: ActiveRun, sight: LostRunState): CrashEvidence =>
  evidenceOfSharedRun(wasShown(run) ? workedMs(run) : undefined, sight);

const wasShown = ({ firstSeenAt: shownFirstAt }: ActiveRun): boolean =>
  shownFirstAt !== undefined;

/**
 * @param ms for how long the worker had shown the run when it crashed; undefined
 *   when it never had
 */
export const evidenceOfSharedRun = (
  ms: number | undefined,
  sight: LostRunState,
): CrashEvidence => {
  if (sight === "unreached") return "unknown";
  if (ms === undefined) return "unseen";
  if (sight === "unheard") return "unheard";
  if (sight === "at-work") return hasSettledAfter(ms) ? "settled" : "young";
  // It may have ended, so it speaks less against its task.
  return hasSettledAfter(ms) ? "unseen" : "unheard";
};

/** Whether a run that worked for so long is not thought of first when its worker crashes. */
export const hasSettledAfter = (ms: number): boolean =>
  ms >= CRASH_LIMITS.settledMs;

export const isSettled = (run: ActiveRun): boolean =>
  hasSettledAfter(workedMs(run));
