/**
 * A job service that passes requests on to an entry that reaches the store while this
 * entry does not. Otherwise, and when a request cannot be passed on, the entry's own job
 * service answers.
 */

import {
  pause,
  type Clock,
  type EntryId,
  type Logger,
  type Metrics,
  type Monotonic,
} from "@rackspan/common";
import { ConnectError, RemoteError } from "@rackspan/protocol";
import {
  encodeJob,
  isFinalState,
  type JobId,
  type JobSpec,
  type QueueKey,
  type QueueSpec,
} from "@rackspan/state";
import {
  JOB_SERVICE,
  jobTermsOf,
  type JobRequestOutcome,
  type JobRequests,
  type JobService,
  type JobStateOutcome,
} from "../JobService.js";
import {
  combineOutcomes,
  isAnswered,
  type AnyOutcome,
} from "./combineOutcomes.js";
import {
  decideForward,
  FORWARD,
  isCutOff,
  type ForwardedKind,
  type NotForwardedReason,
} from "./decideForward.js";
import type { PeerDirectory, Peer } from "./PeerDirectory.js";
import type { PeerTransport } from "./PeerConnections.js";
import type { PeerOutcome, PeerRequest } from "./peerMethods.js";
import type { StoreCallMonitor } from "./StoreCallMonitor.js";
import { NotServingPeersError } from "./NotServingPeersError.js";

/**
 * How often a request that this entry attempts itself is checked for an outage,
 * milliseconds; half of the time after which an outage is confirmed.
 */
const CHECK_MS = FORWARD.confirmMs / 2;

