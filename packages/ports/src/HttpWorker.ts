/** Client of the worker agent's HTTP protocol (docs/INTERFACE.md, "Worker"). */

import { z } from "zod";
import type { Incarnation, TaskId } from "@rackspan/common";
import {
  ConnectError,
  JsonHttpClient,
  StatusError,
  type JsonCall,
  type Parser,
} from "@rackspan/protocol";
import {
  usageSampleSchema,
  WorkerRefusedError,
  workerStateSchema,
  workerTaskSchema,
  WorkerOutcomeUnknownError,
  type StartOrder,
  type UsageSample,
  type Worker,
  type WorkerState,
  type WorkerTask,
} from "./worker.js";

const doneSchema = z.object({});
const usageSchema = z.object({ samples: z.array(usageSampleSchema) });
const FIRST_SERVER_ERROR = 500;

export class HttpWorker implements Worker {
  private readonly http: JsonHttpClient;

  constructor(baseUrl: string) {
    this.http = new JsonHttpClient({ baseUrl });
  }

  takeOver(owner: Incarnation): Promise<WorkerState> {
    return this.post("/owner", { owner }, workerStateSchema);
  }

  list(owner: Incarnation): Promise<WorkerState> {
    return this.post("/list", { owner }, workerStateSchema);
  }

  start(owner: Incarnation, order: StartOrder): Promise<WorkerTask> {
    return this.post("/tasks", { owner, ...order }, workerTaskSchema);
  }

  renew(
    owner: Incarnation,
    tasks: readonly TaskId[],
    leaseMs: number,
  ): Promise<WorkerState> {
    return this.post("/renew", { owner, tasks, leaseMs }, workerStateSchema);
  }

  async stop(
    owner: Incarnation,
    task: TaskId,
    checkpoint: boolean,
  ): Promise<void> {
    await this.post("/stop", { owner, task, checkpoint }, doneSchema);
  }

  async throttle(
    owner: Incarnation,
    task: TaskId,
    share: number,
  ): Promise<void> {
    await this.post("/throttle", { owner, task, share }, doneSchema);
  }

  async forget(owner: Incarnation, task: TaskId): Promise<void> {
    await this.post("/forget", { owner, task }, doneSchema);
  }

  async usage(): Promise<readonly UsageSample[]> {
    const call = { method: "GET", path: "/usage" } as const;
    return (await this.call(call, usageSchema)).samples;
  }

  close(): void {
    this.http.close();
  }

  private post<T>(path: string, body: object, parser: Parser<T>): Promise<T> {
    return this.call({ method: "POST", path, body }, parser);
  }

  private async call<T>(call: JsonCall, parser: Parser<T>): Promise<T> {
    try {
      return await this.http.call(call, parser);
    } catch (err) {
      if (err instanceof ConnectError) throw new WorkerRefusedError(err.what);
      if (err instanceof StatusError && err.status < FIRST_SERVER_ERROR) {
        throw new WorkerRefusedError(err.body);
      }
      throw new WorkerOutcomeUnknownError(err);
    }
  }
}
