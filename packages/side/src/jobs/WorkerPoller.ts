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

const WATCH = {
  /** Pause while there is no worker or no leader, and after a failed poll. */
  idleMs: 100,
  /** Pause while some listed ends are not acknowledged by the leader. */
  unacknowledgedMs: 40,
  /**
   * A worker that has held a poll for this long has reported every end it had recorded:
   * longer than a call takes on one machine.
   */
  heldMs: 15,
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
  private lastSighting: WorkerStatus | undefined;
  /** When the last status arrived, on the side's clock. */
  private seenAt: Monotonic = -Infinity;
  private leaseUntil: WorkerTime | undefined;
  private acknowledged = 0;
  private highestEnd = 0;
  private pacedAt: Monotonic = -Infinity;
  private answering = true;
  private task: Promise<void> | undefined;
  private readonly sent: SentLeaseTracker;
  private readonly formerStarts: PreviousStartFencer;

  constructor(private readonly options: WorkerPollerOptions) {
    const { clock, longestLeaseMs, registry } = options;
    this.sent = new SentLeaseTracker({ clock, longestLeaseMs });
    const { unansweredStarts: unanswered } = registry;
    this.formerStarts = new PreviousStartFencer({
      ...options,
      unansweredStarts: unanswered,
    });
  }

  start(): void {
    if (this.task) return;
    this.sent.start();
    this.task = this.run();
  }

  async stop(): Promise<void> {
    this.abort.abort();
    this.wake.notify();
    await this.task;
  }

  /** The newest status of the current incarnation under the current epoch. */
  get currentStatus(): WorkerStatus | undefined {
    const seen = this.lastSighting;
    const { worker } = this.options.registry;
    if (!seen || seen.epoch !== this.epoch) return undefined;
    return seen.instance === worker?.instance ? seen : undefined;
  }

  get currentEpoch(): Epoch | undefined {
    return this.epoch;
  }

  /** Records that an order with this lease is about to be sent to that incarnation. */
  recordLeaseSent(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    this.sent.recordSent(instance, leaseUntil);
  }

  /** Whether the worker answered the last poll. */
  get isResponding(): boolean {
    return this.answering;
  }

  /** Switches to this epoch unless the current one is higher. */
  raiseEpoch(epoch: Epoch): void {
    if (this.epoch !== undefined && epoch <= this.epoch) return;
    this.epoch = epoch;
    this.wake.notify();
  }

  /** Records that the leader lets the worker's tasks run until then. */
  grant(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    if (this.lastSighting?.instance !== instance) return;
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
    // The lease of such a start is measured by the clock of another incarnation.
    if (this.previousStartsForMs(worker?.instance) > 0)
      this.sent.assumeLongest();
    return this.sent.overInMs;
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
    if (this.lastSighting?.instance !== instance) return;
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
        await this.wake.wait(clock, WATCH.idleMs);
        continue;
      }
      const seen = await this.look(worker.instance, this.epoch);
      if (!seen) {
        await pause(clock, WATCH.idleMs, this.abort.signal);
      } else if (this.unacknowledgedEnds.length > 0) {
        await this.wake.wait(clock, WATCH.unacknowledgedMs);
      }
    }
  }

  private async look(instance: WorkerInstance, epoch: Epoch): Promise<boolean> {
    const { host, registry } = this.options;
    if (this.lastSighting && this.lastSighting.instance !== instance) {
      this.forget();
    }
    if (!this.lastSighting && !(await this.barFormerStarts(instance, epoch))) {
      return false;
    }
    const isFirst = this.currentStatus === undefined;
    const askedAt = this.options.clock.monotonic();
    const waitMs = isFirst ? 0 : PACING.intervalMs;
    const leaseUntil = this.renewedLease();
    if (leaseUntil !== undefined) this.sent.recordSent(instance, leaseUntil);
    try {
      const answer = await host.poll(instance, {
        epoch,
        acknowledged: this.acknowledged,
        leaseUntil,
        waitMs,
      });
      registry.confirmCurrent(instance);
      registry.runs.recordListed(instance, answer, askedAt);
      this.take({ instance, epoch, answer, polledAt: askedAt }, isFirst);
      return true;
    } catch (err) {
      if (this.hasBrokenOff(err, { askedAt, waitMs })) {
        registry.runs.recordPollInterrupted(instance);
      }
      if (err instanceof WorkerSilentError)
        registry.runs.recordSilent(instance);
      this.noteFailure(instance, err);
      return false;
    }
  }

  /**
   * Runs before the first report of this incarnation to the leader.
   * @returns whether no start of a previous incarnation can begin here any more
   */
  private async barFormerStarts(
    instance: WorkerInstance,
    epoch: Epoch,
  ): Promise<boolean> {
    const errors = await this.formerStarts.fenceAll(instance, epoch);
    for (const err of errors) this.noteFailure(instance, err);
    return errors.length === 0;
  }

  /**
   * Whether the poll was interrupted while the worker held it and waited for an end. A poll
   * after a failed one does not count, since it may never have reached the worker: another
   * process at its address may have accepted and dropped the connection.
   */
  private hasBrokenOff(
    err: unknown,
    { askedAt, waitMs }: { askedAt: Monotonic; waitMs: number },
  ): boolean {
    if (!this.answering) return false;
    if (!(err instanceof WorkerSilentError) || !err.mayHaveArrived)
      return false;
    const heldMs = this.options.clock.monotonic() - askedAt;
    return heldMs >= WATCH.heldMs && heldMs <= waitMs;
  }

  /**
   * The granted lease, limited to the time that the worker may continue unattended. A silent
   * worker gets none, since that would extend the lease and with it the wait until it is over.
   */
  private renewedLease(): WorkerTime | undefined {
    const { clock, unattendedLeaseMs } = this.options;
    if (this.leaseUntil === undefined || !this.lastSighting) return undefined;
    if (!this.answering) return undefined;
    // A lower bound for the worker's clock, since its answer took time to arrive.
    const at = this.lastSighting.answer.at + clock.monotonic() - this.seenAt;
    const until = Math.min(this.leaseUntil, Math.floor(at + unattendedLeaseMs));
    return until as WorkerTime;
  }

  private take(seen: WorkerStatus, isFirst: boolean): void {
    const { pacer, clock, logger } = this.options;
    if (!this.answering) {
      this.answering = true;
      logger.info("worker.regained", { instance: seen.instance });
    }
    this.lastSighting = seen;
    const now = clock.monotonic();
    this.seenAt = now;
    this.sent.recordClockReading(seen.instance, seen.answer.at);
    const last = seen.answer.ended.at(-1)?.number ?? 0;
    const hasNewEnds = last > this.highestEnd;
    this.highestEnd = Math.max(this.highestEnd, last);
    if (now - this.pacedAt >= PACING.intervalMs) {
      this.pacedAt = now;
      pacer.adjust(seen.instance, seen.epoch, seen.answer.running);
    }
    if (isFirst || hasNewEnds) this.statusChanged.notify();
  }

  private noteFailure(instance: WorkerInstance, err: unknown): void {
    const { logger, registry } = this.options;
    if (err instanceof WorkerReplacedError) {
      registry.recordGone(instance, "another life answers");
    }
    if (err instanceof WorkerSilentError && !err.mayHaveArrived) {
      registry.recordUnreachable(instance);
    }
    if (err instanceof TaskRefusedError && err.fenced) {
      logger.info("worker.fenced-us", { epoch: this.epoch });
      // Another process calls this worker and may renew its lease.
      this.sent.assumeLongest();
    }
    if (!this.answering) return;
    this.answering = false;
    logger.warn("worker.lost", { error: describeError(err) });
  }

  /** For another incarnation of the worker, whose end numbers and clock start anew. */
  private forget(): void {
    this.lastSighting = undefined;
    this.leaseUntil = undefined;
    this.acknowledged = 0;
    this.highestEnd = 0;
  }
}
