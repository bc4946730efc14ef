/**
 * Logs tasks that have waited for long, with the cause. Without these lines no log
 * entry names a task between the end of a run and its next start, however long that
 * takes.
 */

import type { HostId, Monotonic } from "@rackspan/common";
import type { JobTask, StepRun } from "@rackspan/jobs";
import type { EngineParts } from "./engineParts.js";
import type { TrackedJob } from "./engineTypes.js";
import { countTakeoverWaits } from "./countTakeoverWaits.js";
import { explainWait } from "./explainWait.js";
import { knownPlacementOf } from "./PlacementLog.js";

const WAIT = {
  /** Interval of the checks, milliseconds. */
  checkIntervalMs: 1_000,
  /** A wait is logged once it is this long, milliseconds. */
  logAfterMs: 3_000,
  /** Interval at which the same wait is logged again, milliseconds. */
  logIntervalMs: 5_000,
  /** Maximum waits logged in one check; the longest are logged. */
  maxLogged: 6,
  /** Maximum hosts named that have not reported since the takeover. */
  maxNamedHosts: 4,
} as const;

const KINDS = ["lasting", "gang", "filling", "plain"] as const;

type WaitKind = (typeof KINDS)[number];

const kindOf = ({ spec }: StepRun): WaitKind => {
  if (spec.lasting) return "lasting";
  if (spec.gang) return "gang";
  return spec.filling ? "filling" : "plain";
};

/** The task of a step that is to be placed next. */
interface NextTask {
  readonly tracked: TrackedJob;
  readonly task: JobTask;
  readonly since: Monotonic;
  loggedAt: Monotonic;
}

export class WaitMonitor {
  private readonly nextTasks = new Map<StepRun, NextTask>();
  private checkedAt: Monotonic = -Infinity;
  /** Whether the takeover gate was open at the last check. */
  private isTakeoverOver = false;

  constructor(private readonly parts: EngineParts) {}

  /** Called at each tick of the engine. */
  check(): void {
    const { clock } = this.parts.options;
    const now = clock.monotonic();
    if (now - this.checkedAt < WAIT.checkIntervalMs) return;
    this.checkedAt = now;
    this.updateWaits(now);
    this.setGauges(now);
    this.reportTakeover(now);
    const due = [...this.nextTasks.values()]
      .filter(({ since }) => now - since >= WAIT.logAfterMs)
      .filter(({ loggedAt }) => now - loggedAt >= WAIT.logIntervalMs)
      .sort((a, b) => a.since - b.since)
      .slice(0, WAIT.maxLogged);
    for (const wait of due) this.log(wait, now);
  }

  /**
   * Resets the gauges when this process is no longer the leader; the new leader reports
   * the waits.
   */
  stop(): void {
    this.nextTasks.clear();
    const { clock, metrics, policy } = this.parts.options;
    this.setGauges(clock.monotonic());
    if (!policy.recordsPlacements) return;
    metrics.gauge("takeover_waiting_tasks", 0);
    metrics.gauge("takeover_unreported_hosts", 0);
  }

  /** Logs how many tasks wait for which unreported hosts, once per check. */
  private reportTakeover(now: Monotonic): void {
    const { jobs, options } = this.parts;
    const { gate, policy, metrics, logger } = options;
    if (!policy.recordsPlacements || this.isTakeoverOver) return;
    this.isTakeoverOver = gate.isOpen(now);
    const waits = countTakeoverWaits(jobs.active, gate, now);
    metrics.gauge("takeover_waiting_tasks", waits.tasks);
    metrics.gauge("takeover_unreported_hosts", gate.unreported(now).length);
    if (this.isTakeoverOver) return;
    const named = waits.byHost.slice(0, WAIT.maxNamedHosts);
    logger.info("takeover.waits", {
      tasks: waits.tasks,
      unknown: waits.unknown,
      unheard: describeUnreported(gate.unreported(now)),
      hosts:
        named.map(([host, tasks]) => `${host}:${tasks}`).join(",") || undefined,
    });
  }

  private updateWaits(now: Monotonic): void {
    const waiting = this.nextTasksOf();
    for (const [step, next] of waiting) {
      const known = this.nextTasks.get(step);
      if (!known || (known.task !== next.task && !this.isStarting(known.task)))
        this.nextTasks.set(step, { ...next, since: now, loggedAt: -Infinity });
    }
    for (const step of this.nextTasks.keys())
      if (!waiting.has(step)) this.nextTasks.delete(step);
  }

  /**
   * Returns the next task of each step that waits. A task that is placed waits until a
   * worker confirms its start, which may be refused any number of times.
   */
  private nextTasksOf(): Map<StepRun, Pick<NextTask, "tracked" | "task">> {
    const { jobs, hosts, options } = this.parts;
    const next = new Map<StepRun, Pick<NextTask, "tracked" | "task">>();
    for (const tracked of jobs.active) {
      for (const step of tracked.job.runnableSteps(options.clock.now())) {
        const [task] = step.waiting;
        if (task) next.set(step, { tracked, task });
      }
    }
    for (const { hostState } of hosts.all()) {
      for (const { task } of hostState.runs.values()) {
        const tracked = jobs.get(task.step.job.id);
        if (!tracked || next.has(task.step) || !this.isStarting(task)) continue;
        next.set(task.step, { tracked, task });
      }
    }
    return next;
  }

  /** Whether the task is placed and no worker has confirmed its run. */
  private isStarting(task: JobTask): boolean {
    const phase = this.parts.hosts.placementOf(task)?.run.phase;
    return phase === "unsent" || phase === "starting" || phase === "unsure";
  }

  private setGauges(now: Monotonic): void {
    const { metrics } = this.parts.options;
    const longest = new Map<WaitKind, number>();
    for (const [step, { since }] of this.nextTasks) {
      const kind = kindOf(step);
      longest.set(kind, Math.max(longest.get(kind) ?? 0, now - since));
    }
    for (const kind of KINDS) {
      metrics.gauge("longest_wait_ms", longest.get(kind) ?? 0, { kind });
    }
  }

  private log(wait: NextTask, now: Monotonic): void {
    const { options, hosts, ejector, placer, permitTracker } = this.parts;
    const { tracked, task, since } = wait;
    const { step } = task;
    const { gate } = options;
    const { firstSeenAt } = tracked;
    const awaited = gate.awaitedHosts(firstSeenAt, now, knownPlacementOf(task));
    const queue = options.queueOf(tracked.job.accepted.spec.queue);
    const terms = queue ?? tracked.job.terms;
    const { cause, hosts: counts } = explainWait({
      step,
      service: terms.service,
      placer,
      permitStateOf:
        terms.permitRule && ((host) => permitTracker.stateOf(step, host)),
      mayStart: awaited.length === 0,
      entries: [...hosts.all()],
      ejector,
      isEvacuated: options.isEvacuated,
      now,
    });
    wait.loggedAt = now;
    options.logger.info("task.waits", {
      task: task.id,
      kind: kindOf(step),
      waitedMs: Math.round(now - since),
      waiting: step.waiting.size,
      cause: this.isStarting(task) ? "starting" : cause,
      ...counts,
      unheard: cause === "take-over" ? describeUnreported(awaited) : undefined,
    });
  }
}

const describeUnreported = (hosts: readonly HostId[]): string => {
  const named = hosts.slice(0, WAIT.maxNamedHosts).join(",");
  return `${hosts.length}: ${named}`;
};
