/** The leaders of a modelled site, one after the other, and how each is lost or delayed. */

import type { Clock, Epoch } from "@rackspan/common";
import {
  LEADERSHIP,
  LeaderModel,
  type LeaderModelOptions,
} from "./LeaderModel.js";

/** How often the store looks whether a term is over, milliseconds. */
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

  /** The last one that began, also after its end. */
  get latest(): LeaderModel | undefined {
    return this.leader;
  }

  /** The one that the store names. */
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

  /** What comes is taken, but the leader's timers wait: it is short of processor time. */
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

  /** For good: the store gives the leadership to another one once its term is over. */
  cutFromStore(): void {
    if (this.leader) this.leader.isCutFromStore = true;
  }

  /** The store makes another entry lead at once, and the one before does not hear of it. */
  replaceWithoutNotice(): void {
    if (!this.leader?.canDecide) return;
    this.leader.isCutFromStore = true;
    this.beginTerm();
  }

  /** The store makes another entry lead once the last one's term is over. */
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
