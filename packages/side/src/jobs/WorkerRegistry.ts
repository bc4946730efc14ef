/** Which life of the worker stands on this host, by its own heartbeats. */

import {
  ChangeSignal,
  RackspanError,
  type Clock,
  type Logger,
  type Monotonic,
  type ServiceName,
  type WorkerInstance,
} from "@rackspan/common";
import type { WorkerDescription } from "@rackspan/protocol";
import { WorkerRunTracker } from "./WorkerRunTracker.js";
import { UnansweredStarts } from "./UnansweredStarts.js";

/** A heartbeat of the worker on this host. */
export interface WorkerHeartbeat {
  readonly worker: WorkerDescription;
  /** Rises with each heartbeat of one life. */
  readonly sequence: number;
  /**
   * Whether it may be another life's that was heard; given only where the worker does
   * not say which of the lives under its id it is.
   */
  readonly mayBeFrom?: ((life: WorkerInstance) => boolean) | undefined;
}

const REGISTRY = {
  /** Ids of lives that are over; late heartbeats of theirs are passed over. */
  maxGone: 64,
  /** Lives that may be the present one; those heard before them are forgotten. */
  maxDisplaced: 8,
} as const;

/** What a worker says at its planned end. */
export interface WorkerDeregistration {
  /** The life that it names. */
  readonly instance: WorkerInstance;
  /** Whether it may mean that life, where it does not name one that was heard. */
  readonly mayBeFrom: (life: WorkerInstance) => boolean;
}

/** The heartbeat of a worker that is not the one on this host. */
export class OtherServiceError extends RackspanError {
  readonly kind = "other-service";
  constructor(
    instance: WorkerInstance,
    service: ServiceName,
    expected: ServiceName,
  ) {
    super({
      what: `worker ${instance} reports service ${service}, and this host runs ${expected}`,
      remedy: "see who else reports to this host; the worker here goes on",
    });
  }
}

/** A heartbeat that leaves open which life it is from, where a life that says so stands. */
export class AmbiguousIncarnationError extends RackspanError {
  readonly kind = "open-life";
  constructor(instance: WorkerInstance) {
    super({
      what: `the heartbeat under ${instance} does not say which life it is from`,
      remedy: "see who else reports to this host; the worker here goes on",
    });
  }
}

export class WorkerRegistry {
  /** Notified when the worker or its state changes. */
  readonly changed = new ChangeSignal();
  /** What runs at the lives that may be the present one, and what was lost with others. */
  readonly runs: WorkerRunTracker;
  /** Starts that a life may yet carry out, or its next one in its place. */
  readonly unansweredStarts: UnansweredStarts;
  /** The life that ended last. */
  lastGone: WorkerInstance | undefined;
  private heartbeat: WorkerHeartbeat | undefined;
  private heardAt: Monotonic = -Infinity;
  /**
   * The lives heard before, the last one at the end, until the present one has
   * answered a call. Heartbeats may be delayed until after their sender has
   * crashed and the next life registered, so which of them stands here is known
   * only from an answer. Were only the last of them kept, the second late heartbeat
   * would shut the present life out for good.
   */
  private displaced: WorkerHeartbeat[] = [];
  private readonly gone = new Set<WorkerInstance>();
  /** Lives that drain, and that may have said that they leave. */
  private readonly leaving = new Set<WorkerInstance>();

