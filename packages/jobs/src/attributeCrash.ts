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
  host,
  loss,
  lostRuns,
  expectedMs,
  hasEnded,
}: WorkerCrash): ReadonlyMap<ActiveRun, CrashEvidence> => {
  if (host.worker.draining) return new Map();
  const runs = [...host.runs.values()].filter((run) => !hasEnded(run));
  if (loss === "silent") return new Map(runs.map((run) => [run, "lost"]));
  const reported = new Map(lostRuns.map((lost) => [runKeyOf(lost), lost]));
  const stateOfRun = (run: ActiveRun): LostRunState => {
    const lost = reported.get(runKeyOf(runRefOf(run)));
    return lost ? lostRunStateOf(lost, expectedMs(run.task.step)) : "unheard";
  };
  const states = new Map(runs.map((run) => [run, stateOfRun(run)]));
  const isolated = findIsolatedRun(
    runs.filter((run) => states.get(run) !== "unreached"),
  );
  const isolatedState = isolated && states.get(isolated);
  if (isolated && isolatedState && isolatedState !== "unheard") {
    const evidence = evidenceOfIsolatedRun(
      isolated.task,
      wasSeen(isolated),
      isolatedState,
    );
    return new Map([[isolated, evidence]]);
  }
  return new Map(
    [...states].map(([run, state]) => [run, evidenceOf(run, state)]),
  );
};

/** The run that began apart, unless another one had begun just before it. */
const findIsolatedRun = (runs: readonly ActiveRun[]): ActiveRun | undefined => {
  const isolated = runs.find(isIsolated);
  if (!isolated) return undefined;
  const others = runs.filter((run) => run !== isolated);
  const isAlone = others.every(
    (run) =>
      isSettled(run) || hasSettledAfter(isolated.startedAt - run.startedAt),
  );
  return isAlone ? isolated : undefined;
};

/**
 * What a run that began apart says of its task: proof, where the worker had shown it
 * and it was at work for certain. One that went on from a checkpoint may have had
 * little left to do.
 */
export const evidenceOfIsolatedRun = (
  { checkpoint, step }: JobTask,
  wasSeen: boolean,
  state: LostRunState,
): CrashEvidence => {
  const mayHaveBeenShort = checkpoint !== "" && !step.spec.lasting;
  const isProof = wasSeen && state === "at-work" && !mayHaveBeenShort;
  return isProof ? "sole" : "unanswered";
};

const evidenceOf = (run: ActiveRun, state: LostRunState): CrashEvidence =>
  evidenceOfSharedRun(wasSeen(run) ? workedMs(run) : undefined, state);

const wasSeen = ({ firstSeenAt }: ActiveRun): boolean =>
  firstSeenAt !== undefined;

/**
 * @param ms for how long the worker had shown the run when it crashed; undefined
 *   when it never had
 */
export const evidenceOfSharedRun = (
  ms: number | undefined,
  state: LostRunState,
): CrashEvidence => {
  if (state === "unreached") return "unknown";
  if (ms === undefined) return "unseen";
  if (state === "unheard") return "unheard";
  if (state === "at-work") return hasSettledAfter(ms) ? "settled" : "young";
  // It may have ended, so it speaks less against its task.
  return hasSettledAfter(ms) ? "unseen" : "unheard";
};

/** Whether a run that worked for so long is not thought of first when its worker crashes. */
export const hasSettledAfter = (ms: number): boolean =>
  ms >= CRASH_LIMITS.settledMs;

export const isSettled = (run: ActiveRun): boolean =>
  hasSettledAfter(workedMs(run));
