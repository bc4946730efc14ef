/**
 * A worker as the platform describes it: lives, leases on its own clock, fences,
 * runs that are barred, stops that take time, orders that are carried out late.
 */

import {
  brand,
  sleep,
  type Clock,
  type Epoch,
  type HostId,
  type JobTaskId,
  type Monotonic,
  type Random,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  runKeyOf,
  TaskRefusedError,
  WorkerReplacedError,
  WorkerSilentError,
  type HoldAnswer,
  type HoldOrder,
  type RunOutcome,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { leaseOverBy } from "@rackspan/leadership";
import type { GangBook, GangRun } from "./GangBook.js";
import type { RunHistory, RunSeen } from "./RunHistory.js";
import { WorkerLife, type Running } from "./WorkerLife.js";

/** What a task asks for and how it fares; told by its id. */
export interface TaskTraits {
  /** Of the worker's room; none where it fills. */
  readonly milliCores: number;
  /** Milliseconds until it ends by itself; undefined for one that lasts. */
  readonly runMs: number | undefined;
  readonly fails: boolean;
  /** Whether it crashes each worker that starts it. */
  readonly crashes: boolean;
  /** Undefined for a task of no gang. */
  readonly gang: Omit<GangRun, "key"> | undefined;
  /** As workers list it; see TaskHost. */
  readonly reading: number;
  readonly saves: boolean;
}

export interface WorkerModelOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly random: Random;
  readonly history: RunHistory;
  readonly gangs: GangBook;
  readonly milliCores: number;
  readonly traitsOf: (task: JobTaskId) => TaskTraits;
  readonly lives?: LivesOfWorker;
}

/** What its lives have to do with each other. */
export interface LivesOfWorker {
  /**
   * Whether an order without an answer may be carried out by the next life, as where both
   * stand under one id; not before anybody has spoken to it, which nothing could bar.
   */
  readonly ordersOutlive: boolean;
  /** Whether all lives bear one name, as for an adapter that takes an id for a life. */
  readonly bearOneName: boolean;
}

const WORKER = {
  callTimeoutMs: 400,
  maxLatencyMs: 4,
  /** Time for a stop, at the most; milliseconds. */
  stopMs: 200,
  /** Orders without an answer are carried out this much later, milliseconds. */
  lateMs: { least: 2_000, most: 12_000 },
  /** Share of the orders that come late while the fault is on. */
  lateShare: 0.5,
  /** A task that crashes its worker does so this long after its start, milliseconds. */
  crashAfterMs: 10,
  /** A worker that a task has crashed is back after this, at the most; milliseconds. */
  backMs: 1_500,
  /** Starts may fill a room that has shrunk this long after, milliseconds. */
  shrunkMs: 3_500,
  /** A side has noticed by then that its worker is silent: a look that waits, and a call. */
  noticedMs: 700,
  /** What is sent to a worker behind a cut may reach it up to this much later, milliseconds. */
  heldUpMs: 3_000,
  /** Share of the calls that are held up at a cut; the others are lost. */
  heldUpShare: 0.5,
} as const;

/** How a worker is cut from its side while its life goes on. */
export type WorkerCut =
  /** Calls arrive, and their answers do not. */
  | "answers"
  /** Calls do not arrive, or only some seconds later. */
  | "calls";

export class WorkerModel implements TaskHost {
  /** Whether orders may be carried out late, without an answer. */
  lateOrders = false;
  /** When it was last heard, and undefined while it is. */
  silentSince: Monotonic | undefined;
  /** When it was heard again. */
  heardSince: Monotonic = -Infinity;
  /**
   * From then on nothing that was sent to the present life lets it run anything; leases
   * that looks bring once it is known to be silent are left out, as none is to be sent.
   */
  sentLeasesOverBy: Monotonic = -Infinity;
  private cut: WorkerCut | undefined;
  /** How long a look may wait for a worker short of processor time; milliseconds. */
  slowMs = 0;
  private lives = 0;
  private life: WorkerLife;
  private up = true;
  /** Whether connections are refused while it is down, as by a process that is gone. */
  private refuses = false;
  /** Of its room, thousandths of a core. */
  private roomNow: number;
  private roomBefore: {
    readonly milliCores: number;
    readonly until: Monotonic;
  };

