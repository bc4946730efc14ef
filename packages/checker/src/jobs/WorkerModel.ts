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
  type PollResponse,
  type PollRequest,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { latestLeaseExpiry } from "@rackspan/leadership";
import type { GangBook } from "./GangBook.js";
import type { RunHistory } from "./RunHistory.js";
import { TaskRunner } from "./TaskRunner.js";
import type { TaskTraits } from "./TaskTraits.js";
import { WorkerLife } from "./WorkerLife.js";
import { WorkerRoom } from "./WorkerRoom.js";

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

/** How the lives of one worker are related. */
export interface LivesOfWorker {
  /**
   * Whether an order without an answer may be carried out by the next life, as where both
   * stand under one id; not before its first call, since nothing could bar it then.
   */
  readonly ordersOutlive: boolean;
  /** Whether all lives have one name, as for an adapter that takes an id for a life. */
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
  /** Share of the calls whose connection falls silent. */
  private silentShare = 0;
  private lives = 0;
  private life: WorkerLife;
  private up = true;
  /** Whether connections are refused while it is down, as by a process that is gone. */
  private refuses = false;
  private readonly room: WorkerRoom;
  private readonly runner: TaskRunner;

  constructor(private readonly options: WorkerModelOptions) {
    const { clock, milliCores } = options;
    this.room = new WorkerRoom(clock, milliCores);
    this.runner = new TaskRunner({
      ...options,
      room: this.room,
      isPresent: (life) => this.life === life && this.up,
      onCrashing: (life) => this.crashSoon(life),
    });
    this.life = this.bear();
  }

  get instance(): WorkerInstance {
    return this.life.instance;
  }

  /** Ends that it still lists: they are not acknowledged. */
  get listedEnds(): number {
    return this.up ? this.life.listedEnds.length : 0;
  }

  get milliCores(): number {
    return this.room.milliCores;
  }

  /** Its room shrinks or grows while it runs; its heartbeats tell it. */
  changeRoom(milliCores: number): void {
    this.room.change(milliCores);
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

  /** From now on that share of the calls to it gets no answer. */
  loseCalls(share: number): void {
    this.silentShare = share;
    if (share === 0) this.heardSince = this.options.clock.monotonic();
  }

  /** Whether calls to it may get no answer although it is up. */
  get losesCalls(): boolean {
    return this.silentShare > 0;
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
    this.up = false;
    this.noteHeard();
    this.life.end();
    this.runner.loseAll(this.life);
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
    return this.call(instance, () => this.runner.begin(this.life, order));
  }

  async stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    return this.call(instance, () => {
      this.fence(epoch);
      const { life } = this;
      life.bar(run);
      const running = life.running.get(runKeyOf(run));
      if (running) {
        const ms = this.delay(WORKER.stopMs);
        this.runner.endLater(life, running, ms, "stopped");
      }
      return life.at;
    });
  }

  async poll(
    instance: WorkerInstance,
    order: PollRequest,
  ): Promise<PollResponse> {
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

  private takeHold({ epoch, acknowledged, leaseUntil }: PollRequest): void {
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
      latestLeaseExpiry(now, leaseUntil - this.life.at),
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
      onLapsed: () => this.runner.endAll(life, "lapsed"),
    });
    return life;
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
    if (this.up && this.drawsSilence()) return this.fallSilent(instance, act);
    if (this.up) await sleep(clock, this.delay(WORKER.maxLatencyMs));
    if (!this.up) {
      if (!this.refuses) await sleep(clock, WORKER.callTimeoutMs);
      const mayHaveArrived = !this.refuses;
      throw new WorkerSilentError("it is down", undefined, mayHaveArrived);
    }
    if (this.life.instance !== instance)
      throw new WorkerReplacedError(instance);
  }

  private drawsSilence(): boolean {
    const { silentShare } = this;
    return silentShare > 0 && this.options.random.next() < silentShare;
  }

  /** @throws WorkerSilentError since the call's connection falls silent */
  private async fallSilent(
    instance: WorkerInstance,
    act?: () => void,
  ): Promise<never> {
    const { clock, random } = this.options;
    const cut = random.next() < 0.5 ? "answers" : "calls";
    if (act && this.life.instance === instance) this.passCut(cut, act);
    await sleep(clock, WORKER.callTimeoutMs);
    throw new WorkerSilentError("the connection fell silent");
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

  /** The task that has just begun takes its worker down; the next life comes by itself. */
  private crashSoon(life: WorkerLife): void {
    const { clock } = this.options;
    clock.after(WORKER.crashAfterMs, () => {
      if (this.life !== life || !this.up) return;
      this.breakDown(this.delay(WORKER.backMs));
    });
  }

  private delay(mostMs: number): number {
    return this.options.random.next() * mostMs;
  }
}

/** A fenced order that comes late does nothing, and gets no answer. */
const tryTo = (act: () => void): void => {
  try {
    act();
  } catch (err) {
    if (!(err instanceof TaskRefusedError)) throw err;
  }
};
