/** Derives evidence against the tasks on a host from the loss of its worker. */

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

/** How a worker was lost: it crashed, or its host was silent until its lease expired. */
export type WorkerLoss = "crashed" | "silent";

/**
 * The last state of a lost run that the side has recorded:
 * - `at-work`: it was at work when its worker ended;
 * - `may-have-ended`: it was at work, but may have ended before its worker did;
 * - `unheard`: it is not known whether it was at work;
 * - `unreached`: its worker had stopped answering before the run was ordered.
 */
export type LostRunState =
  "at-work" | "may-have-ended" | "unheard" | "unreached";

/**
 * Determines the last known state of a lost run. An interrupted poll proves that a run was
 * at work only if the run was far from its expected end, because the poll or the answer
 * that reports the end may have been delayed.
 *
 * @param expectedMs expected duration of a run of the task; undefined for a lasting task
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
  /** The runs lost with the worker, as reported by the side. */
  readonly lostRuns: readonly LostRun[];
  /** Expected duration of a run of the step; undefined for a lasting one. */
  readonly expectedMs: (step: StepRun) => number | undefined;
  /** Whether the side has reported that the run ended before its worker crashed. */
  readonly hasEnded: (run: ActiveRun) => boolean;
}

/**
 * Attributes the loss of a worker to its runs. If one of them was isolated, the crash
 * counts against that one only, as the others merely shared the worker. Otherwise each
 * run may be the cause, most likely those that the side reports to have been at work.
 * Without that report a run that had ended unreported would count as a crash of its task.
 *
 * @returns an empty map for a draining worker, whose end was planned
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

/** The isolated run, unless another run had started just before it. */
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
 * Evidence against the task of an isolated run. It is proof (`sole`) if the worker had
 * reported the run and the run is known to have been at work. A run that resumed from a
 * checkpoint is no proof, as it may have had little left to do.
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
 * Evidence against the task of a run if the crash cannot be attributed to one run alone.
 *
 * @param ms for how long the worker had reported the run when it crashed; undefined
 *   if it never had
 */
export const evidenceOfSharedRun = (
  ms: number | undefined,
  state: LostRunState,
): CrashEvidence => {
  if (state === "unreached") return "unknown";
  if (ms === undefined) return "unseen";
  if (state === "unheard") return "unheard";
  if (state === "at-work") return hasSettledAfter(ms) ? "settled" : "young";
  // The run may have ended, so the evidence is weaker.
  return hasSettledAfter(ms) ? "unseen" : "unheard";
};

/** Whether a run with this working time is an unlikely cause of a crash of its worker. */
export const hasSettledAfter = (ms: number): boolean =>
  ms >= CRASH_LIMITS.settledMs;

export const isSettled = (run: ActiveRun): boolean =>
  hasSettledAfter(workedMs(run));
