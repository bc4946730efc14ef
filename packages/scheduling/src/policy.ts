/** Mechanisms of the scheduler that an operator may tune or switch off. */

export interface SchedulingPolicy {
  /**
   * A filling task is placed beside serving tasks only where their tails are forecast
   * to stay below this share of their target.
   */
  readonly fillingTailLimit: number;
  /**
   * Standard deviations by which a pair of images is taken to disturb more than
   * expected when a filling task is placed; 0 for none.
   */
  readonly weightCaution: number;
  /** Whether filling tasks begin at the pace that the tails beside them allow. */
  readonly startsSlowly: boolean;
  /** Whether hosts without serving tasks are filled beyond their processors. */
  readonly overfillsFreeHosts: boolean;
  /** Whether serving tasks of one image are kept together on few hosts. */
  readonly packsServing: boolean;
  /** Whether it is learnt which images disturb which; else all pairs are taken as alike. */
  readonly learnsInterference: boolean;
  /** Whether estimated run times are corrected by those that were seen. */
  readonly correctsEstimates: boolean;
  /** Whether filling tasks that crawl go on elsewhere from their checkpoint. */
  readonly movesCrawling: boolean;
  /** Whether tasks that stand still are stopped and started elsewhere. */
  readonly movesStalled: boolean;
  /** Whether tasks are moved off hosts that are slower than others. */
  readonly movesFromSlowHosts: boolean;
  /** Whether hosts that fail task after task get none for a while. */
  readonly ejectsFailingHosts: boolean;
  /**
   * How often checkpoints of running tasks are kept in the store, milliseconds;
   * 0 keeps them only when a task of the job ends. After a power cut
   * tasks go on from them.
   */
  readonly checkpointEveryMs: number;
  /**
   * How often what was learnt is kept for the next leader, milliseconds; 0 for never.
   * A new leader learns pairs of images again in 10 to 30 s otherwise.
   */
  readonly learntEveryMs: number;
}

/** What holds where the settings say nothing. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  fillingTailLimit: 0.64,
  weightCaution: 1,
  startsSlowly: true,
  overfillsFreeHosts: true,
  packsServing: true,
  learnsInterference: true,
  correctsEstimates: true,
  movesCrawling: true,
  movesStalled: true,
  movesFromSlowHosts: true,
  ejectsFailingHosts: true,
  checkpointEveryMs: 1_000,
  learntEveryMs: 2_000,
};
