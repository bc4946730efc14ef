/** Injects drawn faults into a site and ends them after their duration. */

import { setTimeout as delay } from "node:timers/promises";
import { pickIndex, type Random } from "@rackspan/common";
import type { Fault } from "./faults.js";
import { NO_HOLDS } from "./FaultyProxy.js";
import type { ManagedProcess } from "./ManagedProcess.js";
import { derivedRandom } from "./derivedRandom.js";
import { ZONES, type SoakSite } from "./SoakSite.js";
import type { SoakWorker } from "./SoakWorker.js";

/** Longer than the side's timeout for one answer, shorter than the leases of some orders. */
const HOLDS = { share: 0.15, minMs: 300, maxMs: 3_000 } as const;
const SHORT_HOLDS = { share: 0.15, minMs: 5, maxMs: 900 } as const;

/** Share of the workers that may be lost permanently; the others then do all work. */
const PERMANENT_LOSS_SHARE = 1 / 3;

export class FaultInjector {
  private readonly activeFaults = new Set<Promise<void>>();

  constructor(
    private readonly site: SoakSite,
    private readonly log: (line: string) => void,
  ) {}

  /** Injects the faults at their times; resolves when the last one has ended. */
  async injectAll(faults: readonly Fault[]): Promise<void> {
    const beganAt = performance.now();
    for (const fault of faults) {
      await delay(Math.max(0, beganAt + fault.at - performance.now()));
      this.log(`${fault.kind} forMs=${Math.round(fault.durationMs)}`);
      const injected = this.inject(fault);
      this.activeFaults.add(injected);
      void injected.finally(() => this.activeFaults.delete(injected));
    }
    await Promise.all(this.activeFaults);
  }

  private async inject({ kind, durationMs, draw }: Fault): Promise<void> {
    const random = derivedRandom(draw, kind);
    const { site } = this;
    switch (kind) {
      case "newLives":
        return this.replaceWorkers(random, durationMs);
      case "lateCalls":
        return this.holdChunks(random, durationMs, "callHolds");
      case "lateAnswers":
        return this.holdChunks(random, durationMs, "answerHolds");
      case "frozenLeader":
        return suspendFor(await site.leader(), durationMs);
      case "frozenSides":
        await forAll(sample(site.sides, 0.3, random), (side) =>
          suspendFor(side, durationMs),
        );
        return;
      case "brokenConnections":
        for (const { proxy } of sample(site.workers, 0.4, random))
          proxy.resetAll();
        return;
      case "halfOpen":
        return this.halfOpen(random, durationMs);
      case "killedEntry":
        return restart(pickOne(site.entries, random), "SIGKILL", durationMs);
      case "stoppedEntry":
        return restart(pickOne(site.entries, random), "SIGTERM", durationMs);
      case "killedSides": {
        const signal = random.next() < 0.5 ? "SIGKILL" : "SIGTERM";
        const targets = sample(site.sides, 0.25, random);
        await forAll(targets, (side) => restart(side, signal, durationMs));
        return;
      }
      case "evacuatedZone":
        return this.evacuate(random, durationMs);
      case "livesAtOnce":
        return this.restartWorkersAtOnce(random, durationMs);
      case "lostLeader":
        return this.forceLeaderChange(random, durationMs);
      case "silentWorkers":
        return this.silenceWorkers(random, durationMs);
      case "killedSite":
        await forAll([...site.entries, ...site.sides], (process) =>
          restart(process, "SIGKILL", durationMs),
        );
        return;
    }
  }

  /** Evacuates one zone, or all zones with a probability of 0.2. */
  private async evacuate(random: Random, durationMs: number): Promise<void> {
    const isAll = random.next() < 0.2;
    const only = pickOne(ZONES, random);
    const zones = ZONES.filter((zone) => isAll || zone === only);
    await forAll(zones, async (zone) => {
      await this.site.evacuate(zone);
      await delay(durationMs);
      await this.site.reopen(zone);
    });
  }

