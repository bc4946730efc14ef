/**
 * The filling steps that a scheduling cycle assigns to hosts together: those of one
 * priority that follow each other in the order of work, so that no other step is placed in
 * between, and none of a lower priority takes a host from one of a higher priority.
 */

import type { Candidate } from "./stepOrders.js";

export class FillingBatches {
  private readonly batches = new Map<Candidate, Candidate[]>();

  /** @param candidates in the order of work */
  constructor(candidates: readonly Candidate[]) {
    let batch: Candidate[] | undefined;
    let priority: number | undefined;
    for (const candidate of candidates) {
      const { filling, gang, lasting } = candidate.step.spec;
      if (!filling || gang || lasting) {
        batch = undefined;
        continue;
      }
      const own = candidate.job.terms.priority;
      if (!batch || own !== priority) {
        batch = [];
        priority = own;
        this.batches.set(candidate, batch);
      }
      batch.push(candidate);
    }
  }

  /** Returns the batch that starts with this step; empty if none does. */
  startingWith(candidate: Candidate): readonly Candidate[] {
    return this.batches.get(candidate) ?? [];
  }
}
