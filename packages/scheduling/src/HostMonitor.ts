/** Detects hosts that are silent, and runs that are stalled or slow. */

import type { HostId, Monotonic, WorkerInstance } from "@rackspan/common";
import {
  avoidHost,
  natureOf,
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
  leastChangeMs: 150,
} as const;

export interface HostMonitorOptions extends EngineParts {
  readonly crashes: CrashTracker;
}

export class HostMonitor {
  constructor(private readonly parts: HostMonitorOptions) {}

  check(): void {
    const now = this.parts.options.clock.monotonic();
    this.dropExpiredHosts(now);
    for (const entry of [...this.parts.hosts.all()]) {
      if (now >= entry.ledger.leasesExpireBy) {
        noteUnplaced(entry);
        this.removeHost(entry, "silent", "lease-over");
      } else this.watchRuns(entry, now);
    }
  }

  /**
   * Returns when the leases of the next host expire if it does not report before;
   * Infinity without any.
   */
  nextLeaseExpiry(): Monotonic {
    const { options, hosts } = this.parts;
    const ledgers = [...hosts.all()].map(({ ledger }) => ledger.leasesExpireBy);
    return Math.min(options.gate.nextLeaseExpiry, ...ledgers);
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
    const { hosts, ejector, crashes } = this.parts;
    const { host, instance } = entry.ledger;
    crashes.handleLostRuns(entry, loss, reason, lostRuns);
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
    const { options, hosts, requestCycle: requestPass } = this.parts;
    const { gate, clock, logger } = options;
    const now = clock.monotonic();
    const overBy = now + overInMs;
    const ledger = hosts.get(host)?.ledger;
    if (ledger && gate.unreported(now).includes(host)) return;
    const soonerByMs = ledger
      ? ledger.recordSilence(overBy)
      : gate.recordSilence(host, overBy);
    if (Math.abs(soonerByMs) < SILENCE.leastChangeMs) return;
    logger.info("host.silent", {
      host,
      overInMs,
      soonerByMs: Math.round(soonerByMs),
    });
    requestPass();
  }

  /**
   * Removes hosts of the roster that never reported and hold no lease any more, so that
   * the next leader need not wait for them.
   */
  private dropExpiredHosts(now: Monotonic): void {
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
    const { crashes, ejector } = this.parts;
    const { ledger } = entry;
    crashes.handleLostRuns(entry, "crashed", "worker-replaced", lostRuns);
    ledger.replaceWorker(worker);
    ejector.forget(ledger.host);
  }

  private watchRuns(entry: HostEntry, now: Monotonic): void {
    const { options, stops, ejector } = this.parts;
    const { host, runs: active } = entry.ledger;
    if (!options.mayDecide() || !entry.session) return;
    const { policy } = options;
    stops.orderDueStops(entry);
    if (policy.movesFromSlowHosts && this.hasFasterHost(entry)) {
      this.moveFromSlowHost(entry, now);
    }
    const shownUntil = lastShownAt(entry, now);
    for (const run of active.values()) {
      if (run.phase !== "running") continue;
      if (policy.movesCrawling && shouldLeave(run, host, shownUntil)) {
        avoidHost(run.task, host);
        stops.stop(entry, run, "crawling");
        continue;
      }
      if (policy.movesStalled && hasStalled(run, shownUntil)) {
        avoidHost(run.task, host);
        ejector.report({ host, ok: false });
        stops.stop(entry, run, "stalled");
      }
    }
  }

  private hasFasterHost({ ledger }: HostEntry): boolean {
    return [...this.parts.hosts.all()].some(
      (other) =>
        other.session !== undefined &&
        !other.ledger.worker.draining &&
        !this.parts.options.isEvacuated(other.ledger.availabilityZone) &&
        other.ledger.slowness + SLOWNESS.minAdvantage < ledger.slowness,
    );
  }

  private moveFromSlowHost(entry: HostEntry, now: Monotonic): void {
    const { hosts, stops } = this.parts;
    for (const run of runsToMove(entry, hosts, now)) {
      avoidHost(run.task, entry.ledger.host);
      stops.stop(entry, run, "slow-host");
    }
  }
}

/** Lasting tasks of a silent host have been without a run since its last report. */
const noteUnplaced = ({ ledger }: HostEntry): void => {
  for (const { task } of ledger.runs.values()) {
    const { step } = task;
    if (!step.spec.lasting) continue;
    const since = step.unplacedSince ?? Infinity;
    step.unplacedSince = Math.min(since, ledger.reportReceivedAt);
  }
};

/**
 * Returns the time up to which the activity of the host's runs is known. A silent host
 * may still make progress; measured against the current time, its runs would be stopped
 * as stalled.
 */
const lastShownAt = ({ ledger }: HostEntry, now: Monotonic): Monotonic =>
  now - ledger.reportReceivedAt < ENGINE.missedReportMs
    ? now
    : ledger.reportReceivedAt;

/**
 * Whether the task crawls on the host, saves checkpoints, and was not moved off that
 * host before.
 */
const shouldLeave = (
  run: ActiveRun,
  host: HostId,
  shownUntil: Monotonic,
): boolean => {
  const { task, crawlingSince } = run;
  if (!task.step.spec.checkpointing || crawlingSince === undefined)
    return false;
  if (task.avoidedHosts.includes(host)) return false;
  return shownUntil - crawlingSince > ENGINE.crawlMs;
};

const hasStalled = (run: ActiveRun, shownUntil: Monotonic): boolean => {
  const { kind } = natureOf(run.task);
  if (run.task.step.spec.lasting) return false;
  const limit = kind === "filling" ? ENGINE.fillingStallMs : ENGINE.stallMs;
  return shownUntil - run.progressedAt > limit;
};
