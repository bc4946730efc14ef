/**
 * Appends the records of this process to the log in batches. The result of a record
 * is returned once the fold has read it back from the log and applied it.
 */

import {
  AbortedError,
  ChangeSignal,
  jitter,
  sleep,
  type Clock,
  type Incarnation,
  type Logger,
  type Metrics,
  type Monotonic,
  type Random,
  type Timer,
} from "@rackspan/common";
import { LogUnavailableError, type LogService } from "@rackspan/ports";
import { encodeBatch } from "./codec.js";
import { AppendRefusedError, AppendUnknownError } from "./errors.js";
import type { AppliedRecord, Fold } from "./Fold.js";
import type { ApplyResult, LogRecord } from "./records.js";

/** Log stream that contains all records. */
export const RECORD_STREAM = "records";

const APPENDER_DEFAULTS = {
  maxQueued: 20_000,
  maxBatchRecords: 512,
  maxBatchBytes: 512 * 1024,
  retryMs: 200,
  maxRetryMs: 5_000,
  /**
   * Milliseconds to wait for an entry to be read back when its append was not answered.
   */
  readBackMs: 1_000,
} as const;

const RECORD_OVERHEAD_BYTES = 300;

export interface AppenderOptions {
  readonly log: LogService;
  readonly fold: Fold;
  readonly writer: Incarnation;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /**
   * Appends per second that this process may make: its share of the
   * platform's append budget.
   */
  readonly appendsPerSecond: number;
  readonly maxQueued?: number;
}

interface Pending {
  readonly record: LogRecord;
  readonly settle: (result: ApplyResult) => void;
  readonly fail: (err: Error) => void;
  readonly timer: Timer;
  /** Whether the record is part of an append that may have taken effect, or still may. */
  inDoubt: boolean;
  done: boolean;
}

interface SentBatch {
  readonly first: number;
  readonly items: readonly Pending[];
}

export class Appender {
  private readonly queue: Pending[] = [];
  private readonly awaitingFold = new Map<number, Pending>();
  private readonly queued = new ChangeSignal();
  private readonly foldAdvanced = new ChangeSignal();
  private nextNumber = 0;
  private lastAppendAt: Monotonic = -Infinity;

  constructor(private readonly options: AppenderOptions) {
    options.fold.applied.on((applied) => this.onApplied(applied));
  }

  get queueLength(): number {
    return this.queue.length;
  }

  /**
   * Appends one record and waits for the result of applying it.
   * @param timeoutMs milliseconds that the caller can wait
   * @throws AppendRefusedError when the record was not appended and never will be
   * @throws AppendUnknownError when the record may have been appended, or still may be
   */
  submit(record: LogRecord, timeoutMs: number): Promise<ApplyResult> {
    const { maxQueued = APPENDER_DEFAULTS.maxQueued } = this.options;
    if (this.queue.length >= maxQueued) {
      this.options.metrics.count("append_refused", { reason: "queue-full" });
      const what = `${this.queue.length} records are already waiting for the log`;
      return Promise.reject(new AppendRefusedError(what));
    }
    return new Promise((settle, fail) => {
      const timer = this.options.clock.after(timeoutMs, () =>
        this.expire(item),
      );
      const item: Pending = {
        record,
        settle,
        fail,
        timer,
        inDoubt: false,
        done: false,
      };
      this.queue.push(item);
      this.queued.notify();
    });
  }

