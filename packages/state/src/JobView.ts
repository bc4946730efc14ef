/** View of all jobs, built from the topics of the store; every entry maintains one. */

import {
  describeError,
  Emitter,
  type HostId,
  type Instant,
  type Logger,
  type Metrics,
  type WorkerInstance,
} from "@rackspan/common";
import type { KeyedRecord } from "@rackspan/ports";
import { decodeStoredHost } from "./hostRecords.js";
import {
  decodeCancel,
  decodeJob,
  decodeProgress,
  hasBegunTask,
  isJobKey,
  PROGRESS_KEYS,
  type AcceptedJob,
  TOPICS,
  type ProgressRecord,
  type TaskProgress,
} from "./jobRecords.js";
import {
  isFinalState,
  type JobId,
  type JobStateName,
  type QueueKey,
} from "./jobModel.js";
import { newestOfEachKey } from "./newestOfEachKey.js";
import {
  decodeSegment,
  joinSegments,
  parseSegmentKey,
} from "./progressSegments.js";
import type { UnreadableRecords } from "./TopicFollower.js";
import { decodeTerm, type TermRecord } from "./termRecord.js";

export interface JobEntry {
  readonly accepted: AcceptedJob;
  readonly cancelled: boolean;
  readonly progress: ProgressRecord | undefined;
}

export type JobChange =
  | { readonly kind: "accepted"; readonly job: AcceptedJob }
  | { readonly kind: "cancelled"; readonly id: JobId };

/**
 * Hosts that may have been granted leases, with the worker incarnation that may
 * hold them; undefined stands for any incarnation.
 */
export type Roster = ReadonlyMap<HostId, WorkerInstance | undefined>;

export interface JobViewOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class JobView {
  /** Emits the changes that a leader has to act on. */
  readonly changes = new Emitter<JobChange>();
  private readonly jobs = new Map<JobId, AcceptedJob>();
  /** Jobs whose stored records this version cannot read. */
  private readonly unreadable = new Set<JobId>();
  /**
   * When each cancel was accepted. A cancel may arrive before its
   * job and is then held for it.
   */
  private readonly cancels = new Map<JobId, Instant>();
  /** The job's own record; the progress of a large job also has segments. */
  private readonly progress = new Map<JobId, ProgressRecord>();
  /** Segments of the job's progress, by key. */
  private readonly segments = new Map<JobId, Map<string, TaskProgress>>();
  private readonly hosts = new Map<HostId, WorkerInstance | undefined>();
  /** Hosts that a leader without recorded placements may have used last. */
  private readonly unrecordedHosts = new Set<HostId>();
  private term: TermRecord | undefined;
  private isTermUnreadable = false;
  /** Keys of progress records that this version cannot read. */
  private readonly unreadableProgress = new Set<string>();
  /**
   * Whether progress records with unknown keys could not be read. Which records replace
   * them is unknown, so this holds until the next full load.
   */
  private hasUnknownProgress = false;

  constructor(private readonly options: JobViewOptions) {}

  get(id: JobId): JobEntry | undefined {
    const accepted = this.jobs.get(id);
    if (!accepted) return undefined;
    const cancelled = this.cancels.has(id);
    const head = this.progress.get(id);
    const segments = this.segments.get(id);
    if (!segments) return { accepted, cancelled, progress: head };
    return {
      accepted,
      cancelled,
      // Joining takes time in proportion to the job, and most callers need it not.
      get progress() {
        return joinSegments(head, segments);
      },
    };
  }

  /** Keys of all records in which the job's progress is stored; its own record is last. */
  progressKeysOf(id: JobId): string[] {
    return [...(this.segments.get(id)?.keys() ?? []), id];
  }

  /** State that is reported to callers; undefined for an unknown job. */
  stateOf(id: JobId): JobStateName | undefined {
    if (!this.jobs.has(id)) return undefined;
    const state = this.progress.get(id)?.state ?? "queued";
    if (isFinalState(state)) return state;
    return this.cancels.has(id) ? "cancelled" : state;
  }

  /** Whether the store holds a record of the job that this version cannot read. */
  isUnreadable(id: JobId): boolean {
    return this.unreadable.has(id);
  }

  all(): JobEntry[] {
    return [...this.jobs.keys()].map((id) => this.get(id) as JobEntry);
  }

  /**
   * Whether a cancel is recorded for the job; the job record itself
   * may not have arrived.
   */
  isCancelled(id: JobId): boolean {
    return this.cancels.has(id);
  }

  /**
   * Jobs with a cancel that was accepted before the given time, but
   * without a job record.
   */
  cancelsWithoutJob(before: Instant): JobId[] {
    const ids: JobId[] = [];
    for (const [id, at] of this.cancels) {
      const hasArrived = this.jobs.has(id) || this.unreadable.has(id);
      if (at < before && !hasArrived) ids.push(id);
    }
    return ids;
  }

  /** Number of jobs in the queue of which no worker has started a task. */
  countUnstartedJobs(queue: QueueKey): number {
    let count = 0;
    for (const [id, { spec }] of this.jobs) {
      if (spec.queue !== queue || this.cancels.has(id)) continue;
      if (isFinalState(this.progress.get(id)?.state ?? "queued")) continue;
      if (!this.hasBegun(id)) count += 1;
    }
    return count;
  }

