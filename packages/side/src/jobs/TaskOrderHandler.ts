/** Carries out the leader's orders at the worker and repeats calls without an answer. */

import {
  describeError,
  sleep,
  type Clock,
  type Epoch,
  type Logger,
  type Metrics,
  type WorkerInstance,
} from "@rackspan/common";
import {
  TaskRefusedError,
  WorkerReplacedError,
  WorkerSilentError,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import type {
  HostCallResult,
  StartTaskCall,
  StopTaskCall,
} from "@rackspan/protocol";
import type { Pacer } from "./Pacer.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";
import type { WorkerPoller } from "./WorkerPoller.js";

const ORDERS = {
  /** Calls to the worker are repeated for this long; the leader's timeout is a little longer. */
  repeatForMs: 1_300,
  /** Pause between two tries: a worker that refuses connections does so at once. */
  repeatPauseMs: 50,
} as const;

/** Tries and duration of an order, for logs; empty when the worker was not called. */
interface CallStats {
  readonly tries?: number;
  /** Milliseconds from the first try to the last answer. */
  readonly tookMs?: number;
}

export interface TaskOrderHandlerOptions {
  readonly host: TaskHost;
  readonly registry: WorkerRegistry;
  readonly poller: WorkerPoller;
  readonly pacer: Pacer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class TaskOrderHandler {
  constructor(private readonly options: TaskOrderHandlerOptions) {}

  async start(call: StartTaskCall): Promise<HostCallResult> {
    const refusal = this.refusal(call.epoch, call.instance);
    if (refusal) return this.recordResult("start", call, refusal);
    const { registry, pacer } = this.options;
    if (registry.worker?.draining) {
      return this.recordResult("start", call, { kind: "draining" });
    }
    pacer.describe(call.task, call.nature);
    pacer.recordStarting(call);
    registry.runs.recordOrderOpen(call);
    try {
      return await this.orderStart(call);
    } finally {
      registry.runs.recordOrderClosed(call);
    }
  }

  private async orderStart(call: StartTaskCall): Promise<HostCallResult> {
    const { registry, host, pacer, clock, poller } = this.options;
    const { instance, ...order } = call;
    const startedAt = clock.monotonic();
    registry.runs.recordOrdered(instance, order);
    poller.recordLeaseSent(instance, order.leaseUntil);
    let tries = 0;
    let mayHaveArrived = false;
    const result = await this.repeatUntilAnswered(instance, async () => {
      tries += 1;
      registry.unansweredStarts.recordSent(instance, order);
      try {
        return toResult(await host.start(instance, order));
      } catch (err) {
        if (!(err instanceof WorkerSilentError)) throw err;
        mayHaveArrived ||= err.mayHaveArrived;
        if (mayHaveArrived) throw err;
        // No connection: the run has not begun, so the leader can place it elsewhere at once.
        return { kind: "refused", reason: "unhealthy" };
      }
    });
    if (!mayHaveArrived) registry.unansweredStarts.recordAnswered(order);
    if (result.kind === "ok") {
      registry.runs.recordStarted(instance, order, result.at);
      pacer.orderFirstPace(call);
    }
    // A refusal only covers the last try: an earlier try without an answer may have been
    // carried out, with the run over by now, or may be carried out later. The same holds
    // for an answer of another incarnation: the run may have crashed the one before it.
    const isNegative = result.kind === "refused" || result.kind === "replaced";
    const isUncertain = mayHaveArrived && isNegative;
    if (isNegative && !isUncertain)
      registry.runs.recordRefused(instance, order);
    const tookMs = Math.round(clock.monotonic() - startedAt);
    const answer: HostCallResult = isUncertain ? { kind: "silent" } : result;
    return this.recordResult("start", call, answer, { tries, tookMs });
  }

  async stop(call: StopTaskCall): Promise<HostCallResult> {
    const refusal = this.refusal(call.epoch, call.instance);
    if (refusal) return this.recordResult("stop", call, refusal);
    const { host } = this.options;
    const result = await this.repeatUntilAnswered(call.instance, async () => {
      const at = await host.stop(call.instance, call, call.epoch);
      return { kind: "ok", at };
    });
    return this.recordResult("stop", call, result);
  }

  private refusal(
    epoch: Epoch,
    instance: WorkerInstance,
  ): HostCallResult | undefined {
    const { poller, registry } = this.options;
    if (epoch < (poller.currentEpoch ?? 0)) {
      return { kind: "refused", reason: "fenced" };
    }
    // While it is unknown which incarnation is current, the worker's own answer decides.
    return registry.mayBeCurrent(instance) ? undefined : { kind: "replaced" };
  }

  private async repeatUntilAnswered(
    instance: WorkerInstance,
    call: () => Promise<HostCallResult>,
  ): Promise<HostCallResult> {
    const { clock, registry } = this.options;
    const deadline = clock.monotonic() + ORDERS.repeatForMs;
    for (;;) {
      try {
        return await call();
      } catch (err) {
        if (err instanceof WorkerReplacedError) {
          registry.recordGone(instance, "another incarnation answers");
          return { kind: "replaced" };
        }
        if (err instanceof TaskRefusedError) {
          return {
            kind: "refused",
            reason: err.fenced ? "fenced" : "unhealthy",
          };
        }
        if (!(err instanceof WorkerSilentError)) throw err;
        if (clock.monotonic() >= deadline) {
          this.options.logger.warn("worker.silent", {
            error: describeError(err),
          });
          return { kind: "silent" };
        }
      }
      await sleep(clock, ORDERS.repeatPauseMs);
    }
  }

  private recordResult(
    order: "start" | "stop",
    { task, run, epoch }: StopTaskCall,
    result: HostCallResult,
    stats: CallStats = {},
  ): HostCallResult {
    const { logger, metrics } = this.options;
    metrics.count("worker_orders", { order, result: result.kind });
    logger.info(`order.${order}`, {
      task,
      run,
      epoch,
      result: result.kind,
      reason: result.kind === "refused" ? result.reason : undefined,
      ...stats,
    });
    return result;
  }
}

const toResult = (outcome: StartOutcome): HostCallResult =>
  outcome.kind === "started"
    ? { kind: "ok", at: outcome.at }
    : { kind: "refused", reason: outcome.reason };
