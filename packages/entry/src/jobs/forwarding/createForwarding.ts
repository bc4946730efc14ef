/** Creates and connects the parts with which an entry passes requests on. */

import type { Clock, EntryId, Logger, Metrics } from "@rackspan/common";
import type { ConfigHolder } from "@rackspan/state";
import type { JobRequests, JobService } from "../JobService.js";
import { ForwardingJobService } from "./ForwardingJobService.js";
import { PeerAnnouncer } from "./PeerAnnouncer.js";
import { PeerConnections } from "./PeerConnections.js";
import type { PeerDirectory } from "./PeerDirectory.js";
import { PeerRequestHandler, type PeerHandlers } from "./PeerRequestHandler.js";
import type { StoreCallMonitor } from "./StoreCallMonitor.js";

export interface ForwardingOptions {
  readonly self: { readonly entry: EntryId; readonly address: string };
  readonly jobService: JobService;
  readonly config: ConfigHolder;
  readonly directory: PeerDirectory;
  readonly storeCalls: StoreCallMonitor;
  readonly isLeader: () => boolean;
  /** Whether this entry accepts callers. */
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface Forwarding {
  /** Answers callers. */
  readonly jobRequests: JobRequests;
  /** Answers other entries. */
  readonly peerHandlers: PeerHandlers;
  start(): void;
  stop(): Promise<void>;
}

export const createForwarding = (options: ForwardingOptions): Forwarding => {
  const transport = new PeerConnections(options);
  const handler = new PeerRequestHandler(options);
  const announcer = new PeerAnnouncer({
    ...options,
    transport,
    isUsable: () => handler.isUsable,
  });
  return {
    jobRequests: new ForwardingJobService({ ...options, transport }),
    peerHandlers: handler.handlers,
    start: () => announcer.start(),
    stop: async () => {
      transport.stop();
      await announcer.stop();
    },
  };
};
