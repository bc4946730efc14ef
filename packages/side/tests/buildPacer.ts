/** Builds a pacer for one worker that runs a serving task beside filling tasks. */

import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type Epoch,
  type JobTaskId,
  type RunNumber,
  type WorkerInstance,
} from "@rackspan/common";
import type { RunRef, RunningTask, TaskHost } from "@rackspan/ports";
import { Pacer } from "@rackspan/side";

export const INSTANCE = brand<WorkerInstance>("w");
export const EPOCH = brand<Epoch>(1);
export const TARGET_MS = 10;
export const GRACE_MS = 4_000;
/** Interval between two polls of the worker, milliseconds. */
export const POLL_INTERVAL_MS = 250;

/** The only run of the task. */
export const runOf = (task: string): RunRef => ({
  task: brand<JobTaskId>(task),
  run: brand<RunNumber>(1),
});

/** The task as the worker lists it. */
export const row = (task: string, reading: number): RunningTask => ({
  ...runOf(task),
  checkpoint: "",
  progressPercent: 100,
  reading,
});

export interface PacerSetup {
  /** The fake worker. */
  readonly host: Pick<TaskHost, "pace">;
  /** Image of each filling task; tests start these tasks themselves. */
  readonly fillingImages: Readonly<Record<string, string>>;
}

export const buildPacer = ({ host, fillingImages }: PacerSetup) => {
  const clock = new ManualClock();
  const pacer = new Pacer({
    host: host as TaskHost,
    clock,
    logger: silentLogger,
    metrics: new Metrics(),
    tailGraceMs: GRACE_MS,
    tailAim: 0.9,
  });
  const describe = (task: string, kind: "serving" | "filling", image: string) =>
    pacer.describe(brand<JobTaskId>(task), {
      kind,
      image,
      tailTargetMs: kind === "serving" ? TARGET_MS : 0,
      milliCores: 4_000,
    });
  describe("server", "serving", "web");
  for (const [task, image] of Object.entries(fillingImages)) {
    describe(task, "filling", image);
  }
  return { clock, pacer };
};
