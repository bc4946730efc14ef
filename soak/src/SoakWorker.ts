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
  readonly random: Random;
}

/** A worker that a task has crashed is back after this, milliseconds. */
const BACK_AFTER_MS = 700;

export class SoakWorker {
  readonly proxy: FaultyProxy;
  private address = "";
  private life: WorkerServer | undefined;
  private lives = 0;
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
    this.lives += 1;
    const life = new WorkerServer({
      instance: `${host}-life-${this.lives}`,
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
  }

  /** A task has crashed this life; the next one comes by itself. */
  private async crash(life: WorkerServer): Promise<void> {
    if (this.life !== life) return;
    await this.endLife("reset");
    await delay(BACK_AFTER_MS);
    if (!this.isClosed) await this.beginLife();
  }

  /** The present life is over, and says nothing of it. */
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

  async close(): Promise<void> {
    this.isClosed = true;
    await this.endLife("reset");
    await this.proxy.close();
  }
}
