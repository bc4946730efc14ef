/**
 * Appends records to one topic in batches. Each batch carries a producer stamp: a
 * batch that is repeated because its answer was lost is persisted only once, and a
 * writer that was replaced by one of a higher epoch cannot write any more.
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
  MAX_KEY_BYTES,
  RecordRejectedError,
  RecordTooLargeError,
  recordBytes,
  SequenceError,
  StoreAnswerLostError,
  StoreRefusedError,
  type KeyedRecord,
  type RecordLimits,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";

const WRITER = {
  /** Time-out of the first attempt; a healthy store answers within a few milliseconds. */
  firstTimeoutMs: 300,
  /**
   * The same as a multiple of the duration of the last append, used
   * where that is longer.
   */
  firstTimeoutFactor: 2,
  /**
   * The time-out doubles with each retry of a batch, up to this limit,
   * which a slow store needs.
   */
  maxTimeoutMs: 2_400,
  /**
   * The limit is higher for large batches: bytes that the operating system has taken may be
   * on their way for as long as the slowest link needs for them, bytes per millisecond.
   */
  slowestLinkBytesPerMs: 16,
  retryMs: 60,
  /** New records are refused at once while a batch has been unanswered for this long. */
  stuckAfterMs: 700,
  maxBatchRecords: 200,
  /** The same for the bytes of a batch; a store with a lower limit gets smaller ones. */
  maxBatchBytes: 1_000_000,
  /** Records beyond this number of queued ones are refused at once. */
  maxQueued: 5_000,
  /** Sequence numbers of one epoch; those of a later epoch are all higher. */
  appendsPerEpoch: 2 ** 20,
} as const;

export interface TopicWriterOptions {
  readonly topic: TopicName;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly producer: string;
  readonly epoch: number;
  /** Milliseconds for which records are collected into a batch before it is sent. */
  readonly batchWindowMs: number;
  /**
   * Whether a batch that the store refused is sent again; otherwise
   * its writes are rejected.
   */
  readonly retriesRefusedBatches: boolean;
}

interface QueuedRecord {
  readonly record: KeyedRecord;
  readonly resolve: (next: number) => void;
  readonly reject: (err: unknown) => void;
  /** Whether the record was in a batch that was aborted. */
  wasPutBack: boolean;
}

/** The records of one append. */
interface Batch {
  readonly records: readonly QueuedRecord[];
  /** Records that were withdrawn: their writes have failed as not sent. */
  readonly abandoned: Set<QueuedRecord>;
  /** Cancels an attempt that has no connection yet. */
  readonly abort: AbortController;
  /** Whether any attempt may have reached the store. */
  mayBeSent: boolean;
  /** Whether an attempt was not answered, although it had been sent. */
  wasLost: boolean;
}

/** A record that is queued or being sent to the store. */
export interface PendingWrite {
  /**
   * Resolves with the offset after the record once the record is persisted. Rejects
   * with StoreRefusedError when it is not persisted and never will be, with
   * RecordRejectedError when the same holds for each repetition of it, and with
   * FencedError when another writer has taken over.
   */
  readonly persisted: Promise<number>;
  /**
   * Withdraws the record unless it may have been sent, or is in a batch that must not be
   * aborted again.
   * @returns whether the record was not sent and never will be
   */
  readonly abandon: () => boolean;
}

export class TopicWriter {
  private queue: QueuedRecord[] = [];
  private sequence = 1;
  /**
   * Time-out of the first attempt of the next batch. It grows with the duration of
   * appends: a store that processes appends one after the other also carries out
   * the attempts that timed out, so repeating them early slows it further.
   */
  private firstTimeoutMs: number = WRITER.firstTimeoutMs;
  private running = false;
  private inFlight: Batch | undefined;
  /** When the in-flight batch was first sent; undefined when there is none. */
  private batchSentAt: Monotonic | undefined;
  /** When a part of an append was last sent. */
  private progressAt: Monotonic = -Infinity;
  private closed: Error | undefined;

  constructor(private readonly options: TopicWriterOptions) {}

