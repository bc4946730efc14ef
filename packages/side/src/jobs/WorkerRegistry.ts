/** Determines from heartbeats which incarnation of the worker is the current one on this host. */

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
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number;
  /**
   * Whether the heartbeat may be from another registered incarnation. Only set when the
   * worker does not specify which of the incarnations with its id it is.
   */
  readonly mayBeFrom?: ((instance: WorkerInstance) => boolean) | undefined;
}

const REGISTRY = {
  /** Incarnations that have ended; their late heartbeats are ignored. */
  maxGone: 64,
  /** Displaced incarnations that may be the current one; older ones are dropped. */
  maxDisplaced: 8,
} as const;

/** Message of a worker at its planned end. */
export interface WorkerDeregistration {
  /** The incarnation that the message names. */
  readonly instance: WorkerInstance;
  /** Whether the message may be from that incarnation, when it names none that is registered. */
  readonly mayBeFrom: (instance: WorkerInstance) => boolean;
}

/** Thrown for a heartbeat of a worker that does not belong to this host. */
export class OtherServiceError extends RackspanError {
  readonly kind = "other-service";
  constructor(
    instance: WorkerInstance,
    service: ServiceName,
    expected: ServiceName,
  ) {
    super({
      what: `worker ${instance} reports service ${service}, but this host runs ${expected}`,
      remedy:
        "check which other worker reports to this host; the registered worker is unaffected",
    });
  }
}

/** Thrown for a heartbeat without an incarnation while a worker that specifies its own is registered. */
export class AmbiguousIncarnationError extends RackspanError {
  readonly kind = "open-life";
  constructor(instance: WorkerInstance) {
    super({
      what: `the heartbeat under ${instance} does not specify its incarnation`,
      remedy:
        "check which other worker reports to this host; the registered worker is unaffected",
    });
  }
}

export class WorkerRegistry {
  /** Notified when the worker or its state changes. */
  readonly changed = new ChangeSignal();
  /** Runs at the incarnations that may be the current one, and runs lost with others. */
  readonly runs: WorkerRunTracker;
  /** Starts that an incarnation, or the next one in its place, may still carry out. */
  readonly unansweredStarts: UnansweredStarts;
  /** The incarnation that ended last. */
  lastGone: WorkerInstance | undefined;
  private heartbeat: WorkerHeartbeat | undefined;
  private receivedAt: Monotonic = -Infinity;
  /**
   * Incarnations registered before, the latest at the end, until the current one has answered
   * a call. A heartbeat may arrive after its sender has crashed and the next incarnation has
   * registered, so only an answer confirms which of them is current. If only the latest were
   * kept, a second late heartbeat would permanently lock out the current incarnation.
   */
  private displaced: WorkerHeartbeat[] = [];
  private readonly gone = new Set<WorkerInstance>();
  /** Draining incarnations that may have deregistered. */
  private readonly leaving = new Set<WorkerInstance>();

