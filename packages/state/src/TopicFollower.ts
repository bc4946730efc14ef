/**
 * Follows one keyed topic: first the newest record of each key, then every
 * change by long polls. One task reads, for as long as the process runs.
 */

import {
  describeError,
  pause,
  type Clock,
  type Logger,
  type Monotonic,
} from "@rackspan/common";
import {
  RecordsGoneError,
  type KeyedRecord,
  type RecordPage,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";

const FOLLOW = {
  /** A poll that hears nothing returns after this, so that a silent store is noticed. */
  pollMs: 1_500,
  /** Pause after a failure; a store that comes back is noticed within this. */
  retryMs: 150,
} as const;

export interface TopicFollowerOptions {
  readonly topic: TopicName;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Least time between two polls, milliseconds: each call has a price. Asked for
   * before each pause, since an entry that leads must hear of news sooner.
   */
  readonly minPollIntervalMs: () => number;
  /** Called with the records of one page, in order. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
}

export class TopicFollower {
  private readonly abort = new AbortController();
  private next: number | undefined;
  private completeAt: Monotonic | undefined;
  private answeredAt: Monotonic = -Infinity;
  private reachable = true;
  private task: Promise<void> | undefined;
  /** Keys that were handed on with a value and not dropped since. */
  private readonly knownKeys = new Set<string>();
  private readonly waiters = new Set<() => void>();
  /** Ends the poll that is under way, so that a fresh one can be made. */
  private pollAbort = new AbortController();

  constructor(private readonly options: TopicFollowerOptions) {}

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.abort.abort();
    this.pollAbort.abort();
    await this.task;
  }

  /** Whether the newest record of each key has been read once. */
  get loaded(): boolean {
    return this.next !== undefined;
  }

  /** Milliseconds since the view was last known to be complete; Infinity before. */
  get ageMs(): number {
    if (this.completeAt === undefined) return Infinity;
    return this.options.clock.monotonic() - this.completeAt;
  }

  /** When the store last answered a poll; -Infinity before. */
  get lastAnswerAt(): Monotonic {
    return this.answeredAt;
  }

  /** Whether the last poll failed. */
  get failing(): boolean {
    return !this.reachable;
  }

  /** Resolves once everything that the store holds now has been handed on. */
  async catchUp(signal?: AbortSignal): Promise<void> {
    const askedAt = this.options.clock.monotonic();
    while ((this.completeAt ?? -Infinity) < askedAt) {
      signal?.throwIfAborted();
      this.pollAbort.abort();
      await new Promise<void>((resolve) => this.waiters.add(resolve));
    }
  }

  private async run(): Promise<void> {
    const { clock, minPollIntervalMs: minPollIntervalMs } = this.options;
    while (!this.abort.signal.aborted) {
      const startedAt = clock.monotonic();
      const succeeded = await this.step();
      const pauseMs =
        succeeded && this.waiters.size > 0
          ? 0
          : succeeded
            ? minPollIntervalMs() - (clock.monotonic() - startedAt)
            : FOLLOW.retryMs;
      if (pauseMs > 0) await this.pauseFor(pauseMs);
    }
  }

  /** Ends early when a caller waits for a fresh view. */
  private async pauseFor(ms: number): Promise<void> {
    this.pollAbort = new AbortController();
    const signals = [this.abort.signal, this.pollAbort.signal];
    await pause(this.options.clock, ms, AbortSignal.any(signals));
  }

  private async step(): Promise<boolean> {
    try {
      if (this.next === undefined) await this.load();
      else await this.poll(this.next);
      this.markReachable();
      return true;
    } catch (err) {
      if (this.abort.signal.aborted) return false;
      if (this.pollAbort.signal.aborted) return true;
      this.handleFailure(err);
      return false;
    }
  }

  private async load(): Promise<void> {
    const { store, topic, clock } = this.options;
    const askedAt = clock.monotonic();
    // What ended a poll before does not excuse a failure of this reading.
    this.pollAbort = new AbortController();
    const page = await store.readNewest(topic);
    this.logUnreadable(page);
    this.passOn([...this.deletedSince(page), ...page.records]);
    this.next = page.next;
    this.markComplete(askedAt);
  }

  private async poll(from: number): Promise<void> {
    const { store, topic, clock } = this.options;
    const askedAt = clock.monotonic();
    const waitMs = this.waiters.size > 0 ? 0 : FOLLOW.pollMs;
    this.pollAbort = new AbortController();
    const { signal } = this.pollAbort;
    const page = await store.read({ topic, from, waitMs, signal });
    this.logUnreadable(page);
    if (page.records.length > 0) this.passOn(page.records);
    this.next = page.next;
    this.answeredAt = clock.monotonic();
    // An answer holds a megabyte at most: a follower that was cut off reads on.
    const isAtEnd = page.next === from || page.next >= page.end;
    if (isAtEnd) this.markComplete(askedAt);
  }

  /**
   * The newest records name no key that was dropped while the follower was cut
   * off. Without this a job that is gone would be held for ever, and run again.
   */
  private deletedSince(newest: RecordPage): KeyedRecord[] {
    const { records, unreadableKeys = [] } = newest;
    const listed = new Set([
      ...records.map(({ key }) => key),
      ...unreadableKeys,
    ]);
    return [...this.knownKeys]
      .filter((key) => !listed.has(key))
      .map((key) => ({ key, value: undefined }));
  }

  private passOn(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (value) this.knownKeys.add(key);
      else this.knownKeys.delete(key);
    }
    this.options.onRecords(records);
  }

  private markComplete(askedAt: Monotonic): void {
    this.completeAt = askedAt;
    this.answeredAt = this.options.clock.monotonic();
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Records of another writer: what the others say holds. */
  private logUnreadable({ unreadable = 0, next }: RecordPage): void {
    if (unreadable === 0) return;
    const { topic, logger } = this.options;
    logger.warn("topic.unreadable", { topic, records: unreadable, next });
  }

  private markReachable(): void {
    if (this.reachable) return;
    this.reachable = true;
    const { topic, logger } = this.options;
    logger.info("store.regained", { topic, next: this.next });
  }

  private handleFailure(err: unknown): void {
    const { topic, logger } = this.options;
    if (err instanceof RecordsGoneError) {
      // Keyed topics keep each key's newest record: read those again.
      logger.warn("topic.reload", { topic, error: describeError(err) });
      this.next = undefined;
      return;
    }
    if (!this.reachable) return;
    this.reachable = false;
    const age = Math.round(this.ageMs);
    logger.warn("store.lost", { topic, age, error: describeError(err) });
  }
}
