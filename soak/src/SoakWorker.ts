/** A worker's place on a host: one life after the other, all at the address of a proxy. */

import { setTimeout as delay } from "node:timers/promises";
import type { HostId, Random } from "@rackspan/common";
import { WorkerServer } from "@rackspan/platform-standins";
import { FaultyProxy, type WithoutTarget } from "./FaultyProxy.js";
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
  readonly livesRandom: Random;
  /** Whether all lives have one id, and only the time of their birth tells them apart. */
  readonly sharesId: boolean;
}

/** A worker that a task has crashed is back after this, milliseconds. */
const BACK_AFTER_MS = 700;

/** A life's clock shows up to this at its start, milliseconds. */
const MOST_AT_START_MS = 1e6;

/** A heartbeat of the life before may come this long after the next one has registered, at the most. */
const LATE_BEAT_MS = 900;

export class SoakWorker {
  readonly proxy: FaultyProxy;
  private address = "";
  private life: WorkerServer | undefined;
  /** The last life that has registered. */
  private former: WorkerServer | undefined;
  private lives = 0;
  /** Where the life that is cut off stands. */
  private hiddenTarget: string | undefined;
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
  async beginLife(): Promise<void> {
    if (this.life) return;
    const { host, service, inbox, longestLeaseMs, recorder } = this.options;
    const { sharesId, livesRandom } = this.options;
    this.lives += 1;
    const { former } = this;
    const life = new WorkerServer({
      instance: sharesId ? host : `${host}-life-${this.lives}`,
      clockAtStart: Math.floor(livesRandom.next() * MOST_AT_START_MS),
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
    this.former = life;
    if (!former || this.isClosed) return;
    setTimeout(
      () => former.beat(inbox, this.address),
      livesRandom.next() * LATE_BEAT_MS,
    ).unref();
  }

  /** A task has crashed this life; the next one comes by itself. */
  private async crash(life: WorkerServer): Promise<void> {
    if (this.life !== life) return;
    await this.endLife("reset");
    await delay(BACK_AFTER_MS);
    if (!this.isClosed) await this.beginLife();
  }

  /** The present life ends without a goodbye. */
  async endLife(withoutTarget: WithoutTarget): Promise<void> {
    const { life, proxy } = this;
    if (!life) return;
    this.life = undefined;
    proxy.target = undefined;
    proxy.withoutTarget = withoutTarget;
    if (withoutTarget === "silent") proxy.muteAll();
    else proxy.resetAll();
    await life.close();
  }

  /** The present life goes on by itself; neither calls nor heartbeats pass. */
  cutOff(): void {
    const { life, proxy } = this;
    if (!life || life.isCutOff) return;
    life.isCutOff = true;
    this.hiddenTarget = proxy.target;
    proxy.target = undefined;
    proxy.withoutTarget = "silent";
    proxy.muteAll();
  }

  /** Ends the cut of the present life, if there is one. */
  rejoin(): void {
    const { life, proxy, hiddenTarget } = this;
    if (!life?.isCutOff) return;
    life.isCutOff = false;
    proxy.target = hiddenTarget;
    // Calls that are open would get no answer.
    proxy.resetAll();
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endLife("reset");
    await this.proxy.close();
  }
}
