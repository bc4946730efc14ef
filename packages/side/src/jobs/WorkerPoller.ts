/**
 * Polls the worker continuously: renews its lease with what the leader has granted, and
 * keeps the newest lists of running and ended tasks.
 */

import {
  ChangeSignal,
  describeError,
  pause,
  type Clock,
  type Epoch,
  type Logger,
  type Monotonic,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  TaskRefusedError,
  WorkerReplacedError,
  WorkerSilentError,
  type EndedRun,
  type PollResponse,
  type TaskHost,
} from "@rackspan/ports";
import { PreviousStartFencer } from "./PreviousStartFencer.js";
import type { Pacer } from "./Pacer.js";
import { PACING } from "./PacePlanner.js";
import { SentLeaseTracker } from "./SentLeaseTracker.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";

const POLLING = {
  /** Pause while there is no worker or no leader, and after a failed poll. */
  idleMs: 100,
  /** Pause while some listed ends are not acknowledged by the leader. */
  unacknowledgedMs: 40,
  /**
   * A worker that has held a poll for this long has reported every end it had recorded:
   * longer than a call takes on one machine.
   */
  minHeldMs: 15,
} as const;

/** Result of one poll of the worker. */
export interface WorkerStatus {
  readonly instance: WorkerInstance;
  /** The epoch under which the poll was sent. */
  readonly epoch: Epoch;
  readonly answer: PollResponse;
  /** When the poll was sent, on the side's clock. */
  readonly polledAt: Monotonic;
}

export interface WorkerPollerOptions {
  readonly registry: WorkerRegistry;
  readonly host: TaskHost;
  readonly pacer: Pacer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The worker's lease is renewed no further ahead than this, milliseconds. */
  readonly unattendedLeaseMs: number;
  /** Longest lease that the worker accepts, milliseconds; Infinity when it is unknown. */
  readonly longestLeaseMs: number;
}

export class WorkerPoller {
  /** Notified after the first poll under an epoch, and when new ends are listed. */
  readonly statusChanged = new ChangeSignal();
  private readonly abort = new AbortController();
  private readonly wake = new ChangeSignal();
  private epoch: Epoch | undefined;
  private lastStatus: WorkerStatus | undefined;
  /** When the last status arrived, on the side's clock. */
  private statusReceivedAt: Monotonic = -Infinity;
  private leaseUntil: WorkerTime | undefined;
  private acknowledged = 0;
  private highestEndNumber = 0;
  private pacedAt: Monotonic = -Infinity;
  private isAnswering = true;
  private loop: Promise<void> | undefined;
  private readonly sentLeases: SentLeaseTracker;
  private readonly previousStartFencer: PreviousStartFencer;

  constructor(private readonly options: WorkerPollerOptions) {
    const { clock, longestLeaseMs, registry } = options;
    this.sentLeases = new SentLeaseTracker({ clock, longestLeaseMs });
    const { unansweredStarts } = registry;
    this.previousStartFencer = new PreviousStartFencer({
      ...options,
      unansweredStarts,
    });
  }

  start(): void {
    if (this.loop) return;
    this.sentLeases.start();
    this.loop = this.run();
  }

  async stop(): Promise<void> {
    this.abort.abort();
    this.wake.notify();
    await this.loop;
  }

  /** The newest status of the current incarnation under the current epoch. */
  get currentStatus(): WorkerStatus | undefined {
    const status = this.lastStatus;
    const { worker } = this.options.registry;
    if (!status || status.epoch !== this.epoch) return undefined;
    return status.instance === worker?.instance ? status : undefined;
  }

  get currentEpoch(): Epoch | undefined {
    return this.epoch;
  }

  /** Records that an order with this lease is about to be sent to that incarnation. */
  recordLeaseSent(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    this.sentLeases.recordSent(instance, leaseUntil);
  }

  /** Whether the worker answered the last poll. */
  get isResponding(): boolean {
    return this.isAnswering;
  }