  /** Appends batches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    try {
      while (!signal.aborted) {
        if (this.queue.length === 0) {
          await this.queued.wait(
            this.options.clock,
            APPENDER_DEFAULTS.readBackMs,
          );
          continue;
        }
        await this.waitForBudget(signal);
        await this.sendNext(signal);
      }
    } catch (err) {
      if (!(err instanceof AbortedError)) throw err;
    } finally {
      this.expirePending();
    }
  }

  private async waitForBudget(signal: AbortSignal): Promise<void> {
    const { clock, appendsPerSecond } = this.options;
    const earliest = this.lastAppendAt + 1_000 / appendsPerSecond;
    const waitMs = earliest - clock.monotonic();
    if (waitMs > 0) await sleep(clock, waitMs, signal);
  }

  private async sendNext(signal: AbortSignal): Promise<void> {
    const items = this.takeBatch();
    if (items.length === 0) return;
    const batch = { first: this.nextNumber, items };
    this.nextNumber += items.length;
    items.forEach((item, index) =>
      this.awaitingFold.set(batch.first + index, item),
    );
    await this.appendUntilPersisted(batch, signal);
  }

  private takeBatch(): readonly Pending[] {
    const items: Pending[] = [];
    let bytes = 0;
    while (items.length < APPENDER_DEFAULTS.maxBatchRecords) {
      const item = this.queue[0];
      if (!item) break;
      bytes += sizeOf(item.record);
      if (items.length > 0 && bytes > APPENDER_DEFAULTS.maxBatchBytes) break;
      this.queue.shift();
      if (!item.done) items.push(item);
    }
    return items;
  }

  /**
   * Retries a batch until it is appended. A batch that may have been appended is
   * repeated with the same record numbers, so that the fold ignores the duplicates.
   * A batch that was certainly not appended is sent again without the records that
   * have been rejected in the meantime.
   */
  private async appendUntilPersisted(
    first: SentBatch,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, random, logger } = this.options;
    let batch = first;
    let retryMs: number = APPENDER_DEFAULTS.retryMs;
    let mayBeAppended = false;
    while (batch.items.length > 0 && !this.isApplied(batch)) {
      markInDoubt(batch, true);
      const result = await this.appendOnce(batch);
      if (result === "kept") return;
      mayBeAppended ||= result === "unknown";
      logger.warn("append.retry", {
        result,
        first: batch.first,
        records: batch.items.length,
      });
      if (!mayBeAppended) markInDoubt(batch, false);
      else if (await this.isAppliedWithin(batch, APPENDER_DEFAULTS.readBackMs))
        return;
      await sleep(clock, jitter(random, retryMs), signal);
      retryMs = Math.min(retryMs * 2, APPENDER_DEFAULTS.maxRetryMs);
      if (!mayBeAppended) batch = this.withoutDone(batch);
    }
  }

  /**
   * Removes rejected records from a batch and reuses their numbers. Only valid when
   * no append of the batch can have taken effect.
   */
  private withoutDone({ first, items }: SentBatch): SentBatch {
    items.forEach((_, index) => this.awaitingFold.delete(first + index));
    const remaining = items.filter((item) => !item.done);
    remaining.forEach((item, index) =>
      this.awaitingFold.set(first + index, item),
    );
    return { first, items: remaining };
  }

  private async appendOnce(
    batch: SentBatch,
  ): Promise<"kept" | "refused" | "unknown"> {
    const { log, clock, metrics, writer } = this.options;
    const records = batch.items.map(({ record }) => record);
    const data = encodeBatch({ writer, first: batch.first, records });
    const startedAt = clock.monotonic();
    this.lastAppendAt = startedAt;
    try {
      await log.append(RECORD_STREAM, data);
      metrics.count("appends", { result: "kept" });
      metrics.count("appended_records", {}, records.length);
      metrics.latency("append").record(clock.monotonic() - startedAt);
      return "kept";
    } catch (err) {
      const result = err instanceof LogUnavailableError ? "refused" : "unknown";
      metrics.count("appends", { result });
      return result;
    }
  }

  private isApplied({ first, items }: SentBatch): boolean {
    const last = first + items.length - 1;
    return this.options.fold.lastNumberOf(this.options.writer) >= last;
  }

  private async isAppliedWithin(
    batch: SentBatch,
    ms: number,
  ): Promise<boolean> {
    const { clock } = this.options;
    const end = clock.monotonic() + ms;
    while (!this.isApplied(batch)) {
      const left = end - clock.monotonic();
      if (left <= 0) return false;
      await this.foldAdvanced.wait(clock, left);
    }
    return true;
  }

  private onApplied({ writer, number, result }: AppliedRecord): void {
    if (writer !== this.options.writer) return;
    this.foldAdvanced.notify();
    const item = this.awaitingFold.get(number);
    this.awaitingFold.delete(number);
    if (!item || item.done) return;
    item.done = true;
    item.timer.cancel();
    item.settle(result);
  }

  private expire(item: Pending): void {
    if (item.done) return;
    item.done = true;
    const { type } = item.record;
    const reason = item.inDoubt ? "unknown" : "not-sent";
    this.options.metrics.count("append_refused", { reason });
    item.fail(
      item.inDoubt
        ? new AppendUnknownError(`the ${type} record was not read back in time`)
        : new AppendRefusedError(
            `the ${type} record could not be appended in time`,
          ),
    );
  }

  private expirePending(): void {
    for (const item of [...this.queue, ...this.awaitingFold.values()]) {
      item.timer.cancel();
      this.expire(item);
    }
    this.queue.length = 0;
    this.awaitingFold.clear();
  }
}

/** A record that expires while its append is in progress may still be appended. */
const markInDoubt = ({ items }: SentBatch, inDoubt: boolean): void => {
  for (const item of items) item.inDoubt = inDoubt;
};

const sizeOf = (record: LogRecord): number => {
  const body =
    record.type === "requestOutcome" ? (record.body?.length ?? 0) : 0;
  return RECORD_OVERHEAD_BYTES + body;
};
