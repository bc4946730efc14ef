/**
 * Checks how long tasks of silent workers wait for their next run while leaders change. They
 * may wait until all leases sent to those workers have expired and all sides have reported
 * this to one leader; from then on the next run must start within a bounded time.
 */

import type { Clock, JobTaskId, Monotonic } from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";
import { ENGINE } from "@rackspan/scheduling";
import type { HostModel } from "./HostModel.js";
import type { LeaderModel } from "./LeaderModel.js";
import { wasLost, type RunHistory, type ObservedRun } from "./RunHistory.js";

const DELAY_LIMITS = {
  /** Time for the report to a leader, its next scheduling cycle and the order, milliseconds. */
  startMs: 700,
  /** Time within which a worker that is reachable again is polled and reported, milliseconds. */
  rejoinMs: 1_500,
} as const;

/** A run on a worker that has become silent. */
interface LostRun {
  readonly seen: ObservedRun;
  readonly host: HostModel;
  readonly silentSince: Monotonic;
  /** When a start of the task was last ordered. */
  orderedAt: Monotonic;
}

export interface RestartDelayCheckerOptions {
  readonly clock: Clock;
  readonly history: RunHistory;
  readonly hosts: () => readonly HostModel[];
  readonly leader: () => LeaderModel | undefined;
  /** Whether the task is to run: its job was not cancelled and has not ended. */
  readonly isWanted: (task: JobTaskId) => boolean;
}

export class RestartDelayChecker {
  private lost: LostRun[] = [];
  /** Since when the leader's status of all workers is complete; undefined while it is not. */
  private statusCompleteSince: Monotonic | undefined;
  private lastLeader: LeaderModel | undefined;

  constructor(private readonly options: RestartDelayCheckerOptions) {}

  /** Records a worker that has just become silent. @param runs its open runs */
  recordSilent(host: HostModel, runs: readonly ObservedRun[]): void {
    const { silentSince } = host.worker;
    if (silentSince === undefined) return;
    const lost = runs.filter((run) => !this.wasLostBefore(run));
    for (const seen of lost) {
      this.lost.push({ seen, host, silentSince, orderedAt: -Infinity });
    }
  }

  recordStartOrder(task: JobTaskId): void {
    const now = this.options.clock.monotonic();
    for (const run of this.lost) {
      if (run.seen.task === task) run.orderedAt = now;
    }
  }

  /** Checks the restart delays; called every few milliseconds. */
  check(): void {
    const now = this.options.clock.monotonic();
    const leader = this.options.leader();
    if (leader !== this.lastLeader) this.statusCompleteSince = undefined;
    this.lastLeader = leader;
    if (leader && this.hasCompleteStatus(leader, now))
      this.statusCompleteSince ??= now;
    else this.statusCompleteSince = undefined;
    this.lost = this.lost.filter((run) => this.isPending(run));
    const { statusCompleteSince } = this;
    if (statusCompleteSince === undefined) return;
    const isLate = (run: LostRun): boolean =>
      now - Math.max(statusCompleteSince, orderSettledBy(run)) >
      DELAY_LIMITS.startMs;
    for (const run of this.lost.filter(isLate))
      this.recordViolation(run, statusCompleteSince);
    this.lost = this.lost.filter((run) => !isLate(run));
  }

  /** A task that was lost before may be a suspect, which waits for a host of its own. */
  private wasLostBefore(lost: ObservedRun): boolean {
    const runs = this.options.history.runsOf(lost.task);
    return runs.some((run) => run !== lost && wasLost(run));
  }

  private hasCompleteStatus(leader: LeaderModel, now: Monotonic): boolean {
    if (!leader.canDecide) return false;
    return this.options.hosts().every((host) => {
      if (!host.isAttachedTo(leader)) return false;
      const { silentSince, reachableSince, dropsCalls } = host.worker;
      if (dropsCalls) return false;
      if (silentSince === undefined)
        return now - reachableSince > DELAY_LIMITS.rejoinMs;
      const grantsOverAt = leader.grantsExpireAt(host.host);
      return now >= Math.max(host.leasesExpireBy, grantsOverAt);
    });
  }

  /** Whether the worker is still silent and the task has no later run. */
  private isPending({ seen, host, silentSince }: LostRun): boolean {
    const { history, isWanted } = this.options;
    if (host.worker.silentSince !== silentSince) return false;
    if (!isWanted(seen.task)) return false;
    return history.runsOf(seen.task).at(-1) === seen;
  }

  private recordViolation(
    { seen, host }: LostRun,
    statusCompleteSince: Monotonic,
  ): void {
    const { history, clock } = this.options;
    const silentSince = Math.round(host.worker.silentSince ?? 0);
    const detail = `${seen.task}#${seen.run} at ${seen.host}, silent since ${silentSince}, known to have expired since ${Math.round(statusCompleteSince)}`;
    history.add("waits", clock.monotonic(), detail);
  }
}

/** When it is known whether the order has started a run. */
const orderSettledBy = ({ orderedAt }: LostRun): Monotonic =>
  latestLeaseExpiry(orderedAt, ENGINE.startLeaseMs) + ENGINE.missedReportMs;