  /** Switches to this epoch unless the current one is higher. */
  raiseEpoch(epoch: Epoch): void {
    if (this.epoch !== undefined && epoch <= this.epoch) return;
    this.epoch = epoch;
    this.wake.notify();
  }

  /** Records that the leader lets the worker's tasks run until then. */
  grant(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    if (this.lastStatus?.instance !== instance) return;
    this.leaseUntil = leaseUntil;
  }

  /**
   * Stops renewing the lease of a silent worker, and returns when the lease is over at the
   * latest, so that the current leader can rely on it. The worker may answer again, and the
   * leader learns of that only from the next report, so the lease is not renewed until the
   * leader grants it anew.
   *
   * @returns milliseconds; undefined when the end is unknown
   */
  stopRenewingLease(): number | undefined {
    const { worker } = this.options.registry;
    this.leaseUntil = undefined;
    // A start for another incarnation carries a lease measured by that incarnation's clock.
    if (this.previousStartsForMs(worker?.instance) > 0)
      this.sentLeases.assumeLongest();
    return this.sentLeases.overInMs;
  }

  /**
   * How long a start that was sent to another incarnation may still give this one a lease.
   * A start that a stop order has fenced still gives a lease; one that is rejected because of
   * its epoch does not.
   *
   * @param instance undefined for an incarnation whose heartbeat has not arrived yet
   * @returns milliseconds; 0 when no start can arrive any more
   */
  previousStartsForMs(instance: WorkerInstance | undefined): number {
    const { registry, host } = this.options;
    return registry.unansweredStarts.mayArriveForMs(
      instance,
      (run) =>
        instance !== undefined && host.rejectsStart?.(instance, run) === true,
    );
  }

  /** All ends up to this number are persisted in the store. */
  acknowledge(instance: WorkerInstance, acknowledged: number): void {
    if (this.lastStatus?.instance !== instance) return;
    if (acknowledged <= this.acknowledged) return;
    this.acknowledged = acknowledged;
    this.wake.notify();
  }

  /** Ends in the newest status that are not acknowledged yet. */
  get unacknowledgedEnds(): readonly EndedRun[] {
    const ended = this.currentStatus?.answer.ended ?? [];
    return ended.filter(({ number }) => number > this.acknowledged);
  }

  private async run(): Promise<void> {
    const { clock, registry } = this.options;
    while (!this.abort.signal.aborted) {
      const { worker } = registry;
      if (!worker || this.epoch === undefined) {
        await this.wake.wait(clock, POLLING.idleMs);
        continue;
      }
      const answered = await this.pollOnce(worker.instance, this.epoch);
      if (!answered) {
        await pause(clock, POLLING.idleMs, this.abort.signal);
      } else if (this.unacknowledgedEnds.length > 0) {
        await this.wake.wait(clock, POLLING.unacknowledgedMs);
      }
    }
  }

  private async pollOnce(
    instance: WorkerInstance,
    epoch: Epoch,
  ): Promise<boolean> {
    const { host, registry } = this.options;
    if (this.lastStatus && this.lastStatus.instance !== instance) {
      this.resetIncarnation();
    }
    if (
      !this.lastStatus &&
      !(await this.fencePreviousStarts(instance, epoch))
    ) {
      return false;
    }
    const isFirst = this.currentStatus === undefined;
    const polledAt = this.options.clock.monotonic();
    const waitMs = isFirst ? 0 : PACING.intervalMs;
    const leaseUntil = this.renewedLease();
    if (leaseUntil !== undefined)
      this.sentLeases.recordSent(instance, leaseUntil);
    try {
      const answer = await host.poll(instance, {
        epoch,
        acknowledged: this.acknowledged,
        leaseUntil,
        waitMs,
      });
      registry.confirmCurrent(instance);
      registry.runs.recordListed(instance, answer, polledAt);
      this.applyStatus({ instance, epoch, answer, polledAt }, isFirst);
      return true;
    } catch (err) {
      if (this.wasInterrupted(err, { polledAt, waitMs })) {
        registry.runs.recordPollInterrupted(instance);
      }
      if (err instanceof WorkerSilentError)
        registry.runs.recordSilent(instance);
      this.handleFailure(instance, err);
      return false;
    }
  }