  private hasBegun(id: JobId): boolean {
    if (this.progress.get(id)?.begun) return true;
    const segments = this.segments.get(id)?.values() ?? [];
    return [...segments].some(hasBegunTask);
  }

  get roster(): Roster {
    return this.hosts;
  }

  /** The last term that wrote a term record. */
  get lastTerm(): TermRecord | undefined {
    return this.term;
  }

  /** Whether there may be a term record that this version cannot read. */
  get hasUnreadableTerm(): boolean {
    return this.hasUnknownProgress || this.isTermUnreadable;
  }

  /** Whether a progress record cannot be read, so that its job seems never started. */
  get hasUnreadableProgress(): boolean {
    return this.hasUnknownProgress || this.unreadableProgress.size > 0;
  }

  /**
   * Hosts on which a leader that records no placements may have started tasks since the
   * last leader that does.
   */
  get hostsWithoutPlacements(): readonly HostId[] {
    return [...this.unrecordedHosts];
  }

  /**
   * Adds an accepted job. Also called by the entry that wrote the
   * record, before it reads it back.
   */
  addAccepted(job: AcceptedJob): void {
    const { id } = job.spec;
    if (this.jobs.has(id)) return;
    this.jobs.set(id, job);
    this.changes.emit({ kind: "accepted", job });
  }

  /** @param at wall-clock time at which the cancel was accepted */
  addCancel(id: JobId, at: Instant): void {
    if (this.cancels.has(id)) return;
    this.cancels.set(id, at);
    this.changes.emit({ kind: "cancelled", id });
  }

  applyJobRecords(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      const id = key as unknown as JobId;
      this.unreadable.delete(id);
      if (!value) {
        this.jobs.delete(id);
        continue;
      }
      const isRead = this.decode(key, () =>
        this.addAccepted(decodeJob(key, value)),
      );
      if (!isRead) this.unreadable.add(id);
    }
  }

  applyCancelRecords(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      const id = key as unknown as JobId;
      if (!value) {
        this.cancels.delete(id);
        continue;
      }
      // A cancel record of another writer cannot be read and cancels
      // nothing: no caller requested it.
      this.decode(key, () => this.addCancel(id, decodeCancel(key, value)));
    }
  }

  /** Reads the newest record of each key only: a busy job has several in one poll. */
  applyProgressRecords(records: readonly KeyedRecord[]): void {
    for (const { key, value } of newestOfEachKey(records)) {
      if (!isJobKey(key)) {
        if (key === PROGRESS_KEYS.term) this.applyTermRecord(value);
        continue;
      }
      this.unreadableProgress.delete(key);
      const isRead = this.decode(key, () => this.applyProgress(key, value));
      if (!isRead) this.unreadableProgress.add(key);
    }
  }

  /** @throws BadRecordError */
  private applyProgress(key: string, value: Buffer | undefined): void {
    const segment = parseSegmentKey(key);
    if (segment) {
      this.applySegment(segment.job, key, value);
      return;
    }
    const id = key as unknown as JobId;
    if (value) this.progress.set(id, decodeProgress(key, value));
    else this.progress.delete(id);
  }

  /** @throws BadRecordError */
  private applySegment(
    job: JobId,
    key: string,
    value: Buffer | undefined,
  ): void {
    const segments = this.segments.get(job) ?? new Map<string, TaskProgress>();
    if (value) segments.set(key, decodeSegment(TOPICS.progress, key, value));
    else segments.delete(key);
    if (segments.size > 0) this.segments.set(job, segments);
    else this.segments.delete(job);
  }

  /** Marks progress records that the store client could not read. */
  applyUnreadableProgress({
    isFullLoad,
    keys,
    hasUnknownKeys,
  }: UnreadableRecords): void {
    const isStillUnknown = !isFullLoad && this.hasUnknownProgress;
    this.hasUnknownProgress = hasUnknownKeys || isStillUnknown;
    for (const key of keys) {
      if (key === PROGRESS_KEYS.term) {
        this.term = undefined;
        this.isTermUnreadable = true;
      } else if (isJobKey(key)) this.unreadableProgress.add(key);
    }
  }

  applyHostRecords(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      const host = key as unknown as HostId;
      this.unrecordedHosts.delete(host);
      if (!value) {
        this.hosts.delete(host);
        continue;
      }
      this.decode(key, () => {
        // An unreadable record may be of a leader that records no placements.
        this.unrecordedHosts.add(host);
        const { instance, hasPlacements } = decodeStoredHost(key, value);
        this.hosts.set(host, instance);
        if (hasPlacements) this.unrecordedHosts.delete(host);
      });
    }
  }

  private applyTermRecord(value: Buffer | undefined): void {
    // Without a readable record the next leader trusts no placements.
    this.term = undefined;
    this.isTermUnreadable =
      value !== undefined &&
      !this.decode(PROGRESS_KEYS.term, () => (this.term = decodeTerm(value)));
  }

  /** @returns whether the record could be read */
  private decode(key: string, apply: () => void): boolean {
    try {
      apply();
      return true;
    } catch (err) {
      const { logger, metrics } = this.options;
      metrics.count("records_passed_over");
      logger.error("record.unreadable", { key, error: describeError(err) });
      return false;
    }
  }
}
