/**
 * Finds the leading entry: first in the store, which records the owner of the leadership
 * partition, then among the entries named in the settings, one of which may still lead
 * while the store is unavailable.
 */

import { describeError, type Clock, type Logger } from "@rackspan/common";
import { ELECTION, parseMember } from "@rackspan/leadership";
import type { GroupMembership, TopicName } from "@rackspan/ports";

export interface LeaderFinderOptions {
  readonly membership: GroupMembership;
  readonly topic: TopicName;
  /** `IP:PORT` of entries, some of which may no longer exist. */
  readonly knownEntries: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

export class LeaderFinder {
  private nextEntryIndex = 0;
  private isStoreAvailable = true;

  constructor(private readonly options: LeaderFinderOptions) {}

  /** `IP:PORT` of the most likely leader; undefined when there is currently none. */
  async find(): Promise<string | undefined> {
    const { membership, topic, logger } = this.options;
    try {
      const owner = await membership.owner(ELECTION.group, topic);
      if (!this.isStoreAvailable) logger.info("store.regained", {});
      this.isStoreAvailable = true;
      return owner === undefined ? undefined : parseMember(owner)?.address;
    } catch (err) {
      if (this.isStoreAvailable) {
        logger.warn("store.lost", { error: describeError(err) });
      }
      this.isStoreAvailable = false;
      return this.nextKnownEntry();
    }
  }

  /** The leader according to the store; undefined when there is none or no answer. */
  async findInStore(): Promise<string | undefined> {
    const address = await this.find();
    return this.isStoreAvailable ? address : undefined;
  }

  private nextKnownEntry(): string | undefined {
    const { knownEntries } = this.options;
    if (knownEntries.length === 0) return undefined;
    this.nextEntryIndex = (this.nextEntryIndex + 1) % knownEntries.length;
    return knownEntries[this.nextEntryIndex];
  }
}
