/**
 * Models one connection between a side and a leader: messages are delayed but stay in
 * order, wait while the link is cut or silent, and are lost once an end has closed.
 */

import type {
  Clock,
  JobTaskId,
  Monotonic,
  Random,
  WorkerInstance,
} from "@rackspan/common";
import type {
  HostCallResult,
  StartTaskCall,
  StopTaskCall,
} from "@rackspan/protocol";
import { ENGINE, type HostSession } from "@rackspan/scheduling";
import type { ProcessClock } from "../ProcessClock.js";

const LINK = {
  maxDelayMs: 30,
  /** Interval at which a cut link is checked, milliseconds. */
  cutPollMs: 25,
} as const;

export interface SideHandlers {
  start(call: StartTaskCall): Promise<HostCallResult>;
  stop(call: StopTaskCall): Promise<HostCallResult>;
  acknowledge(instance: WorkerInstance, acknowledged: number): void;
}

export interface SideLinkOptions {
  readonly clock: Clock;
  /** Stops while the leader's process is paused. */
  readonly leaderClock: ProcessClock;
  readonly random: Random;
  readonly isCut: () => boolean;
  readonly side: SideHandlers;
  /** Called when the leader orders a start. */
  readonly onStartOrder: (task: JobTaskId) => void;
  /** See JobWorldOptions. */
  readonly deliversMessagesBeforeTimers: boolean;
}

/** One direction of a link; its receiver may close before its sender is notified. */
class LinkDirection {
  isOpen = true;
  private silentUntil: Monotonic = -Infinity;
  private readonly queue: (() => void)[] = [];
  private isBusy = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: SideLinkOptions,
  ) {}

  send(arrive: () => void): void {
    this.queue.push(arrive);
    if (!this.isBusy) this.pump();
  }

  private pump(): void {
    const { random } = this.options;
    this.isBusy = true;
    if (this.silentUntil === Infinity) return;
    const delayMs = this.isHeldUp
      ? LINK.cutPollMs
      : random.next() * LINK.maxDelayMs;
    this.clock.after(delayMs, () => {
      if (!this.isHeldUp) this.queue.shift()?.();
      this.isBusy = this.queue.length > 0;
      if (this.isBusy) this.pump();
    });
  }

  /** Delivers nothing until the given time; neither end is notified. */
  silence(until: Monotonic): void {
    this.silentUntil = Math.max(this.silentUntil, until);
  }

  get isSilent(): boolean {
    return this.clock.monotonic() < this.silentUntil;
  }

  private get isHeldUp(): boolean {
    return this.options.isCut() || this.isSilent;
  }
}

/** The direction in which an open connection no longer delivers messages. */
export type SilentDirection = "to-side" | "to-leader" | "both";

export class SideLink implements HostSession {
  private readonly toSide: LinkDirection;
  private readonly toLeader: LinkDirection;
  private readonly pending = new Set<(reason: Error) => void>();

  constructor(private readonly options: SideLinkOptions) {
    const { clock, leaderClock, deliversMessagesBeforeTimers } = options;
    this.toSide = new LinkDirection(clock, options);
    this.toLeader = new LinkDirection(
      deliversMessagesBeforeTimers ? clock : leaderClock,
      options,
    );
  }

  get isOpenAtSide(): boolean {
    return this.toSide.isOpen;
  }

  get isOpenAtLeader(): boolean {
    return this.toLeader.isOpen;
  }

  startTask(call: StartTaskCall): Promise<HostCallResult> {
    this.options.onStartOrder(call.task);
    return this.callSide(() => this.options.side.start(call));
  }

  stopTask(call: StopTaskCall): Promise<HostCallResult> {
    return this.callSide(() => this.options.side.stop(call));
  }

  acknowledge(instance: WorkerInstance, acknowledged: number): void {
    this.sendToSide(() =>
      this.options.side.acknowledge(instance, acknowledged),
    );
  }

  describe(): void {
    // Pacing is not modelled.
  }

  sendToSide(arrive: () => void): void {
    this.toSide.send(() => {
      if (this.toSide.isOpen) arrive();
    });
  }

  sendToLeader(arrive: () => void): void {
    this.toLeader.send(() =>
      this.options.leaderClock.receive(() => {
        if (this.toLeader.isOpen) arrive();
      }),
    );
  }

  /** Whether at least one direction currently delivers nothing. */
  get isSilent(): boolean {
    return this.toSide.isSilent || this.toLeader.isSilent;
  }

  /** Delivers nothing until the given time, or nothing any more when it is infinite. */
  fallSilent(direction: SilentDirection, until: Monotonic): void {
    if (direction !== "to-leader") this.toSide.silence(until);
    if (direction !== "to-side") this.toLeader.silence(until);
  }

  /** Closes the end of the side; the leader is notified once the link delivers. */
  closeAtSide(onLeaderClosed: () => void): void {
    this.toSide.isOpen = false;
    this.toLeader.send(() =>
      this.options.leaderClock.receive(() =>
        this.closeAtLeader(onLeaderClosed),
      ),
    );
  }

  closeAtLeader(onClosed: () => void): void {
    if (!this.toLeader.isOpen) return;
    this.toLeader.isOpen = false;
    for (const reject of this.pending)
      reject(new Error("the connection was closed"));
    this.pending.clear();
    this.toSide.send(() => (this.toSide.isOpen = false));
    onClosed();
  }

  private callSide(
    act: () => Promise<HostCallResult>,
  ): Promise<HostCallResult> {
    return new Promise((resolve, reject) => {
      const fail = (reason: Error): void => {
        timer.cancel();
        this.pending.delete(fail);
        reject(reason);
      };
      const timer = this.options.leaderClock.after(ENGINE.orderTimeoutMs, () =>
        fail(new Error("the order got no answer in time")),
      );
      this.pending.add(fail);
      this.sendToSide(() => {
        void act().then((result) =>
          this.sendToLeader(() => {
            timer.cancel();
            this.pending.delete(fail);
            resolve(result);
          }),
        );
      });
    });
  }
}