export interface ForwardingJobServiceOptions {
  /** This entry's own job service. */
  readonly jobService: JobRequests & Pick<JobService, "stateInView">;
  readonly directory: PeerDirectory;
  readonly transport: PeerTransport;
  readonly storeCalls: Pick<StoreCallMonitor, "failingSince">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class ForwardingJobService implements JobRequests {
  private inFlight = 0;
  private stateQueriesInFlight = 0;
  private rotation = 0;

  constructor(private readonly options: ForwardingJobServiceOptions) {}

  get isReady(): boolean {
    return this.options.jobService.isReady;
  }

  get isStoreReachable(): boolean {
    return this.options.jobService.isStoreReachable;
  }

  get maxBodyBytes(): number | undefined {
    return this.options.jobService.maxBodyBytes;
  }

  findQueue(hostName: string, path: string): QueueSpec | undefined {
    return this.options.jobService.findQueue(hostName, path);
  }

  pendingCount(queue: QueueKey): number {
    return this.options.jobService.pendingCount(queue);
  }

  submit(
    queue: QueueSpec,
    spec: JobSpec,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    const { jobService, clock } = this.options;
    const toRequest = (): PeerRequest => {
      // The other entry sets the time and the terms by its own clock and configuration.
      const terms = jobTermsOf(queue);
      const job = { spec, acceptedAt: clock.now(), terms };
      return {
        kind: "submit",
        queue: spec.queue,
        job: spec.id,
        record: encodeJob(job).toString("utf8"),
      };
    };
    const attempt = () => jobService.submit(queue, spec, deadline);
    if (this.isAnsweredHere("submit", spec.id)) return attempt();
    return this.answer(
      toRequest,
      deadline,
      attempt,
    ) as Promise<JobRequestOutcome>;
  }

  cancel(
    queue: QueueKey,
    job: JobId,
    deadline: Monotonic,
  ): Promise<JobRequestOutcome> {
    const { jobService } = this.options;
    const toRequest = (): PeerRequest => ({ kind: "cancel", queue, job });
    const attempt = () => jobService.cancel(queue, job, deadline);
    if (this.isAnsweredHere("cancel", job)) return attempt();
    return this.answer(
      toRequest,
      deadline,
      attempt,
    ) as Promise<JobRequestOutcome>;
  }

  async state(
    queue: QueueKey,
    job: JobId,
    deadline: Monotonic,
  ): Promise<JobStateOutcome> {
    const attempt = () => this.ownState(queue, job, deadline);
    if (this.isAnsweredHere("state", job)) return attempt();
    const outcome = await this.answer(
      () => ({ kind: "state", queue, job }),
      deadline,
      attempt,
    );
    // A lost answer to a query leaves nothing unknown; the caller may ask again.
    if (outcome.kind === "unknown") return refused(outcome.reason);
    // The other entry's view may lack a job that this entry has accepted or read.
    if (outcome.kind === "no-such-job" && this.isAnsweredHere("state", job))
      return attempt();
    return outcome as JobStateOutcome;
  }

  /**
   * The state by this entry's own view. A job that is missing in it while store calls
   * fail may have been accepted by another entry, also by one that this entry passed the
   * submission on to.
   */
  private async ownState(
    queue: QueueKey,
    job: JobId,
    deadline: Monotonic,
  ): Promise<JobStateOutcome> {
    const { jobService, storeCalls } = this.options;
    const outcome = await jobService.state(queue, job, deadline);
    const isReliable =
      storeCalls.failingSince === undefined ||
      jobService.stateInView(job) !== undefined;
    if (outcome.kind !== "no-such-job" || isReliable) return outcome;
    return refused("the store could not be asked whether the job exists");
  }

  /** Whether this entry's calls to the store have failed for long enough. */
  private get isCutOff(): boolean {
    const { storeCalls, clock } = this.options;
    return isCutOff(storeCalls.failingSince, clock.monotonic());
  }

  /**
   * Whether the own view suffices to answer the request. Passing it on could only lose
   * the answer, or reach an entry that has not read the job yet.
   */
  private isAnsweredHere(kind: ForwardedKind, job: JobId): boolean {
    const state = this.options.jobService.stateInView(job);
    if (state === undefined) return false;
    // The cancel of a job that has not ended must be persisted.
    return kind !== "cancel" || isFinalState(state);
  }

  private async answer(
    toRequest: () => PeerRequest,
    deadline: Monotonic,
    attempt: () => Promise<AnyOutcome>,
  ): Promise<AnyOutcome> {
    if (this.isCutOff) {
      const forwarded = await this.forward(toRequest(), deadline);
      // A request that was certainly not carried out is answered by this entry.
      if (forwarded && forwarded.kind !== "refused") return forwarded;
      return attempt();
    }
    const local = attempt();
    const early = await this.settledBeforeOutage(local);
    if (early && !(this.isCutOff && needsOtherEntry(early))) return early;
    const forwarded = await this.forward(toRequest(), deadline);
    if (forwarded && isAnswered(forwarded)) return forwarded;
    return combineOutcomes(await local, forwarded);
  }

  /** The outcome of this entry's own attempt; undefined once the entry is cut off. */
  private async settledBeforeOutage(
    local: Promise<AnyOutcome>,
  ): Promise<AnyOutcome | undefined> {
    const { clock } = this.options;
    for (;;) {
      const abort = new AbortController();
      const waited = pause(clock, CHECK_MS, abort.signal);
      const outcome = await Promise.race([local, waited]);
      abort.abort();
      if (outcome) return outcome;
      if (this.isCutOff) return undefined;
    }
  }

  /**
   * Passes a request on, to one entry after the other as long as each has certainly not
   * carried it out.
   *
   * @returns undefined if the request was not passed on
   */
  private async forward(
    request: PeerRequest,
    deadline: Monotonic,
  ): Promise<PeerOutcome | undefined> {
    const { directory, storeCalls, clock } = this.options;
    const tried = new Set<EntryId>();
    const rotation = this.rotation++;
    let refusal: PeerOutcome | undefined;
    for (;;) {
      const { failingSince } = storeCalls;
      const decision = decideForward({
        now: clock.monotonic(),
        failingSince,
        deadline,
        kind: request.kind,
        inFlight: this.inFlight,
        stateQueriesInFlight: this.stateQueriesInFlight,
        peers: directory.all(),
        tried,
        rotation,
      });
      if (decision.kind === "not-forwarded") {
        if (tried.size === 0)
          this.recordNotForwarded(request, decision.reason, failingSince);
        return refusal;
      }
      const { peer, timeoutMs } = decision;
      tried.add(peer.entry);
      const outcome = await this.send(request, peer, timeoutMs, failingSince);
      if (outcome.kind !== "refused") return outcome;
      refusal = outcome;
    }
  }

  private async send(
    request: PeerRequest,
    peer: Peer,
    timeoutMs: number,
    failingSince: Monotonic | undefined,
  ): Promise<PeerOutcome> {
    const { transport, directory, clock, logger, metrics } = this.options;
    const sentAt = clock.monotonic();
    const isQuery = request.kind === "state";
    this.inFlight += 1;
    if (isQuery) this.stateQueriesInFlight += 1;
    const { address, entry } = peer;
    const toCall = (remainingMs: number) => ({ request, remainingMs });
    const outcome = await transport
      .call(address, "forward", toCall, timeoutMs)
      .catch(outcomeOfFailure);
    this.inFlight -= 1;
    if (isQuery) this.stateQueriesInFlight -= 1;
    if (!isAnswered(outcome)) directory.avoid(entry);
    const { kind, job } = request;
    metrics.count("forwarded_requests", {
      request: kind,
      outcome: outcome.kind,
    });
    logger.info("job.forwarded", {
      job,
      request: kind,
      peer: entry,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
      outageMs: ageOf(failingSince, sentAt),
      timeoutMs: Math.round(timeoutMs),
      inFlight: this.inFlight,
      tookMs: Math.round(clock.monotonic() - sentAt),
    });
    return outcome;
  }

  private recordNotForwarded(
    { kind, job }: PeerRequest,
    reason: NotForwardedReason,
    failingSince: Monotonic | undefined,
  ): void {
    const { logger, metrics, clock } = this.options;
    metrics.count("forwarded_requests", { request: kind, outcome: reason });
    // At most one line for each request of a caller, as for its own outcome.
    logger.info("job.not-forwarded", {
      job,
      request: kind,
      reason,
      outageMs: ageOf(failingSince, clock.monotonic()),
      inFlight: this.inFlight,
    });
  }
}

const refused = (reason: string) =>
  ({
    kind: "refused",
    cause: "unavailable",
    reason,
    retryAfterMs: JOB_SERVICE.retryAfterMs,
  }) as const;

/**
 * Whether an outcome of an entry that is cut off by now calls for another entry: a
 * refusal does, and so does a job that is missing in a view that was not refreshed.
 */
const needsOtherEntry = ({ kind }: AnyOutcome): boolean =>
  kind === "refused" || kind === "no-such-job";

const ageOf = (
  since: Monotonic | undefined,
  now: Monotonic,
): number | undefined =>
  since === undefined ? undefined : Math.round(now - since);

/** A request that certainly was not carried out is refused; any other is unknown. */
const outcomeOfFailure = (err: unknown): PeerOutcome => {
  const reason = err instanceof Error ? err.message : String(err);
  const isNotServed =
    err instanceof RemoteError && err.remoteKind === NotServingPeersError.kind;
  if (err instanceof ConnectError || isNotServed) return refused(reason);
  return { kind: "unknown", reason };
};
