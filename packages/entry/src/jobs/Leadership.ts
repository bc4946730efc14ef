/**
 * Runs the terms in which this entry leads. A term fences the previous leaders, reads
 * the state of all jobs from the store, then runs the job engine until leadership is
 * lost.
 */

import {
  describeError,
  type Clock,
  type Epoch,
  type Logger,
  type Metrics,
  type PauseMeter,
  type Unsubscribe,
} from "@rackspan/common";
import { ProgressJournal, TakeoverGate } from "@rackspan/jobs";
import {
  readAllNewest,
  type KeyedRecord,
  type PermitService,
  type RecordStore,
} from "@rackspan/ports";
import { JobEngine, type SchedulingPolicy } from "@rackspan/scheduling";
import {
  decodeLearned,
  encodeLearned,
  isFinalState,
  learnedKeyOf,
  TopicWriter,
  TOPICS,
  type ConfigHolder,
  type EvacuatedZones,
  type JobId,
  type JobView,
  type LearnedRecord,
  type TopicFollower,
} from "@rackspan/state";
import { StoredRoster } from "./StoredRoster.js";
import { TermLog } from "./TermLog.js";

const LEADERSHIP = {
  producer: "leader",
  /** How often expired jobs are searched for and removed. */
  cleanupIntervalMs: 5_000,
} as const;

export interface LeadershipOptions {
  readonly store: RecordStore;
  readonly view: JobView;
  readonly config: ConfigHolder;
  readonly zones: EvacuatedZones;
  /** Followers of all topics that decisions depend on: jobs, progress, hosts, operator records. */
  readonly followers: readonly TopicFollower[];
  /** The entry's own writers of jobs and cancels; used to remove expired records. */
  readonly jobsWriter: TopicWriter;
  readonly cancelsWriter: TopicWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Absent if pauses of this process are not measured. */
  readonly pauses?: PauseMeter;
  readonly leadershipTtlMs: number;
  readonly leaseMs: number;
  readonly stopMs: number;
  /** How long ended jobs are retained. */
  readonly endedJobRetentionMs: number;
  readonly progressBatchWindowMs: number;
  readonly order: string;
  readonly placer: string;
  readonly policy: SchedulingPolicy;
  /** Undefined if the platform has no permit service. */
  readonly permits: PermitService | undefined;
  /** Milliseconds; the load summary is not published if 0 or absent. */
  readonly loadSummaryIntervalMs?: number;
  /** Whether the leadership lease is unexpired, so that this entry may decide. */
  readonly mayDecide: () => boolean;
  /** Called when the current term has failed, for example because its writes are fenced. */
  readonly onTermFailed: (reason: string) => void;
}

/** The epoch and the engine of a term in which this entry leads. */
export interface ActiveTerm {
  readonly epoch: Epoch;
  readonly engine: JobEngine;
}

export class Leadership {
  private term: Term | undefined;

  constructor(private readonly options: LeadershipOptions) {}

  /** Undefined while this entry does not lead, or has not yet read the state of all jobs. */
  get activeTerm(): ActiveTerm | undefined {
    const { term } = this;
    if (!term?.engine) return undefined;
    return { epoch: term.epoch, engine: term.engine };
  }

  beginTerm(epoch: Epoch): void {
    this.endTerm();
    const term = new Term(this.options, epoch);
    this.term = term;
    term.run().catch((err: unknown) => {
      // A term that has been ended may fail later; that does not concern the next term.
      if (this.term !== term) return;
      const error = describeError(err);
      this.options.logger.warn("leader.term-failed", { epoch, error });
      this.options.onTermFailed(error);
    });
  }

  endTerm(): void {
    this.term?.end();
    this.term = undefined;
  }
}

/** One term of leadership, under one epoch. */
class Term {
  engine: JobEngine | undefined;
  private readonly abort = new AbortController();
  private readonly writers: readonly TopicWriter[];
  private readonly progressWriter: TopicWriter;
  private readonly learnedWriter: TopicWriter;
  private readonly hostsWriter: TopicWriter;
  private readonly termLog: TermLog;
  private readonly unsubscribes: Unsubscribe[] = [];

