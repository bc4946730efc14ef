/** Constants and types that the components of the job engine share. */

import type {
  AvailabilityZone,
  Clock,
  Epoch,
  HostId,
  Logger,
  Metrics,
  Monotonic,
  PauseMeter,
  WorkerInstance,
} from "@rackspan/common";
import type {
  ActiveRun,
  HostState,
  JobRun,
  ProgressJournal,
  TakeoverGate,
} from "@rackspan/jobs";
import type { PermitService } from "@rackspan/ports";
import type { LearnedRecord, QueueKey, QueueSpec } from "@rackspan/state";
import type { HostSession } from "./HostSession.js";
import type { SchedulingPolicy } from "./policy.js";

export const ENGINE = {
  /**
   * A start order that was not carried out within this time expires; milliseconds of
   * the worker's clock.
   */
  startLeaseMs: 2_500,
  /**
   * Timeout for a host's answer to an order, milliseconds. The side repeats its calls
   * to the worker within this time.
   */
  orderTimeoutMs: 1_800,
  /** A host that has not reported for this long gets no new tasks, milliseconds. */
  quietMs: 1_600,
  /**
   * A host that has not reported for this long has missed a report, milliseconds. Sides
   * report each 0.5 s.
   */
  missedReportMs: 700,
  /** Minimum time between two scheduling cycles, milliseconds. */
  minCycleIntervalMs: 8,
  /**
   * A scheduling cycle that was due this long ago runs at once, and is logged;
   * milliseconds.
   */
  cycleOverdueMs: 400,
  /** A timer that fires later than this is logged, milliseconds. */
  lateTimerMs: 100,
  /**
   * A job with nothing running for this long gets one task started even if the task
   * disturbs others, milliseconds.
   */
  starvedMs: 1_500,
  /**
   * A lasting task that could not be placed for this long may use resources that are
   * reserved for plain tasks, milliseconds.
   */
  lastingGraceMs: 2_000,
  /** Maximum time between two ticks of the engine, milliseconds. */
  tickMs: 250,
  /** Timers may fire this much before they are due, milliseconds. */
  timerResolutionMs: 1,
  /** Number of run numbers per leader. All run numbers of a later leader are higher. */
  runsPerEpoch: 2 ** 20,
  /** A step whose ticket was refused is tried again after this, milliseconds. */
  badTicketPauseMs: 300,
  /** A plain task whose progress does not grow for this long is moved, milliseconds. */
  stallMs: 3_000,
  /**
   * A filling task that crawls for this long is stopped and continues elsewhere from
   * its checkpoint, since one such task delays its whole step; milliseconds. Longer
   * than two changes of pace.
   */
  crawlMs: 1_200,
  /** A host that refused a start gets no other for this long, milliseconds. */
  refusedPauseMs: 400,
  /**
   * For this long after the takeover gate has opened, steps are started in the order of
   * sortForTakeover, milliseconds. The tasks that waited are to start within this time.
   */
  takeoverOrderMs: 2_000,
  /**
   * A step whose placement the store refused to record is tried again after this,
   * milliseconds; the queue of records is full then.
   */
  unrecordedPauseMs: 300,
  /**
   * The same as `stallMs` for filling tasks, which may be throttled to a standstill for
   * a while.
   */
  fillingStallMs: 7_000,
} as const;

/**
 * Persists the list of workers to which leases may have been granted. It contains their
 * incarnations, so that the end of a listed incarnation proves that no lease is left to
 * wait for.
 */
export interface HostRoster {
  /**
   * Resolves once the store has recorded this incarnation, and no other, for the host's
   * worker.
   */
  persist(host: HostId, instance: WorkerInstance): Promise<void>;
  remove(host: HostId): void;
  /**
   * Settles once the store has recorded the host's last removal, at once if there was
   * none.
   * @returns false if another process is the leader by then
   */
  removalPersisted(host: HostId): Promise<boolean>;
  /**
   * Returns the recorded incarnation; undefined if none is recorded, or if the record
   * does not say which.
   */
  recordedInstance(host: HostId): WorkerInstance | undefined;
}

export interface EngineOptions {
  readonly epoch: Epoch;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Absent if pauses of this process are not measured. */
  readonly pauses?: PauseMeter | undefined;
  readonly journal: ProgressJournal;
  readonly roster: HostRoster;
  readonly gate: TakeoverGate;
  /** Name of the order of work; see stepOrders. */
  readonly order: string;
  /** Name of the task placer; see taskPlacers. */
  readonly placer: string;
  readonly policy: SchedulingPolicy;
  /** Longest lease of a worker, milliseconds of its clock. */
  readonly leaseMs: number;
  /** Time that a worker may take to stop a task, milliseconds. */
  readonly stopMs: number;
  /** Whether this process may still decide as the leader. */
  readonly mayDecide: () => boolean;
  /**
   * Returns the current configuration of the queue; undefined if the queue was deleted.
   */
  readonly queueOf: (queue: QueueKey) => QueueSpec | undefined;
  /**
   * Whether the operator has closed the zone for new starts. Tasks that run there
   * continue: moving them would discard work that nobody has asked to end.
   */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
  /** Persists learned state for the next leader. */
  readonly persistLearned: (record: LearnedRecord) => void;
  /** Undefined if the platform has no permit service. */
  readonly permits: PermitService | undefined;
  /**
   * Interval at which the load summary is published, milliseconds; never if 0 or
   * absent.
   */
  readonly loadSummaryIntervalMs?: number;
  /**
   * Epoch since which every leader has recorded all placements; undefined if their records
   * are not to be trusted. Used only with `policy.recordsPlacements`.
   */
  readonly placementsSince?: number | undefined;
  /**
   * Called once the placements of all tasks are persisted, although those of previous
   * leaders were not to be trusted.
   */
  readonly onPlacementsComplete?: () => Promise<void>;
}

/** A host with the session to its side, if there is one. */
export interface HostEntry {
  readonly hostState: HostState;
  session: HostSession | undefined;
  /** Settles once all ends that were processed so far are persisted. */
  endsRecorded: Promise<void>;
  /** Whether the store has recorded this incarnation of the worker in the roster. */
  rostered: boolean;
}

export interface TrackedJob {
  readonly job: JobRun;
  readonly firstSeenAt: Monotonic;
  /** When a scheduling cycle last saw a run of the job. */
  lastRunSeenAt: Monotonic;
}

export interface PlacedRun {
  readonly host: HostEntry;
  readonly run: ActiveRun;
}
