/** Models one host: a modelled worker, the real side code and its connection to a leader. */

import {
  Metrics,
  pause,
  silentLogger,
  sleep,
  type AvailabilityZone,
  type Clock,
  type HostId,
  type JobTaskId,
  type Monotonic,
  type Random,
  type ServiceName,
} from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { Grant, HostReport, WorkerDescription } from "@rackspan/protocol";
import {
  FencedTaskHost,
  Pacer,
  TaskOrderHandler,
  WorkerRegistry,
  WorkerPoller,
  type WorkerHeartbeat,
} from "@rackspan/side";
import type { LeaderModel } from "./LeaderModel.js";
import { SideLink, type SilentDirection } from "./SideLink.js";
import type { WorkerModel } from "./WorkerModel.js";

const HOST = {
  heartbeatMs: 300,
  reportEveryMs: 500,
  statusWaitMs: 125,
  /** A worker without an answered poll for this long after the side attached is silent. */
  unpolledMs: 500,
  /** A leader that grants no lease for this long may have been replaced. */
  ungrantedMs: 700,
  callTimeoutMs: 1_200,
  maxUnanswered: 2,
  findLeaderEveryMs: 200,
  /** The leader closes a connection that has been silent for this long. */
  connectionTimeoutMs: 4_000,
} as const;

export interface HostModelOptions {
  readonly host: HostId;
  readonly zone: AvailabilityZone;
  readonly service: ServiceName;
  readonly clock: Clock;
  readonly random: Random;
  readonly worker: WorkerModel;
  /** How far ahead the side renews the worker's lease, milliseconds. */
  readonly unattendedLeaseMs: number;
  /** Longest lease that the worker accepts, milliseconds. */
  readonly longestLeaseMs: number;
  /** See JobWorldOptions. */
  readonly deliversMessagesBeforeTimers: boolean;
  /** See JobWorldOptions. */
  readonly staysWithGrantingLeader: boolean;
  /** Returns the leader that the store names; undefined when it names none. */
  readonly findLeader: () => LeaderModel | undefined;
  /** Called when a leader orders a start on this host. */
  readonly onStartOrder: (task: JobTaskId) => void;
}

/** The components of one side process. */
interface SideProcess {
  readonly registry: WorkerRegistry;
  readonly watch: WorkerPoller;
  readonly orders: TaskOrderHandler;
  readonly abort: AbortController;
}

/** A connection over which the side has attached, and the leader that it attached to. */
interface Attachment {
  readonly link: SideLink;
  readonly leader: LeaderModel;
}

export class HostModel {
  /** Whether side and leader cannot reach each other. */
  isCut = false;
  draining = false;
  /** Maximum delay of heartbeats, milliseconds; they arrive even after their sender has ended. */
  maxHeartbeatDelayMs = 0;
  private sequence = 0;
  private side: SideProcess;
  private link: SideLink | undefined;
  private attachment: Attachment | undefined;
  /**
   * Everything that previous side processes sent was sent by this time. The first side process
   * also waits for it, because it cannot detect that there was none before it.
   */
  private previousSidesUntil: Monotonic;

  constructor(private readonly options: HostModelOptions) {
    this.previousSidesUntil = options.clock.monotonic();
    this.side = this.startSide();
    this.scheduleHeartbeat();
  }

  get host(): HostId {
    return this.options.host;
  }

  get zone(): AvailabilityZone {
    return this.options.zone;
  }

  get worker(): WorkerModel {
    return this.options.worker;
  }

  /** Whether the side has attached to the leader and messages pass in both directions. */
  isAttachedTo(leader: LeaderModel): boolean {
    const { attachment } = this;
    if (attachment?.leader !== leader || this.isCut) return false;
    if (attachment.link.isSilent) return false;
    return attachment.link.isOpenAtSide && attachment.link.isOpenAtLeader;
  }

  /**
   * The time from which no lease that a side has sent is valid at the worker. A restarted side
   * has no record of the leases sent before it, only of the time by which they were sent.
   */
  get leasesExpireBy(): Monotonic {
    const { worker, longestLeaseMs } = this.options;
    const previousExpireBy = latestLeaseExpiry(
      this.previousSidesUntil,
      longestLeaseMs,
    );
    return Math.max(worker.sentLeasesExpireBy, previousExpireBy);
  }

  /**
   * Replaces the side by a new process without any state of the previous one.
   * @param overlapMs how long both processes run, milliseconds
   */
  restartSide(overlapMs = 0): void {
    const previous = this.side;
    const stop = (): void => {
      previous.abort.abort();
      void previous.watch.stop();
    };
    if (overlapMs === 0) stop();
    else this.options.clock.after(overlapMs, stop);
    const { clock } = this.options;
    this.previousSidesUntil = clock.monotonic() + overlapMs;
    this.side = this.startSide();
  }

