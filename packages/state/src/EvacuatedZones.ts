/** Availability zones that the operator evacuates: nothing more is started in them. */

import {
  Emitter,
  type AvailabilityZone,
  type Clock,
  type Instant,
  type Logger,
  type Metrics,
} from "@rackspan/common";

export interface EvacuatedZonesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class EvacuatedZones {
  /** Emits a zone when its evacuation starts, and when it ends. */
  readonly changes = new Emitter<AvailabilityZone>();
  private readonly since = new Map<AvailabilityZone, Instant>();

  constructor(private readonly options: EvacuatedZonesOptions) {}

  has(zone: AvailabilityZone): boolean {
    return this.since.has(zone);
  }

  /** @param isEvacuated whether to evacuate the zone; false ends the evacuation */
  setEvacuated(zone: AvailabilityZone, isEvacuated: boolean): void {
    if (isEvacuated === this.has(zone)) return;
    const { clock, logger, metrics } = this.options;
    const now = clock.now();
    if (isEvacuated) {
      this.since.set(zone, now);
      logger.info("zone.evacuated", { zone, evacuated: this.since.size });
    } else {
      const forMs = now - (this.since.get(zone) ?? now);
      this.since.delete(zone);
      logger.info("zone.taken-back", {
        zone,
        forMs: Math.round(forMs),
        evacuated: this.since.size,
      });
    }
    metrics.gauge("evacuated_zones", this.since.size);
    this.changes.emit(zone);
  }
}
