/** Creates and connects the parts of an entry process for jobs. */

import {
  MS_PER_SECOND,
  SeededRandom,
  type Clock,
  type Incarnation,
  type Logger,
  type Metrics,
} from "@rackspan/common";
import { MIN_LEADER_PROCESSORS, LeaderElection } from "@rackspan/leadership";
import {
  permitServices,
  storeClients,
  type KeyedRecord,
  type PermitService,
  type StoreClient,
  type TopicName,
} from "@rackspan/ports";
import { AdmissionController } from "@rackspan/routing";
import {
  ConfigHolder,
  EvacuatedZones,
  JobView,
  LoadSummaryView,
  operatorDecoders,
  OperatorView,
  TopicWriter,
  TopicFollower,
  TOPICS,
} from "@rackspan/state";
import { callerFronts, type CallerFront } from "./callerFronts.js";
import { JobService } from "./JobService.js";
import { Leadership } from "./Leadership.js";
import { availableProcessors, type JobEntrySettings } from "./settings.js";
import { StoreReachability } from "./StoreReachability.js";
import { SideServer } from "./SideServer.js";

/** Hosts rarely join or leave, so their topic is polled less often. */
const HOSTS_POLL_INTERVAL_MS = 250;

/** Each incarnation of an entry writes under its own producer name, so its epoch starts at 1. */
const FIRST_EPOCH = 1;

/** Settings and services that all parts share. */
export interface JobEntryContext {
  readonly settings: JobEntrySettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly incarnation: Incarnation;
}

export interface JobEntryPartsOptions extends JobEntryContext {
  /** Whether the entry accepts callers. */
  readonly isReady: () => boolean;
}

export interface JobEntryParts {
  readonly store: StoreClient;
  readonly config: ConfigHolder;
  readonly followers: readonly TopicFollower[];
  readonly jobService: JobService;
  readonly election: LeaderElection;
  readonly sideServer: SideServer;
  readonly callerFront: CallerFront;
}

/** The entry's views of the store's records, their followers, and the writers of records. */
interface StoreParts {
  readonly store: StoreClient;
  readonly view: JobView;
  readonly admission: AdmissionController;
  readonly config: ConfigHolder;
  readonly zones: EvacuatedZones;
  readonly jobsFollower: TopicFollower;
  /** Followers of all topics; a leader must have read each of them to its end. */
  readonly followers: readonly TopicFollower[];
  readonly jobsWriter: TopicWriter;
  readonly cancelsWriter: TopicWriter;
}

export const createJobEntryParts = (
  options: JobEntryPartsOptions,
): JobEntryParts => {
  const { settings, clock, logger, metrics, isReady } = options;
  const isLeader = (): boolean => leaderParts.election.isLeader;
  const storeParts = buildStoreParts({ ...options, isLeader });
  const leaderParts = buildLeaderParts(options, storeParts);
  const { store, view, config, jobsFollower } = storeParts;
  const { jobsWriter, cancelsWriter } = storeParts;
  const jobService = new JobService({
    view,
    admission: storeParts.admission,
    config,
    jobsFollower,
    storeReachability: new StoreReachability({
      followers: storeParts.followers,
      writers: [jobsWriter, cancelsWriter],
      clock,
      enabled: settings.readyFollowsStore,
    }),
    jobsWriter,
    cancelsWriter,
    clock,
    logger,
    metrics,
  });
  const callerFront = callerFronts.create(settings.platform.client, {
    listen: settings.callers,
    readiness: settings.readiness,
    isReady,
    jobService,
    clock,
    logger,
    metrics,
  });
  return {
    store,
    config,
    followers: storeParts.followers,
    jobService,
    ...leaderParts,
    callerFront,
  };
};

interface StorePartsOptions extends JobEntryContext {
  /** Whether this entry leads now; a leader polls topics more often. */
  readonly isLeader: () => boolean;
}