  /**
   * Runs before the first report of this incarnation to the leader.
   * @returns whether no start of a previous incarnation can begin here any more
   */
  private async fencePreviousStarts(
    instance: WorkerInstance,
    epoch: Epoch,
  ): Promise<boolean> {
    const errors = await this.previousStartFencer.fenceAll(instance, epoch);
    for (const err of errors) this.handleFailure(instance, err);
    return errors.length === 0;
  }

  /**
   * Whether the poll was interrupted while the worker held it and waited for an end. A poll
   * after a failed one does not count, since it may never have reached the worker: another
   * process at its address may have accepted and dropped the connection.
   */
  private wasInterrupted(
    err: unknown,
    { polledAt, waitMs }: { polledAt: Monotonic; waitMs: number },
  ): boolean {
    if (!this.isAnswering) return false;
    if (!(err instanceof WorkerSilentError) || !err.mayHaveArrived)
      return false;
    const heldMs = this.options.clock.monotonic() - polledAt;
    return heldMs >= POLLING.minHeldMs && heldMs <= waitMs;
  }

  /**
   * The granted lease, limited to the time that the worker may continue unattended. A silent
   * worker gets none, since that would extend the lease and with it the wait until it is over.
   */
  private renewedLease(): WorkerTime | undefined {
    const { clock, unattendedLeaseMs } = this.options;
    if (this.leaseUntil === undefined || !this.lastStatus) return undefined;
    if (!this.isAnswering) return undefined;
    // A lower bound for the worker's clock, since its answer took time to arrive.
    const at =
      this.lastStatus.answer.at + clock.monotonic() - this.statusReceivedAt;
    const until = Math.min(this.leaseUntil, Math.floor(at + unattendedLeaseMs));
    return until as WorkerTime;
  }

  private applyStatus(status: WorkerStatus, isFirst: boolean): void {
    const { pacer, clock, logger } = this.options;
    if (!this.isAnswering) {
      this.isAnswering = true;
      logger.info("worker.regained", { instance: status.instance });
    }
    this.lastStatus = status;
    const now = clock.monotonic();
    this.statusReceivedAt = now;
    this.sentLeases.recordClockReading(status.instance, status.answer.at);
    const last = status.answer.ended.at(-1)?.number ?? 0;
    const hasNewEnds = last > this.highestEndNumber;
    this.highestEndNumber = Math.max(this.highestEndNumber, last);
    if (now - this.pacedAt >= PACING.intervalMs) {
      this.pacedAt = now;
      pacer.adjust(status.instance, status.epoch, status.answer.running);
    }
    if (isFirst || hasNewEnds) this.statusChanged.notify();
  }

  private handleFailure(instance: WorkerInstance, err: unknown): void {
    const { logger, registry } = this.options;
    if (err instanceof WorkerReplacedError) {
      registry.recordGone(instance, "another incarnation answers");
    }
    if (err instanceof WorkerSilentError && !err.mayHaveArrived) {
      registry.recordUnreachable(instance);
    }
    if (err instanceof TaskRefusedError && err.fenced) {
      logger.info("worker.fenced-us", { epoch: this.epoch });
      // Another process calls this worker and may renew its lease.
      this.sentLeases.assumeLongest();
    }
    if (!this.isAnswering) return;
    this.isAnswering = false;
    logger.warn("worker.lost", { error: describeError(err) });
  }

  /** For another incarnation of the worker, whose end numbers and clock start anew. */
  private resetIncarnation(): void {
    this.lastStatus = undefined;
    this.leaseUntil = undefined;
    this.acknowledged = 0;
    this.highestEndNumber = 0;
  }
}