  /** @param service that of the worker on this host; any when left out */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly service?: ServiceName,
  ) {
    this.runs = new WorkerRunTracker(clock);
    this.unansweredStarts = new UnansweredStarts(clock);
  }

  /** The life that was heard last and is not known to be over. */
  get worker(): WorkerDescription | undefined {
    if (!this.heartbeat) return undefined;
    const { worker } = this.heartbeat;
    if (worker.leavesInMs === undefined) return worker;
    const elapsed = this.clock.monotonic() - this.heardAt;
    const leavesInMs = Math.max(0, worker.leavesInMs - elapsed);
    return { ...worker, leavesInMs };
  }

  /**
   * @throws OtherServiceError when it does not come from the worker on this host
   * @throws OpenLifeError when it may come from another life than it names
   */
  recordHeartbeat(beat: WorkerHeartbeat): void {
    const { instance, service } = beat.worker;
    if (this.service !== undefined && service !== this.service) {
      throw new OtherServiceError(instance, service, this.service);
    }
    const isOther = ({ worker }: WorkerHeartbeat): boolean =>
      worker.instance !== instance &&
      beat.mayBeFrom?.(worker.instance) === true;
    if (this.lives.some(isOther)) throw new AmbiguousIncarnationError(instance);
    const current = this.heartbeat;
    if (this.gone.has(instance)) return;
    if (this.isDisplaced(instance)) return;
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

  /** Whether that life may be the present one: only an answer settles it. */
  mayBeCurrent(instance: WorkerInstance): boolean {
    const { heartbeat } = this;
    if (!heartbeat || heartbeat.worker.instance === instance) return true;
    return this.isDisplaced(instance);
  }

  /** That life of the worker has answered a call: those before are over. */
  confirmCurrent(instance: WorkerInstance): void {
    if (this.heartbeat?.worker.instance !== instance) return;
    for (const { worker } of this.displaced) this.ban(worker);
    this.displaced = [];
  }

  /**
   * The worker has said that it leaves. Which life under its id said so may be open, and
   * what was held up may come from one before: only one that drains can have said it,
   * and it is over once it can be reached no more.
   */
  recordDeregistration({
    instance: life,
    mayBeFrom: mayMean,
  }: WorkerDeregistration): void {
    const meant = this.lives.filter(({ worker }) => mayMean(worker.instance));
    if (meant.length === 0 || this.heard(life)) {
      this.recordGone(life, "it said that it leaves");
      return;
    }
    const draining = meant.filter(({ worker }) => worker.draining);
    for (const { worker } of draining) this.leaving.add(worker.instance);
    if (draining.length > 0) return;
    this.logger.info("worker.goodbye-passed-over", { instance: life });
  }

  /** No connection to that life of the worker can be made. */
  recordUnreachable(instance: WorkerInstance): void {
    if (!this.leaving.has(instance)) return;
    this.recordGone(instance, "it said that it leaves, and cannot be reached");
  }

  /** That life of the worker is over. */
  recordGone(instance: WorkerInstance, reason: string): void {
    if (this.gone.has(instance)) return;
    this.ban(this.heard(instance) ?? { instance, draining: false });
    this.lastGone = instance;
    this.logger.info("worker.gone", { instance, reason });
    this.displaced = this.displaced.filter(
      ({ worker }) => worker.instance !== instance,
    );
    if (this.heartbeat?.worker.instance === instance) {
      // Its heartbeat came late: the life before may be the present one.
      this.heartbeat = this.displaced.pop();
    }
    this.changed.notify();
  }

  private isDisplaced(instance: WorkerInstance): boolean {
    return this.displaced.some(({ worker }) => worker.instance === instance);
  }

  /** @param current the life that a heartbeat of another one replaces */
  private displace(current: WorkerHeartbeat): void {
    this.displaced.push(current);
    if (this.displaced.length > REGISTRY.maxDisplaced) this.displaced.shift();
  }

  /** What that life has said of itself last. */
  private heard(instance: WorkerInstance): WorkerDescription | undefined {
    return this.lives.find(({ worker }) => worker.instance === instance)
      ?.worker;
  }

  /** Lives that may be the present one. */
  private get lives(): readonly WorkerHeartbeat[] {
    const { heartbeat, displaced } = this;
    return heartbeat ? [heartbeat, ...displaced] : displaced;
  }

  /** That life is over: its heartbeats are passed over from now on. */
  private ban({
    instance,
    draining,
  }: Pick<WorkerDescription, "instance" | "draining">): void {
    this.runs.endIncarnation(instance, draining);
    this.leaving.delete(instance);
    this.gone.add(instance);
    if (this.gone.size <= REGISTRY.maxGone) return;
    const [oldest] = this.gone;
    if (oldest) this.gone.delete(oldest);
  }
}
