/** Announces this entry to the leader, and learns from it which entries there are. */

import {
  describeError,
  pause,
  type Clock,
  type Logger,
} from "@rackspan/common";
import type { EntryId } from "@rackspan/common";
import type { PeerTransport } from "./PeerConnections.js";
import type { PeerDirectory } from "./PeerDirectory.js";

export const ANNOUNCER = {
  /** How often the entry announces itself, milliseconds; as often as its readiness is checked. */
  intervalMs: 1_000,
  callTimeoutMs: 600,
} as const;

export interface PeerAnnouncerOptions {
  readonly self: { readonly entry: EntryId; readonly address: string };
  readonly directory: PeerDirectory;
  readonly transport: PeerTransport;
  readonly isLeader: () => boolean;
  /** Whether this entry can carry out requests that need the store. */
  readonly isUsable: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class PeerAnnouncer {
  private readonly abort = new AbortController();
  private task: Promise<void> | undefined;
  private failed = false;

  constructor(private readonly options: PeerAnnouncerOptions) {}

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.abort.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.abort.signal.aborted) {
      await this.announce();
      await pause(clock, ANNOUNCER.intervalMs, this.abort.signal);
    }
  }

  private async announce(): Promise<void> {
    const { self, directory, transport, isLeader, isUsable, logger } =
      this.options;
    const leader = directory.lastLeader;
    if (!leader || isLeader()) return;
    try {
      const answer = await transport.call(
        leader.address,
        "announce",
        { ...self, ready: isUsable() },
        ANNOUNCER.callTimeoutMs,
      );
      directory.updateFromLeader(leader, answer);
      this.failed = false;
    } catch (err) {
      // The leader has ended, is of an older version, or passes nothing on.
      if (this.failed) return;
      this.failed = true;
      const error = describeError(err);
      logger.info("peer.not-announced", { leader: leader.entry, error });
    }
  }
}
