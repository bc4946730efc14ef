/** What the decisions about requests are made of. */

import type {
  AvailabilityZone,
  HostId,
  Incarnation,
  Monotonic,
} from "@rackspan/common";
import type { SocketAddress } from "@rackspan/protocol";

/** One host that answers requests of a service, as one entry sees it now. */
export interface EndpointView {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly address: SocketAddress;
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  /** Requests of this entry that are in progress there. */
  readonly inFlight: number;
  /** Slots in use as the side last reported, and when that was heard. */
  readonly busySlots: number;
  readonly busySlotsReportedAt: Monotonic;
  /** Smoothed latency of answers to this entry, milliseconds; 0 while unknown. */
  readonly latencyMs: number;
}

/** How an attempt went, for load and health estimates. */
export interface AttemptReport {
  readonly host: HostId;
  readonly ok: boolean;
  readonly latencyMs: number;
  readonly at: Monotonic;
}
