/** Which life of the worker stands on this host, by its own heartbeats. */

import {
  ChangeSignal,
  type Clock,
  type Logger,
  type Monotonic,
  type WorkerInstance,
} from "@rackspan/common";
import type { WorkerDescription } from "@rackspan/protocol";

/** A heartbeat of the worker on this host. */
export interface WorkerHeartbeat {
  readonly worker: WorkerDescription;
  /** Rises with each heartbeat of one life. */
  readonly sequence: number;
}

const REGISTRY = {
  /** Ids of lives that are over; late heartbeats of theirs are passed over. */
  maxGone: 64,
} as const;

export class WorkerRegistry {
  /** Notified when the worker or its state changes. */
  readonly changed = new ChangeSignal();
  /** The life that ended last. */
  lastGone: WorkerInstance | undefined;
  private heartbeat: WorkerHeartbeat | undefined;
  private heardAt: Monotonic = -Infinity;
  /**
   * The life before, until the present one has answered a call. A heartbeat may
   * be delayed until after its sender has crashed and the next life registered,
   * so which of two lives stands here is known only from an answer.
   */
  private displaced: WorkerHeartbeat | undefined;
  private readonly gone = new Set<WorkerInstance>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** The life that was heard last and is not known to be over. */
  get worker(): WorkerDescription | undefined {
    if (!this.heartbeat) return undefined;
    const { worker } = this.heartbeat;
    if (worker.leavesInMs === undefined) return worker;
    const elapsed = this.clock.monotonic() - this.heardAt;
    const leavesInMs = Math.max(0, worker.leavesInMs - elapsed);
    return { ...worker, leavesInMs };
  }

  noteHeartbeat(beat: WorkerHeartbeat): void {
    const { instance } = beat.worker;
    const current = this.heartbeat;
    if (this.gone.has(instance)) return;
    if (this.displaced?.worker.instance === instance) return;
    const isSame = current?.worker.instance === instance;
    if (current && !isSame) this.displace(current);
    if (isSame && beat.sequence <= current.sequence) return;
    this.heartbeat = beat;
    this.heardAt = this.clock.monotonic();
    const began = isSame && current.worker.draining !== beat.worker.draining;
    if (isSame && !began) return;
    this.logger.info(isSame ? "worker.draining" : "worker.registered", {
      instance,
      service: beat.worker.service,
      leavesInMs: beat.worker.leavesInMs,
      before: isSame ? undefined : current?.worker.instance,
    });
    this.changed.notify();
  }

  /** That life of the worker has answered a call: the one before is over. */
  noteAnswered(instance: WorkerInstance): void {
    if (!this.displaced || this.heartbeat?.worker.instance !== instance) return;
    this.ban(this.displaced.worker.instance);
    this.displaced = undefined;
  }

  /** That life of the worker is over. */
  noteGone(instance: WorkerInstance, reason: string): void {
    if (this.gone.has(instance)) return;
    this.ban(instance);
    this.lastGone = instance;
    this.logger.info("worker.gone", { instance, reason });
    if (this.displaced?.worker.instance === instance) {
      this.displaced = undefined;
    }
    if (this.heartbeat?.worker.instance === instance) {
      // Its heartbeat came late: the life before may be the present one.
      this.heartbeat = this.displaced;
      this.displaced = undefined;
    }
    this.changed.notify();
  }

  /** @param current the life that a heartbeat of another one replaces */
  private displace(current: WorkerHeartbeat): void {
    if (this.displaced) this.ban(this.displaced.worker.instance);
    this.displaced = current;
  }

  /** Passes over heartbeats of that life from now on. */
  private ban(instance: WorkerInstance): void {
    this.gone.add(instance);
    if (this.gone.size <= REGISTRY.maxGone) return;
    const [oldest] = this.gone;
    if (oldest) this.gone.delete(oldest);
  }
}
