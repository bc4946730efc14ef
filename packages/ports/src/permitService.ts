/**
 * Port to the service that permits hosts to run a step, for queues whose policy
 * only it knows. What it says of a host and a step never changes, but a ticket
 * holds for a time only, and for one life of the worker.
 */

import { RackspanError, Registry, type WorkerInstance } from "@rackspan/common";

/** Lets all tasks of the step start on that life of the worker. */
export interface Permit {
  readonly instance: WorkerInstance;
  /** Handed to the worker with each start. */
  readonly ticket: string;
}

export interface PermitResponse {
  /** Of the workers named, those that may run the step. */
  readonly permits: readonly Permit[];
  /** Milliseconds for which the tickets hold. */
  readonly validMs: number;
}

export interface PermitRequest {
  /** Job, occurrence and number of the step, as task ids begin. */
  readonly step: string;
  /** At most `PERMIT_LIMITS.maxNamed`. */
  readonly instances: readonly WorkerInstance[];
  readonly timeoutMs: number;
}

export const PERMIT_LIMITS = {
  /** Workers named in one request; the service takes no more. */
  maxWorkersPerRequest: 100,
} as const;

export interface PermitService {
  /** @throws PermitsUnavailableError */
  requestPermits(req: PermitRequest): Promise<PermitResponse>;
}

export class PermitsUnavailableError extends RackspanError {
  readonly kind = "permits-unavailable";
  constructor(what: string, cause?: unknown) {
    super({ what, remedy: "ask again after a pause", cause });
  }
}

export interface PermitServiceOptions {
  /** `IP:PORT`. */
  readonly address: string;
}

export const permitServices = new Registry<PermitServiceOptions, PermitService>(
  "permit service",
);
