/**
 * Jobs with writes that may still be persisted although their callers got no answer. A
 * refusal of such a job, which states that it never runs, might be false.
 */

import { BoundedMap, type JobId } from "@rackspan/state";

/** Maximum number of jobs; the one with the oldest last write is dropped first. */
const MAX_JOBS = 10_000;

export class UnsettledWrites {
  private readonly writes = new BoundedMap<JobId, Set<symbol>>(MAX_JOBS);

  has(id: JobId): boolean {
    return this.writes.get(id) !== undefined;
  }

  /**
   * Called before a record of the job is written.
   * @returns called once the record is persisted, or certainly never will be
   */
  begin(id: JobId): () => void {
    const write = Symbol("write");
    this.writes.set(id, (this.writes.get(id) ?? new Set()).add(write));
    return () => {
      const open = this.writes.get(id);
      open?.delete(write);
      if (open?.size === 0) this.writes.delete(id);
    };
  }
}
