/** Detects hosts that are silent, and runs that are stalled or slow. */

import type { HostId, Monotonic, WorkerInstance } from "@rackspan/common";
import {
  avoidHost,
  interferenceProfileOf,
  type ActiveRun,
  type WorkerLoss,
} from "@rackspan/jobs";
import type { HostReport, LostRun } from "@rackspan/protocol";
import type { CrashTracker } from "./CrashTracker.js";
import type { EngineParts } from "./engineParts.js";
import { ENGINE, type HostEntry } from "./engineTypes.js";
import { runsToMove, SLOWNESS } from "./slowHosts.js";

const SILENCE = {
  /**
   * Minimum change of a silent host's lease expiry that is logged, milliseconds: each
   * repeated message arrives a little earlier or later than the one before.
   */
  minChangeMs: 150,
} as const;

export interface HostMonitorOptions extends EngineParts {
  readonly crashTracker: CrashTracker;
}

export class HostMonitor {
  constructor(private readonly parts: HostMonitorOptions) {}

  check(): void {
    const now = this.parts.options.clock.monotonic();
    this.removeExpiredHosts(now);
    for (const entry of [...this.parts.hosts.all()]) {
      if (now >= entry.hostState.leasesExpireBy) {
        recordUnplaced(entry);
        this.removeHost(entry, "silent", "lease-over");
      } else this.checkRuns(entry, now);
    }
  }

  /**
   * Returns when the leases of the next host expire if it does not report before;
   * Infinity without any.
   */
  nextLeaseExpiry(): Monotonic {
    const { options, hosts } = this.parts;
    const expiryTimes = [...hosts.all()].map(
      ({ hostState }) => hostState.leasesExpireBy,
    );
    return Math.min(options.gate.nextLeaseExpiry, ...expiryTimes);
  }

  /**
   * Removes a host on which nothing runs any more: its worker ended, or was silent
   * until its leases expired.
   */
  removeHost(
    entry: HostEntry,
    loss: WorkerLoss,
    reason: string,
    lostRuns: readonly LostRun[] = [],
  ): void {
    const { hosts, ejector, crashTracker } = this.parts;
    const { host, instance } = entry.hostState;
    crashTracker.handleLostRuns(entry, loss, reason, lostRuns);
    hosts.delete(host);
    ejector.forget(host);
    this.forgetHost(host, instance, reason);
  }

  /**
   * Handles a worker that ended before it reported to this leader. If the roster names
   * this incarnation, it was the last that could hold a lease there, so the takeover
   * need not wait for the host.
   */
  removeUnreported(host: HostId, instance: WorkerInstance): void {
    const { roster } = this.parts.options;
    if (roster.recordedInstance(host) !== instance) return;
    this.forgetHost(host, instance, "gone-before-take-over");
    this.parts.requestCycle();
  }

  /**
   * Shortens the wait for a silent host to the time that its side reports: in the state
   * of a host that has reported, else in the takeover gate. For a host with ends that
   * are still to be listed the wait is not shortened: a task whose end is among them
   * would start again.
   */
  recordSilence(host: HostId, overInMs: number): void {
    const { options, hosts, requestCycle } = this.parts;
    const { gate, clock, logger } = options;
    const now = clock.monotonic();
    const expiresBy = now + overInMs;
    const hostState = hosts.get(host)?.hostState;
    if (hostState && gate.unreported(now).includes(host)) return;
    const soonerByMs = hostState
      ? hostState.recordSilence(expiresBy)
      : gate.recordSilence(host, expiresBy);
    if (Math.abs(soonerByMs) < SILENCE.minChangeMs) return;
    logger.info("host.silent", {
      host,
      overInMs,
      soonerByMs: Math.round(soonerByMs),
    });
    requestCycle();
  }

  /**
   * Removes hosts of the roster that never reported and hold no lease any more, so that
   * the next leader need not wait for them.
   */
  private removeExpiredHosts(now: Monotonic): void {
    const { options, hosts } = this.parts;
    for (const host of options.gate.takeExpired(now)) {
      if (hosts.get(host)) continue;
      const instance = options.roster.recordedInstance(host);
      this.forgetHost(host, instance, "never-reported");
    }
  }

