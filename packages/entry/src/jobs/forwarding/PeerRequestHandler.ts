/**
 * Serves the calls of other entries: announcements, and requests that they pass on. A
 * request is carried out with this entry's own job service, which passes nothing on, so
 * that two entries without the store cannot send a request back and forth.
 */

import { describeError, type Clock, type Logger } from "@rackspan/common";
import type { Handlers } from "@rackspan/protocol";
import { decodeJob, type ConfigHolder } from "@rackspan/state";
import { JOB_SERVICE, type JobService } from "../JobService.js";
import { isCutOff } from "./decideForward.js";
import type { PeerDirectory } from "./PeerDirectory.js";
import type { PeerOutcome, PeerRequest, peerMethods } from "./peerMethods.js";
import type { StoreCallMonitor } from "./StoreCallMonitor.js";

/**
 * Requests of other entries that are carried out at the same time: those of four entries
 * that each pass on as many as they may.
 */
const MAX_SERVED = 256;

export type PeerHandlers = Handlers<typeof peerMethods>;

export interface PeerRequestHandlerOptions {
  readonly jobService: Pick<JobService, "submit" | "cancel" | "confirmedState">;
  readonly config: Pick<ConfigHolder, "getQueue">;
  readonly directory: PeerDirectory;
  readonly storeCalls: Pick<StoreCallMonitor, "failingSince">;
  /** Whether this entry accepts callers. */
  readonly isReady: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

const refused = (reason: string): PeerOutcome => ({
  kind: "refused",
  cause: "unavailable",
  reason,
  retryAfterMs: JOB_SERVICE.retryAfterMs,
});

export class PeerRequestHandler {
  private served = 0;

  constructor(private readonly options: PeerRequestHandlerOptions) {}

  readonly handlers: PeerHandlers = {
    announce: (announcement) => {
      const { directory } = this.options;
      directory.update(announcement);
      return {
        ready: this.isUsable,
        peers: directory.listFor(announcement.entry),
      };
    },
    forward: ({ request, remainingMs }) =>
      this.handleForward(request, remainingMs),
  };

  /** Whether this entry can carry out requests that need the store. */
  get isUsable(): boolean {
    const { isReady, storeCalls, clock } = this.options;
    return isReady() && !isCutOff(storeCalls.failingSince, clock.monotonic());
  }

  private async handleForward(
    request: PeerRequest,
    remainingMs: number,
  ): Promise<PeerOutcome> {
    if (!this.isUsable) return refused("the other entry is not ready either");
    if (this.served >= MAX_SERVED)
      return refused("the other entry serves too many requests of entries");
    this.served += 1;
    try {
      return await this.carryOut(request, remainingMs);
    } catch (err) {
      const error = describeError(err);
      const { kind, job } = request;
      this.options.logger.warn("peer.request-failed", { kind, job, error });
      return { kind: "unknown", reason: error };
    } finally {
      this.served -= 1;
    }
  }

  private async carryOut(
    request: PeerRequest,
    remainingMs: number,
  ): Promise<PeerOutcome> {
    const { jobService, config, clock } = this.options;
    const deadline = clock.monotonic() + remainingMs;
    const { queue, job } = request;
    switch (request.kind) {
      case "cancel":
        return jobService.cancel(queue, job, deadline);
      case "state":
        return jobService.confirmedState(queue, job, deadline);
      case "submit": {
        const spec = config.getQueue(queue);
        if (!spec) return refused("the other entry does not know the queue");
        const { spec: jobSpec } = decodeJob(
          String(job),
          Buffer.from(request.record),
        );
        if (jobSpec.queue !== queue)
          return refused("the record is of a job of another queue");
        return jobService.submit(spec, jobSpec, deadline);
      }
    }
  }
}
