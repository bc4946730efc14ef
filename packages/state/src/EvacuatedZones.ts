/** The availability zones that the operator wants nothing more started in. */

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
  /** Emits a zone when its evacuation begins, and when it is taken back. */
  readonly changes = new Emitter<AvailabilityZone>();
  private readonly since = new Map<AvailabilityZone, Instant>();

  constructor(private readonly options: EvacuatedZonesOptions) {}

  has(zone: AvailabilityZone): boolean {
    return this.since.has(zone);
  }

  /** @param isEvacuated whether the operator asks for it; else the zone is taken back */
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
