/**
 * Generates load from concurrent callers on a separate thread, so that its work is not
 * counted as the entry's. Runs as a worker thread; starts no process.
 */

import { Agent, request } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { LatencyRecorder } from "@rackspan/common";

export interface LoadOptions {
  readonly url: string;
  readonly connections: number;
  readonly durationMs: number;
  /** Offered requests per second; 0 runs a closed loop at the maximum rate. */
  readonly rate: number;
}

export interface LoadResult {
  readonly requests: number;
  readonly errors: number;
  readonly seconds: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const callOnce = (url: string, agent: Agent): Promise<boolean> =>
  new Promise((resolve) => {
    const req = request(url, { agent }, (res) => {
      res.resume();
      res.on("end", () => resolve(res.statusCode === 200));
      res.on("error", () => resolve(false));
    });
    req.on("error", () => resolve(false));
    req.end();
  });

const runLoad = async (order: LoadOptions): Promise<LoadResult> => {
  const agent = new Agent({ keepAlive: true, maxSockets: order.connections });
  const latency = new LatencyRecorder();
  const startedAt = performance.now();
  const end = startedAt + order.durationMs;
  let errors = 0;
  let issued = 0;
  const caller = async (): Promise<void> => {
    while (performance.now() < end) {
      // In an open loop latency counts from the due time of a request, not from its sending.
      const due =
        order.rate > 0
          ? startedAt + (issued++ / order.rate) * 1_000
          : performance.now();
      const waitMs = due - performance.now();
      if (waitMs > 0)
        await new Promise((resolve) => setTimeout(resolve, waitMs));
      if (!(await callOnce(order.url, agent))) errors += 1;
      latency.record(performance.now() - due);
    }
  };
  await Promise.all(Array.from({ length: order.connections }, caller));
  agent.destroy();
  return {
    requests: latency.count,
    errors,
    seconds: (performance.now() - startedAt) / 1_000,
    p50Ms: latency.quantile(0.5),
    p99Ms: latency.quantile(0.99),
  };
};

parentPort?.postMessage(await runLoad(workerData as LoadOptions));
