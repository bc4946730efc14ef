/**
 * Maintains one connection to the leading entry: attaches to it, reports the worker's
 * status, and receives leases and orders. Runs as a single loop until the process stops.
 */

import { connect, type Socket } from "node:net";
import {
  describeError,
  pause,
  sleep,
  splitAddress,
  type AvailabilityZone,
  type Clock,
  type HostId,
  type Logger,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import {
  hostMethods,
  leaderMethods,
  JsonRpcConnection,
  LostAnswerError,
  type Grant,
} from "@rackspan/protocol";
import type { LeaderConnection } from "./LeaderConnection.js";
import type { LeaderFinder } from "./LeaderFinder.js";
import type { Pacer } from "./Pacer.js";
import { SilenceReporter } from "./SilenceReporter.js";
import type { TaskOrderHandler } from "./TaskOrderHandler.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";
import type { WorkerStatus, WorkerPoller } from "./WorkerPoller.js";

const LEADER_CLIENT = {
  /** Interval between two attempts to find a leader. */
  findIntervalMs: 200,
  connectTimeoutMs: 600,
  callTimeoutMs: 1_200,
  /** Longest interval between two reports; each report renews the lease. */
  reportIntervalMs: 500,
  /** The same while the worker drains, when little time is left. */
  drainingReportIntervalMs: 250,
  /** Longest wait for a status change before checking whether a report is due. */
  statusWaitMs: 125,
  /** Interval of the pings that keep the connection open while there is nothing to report. */
  pingIntervalMs: 1_500,
  /** Least time between two reports, so that ends are reported in batches. */
  minReportIntervalMs: 12,
  /** A connection on which no byte arrives for this long is closed. */
  idleTimeoutMs: 4_000,
  /** A leader that grants no lease for this long may have been replaced. */
  maxUngrantedMs: 700,
  /** Consecutive unanswered reports after which the side searches for another leader. */
  maxUnanswered: 2,
  /** Interval between two checks whether a leader has recorded the worker's end. */
  deregistrationPollMs: 50,
  /** Delay until a leader that has not recorded it is notified again. */
  deregistrationRetryMs: 400,
} as const;

export interface LeaderClientOptions {
  readonly host: HostId;
  readonly availabilityZone: AvailabilityZone;
  readonly finder: LeaderFinder;
  readonly registry: WorkerRegistry;
  readonly poller: WorkerPoller;
  readonly orders: TaskOrderHandler;
  readonly pacer: Pacer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** How long a planned stop waits until a leader has recorded that the worker left, milliseconds. */
  readonly deregistrationTimeoutMs: number;
}

export class LeaderClient {
  private readonly abort = new AbortController();
  private connection: LeaderConnection | undefined;
  private reportedAt: Monotonic = -Infinity;
  /** When the leader last granted a lease, or when the store was last asked for the leader since. */
  private grantedAt: Monotonic = -Infinity;
  /** The incarnation whose end the leader of this connection has recorded. */
  private recordedGone: WorkerInstance | undefined;
  private isDeregistering = false;
  /** The newest status that was reported over this connection. */
  private lastReported: WorkerStatus | undefined;
  private loop: Promise<void> | undefined;

  constructor(private readonly options: LeaderClientOptions) {}

  start(): void {
    this.loop ??= this.run();
  }

  async stop(): Promise<void> {
    await this.awaitDeregistration();
    this.abort.abort();
    this.connection?.close("stopping");
    this.options.poller.statusChanged.notify();
    await this.loop;
  }

  /**
   * Waits until a leader has recorded the worker's end. A host is often removed once its
   * worker has left. If no leader had recorded the end, the next leader would start no task
   * of previous terms until this host's lease has expired.
   */
  private async awaitDeregistration(): Promise<void> {
    const { registry, clock, logger, deregistrationTimeoutMs } = this.options;
    const { worker, lastGone } = registry;
    if (worker !== undefined || lastGone === undefined) return;
    const deadline = clock.monotonic() + deregistrationTimeoutMs;
    while (this.recordedGone !== lastGone && clock.monotonic() < deadline) {
      await sleep(clock, LEADER_CLIENT.deregistrationPollMs);
    }
    const wasRecorded = this.recordedGone === lastGone;
    logger.info("worker.goodbye", { instance: lastGone, wasTold: wasRecorded });
  }

  private async run(): Promise<void> {
    const { finder, clock } = this.options;
    while (!this.abort.signal.aborted) {
      const address = await finder.find();
      if (address !== undefined) await this.runSession(address);
      await pause(clock, LEADER_CLIENT.findIntervalMs, this.abort.signal);
    }
  }

  /** Attaches to the entry and sends reports as long as it answers. */
  private async runSession(address: string): Promise<void> {
    const { host, availabilityZone, poller, logger } = this.options;
    let reason: string;
    try {
      const connection = await this.openConnection(address);
      const { epoch } = await connection.call(
        "attach",
        { host, availabilityZone },
        LEADER_CLIENT.callTimeoutMs,
      );
      if (epoch < (poller.currentEpoch ?? 0)) {
        connection.close("an older leader");
        return;
      }
      logger.info("leader.attached", { leader: address, epoch });
      poller.raiseEpoch(epoch);
      reason = await this.reportWhileOpen(connection, address);
    } catch (err) {
      reason = describeError(err);
    }
    this.connection?.close(reason);
    this.connection = undefined;
    logger.info("leader.detached", { leader: address, reason });
  }

  private async openConnection(address: string): Promise<LeaderConnection> {
    const { clock, logger } = this.options;
    const socket = await openSocket(address, LEADER_CLIENT.connectTimeoutMs);
    this.connection = new JsonRpcConnection({
      socket,
      servedMethods: hostMethods,
      calledMethods: leaderMethods,
      handlers: this.handlers(),
      idleTimeoutMs: LEADER_CLIENT.idleTimeoutMs,
      clock,
      logger,
    });
    return this.connection;
  }

  private handlers(): ConstructorParameters<
    typeof JsonRpcConnection<typeof hostMethods, typeof leaderMethods>
  >[0]["handlers"] {
    const { orders, poller, pacer } = this.options;
    return {
      startTask: (call) => orders.start(call),
      stopTask: (call) => orders.stop(call),
      acknowledge: ({ instance, acknowledged }) => {
        poller.acknowledge(instance, acknowledged);
        return {};
      },
      describe: ({ tasks }) => {
        for (const { task, nature } of tasks) pacer.describe(task, nature);
        return {};
      },
    };
  }

  /** @returns why reporting ended */
  private async reportWhileOpen(
    connection: LeaderConnection,
    address: string,
  ): Promise<string> {
    const { clock, poller, registry, logger } = this.options;
    const attachedAt = clock.monotonic();
    this.grantedAt = attachedAt;
    this.recordedGone = undefined;
    this.lastReported = undefined;
    const silenceReporter = new SilenceReporter({
      connection,
      attachedAt,
      registry,
      poller,
      clock,
      logger,
      callTimeoutMs: LEADER_CLIENT.callTimeoutMs,
    });
    let unanswered = 0;
    while (connection.isOpen && !this.abort.signal.aborted) {
      const status = this.statusSince(attachedAt);
      const answer = this.reportIfDue(connection, silenceReporter, status);
      if (answer) {
        unanswered = (await answer) ? 0 : unanswered + 1;
        if (unanswered >= LEADER_CLIENT.maxUnanswered)
          return "reports unanswered";
        if (await this.isReplaced(address)) return "another entry leads";
        await sleep(clock, LEADER_CLIENT.minReportIntervalMs);
        continue;
      }
      this.startDeregistration(connection);
      if (clock.monotonic() - this.reportedAt > LEADER_CLIENT.pingIntervalMs) {
        this.reportedAt = clock.monotonic();
        connection.notify("ping", {});
      }
      await Promise.race([
        poller.statusChanged.wait(clock, LEADER_CLIENT.statusWaitMs),
        connection.closed,
      ]);
    }
    return connection.isOpen ? "stopping" : await connection.closed;
  }

  /**
   * Reports the worker's status, or that the worker is silent.
   * @returns whether the leader answered; undefined when no report is due
   */
  private reportIfDue(
    connection: LeaderConnection,
    silenceReporter: SilenceReporter,
    status: WorkerStatus | undefined,
  ): Promise<boolean> | undefined {
    if (status && this.isDue(status)) {
      this.lastReported = status;
      return this.report(connection, status);
    }
    if (!silenceReporter.isDue(status)) return undefined;
    this.startDeregistration(connection);
    return this.reportSilent(silenceReporter);
  }

  /** @returns whether the leader answered */
  private async reportSilent(
    silenceReporter: SilenceReporter,
  ): Promise<boolean> {
    const { isAnswered, grants } = await silenceReporter.report();
    if (grants) this.grantedAt = this.options.clock.monotonic();
    return isAnswered;
  }

  private startDeregistration(connection: LeaderConnection): void {
    const { lastGone: instance } = this.options.registry;
    if (instance === undefined || instance === this.recordedGone) return;
    if (this.isDeregistering) return;
    this.isDeregistering = true;
    void this.deregister(connection, instance).finally(
      () => (this.isDeregistering = false),
    );
  }

  private async deregister(
    connection: LeaderConnection,
    instance: WorkerInstance,
  ): Promise<void> {
    const { registry, clock, logger } = this.options;
    const lostRuns = [...registry.runs.unreportedLostRuns];
    const unheardEnds = [...registry.runs.unreportedEnds];
    const params = { instance, lostRuns, unheardEnds };
    try {
      await connection.call("workerGone", params, LEADER_CLIENT.callTimeoutMs);
      if (this.connection === connection) this.recordedGone = instance;
    } catch (err) {
      const error = describeError(err);
      logger.warn("worker.goodbye-unanswered", { instance, error });
      // Without a worker no reports are sent, so an unresponsive leader is detected only here.
      const isSilent = err instanceof LostAnswerError;
      if (isSilent && !registry.worker)
        connection.close("deregistration unanswered");
      await sleep(clock, LEADER_CLIENT.deregistrationRetryMs);
    }
  }

  /** Whether the store names another leader, checked when this one has granted no lease for a while. */
  private async isReplaced(address: string): Promise<boolean> {
    const { clock, finder } = this.options;
    if (clock.monotonic() - this.grantedAt < LEADER_CLIENT.maxUngrantedMs)
      return false;
    this.grantedAt = clock.monotonic();
    const leader = await finder.findInStore();
    return leader !== undefined && leader !== address;
  }

  /** An older status may list a worker that has ended, or runs that have ended since. */
  private statusSince(attachedAt: Monotonic): WorkerStatus | undefined {
    const { currentStatus: status } = this.options.poller;
    return status && status.polledAt >= attachedAt ? status : undefined;
  }

  private isDue(status: WorkerStatus): boolean {
    const { lastReported } = this;
    if (status === lastReported) return false;
    if (!lastReported) return true;
    const { clock, poller, registry } = this.options;
    const lastEnd = lastReported.answer.ended.at(-1)?.number ?? 0;
    const hasNewEnds = poller.unacknowledgedEnds.some(
      ({ number }) => number > lastEnd,
    );
    const worker = registry.worker;
    if (hasNewEnds || status.instance !== lastReported.instance) return true;
    const intervalMs = worker?.draining
      ? LEADER_CLIENT.drainingReportIntervalMs
      : LEADER_CLIENT.reportIntervalMs;
    return clock.monotonic() - this.reportedAt >= intervalMs;
  }

  /** @returns whether the leader answered */
  private async report(
    connection: LeaderConnection,
    { instance, answer }: WorkerStatus,
  ): Promise<boolean> {
    const { registry, poller, clock, logger } = this.options;
    const { worker } = registry;
    if (worker?.instance !== instance) return true;
    this.reportedAt = clock.monotonic();
    const lostRuns = [...registry.runs.unreportedLostRuns];
    const neverBegun = [...registry.runs.unreportedNeverBegun];
    const unheardEnds = [...registry.runs.unreportedEnds];
    const params = {
      worker,
      at: answer.at,
      running: [...answer.running],
      ended: [...poller.unacknowledgedEnds],
      hasMoreEnds: answer.hasMoreEnds,
      lostRuns,
      neverBegun,
      formerStartsForMs: poller.previousStartsForMs(instance),
      unheardEnds,
    };
    try {
      const grant = await connection.call(
        "report",
        params,
        LEADER_CLIENT.callTimeoutMs,
      );
      registry.runs.markLostRunsReported(lostRuns);
      registry.runs.markNeverBegunReported(neverBegun);
      registry.runs.markEndsReported(unheardEnds);
      this.applyGrant(instance, grant);
      return true;
    } catch (err) {
      logger.warn("report.unanswered", { error: describeError(err) });
      return false;
    }
  }

  private applyGrant(instance: WorkerStatus["instance"], grant: Grant): void {
    const { poller, pacer } = this.options;
    pacer.updateDisturbances(grant.disturbances ?? []);
    if (grant.leaseUntil !== undefined) {
      this.grantedAt = this.options.clock.monotonic();
      poller.grant(instance, grant.leaseUntil);
    }
    poller.acknowledge(instance, grant.acknowledged);
  }
}

const openSocket = (address: string, timeoutMs: number): Promise<Socket> =>
  new Promise((resolve, reject) => {
    const { address: host, port } = splitAddress(address);
    const socket = connect({ host, port });
    const timer = setTimeout(
      () => socket.destroy(new Error(`no connection in ${timeoutMs} ms`)),
      timeoutMs,
    );
    const fail = (err: Error): void => {
      clearTimeout(timer);
      reject(err);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      resolve(socket);
    });
  });