  /**
   * Since when the in-flight batch has made no progress: when it was first sent, or when a
   * part of it was last sent. Undefined when there is none.
   */
  get inFlightSince(): Monotonic | undefined {
    if (this.batchSentAt === undefined) return undefined;
    return Math.max(this.batchSentAt, this.progressAt);
  }

  /** Sizes of the records that can be written. */
  get limits(): RecordLimits {
    return this.options.store.limits;
  }

  /** Whether no later record can be written: another writer has taken over, or it was closed. */
  get isClosed(): boolean {
    return this.closed !== undefined;
  }

  write(record: KeyedRecord): PendingWrite {
    const pending = this.enqueue(record);
    void this.run();
    return pending;
  }

  /** Writes the records in one append, unless they exceed its size. */
  writeTogether(records: readonly KeyedRecord[]): PendingWrite[] {
    const pending = records.map((record) => this.enqueue(record));
    void this.run();
    return pending;
  }

  /**
   * The error with which a write of the record fails at once, because the store can never
   * accept it: in the queue it would hold up all records behind it.
   */
  rejectionOf(record: KeyedRecord): RecordRejectedError | undefined {
    const { topic } = this.options;
    const limit = Math.min(this.limits.recordBytes, this.limits.callBytes);
    if (recordBytes(record) > limit)
      return new RecordTooLargeError(topic, record, limit);
    if (Buffer.byteLength(record.key) <= MAX_KEY_BYTES) return undefined;
    return new RecordRejectedError(
      `a key of topic ${topic} is longer than ${MAX_KEY_BYTES} bytes`,
      "use a shorter key",
    );
  }

  private enqueue(record: KeyedRecord): PendingWrite {
    let queued: QueuedRecord | undefined;
    const persisted = new Promise<number>((resolve, reject) => {
      const rejection = this.rejectionOf(record);
      if (rejection) this.logRejection(record, rejection);
      const refusal = rejection ?? this.refusal();
      if (refusal) {
        reject(refusal);
        return;
      }
      queued = { record, resolve, reject, wasPutBack: false };
      this.queue.push(queued);
    });
    return { persisted, abandon: () => this.abandon(queued) };
  }

  /**
   * Fences writers of lower epochs with an empty append. Later appends use
   * numbers that no lower epoch has used: the store may still take a
   * repeated number for a duplicate and answer without persisting the
   * record, which would be lost silently.
   * @throws FencedError
   */
  async fenceLowerEpochs(signal?: AbortSignal): Promise<void> {
    await this.send([], signal);
    this.sequence = this.options.epoch * WRITER.appendsPerEpoch;
  }

  /** Rejects the queued records, and all later ones. */
  close(reason: Error): void {
    this.closed ??= reason;
    const queue = this.queue;
    this.queue = [];
    for (const { reject } of queue) reject(this.closed);
  }

  private logRejection(record: KeyedRecord, err: RecordRejectedError): void {
    const { topic, epoch, logger } = this.options;
    logger.error("record.rejected", {
      topic,
      epoch,
      key: record.key.slice(0, MAX_KEY_BYTES),
      bytes: recordBytes(record),
      error: describeError(err),
    });
  }

  private refusal(): Error | undefined {
    if (this.closed) return this.closed;
    if (this.isStuck()) return this.stuckError();
    if (this.queue.length < WRITER.maxQueued) return undefined;
    return new StoreRefusedError(
      `${this.queue.length} records are already waiting for topic ${this.options.topic}`,
    );
  }

  /**
   * Whether the store has not answered for so long that callers should not wait for it.
   */
  private isStuck(): boolean {
    const { retriesRefusedBatches, clock } = this.options;
    if (retriesRefusedBatches || this.inFlightSince === undefined) return false;
    return clock.monotonic() - this.inFlightSince > WRITER.stuckAfterMs;
  }

  private stuckError(): StoreRefusedError {
    const { topic } = this.options;
    return new StoreRefusedError(`topic ${topic} has not answered for a while`);
  }