  /** @param service service of the worker on this host; any service is accepted when left out */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly service?: ServiceName,
  ) {
    this.runs = new WorkerRunTracker(clock);
    this.unansweredStarts = new UnansweredStarts(clock);
  }

  /** The incarnation that registered last and is not known to have ended. */
  get worker(): WorkerDescription | undefined {
    if (!this.heartbeat) return undefined;
    const { worker } = this.heartbeat;
    if (worker.leavesInMs === undefined) return worker;
    const elapsed = this.clock.monotonic() - this.receivedAt;
    const leavesInMs = Math.max(0, worker.leavesInMs - elapsed);
    return { ...worker, leavesInMs };
  }

  /**
   * @throws OtherServiceError when the heartbeat is not from the worker on this host
   * @throws AmbiguousIncarnationError when it may be from another incarnation than it names
   */
  recordHeartbeat(heartbeat: WorkerHeartbeat): void {
    const { instance, service } = heartbeat.worker;
    if (this.service !== undefined && service !== this.service) {
      throw new OtherServiceError(instance, service, this.service);
    }
    const isOther = ({ worker }: WorkerHeartbeat): boolean =>
      worker.instance !== instance &&
      heartbeat.mayBeFrom?.(worker.instance) === true;
    if (this.candidates.some(isOther))
      throw new AmbiguousIncarnationError(instance);
    const current = this.heartbeat;
    if (this.gone.has(instance)) return;
    if (this.isDisplaced(instance)) return;
    const isSame = current?.worker.instance === instance;
    if (current && !isSame) this.displace(current);
    if (isSame && heartbeat.sequence <= current.sequence) return;
    this.heartbeat = heartbeat;
    this.receivedAt = this.clock.monotonic();
    const drainingChanged =
      isSame && current.worker.draining !== heartbeat.worker.draining;
    if (isSame && !drainingChanged) return;
    this.logger.info(isSame ? "worker.draining" : "worker.registered", {
      instance,
      service: heartbeat.worker.service,
      leavesInMs: heartbeat.worker.leavesInMs,
      before: isSame ? undefined : current?.worker.instance,
    });
    this.changed.notify();
  }

  /** Whether that incarnation may be the current one; only an answer confirms it. */
  mayBeCurrent(instance: WorkerInstance): boolean {
    const { heartbeat } = this;
    if (!heartbeat || heartbeat.worker.instance === instance) return true;
    return this.isDisplaced(instance);
  }

  /** That incarnation has answered a call, so all previous ones have ended. */
  confirmCurrent(instance: WorkerInstance): void {
    if (this.heartbeat?.worker.instance !== instance) return;
    for (const { worker } of this.displaced) this.endIncarnation(worker);
    this.displaced = [];
  }

  /**
   * The worker has deregistered. It may be unknown which incarnation with its id sent the
   * message, and a delayed message may be from a previous one. Only a draining incarnation can
   * have sent it, and that incarnation has ended once it is unreachable.
   */
  recordDeregistration({ instance, mayBeFrom }: WorkerDeregistration): void {
    const senders = this.candidates.filter(({ worker }) =>
      mayBeFrom(worker.instance),
    );
    if (senders.length === 0 || this.descriptionOf(instance)) {
      this.recordGone(instance, "deregistered");
      return;
    }
    const draining = senders.filter(({ worker }) => worker.draining);
    for (const { worker } of draining) this.leaving.add(worker.instance);
    if (draining.length > 0) return;
    this.logger.info("worker.goodbye-passed-over", { instance });
  }

  /** Records that no connection to that incarnation of the worker can be made. */
  recordUnreachable(instance: WorkerInstance): void {
    if (!this.leaving.has(instance)) return;
    this.recordGone(instance, "deregistered and unreachable");
  }

  /** Records that that incarnation of the worker has ended. */
  recordGone(instance: WorkerInstance, reason: string): void {
    if (this.gone.has(instance)) return;
    this.endIncarnation(
      this.descriptionOf(instance) ?? { instance, draining: false },
    );
    this.lastGone = instance;
    this.logger.info("worker.gone", { instance, reason });
    this.displaced = this.displaced.filter(
      ({ worker }) => worker.instance !== instance,
    );
    if (this.heartbeat?.worker.instance === instance) {
      // Its heartbeat was late: the previously registered incarnation may be the current one.
      this.heartbeat = this.displaced.pop();
    }
    this.changed.notify();
  }

  private isDisplaced(instance: WorkerInstance): boolean {
    return this.displaced.some(({ worker }) => worker.instance === instance);
  }

  /** @param current the incarnation that a heartbeat of another one replaces */
  private displace(current: WorkerHeartbeat): void {
    this.displaced.push(current);
    if (this.displaced.length > REGISTRY.maxDisplaced) this.displaced.shift();
  }

  /** The latest description that was received from that incarnation. */
  private descriptionOf(
    instance: WorkerInstance,
  ): WorkerDescription | undefined {
    return this.candidates.find(({ worker }) => worker.instance === instance)
      ?.worker;
  }

  /** Incarnations that may be the current one. */
  private get candidates(): readonly WorkerHeartbeat[] {
    const { heartbeat, displaced } = this;
    return heartbeat ? [heartbeat, ...displaced] : displaced;
  }

  /** Ends that incarnation; its heartbeats are ignored from now on. */
  private endIncarnation({
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