  constructor(
    private readonly options: LeadershipOptions,
    readonly epoch: Epoch,
  ) {
    const { store, clock, logger } = options;
    const writerOf = (topic: (typeof TOPICS)[keyof typeof TOPICS]) =>
      new TopicWriter({
        topic,
        store,
        clock,
        logger,
        producer: LEADERSHIP.producer,
        epoch,
        batchWindowMs: 0,
        retriesRefusedBatches: true,
      });
    this.learnedWriter = writerOf(TOPICS.learned);
    this.progressWriter = writerOf(TOPICS.progress);
    this.hostsWriter = writerOf(TOPICS.hosts);
    this.writers = [this.progressWriter, this.hostsWriter];
    this.termLog = new TermLog({
      view: options.view,
      writer: this.progressWriter,
      epoch,
      recordsPlacements: options.policy.recordsPlacements,
      logger,
    });
  }

  async run(): Promise<void> {
    const { signal } = this.abort;
    const { logger, clock, followers, metrics } = this.options;
    const startedAt = clock.monotonic();
    await Promise.all(
      this.writers.map((writer) => writer.fenceLowerEpochs(signal)),
    );
    await Promise.all(followers.map((follower) => follower.catchUp(signal)));
    if (signal.aborted) return;
    const placementsSince = await this.termLog.begin();
    if (signal.aborted) return;
    const tookMs = clock.monotonic() - startedAt;
    this.engine = this.buildEngine(startedAt, placementsSince);
    metrics.latency("takeover").record(tookMs);
    logger.info("leader.ready", {
      epoch: this.epoch,
      tookMs: Math.round(tookMs),
      hosts: this.options.view.roster.size,
    });
    this.scheduleCleanup();
    await this.restoreLearned(this.engine);
  }

  /**
   * Restores what previous leaders learned. The first starts do not wait for this, because
   * missing estimates only cost some utility.
   */
  private async restoreLearned(engine: JobEngine): Promise<void> {
    const { store, logger } = this.options;
    try {
      const { records } = await readAllNewest(store, TOPICS.learned);
      if (this.abort.signal.aborted) return;
      engine.restoreLearned(
        records.flatMap((record) => this.decodeLearnedRecord(record)),
      );
    } catch (err) {
      const error = describeError(err);
      logger.warn("learnt.not-read", { epoch: this.epoch, error });
    }
  }

  private decodeLearnedRecord({ key, value }: KeyedRecord): LearnedRecord[] {
    if (!value) return [];
    try {
      return [decodeLearned(key, value)];
    } catch (err) {
      const error = describeError(err);
      this.options.logger.warn("learnt.unreadable", { key, error });
      return [];
    }
  }

  private persistLearned(record: LearnedRecord): void {
    const { logger, mayDecide } = this.options;
    if (!mayDecide()) return;
    const key = learnedKeyOf(record);
    this.learnedWriter
      .write({ key, value: encodeLearned(record) })
      .persisted.catch((err: unknown) => {
        // The record is written again with the next update, so the next leader misses little.
        logger.info("learnt.not-kept", { key, error: describeError(err) });
      });
  }

  end(): void {
    this.abort.abort();
    for (const unsubscribe of this.unsubscribes) unsubscribe();
    this.engine?.stop();
    const reason = new Error("this entry is no longer the leader");
    for (const writer of [...this.writers, this.learnedWriter]) {
      writer.close(reason);
    }
  }

