/** Starts the threads of benchmarks and exchanges messages with them. */

import { Worker } from "node:worker_threads";
import type { LoadOptions, LoadResult } from "./loadWorker.js";
import type { RoleOptions, RoleReady, RoleUsage } from "./roleWorker.js";

const nextMessage = <T>(worker: Worker): Promise<T> =>
  new Promise((resolve, reject) => {
    const onMessage = (message: T): void => {
      worker.off("error", reject);
      resolve(message);
    };
    worker.once("message", onMessage);
    worker.once("error", reject);
  });

export const runLoad = async (order: LoadOptions): Promise<LoadResult> => {
  const worker = new Worker(new URL("./loadWorker.js", import.meta.url), {
    workerData: order,
  });
  const result = await nextMessage<LoadResult>(worker);
  await worker.terminate();
  return result;
};

/** A role of a benchmark site that runs on its own thread. */
export class RoleThread {
  private constructor(
    private readonly worker: Worker,
    readonly ready: RoleReady,
  ) {}

  static async start(order: RoleOptions): Promise<RoleThread> {
    const worker = new Worker(new URL("./roleWorker.js", import.meta.url), {
      workerData: order,
    });
    return new RoleThread(worker, await nextMessage<RoleReady>(worker));
  }

  usage(): Promise<RoleUsage> {
    const answer = nextMessage<RoleUsage>(this.worker);
    this.worker.postMessage("usage");
    return answer;
  }

  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
