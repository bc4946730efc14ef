/** Feeds what a host reported into the book of interference, and tells its side what is known. */

import { MILLI_CORES_PER_CORE } from "@rackspan/common";
import {
  natureOf,
  type ActiveRun,
  type HostLedger,
  type InterferenceBook,
} from "@rackspan/jobs";
import type { Disturbance } from "@rackspan/protocol";
import type { ImageName } from "@rackspan/state";

const FULL_PROGRESS = 100;
/** Weights and tails are told to three decimal places. */
const TOLD_STEPS = 1_000;
/** Weaker pairs are not worth telling. */
const LEAST_TOLD_WEIGHT = 0.01;

/** Reads the runs of the ledger as the last report left them. */
export const learnInterference = (
  ledger: HostLedger,
  book: InterferenceBook,
): void => {
  const filling = new Map<ImageName, number>();
  const serving: ActiveRun[] = [];
  for (const run of ledger.runs.values()) {
    const { kind, image } = natureOf(run.task);
    const name = image as unknown as ImageName;
    if (kind === "filling") {
      filling.set(
        name,
        (filling.get(name) ?? 0) + run.reading / MILLI_CORES_PER_CORE,
      );
    }
    // Tasks that are still warming up have no tail of their own yet.
    if (kind === "serving" && run.progressPercent >= FULL_PROGRESS) {
      serving.push(run);
    }
  }
  for (const { task, reading } of serving) {
    const { image, tailTargetMs } = task.step.spec;
    book.learn(image, reading / tailTargetMs, filling);
  }
};

/** What is known of the images that run there now. */
export const disturbancesOn = (
  ledger: HostLedger,
  book: InterferenceBook,
): Disturbance[] => {
  const { serving, filling } = ledger.images();
  const told: Disturbance[] = [];
  for (const server of serving) {
    for (const filler of filling.keys()) {
      const weight =
        Math.round(book.weight(server, filler) * TOLD_STEPS) / TOLD_STEPS;
      if (weight < LEAST_TOLD_WEIGHT) continue;
      told.push({ serving: server, filling: filler, weight });
    }
  }
  return told;
};

/** Tails of the serving images there when nothing disturbs them. */
export const undisturbedTails = (
  ledger: HostLedger,
  book: InterferenceBook,
): Record<string, number> => {
  const bases: Record<string, number> = {};
  for (const image of ledger.images().serving) {
    bases[image] = Math.round(book.base(image) * TOLD_STEPS) / TOLD_STEPS;
  }
  return bases;
};
