/** Soft ownership by rendezvous hashing: no agreement needed, any member list will do. */

import { createHash } from "node:crypto";
import type { HostId } from "@rackspan/common";
import type { Ownership } from "./types.js";

const weight = (key: string, member: string): string =>
  createHash("md5").update(`${member}\n${key}`).digest("hex");

export interface RendezvousOptions {
  readonly self: HostId;
  /** All live members; may or may not name this one. */
  readonly members: () => readonly HostId[];
}

export class RendezvousOwnership implements Ownership {
  constructor(private readonly options: RendezvousOptions) {}

  /** How many members come before this one for the key. */
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