const buildStoreParts = (context: StorePartsOptions): StoreParts => {
  const { logger, metrics } = context;
  const { client, store: address } = context.settings.platform;
  const store = storeClients.create(client, { address });
  const view = new JobView({ logger, metrics });
  const config = new ConfigHolder(logger);
  const zones = new EvacuatedZones(context);
  const summaries = new LoadSummaryView({
    ...context,
    onSummary: () => admission.handleSummary(),
  });
  const admission = new AdmissionController({
    ...context,
    ...context.settings.admission,
    summaries,
  });
  view.changes.on((change) => {
    if (change.kind === "accepted") admission.handleAccepted(change.job);
  });
  const decoder = operatorDecoders.create(client, {});
  const operator = new OperatorView({ decoder, config, zones, logger });
  const follow = (
    topic: TopicName,
    onRecords: (records: readonly KeyedRecord[]) => void,
  ) => buildFollower(context, store, topic, onRecords);
  const jobsFollower = follow(TOPICS.jobs, (r) => view.applyJobRecords(r));
  return {
    store,
    view,
    admission,
    config,
    zones,
    jobsFollower,
    followers: [
      jobsFollower,
      follow(TOPICS.cancels, (r) => view.applyCancelRecords(r)),
      follow(TOPICS.progress, (r) => {
        view.applyProgressRecords(r);
        summaries.applyProgressRecords(r);
      }),
      follow(TOPICS.hosts, (r) => view.applyHostRecords(r)),
      follow(TOPICS.config, (r) => operator.applyRecords(r)),
    ],
    jobsWriter: buildWriter(context, store, TOPICS.jobs),
    cancelsWriter: buildWriter(context, store, TOPICS.cancels),
  };
};

const buildFollower = (
  { settings, clock, logger, isLeader }: StorePartsOptions,
  store: StoreClient,
  topic: TopicName,
  onRecords: (records: readonly KeyedRecord[]) => void,
): TopicFollower => {
  const { pollFloorMs, followFloorMs } = settings.batching;
  return new TopicFollower({
    topic,
    store,
    clock,
    logger,
    minPollIntervalMs: () => {
      if (topic === TOPICS.hosts) return HOSTS_POLL_INTERVAL_MS;
      return isLeader() ? pollFloorMs : followFloorMs;
    },
    onRecords,
  });
};

const buildWriter = (
  { settings, clock, logger, incarnation }: JobEntryContext,
  store: StoreClient,
  topic: TopicName,
): TopicWriter =>
  new TopicWriter({
    topic,
    store,
    clock,
    logger,
    producer: `${settings.entry}/${incarnation}`,
    epoch: FIRST_EPOCH,
    batchWindowMs: settings.batching.submitMs,
    retriesRefusedBatches: false,
  });

const buildPermitService = ({
  platform,
}: JobEntrySettings): PermitService | undefined =>
  platform.permits === undefined
    ? undefined
    : permitServices.create(platform.client, { address: platform.permits });

/** The election, and the leadership terms and side connections that it starts and ends. */
const buildLeaderParts = (
  context: JobEntryContext,
  storeParts: StoreParts,
): Pick<JobEntryParts, "election" | "sideServer"> => {
  const { settings, clock, logger, metrics, incarnation } = context;
  const { store, view, config, zones, followers } = storeParts;
  const { jobsWriter, cancelsWriter } = storeParts;
  const { leases, scheduling, batching, sides } = settings;
  const leadershipTtlMs = Math.max(
    leases.leadershipTtlMs,
    leases.leastLeadershipTtlMs,
  );
  const leadership = new Leadership({
    store,
    view,
    config,
    zones,
    followers,
    jobsWriter,
    cancelsWriter,
    clock,
    logger,
    metrics,
    leadershipTtlMs,
    leaseMs: leases.workerLeaseMs,
    stopMs: leases.stopMs,
    endedJobRetentionMs: settings.keepEndedSeconds * MS_PER_SECOND,
    progressBatchWindowMs: batching.progressMs,
    order: scheduling.order,
    placer: scheduling.placer,
    policy: scheduling.policy,
    permits: buildPermitService(settings),
    loadSummaryIntervalMs: settings.admission.refusesHopeless
      ? settings.admission.summaryIntervalMs
      : 0,
    mayDecide: () => election.isLeader,
    onTermFailed: (reason) => void election.stepDown(reason),
  });
  const sideServer = new SideServer({
    listen: sides,
    activeTerm: () => leadership.activeTerm,
    clock,
    logger,
  });
  const election = new LeaderElection({
    membership: store,
    topic: TOPICS.leadership,
    self: {
      entry: settings.entry,
      incarnation,
      address: `${sides.address}:${sides.port}`,
    },
    ttlMs: leadershipTtlMs,
    clock,
    random: new SeededRandom(Date.now() ^ process.pid),
    isLowPriority: availableProcessors(settings) < MIN_LEADER_PROCESSORS,
    logger,
    onAcquired: (epoch) => leadership.beginTerm(epoch),
    onLost: (reason) => {
      leadership.endTerm();
      sideServer.disconnectAll(reason);
    },
  });
  return { election, sideServer };
};