  /** Rejects the queued records instead of letting their callers wait. */
  private rejectQueued(): void {
    const queue = this.queue;
    this.queue = [];
    for (const { reject } of queue) reject(this.stuckError());
  }

  private abandon(queued: QueuedRecord | undefined): boolean {
    if (!queued) return true;
    const at = this.queue.indexOf(queued);
    if (at < 0) return this.abandonInFlight(queued);
    this.queue.splice(at, 1);
    return true;
  }

  /**
   * Cancels the in-flight batch if it contains the record and has no connection yet.
   * Its other records are sent with the next batch, which is not aborted: with a slow
   * connection, frequent withdrawals would otherwise keep these records from being sent
   * until their own callers' time is over.
   */
  private abandonInFlight(queued: QueuedRecord): boolean {
    const { inFlight } = this;
    if (!inFlight?.records.includes(queued) || inFlight.mayBeSent) return false;
    if (inFlight.records.some(({ wasPutBack }) => wasPutBack)) return false;
    inFlight.abandoned.add(queued);
    inFlight.abort.abort();
    return true;
  }

  private async run(): Promise<void> {
    if (this.running) return;
    this.running = true;
    const { clock, batchWindowMs } = this.options;
    while (this.queue.length > 0) {
      if (batchWindowMs > 0) await sleep(clock, batchWindowMs);
      const batch = this.takeBatch();
      if (batch.length > 0) await this.sendBatch(batch);
    }
    this.running = false;
  }

  private takeBatch(): QueuedRecord[] {
    const maxBytes = Math.min(WRITER.maxBatchBytes, this.limits.callBytes);
    let bytes = 0;
    let count = 0;
    for (const { record } of this.queue) {
      bytes += recordBytes(record);
      if (count > 0 && bytes > maxBytes) break;
      if (count >= WRITER.maxBatchRecords) break;
      count += 1;
    }
    return this.queue.splice(0, count);
  }

  private async sendBatch(records: readonly QueuedRecord[]): Promise<void> {
    const batch: Batch = {
      records,
      abandoned: new Set(),
      abort: new AbortController(),
      mayBeSent: false,
      wasLost: false,
    };
    const { signal } = batch.abort;
    this.batchSentAt = this.options.clock.monotonic();
    this.inFlight = batch;
    try {
      const keyed = records.map(({ record }) => record);
      const next = await this.send(keyed, signal, batch);
      for (const { resolve } of records) resolve(next);
    } catch (err) {
      if (signal.aborted) this.requeueOthers(batch);
      else if (err instanceof RecordRejectedError)
        await this.isolateRejected(records, err);
      else for (const { reject } of records) reject(err);
    } finally {
      this.batchSentAt = undefined;
      this.inFlight = undefined;
    }
  }

  /**
   * Sends the halves of a rejected batch separately, so that in the end only the records
   * that caused the rejection fail.
   */
  private async isolateRejected(
    records: readonly QueuedRecord[],
    err: RecordRejectedError,
  ): Promise<void> {
    const [first] = records;
    if (first && records.length === 1) {
      this.logRejection(first.record, err);
      first.reject(err);
      return;
    }
    const middle = Math.ceil(records.length / 2);
    await this.sendBatch(records.slice(0, middle));
    await this.sendBatch(records.slice(middle));
  }

  private requeueOthers({ records, abandoned }: Batch): void {
    const others = records.filter((queued) => !abandoned.has(queued));
    if (!this.closed) {
      for (const queued of others) queued.wasPutBack = true;
      this.queue.unshift(...others);
      return;
    }
    for (const { reject } of others) reject(this.closed);
  }

