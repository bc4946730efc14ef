/**
 * Shows how much filling work is done beside serving tasks and on hosts without any, and
 * what keeps the rest from being done.
 */

import { MILLI_CORES_PER_CORE, type Monotonic } from "@rackspan/common";
import type { HostState } from "@rackspan/jobs";
import type { EngineParts } from "./engineParts.js";

/** Interval of the log line, milliseconds. */
const LOG_INTERVAL_MS = 2_000;

/** Cores that filling tasks on a group of hosts request, and those that they use. */
interface FillingUse {
  hosts: number;
  requested: number;
  used: number;
}

interface ColocationSample {
  /** Hosts with serving tasks. */
  readonly beside: FillingUse;
  /** Hosts without serving tasks. */
  readonly alone: FillingUse;
  /** Share of the processors of all hosts that serving tasks reserve. */
  readonly reservedShare: number;
  /** Cores that the filling tasks without a host request. */
  readonly waiting: number;
}

export class ColocationMonitor {
  private sampledAt: Monotonic | undefined;
  private loggedAt: Monotonic = -Infinity;

  constructor(private readonly parts: EngineParts) {}

  /** Called at each tick of the engine. */
  check(): void {
    const { clock, logger } = this.parts.options;
    const now = clock.monotonic();
    const elapsedMs = now - (this.sampledAt ?? now);
    this.sampledAt = now;
    const sample = this.sample();
    const { beside, alone, waiting, reservedShare } = sample;
    this.count(sample, elapsedMs);
    if (now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    if (alone.requested + beside.requested + waiting === 0) return;
    logger.info("filling.use", {
      besideHosts: beside.hosts,
      besideRequested: Math.round(beside.requested),
      besideUsed: Math.round(beside.used),
      aloneHosts: alone.hosts,
      aloneRequested: Math.round(alone.requested),
      aloneUsed: Math.round(alone.used),
      waiting: Math.round(waiting),
      reserved: reservedShare.toFixed(2),
    });
  }

  private count({ beside, alone, waiting }: ColocationSample, ms: number) {
    const add = (state: string, cores: number): void =>
      this.parts.options.metrics.count(
        "filling_core_ms",
        { state },
        Math.max(0, cores) * ms,
      );
    add("used-beside-serving", beside.used);
    add("used-alone", alone.used);
    add("paced-beside-serving", beside.requested - beside.used);
    add("waiting", waiting);
  }

  private sample(): ColocationSample {
    const beside: FillingUse = { hosts: 0, requested: 0, used: 0 };
    const alone: FillingUse = { hosts: 0, requested: 0, used: 0 };
    let [reserved, total] = [0, 0];
    for (const { hostState } of this.parts.hosts.all()) {
      const { allocated, readings, worker } = hostState;
      total += worker.milliCores;
      reserved += allocated.servingMilliCores;
      const use = isServing(hostState) ? beside : alone;
      use.hosts += 1;
      use.requested += allocated.fillingMilliCores / MILLI_CORES_PER_CORE;
      for (const cores of readings.usedCores.values()) use.used += cores;
    }
    const reservedShare = total > 0 ? reserved / total : 0;
    return { beside, alone, reservedShare, waiting: this.waitingCores() };
  }

  private waitingCores(): number {
    const { jobs, options } = this.parts;
    const now = options.clock.now();
    let milliCores = 0;
    for (const { job } of jobs.active) {
      for (const { spec, waiting } of job.runnableSteps(now)) {
        if (spec.filling) milliCores += waiting.size * spec.demand.milliCores;
      }
    }
    return milliCores / MILLI_CORES_PER_CORE;
  }
}

const isServing = ({ allocated }: HostState): boolean =>
  allocated.servingMilliCores > 0;
