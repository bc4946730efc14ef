/**
 * Elects the leading entry: the one that owns a partition in a group of the store.
 * An entry joins the group only while the partition has no owner, so that the store
 * does not reassign it to another member.
 *
 * The leader counts its lease from when it *sent* the last confirmed join, the store
 * from when that join *arrived*. So the leader's lease expires first, even if its
 * machine was suspended in between (see Clock.leaseTime). The epoch is the group's
 * generation, so each change of the group starts a new term.
 */

import {
  SystemRandom,
  describeError,
  pause,
  type Clock,
  type Epoch,
  type Incarnation,
  type Logger,
  type Monotonic,
  type Random,
} from "@rackspan/common";
import type { GroupMembership, JoinResponse, TopicName } from "@rackspan/ports";
import { joinDelayMs } from "./joinDelay.js";
import { formatMember, parseMember, type Member } from "./memberName.js";

export const ELECTION = {
  group: "leaders",
  /** How often a follower polls for the owner of the partition. */
  ownerPollIntervalMs: 500,
  /** How often the leader renews its membership. */
  renewIntervalMs: 500,
  /** Delay between joins while the store assigns partitions, and after a failure. */
  retryMs: 80,
  /**
   * A join that is not answered within this time is repeated on a new connection. The time
   * is doubled from the third such join on, and is at least twice that of the last answer.
   */
  callTimeoutMs: 600,
  /** The leader stops deciding this long before its lease expires. */
  expiryMarginMs: 150,
  /** Consecutive joins without ownership after which the entry leaves the group. */
  maxUnsuccessfulJoins: 4,
} as const;

export interface LeaderElectionOptions {
  readonly membership: GroupMembership;
  readonly topic: TopicName;
  readonly self: Member;
  readonly ttlMs: number;
  readonly clock: Clock;
  /** Draws the join delays. They have to differ between entries that start together. */
  readonly random?: Random;
  /** Whether this entry lets entries with more processor time lead first. */
  readonly isLowPriority: boolean;
  readonly logger: Logger;
  /** Called when the entry starts to lead under a new epoch. */
  readonly onAcquired: (epoch: Epoch) => void;
  /** Called when the entry must stop deciding under the last epoch. */
  readonly onLost: (reason: string) => void;
}

const NO_GENERATION = 0 as unknown as Epoch;

export class LeaderElection {
  private readonly abort = new AbortController();
  private generation: Epoch = NO_GENERATION;
  private epoch: Epoch | undefined;
  private validUntil: Monotonic = -Infinity;
  private isMember = false;
  private unsuccessfulJoins = 0;
  /** Consecutive joins that were not answered in time. */
  private unansweredJoins = 0;
  /** How long the last answered join took, milliseconds. */
  private lastJoinMs = 0;
  private ownerWasMissing = false;
  /** The owner that was last found, and when. */
  private lastOwner:
    { readonly name: string; readonly at: Monotonic } | undefined;
  private isStoreReachable = true;
  private task: Promise<void> | undefined;
  /** How often this process has left the group. */
  private leaveCount = 0;

  private readonly random: Random;

  constructor(private readonly options: LeaderElectionOptions) {
    this.random = options.random ?? new SystemRandom();
  }

  /**
   * The member name changes each time the entry leaves the group: a leave call that
   * the store carries out late must not end a membership that was joined since.
   */
  private get name(): string {
    const { self } = this.options;
    const incarnation =
      `${self.incarnation}.${this.leaveCount}` as unknown as Incarnation;
    return formatMember({ ...self, incarnation });
  }

  start(): void {
    this.task ??= this.run();
  }

  /** Whether this entry holds an unexpired leadership lease. */
  get isLeader(): boolean {
    const now = this.options.clock.leaseTime();
    return this.epoch !== undefined && now < this.validUntil;
  }

  /** Gives up leadership at once, so that another entry can take over; for planned stops. */
  async stop(): Promise<void> {
    this.abort.abort();
    this.resign("planned-stop");
    await this.task;
    if (this.isMember) await this.leaveGroup();
  }

  /** Gives up leadership because something that it depends on has failed. */
  async stepDown(reason: string): Promise<void> {
    this.resign(reason);
    await this.leaveGroup();
  }

