/**
 * Follows one keyed topic: loads the newest record of each key, then reads every
 * change with long polls. A single loop reads for as long as the process runs.
 */

import {
  describeError,
  pause,
  type Clock,
  type Logger,
  type Monotonic,
} from "@rackspan/common";
import {
  joinNewest,
  RecordsGoneError,
  type KeyedRecord,
  type NewestPage,
  type RecordPage,
  type RecordStore,
  type TopicName,
} from "@rackspan/ports";

const FOLLOW = {
  /**
   * Maximum duration of a poll without records, so that a store that
   * stops answering is detected.
   */
  pollMs: 1_500,
  /** Pause after a failure; the recovery of the store is detected within this time. */
  retryMs: 150,
} as const;

/** Records of one page that the store client could not read. */
export interface UnreadableRecords {
  /** Whether the page contains the newest record of each key. */
  readonly isFullLoad: boolean;
  readonly keys: readonly string[];
  /** Whether there are unreadable records beside those of `keys`. */
  readonly hasUnknownKeys: boolean;
}

export interface TopicFollowerOptions {
  readonly topic: TopicName;
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Minimum time between two polls, milliseconds, because each call
   * has a cost. Evaluated before each pause, because the leading entry
   * must receive changes sooner.
   */
  readonly minPollIntervalMs: () => number;
  /** Called with the records of one page, in order. */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /**
   * Called after the records of each full load, and after those of a polled page with
   * unreadable records.
   */
  readonly onUnreadable?: (unreadable: UnreadableRecords) => void;
}

export class TopicFollower {
  private readonly abort = new AbortController();
  private next: number | undefined;
  /** The pages of a load that was interrupted, and when the first one was requested. */
  private unfinishedLoad:
    { readonly pages: NewestPage; readonly requestedAt: Monotonic } | undefined;
  private completeAt: Monotonic | undefined;
  private answeredAt: Monotonic = -Infinity;
  private reachable = true;
  private task: Promise<void> | undefined;
  /** Keys that were passed on with a value and not deleted since. */
  private readonly knownKeys = new Set<string>();
  private readonly waiters = new Set<() => void>();
  /** Aborts the current poll or pause, so that a new poll starts. */
  private pollAbort = new AbortController();
  /** Whether a poll is in flight that the store answers at once. */
  private isShortPoll = false;

  constructor(private readonly options: TopicFollowerOptions) {}

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.abort.abort();
    this.pollAbort.abort();
    await this.task;
  }

  /** Whether the newest record of each key has been loaded. */
  get loaded(): boolean {
    return this.next !== undefined;
  }

  /**
   * Milliseconds since the view was last known to be complete;
   * Infinity before the first load.
   */
  get ageMs(): number {
    if (this.completeAt === undefined) return Infinity;
    return this.options.clock.monotonic() - this.completeAt;
  }

  /** When the store last sent an answer to a poll, or a part of one; -Infinity before. */
  get lastAnswerAt(): Monotonic {
    return this.answeredAt;
  }

  /** Whether the last poll failed. */
  get failing(): boolean {
    return !this.reachable;
  }

  /**
   * Resolves once all records that the store holds now have been passed on. Rejects when
   * the signal is aborted before.
   */
  async catchUp(signal?: AbortSignal): Promise<void> {
    const requestedAt = this.options.clock.monotonic();
    while ((this.completeAt ?? -Infinity) < requestedAt) {
      signal?.throwIfAborted();
      // Earlier callers wait for a short poll. If each caller aborted it, no poll would
      // end while they arrive more often than the store answers.
      if (!this.isShortPoll) this.pollAbort.abort();
      await this.nextCompletion(signal);
    }
  }

  private nextCompletion(signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const wake = (): void => {
        signal?.removeEventListener("abort", drop);
        resolve();
      };
      const drop = (): void => {
        this.waiters.delete(wake);
        reject(signal?.reason as Error);
      };
      this.waiters.add(wake);
      signal?.addEventListener("abort", drop, { once: true });
    });
  }

  private async run(): Promise<void> {
    const { clock, minPollIntervalMs } = this.options;
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

  /** Pauses, but ends early when a caller waits for an up-to-date view. */
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
    // An abort of an earlier poll must not mask a failure of this load.
    this.pollAbort = new AbortController();
    const { page, requestedAt } = await this.readNewestPages();
    this.logUnreadable(page);
    this.passOn([...this.deletedSince(page), ...page.records]);
    this.passOnUnreadable(page, true);
    this.next = page.next;
    this.markComplete(requestedAt);
  }

  /** Reads all pages; after a failure the next call continues behind those that it read. */
  private async readNewestPages(): Promise<{
    readonly page: RecordPage;
    readonly requestedAt: Monotonic;
  }> {
    const { store, topic, clock, logger } = this.options;
    for (;;) {
      const before = this.unfinishedLoad;
      const requestedAt = before?.requestedAt ?? clock.monotonic();
      const next = await store.readNewest(topic, before?.pages.continuesAfter);
      const pages = before ? joinNewest(before.pages, next) : next;
      this.unfinishedLoad = { pages, requestedAt };
      if (pages.continuesAfter !== undefined) continue;
      this.unfinishedLoad = undefined;
      logger.info("topic.loaded", {
        topic,
        records: pages.records.length,
        next: pages.next,
        tookMs: Math.round(clock.monotonic() - requestedAt),
      });
      return { page: pages, requestedAt };
    }
  }

  private async poll(from: number): Promise<void> {
    const { store, topic, clock } = this.options;
    const requestedAt = clock.monotonic();
    const waitMs = this.waiters.size > 0 ? 0 : FOLLOW.pollMs;
    this.pollAbort = new AbortController();
    const { signal } = this.pollAbort;
    this.isShortPoll = waitMs === 0;
    const onProgress = (): void => {
      this.answeredAt = clock.monotonic();
    };
    const page = await store
      .read({ topic, from, waitMs, signal, onProgress })
      .finally(() => (this.isShortPoll = false));
    this.logUnreadable(page);
    if (page.records.length > 0) this.passOn(page.records);
    if (page.unreadable) this.passOnUnreadable(page, false);
    this.next = page.next;
    this.answeredAt = clock.monotonic();
    // A response contains at most one megabyte, so a follower that is behind reads on.
    const isAtEnd = page.next === from || page.next >= page.end;
    if (isAtEnd) this.markComplete(requestedAt);
  }

  /**
   * Returns deletions for the keys that were deleted while the follower could not
   * reach the store: a list of the newest records does not contain them. Without
   * this, a job that was deleted would be held forever and run again.
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

  private passOnUnreadable(
    { unreadable = 0, unreadableKeys: keys = [] }: RecordPage,
    isFullLoad: boolean,
  ): void {
    const hasUnknownKeys = unreadable > keys.length;
    this.options.onUnreadable?.({ isFullLoad, keys, hasUnknownKeys });
  }

  private markComplete(requestedAt: Monotonic): void {
    this.completeAt = requestedAt;
    this.answeredAt = this.options.clock.monotonic();
    const waiters = [...this.waiters];
    this.waiters.clear();
    for (const wake of waiters) wake();
  }

  /**
   * Logs unreadable records, such as those of another writer; the
   * other records are used.
   */
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
      // Keyed topics keep the newest record of each key, so these are loaded again.
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
