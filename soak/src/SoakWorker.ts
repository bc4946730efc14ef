/** A worker's place on a host: one life after the other, all at the address of a proxy. */

import { setTimeout as delay } from "node:timers/promises";
import type { HostId, Random } from "@rackspan/common";
import { WorkerServer } from "@rackspan/platform-standins";
import { FaultyProxy, type NoTargetBehavior } from "./FaultyProxy.js";
import type { RunRecorder } from "./RunRecorder.js";

export interface SoakWorkerOptions {
  readonly host: HostId;
  readonly service: string;
  /** Where the side takes heartbeats, `IP:PORT`. */
  readonly inbox: string;
  readonly longestLeaseMs: number;
  readonly recorder: RunRecorder;
  /** Draws the faults of the proxy. */
  readonly random: Random;
  /** Draws the clocks of lives, and what comes late of the one before. */
  readonly incarnationRandom: Random;
  /** Whether all lives have one id, and only the time of their birth tells them apart. */
  readonly reusesId: boolean;
}

/** A worker that a task has crashed is back after this, milliseconds. */
const RESTART_AFTER_CRASH_MS = 700;

/** A life's clock shows up to this at its start, milliseconds. */
const MAX_CLOCK_AT_START_MS = 1e6;

/** A heartbeat of the life before may come this long after the next one has registered, at the most. */
const MAX_LATE_HEARTBEAT_MS = 900;

export class SoakWorker {
  readonly proxy: FaultyProxy;
  private address = "";
  private life: WorkerServer | undefined;
  /** The last life that has registered. */
  private previousIncarnation: WorkerServer | undefined;
  private incarnationCount = 0;
  /** Where the life that is cut off stands. */
  private disconnectedTarget: string | undefined;
  private isClosed = false;

  constructor(private readonly options: SoakWorkerOptions) {
    this.proxy = new FaultyProxy(options.random);
  }

  /** @returns `IP:PORT`, the same for all lives */
  async listen(): Promise<string> {
    this.address = await this.proxy.listen();
    return this.address;
  }

  /** The next life registers; does nothing while there is one. */
  async startIncarnation(): Promise<void> {
    if (this.life) return;
    const { host, service, inbox, longestLeaseMs, recorder } = this.options;
    const { reusesId: sharesId, incarnationRandom: livesRandom } = this.options;
    this.incarnationCount += 1;
    const { previousIncarnation: former } = this;
    const life = new WorkerServer({
      instance: sharesId ? host : `${host}-life-${this.incarnationCount}`,
      clockAtStart: Math.floor(livesRandom.next() * MAX_CLOCK_AT_START_MS),
      service,
      observer: recorder.observe(host),
      longestLeaseMs,
      onCrash: () => void this.crash(life),
    });
    this.life = life;
    const target = await life.listen();
    if (this.life !== life) {
      // Ended while it was about to listen.
      await life.close();
      return;
    }
    this.proxy.target = target;
    life.register(inbox, this.address);
    this.previousIncarnation = life;
    if (!former || this.isClosed) return;
    setTimeout(
      () => former.beat(inbox, this.address),
      livesRandom.next() * MAX_LATE_HEARTBEAT_MS,
    ).unref();
  }

  /** A task has crashed this life; the next one comes by itself. */
  private async crash(life: WorkerServer): Promise<void> {
    if (this.life !== life) return;
    await this.endIncarnation("reset");
    await delay(RESTART_AFTER_CRASH_MS);
    if (!this.isClosed) await this.startIncarnation();
  }

  /** The present life ends without a goodbye. */
  async endIncarnation(withoutTarget: NoTargetBehavior): Promise<void> {
    const { life, proxy } = this;
    if (!life) return;
    this.life = undefined;
    proxy.target = undefined;
    proxy.noTargetBehavior = withoutTarget;
    if (withoutTarget === "silent") proxy.stopForwardingAll();
    else proxy.resetAll();
    await life.close();
  }

  /** The present life goes on by itself; neither calls nor heartbeats pass. */
  disconnect(): void {
    const { life, proxy } = this;
    if (!life || life.isCutOff) return;
    life.isCutOff = true;
    this.disconnectedTarget = proxy.target;
    proxy.target = undefined;
    proxy.noTargetBehavior = "silent";
    proxy.stopForwardingAll();
  }

  /** Ends the cut of the present life, if there is one. */
  reconnect(): void {
    const { life, proxy, disconnectedTarget: hiddenTarget } = this;
    if (!life?.isCutOff) return;
    life.isCutOff = false;
    proxy.target = hiddenTarget;
    // Calls that are open would get no answer.
    proxy.resetAll();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endIncarnation("reset");
    await this.proxy.close();
  }
}
