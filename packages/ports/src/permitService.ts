/**
 * Port to the service that decides which hosts may run a step, for queues whose
 * policy only this service has. Its decision for a host and a step never
 * changes, but a ticket is valid for a limited time only, and for one
 * incarnation of the worker.
 */

import { RackspanError, Registry, type WorkerInstance } from "@rackspan/common";

/** Permits all tasks of the step to start in that incarnation of the worker. */
export interface Permit {
  readonly instance: WorkerInstance;
  /** Sent to the worker with each start. */
  readonly ticket: string;
}

export interface PermitResponse {
  /** Those of the requested workers that may run the step. */
  readonly permits: readonly Permit[];
  /** Milliseconds for which the tickets are valid. */
  readonly validMs: number;
}

export interface PermitRequest {
  /** Job, occurrence and number of the step: the prefix of its task ids. */
  readonly step: string;
  /** At most `PERMIT_LIMITS.maxWorkersPerRequest`. */
  readonly instances: readonly WorkerInstance[];
  readonly timeoutMs: number;
}

export const PERMIT_LIMITS = {
  /** Maximum number of workers in one request; the service accepts no more. */
  maxWorkersPerRequest: 100,
} as const;

export interface PermitService {
  /** @throws PermitsUnavailableError */
  requestPermits(req: PermitRequest): Promise<PermitResponse>;
}

export class PermitsUnavailableError extends RackspanError {
  readonly kind = "permits-unavailable";
  constructor(what: string, cause?: unknown) {
    super({ what, remedy: "repeat the request after a pause", cause });
  }
}

export interface PermitServiceOptions {
  /** `IP:PORT`. */
  readonly address: string;
}

export const permitServices = new Registry<PermitServiceOptions, PermitService>(
  "permit service",
);
