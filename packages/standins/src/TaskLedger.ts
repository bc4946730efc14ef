/** What really ran where, as the stand-in workers saw it; the demo and tests check it. */

export interface TaskRun {
  readonly unit: string;
  readonly task: string;
  readonly worker: string;
  readonly startedAt: number;
  endedAt?: number;
  end?: string;
}

export class TaskLedger {
  readonly entries: TaskRun[] = [];
  /** Times a unit was started while another task of it ran. */
  overlaps = 0;
  private readonly running = new Map<string, number>();
  private readonly steps = new Map<string, Map<number, number>>();

  recordStart(unit: string, task: string, worker: string): TaskRun {
    const already = this.running.get(unit) ?? 0;
    if (already > 0) this.overlaps += 1;
    this.running.set(unit, already + 1);
    const entry = { unit, task, worker, startedAt: Date.now() };
    this.entries.push(entry);
    return entry;
  }

  recordEnd(entry: TaskRun, end: string): void {
    entry.endedAt = Date.now();
    entry.end = end;
    this.running.set(entry.unit, (this.running.get(entry.unit) ?? 1) - 1);
  }

  /** One step of a batch job was done. */
  step(unit: string, step: number): void {
    const steps = this.steps.get(unit) ?? new Map<number, number>();
    steps.set(step, (steps.get(step) ?? 0) + 1);
    this.steps.set(unit, steps);
  }

  /** How often each step of a unit was done. */
  stepCountsOf(unit: string): ReadonlyMap<number, number> {
    return this.steps.get(unit) ?? new Map();
  }

  /** Units whose tasks succeeded, and how often. */
  successCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { unit, end } of this.entries) {
      if (end === "succeeded") counts.set(unit, (counts.get(unit) ?? 0) + 1);
    }
    return counts;
  }
}
