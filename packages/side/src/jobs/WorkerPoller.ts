/**
 * Looks at the worker all the time: renews its lease with what the leader has
 * granted, and keeps the newest lists of what runs and what ended there.
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
  /** Pause while there is no worker or no leader, and after a failure. */
  idleMs: 100,
  /** Pause while ends are listed that the leader has not acknowledged. */
  unacknowledgedMs: 40,
  /**
   * A worker that has had a look for this long has told of every end that it knew of:
   * longer than a call takes on one machine.
   */
  heldMs: 15,
} as const;

/** What one look at the worker has shown. */
export interface WorkerStatus {
  readonly instance: WorkerInstance;
  /** The epoch that the worker had heard by then. */
  readonly epoch: Epoch;
  readonly answer: PollResponse;
  /** When the call was made that it answers, on the side's clock. */
  readonly polledAt: Monotonic;
}

export interface WorkerPollerOptions {
  readonly registry: WorkerRegistry;
  readonly host: TaskHost;
  readonly pacer: Pacer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The worker's lease is never renewed further ahead than this, milliseconds. */
  readonly unattendedLeaseMs: number;
  /** Longest lease that the worker takes, milliseconds; Infinity when nobody says. */
  readonly longestLeaseMs: number;
}

export class WorkerPoller {
  /** Notified at the first look under an epoch, and when ends were listed. */
  readonly statusChanged = new ChangeSignal();
  private readonly abort = new AbortController();
  private readonly wake = new ChangeSignal();
  private epoch: Epoch | undefined;
  private lastSighting: WorkerStatus | undefined;
  /** When the last sighting arrived, on the side's clock. */
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

  /** The newest sighting under the current epoch. */
  get currentStatus(): WorkerStatus | undefined {
    const seen = this.lastSighting;
    const { worker } = this.options.registry;
    if (!seen || seen.epoch !== this.epoch) return undefined;
    return seen.instance === worker?.instance ? seen : undefined;
  }

  get currentEpoch(): Epoch | undefined {
    return this.epoch;
  }

  /** An order that carries this lease is about to be sent to that life. */
  recordLeaseSent(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    this.sent.recordSent(instance, leaseUntil);
  }

  /** Whether the last look at the worker was answered. */
  get isResponding(): boolean {
    return this.answering;
  }

  /** Obeys this epoch from now on, and no lower one. */
  raiseEpoch(epoch: Epoch): void {
    if (this.epoch !== undefined && epoch <= this.epoch) return;
    this.epoch = epoch;
    this.wake.notify();
  }

  /** The leader lets the worker's tasks run until then. */
  grant(instance: WorkerInstance, leaseUntil: WorkerTime): void {
    if (this.lastSighting?.instance !== instance) return;
    this.leaseUntil = leaseUntil;
  }

  /**
   * Tells when the lease of a silent worker is over, for the present leader to count on.
   * What was granted before is not renewed any more: the worker may answer again, and
   * the leader knows of that only once it has taken a report.
   *
   * @returns milliseconds; undefined when it cannot be told
   */
  stopRenewingLease(): number | undefined {
    const { worker } = this.options.registry;
    this.leaseUntil = undefined;
    // Its lease is by the clock of another life.
    if (this.previousStartsForMs(worker?.instance) > 0)
      this.sent.assumeLongest();
    return this.sent.overInMs;
  }

  /**
   * For how long a start that was sent to another life may yet bring a lease at that one.
   * One that a stop has barred brings it too; one that is refused by its fence does not.
   *
   * @param instance undefined for a life that was not heard yet
   * @returns milliseconds; 0 when none may
   */
  previousStartsForMs(instance: WorkerInstance | undefined): number {
    const { registry, host } = this.options;
    return registry.unansweredStarts.mayArriveForMs(
      instance,
      (run) =>
        instance !== undefined && host.rejectsStart?.(instance, run) === true,
    );
  }

  /** The store keeps all ends up to this number. */
  acknowledge(instance: WorkerInstance, acknowledged: number): void {
    if (this.lastSighting?.instance !== instance) return;
    if (acknowledged <= this.acknowledged) return;
    this.acknowledged = acknowledged;
    this.wake.notify();
  }

  /** Ends that were not acknowledged, of the newest sighting. */
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
   * Before the leader hears of this life.
   * @returns whether no start of a former one begins here any more
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
   * Whether the look broke off while the worker had it and waited for an end. A look
   * after one that failed may never have reached the worker: something else at its
   * address takes the connection and drops it.
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
   * What the leader has granted, but no further ahead than the worker may go alone. A
   * silent worker gets none: its lease would last longer, and so would the wait for it.
   */
  private renewedLease(): WorkerTime | undefined {
    const { clock, unattendedLeaseMs } = this.options;
    if (this.leaseUntil === undefined || !this.lastSighting) return undefined;
    if (!this.answering) return undefined;
    // The worker's clock is at least this: its answer took time to arrive.
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
      // Another process calls this worker, and may renew its lease.
      this.sent.assumeLongest();
    }
    if (!this.answering) return;
    this.answering = false;
    logger.warn("worker.lost", { error: describeError(err) });
  }

  /** Another life of the worker: its numbers and its clock begin anew. */
  private forget(): void {
    this.lastSighting = undefined;
    this.leaseUntil = undefined;
    this.acknowledged = 0;
    this.highestEnd = 0;
  }
}
