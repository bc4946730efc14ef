/** Stand-in of a worker agent: runs stand-in programs under leases. */

import { z } from "zod";
import {
  countSchema,
  idSchema,
  resourcesSchema,
  type Incarnation,
  type Resources,
  type Sequence,
  type TaskId,
} from "@rackspan/common";
import {
  taskNotesSchema,
  type UsageSample,
  type WorkerTask,
} from "@rackspan/ports";
import { programSchema } from "@rackspan/protocol";
import { JsonServer, type JsonAnswer, type JsonRequest } from "./JsonServer.js";
import { PROGRAMS } from "./programs.js";
import type { RunningProgram } from "./programTypes.js";
import type { RequestLedger } from "./RequestLedger.js";
import type { TaskRun, TaskLedger } from "./TaskLedger.js";

export interface WorkerOptions {
  readonly name: string;
  readonly capacity: Resources;
  readonly longestLeaseMs: number;
  readonly tasks: TaskLedger;
  readonly requests: RequestLedger;
}

interface WorkerTaskRun {
  status: WorkerTask;
  readonly program: RunningProgram;
  readonly ledger: TaskRun;
  leaseTimer: NodeJS.Timeout;
}

const owned = { owner: idSchema<Incarnation>() };
const ownerSchema = z.object(owned);
const taskSchema = z.object({ ...owned, task: idSchema<TaskId>() });
const startSchema = z.object({
  ...owned,
  task: idSchema<TaskId>(),
  program: programSchema,
  resources: resourcesSchema,
  leaseMs: z.number().min(1),
  fencingToken: countSchema<Sequence>(),
  checkpoint: z.string().optional(),
  notes: taskNotesSchema,
});
const renewSchema = z.object({
  ...owned,
  tasks: z.array(idSchema<TaskId>()),
  leaseMs: z.number().min(1),
});
const throttleSchema = z.object({
  ...owned,
  task: idSchema<TaskId>(),
  share: z.number().min(0.01).max(1),
});
const stopSchema = z.object({
  ...owned,
  task: idSchema<TaskId>(),
  checkpoint: z.boolean(),
});

class RefusedError extends Error {}

export class WorkerStandin {
  readonly server = new JsonServer((request) => this.handle(request));
  /** Whether every started task fails at once, as on a broken host. */
  failsEveryStart = false;
  /** Peak of the resources of all running tasks, to compare with the capacity. */
  peak: Resources = { processors: 0, memoryMiB: 0, accelerators: 0 };
  private owner: Incarnation | undefined;
  private readonly taskRuns = new Map<TaskId, WorkerTaskRun>();
  /** Tasks that were stopped before they were started: a late start is refused. */
  private readonly stoppedBeforeStart = new Set<TaskId>();

  constructor(private readonly options: WorkerOptions) {}

  /** Tasks that are running. */
  get running(): readonly TaskId[] {
    return [...this.taskRuns.values()]
      .filter(({ status }) => status.state === "running")
      .map(({ status }) => status.task);
  }

  /** Ends all tasks and closes the server at once, as the loss of the host does. */
  async kill(): Promise<void> {
    for (const task of this.taskRuns.values()) this.end(task, "lapsed");
    this.taskRuns.clear();
    await this.server.close();
  }

  private async handle({ url, body }: JsonRequest): Promise<JsonAnswer> {
    try {
      return { body: await this.dispatch(url.pathname, body) };
    } catch (err) {
      if (err instanceof RefusedError)
        return { status: 409, body: { error: err.message } };
      throw err;
    }
  }

  private dispatch(path: string, body: unknown): unknown {
    switch (path) {
      case "/owner":
        this.owner = ownerSchema.parse(body).owner;
        return this.state();
      case "/list":
        this.checkOwner(ownerSchema.parse(body));
        return this.state();
      case "/tasks":
        return this.start(startSchema.parse(body));
      case "/renew":
        return this.renew(renewSchema.parse(body));
      case "/stop":
        return this.stop(stopSchema.parse(body));
      case "/throttle":
        return this.throttle(throttleSchema.parse(body));
      case "/forget":
        return this.forget(taskSchema.parse(body));
      case "/usage":
        return { samples: this.usage() };
      default:
        throw new RefusedError(`unknown path: ${path}`);
    }
  }

  private state() {
    const { capacity, longestLeaseMs } = this.options;
    const tasks = [...this.taskRuns.values()].map(({ status }) => status);
    return { capacity, longestLeaseMs, tasks };
  }

  private checkOwner({ owner }: { readonly owner: Incarnation }): void {
    if (owner !== this.owner)
      throw new RefusedError("another side process owns this worker");
  }