  private async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.abort.signal.aborted) {
      const pauseMs = await this.step();
      await pause(clock, pauseMs, this.abort.signal);
    }
  }

  /** @returns milliseconds until the next step */
  private async step(): Promise<number> {
    try {
      const pauseMs = await this.performStep();
      this.recordReachable();
      return pauseMs;
    } catch (err) {
      this.recordUnreachable(err);
      return ELECTION.retryMs;
    }
  }

  private performStep(): Promise<number> {
    if (!this.isMember) return this.pollOwner();
    const hasExpired = this.epoch !== undefined && !this.isLeader;
    return hasExpired ? this.renewExpired() : this.renew();
  }

  /**
   * Renews an expired lease unless another entry owns the partition by now: a join
   * beside a new owner would make the store reassign the partition.
   */
  private async renewExpired(): Promise<number> {
    const { membership, topic } = this.options;
    const owner = await membership.owner(ELECTION.group, topic);
    if (owner === undefined || owner === this.name) return this.renew();
    this.resign("replaced");
    await this.leaveGroup();
    return ELECTION.ownerPollIntervalMs;
  }

  private async pollOwner(): Promise<number> {
    const { membership, topic, self, logger } = this.options;
    const owner = await membership.owner(ELECTION.group, topic);
    if (owner === undefined) return this.joinAfterDelay();
    this.ownerWasMissing = false;
    this.lastOwner = { name: owner, at: this.options.clock.monotonic() };
    const isOwnMembership = parseMember(owner)?.entry === self.entry;
    if (!isOwnMembership) return ELECTION.ownerPollIntervalMs;
    // The owner is an earlier membership of this entry, which has not been ended yet.
    logger.info("leader.previous-membership", { member: owner });
    await membership.leave(ELECTION.group, owner);
    return this.renew();
  }

  /** Polls once more after a delay before it joins: another entry may lead by then. */
  private joinAfterDelay(): Promise<number> | number {
    if (this.ownerWasMissing) return this.renew();
    this.ownerWasMissing = true;
    const { isLowPriority } = this.options;
    return joinDelayMs(this.random.next(), isLowPriority);
  }

  private async renew(): Promise<number> {
    const { membership, topic, ttlMs, clock } = this.options;
    const { name } = this;
    // The election was stopped while the owner was polled.
    if (this.abort.signal.aborted) return ELECTION.ownerPollIntervalMs;
    this.isMember = true;
    const sentAt = clock.leaseTime();
    const response = await this.measureJoin((timeoutMs) =>
      membership.join({
        group: ELECTION.group,
        member: name,
        topic,
        ttlMs,
        generation: this.generation,
        timeoutMs,
      }),
    );
    if (this.hasLeft(name)) return ELECTION.ownerPollIntervalMs;
    const changed = response.generation !== this.generation;
    this.generation = response.generation;
    if (response.ownsPartition) return this.confirmLeadership(sentAt, changed);
    if (this.epoch !== undefined) this.resign("dealt-to-another");
    this.unsuccessfulJoins += 1;
    if (this.unsuccessfulJoins < ELECTION.maxUnsuccessfulJoins)
      return ELECTION.retryMs;
    await this.leaveGroup();
    return ELECTION.ownerPollIntervalMs;
  }

  /**
   * Sends a join with a timeout that adapts to the store: if it always took longer than the
   * timeout to answer, joins would be repeated for good and no entry would lead.
   */
  private async measureJoin(
    join: (timeoutMs: number) => Promise<JoinResponse>,
  ): Promise<JoinResponse> {
    const { clock, ttlMs } = this.options;
    const doublings = Math.max(0, this.unansweredJoins - 1);
    const timeoutMs = Math.min(
      Math.max(ELECTION.callTimeoutMs * 2 ** doublings, 2 * this.lastJoinMs),
      ttlMs - ELECTION.expiryMarginMs,
    );
    const sentAt = clock.monotonic();
    try {
      const response = await join(timeoutMs);
      this.lastJoinMs = clock.monotonic() - sentAt;
      this.unansweredJoins = 0;
      return response;
    } catch (err) {
      if (clock.monotonic() - sentAt >= timeoutMs) this.unansweredJoins += 1;
      throw err;
    }
  }

  /**
   * Whether the membership of that name has ended, or is about to, while a call was
   * in flight. Its response must not restore the last epoch, because run numbers and
   * record sequences would then be assigned twice under that epoch.
   */
  private hasLeft(name: string): boolean {
    return this.abort.signal.aborted || name !== this.name;
  }

  private confirmLeadership(sentAt: Monotonic, changed: boolean): number {
    const { ttlMs, onAcquired, logger } = this.options;
    if (this.epoch === undefined || changed) {
      // The partition may have had another owner while the group changed.
      this.resign("group-changed");
      this.epoch = this.generation;
      logger.info("leader.acquired", {
        epoch: this.epoch,
        member: this.name,
        previous: this.lastOwner?.name,
        previousSeenMs: this.sinceLastOwnerMs(),
      });
      onAcquired(this.epoch);
    }
    this.unsuccessfulJoins = 0;
    this.validUntil = sentAt + ttlMs - ELECTION.expiryMarginMs;
    // With a slow store the next renewal has to be sent sooner to arrive in time.
    return Math.max(
      ELECTION.retryMs,
      ELECTION.renewIntervalMs - this.lastJoinMs,
    );
  }

  private sinceLastOwnerMs(): number | undefined {
    if (!this.lastOwner) return undefined;
    return Math.round(this.options.clock.monotonic() - this.lastOwner.at);
  }

  private resign(reason: string): void {
    if (this.epoch === undefined) return;
    const { logger, onLost, clock } = this.options;
    logger.info("leader.lost", {
      epoch: this.epoch,
      reason,
      // Negative if the lease had expired, because this process or the store was late.
      leaseLeftMs: Math.round(this.validUntil - clock.leaseTime()),
    });
    this.epoch = undefined;
    this.validUntil = -Infinity;
    onLost(reason);
  }

  private async leaveGroup(): Promise<void> {
    const { membership, logger } = this.options;
    const { name } = this;
    this.ownerWasMissing = false;
    this.isMember = false;
    this.generation = NO_GENERATION;
    this.unsuccessfulJoins = 0;
    this.leaveCount += 1;
    try {
      await membership.leave(ELECTION.group, name);
    } catch (err) {
      // Harmless: the store removes a member that stays silent for the TTL.
      logger.warn("leader.leave-failed", { error: describeError(err) });
    }
  }

  private recordReachable(): void {
    if (this.isStoreReachable) return;
    this.isStoreReachable = true;
    this.options.logger.info("membership.regained", {
      generation: this.generation,
    });
  }

  private recordUnreachable(err: unknown): void {
    if (!this.isStoreReachable) return;
    this.isStoreReachable = false;
    const leaseLeftMs = Math.round(
      this.validUntil - this.options.clock.leaseTime(),
    );
    this.options.logger.warn("membership.lost", {
      leads: this.isLeader,
      leaseLeftMs,
      error: describeError(err),
    });
  }
}