  private forgetHost(
    host: HostId,
    instance: WorkerInstance | undefined,
    reason: string,
  ): void {
    const { gate, logger, roster } = this.parts.options;
    logger.warn("host.gone", { host, instance, reason });
    gate.recordReport(host);
    roster.remove(host);
  }

  /**
   * Handles a new incarnation of the worker: the runs of the previous one are lost, and
   * its failures do not count against the new one.
   */
  replaceWorker(
    entry: HostEntry,
    { worker, lostRuns }: Pick<HostReport, "worker" | "lostRuns">,
  ): void {
    const { crashTracker, ejector } = this.parts;
    const { hostState } = entry;
    crashTracker.handleLostRuns(entry, "crashed", "worker-replaced", lostRuns);
    hostState.replaceWorker(worker);
    ejector.forget(hostState.host);
  }

  private checkRuns(entry: HostEntry, now: Monotonic): void {
    const { options, runStopper, ejector } = this.parts;
    const { host, runs: activeRuns } = entry.hostState;
    if (!options.mayDecide() || !entry.session) return;
    const { policy } = options;
    runStopper.orderDueStops(entry);
    if (policy.movesFromSlowHosts && this.hasFasterHost(entry)) {
      this.moveFromSlowHost(entry, now);
    }
    const knownUntil = lastKnownActivityAt(entry, now);
    for (const run of activeRuns.values()) {
      if (run.phase !== "running") continue;
      if (policy.movesCrawling && shouldMove(run, host, knownUntil)) {
        avoidHost(run.task, host);
        runStopper.stop(entry, run, "crawling");
        continue;
      }
      if (policy.movesStalled && hasStalled(run, knownUntil)) {
        avoidHost(run.task, host);
        ejector.report({ host, ok: false });
        runStopper.stop(entry, run, "stalled");
      }
    }
  }

  private hasFasterHost({ hostState }: HostEntry): boolean {
    return [...this.parts.hosts.all()].some(
      (other) =>
        other.session !== undefined &&
        !other.hostState.worker.draining &&
        !this.parts.options.isEvacuated(other.hostState.availabilityZone) &&
        other.hostState.slowness + SLOWNESS.minAdvantage < hostState.slowness,
    );
  }

  private moveFromSlowHost(entry: HostEntry, now: Monotonic): void {
    const { hosts, runStopper } = this.parts;
    for (const run of runsToMove(entry, hosts, now)) {
      avoidHost(run.task, entry.hostState.host);
      runStopper.stop(entry, run, "slow-host");
    }
  }
}

/** Lasting tasks of a silent host have been without a run since its last report. */
const recordUnplaced = ({ hostState }: HostEntry): void => {
  for (const { task } of hostState.runs.values()) {
    const { step } = task;
    if (!step.spec.lasting) continue;
    const since = step.unplacedSince ?? Infinity;
    step.unplacedSince = Math.min(since, hostState.reportReceivedAt);
  }
};

/**
 * Returns the time up to which the activity of the host's runs is known. A silent host
 * may still make progress; measured against the current time, its runs would be stopped
 * as stalled.
 */
const lastKnownActivityAt = (
  { hostState }: HostEntry,
  now: Monotonic,
): Monotonic =>
  now - hostState.reportReceivedAt < ENGINE.missedReportMs
    ? now
    : hostState.reportReceivedAt;

/**
 * Whether the task crawls on the host, saves checkpoints, and was not moved off that
 * host before.
 */
const shouldMove = (
  run: ActiveRun,
  host: HostId,
  knownUntil: Monotonic,
): boolean => {
  const { task, crawlingSince } = run;
  if (!task.step.spec.checkpointing || crawlingSince === undefined)
    return false;
  if (task.avoidedHosts.includes(host)) return false;
  return knownUntil - crawlingSince > ENGINE.crawlMs;
};

const hasStalled = (run: ActiveRun, knownUntil: Monotonic): boolean => {
  const { kind } = interferenceProfileOf(run.task);
  if (run.task.step.spec.lasting) return false;
  const limit = kind === "filling" ? ENGINE.fillingStallMs : ENGINE.stallMs;
  return knownUntil - run.progressedAt > limit;
};
