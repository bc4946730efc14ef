/** Scheduler features that an operator may tune or disable. */

export interface SchedulingPolicy {
  /**
   * A filling task is placed beside serving tasks only if their tail latencies are
   * forecast to stay below this share of their targets.
   */
  readonly fillingTailLimit: number;
  /**
   * Standard deviations that are added to the expected interference of a pair of images
   * when a filling task is placed; 0 for none.
   */
  readonly weightCaution: number;
  /**
   * Whether filling tasks start at the pace that the tail latencies of the serving
   * tasks on the host allow.
   */
  readonly startsSlowly: boolean;
  /** Whether hosts without serving tasks are overcommitted with filling tasks. */
  readonly overfillsFreeHosts: boolean;
  /** Whether serving tasks of one image are packed on few hosts. */
  readonly packsServing: boolean;
  /**
   * Whether running serving tasks are moved together, if that leaves a host to filling
   * tasks that wait or run beside them.
   */
  readonly consolidatesServing: boolean;
  /**
   * Whether the interference between images is learned; otherwise all pairs are assumed
   * to interfere equally.
   */
  readonly learnsInterference: boolean;
  /** Whether estimated run times are corrected by observed ones. */
  readonly correctsEstimates: boolean;
  /**
   * Whether crawling filling tasks are stopped and continue elsewhere from their
   * checkpoint.
   */
  readonly movesCrawling: boolean;
  /** Whether stalled tasks are stopped and started elsewhere. */
  readonly movesStalled: boolean;
  /** Whether tasks are moved off hosts that are slower than others. */
  readonly movesFromSlowHosts: boolean;
  /** Whether hosts on which tasks fail repeatedly get no tasks for a while. */
  readonly ejectsFailingHosts: boolean;
  /**
   * Whether filling tasks are placed by a forecast of how the load of the serving tasks
   * swings during their run time, instead of by the last reading only.
   */
  readonly forecastsServingLoad: boolean;
  /**
   * Replaces `fillingTailLimit` for serving tasks whose swing is forecast with
   * confidence: then the limit need not leave room for the swing.
   */
  readonly forecastTailLimit: number;
  /**
   * Whether the filling tasks that wait in one scheduling cycle are assigned to hosts
   * jointly, instead of one after the other.
   */
  readonly assignsFillingJointly: boolean;
  /**
   * How often checkpoints of running tasks are persisted, milliseconds; 0 persists them
   * only when a task of the job ends. After a power failure tasks continue from them.
   */
  readonly checkpointEveryMs: number;
  /**
   * How often learned state is persisted for the next leader, milliseconds; 0 for
   * never. Without it a new leader needs 10 to 30 s to learn the pairs of images again.
   */
  readonly learntEveryMs: number;
  /**
   * Whether the host of each start is persisted before the start is ordered. After a
   * takeover a task then waits only for that host, instead of for all hosts.
   */
  readonly recordsPlacements: boolean;
}

/** Values used where the settings contain none. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  fillingTailLimit: 0.64,
  weightCaution: 1,
  startsSlowly: true,
  overfillsFreeHosts: true,
  packsServing: true,
  consolidatesServing: false,
  learnsInterference: true,
  correctsEstimates: true,
  movesCrawling: true,
  movesStalled: true,
  movesFromSlowHosts: true,
  ejectsFailingHosts: true,
  forecastsServingLoad: false,
  forecastTailLimit: 0.76,
  assignsFillingJointly: false,
  checkpointEveryMs: 1_000,
  learntEveryMs: 2_000,
  recordsPlacements: false,
};