  /** Ends the side process and starts a new one after the given time. */
  stopSide(ms: number): void {
    const { clock } = this.options;
    const lost = this.side;
    lost.abort.abort();
    void lost.watch.stop();
    clock.after(ms, () => {
      if (this.side === lost) this.restartSide();
    });
  }

  /** Deregisters the worker, which then ends after `lingerMs`. */
  deregister(lingerMs: number): void {
    const { clock, worker } = this.options;
    const { instance } = worker;
    if (!worker.isUp) return;
    this.side.registry.recordGone(instance, "it deregistered");
    clock.after(lingerMs, () => {
      if (worker.instance === instance && worker.isUp) worker.crash();
    });
  }

  /** Resets the connection; both ends are notified. */
  resetLink(): void {
    this.link?.closeAtSide(() => undefined);
  }

  /** Makes the current connection silent for the given time; both ends stay open. */
  silenceLink(direction: SilentDirection, ms: number): void {
    this.link?.fallSilent(direction, this.options.clock.monotonic() + ms);
  }

  private startSide(): SideProcess {
    const { clock, worker } = this.options;
    const logger = silentLogger;
    const metrics = new Metrics();
    const registry = new WorkerRegistry(clock, logger);
    const host = new FencedTaskHost({ host: worker, clock });
    const base = { host, clock, logger, metrics };
    const pacer = new Pacer({ ...base, tailGraceMs: 4_000, tailAim: 0.9 });
    const watch = new WorkerPoller({
      ...base,
      registry,
      pacer,
      unattendedLeaseMs: this.options.unattendedLeaseMs,
      longestLeaseMs: this.options.longestLeaseMs,
    });
    const orders = new TaskOrderHandler({
      ...base,
      registry,
      poller: watch,
      pacer,
    });
    const abort = new AbortController();
    const side = { registry, watch, orders, abort };
    watch.start();
    void this.serve(side);
    return side;
  }

  private scheduleHeartbeat(): void {
    const { clock, worker, random } = this.options;
    clock.after(HOST.heartbeatMs * (0.5 + random.next()), () => {
      if (worker.isReachable) {
        this.sequence += 1;
        this.deliverHeartbeat({
          worker: this.describe(),
          sequence: this.sequence,
        });
      }
      this.scheduleHeartbeat();
    });
  }

  private deliverHeartbeat(beat: WorkerHeartbeat): void {
    const { clock, random } = this.options;
    const arrive = (): void => this.side.registry.recordHeartbeat(beat);
    if (this.maxHeartbeatDelayMs === 0) arrive();
    else clock.after(random.next() * this.maxHeartbeatDelayMs, arrive);
  }

  private describe(): WorkerDescription {
    const { service, worker } = this.options;
    return {
      instance: worker.instance,
      service,
      labels: [],
      rack: "r1",
      milliCores: worker.milliCores,
      memoryMiB: 100_000,
      accelerators: 0,
      draining: this.draining,
    };
  }

  private async serve(side: SideProcess): Promise<void> {
    const { clock, findLeader } = this.options;
    const { signal } = side.abort;
    while (!signal.aborted) {
      const leader = findLeader();
      if (leader && !this.isCut) await this.attachTo(leader, side);
      await pause(clock, HOST.findLeaderEveryMs, signal);
    }
  }

  private async attachTo(
    leader: LeaderModel,
    side: SideProcess,
  ): Promise<void> {
    const { clock, random, host, deliversMessagesBeforeTimers } = this.options;
    const { orders, watch, abort } = side;
    const link = new SideLink({
      clock,
      leaderClock: leader.clock,
      random,
      deliversMessagesBeforeTimers,
      isCut: () => this.isCut,
      onStartOrder: this.options.onStartOrder,
      side: {
        start: (call) => orders.start(call),
        stop: (call) => orders.stop(call),
        acknowledge: (instance, ends) => watch.acknowledge(instance, ends),
      },
    });
    this.link = link;
    leader.addLink(host, link);
    const epoch = await this.callLeader(link, () => leader.attach(host, link));
    if (epoch === undefined || epoch < (watch.currentEpoch ?? 0)) {
      this.close(link, leader);
      return;
    }
    watch.raiseEpoch(epoch);
    this.attachment = { link, leader };
    await this.reportWhileOpen(link, leader, side);
    this.close(link, leader);
    if (abort.signal.aborted) return;
  }

