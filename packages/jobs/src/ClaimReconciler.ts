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
  private readonly presence: PresenceTracker<string>;
  private readonly inProgress = new Set<string>();

  constructor(private readonly options: ClaimReconcilerOptions) {
    this.presence = new PresenceTracker(options.clock);
  }

  /** Looks at every host once; called whenever something changed. */
  sweep(): void {
    const pending = new Set<string>();
    for (const view of this.options.hosts.views()) {
      if (view.ready) this.reconcileHost(view, pending);
    }
    this.presence.retainOnly(pending);
  }

  private reconcileHost(view: HostView, pending: Set<string>): void {
    const control = this.options.hosts.control(view.host);
    if (!control) return;
    const reported = new Map(view.tasks.map((status) => [status.task, status]));
    for (const status of view.tasks)
      this.checkTask(status, view, control, pending);
    for (const unit of this.options.fold.units.claimedBy(view.host)) {
      this.checkClaim(unit, view, control, reported, pending);
    }
  }

  /** A task that the side reports: is it the one that the log says should run there? */
  private checkTask(
    status: TaskStatus,
    view: HostView,
    control: HostControl,
    pending: Set<string>,
  ): void {
    const { fold } = this.options;
    // A fold that has not seen the claim yet knows nothing about the task.
    if (fold.sequence < status.fencingToken) return;
    const unit = fold.units.get(status.unit);
    const isCurrent =
      unit?.phase === "claimed" &&
      unit.attempt === status.attempt &&
      unit.claim?.host === view.host;
    if (status.state === "ended") {
      if (isCurrent)
        this.runAction(`end ${status.task}`, pending, () =>
          this.recordEnd(status, view.host),
        );
      else
        this.runAction(`ack ${status.task}`, pending, () =>
          control.acknowledge([status.task]),
        );
      return;
    }
    if (!isCurrent && status.state !== "stopping") {
      this.runAction(`stop ${status.task}`, pending, () =>
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
    pending: Set<string>,
  ): void {
    const task = taskIdOf(unit.id, unit.attempt);
    const status = reported.get(task);
    if (!status) {
      this.freeIfNeverStarted(unit, task, view, control, pending);
      return;
    }
    if (status.state !== "running") return;
    if (!unit.wanted)
      this.runAction(`stop ${task}`, pending, () => control.stop(task, false));
    else if (this.mayReplace(unit)) {
      this.runAction(`replace ${task}`, pending, () =>
        control.stop(task, true),
      );
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
    pending: Set<string>,
  ): void {
    if (unit.claim?.generation !== view.generation) return;
    const name = `never ${task}`;
    pending.add(name);
    if (this.presence.observe(name) < this.options.notStartedMs) return;
    this.runAction(name, pending, async () => {
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
  private runAction(
    name: string,
    pending: Set<string>,
    action: () => Promise<void>,
  ): void {
    const { ownership, takeoverMs, logger } = this.options;
    pending.add(name);
    if (this.inProgress.has(name)) return;
    if (this.presence.observe(name) < ownership.rank(name) * takeoverMs) return;
    this.inProgress.add(name);
    action()
      .catch((err: unknown) =>
        logger.warn("claim.action-failed", {
          action: name,
          error: describeError(err),
        }),
      )
      .finally(() => this.inProgress.delete(name));
  }
}