  private async start(order: z.infer<typeof startSchema>): Promise<WorkerTask> {
    this.checkOwner(order);
    const known = this.taskRuns.get(order.task);
    if (known) return known.status;
    if (this.stoppedBeforeStart.has(order.task))
      throw new RefusedError("the task was stopped before it was started");
    const run = PROGRAMS[order.program.name];
    if (!run) throw new RefusedError(`unknown program: ${order.program.name}`);
    const unit = order.notes["unit"] ?? order.task;
    const ledger = this.options.tasks.recordStart(
      unit,
      order.task,
      this.options.name,
    );
    const program = await run({
      unit,
      worker: this.options.name,
      args: order.program.args,
      checkpoint: order.checkpoint,
      tasks: this.options.tasks,
      requests: this.options.requests,
      onEnd: (end, detail) => {
        const task = this.taskRuns.get(order.task);
        if (task) this.end(task, end, detail);
      },
    });
    const task: WorkerTaskRun = {
      program,
      ledger,
      leaseTimer: this.startLeaseTimer(order.task, order.leaseMs),
      status: {
        task: order.task,
        state: "running",
        address: program.address,
        resources: order.resources,
        fencingToken: order.fencingToken,
        notes: order.notes,
      },
    };
    this.taskRuns.set(order.task, task);
    this.updatePeak();
    if (this.failsEveryStart)
      this.end(task, "failed", "this worker is set to fail every task");
    return task.status;
  }

  private renew({ owner, tasks, leaseMs }: z.infer<typeof renewSchema>) {
    this.checkOwner({ owner });
    for (const name of tasks) {
      const task = this.taskRuns.get(name);
      if (task?.status.state !== "running") continue;
      clearTimeout(task.leaseTimer);
      task.leaseTimer = this.startLeaseTimer(name, leaseMs);
    }
    return this.state();
  }

  private stop({ owner, task: name, checkpoint }: z.infer<typeof stopSchema>) {
    this.checkOwner({ owner });
    const task = this.taskRuns.get(name);
    if (!task) this.stoppedBeforeStart.add(name);
    if (task?.status.state !== "running") return {};
    const saved = checkpoint ? task.program.checkpoint() : undefined;
    this.end(
      task,
      saved === undefined ? "stopped" : "checkpointed",
      undefined,
      saved,
    );
    return {};
  }

  private throttle({
    owner,
    task: name,
    share,
  }: z.infer<typeof throttleSchema>) {
    this.checkOwner({ owner });
    this.taskRuns.get(name)?.program.throttle?.(share);
    return {};
  }

  private forget({ owner, task: name }: z.infer<typeof taskSchema>) {
    this.checkOwner({ owner });
    const task = this.taskRuns.get(name);
    if (task && task.status.state === "running")
      throw new RefusedError("the task is still running");
    this.taskRuns.delete(name);
    return {};
  }

  private end(
    task: WorkerTaskRun,
    state: WorkerTask["state"],
    detail?: string,
    checkpoint?: string,
  ): void {
    if (task.status.state !== "running") return;
    clearTimeout(task.leaseTimer);
    task.program.kill();
    task.status = { ...task.status, state, detail, checkpoint };
    this.options.tasks.recordEnd(task.ledger, state);
  }

  private startLeaseTimer(name: TaskId, leaseMs: number): NodeJS.Timeout {
    const bounded = Math.min(leaseMs, this.options.longestLeaseMs);
    return setTimeout(() => {
      const task = this.taskRuns.get(name);
      if (task) this.end(task, "lapsed", "its lease expired");
    }, bounded).unref();
  }

  private updatePeak(): void {
    const sum = { processors: 0, memoryMiB: 0, accelerators: 0 };
    for (const { status } of this.taskRuns.values()) {
      if (status.state !== "running") continue;
      sum.processors += status.resources.processors;
      sum.memoryMiB += status.resources.memoryMiB;
      sum.accelerators += status.resources.accelerators;
    }
    this.peak = {
      processors: Math.max(this.peak.processors, sum.processors),
      memoryMiB: Math.max(this.peak.memoryMiB, sum.memoryMiB),
      accelerators: Math.max(this.peak.accelerators, sum.accelerators),
    };
  }

  private usage(): readonly UsageSample[] {
    return this.running.map((task) => {
      const { resources } = (this.taskRuns.get(task) as WorkerTaskRun).status;
      const { processors, memoryMiB } = resources;
      return { task, processors, memoryMiB, takenAt: Date.now() };
    });
  }
}
