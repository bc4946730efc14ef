/**
 * Reconciles the tasks that sides report with the claims on the log: records the ends
 * of tasks, stops tasks without a current claim, and frees claims whose tasks never
 * started.
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
  /** A claim is freed when its side has not listed the task for this long, milliseconds. */
  readonly notStartedMs: number;
  readonly appendTimeoutMs: number;
}

export class ClaimReconciler {
  /** For how long each action has been pending. */
  private readonly presence: PresenceTracker<string>;
  private readonly inProgress = new Set<string>();

  constructor(private readonly options: ClaimReconcilerOptions) {
    this.presence = new PresenceTracker(options.clock);
  }

  /** Reconciles every host once; called after each change. */
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

  /**
   * Checks a reported task against the log: records or acknowledges its end, and stops
   * the task if the log holds no current claim for it on this host.
   */
  private checkTask(
    status: TaskStatus,
    view: HostView,
    control: HostControl,
    pending: Set<string>,
  ): void {
    const { fold } = this.options;
    // The fold has not applied the entry of the task's claim yet.
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

  /**
   * Checks a claim against the report: frees it if its task never started, and stops
   * the task if its unit is not wanted any more or has a newer specification.
   */
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

  /**
   * Whether the unit's task has an outdated specification and may be replaced now. A
   * changed declaration is rolled out one replica at a time.
   */
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

  /** Runs the action if it is this entry's turn and the same action is not in progress. */
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
