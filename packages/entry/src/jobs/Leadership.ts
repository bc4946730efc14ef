/**
 * What this entry does while it leads: fences former leaders off, rebuilds the
 * view of all jobs, then runs the job engine until leadership is lost.
 */

import {
  describeError,
  type Clock,
  type Epoch,
  type Logger,
  type Metrics,
  type Unsubscribe,
} from "@rackspan/common";
import { ProgressJournal, TakeoverGate } from "@rackspan/jobs";
import type { KeyedRecord, PermitService, RecordStore } from "@rackspan/ports";
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

const LEADERSHIP = {
  producer: "leader",
  /** How often jobs that ended long ago are looked for. */
  sweepEveryMs: 5_000,
} as const;

export interface LeadershipOptions {
  readonly store: RecordStore;
  readonly view: JobView;
  readonly config: ConfigHolder;
  readonly zones: EvacuatedZones;
  /** Of all that decisions rest on: jobs, what became of them, hosts, the operator's records. */
  readonly followers: readonly TopicFollower[];
  /** The entry's own writers of jobs and cancels; used to drop old ones. */
  readonly jobsWriter: TopicWriter;
  readonly cancelsWriter: TopicWriter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly leadershipTtlMs: number;
  readonly leaseMs: number;
  readonly stopMs: number;
  /** Jobs that ended are kept this long. */
  readonly endedJobRetentionMs: number;
  readonly progressBatchWindowMs: number;
  readonly order: string;
  readonly placer: string;
  readonly policy: SchedulingPolicy;
  /** Undefined where the platform has no such service. */
  readonly permits: PermitService | undefined;
  readonly mayDecide: () => boolean;
  /** Called when the writes of this leader are refused for good. */
  readonly onTermFailed: (reason: string) => void;
}

export interface ActiveTerm {
  readonly epoch: Epoch;
  readonly engine: JobEngine;
}

export class Leadership {
  private term: Term | undefined;

  constructor(private readonly options: LeadershipOptions) {}

  /** Undefined while this entry does not lead, or has not read its view yet. */
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
      // A term that was ended fails late, and says nothing of the next one.
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

/** One time of leading, under one epoch. */
class Term {
  engine: JobEngine | undefined;
  private readonly abort = new AbortController();
  private readonly writers: readonly TopicWriter[];
  private readonly progressWriter: TopicWriter;
  private readonly learntWriter: TopicWriter;
  private readonly hostsWriter: TopicWriter;
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
    this.learntWriter = writerOf(TOPICS.learned);
    this.progressWriter = writerOf(TOPICS.progress);
    this.hostsWriter = writerOf(TOPICS.hosts);
    this.writers = [this.progressWriter, this.hostsWriter];
  }

  async run(): Promise<void> {
    const { signal } = this.abort;
    const { logger, clock, followers, metrics } = this.options;
    const began = clock.monotonic();
    await Promise.all(
      this.writers.map((writer) => writer.fenceLowerEpochs(signal)),
    );
    await Promise.all(followers.map((follower) => follower.catchUp(signal)));
    if (signal.aborted) return;
    const tookMs = clock.monotonic() - began;
    this.engine = this.buildEngine(began);
    metrics.latency("takeover").record(tookMs);
    logger.info("leader.ready", {
      epoch: this.epoch,
      tookMs: Math.round(tookMs),
      hosts: this.options.view.roster.size,
    });
    this.sweepLater();
    await this.restoreLearnt(this.engine);
  }

  /** Not waited for before the first starts: to know less only costs some worth. */
  private async restoreLearnt(engine: JobEngine): Promise<void> {
    const { store, logger } = this.options;
    try {
      const { records } = await store.readNewest(TOPICS.learned);
      if (this.abort.signal.aborted) return;
      engine.restoreLearned(
        records.flatMap((record) => this.readLearnt(record)),
      );
    } catch (err) {
      const error = describeError(err);
      logger.warn("learnt.not-read", { epoch: this.epoch, error });
    }
  }

  private readLearnt({ key, value }: KeyedRecord): LearnedRecord[] {
    if (!value) return [];
    try {
      return [decodeLearned(key, value)];
    } catch (err) {
      const error = describeError(err);
      this.options.logger.warn("learnt.unreadable", { key, error });
      return [];
    }
  }

  private keepLearnt(record: LearnedRecord): void {
    const { logger, mayDecide } = this.options;
    if (!mayDecide()) return;
    const key = learnedKeyOf(record);
    this.learntWriter
      .write({ key, value: encodeLearned(record) })
      .persisted.catch((err: unknown) => {
        // Written again while more is learnt; the next leader misses little.
        logger.info("learnt.not-kept", { key, error: describeError(err) });
      });
  }

