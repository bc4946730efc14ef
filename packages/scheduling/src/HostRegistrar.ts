/**
 * Registers hosts and their sessions, and applies what their workers report about
 * themselves.
 */

import {
  describeError,
  type AvailabilityZone,
  type HostId,
  type Monotonic,
} from "@rackspan/common";
import { describeTask, HostState } from "@rackspan/jobs";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { HostReport } from "@rackspan/protocol";
import type { EngineParts } from "./engineParts.js";
import type { HostEntry } from "./engineTypes.js";
import type { HostSession } from "./HostSession.js";

export class HostRegistrar {
  private readonly sessions = new Map<HostId, HostSession>();

  constructor(private readonly parts: EngineParts) {}

  attach(host: HostId, session: HostSession): void {
    this.sessions.set(host, session);
    this.clearSilence(host);
    const entry = this.parts.hosts.get(host);
    if (!entry) return;
    entry.session = session;
    // Orders that were sent over the old connection may or may not have arrived.
    for (const run of entry.hostState.runs.values()) {
      if (run.phase === "starting") run.phase = "unsure";
    }
    for (const { stop } of entry.hostState.stopping) stop.sentAt = undefined;
    // A side that was restarted has no descriptions of the tasks that run on its host.
    const runs = [...entry.hostState.runs.values()];
    if (runs.length === 0) return;
    session.describe(runs.map(({ task }) => describeTask(task)));
  }

  detach(host: HostId, session: HostSession): void {
    if (this.sessions.get(host) !== session) return;
    this.sessions.delete(host);
    this.clearSilence(host);
    const entry = this.parts.hosts.get(host);
    if (entry) entry.session = undefined;
  }

  /**
   * Discards the reported silence. A side guarantees its report of a silent worker only
   * while the connection lasts.
   */
  private clearSilence(host: HostId): void {
    this.parts.options.gate.clearSilence(host);
    this.parts.hosts.get(host)?.hostState.clearSilence();
  }

  /** Returns the host's entry and registers a host that is not known yet. */
  getOrRegister(
    host: HostId,
    zone: AvailabilityZone,
    { worker }: HostReport,
    now: Monotonic,
  ): HostEntry {
    const { options, hosts } = this.parts;
    const { logger } = options;
    const known = hosts.get(host);
    if (known) return known;
    const hostState = new HostState(host, zone, worker);
    const entry: HostEntry = {
      hostState,
      session: this.sessions.get(host),
      endsRecorded: Promise.resolve(),
      rostered: false,
    };
    hosts.set(entry);
    // Until its first report the host may hold leases of a previous leader.
    hostState.recordGrant(latestLeaseExpiry(now, options.leaseMs));
    logger.info("host.joined", {
      host,
      instance: worker.instance,
      zone,
      milliCores: worker.milliCores,
    });
    this.addToRoster(entry);
    return entry;
  }

  updateWorker(entry: HostEntry, { worker }: HostReport): void {
    const { hostState } = entry;
    const startedDraining = worker.draining && !hostState.worker.draining;
    hostState.worker = worker;
    if (startedDraining) {
      const { logger } = this.parts.options;
      const { host } = hostState;
      logger.info("host.draining", { host, leavesInMs: worker.leavesInMs });
    }
    if (worker.draining) this.stopRunsBeforeLeave(entry);
  }

  /**
   * Records the worker in the roster. It gets no lease until the store names this
   * incarnation, because the next leader takes the end of the recorded incarnation as
   * the end of all that may run there.
   */
  addToRoster(entry: HostEntry): void {
    const { options, requestCycle } = this.parts;
    const { roster, logger } = options;
    const { host, instance } = entry.hostState;
    this.refreshRostered(entry);
    if (entry.rostered) return;
    roster.persist(host, instance).then(
      () => {
        this.refreshRostered(entry);
        requestCycle();
      },
      (err: unknown) =>
        logger.warn("host.not-rostered", {
          host,
          instance,
          error: describeError(err),
        }),
    );
  }

  /** Updates whether the store has recorded the incarnation that the host reports now. */
  refreshRostered(entry: HostEntry): void {
    const { host, instance } = entry.hostState;
    entry.rostered =
      this.parts.options.roster.recordedInstance(host) === instance;
  }

  /**
   * Stops the runs that would not end before the worker leaves, so that they start
   * elsewhere.
   */
  private stopRunsBeforeLeave(entry: HostEntry): void {
    const { options, runStopper, estimates } = this.parts;
    const { clock, stopMs } = options;
    const { leavesInMs } = entry.hostState.worker;
    for (const run of [...entry.hostState.runs.values()]) {
      if (run.phase !== "running") continue;
      const { step } = run.task;
      if (step.spec.lasting) {
        runStopper.stop(entry, run, "draining");
        continue;
      }
      if (leavesInMs === undefined) continue;
      const ranMs = clock.monotonic() - run.startedAt;
      const expectedMs = Math.max(0, estimates.taskMs(step) - ranMs);
      if (expectedMs + stopMs > leavesInMs)
        runStopper.stop(entry, run, "draining");
    }
  }
}
