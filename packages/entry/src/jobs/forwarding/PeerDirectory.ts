/**
 * The entries that this one may pass requests on to. All entries announce themselves to
 * the leader, whose address is in its member name, and receive the leader's list, so
 * that an entry that loses the store knows the others from before.
 */

import type { Clock, EntryId, Monotonic } from "@rackspan/common";
import { parseMember } from "@rackspan/leadership";
import type { ParamsOf, ResultOf } from "@rackspan/protocol";
import type { peerMethods } from "./peerMethods.js";

type Announcement = ParamsOf<typeof peerMethods, "announce">;
type AnnounceAnswer = ResultOf<typeof peerMethods, "announce">;

export const PEER_DIRECTORY = {
  /** Entries that do not announce themselves for this long are forgotten, milliseconds. */
  forgetAfterMs: 60_000,
  /**
   * How long an entry that did not carry out a request is passed over, milliseconds: it
   * is announced anew within this time.
   */
  avoidMs: 1_000,
} as const;

export interface Peer {
  readonly entry: EntryId;
  readonly address: string;
  /** Whether it accepted callers when it was last heard of. */
  readonly ready: boolean;
  readonly heardAt: Monotonic;
  /** Until when it is passed over because it did not carry out a request. */
  readonly avoidUntil: Monotonic;
}

export interface PeerDirectoryOptions {
  readonly self: EntryId;
  readonly clock: Clock;
}

export class PeerDirectory {
  private readonly peers = new Map<EntryId, Peer>();
  private leader: { entry: EntryId; address: string } | undefined;

  constructor(private readonly options: PeerDirectoryOptions) {}

  /** The leader that the store named last; undefined if it is this entry. */
  get lastLeader(): { entry: EntryId; address: string } | undefined {
    return this.leader;
  }

  all(): Peer[] {
    return [...this.peers.values()];
  }

  setLeader(member: string): void {
    const parsed = parseMember(member);
    if (!parsed) return;
    this.leader = parsed.entry === this.options.self ? undefined : parsed;
  }

  /** Records that the entry was heard of `ageMs` ago. */
  update({ entry, address, ready }: Announcement, ageMs = 0): void {
    const { self, clock } = this.options;
    if (entry === self) return;
    const heardAt = clock.monotonic() - ageMs;
    const known = this.peers.get(entry);
    if (known && known.heardAt >= heardAt) return;
    const avoidUntil =
      known?.address === address ? known.avoidUntil : -Infinity;
    this.peers.set(entry, { entry, address, ready, heardAt, avoidUntil });
    this.forgetOld();
  }

  /** Records the leader's answer to an announcement. */
  updateFromLeader(
    leader: { entry: EntryId; address: string },
    { ready, peers }: AnnounceAnswer,
  ): void {
    this.update({ ...leader, ready });
    for (const { ageMs, ...peer } of peers) this.update(peer, ageMs);
  }

  /** The entries that announced themselves, for an answer to one of them. */
  listFor(entry: EntryId): AnnounceAnswer["peers"] {
    const now = this.options.clock.monotonic();
    return this.all()
      .filter((peer) => peer.entry !== entry)
      .map(({ entry: name, address, ready, heardAt }) => ({
        entry: name,
        address,
        ready,
        ageMs: now - heardAt,
      }));
  }

  /** Passes the entry over for a while. */
  avoid(entry: EntryId): void {
    const peer = this.peers.get(entry);
    if (!peer) return;
    const avoidUntil = this.options.clock.monotonic() + PEER_DIRECTORY.avoidMs;
    this.peers.set(entry, { ...peer, avoidUntil });
  }

  private forgetOld(): void {
    const oldest =
      this.options.clock.monotonic() - PEER_DIRECTORY.forgetAfterMs;
    for (const { entry, heardAt } of this.peers.values()) {
      if (heardAt < oldest) this.peers.delete(entry);
    }
  }
}
