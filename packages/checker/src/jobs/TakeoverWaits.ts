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

const WAITS = {
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

export interface TakeoverWaitsOptions {
  readonly clock: Clock;
  readonly history: RunHistory;
  readonly hosts: () => readonly HostModel[];
  readonly leader: () => LeaderModel | undefined;
  /** Whether the task is to run: its job was not cancelled, and has not ended. */
  readonly isWanted: (task: JobTaskId) => boolean;
}

export class TakeoverWaits {
  private lost: LostRun[] = [];
  /** Since when the leader could know that nothing is hidden; undefined while it cannot. */
  private knownSince: Monotonic | undefined;
  private lastLeader: LeaderModel | undefined;

  constructor(private readonly options: TakeoverWaitsOptions) {}

  /** The worker has just fallen silent. @param runs that were under way there */
  noteSilent(host: HostModel, runs: readonly RunSeen[]): void {
    const { silentSince } = host.worker;
    if (silentSince === undefined) return;
    const lost = runs.filter((run) => !this.wasLostBefore(run));
    for (const seen of lost) {
      this.lost.push({ seen, host, silentSince, orderedAt: -Infinity });
    }
  }

  noteOrdered(task: JobTaskId): void {
    const now = this.options.clock.monotonic();
    for (const run of this.lost) {
      if (run.seen.task === task) run.orderedAt = now;
    }
  }

  /** Is called every few milliseconds. */
  look(): void {
    const now = this.options.clock.monotonic();
    const leader = this.options.leader();
    if (leader !== this.lastLeader) this.knownSince = undefined;
    this.lastLeader = leader;
    if (leader && this.isKnownTo(leader, now)) this.knownSince ??= now;
    else this.knownSince = undefined;
    this.lost = this.lost.filter((run) => this.isOpen(run));
    const { knownSince } = this;
    if (knownSince === undefined) return;
    const isLate = (run: LostRun): boolean =>
      now - Math.max(knownSince, orderOverBy(run)) > WAITS.startMs;
    for (const run of this.lost.filter(isLate)) this.complain(run, knownSince);
    this.lost = this.lost.filter((run) => !isLate(run));
  }

  /** Tasks that were lost before may be suspected, and wait for a host of their own. */
  private wasLostBefore(lost: RunSeen): boolean {
    const runs = this.options.history.runsOf(lost.task);
    return runs.some((run) => run !== lost && wasLost(run));
  }

  private isKnownTo(leader: LeaderModel, now: Monotonic): boolean {
    if (!leader.leads) return false;
    return this.options.hosts().every((host) => {
      if (!host.isAttachedTo(leader)) return false;
      const { silentSince, heardSince, losesCalls } = host.worker;
      if (losesCalls) return false;
      if (silentSince === undefined) return now - heardSince > WAITS.rejoinMs;
      const grantsOverAt = leader.grantsOverAt(host.host);
      return now >= Math.max(host.leasesOverBy, grantsOverAt);
    });
  }

  /** Whether its worker is silent on, and its task has no later run. */
  private isOpen({ seen, host, silentSince }: LostRun): boolean {
    const { history, isWanted } = this.options;
    if (host.worker.silentSince !== silentSince) return false;
    if (!isWanted(seen.task)) return false;
    return history.runsOf(seen.task).at(-1) === seen;
  }

  private complain({ seen, host }: LostRun, knownSince: Monotonic): void {
    const { history, clock } = this.options;
    const silentSince = Math.round(host.worker.silentSince ?? 0);
    const detail = `${seen.task}#${seen.run} at ${seen.host}, silent since ${silentSince}, known to be over since ${Math.round(knownSince)}`;
    history.add("waits", clock.monotonic(), detail);
  }
}

/** When it shows whether the order has come to anything. */
const orderOverBy = ({ orderedAt }: LostRun): Monotonic =>
  latestLeaseExpiry(orderedAt, ENGINE.startLeaseMs) + ENGINE.missedReportMs;
