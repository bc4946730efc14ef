/** Records which tasks the stand-in workers ran, for checks in the demo and in tests. */

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
  /** How often a unit was started while another task of it was running. */
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

  /** Records that a batch job has executed one step. */
  recordStep(unit: string, step: number): void {
    const steps = this.steps.get(unit) ?? new Map<number, number>();
    steps.set(step, (steps.get(step) ?? 0) + 1);
    this.steps.set(unit, steps);
  }

  /** How often each step of a unit was executed. */
  stepCountsOf(unit: string): ReadonlyMap<number, number> {
    return this.steps.get(unit) ?? new Map();
  }

  /** Number of succeeded tasks by unit. */
  successCounts(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { unit, end } of this.entries) {
      if (end === "succeeded") counts.set(unit, (counts.get(unit) ?? 0) + 1);
    }
    return counts;
  }
}
