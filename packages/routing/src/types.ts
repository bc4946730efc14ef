/** Inputs of routing decisions. */

import type {
  AvailabilityZone,
  HostId,
  Incarnation,
  Monotonic,
} from "@rackspan/common";
import type { SocketAddress } from "@rackspan/protocol";

/** One host that serves requests of a service, as seen by one entry at the moment. */
export interface EndpointView {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly address: SocketAddress;
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  /** Requests of this entry that are in progress on the host. */
  readonly inFlight: number;
  /** Slots in use as last reported by the side, and when the report was received. */
  readonly busySlots: number;
  readonly busySlotsReportedAt: Monotonic;
  /** Smoothed latency of responses to this entry, milliseconds; 0 while unknown. */
  readonly latencyMs: number;
}

/** Result of an attempt, for estimates of load and health. */
export interface AttemptReport {
  readonly host: HostId;
  readonly ok: boolean;
  readonly latencyMs: number;
  readonly at: Monotonic;
}
