/**
 * Judges how long tasks of silent workers wait for their next run while leaders change:
 * until no lease that was sent to those workers lasts any more, and from then on only
 * until one leader has heard of it from all sides.
 */

import type { Clock, JobTaskId, Monotonic } from "@rackspan/common";
import { latestLeaseExpiry } from "@rackspan/leadership";
import { ENGINE } from "@rackspan/scheduling";
import type { HostModel } from "./HostModel.js";
import type { LeaderModel } from "./LeaderModel.js";
import { wasLost, type RunHistory, type RunSeen } from "./RunHistory.js";

const DELAY_LIMITS = {
  /** Time for a side to tell a leader, for its next pass and for the order; milliseconds. */
  startMs: 700,
  /** A worker that is heard again is looked at and reported within this, milliseconds. */
  rejoinMs: 1_500,
} as const;

/** A run on a worker that has fallen silent. */
interface LostRun {
  readonly seen: RunSeen;
  readonly host: HostModel;
  readonly silentSince: Monotonic;
  /** When a start of its task was last ordered. */
  orderedAt: Monotonic;
}

export interface RestartDelayCheckerOptions {
  readonly clock: Clock;
  readonly history: RunHistory;
  readonly hosts: () => readonly HostModel[];
  readonly leader: () => LeaderModel | undefined;
  /** Whether the task is to run: its job was not cancelled, and has not ended. */
  readonly isWanted: (task: JobTaskId) => boolean;
}

export class RestartDelayChecker {
  private lost: LostRun[] = [];
  /** Since when the leader could know that nothing is hidden; undefined while it cannot. */
  private statusCompleteSince: Monotonic | undefined;
  private lastLeader: LeaderModel | undefined;

  constructor(private readonly options: RestartDelayCheckerOptions) {}

  /** The worker has just fallen silent. @param runs that were under way there */
  recordSilent(host: HostModel, runs: readonly RunSeen[]): void {
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

  /** Is called every few milliseconds. */
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

  /** Tasks that were lost before may be suspected, and wait for a host of their own. */
  private wasLostBefore(lost: RunSeen): boolean {
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

  /** Whether its worker is silent on, and its task has no later run. */
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
    const detail = `${seen.task}#${seen.run} at ${seen.host}, silent since ${silentSince}, known to be over since ${Math.round(statusCompleteSince)}`;
    history.add("waits", clock.monotonic(), detail);
  }
}

/** When it shows whether the order has come to anything. */
const orderSettledBy = ({ orderedAt }: LostRun): Monotonic =>
  latestLeaseExpiry(orderedAt, ENGINE.startLeaseMs) + ENGINE.missedReportMs;