  /** Ends several workers together; their next incarnations have the same addresses. */
  private async replaceWorkers(
    random: Random,
    durationMs: number,
  ): Promise<void> {
    const noTargetBehavior = random.next() < 0.6 ? "silent" : "reset";
    await forAll(sample(this.site.workers, 0.5, random), async (worker) => {
      await worker.endIncarnation(noTargetBehavior);
      await delay(durationMs * (0.5 + random.next()));
      await worker.startIncarnation();
      // Resets the connections that the previous incarnation left open.
      worker.proxy.resetAll();
    });
  }

  /** Ends workers and restarts them at once; half of them once more soon after. */
  private async restartWorkersAtOnce(
    random: Random,
    durationMs: number,
  ): Promise<void> {
    await forAll(sample(this.site.workers, 0.4, random), async (worker) => {
      const isTwice = random.next() < 0.5;
      await worker.endIncarnation("reset");
      await worker.startIncarnation();
      if (!isTwice) return;
      await delay(durationMs);
      await worker.endIncarnation("reset");
      await worker.startIncarnation();
    });
  }

  /** Kills or suspends the leader for longer than its lease, so that another entry takes over. */
  private async forceLeaderChange(
    random: Random,
    durationMs: number,
  ): Promise<void> {
    const isKilled = random.next() < 0.5;
    const leader = await this.site.leader();
    if (isKilled) await restart(leader, "SIGKILL", durationMs);
    else await suspendFor(leader, durationMs);
  }

  /** Disconnects or ends workers for a while; some of the first ones are lost permanently. */
  private async silenceWorkers(
    random: Random,
    durationMs: number,
  ): Promise<void> {
    const { workers } = this.site;
    const mayStayAway = workers.slice(0, workers.length * PERMANENT_LOSS_SHARE);
    await forAll(sample(workers, 0.2, random), async (worker) => {
      const draw = random.next();
      if (draw < 0.5) {
        worker.disconnect();
        await delay(durationMs);
        worker.reconnect();
        return;
      }
      await worker.endIncarnation("silent");
      if (draw > 0.8 && mayStayAway.includes(worker)) return;
      await delay(durationMs);
      await worker.startIncarnation();
      worker.proxy.resetAll();
    });
  }

  private async holdChunks(
    random: Random,
    durationMs: number,
    which: "callHolds" | "answerHolds",
  ): Promise<void> {
    const holds = random.next() < 0.5 ? HOLDS : SHORT_HOLDS;
    await forAll(sample(this.site.workers, 0.5, random), async ({ proxy }) => {
      proxy[which] = holds;
      await delay(durationMs);
      proxy[which] = NO_HOLDS;
    });
  }

  private async halfOpen(random: Random, durationMs: number): Promise<void> {
    const targets: SoakWorker[] = sample(this.site.workers, 0.4, random);
    const isSilent = random.next() < 0.5;
    await forAll(targets, async ({ proxy }) => {
      if (isSilent) proxy.stopForwardingAll();
      else proxy.halfCloseAll();
      await delay(durationMs);
    });
  }
}

const sample = <T>(all: readonly T[], share: number, random: Random): T[] =>
  all.filter(() => random.next() < share);

const pickOne = <T>(all: readonly T[], random: Random): T | undefined =>
  all[pickIndex(random, all.length)];

const forAll = async <T>(
  all: readonly T[],
  act: (item: T) => Promise<void>,
): Promise<void> => {
  await Promise.all(all.map(act));
};

const suspendFor = async (
  process: ManagedProcess | undefined,
  durationMs: number,
): Promise<void> => {
  process?.suspend();
  await delay(durationMs);
  process?.resume();
};

const restart = async (
  process: ManagedProcess | undefined,
  signal: "SIGTERM" | "SIGKILL",
  durationMs: number,
): Promise<void> => {
  await process?.stop(signal);
  await delay(durationMs);
  process?.start();
};
