/** The successive leaders of a modelled site, and the faults that end or delay them. */

import type { Clock, Epoch } from "@rackspan/common";
import {
  LEADERSHIP,
  LeaderModel,
  type LeaderModelOptions,
} from "./LeaderModel.js";

/** Interval at which the store checks whether the term has ended, milliseconds. */
const ELECTION_MS = 100;

export interface LeaderSuccessionOptions extends Omit<
  LeaderModelOptions,
  "epoch"
> {
  readonly clock: Clock;
  /** See JobWorldOptions. */
  readonly deliversMessagesBeforeTimers: boolean;
}

export class LeaderSuccession {
  private leader: LeaderModel | undefined;
  private epoch = 0;

  constructor(private readonly options: LeaderSuccessionOptions) {}

  begin(): void {
    this.elect();
  }

  /** The leader with the latest term, also after its end. */
  get latest(): LeaderModel | undefined {
    return this.leader;
  }

  /** The leader that the store names. */
  get named(): LeaderModel | undefined {
    return this.leader?.isDead ? undefined : this.leader;
  }

  sendToLeader(act: (leader: LeaderModel) => void): void {
    const { leader } = this;
    leader?.clock.after(0, () => act(leader));
  }

  freeze(ms: number): void {
    const { leader } = this;
    if (!leader || leader.isDead) return;
    leader.clock.pause();
    this.options.clock.after(ms, () =>
      this.options.deliversMessagesBeforeTimers
        ? leader.clock.catchUp()
        : leader.clock.resume(),
    );
  }

  /** Makes the leader short of processor time: messages are handled, but its timers wait. */
  starveOfProcessorTime(ms: number): void {
    const { leader } = this;
    if (!leader || leader.isDead) return;
    leader.clock.starve();
    this.options.clock.after(ms, () => leader.clock.catchUp());
  }

  suspend(ms: number): void {
    this.leader?.clock.suspend(ms);
  }

  kill(): void {
    this.leader?.kill();
  }

  /** Cuts the leader from the store for good: another one is elected once its term has ended. */
  cutFromStore(): void {
    if (this.leader) this.leader.isCutFromStore = true;
  }

  /** The store elects another entry at once, and the previous leader is not notified. */
  replaceWithoutNotice(): void {
    if (!this.leader?.canDecide) return;
    this.leader.isCutFromStore = true;
    this.beginTerm();
  }

  /** Elects another entry once the last term has ended. */
  private elect(): void {
    const { leader } = this;
    const { clock } = this.options;
    const isVacant =
      !leader || clock.monotonic() - leader.confirmedAt >= LEADERSHIP.ttlMs;
    if (isVacant) this.beginTerm();
    clock.after(ELECTION_MS, () => this.elect());
  }

  private beginTerm(): void {
    this.epoch += 1;
    const leader = new LeaderModel({
      ...this.options,
      epoch: this.epoch as unknown as Epoch,
    });
    this.leader = leader;
    leader.begin().catch(() => leader.end());
  }
}
