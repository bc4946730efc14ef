/**
 * Encodes the progress of one job as records of a size that the store accepts. A small job
 * has one record, which is written whole. The tasks of a large job have their progress in
 * segments, of which only those with changes are written.
 */

import type { Logger } from "@rackspan/common";
import {
  recordBytes,
  type KeyedRecord,
  type RecordLimits,
} from "@rackspan/ports";
import {
  encodeProgress,
  encodeSegment,
  parseSegmentKey,
  segmentKeyOf,
  type TaskRange,
} from "@rackspan/state";
import type { JobRun } from "./JobRun.js";
import type { StepRun } from "./StepRun.js";
import { progressOf } from "./taskProgress.js";

const SEGMENTS = {
  /** Larger records are split, because each change writes its whole record, bytes. */
  maxRecordBytes: 65_536,
  /** Tasks of one segment, unless their record would be too large. */
  tasks: 128,
} as const;

const maxBytes = (limits: RecordLimits): number =>
  Math.min(SEGMENTS.maxRecordBytes, limits.recordBytes, limits.callBytes);

interface EncodedRange {
  readonly range: TaskRange;
  readonly record: KeyedRecord;
}

export class ProgressEncoder {
  /** Whether the job has segments, or had some. */
  private isSplit: boolean;
  /** Segments that may be in the store, by key. */
  private readonly stored = new Map<string, TaskRange>();
  /** Ranges of the segments of each step that has any, in the order of its tasks. */
  private readonly ranges = new Map<StepRun, readonly TaskRange[]>();

  /** @param storedKeys keys of the segments that a previous leader has written */
  constructor(
    private readonly job: JobRun,
    storedKeys: readonly string[] = [],
  ) {
    this.isSplit = storedKeys.length > 0;
    for (const key of storedKeys) {
      const segment = parseSegmentKey(key);
      if (segment) this.stored.set(key, segment.range);
    }
    this.markReplacedSegments();
  }

  /** Returns records of all progress that has changed since they were last taken. */
  takeRecords(limits: RecordLimits, logger: Logger): KeyedRecord[] {
    const { job } = this;
    if (!this.isSplit) {
      const record = { key: job.id, value: encodeProgress(job.toRecord()) };
      const bytes = recordBytes(record);
      if (bytes <= maxBytes(limits)) {
        for (const { changedTasks } of job.steps) changedTasks.clear();
        return [record];
      }
      this.isSplit = true;
      this.markAllChanged();
      logger.info("job.progress-split", { job: job.id, bytes });
    }
    // The store may hold only the first of them. So the head follows the segments that it
    // relies on, and precedes the deletions of those that it replaces.
    const segments = this.takeSegments(limits, logger);
    const head = { key: job.id, value: encodeProgress(job.toHead()) };
    return [...segments, head, ...this.takeDeletions()];
  }

  /** Makes the next call of takeRecords return all progress. */
  markAllChanged(): void {
    for (const { tasks } of this.openSteps())
      for (const task of tasks) task.markChanged();
  }

  /** Steps whose tasks have progress that the head does not contain. */
  private openSteps(): StepRun[] {
    return this.job.steps.filter((step) => this.isOpen(step));
  }

  private isOpen({ occurrence }: StepRun): boolean {
    return !this.job.isEnded && !this.job.isOccurrenceDone(occurrence);
  }

  /** Marks the tasks of stored segments whose ranges differ from those of this leader. */
  private markReplacedSegments(): void {
    for (const range of this.stored.values()) {
      if (this.isCurrent(range)) continue;
      const step = this.job.stepAt(range.occurrence, range.step);
      for (const task of step?.tasks ?? []) task.markChanged();
    }
  }

  private isCurrent({
    occurrence,
    step: number,
    first,
    last,
  }: TaskRange): boolean {
    const step = this.job.stepAt(occurrence, number);
    if (!step || !this.isOpen(step)) return false;
    return this.rangesOf(step).some(
      (range) => range.first === first && range.last === last,
    );
  }

  private rangesOf(step: StepRun): readonly TaskRange[] {
    const known = this.ranges.get(step);
    if (known) return known;
    const ranges = initialRanges(step);
    this.ranges.set(step, ranges);
    return ranges;
  }

  private takeSegments(limits: RecordLimits, logger: Logger): KeyedRecord[] {
    const records: KeyedRecord[] = [];
    for (const step of this.openSteps()) {
      const { changedTasks } = step;
      if (changedTasks.size === 0) continue;
      const changed = new Set(this.changedRanges(step));
      const ranges = this.rangesOf(step).flatMap((range) => {
        if (!changed.has(range)) return [range];
        const encoded = this.encodeRange(step, range, limits, logger);
        for (const { record, range } of encoded) {
          records.push(record);
          this.stored.set(record.key, range);
        }
        return encoded.map((each) => each.range);
      });
      this.ranges.set(step, ranges);
      changedTasks.clear();
    }
    return records;
  }

  private changedRanges(step: StepRun): TaskRange[] {
    const changed = [...step.changedTasks];
    return this.rangesOf(step).filter(({ first, last }) =>
      changed.some((index) => index >= first && index <= last),
    );
  }

  /** Encodes the tasks of a range, in halves if their record would be too large. */
  private encodeRange(
    step: StepRun,
    range: TaskRange,
    limits: RecordLimits,
    logger: Logger,
  ): EncodedRange[] {
    const { job } = this;
    const { first, last } = range;
    const tasks = step.tasks.slice(first, last + 1);
    const progress = progressOf([{ step, tasks }], job.hasPlacements);
    const key = segmentKeyOf(job.id, range);
    const record = { key, value: encodeSegment(progress) };
    const bytes = recordBytes(record);
    if (bytes <= maxBytes(limits)) return [{ range, record }];
    if (first < last) {
      const middle = Math.floor((first + last) / 2);
      const halves = [
        { ...range, last: middle },
        { ...range, first: middle + 1 },
      ];
      return halves.flatMap((half) =>
        this.encodeRange(step, half, limits, logger),
      );
    }
    if (bytes <= Math.min(limits.recordBytes, limits.callBytes))
      return [{ range, record }];
    // The task starts from the beginning after a change of leader.
    logger.warn("task.checkpoint-too-large", { task: tasks[0]?.id, bytes });
    const value = encodeSegment({ ...progress, checkpoints: [] });
    return [{ range, record: { key, value } }];
  }

  /** Deletes segments whose tasks are in the head or in other segments now. */
  private takeDeletions(): KeyedRecord[] {
    const deletions: KeyedRecord[] = [];
    for (const [key, range] of this.stored) {
      if (this.isCurrent(range)) continue;
      this.stored.delete(key);
      deletions.push({ key, value: undefined });
    }
    return deletions;
  }
}

const initialRanges = ({
  occurrence,
  number,
  tasks,
}: StepRun): readonly TaskRange[] => {
  const count = Math.ceil(tasks.length / SEGMENTS.tasks);
  return Array.from({ length: count }, (_, at) => ({
    occurrence,
    step: number,
    first: at * SEGMENTS.tasks,
    last: Math.min(tasks.length, (at + 1) * SEGMENTS.tasks) - 1,
  }));
};
