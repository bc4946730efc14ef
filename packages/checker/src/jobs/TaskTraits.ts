/** The properties of a task that a modelled worker uses. */

import type { GangRun } from "./GangRunTracker.js";

/** The demand of a task and the course of its run; looked up by the task's id. */
export interface TaskTraits {
  /** Share of the worker's capacity in thousandths of a core; 0 for a filling task. */
  readonly milliCores: number;
  /** Milliseconds until the task ends by itself; undefined for a lasting task. */
  readonly runMs: number | undefined;
  readonly fails: boolean;
  /** Whether the task crashes each worker that starts it. */
  readonly crashes: boolean;
  /** Undefined for a task of no gang. */
  readonly gang: Omit<GangRun, "key"> | undefined;
  /** The reading that workers list for the task; see TaskHost. */
  readonly reading: number;
  readonly savesCheckpoints: boolean;
}
