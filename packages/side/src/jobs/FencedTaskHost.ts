/**
 * Wraps a TaskHost and calls each incarnation of the worker under its own sub-epoch of the
 * leader's epoch. A worker rejects calls whose epoch is lower than the highest it has
 * received, so the first call to an incarnation fences everything that was sent under lower
 * sub-epochs, to a previous incarnation or by a previous process of this side.
 */

import type {
  Clock,
  Epoch,
  WorkerInstance,
  WorkerTime,
} from "@rackspan/common";
import {
  runKeyOf,
  TaskRefusedError,
  WorkerSilentError,
  type PollResponse,
  type PollRequest,
  type PaceOrder,
  type RunRef,
  type RunStart,
  type StartOutcome,
  type TaskHost,
} from "@rackspan/ports";
import { BoundedMap } from "@rackspan/state";

const SUB_EPOCHS = {
  /** Sub-epochs per epoch. Sub-epochs derived from the clock wrap around after 13 years. */
  perEpoch: 2 ** 32,
  /** Wall-clock time per sub-epoch, milliseconds. */
  durationMs: 100,
  /** Incarnations whose sub-epochs are kept; the oldest are dropped. */
  maxIncarnations: 64,
  /** Starts whose epochs are kept; the oldest are dropped. */
  maxStarts: 1_024,
} as const;

/** Lower than the first sub-epoch. */
const NO_SUB_EPOCH = -1;

/** Fencing state of one incarnation. */
interface FencingState {
  subEpoch: number;
  /** Increment for the next retry when the worker has received a higher sub-epoch. */
  retryStep: number;
  /** The highest epoch under which it has answered a poll; undefined before the first answer. */
  acceptedEpoch: Epoch | undefined;
}

export interface FencedTaskHostOptions {
  readonly host: TaskHost;
  readonly clock: Clock;
}

export class FencedTaskHost implements TaskHost {
  private readonly incarnations = new BoundedMap<WorkerInstance, FencingState>(
    SUB_EPOCHS.maxIncarnations,
  );
  /** The epoch under which each start was last sent, by run. */
  private readonly sentEpochs = new BoundedMap<string, Epoch>(
    SUB_EPOCHS.maxStarts,
  );
  private highestSubEpoch = NO_SUB_EPOCH;
  private epoch: Epoch | undefined;

  constructor(private readonly options: FencedTaskHostOptions) {}

  start(instance: WorkerInstance, order: RunStart): Promise<StartOutcome> {
    const epoch = this.currentEpochOf(instance, order.epoch);
    this.sentEpochs.set(runKeyOf(order), epoch);
    return this.options.host.start(instance, { ...order, epoch });
  }

  stop(
    instance: WorkerInstance,
    run: RunRef,
    epoch: Epoch,
  ): Promise<WorkerTime> {
    const { host } = this.options;
    return host.stop(instance, run, this.currentEpochOf(instance, epoch));
  }

  pace(instance: WorkerInstance, order: PaceOrder): Promise<void> {
    const epoch = this.currentEpochOf(instance, order.epoch);
    return this.options.host.pace(instance, { ...order, epoch });
  }

  /**
   * The worker may have received a higher sub-epoch of the same epoch: from a process whose
   * clock was ahead, or in a poll that was meant for another incarnation under its id. Only
   * polls are retried with a higher sub-epoch, and no sub-epoch exceeds the next epoch.
   */
  async poll(
    instance: WorkerInstance,
    request: PollRequest,
  ): Promise<PollResponse> {
    const state = this.stateOf(instance, request.epoch);
    try {
      return await this.pollUnder(instance, request, state.subEpoch);
    } catch (err) {
      if (!isFenced(err)) throw err;
      const [byClock, byStep] = [
        this.clockSubEpoch(),
        state.subEpoch + state.retryStep,
      ];
      for (const subEpoch of [Math.max(state.subEpoch + 1, byClock), byStep]) {
        const answer = await this.tryPollUnder(instance, request, subEpoch);
        if (answer) return answer;
      }
      state.retryStep = Math.min(2 * state.retryStep, SUB_EPOCHS.perEpoch);
      throw err;
    }
  }

