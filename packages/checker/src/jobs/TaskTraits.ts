/** What the modelled workers know of a task. */

import type { GangRun } from "./GangBook.js";

/** What a task asks for and how it fares; told by its id. */
export interface TaskTraits {
  /** Of the worker's room; none where it fills. */
  readonly milliCores: number;
  /** Milliseconds until it ends by itself; undefined for one that lasts. */
  readonly runMs: number | undefined;
  readonly fails: boolean;
  /** Whether it crashes each worker that starts it. */
  readonly crashes: boolean;
  /** Undefined for a task of no gang. */
  readonly gang: Omit<GangRun, "key"> | undefined;
  /** As workers list it; see TaskHost. */
  readonly reading: number;
  readonly saves: boolean;
}