  /**
   * @throws StoreRefusedError when nothing was persisted
   * @throws RecordRejectedError when nothing was persisted, whenever it is sent
   * @throws StoreAnswerLostError when the records may be persisted
   * @throws FencedError when nothing was persisted and another writer has taken over
   */
  private async send(
    records: readonly KeyedRecord[],
    signal?: AbortSignal,
    batch?: Batch,
  ): Promise<number> {
    const { clock, retriesRefusedBatches } = this.options;
    let mayBePersisted = false;
    let timeoutMs = this.firstTimeoutMs;
    for (let failures = 1; ; failures += 1) {
      signal?.throwIfAborted();
      if (this.closed && !mayBePersisted) throw this.closed;
      try {
        return await this.appendOnce(records, timeoutMs, batch);
      } catch (err) {
        const expected = err instanceof SequenceError ? err.expected : Infinity;
        // The last persisted number is below that of this batch, so no
        // attempt of it was persisted.
        if (expected < this.sequence) mayBePersisted = false;
        if (err instanceof SequenceError && !mayBePersisted) {
          this.sequence = expected;
          continue;
        }
        // Earlier attempts had the same content, so the store rejected them as well.
        if (err instanceof RecordRejectedError) throw err;
        const lost = err instanceof StoreAnswerLostError;
        const refused = err instanceof StoreRefusedError;
        if (!lost && !refused) {
          const failure = this.closeIfFenced(err);
          throw mayBePersisted ? this.lostError(failure) : failure;
        }
        mayBePersisted ||= lost;
        this.logFailure(records, failures, timeoutMs, err);
        if (batch && lost) {
          batch.mayBeSent = true;
          batch.wasLost = true;
        }
        if (!mayBePersisted && !retriesRefusedBatches) throw err;
        if (this.closed) throw mayBePersisted ? this.lostError(err) : err;
        if (this.isStuck()) this.rejectQueued();
        if (lost) timeoutMs = Math.min(maxTimeoutOf(records), 2 * timeoutMs);
      }
      await sleep(clock, WRITER.retryMs);
    }
  }

  /** Logs the failures of one batch at its first, second, fourth … attempt. */
  private logFailure(
    records: readonly KeyedRecord[],
    failures: number,
    timeoutMs: number,
    err: unknown,
  ): void {
    if (!Number.isInteger(Math.log2(failures))) return;
    const { topic, epoch, logger, clock } = this.options;
    const sizes = records.map(recordBytes);
    const sentAt = this.batchSentAt ?? clock.monotonic();
    logger.warn("writer.failing", {
      topic,
      epoch,
      sequence: this.sequence,
      failures,
      ageMs: Math.round(clock.monotonic() - sentAt),
      timeoutMs,
      records: records.length,
      bytes: sizes.reduce((sum, bytes) => sum + bytes, 0),
      largestBytes: Math.max(0, ...sizes),
      queued: this.queue.length,
      error: describeError(err),
    });
  }

  private async appendOnce(
    records: readonly KeyedRecord[],
    timeoutMs: number,
    batch?: Batch,
  ): Promise<number> {
    const { store, topic, producer, epoch, clock } = this.options;
    const sentAt = clock.monotonic();
    const next = await store.append({
      topic,
      records,
      stamp: { producer, epoch, sequence: this.sequence },
      timeoutMs,
      signal: batch?.abort.signal,
      onSending: () => {
        if (batch) batch.mayBeSent = true;
      },
      onProgress: () => {
        // A store that does not answer may still take the parts of each further attempt.
        if (!batch?.wasLost) this.progressAt = clock.monotonic();
      },
    });
    this.adjustTimeout(clock.monotonic() - sentAt);
    // An empty append only sets the epoch and uses no number.
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

  /** An earlier attempt may be persisted, whatever the last one was answered. */
  private lostError(cause: unknown): StoreAnswerLostError {
    const { topic } = this.options;
    return new StoreAnswerLostError(
      `an append to topic ${topic} was not answered`,
      cause,
    );
  }

  private closeIfFenced(err: unknown): unknown {
    const { topic, logger, epoch } = this.options;
    logger.warn("writer.closed", { topic, epoch, error: describeError(err) });
    if (err instanceof FencedError) this.close(err);
    return err;
  }
}

const maxTimeoutOf = (records: readonly KeyedRecord[]): number => {
  const bytes = records.reduce((sum, each) => sum + recordBytes(each), 0);
  return WRITER.maxTimeoutMs + bytes / WRITER.slowestLinkBytesPerMs;
};
