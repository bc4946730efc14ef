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
const MAX_UNLISTED = 64;

export class TaskDescriptions {
  private readonly profiles = new Map<JobTaskId, InterferenceProfile>();
  /** By serving image, then filling image. */
  private readonly weights = new Map<string, Map<string, number>>();

  describe(task: JobTaskId, profile: InterferenceProfile): void {
    this.profiles.set(task, profile);
  }

  /** Replaces all weights by those that the leader sent for the images on this host. */
  updateDisturbances(disturbances: readonly InterferenceWeight[]): void {
    this.weights.clear();
    for (const { serving, filling, weight } of disturbances) {
      const weightsByFilling =
        this.weights.get(serving) ?? new Map<string, number>();
      weightsByFilling.set(filling, weight);
      this.weights.set(serving, weightsByFilling);
    }
  }

  isFilling({ task }: RunningTask): boolean {
    return this.profiles.get(task)?.kind === "filling";
  }

  imageOf({ task }: RunningTask): string | undefined {
    return this.profiles.get(task)?.image;
  }

  /** Increase of the logarithm of the serving image's tail for each core that the task uses. */
  weightOf(serving: string, row: RunningTask): number {
    return this.weights.get(serving)?.get(this.imageOf(row) ?? "") ?? 0;
  }

  /** Thousandths of a core that the task requests, at least one. */
  demandOf({ task }: RunningTask): number {
    return Math.max(1, this.profiles.get(task)?.milliCores ?? 0);
  }

  /** Tail latencies of the running serving tasks, relative to their targets. */
  servingTails(running: readonly RunningTask[]): ServingTail[] {
    const tails: ServingTail[] = [];
    for (const { task, reading } of running) {
      const profile = this.profiles.get(task);
      if (profile?.kind !== "serving" || profile.tailTargetMs <= 0) continue;
      const { image, tailTargetMs } = profile;
      tails.push({ task, image, tail: reading / tailTargetMs });
    }
    return tails;
  }

  /** Drops descriptions of tasks that no longer run, once there are many of them. */
  retainOnly(tasks: ReadonlySet<JobTaskId>): void {
    if (this.profiles.size <= 2 * tasks.size + MAX_UNLISTED) return;
    for (const task of this.profiles.keys()) {
      if (!tasks.has(task)) this.profiles.delete(task);
    }
  }
}
