/** Injects drawn faults into a site, and ends them. */

import { setTimeout as delay } from "node:timers/promises";
import { pickIndex, type Random } from "@rackspan/common";
import type { Fault } from "./faults.js";
import { NO_HOLDS } from "./FaultyProxy.js";
import type { ManagedProcess } from "./ManagedProcess.js";
import { derivedRandom } from "./derivedRandom.js";
import { ZONES, type SoakSite } from "./SoakSite.js";
import type { SoakWorker } from "./SoakWorker.js";

/** Longer than the side waits for one answer, shorter than some orders' leases. */
const HOLDS = { share: 0.15, leastMs: 300, mostMs: 3_000 } as const;
const SHORT_HOLDS = { share: 0.15, leastMs: 5, mostMs: 900 } as const;

/** Of the workers: those that may be lost for good, so that the others do all work. */
const PERMANENT_LOSS_SHARE = 1 / 3;

export class FaultInjector {
  private readonly activeFaults = new Set<Promise<void>>();

  constructor(
    private readonly site: SoakSite,
    private readonly log: (line: string) => void,
  ) {}

  /** Resolves when the last fault has ended. */
  async injectAll(faults: readonly Fault[]): Promise<void> {
    const beganAt = performance.now();
    for (const fault of faults) {
      await delay(Math.max(0, beganAt + fault.at - performance.now()));
      this.log(`${fault.kind} forMs=${Math.round(fault.durationMs)}`);
      const played = this.inject(fault);
      this.activeFaults.add(played);
      void played.finally(() => this.activeFaults.delete(played));
    }
    await Promise.all(this.activeFaults);
  }

  private async inject({
    kind,
    durationMs: forMs,
    draw,
  }: Fault): Promise<void> {
    const random = derivedRandom(draw, kind);
    const { site } = this;
    switch (kind) {
      case "newLives":
        return this.replaceWorkers(random, forMs);
      case "lateCalls":
        return this.holdChunks(random, forMs, "callHolds");
      case "lateAnswers":
        return this.holdChunks(random, forMs, "answerHolds");
      case "frozenLeader":
        return suspendFor(await site.leader(), forMs);
      case "frozenSides":
        await forEachConcurrently(sample(site.sides, 0.3, random), (one) =>
          suspendFor(one, forMs),
        );
        return;
      case "brokenConnections":
        for (const { proxy } of sample(site.workers, 0.4, random))
          proxy.resetAll();
        return;
      case "halfOpen":
        return this.halfOpen(random, forMs);
      case "killedEntry":
        return restart(one(site.entries, random), "SIGKILL", forMs);
      case "stoppedEntry":
        return restart(one(site.entries, random), "SIGTERM", forMs);
      case "killedSides": {
        const signal = random.next() < 0.5 ? "SIGKILL" : "SIGTERM";
        const struck = sample(site.sides, 0.25, random);
        await forEachConcurrently(struck, (side) =>
          restart(side, signal, forMs),
        );
        return;
      }
      case "evacuatedZone":
        return this.evacuate(random, forMs);
      case "livesAtOnce":
        return this.restartWorkersAtOnce(random, forMs);
      case "lostLeader":
        return this.forceLeaderChange(random, forMs);
      case "silentWorkers":
        return this.silenceWorkers(random, forMs);
    }
  }

  /** All of a zone's hosts, now and then those of every zone. */
  private async evacuate(random: Random, forMs: number): Promise<void> {
    const isAll = random.next() < 0.2;
    const only = one(ZONES, random);
    const zones = ZONES.filter((zone) => isAll || zone === only);
    await forEachConcurrently(zones, async (zone) => {
      await this.site.evacuate(zone);
      await delay(forMs);
      await this.site.reopen(zone);
    });
  }

  /** Workers fall silent together; their next lives stand at the same addresses. */
  private async replaceWorkers(random: Random, forMs: number): Promise<void> {
    const how = random.next() < 0.6 ? "silent" : "reset";
    await forEachConcurrently(
      sample(this.site.workers, 0.5, random),
      async (worker) => {
        await worker.endIncarnation(how);
        await delay(forMs * (0.5 + random.next()));
        await worker.startIncarnation();
        // What the former life left open is found broken by then.
        worker.proxy.resetAll();
      },
    );
  }

  /** Workers crash and are back at once; half of them do so once more soon after. */
  private async restartWorkersAtOnce(
    random: Random,
    forMs: number,
  ): Promise<void> {
    await forEachConcurrently(
      sample(this.site.workers, 0.4, random),
      async (worker) => {
        const isTwice = random.next() < 0.5;
        await worker.endIncarnation("reset");
        await worker.startIncarnation();
        if (!isTwice) return;
        await delay(forMs);
        await worker.endIncarnation("reset");
        await worker.startIncarnation();
      },
    );
  }

  /** The leader is killed or stands still until another one leads. */
  private async forceLeaderChange(
    random: Random,
    forMs: number,
  ): Promise<void> {
    const isKilled = random.next() < 0.5;
    const leader = await this.site.leader();
    if (isKilled) await restart(leader, "SIGKILL", forMs);
    else await suspendFor(leader, forMs);
  }

  /** Workers are cut off or lost for a while, some of the first ones for good. */
  private async silenceWorkers(random: Random, forMs: number): Promise<void> {
    const { workers } = this.site;
    const mayStayAway = workers.slice(0, workers.length * PERMANENT_LOSS_SHARE);
    await forEachConcurrently(sample(workers, 0.2, random), async (worker) => {
      const draw = random.next();
      if (draw < 0.5) {
        worker.disconnect();
        await delay(forMs);
        worker.reconnect();
        return;
      }
      await worker.endIncarnation("silent");
      if (draw > 0.8 && mayStayAway.includes(worker)) return;
      await delay(forMs);
      await worker.startIncarnation();
      worker.proxy.resetAll();
    });
  }

  private async holdChunks(
    random: Random,
    forMs: number,
    which: "callHolds" | "answerHolds",
  ): Promise<void> {
    const holds = random.next() < 0.5 ? HOLDS : SHORT_HOLDS;
    await forEachConcurrently(
      sample(this.site.workers, 0.5, random),
      async ({ proxy }) => {
        proxy[which] = holds;
        await delay(forMs);
        proxy[which] = NO_HOLDS;
      },
    );
  }

  private async halfOpen(random: Random, forMs: number): Promise<void> {
    const struck: SoakWorker[] = sample(this.site.workers, 0.4, random);
    const isMute = random.next() < 0.5;
    await forEachConcurrently(struck, async ({ proxy }) => {
      if (isMute) proxy.stopForwardingAll();
      else proxy.halfCloseAll();
      await delay(forMs);
    });
  }
}

const sample = <T>(all: readonly T[], share: number, random: Random): T[] =>
  all.filter(() => random.next() < share);

const one = <T>(all: readonly T[], random: Random): T | undefined =>
  all[pickIndex(random, all.length)];

const forEachConcurrently = async <T>(
  all: readonly T[],
  act: (item: T) => Promise<void>,
): Promise<void> => {
  await Promise.all(all.map(act));
};

const suspendFor = async (
  struck: ManagedProcess | undefined,
  forMs: number,
): Promise<void> => {
  struck?.suspend();
  await delay(forMs);
  struck?.resume();
};

const restart = async (
  struck: ManagedProcess | undefined,
  signal: "SIGTERM" | "SIGKILL",
  forMs: number,
): Promise<void> => {
  await struck?.stop(signal);
  await delay(forMs);
  struck?.start();
};
