/**
 * Appends records to one topic in batches. Each batch carries a stamp, so that
 * repeating a batch whose answer was lost never keeps it twice, and a writer
 * that was deposed writes nothing more.
 */

import {
  describeError,
  sleep,
  type Clock,
  type Logger,
  type Monotonic,
} from "@rackspan/common";
import {
  FencedError,
  SequenceError,
  StoreAnswerLostError,
  StoreRefusedError,
  type KeyedRecord,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";

const WRITER = {
  /** Time for the first try; the store answers in some milliseconds when it is well. */
  firstTimeoutMs: 300,
  /** The same as a multiple of what the last append took, where that is longer. */
  firstTimeoutFactor: 2,
  /** Each further try of a batch waits twice as long, up to this: a slow store needs it. */
  maxTimeoutMs: 2_400,
  retryMs: 60,
  /** New records are refused at once while a batch has been without an answer this long. */
  stuckAfterMs: 700,
  maxBatchRecords: 200,
  /** Under the least limit of a call that the platform states (2 MiB). */
  maxBatchBytes: 1_000_000,
  /** More waiting records than this are refused at once. */
  maxQueued: 5_000,
  /** Appends of one epoch; the numbers of a later one are all higher. */
  appendsPerEpoch: 2 ** 20,
} as const;

export interface TopicWriterOptions {
  readonly topic: TopicName;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly producer: string;
  readonly epoch: number;
  /** Time for which records are gathered before they are sent, milliseconds. */
  readonly batchWindowMs: number;
  /** Whether a batch that the store refused is sent again, or its writers told. */
  readonly retriesRefusedBatches: boolean;
}

interface QueuedRecord {
  readonly record: KeyedRecord;
  readonly resolve: (next: number) => void;
  readonly reject: (err: unknown) => void;
}

/** One record on its way to the store. */
export interface PendingWrite {
  /**
   * Resolves with the offset behind the record once it is kept.
   * Rejects with StoreRefusedError when it is not and never will be kept, with
   * FencedError when another writer has taken over.
   */
  readonly persisted: Promise<number>;
  /**
   * Gives up.
   * @returns whether the record was certainly not sent, and never will be
   */
  readonly abandon: () => boolean;
}

export class TopicWriter {
  private queue: QueuedRecord[] = [];
  private sequence = 1;
  /**
   * Time for the first try of the next batch. A store that takes its appends in turn
   * carries out each try that was given up as well, so it grows with a slow store.
   */
  private firstTimeoutMs: number = WRITER.firstTimeoutMs;
  private running = false;
  /** When the batch on its way was first sent; undefined when there is none. */
  private batchSentAt: Monotonic | undefined;
  private closed: Error | undefined;

  constructor(private readonly options: TopicWriterOptions) {}

  /** Since when a batch has been on its way; undefined when none is. */
  get inFlightSince(): Monotonic | undefined {
    return this.batchSentAt;
  }

  write(record: KeyedRecord): PendingWrite {
    let queued: QueuedRecord | undefined;
    const persisted = new Promise<number>((resolve, reject) => {
      const refusal = this.refusal();
      if (refusal) {
        reject(refusal);
        return;
      }
      queued = { record, resolve, reject };
      this.queue.push(queued);
    });
    void this.run();
    return { persisted: persisted, abandon: () => this.abandon(queued) };
  }

  /**
   * Appends nothing, but bars writers of lower epochs. The appends that follow are
   * numbered apart from those of lower epochs, which the store may still answer
   * again: a record with the number of one of them would be lost in silence.
   *
   * @throws FencedError
   */
  async fenceLowerEpochs(signal?: AbortSignal): Promise<void> {
    await this.send([], signal);
    this.sequence = this.options.epoch * WRITER.appendsPerEpoch;
  }

  /** Refuses what has not been sent, and whatever comes later. */
  close(reason: Error): void {
    this.closed ??= reason;
    const queue = this.queue;
    this.queue = [];
    for (const { reject } of queue) reject(this.closed);
  }

  private refusal(): Error | undefined {
    if (this.closed) return this.closed;
    if (this.isStuck()) return this.stuckError();
    if (this.queue.length < WRITER.maxQueued) return undefined;
    return new StoreRefusedError(
      `${this.queue.length} records wait for topic ${this.options.topic} already`,
    );
  }

  /** Whether the store has not answered for so long that callers should not wait. */
  private isStuck(): boolean {
    const { retriesRefusedBatches: retriesRefused, clock } = this.options;
    if (retriesRefused || this.inFlightSince === undefined) return false;
    return clock.monotonic() - this.inFlightSince > WRITER.stuckAfterMs;
  }

  private stuckError(): StoreRefusedError {
    const { topic } = this.options;
    return new StoreRefusedError(`topic ${topic} has not answered for a while`);
  }

  /** What has not been sent yet is refused rather than kept waiting. */
  private rejectQueued(): void {
    const queue = this.queue;
    this.queue = [];
    for (const { reject } of queue) reject(this.stuckError());
  }

  private abandon(queued: QueuedRecord | undefined): boolean {
    if (!queued) return true;
    const at = this.queue.indexOf(queued);
    if (at < 0) return false;
    this.queue.splice(at, 1);
    return true;
  }

  private async run(): Promise<void> {
    if (this.running) return;
    this.running = true;
    const { clock, batchWindowMs: batchWindowMs } = this.options;
    while (this.queue.length > 0) {
      if (batchWindowMs > 0) await sleep(clock, batchWindowMs);
      const batch = this.takeBatch();
      if (batch.length > 0) await this.sendBatch(batch);
    }
    this.running = false;
  }

  private takeBatch(): QueuedRecord[] {
    let bytes = 0;
    let count = 0;
    for (const { record } of this.queue) {
      bytes += record.key.length + (record.value?.length ?? 0);
      if (count > 0 && bytes > WRITER.maxBatchBytes) break;
      if (count >= WRITER.maxBatchRecords) break;
      count += 1;
    }
    return this.queue.splice(0, count);
  }

  private async sendBatch(batch: readonly QueuedRecord[]): Promise<void> {
    this.batchSentAt = this.options.clock.monotonic();
    try {
      const next = await this.send(batch.map(({ record }) => record));
      for (const { resolve } of batch) resolve(next);
    } catch (err) {
      for (const { reject } of batch) reject(err);
    } finally {
      this.batchSentAt = undefined;
    }
  }

  /** @throws StoreRefusedError when nothing was kept; FencedError */
  private async send(
    records: readonly KeyedRecord[],
    signal?: AbortSignal,
  ): Promise<number> {
    const { clock, retriesRefusedBatches: retriesRefused } = this.options;
    let mayBePersisted = false;
    let timeoutMs = this.firstTimeoutMs;
    for (;;) {
      signal?.throwIfAborted();
      if (this.closed && !mayBePersisted) throw this.closed;
      try {
        return await this.appendOnce(records, timeoutMs);
      } catch (err) {
        const expected = err instanceof SequenceError ? err.expected : Infinity;
        // The last number kept is below this batch's: no try of it was kept.
        if (expected < this.sequence) mayBePersisted = false;
        if (err instanceof SequenceError && !mayBePersisted) {
          this.sequence = expected;
          continue;
        }
        const lost = err instanceof StoreAnswerLostError;
        const refused = err instanceof StoreRefusedError;
        if (!lost && !refused) throw this.closeIfFenced(err);
        mayBePersisted ||= lost;
        if (!mayBePersisted && !retriesRefused) throw err;
        if (this.closed) throw err;
        if (this.isStuck()) this.rejectQueued();
        if (lost) timeoutMs = Math.min(WRITER.maxTimeoutMs, 2 * timeoutMs);
      }
      await sleep(clock, WRITER.retryMs);
    }
  }

  private async appendOnce(
    records: readonly KeyedRecord[],
    timeoutMs: number,
  ): Promise<number> {
    const { store, topic, producer, epoch, clock } = this.options;
    const sentAt = clock.monotonic();
    const next = await store.append({
      topic,
      records,
      stamp: { producer, epoch, sequence: this.sequence },
      timeoutMs,
    });
    this.adjustTimeout(clock.monotonic() - sentAt);
    // An empty append only sets the epoch and takes no number.
    if (records.length > 0) this.sequence += 1;
    return next;
  }

  private adjustTimeout(tookMs: number): void {
    const { firstTimeoutMs, maxTimeoutMs, firstTimeoutFactor } = WRITER;
    const targetMs = firstTimeoutFactor * tookMs;
    this.firstTimeoutMs = Math.min(
      maxTimeoutMs,
      Math.max(firstTimeoutMs, targetMs),
    );
  }

  private closeIfFenced(err: unknown): unknown {
    const { topic, logger, epoch } = this.options;
    logger.warn("writer.closed", { topic, epoch, error: describeError(err) });
    if (err instanceof FencedError) this.close(err);
    return err;
  }
}