  private async reportWhileOpen(
    link: SideLink,
    leader: LeaderModel,
    { watch, registry, abort }: SideProcess,
  ): Promise<void> {
    const { clock, findLeader } = this.options;
    const attachedAt = clock.monotonic();
    let reportedAt: Monotonic = -Infinity;
    let silenceSentAt: Monotonic = -Infinity;
    let grantedAt = attachedAt;
    let lastEnd = 0;
    let unanswered = 0;
    let reportedGone: string | undefined;
    while (link.isOpenAtSide && !abort.signal.aborted) {
      const isUngranted = clock.monotonic() - grantedAt >= HOST.ungrantedMs;
      const asksStore = !this.options.staysWithGrantingLeader || isUngranted;
      if (asksStore && findLeader() && findLeader() !== leader) return;
      const { currentStatus: status } = watch;
      const { worker } = registry;
      const isCurrent = status && status.polledAt >= attachedAt;
      const last = watch.unacknowledgedEnds.at(-1)?.number ?? 0;
      const isDue =
        clock.monotonic() - reportedAt >= HOST.reportEveryMs || last > lastEnd;
      if (isCurrent && isDue && worker?.instance === status.instance) {
        reportedAt = clock.monotonic();
        lastEnd = last;
        const report: HostReport = {
          worker,
          at: status.answer.at,
          running: [...status.answer.running],
          ended: [...watch.unacknowledgedEnds],
          hasMoreEnds: status.answer.hasMoreEnds,
          lostRuns: [...registry.runs.unreportedLostRuns],
          neverBegun: [...registry.runs.unreportedNeverBegun],
          formerStartsForMs: watch.previousStartsForMs(worker.instance),
          unheardEnds: [...registry.runs.unreportedEnds],
        };
        const grant = await this.callLeader(link, () =>
          leader.report(this.options.host, this.options.zone, report),
        );
        unanswered = grant ? 0 : unanswered + 1;
        if (grant?.leaseUntil !== undefined) grantedAt = clock.monotonic();
        if (grant) {
          registry.runs.markLostRunsReported(report.lostRuns);
          registry.runs.markNeverBegunReported(report.neverBegun ?? []);
          registry.runs.markEndsReported(report.unheardEnds ?? []);
        }
        if (grant) applyGrant(watch, worker, grant);
        if (unanswered >= HOST.maxUnanswered) return;
      } else if (
        (!watch.isResponding ||
          (!isCurrent && clock.monotonic() - attachedAt >= HOST.unpolledMs)) &&
        clock.monotonic() - silenceSentAt >= HOST.reportEveryMs
      ) {
        silenceSentAt = clock.monotonic();
        const overInMs = watch.stopRenewingLease();
        const { unreportedNeverBegun: neverBegun } = registry.runs;
        const grants = await this.callLeader(link, () =>
          leader.handleWorkerSilent(this.options.host, overInMs, neverBegun),
        );
        if (grants !== undefined)
          registry.runs.markNeverBegunReported(neverBegun);
        unanswered = grants === undefined ? unanswered + 1 : 0;
        if (grants) grantedAt = clock.monotonic();
        if (unanswered >= HOST.maxUnanswered) return;
      }
      const gone = registry.lastGone;
      if (gone !== undefined && gone !== reportedGone) {
        reportedGone = gone;
        const { unreportedLostRuns: lostRuns, unreportedEnds: unheardEnds } =
          registry.runs;
        link.sendToLeader(() =>
          leader.handleWorkerGone(
            this.options.host,
            gone,
            lostRuns,
            unheardEnds,
          ),
        );
      }
      await watch.statusChanged.wait(clock, HOST.statusWaitMs);
    }
  }

  /** Calls the leader. @returns undefined when no answer arrives in time */
  private async callLeader<T>(
    link: SideLink,
    act: () => T | undefined,
  ): Promise<T | undefined> {
    const { clock } = this.options;
    let answer: T | undefined;
    let isAnswered = false;
    link.sendToLeader(() => {
      const result = act();
      link.sendToSide(() => {
        answer = result;
        isAnswered = true;
      });
    });
    const timeoutAt = clock.monotonic() + HOST.callTimeoutMs;
    while (!isAnswered && link.isOpenAtSide && clock.monotonic() < timeoutAt) {
      await sleep(clock, 5);
    }
    return answer;
  }

  private close(link: SideLink, leader: LeaderModel): void {
    const { host, clock } = this.options;
    link.closeAtSide(() => leader.detach(host, link));
    // While the link is cut, the leader receives nothing and closes the connection after a timeout.
    clock.after(HOST.connectionTimeoutMs, () =>
      link.closeAtLeader(() => leader.detach(host, link)),
    );
  }
}

const applyGrant = (
  watch: WorkerPoller,
  { instance }: WorkerDescription,
  { leaseUntil, acknowledged }: Grant,
): void => {
  if (leaseUntil !== undefined) watch.grant(instance, leaseUntil);
  watch.acknowledge(instance, acknowledged);
};
