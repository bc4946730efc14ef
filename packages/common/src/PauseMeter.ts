/**
 * Measures for how long this process could not run although it had work, for example
 * because of a limit on its processor time.
 */

const MICROSECONDS_PER_MS = 1_000;

export interface PauseMeter {
  /** Milliseconds since the start of the process. */
  totalPausedMs(): number;
}

/**
 * The time in which the event loop was not idle, less the processor time used. The latter
 * includes other threads, such as those of the garbage collector, so pauses are
 * underestimated rather than overestimated.
 */
export class ProcessPauseMeter implements PauseMeter {
  private highestMs = 0;

  totalPausedMs(): number {
    const { active } = performance.eventLoopUtilization();
    const { user, system } = process.cpuUsage();
    const usedMs = (user + system) / MICROSECONDS_PER_MS;
    this.highestMs = Math.max(this.highestMs, active - usedMs);
    return this.highestMs;
  }
}
