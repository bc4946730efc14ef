/**
 * The requests of callers, independent of the wire format: submit a job, query its
 * state, cancel it, count the pending jobs of a queue. Every entry answers from its own
 * view of the store.
 */

import {
  describeError,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type Monotonic,
  type Timer,
} from "@rackspan/common";
import {
  FencedError,
  RecordRejectedError,
  StoreRefusedError,
  type KeyedRecord,
} from "@rackspan/ports";
import type { AdmissionController } from "@rackspan/routing";
import {
  encodeCancel,
  encodeJob,
  isFinalState,
  type AcceptedJob,
  type ConfigHolder,
  type JobId,
  type JobSpec,
  type JobStateName,
  type JobTerms,
  type JobView,
  type PendingWrite,
  type QueueKey,
  type QueueSpec,
  type TopicWriter,
  type TopicFollower,
} from "@rackspan/state";
import { STORE_RETRY, retryDeadline, unsentDeadline } from "./storeRetry.js";
import type { StoreReachability } from "./StoreReachability.js";
import { UnsettledWrites } from "./UnsettledWrites.js";

/** Times of the JobService, milliseconds. */
export const JOB_SERVICE = {
  /** Retry delay that a refused caller is given. */
  retryAfterMs: 1_000,
  /** A job that is missing in a view older than this may exist nevertheless. */
  maxViewAgeMs: 2_600,
  /** Longest wait for a fresh view; a healthy store answers within some milliseconds. */
  viewRefreshTimeoutMs: 400,
  /** The response is sent this long before the caller stops waiting for it. */
  responseMarginMs: 120,
} as const;

/** The request was not carried out and never will be. */
export interface RefusedOutcome {
  readonly kind: "refused";
  /** `overload`: the hosts have no room for the job; `unavailable`: any other cause. */
  readonly cause: "overload" | "unavailable";
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** The request was not carried out, and no repetition of it ever will be. */
export interface RejectedOutcome {
  readonly kind: "rejected";
  readonly reason: string;
}

/**
 * Result of a submit or a cancel. After `unknown` the caller may repeat the request at
 * once; a `refused` request was not carried out and never will be.
 */
export type JobRequestOutcome =
  | { readonly kind: "accepted" }
  | RefusedOutcome
  | RejectedOutcome
  | { readonly kind: "unknown"; readonly reason: string }
  | { readonly kind: "no-such-job" };

/** Result of a state query. */
export type JobStateOutcome =
  | { readonly kind: "known"; readonly state: JobStateName }
  | { readonly kind: "no-such-job" }
  | RefusedOutcome;

export interface JobServiceOptions {
  readonly view: JobView;
  readonly admission: AdmissionController;
  readonly config: ConfigHolder;
  readonly jobsFollower: TopicFollower;
  readonly storeReachability: StoreReachability;
  readonly jobsWriter: TopicWriter;
  readonly cancelsWriter: TopicWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What is to be done about the writes of a request. */
interface WriteHandlers {
  readonly onPersisted: () => void;
  /**
   * Called before each write.
   * @returns called once the record is persisted, or certainly never will be
   */
  readonly onWriting?: () => () => void;
}

/** When a pending write is given up, in monotonic time. */
interface WriteTimes {
  /** When a record that was not sent is withdrawn. */
  readonly abandonAt: Monotonic;
  /** When the caller's response is due. */
  readonly respondAt: Monotonic;
}

const refused = (reason: string) =>
  ({
    kind: "refused",
    cause: "unavailable",
    reason,
    retryAfterMs: JOB_SERVICE.retryAfterMs,
  }) as const;

/** The queue's settings that apply to the job even after the queue has been removed. */
export const jobTermsOf = ({
  service,
  priority,
  maxAttempts,
  stretch,
  targetLatencyMs,
  permitRule,
}: QueueSpec): JobTerms => ({
  service,
  priority,
  maxAttempts,
  stretch,
  targetLatencyMs,
  permitRule,
});

/** The requests of callers, and what their listener must know to serve them. */
export type JobRequests = Omit<JobService, "confirmedState" | "stateInView">;

export class JobService {
  private readonly unsettled = new UnsettledWrites();

  constructor(private readonly options: JobServiceOptions) {}