  constructor(private readonly options: WorkerModelOptions) {
    this.roomNow = options.milliCores;
    this.roomBefore = { milliCores: 0, until: -Infinity };
    this.life = this.bear();
  }

  get instance(): WorkerInstance {
    return this.life.instance;
  }

  /** Ends that it still lists: nobody has let it forget them. */
  get listedEnds(): number {
    return this.up ? this.life.listedEnds.length : 0;
  }

  get milliCores(): number {
    return this.roomNow;
  }

  /** Its room shrinks or grows while it runs; its heartbeats tell it. */
  changeRoom(milliCores: number): void {
    const { clock } = this.options;
    const until = clock.monotonic() + WORKER.shrunkMs;
    this.roomBefore = { milliCores: this.roomAllowed, until };
    this.roomNow = milliCores;
  }

  /** What starts may fill: the news of a room that has shrunk takes its time. */
  private get roomAllowed(): number {
    const { milliCores, until } = this.roomBefore;
    const isRecent = this.options.clock.monotonic() < until;
    return Math.max(this.roomNow, isRecent ? milliCores : 0);
  }

  get isUp(): boolean {
    return this.up;
  }

  /** Whether its side hears its heartbeats and answers. */
  get isHeard(): boolean {
    return this.up && this.cut === undefined;
  }

  /** It goes on by itself, and its side hears nothing of it. */
  cutOff(cut: WorkerCut): void {
    this.cut = cut;
    this.noteHeard();
  }

  rejoin(): void {
    this.cut = undefined;
    this.noteHeard();
  }

  private noteHeard(): void {
    const now = this.options.clock.monotonic();
    if (!this.isHeard) {
      this.silentSince ??= now;
      return;
    }
    if (this.silentSince !== undefined) this.heardSince = now;
    this.silentSince = undefined;
  }

  /** All that runs there ends; nothing is listed. */
  crash(): void {
    const { clock } = this.options;
    this.up = false;
    this.noteHeard();
    this.life.end();
    const lost = [...this.life.running.values()];
    this.life.running.clear();
    for (const { seen, ref, gangKey } of lost) {
      seen.endedAt = clock.monotonic();
      if (gangKey !== undefined) this.options.gangs.left(gangKey, ref.task);
    }
    this.life.wake();
  }

  /** Its process is gone, and connections to it are refused; the next life comes by itself. */
  breakDown(backMs: number): void {
    this.crash();
    this.refuses = true;
    this.options.clock.after(backMs, () => {
      if (!this.up) this.revive();
    });
  }

  /** Another life stands here from now on; one that is up ends before. */
  revive(): void {
    if (this.up) this.crash();
    this.life = this.bear();
    this.sentLeasesOverBy = -Infinity;
    this.up = true;
    this.refuses = false;
    this.noteHeard();
  }

  async start(
    instance: WorkerInstance,
    order: RunStart,
  ): Promise<StartOutcome> {
    this.noteSent(instance, order.leaseUntil);
    return this.call(instance, () => this.begin(order));
  }

