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
import { WorkerIncarnation } from "./WorkerIncarnation.js";
import { WorkerCapacity } from "./WorkerCapacity.js";

export interface WorkerModelOptions {
  readonly host: HostId;
  readonly clock: Clock;
  readonly random: Random;
  readonly history: RunHistory;
  readonly gangs: GangBook;
  readonly milliCores: number;
  readonly traitsOf: (task: JobTaskId) => TaskTraits;
  readonly incarnations?: IncarnationOptions;
}

/** How the lives of one worker are related. */
export interface IncarnationOptions {
  /**
   * Whether an order without an answer may be carried out by the next life, as where both
   * stand under one id; not before its first call, since nothing could bar it then.
   */
  readonly ordersOutliveIncarnation: boolean;
  /** Whether all lives have one name, as for an adapter that takes an id for a life. */
  readonly shareOneInstance: boolean;
}

const WORKER = {
  callTimeoutMs: 400,
  maxLatencyMs: 4,
  /** Time for a stop, at the most; milliseconds. */
  stopMs: 200,
  /** Orders without an answer are carried out this much later, milliseconds. */
  orderDelayMs: { least: 2_000, most: 12_000 },
  /** Share of the orders that come late while the fault is on. */
  delayedOrderShare: 0.5,
  /** A task that crashes its worker does so this long after its start, milliseconds. */
  crashAfterMs: 10,
  /** A worker that a task has crashed is back after this, at the most; milliseconds. */
  maxDownMs: 1_500,
  /** A side has noticed by then that its worker is silent: a look that waits, and a call. */
  silenceDetectedMs: 700,
  /** What is sent to a worker behind a cut may reach it up to this much later, milliseconds. */
  maxHeldUpMs: 3_000,
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
  reachableSince: Monotonic = -Infinity;
  /**
   * From then on nothing that was sent to the present life lets it run anything; leases
   * that looks bring once it is known to be silent are left out, as none is to be sent.
   */
  sentLeasesExpireBy: Monotonic = -Infinity;
  private cut: WorkerCut | undefined;
  /** How long a look may wait for a worker short of processor time; milliseconds. */
  maxPollDelayMs = 0;
  /** Share of the calls whose connection falls silent. */
  private dropShare = 0;
  private incarnationCount = 0;
  private incarnation: WorkerIncarnation;
  private up = true;
  /** Whether connections are refused while it is down, as by a process that is gone. */
  private refusesConnections = false;
  private readonly capacity: WorkerCapacity;
  private readonly runner: TaskRunner;

  constructor(private readonly options: WorkerModelOptions) {
    const { clock, milliCores } = options;
    this.capacity = new WorkerCapacity(clock, milliCores);
    this.runner = new TaskRunner({
      ...options,
      capacity: this.capacity,
      isUp: (incarnation) => this.incarnation === incarnation && this.up,
      onCrashingTask: (incarnation) => this.scheduleCrash(incarnation),
    });
    this.incarnation = this.createIncarnation();
  }

  get instance(): WorkerInstance {
    return this.incarnation.instance;
  }

  /** Ends that it still lists: they are not acknowledged. */
  get listedEnds(): number {
    return this.up ? this.incarnation.listedEnds.length : 0;
  }

  get milliCores(): number {
    return this.capacity.milliCores;
  }

  /** Its room shrinks or grows while it runs; its heartbeats tell it. */
  changeCapacity(milliCores: number): void {
    this.capacity.change(milliCores);
  }

  get isUp(): boolean {
    return this.up;
  }

  /** Whether its side hears its heartbeats and answers. */
  get isReachable(): boolean {
    return this.up && this.cut === undefined;
  }

  /** It goes on by itself, and its side hears nothing of it. */
  disconnect(cut: WorkerCut): void {
    this.cut = cut;
    this.updateReachability();
  }

  reconnect(): void {
    this.cut = undefined;
    this.updateReachability();
  }

  /** From now on that share of the calls to it gets no answer. */
  dropCalls(share: number): void {
    this.dropShare = share;
    if (share === 0) this.reachableSince = this.options.clock.monotonic();
  }

  /** Whether calls to it may get no answer although it is up. */
  get dropsCalls(): boolean {
    return this.dropShare > 0;
  }

  private updateReachability(): void {
    const now = this.options.clock.monotonic();
    if (!this.isReachable) {
      this.silentSince ??= now;
      return;
    }
    if (this.silentSince !== undefined) this.reachableSince = now;
    this.silentSince = undefined;
  }

  /** All that runs there ends; nothing is listed. */
  crash(): void {
    this.up = false;
    this.updateReachability();
    this.incarnation.cancelLeaseTimer();
    this.runner.dropAll(this.incarnation);
    this.incarnation.wakePolls();
  }

  /** Its process is gone, and connections to it are refused; the next life comes by itself. */
  crashAndRestart(backMs: number): void {
    this.crash();
    this.refusesConnections = true;
    this.options.clock.after(backMs, () => {
      if (!this.up) this.revive();
    });
  }

  /** Another life stands here from now on; one that is up ends before. */
  revive(): void {
    if (this.up) this.crash();
    this.incarnation = this.createIncarnation();
    this.sentLeasesExpireBy = -Infinity;
    this.up = true;
    this.refusesConnections = false;
    this.updateReachability();
  }

  async start(
    instance: WorkerInstance,
    order: RunStart,
  ): Promise<StartOutcome> {
    this.recordSentLease(instance, order.leaseUntil);
    return this.call(instance, () =>
      this.runner.begin(this.incarnation, order),
    );
  }

  async stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    return this.call(instance, () => {
      this.raiseEpoch(epoch);
      const { incarnation } = this;
      incarnation.fence(run);
      const running = incarnation.running.get(runKeyOf(run));
      if (running) {
        const ms = this.randomDelay(WORKER.stopMs);
        this.runner.endLater(incarnation, running, ms, "stopped");
      }
      return incarnation.at;
    });
  }

  async poll(
    instance: WorkerInstance,
    order: PollRequest,
  ): Promise<PollResponse> {
    if (!this.isKnownSilent) this.recordSentLease(instance, order.leaseUntil);
    await this.reach(instance, () => this.applyPoll(order));
    await this.delayPoll();
    const { incarnation } = this;
    this.applyPoll(order);
    if (order.waitMs > 0) await incarnation.waitForEnd(order.waitMs);
    if (!this.up && this.refusesConnections) {
      throw new WorkerSilentError("the call broke off");
    }
    await this.delayPoll();
    await this.reach(instance);
    const { at } = incarnation;
    return {
      at,
      running: [...incarnation.running.values()].map(({ ref, traits }) => ({
        ...ref,
        checkpoint: traits.saves ? `${ref.task}@${at}` : "",
        progressPercent: 50,
        reading: traits.reading,
      })),
      ended: incarnation.listedEnds,
      hasMoreEnds: false,
    };
  }

  private applyPoll({ epoch, acknowledged, leaseUntil }: PollRequest): void {
    const { incarnation } = this;
    this.raiseEpoch(epoch);
    incarnation.dropAcknowledgedEnds(acknowledged);
    if (leaseUntil !== undefined) incarnation.extendLease(leaseUntil);
  }

  private get isKnownSilent(): boolean {
    const now = this.options.clock.monotonic();
    return now - (this.silentSince ?? now) > WORKER.silenceDetectedMs;
  }

  private recordSentLease(
    instance: WorkerInstance,
    leaseUntil: WorkerTime | undefined,
  ): void {
    if (instance !== this.instance || leaseUntil === undefined) return;
    const now = this.options.clock.monotonic();
    this.sentLeasesExpireBy = Math.max(
      this.sentLeasesExpireBy,
      latestLeaseExpiry(now, leaseUntil - this.incarnation.at),
    );
  }

  async pace(instance: WorkerInstance): Promise<void> {
    await this.reach(instance);
  }

  private createIncarnation(): WorkerIncarnation {
    const { clock, random, host } = this.options;
    this.incarnationCount += 1;
    const name = this.options.incarnations?.shareOneInstance
      ? "1"
      : this.incarnationCount;
    const incarnation = new WorkerIncarnation({
      instance: brand<WorkerInstance>(`${host}-${name}`),
      clock,
      random,
      onLeaseExpired: () => this.runner.endAll(incarnation, "lapsed"),
    });
    return incarnation;
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
      if (act && this.incarnation.instance === instance)
        this.deliverWithoutAnswer(this.cut, act);
      await sleep(clock, WORKER.callTimeoutMs);
      throw new WorkerSilentError("it is cut off");
    }
    if (this.up && this.drawsDroppedCall()) return this.dropCall(instance, act);
    if (this.up) await sleep(clock, this.randomDelay(WORKER.maxLatencyMs));
    if (!this.up) {
      if (!this.refusesConnections) await sleep(clock, WORKER.callTimeoutMs);
      const mayHaveArrived = !this.refusesConnections;
      throw new WorkerSilentError("it is down", undefined, mayHaveArrived);
    }
    if (this.incarnation.instance !== instance)
      throw new WorkerReplacedError(instance);
  }

  private drawsDroppedCall(): boolean {
    const { dropShare } = this;
    return dropShare > 0 && this.options.random.next() < dropShare;
  }

  /** @throws WorkerSilentError since the call's connection falls silent */
  private async dropCall(
    instance: WorkerInstance,
    act?: () => void,
  ): Promise<never> {
    const { clock, random } = this.options;
    const cut = random.next() < 0.5 ? "answers" : "calls";
    if (act && this.incarnation.instance === instance)
      this.deliverWithoutAnswer(cut, act);
    await sleep(clock, WORKER.callTimeoutMs);
    throw new WorkerSilentError("the connection fell silent");
  }

  private deliverWithoutAnswer(cut: WorkerCut, act: () => void): void {
    const { clock, random } = this.options;
    const { incarnation } = this;
    const isLost = cut === "calls" && random.next() >= WORKER.heldUpShare;
    if (isLost) return;
    const mostMs = cut === "calls" ? WORKER.maxHeldUpMs : WORKER.maxLatencyMs;
    clock.after(this.randomDelay(mostMs), () => {
      if (this.incarnation === incarnation && this.up) ignoreFencing(act);
    });
  }

  /**
   * The worker has not come to the look yet, or not to its answer.
   * @throws WorkerSilentError when the worker ends before
   */
  private async delayPoll(): Promise<void> {
    if (this.maxPollDelayMs === 0) return;
    const { incarnation } = this;
    await sleep(this.options.clock, this.randomDelay(this.maxPollDelayMs));
    const isOver = this.incarnation !== incarnation || !this.up;
    if (isOver) throw new WorkerSilentError("the call broke off");
  }

  private async call<T>(instance: WorkerInstance, act: () => T): Promise<T> {
    const { clock, random } = this.options;
    await this.reach(instance, act);
    const { incarnation } = this;
    if (!this.lateOrders || random.next() >= WORKER.delayedOrderShare)
      return act();
    const { least, most } = WORKER.orderDelayMs;
    clock.after(least + random.next() * (most - least), () => {
      const isNext =
        this.incarnation !== incarnation && this.incarnation.epoch > 0;
      const outlives =
        isNext && this.options.incarnations?.ordersOutliveIncarnation === true;
      const mayAct = this.incarnation === incarnation || outlives;
      if (mayAct && this.up) ignoreFencing(act);
    });
    await sleep(clock, WORKER.callTimeoutMs);
    throw new WorkerSilentError("the order got no answer");
  }

  /** @throws TaskRefusedError when a higher epoch was seen */
  private raiseEpoch(epoch: Epoch): void {
    if (epoch < this.incarnation.epoch) {
      throw new TaskRefusedError("a higher epoch was seen", true);
    }
    this.incarnation.epoch = epoch;
  }

  /** The task that has just begun takes its worker down; the next life comes by itself. */
  private scheduleCrash(incarnation: WorkerIncarnation): void {
    const { clock } = this.options;
    clock.after(WORKER.crashAfterMs, () => {
      if (this.incarnation !== incarnation || !this.up) return;
      this.crashAndRestart(this.randomDelay(WORKER.maxDownMs));
    });
  }

  private randomDelay(mostMs: number): number {
    return this.options.random.next() * mostMs;
  }
}

/** A fenced order that comes late does nothing, and gets no answer. */
const ignoreFencing = (act: () => void): void => {
  try {
    act();
  } catch (err) {
    if (!(err instanceof TaskRefusedError)) throw err;
  }
};
