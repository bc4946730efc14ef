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
  type RunNumber,
  type Timer,
  type WorkerInstance,
  type WorkerTime,
} from "@rackspan/common";
import {
  runKeyOf,
  TaskRefusedError,
  WorkerReplacedError,
  WorkerSilentError,
  type EndedRun,
  type HoldAnswer,
  type HoldOrder,
  type RunOutcome,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import type { GangBook, GangRun } from "./GangBook.js";
import type { RunHistory, RunSeen } from "./RunHistory.js";

/** What a task asks for and how it fares; told by its id. */
export interface TaskTraits {
  /** Of the worker's room; none where it fills. */
  readonly milliCores: number;
  /** Milliseconds until it ends by itself; undefined for one that lasts. */
  readonly runMs: number | undefined;
  readonly fails: boolean;
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
}

const WORKER = {
  callTimeoutMs: 400,
  maxLatencyMs: 4,
  /** Time for a stop, at the most; milliseconds. */
  stopMs: 200,
  maxLeaseMs: 6_000,
  /** Its clock may run this share slow. */
  drift: 0.02,
  /** Orders without an answer are carried out this much later, milliseconds. */
  lateMs: { least: 2_000, most: 12_000 },
  /** Share of the orders that come late while the fault is on. */
  lateShare: 0.5,
} as const;

interface Running {
  readonly ref: RunRef;
  readonly seen: RunSeen;
  readonly traits: TaskTraits;
  readonly gangKey: string | undefined;
}

/** What is gone when the worker crashes. */
interface Life {
  readonly instance: WorkerInstance;
  readonly bootedAt: Monotonic;
  readonly clockOffset: number;
  readonly clockRate: number;
  readonly running: Map<string, Running>;
  readonly barred: Map<JobTaskId, RunNumber>;
  ended: { readonly end: EndedRun; readonly seen: RunSeen }[];
  endCount: number;
  epoch: number;
  leaseUntil: number;
  lapse: Timer | undefined;
  readonly waiting: Set<() => void>;
}

export class WorkerModel implements TaskHost {
  /** Whether orders may be carried out late, without an answer. */
  lateOrders = false;
  /** Ends that the lease outlived before they were taken note of. */
  private readonly voided = new WeakSet<RunSeen>();
  private lives = 0;
  private life: Life;
  private up = true;

  constructor(private readonly options: WorkerModelOptions) {
    this.life = this.bear();
  }

  get instance(): WorkerInstance {
    return this.life.instance;
  }

  /** Ends that it still lists: nobody has let it forget them. */
  get listedEnds(): number {
    return this.life.ended.length;
  }

  get isUp(): boolean {
    return this.up;
  }

  /** All that runs there ends; nothing is listed. */
  crash(): void {
    const { clock } = this.options;
    this.up = false;
    this.life.lapse?.cancel();
    const lost = [...this.life.running.values()];
    this.life.running.clear();
    for (const { seen, ref, gangKey } of lost) {
      seen.endedAt = clock.monotonic();
      if (gangKey !== undefined) this.options.gangs.left(gangKey, ref.task);
    }
    this.wake();
  }

  revive(): void {
    this.life = this.bear();
    this.up = true;
  }

  async start(
    instance: WorkerInstance,
    order: RunStart,
  ): Promise<StartOutcome> {
    return this.call(instance, () => this.begin(order));
  }

  async stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    return this.call(instance, () => {
      this.fence(epoch);
      this.bar(run);
      const running = this.life.running.get(runKeyOf(run));
      if (running) this.endLater(running, this.delay(WORKER.stopMs), "stopped");
      return this.at;
    });
  }

  async hold(instance: WorkerInstance, order: HoldOrder): Promise<HoldAnswer> {
    await this.reach(instance);
    this.fence(order.epoch);
    const { life } = this;
    this.forget(order.acknowledged);
    if (order.leaseUntil !== undefined) this.extend(order.leaseUntil);
    if (order.waitMs > 0) await this.waitForEnd(life, order.waitMs);
    await this.reach(instance);
    return {
      at: this.at,
      running: [...life.running.values()].map(({ ref, traits }) => ({
        ...ref,
        checkpoint: traits.saves ? `${ref.task}@${this.at}` : "",
        progressPercent: 50,
        reading: traits.reading,
      })),
      ended: life.ended.map(({ end }) => end),
    };
  }

  async pace(instance: WorkerInstance): Promise<void> {
    await this.reach(instance);
  }

  /** The worker's clock. */
  private get at(): WorkerTime {
    const { clock } = this.options;
    const { bootedAt, clockOffset, clockRate } = this.life;
    const age = clock.monotonic() - bootedAt;
    return Math.floor(clockOffset + age * clockRate) as unknown as WorkerTime;
  }

  private bear(): Life {
    const { clock, random, host } = this.options;
    this.lives += 1;
    return {
      instance: brand<WorkerInstance>(`${host}-${this.lives}`),
      bootedAt: clock.monotonic(),
      clockOffset: Math.floor(random.next() * 1e6),
      clockRate: 1 - random.next() * WORKER.drift,
      running: new Map(),
      barred: new Map(),
      ended: [],
      endCount: 0,
      epoch: 0,
      leaseUntil: 0,
      lapse: undefined,
      waiting: new Set(),
    };
  }

  /** @throws WorkerSilentError, WorkerReplacedError */
  private async reach(instance: WorkerInstance): Promise<void> {
    const { clock } = this.options;
    if (this.up) await sleep(clock, this.delay(WORKER.maxLatencyMs));
    if (!this.up) {
      await sleep(clock, WORKER.callTimeoutMs);
      throw new WorkerSilentError("the worker is down");
    }
    if (this.life.instance !== instance)
      throw new WorkerReplacedError(instance);
  }

  private async call<T>(instance: WorkerInstance, act: () => T): Promise<T> {
    const { clock, random } = this.options;
    await this.reach(instance);
    const { life } = this;
    if (!this.lateOrders || random.next() >= WORKER.lateShare) return act();
    const { least, most } = WORKER.lateMs;
    clock.after(least + random.next() * (most - least), () => {
      if (this.life !== life || !this.up) return;
      try {
        act();
      } catch {
        // A fenced order that comes late does nothing; nobody hears of it.
      }
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
      this.extend(order.leaseUntil);
      return { kind: "started", at: this.at };
    }
    if (order.run <= (life.barred.get(order.task) ?? 0)) {
      this.extend(order.leaseUntil);
      return { kind: "refused", reason: "old-run" };
    }
    if (order.leaseUntil <= this.at) return { kind: "refused", reason: "late" };
    this.extend(order.leaseUntil);
    this.checkCheckpoint(order);
    this.run(order);
    return { kind: "started", at: this.at };
  }

  private run({ task, run }: RunRef): void {
    const { clock, history, host, milliCores, traitsOf } = this.options;
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
    const gangKey = traits.gang && `${task.replace(/\.\d+$/, "")}#${run}`;
    const running = { ref: { task, run }, seen, traits, gangKey };
    this.life.running.set(runKeyOf(running.ref), running);
    history.begin(seen);
    const taken = [...this.life.running.values()].reduce(
      (sum, other) => sum + other.traits.milliCores,
      0,
    );
    if (taken > milliCores) {
      history.add("over-room", seen.beganAt, `${host} runs ${taken}`);
    }
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
    const stepOf = (id: string): string => id.replace(/\.\d+$/, "");
    const isOwn = traitsOf(task).gang
      ? stepOf(savedBy) === stepOf(task)
      : savedBy === (task as string);
    const detail = `${task}#${run} brings ${checkpoint}`;
    if (!isOwn) history.add("unasked", clock.monotonic(), detail);
  }

  private end({ ref, seen, gangKey }: Running, outcome: RunOutcome): void {
    const { life } = this;
    if (!life.running.delete(runKeyOf(ref))) return;
    this.bar(ref);
    seen.endedAt = this.options.clock.monotonic();
    seen.outcome = outcome;
    life.endCount += 1;
    const number = life.endCount;
    life.ended.push({ end: { ...ref, number, outcome, checkpoint: "" }, seen });
    if (gangKey !== undefined) this.options.gangs.left(gangKey, ref.task);
    this.wake();
  }

  private bar({ task, run }: RunRef): void {
    const highest = Math.max(run, this.life.barred.get(task) ?? 0);
    this.life.barred.set(task, highest as unknown as RunNumber);
  }

  private forget(acknowledged: number): void {
    const { life } = this;
    for (const { end, seen } of life.ended) {
      if (end.number <= acknowledged && !this.voided.has(seen))
        seen.noted = true;
    }
    life.ended = life.ended.filter(({ end }) => end.number > acknowledged);
  }

  private extend(until: WorkerTime): void {
    const { life } = this;
    const now: number = this.at;
    if (life.leaseUntil <= now) this.voidEnds();
    const longest = now + WORKER.maxLeaseMs;
    life.leaseUntil = Math.max(life.leaseUntil, Math.min(until, longest));
    life.lapse?.cancel();
    const leftMs = (life.leaseUntil - now) / life.clockRate;
    life.lapse = this.options.clock.after(leftMs, () => {
      if (this.life !== life || !this.up) return;
      this.voidEnds();
      for (const running of [...life.running.values()]) {
        this.end(running, "lapsed");
      }
    });
  }

  private voidEnds(): void {
    for (const { seen } of this.life.ended) this.voided.add(seen);
  }

  private async waitForEnd(life: Life, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        timer.cancel();
        life.waiting.delete(wake);
        resolve();
      };
      const timer = this.options.clock.after(waitMs, wake);
      life.waiting.add(wake);
    });
  }

  private wake(): void {
    const waiting = [...this.life.waiting];
    this.life.waiting.clear();
    for (const resolve of waiting) resolve();
  }

  private delay(mostMs: number): number {
    return this.options.random.next() * mostMs;
  }
}
