/**
 * What the leader has sent about the tasks on this host: a description of each task, and
 * how much the images there disturb each other.
 */

import type { JobTaskId } from "@rackspan/common";
import type { RunningTask } from "@rackspan/ports";
import type {
  InterferenceWeight,
  InterferenceProfile,
} from "@rackspan/protocol";
import type { ServingTail } from "./paceFactors.js";

/** Limit of ordered tasks that are not listed yet whose descriptions are kept. */
const KEPT_UNLISTED = 64;

export class TaskDescriptions {
  private readonly natures = new Map<JobTaskId, InterferenceProfile>();
  /** By serving image, then filling image. */
  private readonly weights = new Map<string, Map<string, number>>();

  describe(task: JobTaskId, nature: InterferenceProfile): void {
    this.natures.set(task, nature);
  }

  /** Replaces all weights by those that the leader sent for the images on this host. */
  updateDisturbances(disturbances: readonly InterferenceWeight[]): void {
    this.weights.clear();
    for (const { serving, filling, weight } of disturbances) {
      const row = this.weights.get(serving) ?? new Map<string, number>();
      row.set(filling, weight);
      this.weights.set(serving, row);
    }
  }

  isFilling({ task }: RunningTask): boolean {
    return this.natures.get(task)?.kind === "filling";
  }

  imageOf({ task }: RunningTask): string | undefined {
    return this.natures.get(task)?.image;
  }

  /** Increase of the logarithm of the serving image's tail for each core that the task uses. */
  weightOf(serving: string, row: RunningTask): number {
    return this.weights.get(serving)?.get(this.imageOf(row) ?? "") ?? 0;
  }

  /** Thousandths of a core that the task requests, at least one. */
  demandOf({ task }: RunningTask): number {
    return Math.max(1, this.natures.get(task)?.milliCores ?? 0);
  }

  /** Tail latencies of the running serving tasks, relative to their targets. */
  servingTails(running: readonly RunningTask[]): ServingTail[] {
    const tails: ServingTail[] = [];
    for (const { task, reading } of running) {
      const nature = this.natures.get(task);
      if (nature?.kind !== "serving" || nature.tailTargetMs <= 0) continue;
      const { image, tailTargetMs } = nature;
      tails.push({ task, image, tail: reading / tailTargetMs });
    }
    return tails;
  }

  /** Drops descriptions of tasks that no longer run, once there are many of them. */
  retainOnly(tasks: ReadonlySet<JobTaskId>): void {
    if (this.natures.size <= 2 * tasks.size + KEPT_UNLISTED) return;
    for (const task of this.natures.keys()) {
      if (!tasks.has(task)) this.natures.delete(task);
    }
  }
}
