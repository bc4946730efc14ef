/** The worker of a host: successive incarnations, all behind the address of one proxy. */

import { setTimeout as delay } from "node:timers/promises";
import type { HostId, Random } from "@rackspan/common";
import { WorkerServer } from "@rackspan/platform-standins";
import { FaultyProxy, type NoTargetBehavior } from "./FaultyProxy.js";
import type { RunRecorder } from "./RunRecorder.js";

export interface SoakWorkerOptions {
  readonly host: HostId;
  readonly service: string;
  /** Address at which the side receives heartbeats, `IP:PORT`. */
  readonly inbox: string;
  readonly longestLeaseMs: number;
  readonly recorder: RunRecorder;
  /** Draws the faults of the proxy. */
  readonly random: Random;
  /** Draws the clocks of incarnations and the late heartbeats of previous ones. */
  readonly incarnationRandom: Random;
  /** Whether all incarnations have the same id and differ only in their start time. */
  readonly reusesId: boolean;
}

/** Time after which a worker that a task has crashed starts again, milliseconds. */
const RESTART_AFTER_CRASH_MS = 700;

/** Upper bound of an incarnation's clock at its start, milliseconds. */
const MAX_CLOCK_AT_START_MS = 1e6;

/** Longest delay of a previous incarnation's heartbeat after the next one has registered, milliseconds. */
const MAX_LATE_HEARTBEAT_MS = 900;

export class SoakWorker {
  readonly proxy: FaultyProxy;
  private address = "";
  private incarnation: WorkerServer | undefined;
  /** The incarnation that registered last. */
  private previousIncarnation: WorkerServer | undefined;
  private incarnationCount = 0;
  /** Address of the disconnected incarnation. */
  private disconnectedTarget: string | undefined;
  private isClosed = false;

  constructor(private readonly options: SoakWorkerOptions) {
    this.proxy = new FaultyProxy(options.random);
  }

  /** @returns `IP:PORT`, the same for all incarnations */
  async listen(): Promise<string> {
    this.address = await this.proxy.listen();
    return this.address;
  }

  /** Starts and registers the next incarnation; does nothing while one is running. */
  async startIncarnation(): Promise<void> {
    if (this.incarnation) return;
    const { host, service, inbox, longestLeaseMs, recorder } = this.options;
    const { reusesId, incarnationRandom } = this.options;
    this.incarnationCount += 1;
    const { previousIncarnation } = this;
    const incarnation = new WorkerServer({
      instance: reusesId ? host : `${host}-life-${this.incarnationCount}`,
      clockAtStart: Math.floor(
        incarnationRandom.next() * MAX_CLOCK_AT_START_MS,
      ),
      service,
      observer: recorder.observe(host),
      longestLeaseMs,
      onCrash: () => void this.crash(incarnation),
    });
    this.incarnation = incarnation;
    const target = await incarnation.listen();
    if (this.incarnation !== incarnation) {
      // The incarnation was ended before it was listening.
      await incarnation.close();
      return;
    }
    this.proxy.target = target;
    incarnation.register(inbox, this.address);
    this.previousIncarnation = incarnation;
    if (!previousIncarnation || this.isClosed) return;
    setTimeout(
      () => previousIncarnation.sendHeartbeat(inbox, this.address),
      incarnationRandom.next() * MAX_LATE_HEARTBEAT_MS,
    ).unref();
  }

  /** Ends the incarnation that a task has crashed, and starts the next one after a pause. */
  private async crash(incarnation: WorkerServer): Promise<void> {
    if (this.incarnation !== incarnation) return;
    await this.endIncarnation("reset");
    await delay(RESTART_AFTER_CRASH_MS);
    if (!this.isClosed) await this.startIncarnation();
  }

  /** Ends the current incarnation without deregistration. */
  async endIncarnation(noTargetBehavior: NoTargetBehavior): Promise<void> {
    const { incarnation, proxy } = this;
    if (!incarnation) return;
    this.incarnation = undefined;
    proxy.target = undefined;
    proxy.noTargetBehavior = noTargetBehavior;
    if (noTargetBehavior === "silent") proxy.stopForwardingAll();
    else proxy.resetAll();
    await incarnation.close();
  }

  /** Cuts off the current incarnation, which keeps running: neither calls nor heartbeats pass. */
  disconnect(): void {
    const { incarnation, proxy } = this;
    if (!incarnation || incarnation.dropsHeartbeats) return;
    incarnation.dropsHeartbeats = true;
    this.disconnectedTarget = proxy.target;
    proxy.target = undefined;
    proxy.noTargetBehavior = "silent";
    proxy.stopForwardingAll();
  }

  /** Reconnects the current incarnation if it is disconnected. */
  reconnect(): void {
    const { incarnation, proxy, disconnectedTarget } = this;
    if (!incarnation?.dropsHeartbeats) return;
    incarnation.dropsHeartbeats = false;
    proxy.target = disconnectedTarget;
    // Open calls would get no answer.
    proxy.resetAll();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endIncarnation("reset");
    await this.proxy.close();
  }
}