  private buildEngine(
    takenOverAt: number,
    placementsSince: number | undefined,
  ): JobEngine {
    const { view, config, zones, clock, logger, metrics } = this.options;
    const { leadershipTtlMs, leaseMs, stopMs, mayDecide } = this.options;
    const { policy } = this.options;
    const { roster } = view;
    const storedRoster = new StoredRoster(
      this.hostsWriter,
      logger,
      roster,
      policy.recordsPlacements,
    );
    const gate = new TakeoverGate({
      takenOverAt,
      roster: roster.keys(),
      leadershipTtlMs,
      leaseMs,
    });
    const engine = new JobEngine({
      epoch: this.epoch,
      clock,
      logger,
      metrics,
      pauses: this.options.pauses,
      journal: new ProgressJournal({
        writer: this.progressWriter,
        clock,
        logger,
        batchWindowMs: this.options.progressBatchWindowMs,
      }),
      roster: storedRoster,
      gate,
      order: this.options.order,
      placer: this.options.placer,
      policy,
      leaseMs,
      stopMs,
      mayDecide: () => !this.abort.signal.aborted && mayDecide(),
      queueOf: (queue) => config.getQueue(queue),
      isEvacuated: (zone) => zones.has(zone),
      persistLearned: (record) => this.persistLearned(record),
      permits: this.options.permits,
      loadSummaryIntervalMs: this.options.loadSummaryIntervalMs,
      placementsSince,
      onPlacementsComplete: () => this.termLog.markComplete(storedRoster),
    });
    for (const { accepted, cancelled, progress } of view.all()) {
      engine.addJob(accepted, progress);
      const hasEnded = progress !== undefined && isFinalState(progress.state);
      if (cancelled && !hasEnded) engine.cancelJob(accepted.spec.id);
    }
    this.unsubscribes.push(
      view.changes.on((change) => {
        if (change.kind === "cancelled") {
          engine.cancelJob(change.id);
          return;
        }
        const { id } = change.job.spec;
        // The topics are read independently, so progress and cancel may have arrived first.
        const entry = view.get(id);
        engine.addJob(change.job, entry?.progress);
        if (entry?.cancelled) engine.cancelJob(id);
      }),
      config.changes.on(() => engine.handleOperatorChange()),
      zones.changes.on(() => engine.handleOperatorChange()),
    );
    engine.start();
    this.scheduleViewRefresh(gate);
    return engine;
  }

  /**
   * Reads the topics once more after the authority of the previous leader has expired.
   * Jobs that arrive after that read cannot have been started by a previous leader.
   */
  private scheduleViewRefresh(gate: TakeoverGate): void {
    const { clock, followers, logger } = this.options;
    const { signal } = this.abort;
    const waitMs = gate.authorityExpiresBy - clock.monotonic();
    clock.after(waitMs, () => {
      if (signal.aborted) return;
      Promise.all(followers.map((follower) => follower.catchUp(signal))).then(
        () => gate.markViewCurrent(clock.monotonic()),
        // The term has ended. Without this read the gate treats all jobs as old.
        (err: unknown) =>
          logger.info("leader.view-refresh-failed", {
            epoch: this.epoch,
            error: describeError(err),
          }),
      );
    });
  }

  private scheduleCleanup(): void {
    this.options.clock.after(LEADERSHIP.cleanupIntervalMs, () => {
      if (this.abort.signal.aborted) return;
      if (this.options.mayDecide()) this.removeExpiredJobs();
      this.scheduleCleanup();
    });
  }

  /** Removes the records of jobs whose retention time is over from the store. */
  private removeExpiredJobs(): void {
    const { engine } = this;
    if (!engine) return;
    const { view, clock, endedJobRetentionMs } = this.options;
    for (const id of engine.expiredJobs(endedJobRetentionMs)) {
      engine.forgetJob(id);
      this.deleteJob(id).catch((err: unknown) => this.logDeleteFailure(err));
    }
    const before = clock.now() - endedJobRetentionMs;
    for (const id of view.cancelsWithoutJob(before)) {
      this.deleteCancel(id).catch((err: unknown) => this.logDeleteFailure(err));
    }
  }

  private async deleteCancel(id: JobId): Promise<void> {
    await this.options.cancelsWriter.write({ key: id, value: undefined })
      .persisted;
  }

  /**
   * Deletes the job record before its progress record: a job without a progress record
   * would be run again.
   */
  private async deleteJob(id: JobId): Promise<void> {
    const { view, jobsWriter, logger } = this.options;
    const tombstone = { key: id, value: undefined };
    await jobsWriter.write(tombstone).persisted;
    await this.deleteCancel(id);
    await Promise.all(
      view
        .progressKeysOf(id)
        .map(
          (key) =>
            this.progressWriter.write({ key, value: undefined }).persisted,
        ),
    );
    logger.info("job.forgotten", { job: id });
  }

  private logDeleteFailure(err: unknown): void {
    // The next leader finds the job again and deletes it then.
    this.options.logger.warn("job.not-dropped", { error: describeError(err) });
  }
}
