/** Creates and connects the parts of an entry process for jobs. */

import {
  MS_PER_SECOND,
  ProcessPauseMeter,
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
  type TopicFollowerOptions,
  type UnreadableRecords,
  TOPICS,
} from "@rackspan/state";
import { callerFronts, type CallerFront } from "./callerFronts.js";
import {
  createForwarding,
  NotServingPeersError,
  PeerDirectory,
  StoreCallMonitor,
  type Forwarding,
  type PeerHandlers,
} from "./forwarding/index.js";
import { JobService } from "./JobService.js";
import { Leadership } from "./Leadership.js";
import {
  affordablePolicy,
  availableProcessors,
  type JobEntrySettings,
} from "./settings.js";
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
  /** Undefined if requests are not passed on. */
  readonly forwarding: Forwarding | undefined;
}

interface PeerParts {
  readonly storeCalls: StoreCallMonitor;
  readonly directory: PeerDirectory;
}

/** The entry's views of the store's records, their followers, and the writers of records. */
interface StoreParts {
  readonly store: StoreClient;
  /** What is needed to pass requests on; undefined if they are not passed on. */
  readonly peers: PeerParts | undefined;
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
  // Calls of other entries arrive only once the server has been started.
  const peerHandlers = storeParts.peers && (() => handlersOf(forwarding));
  const leaderParts = buildLeaderParts(options, storeParts, peerHandlers);
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
  const forwarding =
    storeParts.peers &&
    createForwarding({
      ...storeParts.peers,
      self: selfOf(settings),
      jobService,
      config,
      isLeader,
      isReady,
      clock,
      logger,
      metrics,
    });
  const callerFront = callerFronts.create(settings.platform.client, {
    listen: settings.callers,
    readiness: settings.readiness,
    isReady,
    jobService: forwarding?.jobRequests ?? jobService,
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
    forwarding,
  };
};

const handlersOf = (forwarding: Forwarding | undefined): PeerHandlers => {
  if (!forwarding) throw new NotServingPeersError();
  return forwarding.peerHandlers;
};

/** The entry's name, and the address at which sides and other entries reach it. */
const selfOf = ({ entry, sides }: JobEntrySettings) => ({
  entry,
  address: `${sides.address}:${sides.port}`,
});

interface StorePartsOptions extends JobEntryContext {
  /** Whether this entry leads now; a leader polls topics more often. */
  readonly isLeader: () => boolean;
}

const buildStoreParts = (context: StorePartsOptions): StoreParts => {
  const { logger, metrics } = context;
  const { client, store: address, limits } = context.settings.platform;
  const storeClient = storeClients.create(client, { address, limits });
  const peers = buildPeerParts(context, storeClient);
  const store = peers?.storeCalls ?? storeClient;
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
    onUnreadable?: (unreadable: UnreadableRecords) => void,
  ) => buildFollower(context, store, { topic, onRecords, onUnreadable });
  const jobsFollower = follow(TOPICS.jobs, (r) => view.applyJobRecords(r));
  return {
    store,
    peers,
    view,
    admission,
    config,
    zones,
    jobsFollower,
    followers: [
      jobsFollower,
      follow(TOPICS.cancels, (r) => view.applyCancelRecords(r)),
      follow(
        TOPICS.progress,
        (r) => {
          view.applyProgressRecords(r);
          summaries.applyProgressRecords(r);
        },
        (unreadable) => view.applyUnreadableProgress(unreadable),
      ),
      follow(TOPICS.hosts, (r) => view.applyHostRecords(r)),
      follow(TOPICS.config, (r) => operator.applyRecords(r)),
    ],
    jobsWriter: buildWriter(context, store, TOPICS.jobs),
    cancelsWriter: buildWriter(context, store, TOPICS.cancels),
  };
};

const buildPeerParts = (
  { settings, clock }: StorePartsOptions,
  store: StoreClient,
): PeerParts | undefined => {
  if (!settings.peers.forwardsRequests) return undefined;
  const directory = new PeerDirectory({ self: settings.entry, clock });
  const storeCalls = new StoreCallMonitor({
    store,
    clock,
    onOwner: (member) => directory.setLeader(member),
  });
  return { storeCalls, directory };
};

const buildFollower = (
  { settings, clock, logger, isLeader }: StorePartsOptions,
  store: StoreClient,
  followed: Pick<TopicFollowerOptions, "topic" | "onRecords" | "onUnreadable">,
): TopicFollower => {
  const { topic } = followed;
  const { pollFloorMs, followFloorMs } = settings.batching;
  return new TopicFollower({
    ...followed,
    store,
    clock,
    logger,
    minPollIntervalMs: () => {
      if (topic === TOPICS.hosts) return HOSTS_POLL_INTERVAL_MS;
      // A leader writes the progress itself, and reads it only to answer callers.
      const isAwaited = isLeader() && topic !== TOPICS.progress;
      return isAwaited ? pollFloorMs : followFloorMs;
    },
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
  peerHandlers: (() => PeerHandlers) | undefined,
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
    pauses: new ProcessPauseMeter(),
    leadershipTtlMs,
    leaseMs: leases.workerLeaseMs,
    stopMs: leases.stopMs,
    endedJobRetentionMs: settings.keepEndedSeconds * MS_PER_SECOND,
    progressBatchWindowMs: batching.progressMs,
    order: scheduling.order,
    placer: scheduling.placer,
    policy: affordablePolicy(settings),
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
    peerHandlers,
    clock,
    logger,
  });
  const election = new LeaderElection({
    membership: store,
    topic: TOPICS.leadership,
    self: { ...selfOf(settings), incarnation },
    ttlMs: leadershipTtlMs,
    clock,
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
