/**
 * Holds what sides report against what the log says of the claims on them:
 * records ends, stops what must not run, and frees claims that never started.
 */

import {
  describeError,
  taskIdOf,
  type Clock,
  type HostId,
  type Logger,
  type Metrics,
  type TaskId,
} from "@rackspan/common";
import type { TaskStatus } from "@rackspan/protocol";
import {
  allReplicasClaimed,
  type Appender,
  type Fold,
  type Unit,
} from "@rackspan/state";
import { PresenceTracker } from "./PresenceTracker.js";
import type {
  HostControl,
  HostDirectory,
  HostView,
  Ownership,
} from "./types.js";

export interface ClaimReconcilerOptions {
  readonly fold: Fold;
  readonly appender: Appender;
  readonly hosts: HostDirectory;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly takeoverMs: number;
  /** A claim whose task is not seen at its side for this long never started. */
  readonly notStartedMs: number;
  readonly appendTimeoutMs: number;
}

export class ClaimReconciler {
  /** How long each report has waited for somebody to act on it. */
  private readonly pendingFor: PresenceTracker<string>;
  private readonly busy = new Set<string>();

  constructor(private readonly options: ClaimReconcilerOptions) {
    this.pendingFor = new PresenceTracker(options.clock);
  }

  /** Looks at every host once; called whenever something changed. */
  sweep(): void {
    const seen = new Set<string>();
    for (const view of this.options.hosts.views()) {
      if (view.ready) this.sweepHost(view, seen);
    }
    this.pendingFor.retainOnly(seen);
  }

  private sweepHost(view: HostView, seen: Set<string>): void {
    const control = this.options.hosts.control(view.host);
    if (!control) return;
    const reported = new Map(view.tasks.map((status) => [status.task, status]));
    for (const status of view.tasks)
      this.checkTask(status, view, control, seen);
    for (const unit of this.options.fold.units.claimedBy(view.host)) {
      this.checkClaim(unit, view, control, reported, seen);
    }
  }

  /** A task that the side reports: is it the one that the log says should run there? */
  private checkTask(
    status: TaskStatus,
    view: HostView,
    control: HostControl,
    seen: Set<string>,
  ): void {
    const { fold } = this.options;
    // A fold that has not seen the claim yet knows nothing about the task.
    if (fold.sequence < status.fencingToken) return;
    const unit = fold.units.get(status.unit);
    const current =
      unit?.phase === "claimed" &&
      unit.attempt === status.attempt &&
      unit.claim?.host === view.host;
    if (status.state === "ended") {
      if (current)
        this.act(`end ${status.task}`, seen, () =>
          this.recordEnd(status, view.host),
        );
      else
        this.act(`ack ${status.task}`, seen, () =>
          control.acknowledge([status.task]),
        );
      return;
    }
    if (!current && status.state !== "stopping") {
      this.act(`stop ${status.task}`, seen, () =>
        control.stop(status.task, false),
      );
    }
  }

  /** A claim on the host: does its task exist, and should it go on? */
  private checkClaim(
    unit: Unit,
    view: HostView,
    control: HostControl,
    reported: ReadonlyMap<TaskId, TaskStatus>,
    seen: Set<string>,
  ): void {
    const task = taskIdOf(unit.id, unit.attempt);
    const status = reported.get(task);
    if (!status) {
      this.freeIfNeverStarted(unit, task, view, control, seen);
      return;
    }
    if (status.state !== "running") return;
    if (!unit.wanted)
      this.act(`stop ${task}`, seen, () => control.stop(task, false));
    else if (this.mayReplace(unit)) {
      this.act(`replace ${task}`, seen, () => control.stop(task, true));
    }
  }

  /** A changed declaration is rolled out one replica at a time. */
  private mayReplace(unit: Unit): boolean {
    if (!unit.claim || unit.claim.specVersion >= unit.specVersion) return false;
    return allReplicasClaimed(this.options.fold, unit);
  }

  private freeIfNeverStarted(
    unit: Unit,
    task: TaskId,
    view: HostView,
    control: HostControl,
    seen: Set<string>,
  ): void {
    if (unit.claim?.generation !== view.generation) return;
    const name = `never ${task}`;
    seen.add(name);
    if (this.pendingFor.observe(name) < this.options.notStartedMs) return;
    this.act(name, seen, async () => {
      if ((await control.fenceTask(task)) === "held") return;
      const { id, attempt } = unit;
      const end = {
        type: "ended",
        unit: id,
        attempt,
        host: view.host,
        end: "never",
      } as const;
      await this.options.appender.submit(end, this.options.appendTimeoutMs);
      this.options.metrics.count("claims_freed", { reason: "never-started" });
    });
  }

  private async recordEnd(status: TaskStatus, host: HostId): Promise<void> {
    const { unit, attempt, end = "lost", detail, checkpoint } = status;
    const record = {
      type: "ended",
      unit,
      attempt,
      host,
      end,
      detail,
      checkpoint,
    } as const;
    await this.options.appender.submit(record, this.options.appendTimeoutMs);
  }

  /** Does it when it is this entry's turn, once at a time. */
  private act(
    name: string,
    seen: Set<string>,
    action: () => Promise<void>,
  ): void {
    const { ownership, takeoverMs, logger } = this.options;
    seen.add(name);
    if (this.busy.has(name)) return;
    if (this.pendingFor.observe(name) < ownership.rank(name) * takeoverMs)
      return;
    this.busy.add(name);
    action()
      .catch((err: unknown) =>
        logger.warn("claim.action-failed", {
          action: name,
          error: describeError(err),
        }),
      )
      .finally(() => this.busy.delete(name));
  }
}
