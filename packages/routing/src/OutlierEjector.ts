/**
 * Ejects endpoints after consecutive failures, each time for longer, and readmits them
 * on probation. Never excludes more than a configured share of the endpoints.
 */

import type { Clock, HostId, Monotonic } from "@rackspan/common";
import type { AttemptReport, EndpointView } from "./types.js";

export interface OutlierEjectorOptions {
  readonly clock: Clock;
  /** Consecutive failures after which an endpoint is ejected. */
  readonly failuresToEject: number;
  /**
   * Duration of the first ejection, milliseconds; each further one lasts twice as long
   * as the one before.
   */
  readonly ejectMs: number;
  readonly maxEjectMs: number;
  /** Maximum share of the candidates that may be excluded, in [0, 1]. */
  readonly maxEjectedShare: number;
}

/** The fields that ejection uses; other fields of a report are ignored. */
type HostOutcome = Pick<AttemptReport, "host" | "ok"> & Partial<AttemptReport>;

interface Health {
  failuresInRow: number;
  ejections: number;
  ejectedUntil: Monotonic;
  /** Readmitted on probation: one failure ejects the endpoint again. */
  onProbation: boolean;
}

const newHealth = (): Health => ({
  failuresInRow: 0,
  ejections: 0,
  ejectedUntil: -Infinity,
  onProbation: false,
});

export class OutlierEjector {
  private readonly health = new Map<HostId, Health>();

  constructor(private readonly options: OutlierEjectorOptions) {}

  report({ host, ok }: HostOutcome): void {
    const health = this.health.get(host) ?? newHealth();
    this.health.set(host, health);
    if (ok) {
      health.failuresInRow = 0;
      if (health.onProbation) this.health.delete(host);
      return;
    }
    health.failuresInRow += 1;
    const limit = health.onProbation ? 1 : this.options.failuresToEject;
    if (health.failuresInRow >= limit) this.eject(health);
  }

  /**
   * Returns the candidates that are not ejected, or all candidates if too many are
   * ejected.
   */
  admit(candidates: readonly EndpointView[]): readonly EndpointView[] {
    if (this.health.size === 0) return candidates;
    const admitted = candidates.filter(({ host }) => !this.isEjected(host));
    const minAdmitted = candidates.length * (1 - this.options.maxEjectedShare);
    return admitted.length > 0 && admitted.length >= minAdmitted
      ? admitted
      : candidates;
  }

  isEjected(host: HostId): boolean {
    const health = this.health.get(host);
    return (
      health !== undefined &&
      health.ejectedUntil > this.options.clock.monotonic()
    );
  }

  forget(host: HostId): void {
    this.health.delete(host);
  }

  private eject(health: Health): void {
    const { clock, ejectMs, maxEjectMs } = this.options;
    const durationMs = Math.min(maxEjectMs, ejectMs * 2 ** health.ejections);
    health.ejectedUntil = clock.monotonic() + durationMs;
    health.ejections += 1;
    health.failuresInRow = 0;
    health.onProbation = true;
  }
}