  /** Whether that incarnation has accepted a higher epoch than the start was last sent under. */
  rejectsStart(instance: WorkerInstance, run: RunRef): boolean {
    const sentEpoch = this.sentEpochs.get(runKeyOf(run));
    const acceptedEpoch = this.incarnations.get(instance)?.acceptedEpoch;
    if (sentEpoch === undefined || acceptedEpoch === undefined) return false;
    return sentEpoch < acceptedEpoch;
  }

  private async pollUnder(
    instance: WorkerInstance,
    request: PollRequest,
    subEpoch: number,
  ): Promise<PollResponse> {
    const epoch = withSubEpoch(request.epoch, subEpoch);
    try {
      const answer = await this.options.host.poll(instance, {
        ...request,
        epoch,
      });
      const state = this.incarnations.get(instance);
      if (state && epoch > (state.acceptedEpoch ?? 0))
        state.acceptedEpoch = epoch;
      return answer;
    } catch (err) {
      if (err instanceof WorkerSilentError) this.advanceSubEpoch(instance);
      throw err;
    }
  }

  /** @returns undefined when the worker has received a higher sub-epoch */
  private async tryPollUnder(
    instance: WorkerInstance,
    request: PollRequest,
    subEpoch: number,
  ): Promise<PollResponse | undefined> {
    try {
      const answer = await this.pollUnder(instance, request, subEpoch);
      const state = this.stateOf(instance, request.epoch);
      state.subEpoch = Math.max(state.subEpoch, subEpoch);
      state.retryStep = 1;
      this.highestSubEpoch = Math.max(this.highestSubEpoch, subEpoch);
      return answer;
    } catch (err) {
      if (!isFenced(err)) throw err;
      return undefined;
    }
  }

  /** The epoch and sub-epoch under which that incarnation is called now. */
  private currentEpochOf(instance: WorkerInstance, epoch: Epoch): Epoch {
    return withSubEpoch(epoch, this.stateOf(instance, epoch).subEpoch);
  }

  /**
   * The incarnation may have ended. The next one may have the same id and receive calls that
   * are meant for this one, before its first heartbeat arrives. With a new sub-epoch, the
   * first of these calls fences everything that was sent until now.
   */
  private advanceSubEpoch(instance: WorkerInstance): void {
    const state = this.incarnations.get(instance);
    if (state) state.subEpoch = this.nextSubEpoch();
  }

  /** A new incarnation gets a sub-epoch above all that were used under this epoch. */
  private stateOf(instance: WorkerInstance, epoch: Epoch): FencingState {
    if (this.epoch === undefined || epoch > this.epoch) this.beginEpoch(epoch);
    const known = this.incarnations.get(instance);
    if (known) return known;
    const state = {
      subEpoch: this.nextSubEpoch(),
      retryStep: 1,
      acceptedEpoch: undefined,
    };
    this.incarnations.set(instance, state);
    return state;
  }

  private nextSubEpoch(): number {
    this.highestSubEpoch = Math.max(
      this.highestSubEpoch + 1,
      this.clockSubEpoch(),
    );
    return this.highestSubEpoch;
  }

  /** Everything sent under a previous epoch is lower than each sub-epoch of this one. */
  private beginEpoch(epoch: Epoch): void {
    this.epoch = epoch;
    this.highestSubEpoch = NO_SUB_EPOCH;
    for (const [instance] of this.incarnations)
      this.incarnations.delete(instance);
  }

  /** Follows the clock, so that a restarted process without state exceeds the previous one. */
  private clockSubEpoch(): number {
    const units = Math.floor(this.options.clock.now() / SUB_EPOCHS.durationMs);
    return units % SUB_EPOCHS.perEpoch;
  }
}

const withSubEpoch = (epoch: Epoch, subEpoch: number): Epoch => {
  const maxSubEpoch = SUB_EPOCHS.perEpoch - 1;
  const combined =
    epoch * SUB_EPOCHS.perEpoch + Math.min(subEpoch, maxSubEpoch);
  return combined as unknown as Epoch;
};

const isFenced = (err: unknown): boolean =>
  err instanceof TaskRefusedError && err.fenced;
