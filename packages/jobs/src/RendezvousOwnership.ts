/**
 * Advisory ownership of keys by rendezvous hashing. It needs no agreement between the
 * members and works with any member list.
 */

import { createHash } from "node:crypto";
import type { HostId } from "@rackspan/common";
import type { Ownership } from "./types.js";

const weight = (key: string, member: string): string =>
  createHash("md5").update(`${member}\n${key}`).digest("hex");

export interface RendezvousOptions {
  readonly self: HostId;
  /** All live members; the list may or may not contain this one. */
  readonly members: () => readonly HostId[];
}

export class RendezvousOwnership implements Ownership {
  constructor(private readonly options: RendezvousOptions) {}

  /** Number of members that rank before this one for the key. */
  rank(key: string): number {
    const { self, members } = this.options;
    const ownWeight = weight(key, self);
    let rank = 0;
    for (const member of members()) {
      if (member !== self && weight(key, member) > ownWeight) rank += 1;
    }
    return rank;
  }
}