  /** Whether the configuration and the jobs have been read, so that callers can be served. */
  get isReady(): boolean {
    const { config, jobsFollower } = this.options;
    return config.current !== undefined && jobsFollower.loaded;
  }

  /** Whether jobs can be persisted now; if not, callers should use another entry. */
  get isStoreReachable(): boolean {
    return this.options.storeReachability.isReachable;
  }

  findQueue(hostName: string, path: string): QueueSpec | undefined {
    return this.options.config.matchQueue(hostName, path);
  }

  get maxBodyBytes(): number | undefined {
    return this.options.config.current?.maxBodyBytes;
  }

  /** @param deadline when the caller stops waiting, in monotonic time */
  async submit(
    queue: QueueSpec,
    spec: JobSpec,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    const { view, jobsWriter, clock, metrics } = this.options;
    const startedAt = clock.monotonic();
    const terms = jobTermsOf(queue);
    const job: AcceptedJob = { spec, acceptedAt: clock.now(), terms };
    const record = { key: spec.id, value: encodeJob(job) };
    const decided =
      this.outcomeOfKnown(spec) ??
      this.rejection(record) ??
      (await this.refusal(spec, terms, deadline));
    if (decided)
      return this.recordOutcome("submit", spec.id, decided, startedAt);
    const persisted = await this.persist(jobsWriter, record, deadline, {
      onPersisted: () => view.addAccepted(job),
      onWriting: () => this.unsettled.begin(spec.id),
    });
    const outcome = this.withoutFalseRefusal(spec.id, persisted);
    if (outcome.kind === "accepted") {
      metrics.latency("submit").record(clock.monotonic() - startedAt);
    }
    return this.recordOutcome("submit", spec.id, outcome, startedAt);
  }

  /** A job whose record the store can never accept is not tried at all. */
  private rejection(record: KeyedRecord): JobRequestOutcome | undefined {
    const rejection = this.options.jobsWriter.rejectionOf(record);
    return rejection && { kind: "rejected", reason: rejection.message };
  }

  private outcomeOfKnown(spec: JobSpec): JobRequestOutcome | undefined {
    const known = this.options.view.get(spec.id);
    if (!known) return undefined;
    return known.accepted.spec.queue === spec.queue
      ? { kind: "accepted" }
      : refused("the id belongs to a job of another queue");
  }

  /**
   * Whether a record of the job may be stored, or may still be. A refusal, which states
   * that the job never runs, might then be false.
   */
  private mayBeStored(id: JobId): boolean {
    return this.unsettled.has(id) || this.options.view.isUnreadable(id);
  }

  /** The outcome of a write, unless it is a refusal that may be false. */
  private withoutFalseRefusal(
    id: JobId,
    outcome: JobRequestOutcome,
  ): JobRequestOutcome {
    if (outcome.kind !== "refused" && outcome.kind !== "rejected")
      return outcome;
    if (!this.mayBeStored(id)) return outcome;
    const reason = `${outcome.reason}; a record of the job may be stored`;
    return { kind: "unknown", reason };
  }