  end(): void {
    this.abort.abort();
    for (const unsubscribe of this.unsubscribes) unsubscribe();
    this.engine?.stop();
    const reason = new Error("this entry leads no more");
    for (const writer of [...this.writers, this.learntWriter]) {
      writer.close(reason);
    }
  }

  private buildEngine(takenOverAt: number): JobEngine {
    const { view, config, zones, clock, logger, metrics } = this.options;
    const { leadershipTtlMs, leaseMs, stopMs, mayDecide } = this.options;
    const { roster } = view;
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
      journal: new ProgressJournal({
        writer: this.progressWriter,
        clock,
        batchWindowMs: this.options.progressBatchWindowMs,
      }),
      roster: new StoredRoster(this.hostsWriter, logger, roster),
      gate,
      order: this.options.order,
      placer: this.options.placer,
      policy: this.options.policy,
      leaseMs,
      stopMs,
      mayDecide: () => !this.abort.signal.aborted && mayDecide(),
      queueOf: (queue) => config.getQueue(queue),
      isEvacuated: (zone) => zones.has(zone),
      persistLearned: (record) => this.keepLearnt(record),
      permits: this.options.permits,
    });
    for (const { accepted, cancelled, progress } of view.all()) {
      engine.addJob(accepted, progress);
      const ended = progress !== undefined && isFinalState(progress.state);
      if (cancelled && !ended) engine.cancelJob(accepted.spec.id);
    }
    this.unsubscribes.push(
      view.changes.on((change) => {
        if (change.kind === "cancelled") {
          engine.cancelJob(change.id);
          return;
        }
        const { id } = change.job.spec;
        engine.addJob(change.job, undefined);
        // The two topics are read apart: the cancel may have come first.
        if (view.get(id)?.cancelled) engine.cancelJob(id);
      }),
      config.changes.on(() => engine.handleOperatorChange()),
      zones.changes.on(() => engine.handleOperatorChange()),
    );
    engine.start();
    this.tellNewJobsLater(gate);
    return engine;
  }

  /** Reads the view once more when no former leader decides: later jobs are new. */
  private tellNewJobsLater(gate: TakeoverGate): void {
    const { clock, followers, logger } = this.options;
    const { signal } = this.abort;
    const waitMs = gate.authorityExpiresBy - clock.monotonic();
    clock.after(waitMs, () => {
      if (signal.aborted) return;
      Promise.all(followers.map((follower) => follower.catchUp(signal))).then(
        () => gate.markViewCurrent(clock.monotonic()),
        // The term is over; until then the gate treats all jobs as old ones.
        (err: unknown) =>
          logger.info("leader.view-not-read", {
            epoch: this.epoch,
            error: describeError(err),
          }),
      );
    });
  }

  private sweepLater(): void {
    this.options.clock.after(LEADERSHIP.sweepEveryMs, () => {
      if (this.abort.signal.aborted) return;
      if (this.options.mayDecide()) this.sweep();
      this.sweepLater();
    });
  }

  /** Drops what the store need not keep of jobs that ended long ago. */
  private sweep(): void {
    const { engine } = this;
    if (!engine) return;
    const { view, clock, endedJobRetentionMs: keepEndedMs } = this.options;
    for (const id of engine.expiredJobs(keepEndedMs)) {
      engine.forgetJob(id);
      this.dropJob(id).catch((err: unknown) => this.noteNotDropped(err));
    }
    const before = clock.now() - keepEndedMs;
    for (const id of view.cancelsWithoutJob(before)) {
      this.dropCancel(id).catch((err: unknown) => this.noteNotDropped(err));
    }
  }

  private async dropCancel(id: JobId): Promise<void> {
    await this.options.cancelsWriter.write({ key: id, value: undefined })
      .persisted;
  }

  /** The job goes before its progress: without that it would be run again. */
  private async dropJob(id: JobId): Promise<void> {
    const { jobsWriter, logger } = this.options;
    const tombstone = { key: id, value: undefined };
    await jobsWriter.write(tombstone).persisted;
    await this.dropCancel(id);
    await this.progressWriter.write(tombstone).persisted;
    logger.info("job.forgotten", { job: id });
  }

  private noteNotDropped(err: unknown): void {
    // The next leader finds it again and drops it then.
    this.options.logger.warn("job.not-dropped", { error: describeError(err) });
  }
}
