/** What the parts of the job engine share. */

import type {
  AvailabilityZone,
  Clock,
  Epoch,
  HostId,
  Logger,
  Metrics,
  Monotonic,
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
  /** An order to start that has not been carried out after this lapses; worker's clock. */
  startLeaseMs: 2_500,
  /** Time for a host's answer to an order; its side repeats calls to the worker within it. */
  orderTimeoutMs: 1_800,
  /** A host that is silent this long gets no new tasks. */
  quietMs: 1_600,
  /** Sides report each 0.5 s; a host not heard for this long has missed a report. */
  missedReportMs: 700,
  /** Least time between two passes over the waiting work. */
  minCycleIntervalMs: 8,
  /** A pass that was due this long ago is made at once, and logged. */
  cycleOverdueMs: 400,
  /** A timer that is later than this is logged, milliseconds. */
  lateTimerMs: 100,
  /** A job with nothing running for this long gets one task started, whatever it disturbs. */
  starvedMs: 1_500,
  /** A lasting task that found no place for this long may take what is kept for plain ones. */
  lastingGraceMs: 2_000,
  /** How often timers of the engine are looked at, at least. */
  tickMs: 250,
  /** Timers may fire this much before they are due, milliseconds. */
  timerResolutionMs: 1,
  /** Runs of one leader; run numbers of a later one are all higher. */
  runsPerEpoch: 2 ** 20,
  /** A step whose ticket was refused is tried again after this. */
  badTicketPauseMs: 300,
  /** A plain task that gains no percent for this long is moved. */
  stallMs: 3_000,
  /**
   * A filling task that crawls for this long is stopped, and goes on elsewhere
   * from its checkpoint: one such task holds its whole step back. Longer than two
   * changes of pace.
   */
  crawlMs: 1_200,
  /** A host that refused a start gets none for this long. */
  refusedPauseMs: 400,
  /** The same for filling tasks, which may be slowed down to nothing for a while. */
  fillingStallMs: 7_000,
} as const;

/**
 * Keeps the list of workers to which leases may have been granted. It names their
 * lives, so that the end of one proves that nothing is left to wait for.
 */
export interface HostRoster {
  /** Resolves once the store keeps that life of the host's worker, and no other. */
  persist(host: HostId, instance: WorkerInstance): Promise<void>;
  remove(host: HostId): void;
  /**
   * Settles once the store keeps the host's last removal, at once where there was none.
   * @returns false when another leads by then
   */
  removalPersisted(host: HostId): Promise<boolean>;
  /** The life that the store keeps; undefined when it keeps none, or not which. */
  recordedInstance(host: HostId): WorkerInstance | undefined;
}

export interface EngineOptions {
  readonly epoch: Epoch;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly journal: ProgressJournal;
  readonly roster: HostRoster;
  readonly gate: TakeoverGate;
  /** Name of the order of work; see stepOrders. */
  readonly order: string;
  /** Name of the placer of tasks; see taskPlacers. */
  readonly placer: string;
  readonly policy: SchedulingPolicy;
  /** Longest lease of a worker, milliseconds of its clock. */
  readonly leaseMs: number;
  /** Time that a worker may take to stop a task, milliseconds. */
  readonly stopMs: number;
  /** Whether this process may still decide. */
  readonly mayDecide: () => boolean;
  /** What the configuration says of the queue now; undefined when it is dropped. */
  readonly queueOf: (queue: QueueKey) => QueueSpec | undefined;
  /**
   * Whether the operator wants nothing more started in the zone. What runs there goes
   * on: to move it would throw work away that nobody has asked to end.
   */
  readonly isEvacuated: (zone: AvailabilityZone) => boolean;
  /** Keeps what was learnt for the next leader. */
  readonly persistLearned: (record: LearnedRecord) => void;
  /** Undefined where the platform has no such service. */
  readonly permits: PermitService | undefined;
}

/** A host with the connection to its side, when there is one. */
export interface HostEntry {
  readonly ledger: HostState;
  session: HostSession | undefined;
  /** Settles once all ends that were taken note of so far are kept. */
  endsRecorded: Promise<void>;
  /** Whether the store keeps this life of the worker in the roster. */
  rostered: boolean;
}

export interface TrackedJob {
  readonly job: JobRun;
  readonly firstSeenAt: Monotonic;
  /** When a pass last saw a run of the job. */
  lastRunSeenAt: Monotonic;
}

export interface PlacedRun {
  readonly host: HostEntry;
  readonly run: ActiveRun;
}
