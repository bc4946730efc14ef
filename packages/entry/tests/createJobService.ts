/** Creates a job service over the given store, with the parts of an entry that it needs. */

import { Metrics, silentLogger, type ManualClock } from "@rackspan/common";
import { JobService, StoreReachability } from "@rackspan/entry";
import { AdmissionController } from "@rackspan/routing";
import {
  ConfigHolder,
  JobView,
  LoadSummaryView,
  TopicWriter,
  TopicFollower,
  TOPICS,
} from "@rackspan/state";
import type { RecordStore } from "@rackspan/ports";

export type WrittenTopic = (typeof TOPICS)["jobs" | "cancels"];

export interface JobServiceSetup {
  readonly clock: ManualClock;
  readonly store: RecordStore;
  /** Producer name of the entry. */
  readonly entry: string;
  /** Minimum interval between two polls of the entry, milliseconds. */
  readonly pollIntervalMs: number;
  /** Whether the entry refuses jobs that can be of no use any more. */
  readonly refusesHopeless?: boolean;
}

/** A writer with the default settings: batches for 4 ms, and reports refusals. */
export const createWriter = (
  topic: WrittenTopic,
  { clock, store, entry }: Omit<JobServiceSetup, "pollIntervalMs">,
): TopicWriter =>
  new TopicWriter({
    topic,
    store,
    clock,
    logger: silentLogger,
    producer: entry,
    epoch: 1,
    batchWindowMs: 4,
    retriesRefusedBatches: false,
  });

export const createJobService = (options: JobServiceSetup) => {
  const { clock, store, pollIntervalMs } = options;
  const logger = silentLogger;
  const metrics = new Metrics();
  const view = new JobView({ logger, metrics });
  const summaries = new LoadSummaryView({
    clock,
    logger,
    onSummary: () => admission.handleSummary(),
  });
  const admission = new AdmissionController({
    refusesHopeless: options.refusesHopeless ?? false,
    maxSummaryAgeMs: 2_000,
    summaries,
    clock,
    logger,
    metrics,
  });
  view.changes.on((change) => {
    if (change.kind === "accepted") admission.handleAccepted(change.job);
  });
  const jobsFollower = new TopicFollower({
    topic: TOPICS.jobs,
    store,
    clock,
    logger,
    minPollIntervalMs: () => pollIntervalMs,
    onRecords: (records) => view.applyJobRecords(records),
  });
  jobsFollower.start();
  const jobsWriter = createWriter(TOPICS.jobs, options);
  const followers = [jobsFollower];
  const writers = [jobsWriter];
  const jobService = new JobService({
    view,
    admission,
    config: new ConfigHolder(logger),
    jobsFollower,
    storeReachability: new StoreReachability({
      followers,
      writers,
      clock,
      enabled: true,
    }),
    jobsWriter,
    cancelsWriter: createWriter(TOPICS.cancels, options),
    clock,
    logger,
    metrics,
  });
  return {
    jobService,
    view,
    summaries,
    metrics,
    stop: () => jobsFollower.stop(),
  };
};
