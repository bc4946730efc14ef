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

const LINK = {
  /** Interval between two attempts to find a leader. */
  findEveryMs: 200,
  connectTimeoutMs: 600,
  callTimeoutMs: 1_200,
  /** Longest interval between two reports; each report renews the lease. */
  reportEveryMs: 500,
  /** The same while the worker drains, when little time is left. */
  drainingReportEveryMs: 250,
  /** Longest wait for a status change before checking whether a report is due. */
  newsWaitMs: 125,
  /** Interval of the pings that keep the connection open while there is nothing to report. */
  pingEveryMs: 1_500,
  /** Least time between two reports, so that ends are reported in batches. */
  reportFloorMs: 12,
  /** A connection on which no byte arrives for this long is closed. */
  silenceMs: 4_000,
  /** A leader that grants no lease for this long may have been replaced. */
  ungrantedMs: 700,
  /** Consecutive unanswered reports after which the side searches for another leader. */
  maxUnanswered: 2,
  /** Interval between two checks whether a leader has recorded the worker's end. */
  goodbyeLookMs: 50,
  /** Delay until a leader that has not recorded it is notified again. */
  goodbyeAgainMs: 400,
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
  private toldGone: WorkerInstance | undefined;
  private isTelling = false;
  /** The newest status that was reported over this connection. */
  private lastSent: WorkerStatus | undefined;
  private task: Promise<void> | undefined;

  constructor(private readonly options: LeaderClientOptions) {}

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    await this.awaitGoodbye();
    this.abort.abort();
    this.connection?.close("stopping");
    this.options.poller.statusChanged.notify();
    await this.task;
  }

  /**
   * Waits until a leader has recorded the worker's end. A host is often removed once its
   * worker has left. If no leader had recorded the end, the next leader would start no task
   * of previous terms until this host's lease has expired.
   */
  private async awaitGoodbye(): Promise<void> {
    const {
      registry,
      clock,
      logger,
      deregistrationTimeoutMs: goodbyeMs,
    } = this.options;
    const { worker, lastGone } = registry;
    if (worker !== undefined || lastGone === undefined) return;
    const giveUpAt = clock.monotonic() + goodbyeMs;
    while (this.toldGone !== lastGone && clock.monotonic() < giveUpAt) {
      await sleep(clock, LINK.goodbyeLookMs);
    }
    const wasTold = this.toldGone === lastGone;
    logger.info("worker.goodbye", { instance: lastGone, wasTold });
  }

  private async run(): Promise<void> {
    const { finder, clock } = this.options;
    while (!this.abort.signal.aborted) {
      const address = await finder.find();
      if (address !== undefined) await this.serve(address);
      await pause(clock, LINK.findEveryMs, this.abort.signal);
    }
  }

  /** Attaches to the entry and sends reports as long as it answers. */
  private async serve(address: string): Promise<void> {
    const { host, availabilityZone, poller: watch, logger } = this.options;
    let reason: string;
    try {
      const connection = await this.open(address);
      const { epoch } = await connection.call(
        "attach",
        { host, availabilityZone },
        LINK.callTimeoutMs,
      );
      if (epoch < (watch.currentEpoch ?? 0)) {
        connection.close("an older leader");
        return;
      }
      logger.info("leader.attached", { leader: address, epoch });
      watch.raiseEpoch(epoch);
      reason = await this.reportWhileOpen(connection, address);
    } catch (err) {
      reason = describeError(err);
    }
    this.connection?.close(reason);
    this.connection = undefined;
    logger.info("leader.detached", { leader: address, reason });
  }

  private async open(address: string): Promise<LeaderConnection> {
    const { clock, logger } = this.options;
    const socket = await openSocket(address, LINK.connectTimeoutMs);
    this.connection = new JsonRpcConnection({
      socket,
      servedMethods: hostMethods,
      calledMethods: leaderMethods,
      handlers: this.handlers(),
      idleTimeoutMs: LINK.silenceMs,
      clock,
      logger,
    });
    return this.connection;
  }

  private handlers(): ConstructorParameters<
    typeof JsonRpcConnection<typeof hostMethods, typeof leaderMethods>
  >[0]["handlers"] {
    const { orders, poller: watch, pacer } = this.options;
    return {
      startTask: (call) => orders.start(call),
      stopTask: (call) => orders.stop(call),
      acknowledge: ({ instance, acknowledged }) => {
        watch.acknowledge(instance, acknowledged);
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
    const { clock, poller: watch, registry, logger } = this.options;
    const attachedAt = clock.monotonic();
    this.grantedAt = attachedAt;
    this.toldGone = undefined;
    this.lastSent = undefined;
    const silence = new SilenceReporter({
      connection,
      attachedAt,
      registry,
      poller: watch,
      clock,
      logger,
      callTimeoutMs: LINK.callTimeoutMs,
    });
    let unanswered = 0;
    while (connection.isOpen && !this.abort.signal.aborted) {
      const sighting = this.sightingSince(attachedAt);
      const answer = this.tellDue(connection, silence, sighting);
      if (answer) {
        unanswered = (await answer) ? 0 : unanswered + 1;
        if (unanswered >= LINK.maxUnanswered) return "reports unanswered";
        if (await this.isReplaced(address)) return "another entry leads";
        await sleep(clock, LINK.reportFloorMs);
        continue;
      }
      this.tellGone(connection);
      if (clock.monotonic() - this.reportedAt > LINK.pingEveryMs) {
        this.reportedAt = clock.monotonic();
        connection.notify("ping", {});
      }
      await Promise.race([
        watch.statusChanged.wait(clock, LINK.newsWaitMs),
        connection.closed,
      ]);
    }
    return connection.isOpen ? "stopping" : await connection.closed;
  }

  /**
   * Reports the worker's status, or that the worker is silent.
   * @returns whether the leader answered; undefined when no report is due
   */
  private tellDue(
    connection: LeaderConnection,
    silence: SilenceReporter,
    sighting: WorkerStatus | undefined,
  ): Promise<boolean> | undefined {
    if (sighting && this.isDue(sighting)) {
      this.lastSent = sighting;
      return this.report(connection, sighting);
    }
    if (!silence.isDue(sighting)) return undefined;
    this.tellGone(connection);
    return this.tellSilent(silence);
  }

  /** @returns whether the leader answered */
  private async tellSilent(silence: SilenceReporter): Promise<boolean> {
    const { isAnswered, grants } = await silence.report();
    if (grants) this.grantedAt = this.options.clock.monotonic();
    return isAnswered;
  }

  private tellGone(connection: LeaderConnection): void {
    const { lastGone: instance } = this.options.registry;
    if (instance === undefined || instance === this.toldGone) return;
    if (this.isTelling) return;
    this.isTelling = true;
    void this.sayGoodbye(connection, instance).finally(
      () => (this.isTelling = false),
    );
  }

  private async sayGoodbye(
    connection: LeaderConnection,
    instance: WorkerInstance,
  ): Promise<void> {
    const { registry, clock, logger } = this.options;
    const lostRuns = [...registry.runs.unreportedLostRuns];
    const unheardEnds = [...registry.runs.unreportedEnds];
    const params = { instance, lostRuns, unheardEnds };
    try {
      await connection.call("workerGone", params, LINK.callTimeoutMs);
      if (this.connection === connection) this.toldGone = instance;
    } catch (err) {
      const error = describeError(err);
      logger.warn("worker.goodbye-unanswered", { instance, error });
      // Without a worker no reports are sent, so an unresponsive leader is detected only here.
      const isSilent = err instanceof LostAnswerError;
      if (isSilent && !registry.worker) connection.close("goodbye unanswered");
      await sleep(clock, LINK.goodbyeAgainMs);
    }
  }

  /** Whether the store names another leader, checked when this one has granted no lease for a while. */
  private async isReplaced(address: string): Promise<boolean> {
    const { clock, finder } = this.options;
    if (clock.monotonic() - this.grantedAt < LINK.ungrantedMs) return false;
    this.grantedAt = clock.monotonic();
    const leader = await finder.findInStore();
    return leader !== undefined && leader !== address;
  }

  /** An older status may list a worker that has ended, or runs that have ended since. */
  private sightingSince(attachedAt: Monotonic): WorkerStatus | undefined {
    const { currentStatus: sighting } = this.options.poller;
    return sighting && sighting.polledAt >= attachedAt ? sighting : undefined;
  }

  private isDue(sighting: WorkerStatus): boolean {
    const { lastSent } = this;
    if (sighting === lastSent) return false;
    if (!lastSent) return true;
    const { clock, poller: watch, registry } = this.options;
    const lastEnd = lastSent.answer.ended.at(-1)?.number ?? 0;
    const hasNewEnds = watch.unacknowledgedEnds.some(
      ({ number }) => number > lastEnd,
    );
    const worker = registry.worker;
    if (hasNewEnds || sighting.instance !== lastSent.instance) return true;
    const everyMs = worker?.draining
      ? LINK.drainingReportEveryMs
      : LINK.reportEveryMs;
    return clock.monotonic() - this.reportedAt >= everyMs;
  }

  /** @returns whether the leader answered */
  private async report(
    connection: LeaderConnection,
    { instance, answer }: WorkerStatus,
  ): Promise<boolean> {
    const { registry, poller: watch, clock, logger } = this.options;
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
      ended: [...watch.unacknowledgedEnds],
      hasMoreEnds: answer.hasMoreEnds,
      lostRuns,
      neverBegun,
      formerStartsForMs: watch.previousStartsForMs(instance),
      unheardEnds,
    };
    try {
      const grant = await connection.call("report", params, LINK.callTimeoutMs);
      registry.runs.markLostRunsReported(lostRuns);
      registry.runs.markNeverBegunReported(neverBegun);
      registry.runs.markEndsReported(unheardEnds);
      this.take(instance, grant);
      return true;
    } catch (err) {
      logger.warn("report.unanswered", { error: describeError(err) });
      return false;
    }
  }

  private take(instance: WorkerStatus["instance"], grant: Grant): void {
    const { poller: watch, pacer } = this.options;
    pacer.updateDisturbances(grant.disturbances ?? []);
    if (grant.leaseUntil !== undefined) {
      this.grantedAt = this.options.clock.monotonic();
      watch.grant(instance, grant.leaseUntil);
    }
    watch.acknowledge(instance, grant.acknowledged);
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
