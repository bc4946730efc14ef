/**
 * Models a worker as the platform describes it: incarnations, leases on its own clock,
 * fencing of epochs and runs, stops that take time, orders that are executed late.
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
import type { GangRunTracker } from "./GangRunTracker.js";
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
  readonly gangs: GangRunTracker;
  readonly milliCores: number;
  readonly traitsOf: (task: JobTaskId) => TaskTraits;
  readonly incarnations?: IncarnationOptions;
}

/** How the incarnations of one worker are related. */
export interface IncarnationOptions {
  /**
   * Whether the next incarnation may execute an unanswered order, as where both use one id.
   * It does so only after its first call, because nothing could fence the order before.
   */
  readonly ordersOutliveIncarnation: boolean;
  /** Whether all incarnations use one name, as with an adapter that reports an id as instance. */
  readonly shareOneInstance: boolean;
}

const WORKER = {
  callTimeoutMs: 400,
  maxLatencyMs: 4,
  /** Maximum duration of a stop, milliseconds. */
  stopMs: 200,
  /** Delay until an unanswered order is executed, milliseconds. */
  orderDelayMs: { least: 2_000, most: 12_000 },
  /** Share of the orders that are delayed while the fault is active. */
  delayedOrderShare: 0.5,
  /** A task that crashes its worker does so this long after its start, milliseconds. */
  crashAfterMs: 10,
  /** Maximum time until a worker crashed by a task is back, milliseconds. */
  maxDownMs: 1_500,
  /** Time within which a side detects a silent worker: a long poll and one call, milliseconds. */
  silenceDetectedMs: 700,
  /** Maximum delay of a call that reaches a disconnected worker, milliseconds. */
  maxHeldUpMs: 3_000,
  /** Share of the calls that are delayed by a cut; the others are lost. */
  heldUpShare: 0.5,
} as const;

/** How a worker is cut from its side while its incarnation runs on. */
export type WorkerCut =
  /** Calls arrive, and their answers do not. */
  | "answers"
  /** Calls do not arrive, or arrive only some seconds later. */
  | "calls";

export class WorkerModel implements TaskHost {
  /** Whether orders may be executed late, without an answer. */
  delaysOrders = false;
  /** Since when the worker is unreachable; undefined while it is reachable. */
  silentSince: Monotonic | undefined;
  /** When the worker became reachable again. */
  reachableSince: Monotonic = -Infinity;
  /**
   * When all leases sent to the current incarnation have expired. Leases that polls carry after
   * the silence was detected are left out, because none may be sent then.
   */
  sentLeasesExpireBy: Monotonic = -Infinity;
  private cut: WorkerCut | undefined;
  /** Maximum delay of a poll while the worker is short of processor time, milliseconds. */
  maxPollDelayMs = 0;
  /** Share of the calls whose connection becomes silent. */
  private dropShare = 0;
  private incarnationCount = 0;
  private incarnation: WorkerIncarnation;
  private up = true;
  /** Whether connections are refused while the worker is down, as by a process that has ended. */
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

  /** Number of ends that are still listed because they are not acknowledged. */
  get listedEnds(): number {
    return this.up ? this.incarnation.listedEnds.length : 0;
  }

  get milliCores(): number {
    return this.capacity.milliCores;
  }

  /** Changes the capacity of the running worker; its heartbeats report the new value. */
  changeCapacity(milliCores: number): void {
    this.capacity.change(milliCores);
  }

  get isUp(): boolean {
    return this.up;
  }

  /** Whether its side receives its heartbeats and answers. */
  get isReachable(): boolean {
    return this.up && this.cut === undefined;
  }

  /** Cuts the worker from its side; the worker runs on. */
  disconnect(cut: WorkerCut): void {
    this.cut = cut;
    this.updateReachability();
  }

  reconnect(): void {
    this.cut = undefined;
    this.updateReachability();
  }

  /** Leaves the given share of the calls without an answer. */
  dropCalls(share: number): void {
    this.dropShare = share;
    if (share === 0) this.reachableSince = this.options.clock.monotonic();
  }

  /** Whether calls may get no answer although the worker is up. */
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

  /** Ends all runs; none of these ends is listed. */
  crash(): void {
    this.up = false;
    this.updateReachability();
    this.incarnation.cancelLeaseTimer();
    this.runner.dropAll(this.incarnation);
    this.incarnation.wakePolls();
  }