  /**
   * Refuses a job that can be of no use any more. The view is refreshed first: a refusal
   * states that the job never runs, and another entry may have accepted it a moment ago.
   * If the view cannot be refreshed, the job is not refused.
   */
  private async refusal(
    spec: JobSpec,
    terms: JobTerms,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome | undefined> {
    const { admission, clock, jobsFollower } = this.options;
    const arrivedAt = clock.monotonic();
    const proposed = admission.propose(spec, terms);
    if (!proposed) return undefined;
    await this.refreshView(deadline);
    const known = this.outcomeOfKnown(spec);
    if (known) {
      proposed.withdraw("known");
      return known;
    }
    const viewedAt = clock.monotonic() - jobsFollower.ageMs;
    if (viewedAt < arrivedAt) return proposed.withdraw("stale-view");
    if (this.mayBeStored(spec.id)) return proposed.withdraw("may-be-accepted");
    const refusal = proposed.confirm();
    if (!refusal) return undefined;
    const reason = "the pending work leaves no time for the job";
    return { kind: "refused", cause: "overload", reason, ...refusal };
  }

  /**
   * The state of a job. If the view does not contain the job, it is refreshed from the
   * store first, because another entry may have accepted the job a moment ago.
   *
   * @param deadline when the caller stops waiting, in monotonic time
   */
  async state(
    queue: QueueKey,
    id: JobId,
    deadline: Monotonic,
  ): Promise<JobStateOutcome> {
    const known = this.knownState(queue, id);
    if (known) return known;
    await this.refreshView(deadline);
    return this.knownState(queue, id) ?? this.stateOfMissingJob(id);
  }

  /**
   * The state of a job for a cancel, or for an entry without the store. `no-such-job` is
   * returned only if the view was read from the store after the request arrived: another
   * entry may have accepted the job since the last read, and a caller whose cancel
   * receives it considers the job cancelled.
   */
  async confirmedState(
    queue: QueueKey,
    id: JobId,
    deadline: Monotonic,
  ): Promise<JobStateOutcome> {
    const { clock, jobsFollower } = this.options;
    const arrivedAt = clock.monotonic();
    const found = await this.state(queue, id, deadline);
    if (found.kind !== "no-such-job") return found;
    const viewedAt = clock.monotonic() - jobsFollower.ageMs;
    if (viewedAt >= arrivedAt) return found;
    return refused("the store could not be asked whether the job exists");
  }

  /** The state of a job in any queue; undefined if the view does not contain the job. */
  stateInView(id: JobId): JobStateName | undefined {
    return this.options.view.stateOf(id);
  }

  private knownState(queue: QueueKey, id: JobId): JobStateOutcome | undefined {
    const { view } = this.options;
    const entry = view.get(id);
    const state = view.stateOf(id);
    if (entry?.accepted.spec.queue !== queue || !state) return undefined;
    return { kind: "known", state };
  }

  /** Waits until the view is fresh, or until the response to the caller is due. */
  private async refreshView(deadline: Monotonic): Promise<void> {
    const { clock, jobsFollower, storeReachability } = this.options;
    if (!storeReachability.isReachable) return;
    const waitMs = Math.min(
      JOB_SERVICE.viewRefreshTimeoutMs,
      deadline - clock.monotonic() - JOB_SERVICE.responseMarginMs,
    );
    if (waitMs <= 0) return;
    const abort = new AbortController();
    const timer = clock.after(waitMs, () => abort.abort());
    await jobsFollower.catchUp(abort.signal).catch(() => undefined);
    timer.cancel();
  }

  private stateOfMissingJob(id: JobId): JobStateOutcome {
    const { logger, jobsFollower } = this.options;
    const viewAge = Math.round(jobsFollower.ageMs);
    if (viewAge > JOB_SERVICE.maxViewAgeMs) {
      logger.info("job.state-unsure", { job: id, viewAge });
      return refused("the view of the store is too old to tell");
    }
    logger.info("job.not-found", { job: id, viewAge });
    return { kind: "no-such-job" };
  }

  async cancel(
    queue: QueueKey,
    id: JobId,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    const startedAt = this.options.clock.monotonic();
    const found = await this.confirmedState(queue, id, deadline);
    const outcome = await this.cancelByState(found, id, deadline);
    return this.recordOutcome("cancel", id, outcome, startedAt);
  }

  /**
   * The cancel of a job that does not exist is persisted, too: a caller that received no
   * response to its submit may cancel the job before the record of the job is persisted.
   */
  private async cancelByState(
    found: JobStateOutcome,
    id: JobId,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    switch (found.kind) {
      case "refused":
        return found;
      case "known":
        if (isFinalState(found.state)) return { kind: "accepted" };
        return this.persistCancel(id, deadline);
      case "no-such-job": {
        const { view } = this.options;
        // A job of another queue cannot be cancelled through this queue.
        if (view.get(id) || view.isCancelled(id)) return found;
        const outcome = await this.persistCancel(id, deadline);
        return outcome.kind === "accepted" ? found : outcome;
      }
    }
  }

  private persistCancel(
    id: JobId,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    const { view, cancelsWriter, clock } = this.options;
    const at = clock.now();
    const record = { key: id, value: encodeCancel(at) };
    return this.persist(cancelsWriter, record, deadline, {
      onPersisted: () => view.addCancel(id, at),
    });
  }

  pendingCount(queue: QueueKey): number {
    return this.options.view.countUnstartedJobs(queue);
  }

  /** Writes the record, and retries for a while if the store refuses it. */
  private async persist(
    writer: TopicWriter,
    record: KeyedRecord,
    deadline: Monotonic,
    { onPersisted, onWriting }: WriteHandlers,
  ): Promise<JobRequestOutcome> {
    const { clock } = this.options;
    const { retryMs, retryAfterMs } = STORE_RETRY;
    const arrivedAt = clock.monotonic();
    const lastAttemptAt = retryDeadline(arrivedAt, deadline) - retryMs;
    const times: WriteTimes = {
      abandonAt: unsentDeadline(arrivedAt, deadline),
      respondAt: deadline - JOB_SERVICE.responseMarginMs,
    };
    if (arrivedAt >= times.respondAt)
      return { ...refused("the caller's time is over"), retryAfterMs };
    for (;;) {
      const outcome = (await this.isStoreAnswering(lastAttemptAt))
        ? await this.awaitWrite(writer.write(record), times, {
            onPersisted,
            onSettled: onWriting?.(),
          })
        : refused("the store cannot be reached");
      // A refused record was not persisted and never will be, so it may be written again.
      if (outcome.kind !== "refused") return outcome;
      if (clock.monotonic() > lastAttemptAt)
        return { ...outcome, retryAfterMs };
      await sleep(clock, retryMs);
    }
  }

  /**
   * Whether the store answers this entry, asked by a read if it did not lately. A record
   * that is sent to a store that does not answer may or may not be persisted, so that
   * its caller could not try another entry.
   */
  private async isStoreAnswering(until: Monotonic): Promise<boolean> {
    const { storeReachability, jobsFollower, clock } = this.options;
    if (storeReachability.isReachable) return true;
    const abort = new AbortController();
    const waitMs = until - clock.monotonic();
    const timer = clock.after(waitMs, () => abort.abort());
    await jobsFollower.catchUp(abort.signal).catch(() => undefined);
    timer.cancel();
    return storeReachability.isReachable;
  }

  /**
   * Waits for a write until it is persisted, refused, or the caller's response is due.
   * A record that was not sent is withdrawn early enough for the caller to try another
   * entry.
   */
  private async awaitWrite(
    write: PendingWrite,
    { abandonAt, respondAt }: WriteTimes,
    {
      onPersisted,
      onSettled = () => undefined,
    }: Pick<WriteHandlers, "onPersisted"> & {
      onSettled?: (() => void) | undefined;
    },
  ): Promise<JobRequestOutcome> {
    const { clock } = this.options;
    const persisted = write.persisted.then(
      (): JobRequestOutcome => {
        onPersisted();
        onSettled();
        return { kind: "accepted" };
      },
      (err: unknown): JobRequestOutcome => {
        const reason = describeError(err);
        if (err instanceof RecordRejectedError) {
          onSettled();
          return { kind: "rejected", reason: err.message };
        }
        const isRefused =
          err instanceof StoreRefusedError || err instanceof FencedError;
        if (!isRefused) return { kind: "unknown", reason };
        onSettled();
        return refused(reason);
      },
    );
    const timers: Timer[] = [];
    const timedOut = new Promise<JobRequestOutcome>((resolve) => {
      const now = clock.monotonic();
      const abandon = (): boolean => {
        const notSent = write.abandon();
        if (notSent) {
          onSettled();
          resolve(refused("the store could not be asked in time"));
        }
        return notSent;
      };
      timers.push(
        clock.after(abandonAt - now, abandon),
        clock.after(respondAt - now, () => {
          if (abandon()) return;
          const reason = "the store has not answered in time";
          resolve({ kind: "unknown", reason });
        }),
      );
    });
    const outcome = await Promise.race([persisted, timedOut]);
    for (const timer of timers) timer.cancel();
    return outcome;
  }

  private recordOutcome<T extends JobRequestOutcome | JobStateOutcome>(
    request: "submit" | "cancel",
    job: JobId,
    outcome: T,
    startedAt: Monotonic,
  ): JobRequestOutcome {
    const { logger, metrics, clock, config, jobsFollower } = this.options;
    metrics.count("caller_requests", { request, outcome: outcome.kind });
    logger.info(`job.${request}`, {
      job,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      tookMs: Math.round(clock.monotonic() - startedAt),
      config: config.current?.version,
      viewAge: Math.round(jobsFollower.ageMs),
    });
    return outcome as JobRequestOutcome;
  }
}