  async stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    return this.call(instance, () => {
      this.fence(epoch);
      this.life.bar(run);
      const running = this.life.running.get(runKeyOf(run));
      if (running) this.endLater(running, this.delay(WORKER.stopMs), "stopped");
      return this.life.at;
    });
  }

  async hold(instance: WorkerInstance, order: HoldOrder): Promise<HoldAnswer> {
    if (!this.isKnownSilent) this.noteSent(instance, order.leaseUntil);
    await this.reach(instance, () => this.takeHold(order));
    await this.holdUp();
    const { life } = this;
    this.takeHold(order);
    if (order.waitMs > 0) await life.waitForEnd(order.waitMs);
    if (!this.up && this.refuses) {
      throw new WorkerSilentError("the call broke off");
    }
    await this.holdUp();
    await this.reach(instance);
    const { at } = life;
    return {
      at,
      running: [...life.running.values()].map(({ ref, traits }) => ({
        ...ref,
        checkpoint: traits.saves ? `${ref.task}@${at}` : "",
        progressPercent: 50,
        reading: traits.reading,
      })),
      ended: life.listedEnds,
      hasMoreEnds: false,
    };
  }

  private takeHold({ epoch, acknowledged, leaseUntil }: HoldOrder): void {
    const { life } = this;
    this.fence(epoch);
    life.forgetEnds(acknowledged);
    if (leaseUntil !== undefined) life.extendLease(leaseUntil);
  }

  private get isKnownSilent(): boolean {
    const now = this.options.clock.monotonic();
    return now - (this.silentSince ?? now) > WORKER.noticedMs;
  }

  private noteSent(
    instance: WorkerInstance,
    leaseUntil: WorkerTime | undefined,
  ): void {
    if (instance !== this.instance || leaseUntil === undefined) return;
    const now = this.options.clock.monotonic();
    this.sentLeasesOverBy = Math.max(
      this.sentLeasesOverBy,
      leaseOverBy(now, leaseUntil - this.life.at),
    );
  }

  async pace(instance: WorkerInstance): Promise<void> {
    await this.reach(instance);
  }

  private bear(): WorkerLife {
    const { clock, random, host } = this.options;
    this.lives += 1;
    const name = this.options.lives?.bearOneName ? "1" : this.lives;
    const life = new WorkerLife({
      instance: brand<WorkerInstance>(`${host}-${name}`),
      clock,
      random,
      onLapsed: () => this.endAll(life, "lapsed"),
    });
    return life;
  }

  private endAll(life: WorkerLife, outcome: RunOutcome): void {
    if (this.life !== life || !this.up) return;
    for (const running of [...life.running.values()])
      this.end(running, outcome);
  }

  /**
   * @param act carries the call out, where it arrives although no answer comes
   * @throws WorkerSilentError, WorkerReplacedError
   */
  private async reach(
    instance: WorkerInstance,
    act?: () => void,
  ): Promise<void> {
    const { clock } = this.options;
    if (this.up && this.cut !== undefined) {
      if (act && this.life.instance === instance) this.passCut(this.cut, act);
      await sleep(clock, WORKER.callTimeoutMs);
      throw new WorkerSilentError("it is cut off");
    }
    if (this.up) await sleep(clock, this.delay(WORKER.maxLatencyMs));
    if (!this.up) {
      if (!this.refuses) await sleep(clock, WORKER.callTimeoutMs);
      const mayHaveArrived = !this.refuses;
      throw new WorkerSilentError("it is down", undefined, mayHaveArrived);
    }
    if (this.life.instance !== instance)
      throw new WorkerReplacedError(instance);
  }

  private passCut(cut: WorkerCut, act: () => void): void {
    const { clock, random } = this.options;
    const { life } = this;
    const isLost = cut === "calls" && random.next() >= WORKER.heldUpShare;
    if (isLost) return;
    const mostMs = cut === "calls" ? WORKER.heldUpMs : WORKER.maxLatencyMs;
    clock.after(this.delay(mostMs), () => {
      if (this.life === life && this.up) tryTo(act);
    });
  }

  /**
   * The worker has not come to the look yet, or not to its answer.
   * @throws WorkerSilentError when the worker ends before
   */
  private async holdUp(): Promise<void> {
    if (this.slowMs === 0) return;
    const { life } = this;
    await sleep(this.options.clock, this.delay(this.slowMs));
    const isOver = this.life !== life || !this.up;
    if (isOver) throw new WorkerSilentError("the call broke off");
  }

  private async call<T>(instance: WorkerInstance, act: () => T): Promise<T> {
    const { clock, random } = this.options;
    await this.reach(instance, act);
    const { life } = this;
    if (!this.lateOrders || random.next() >= WORKER.lateShare) return act();
    const { least, most } = WORKER.lateMs;
    clock.after(least + random.next() * (most - least), () => {
      const isNext = this.life !== life && this.life.epoch > 0;
      const outlives = isNext && this.options.lives?.ordersOutlive === true;
      const mayAct = this.life === life || outlives;
      if (mayAct && this.up) tryTo(act);
    });
    await sleep(clock, WORKER.callTimeoutMs);
    throw new WorkerSilentError("the order got no answer");
  }

  /** @throws TaskRefusedError when a higher epoch was seen */
  private fence(epoch: Epoch): void {
    if (epoch < this.life.epoch) {
      throw new TaskRefusedError("a higher epoch was seen", true);
    }
    this.life.epoch = epoch;
  }

  private begin(order: RunStart): StartOutcome {
    const { life } = this;
    if (order.epoch < life.epoch) return { kind: "refused", reason: "fenced" };
    life.epoch = order.epoch;
    if (life.running.has(runKeyOf(order))) {
      life.extendLease(order.leaseUntil);
      return { kind: "started", at: life.at };
    }
    if (life.isBarred(order)) {
      life.extendLease(order.leaseUntil);
      return { kind: "refused", reason: "old-run" };
    }
    if (order.leaseUntil <= life.at) return { kind: "refused", reason: "late" };
    life.extendLease(order.leaseUntil);
    this.checkCheckpoint(order);
    this.run(order);
    return { kind: "started", at: life.at };
  }

  private run({ task, run }: RunRef): void {
    const { clock, history, host, traitsOf } = this.options;
    const traits = traitsOf(task);
    const seen: RunSeen = {
      task,
      run,
      host,
      beganAt: clock.monotonic(),
      endedAt: undefined,
      outcome: undefined,
      noted: false,
    };
    const gangKey = traits.gang && `${stepOf(task)}#${run}`;
    const running = { ref: { task, run }, seen, traits, gangKey };
    this.life.running.set(runKeyOf(running.ref), running);
    history.begin(seen);
    const taken = [...this.life.running.values()].reduce(
      (sum, other) => sum + other.traits.milliCores,
      0,
    );
    if (taken > this.roomAllowed) {
      history.add("over-room", seen.beganAt, `${host} runs ${taken}`);
    }
    if (traits.crashes) this.crashSoon();
    if (traits.gang && gangKey !== undefined) {
      const { life } = this;
      this.options.gangs.join({ key: gangKey, ...traits.gang }, task, (how) => {
        if (this.life === life && this.up) this.end(running, how);
      });
      return;
    }
    if (traits.runMs === undefined) return;
    this.endLater(running, traits.runMs, traits.fails ? "failed" : "done");
  }

  /** The task that has just begun takes its worker down; the next life comes by itself. */
  private crashSoon(): void {
    const { clock } = this.options;
    const { life } = this;
    clock.after(WORKER.crashAfterMs, () => {
      if (this.life !== life || !this.up) return;
      this.breakDown(this.delay(WORKER.backMs));
    });
  }

  private endLater(running: Running, ms: number, outcome: RunOutcome): void {
    const { life } = this;
    this.options.clock.after(ms, () => {
      if (this.life === life && this.up) this.end(running, outcome);
    });
  }

  /** A checkpoint is one that a run of the task, or of its gang, has saved. */
  private checkCheckpoint({ task, run, checkpoint }: RunStart): void {
    if (checkpoint === "") return;
    const { clock, history, traitsOf } = this.options;
    const [savedBy = ""] = checkpoint.split("@");
    const isOwn = traitsOf(task).gang
      ? stepOf(savedBy) === stepOf(task)
      : savedBy === (task as string);
    const detail = `${task}#${run} brings ${checkpoint}`;
    if (!isOwn) history.add("unasked", clock.monotonic(), detail);
  }

  private end(running: Running, outcome: RunOutcome): void {
    const { life } = this;
    const { ref, seen, gangKey } = running;
    if (!life.running.delete(runKeyOf(ref))) return;
    seen.endedAt = this.options.clock.monotonic();
    seen.outcome = outcome;
    life.listEnd(running, outcome);
    if (gangKey !== undefined) this.options.gangs.left(gangKey, ref.task);
    life.wake();
  }

  private delay(mostMs: number): number {
    return this.options.random.next() * mostMs;
  }
}

/** A fenced order that comes late does nothing, and nobody hears of it. */
const tryTo = (act: () => void): void => {
  try {
    act();
  } catch (err) {
    if (!(err instanceof TaskRefusedError)) throw err;
  }
};

/** A task's id without its index. */
const stepOf = (task: string): string => task.replace(/\.\d+$/, "");
