/** Applies the log to the fold in offset order, after restoring the newest snapshot. */

import {
  AbortedError,
  ChangeSignal,
  describeError,
  Emitter,
  jitter,
  offset,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type Monotonic,
  type Offset,
  type Random,
} from "@rackspan/common";
import { RetentionError, type LogService } from "@rackspan/ports";
import { RECORD_STREAM } from "./Appender.js";
import { decodeBatch, UnreadableEntryError } from "./codec.js";
import { HistoryLostError } from "./errors.js";
import type { Fold } from "./Fold.js";
import type { Snapshot, SnapshotStore } from "./snapshots.js";

const READ_WAIT_MS = 5_000;
const RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/**
 * Fetches snapshots of other entries, for when the log no longer has
 * the entries needed.
 */
export interface PeerSnapshots {
  /** The snapshot with the highest offset among the peers that answered. */
  fetchNewest(): Promise<Snapshot | undefined>;
}

export interface LogFollowerOptions {
  readonly log: LogService;
  readonly fold: Fold;
  readonly snapshots: SnapshotStore;
  readonly peers: PeerSnapshots;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

export class LogFollower {
  /**
   * Emits when the fold was restored from a snapshot; the records covered by it
   * are not emitted one by one.
   */
  readonly restoredFromSnapshot = new Emitter<void>();
  private from = offset(0);
  private restored = false;
  private reachedEnd = false;
  private lastReadAt: Monotonic = -Infinity;
  private failure: Error | undefined;
  private readonly changed = new ChangeSignal();

  constructor(private readonly options: LogFollowerOptions) {}

  /** All entries below this offset have been applied to the fold. */
  get position(): Offset {
    return this.from;
  }

  /** Whether the fold has reached the end of the log at least once. */
  get caughtUp(): boolean {
    return this.reachedEnd;
  }

  /** Set when following has stopped permanently; an operator has to intervene. */
  get fault(): Error | undefined {
    return this.failure;
  }

  /** Milliseconds since the log was last read successfully. */
  get sinceLastReadMs(): number {
    return this.options.clock.monotonic() - this.lastReadAt;
  }

  /**
   * Resolves at the next change of position, readiness or fault, or
   * after `ms` milliseconds.
   */
  waitForChange(ms: number): Promise<void> {
    return this.changed.wait(this.options.clock, ms);
  }

  /** Follows the log until the signal aborts or the history is lost. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, logger } = this.options;
    let retryMs = RETRY_MS;
    while (!signal.aborted) {
      try {
        if (!this.restored) await this.restore();
        await this.readOnce(signal);
        retryMs = RETRY_MS;
      } catch (err) {
        if (signal.aborted || err instanceof AbortedError) return;
        if (isPermanent(err)) return this.fail(err as Error);
        this.options.metrics.count("log_read_errors");
        logger.warn("log.read-failed", { error: describeError(err) });
        await sleep(clock, jitter(random, retryMs), signal).catch(
          () => undefined,
        );
        retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const { log, fold, clock } = this.options;
    const waitMs = this.reachedEnd ? READ_WAIT_MS : 0;
    const page = await this.readWithinRetention(() =>
      log.read(RECORD_STREAM, { from: this.from, waitMs, signal }),
    );
    this.lastReadAt = clock.monotonic();
    for (const entry of page.entries) {
      fold.applyBatch(decodeBatch(entry.data));
      this.from = offset(entry.offset + 1);
    }
    this.from = offset(Math.max(this.from, page.next));
    if (page.entries.length === 0) this.reachedEnd = true;
    this.changed.notify();
  }

  /**
   * Reads a page of the log.
   * @throws HistoryLostError when the reader fell behind the log's retention,
   *   because entries are missing
   */
  private async readWithinRetention<T>(read: () => Promise<T>): Promise<T> {
    try {
      return await read();
    } catch (err) {
      if (!(err instanceof RetentionError)) throw err;
      const what = `the log dropped entries from ${this.from} to ${err.oldest} that this process has not read`;
      throw new HistoryLostError(what, err);
    }
  }

  private async restore(): Promise<void> {
    const { fold, logger, snapshots, peers } = this.options;
    const fromLog = await settle(snapshots.load());
    const fromPeer = await settle(peers.fetchNewest());
    const best = newerOf(fromLog.value, fromPeer.value);
    if (!best && fromLog.error) throw fromLog.error;
    if (best) {
      fold.restore(best.state);
      this.from = best.covered;
      this.restoredFromSnapshot.emit();
      logger.info("state.restored", {
        covered: best.covered,
        sequence: fold.sequence,
      });
    }
    this.restored = true;
  }

  private fail(err: Error): void {
    this.failure = err;
    this.options.metrics.count("log_follow_failed");
    this.options.logger.error("state.lost", { error: describeError(err) });
    this.changed.notify();
  }
}

interface Settled<T> {
  readonly value?: T;
  readonly error?: unknown;
}

const settle = async <T>(promise: Promise<T>): Promise<Settled<T>> => {
  try {
    return { value: await promise };
  } catch (error) {
    return { error };
  }
};

const newerOf = (
  a: Snapshot | undefined,
  b: Snapshot | undefined,
): Snapshot | undefined => {
  if (!a || !b) return a ?? b;
  return a.covered >= b.covered ? a : b;
};

const isPermanent = (err: unknown): boolean =>
  err instanceof HistoryLostError || err instanceof UnreadableEntryError;
