/** Load and latency of one side as this entry measures them; updated in place. */

import type {
  AvailabilityZone,
  HostId,
  Incarnation,
  Monotonic,
} from "@rackspan/common";
import type { SideStatus, SocketAddress } from "@rackspan/protocol";
import type { EndpointView } from "@rackspan/routing";

/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.1;

export class EndpointState implements EndpointView {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  inFlight = 0;
  busySlots = 0;
  busySlotsReportedAt: Monotonic = 0;
  latencyMs = 0;

  constructor(
    status: SideStatus,
    readonly address: SocketAddress,
  ) {
    this.host = status.host;
    this.incarnation = status.incarnation;
    this.availabilityZone = status.availabilityZone;
    this.slots = status.slots;
  }

  recordBusySlots(busySlots: number, at: Monotonic): void {
    this.busySlots = busySlots;
    this.busySlotsReportedAt = at;
  }

  recordLatency(latencyMs: number): void {
    const before = this.latencyMs === 0 ? latencyMs : this.latencyMs;
    this.latencyMs = before + LATENCY_WEIGHT * (latencyMs - before);
  }
}