  /** Ends the process, so that connections are refused, and restarts it after `backMs`. */
  crashAndRestart(backMs: number): void {
    this.crash();
    this.refusesConnections = true;
    this.options.clock.after(backMs, () => {
      if (!this.up) this.restart();
    });
  }

  /** Starts a new incarnation; one that is up crashes first. */
  restart(): void {
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
      throw new WorkerSilentError("the call was interrupted");
    }
    await this.delayPoll();
    await this.reach(instance);
    const { at } = incarnation;
    return {
      at,
      running: [...incarnation.running.values()].map(({ ref, traits }) => ({
        ...ref,
        checkpoint: traits.savesCheckpoints ? `${ref.task}@${at}` : "",
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
   * @param act executes the call where it arrives although no answer is received
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
      throw new WorkerSilentError("the worker is cut off");
    }
    if (this.up && this.drawsDroppedCall()) return this.dropCall(instance, act);
    if (this.up) await sleep(clock, this.randomDelay(WORKER.maxLatencyMs));
    if (!this.up) {
      if (!this.refusesConnections) await sleep(clock, WORKER.callTimeoutMs);
      const mayHaveArrived = !this.refusesConnections;
      throw new WorkerSilentError(
        "the worker is down",
        undefined,
        mayHaveArrived,
      );
    }
    if (this.incarnation.instance !== instance)
      throw new WorkerReplacedError(instance);
  }

  private drawsDroppedCall(): boolean {
    const { dropShare } = this;
    return dropShare > 0 && this.options.random.next() < dropShare;
  }

  /** @throws WorkerSilentError because the connection of the call becomes silent */
  private async dropCall(
    instance: WorkerInstance,
    act?: () => void,
  ): Promise<never> {
    const { clock, random } = this.options;
    const cut = random.next() < 0.5 ? "answers" : "calls";
    if (act && this.incarnation.instance === instance)
      this.deliverWithoutAnswer(cut, act);
    await sleep(clock, WORKER.callTimeoutMs);
    throw new WorkerSilentError("the connection became silent");
  }

  private deliverWithoutAnswer(cut: WorkerCut, act: () => void): void {
    const { clock, random } = this.options;
    const { incarnation } = this;
    const isLost = cut === "calls" && random.next() >= WORKER.heldUpShare;
    if (isLost) return;
    const maxMs = cut === "calls" ? WORKER.maxHeldUpMs : WORKER.maxLatencyMs;
    clock.after(this.randomDelay(maxMs), () => {
      if (this.incarnation === incarnation && this.up) ignoreFencing(act);
    });
  }

  /**
   * Delays a poll or its answer while the worker is short of processor time.
   * @throws WorkerSilentError when the worker ends during the delay
   */
  private async delayPoll(): Promise<void> {
    if (this.maxPollDelayMs === 0) return;
    const { incarnation } = this;
    await sleep(this.options.clock, this.randomDelay(this.maxPollDelayMs));
    const isOver = this.incarnation !== incarnation || !this.up;
    if (isOver) throw new WorkerSilentError("the call was interrupted");
  }

  private async call<T>(instance: WorkerInstance, act: () => T): Promise<T> {
    const { clock, random } = this.options;
    await this.reach(instance, act);
    const { incarnation } = this;
    if (!this.delaysOrders || random.next() >= WORKER.delayedOrderShare)
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

  /** @throws TaskRefusedError when a higher epoch was received */
  private raiseEpoch(epoch: Epoch): void {
    if (epoch < this.incarnation.epoch) {
      throw new TaskRefusedError("a higher epoch was received", true);
    }
    this.incarnation.epoch = epoch;
  }

  /** Crashes the worker shortly after the start of a crashing task; it restarts by itself. */
  private scheduleCrash(incarnation: WorkerIncarnation): void {
    const { clock } = this.options;
    clock.after(WORKER.crashAfterMs, () => {
      if (this.incarnation !== incarnation || !this.up) return;
      this.crashAndRestart(this.randomDelay(WORKER.maxDownMs));
    });
  }

  private randomDelay(maxMs: number): number {
    return this.options.random.next() * maxMs;
  }
}

/** Executes a late order; a fenced one has no effect and gets no answer. */
const ignoreFencing = (act: () => void): void => {
  try {
    act();
  } catch (err) {
    if (!(err instanceof TaskRefusedError)) throw err;
  }
};
