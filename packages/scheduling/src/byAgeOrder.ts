/** Baseline: sorts by priority, then the oldest job first. */

import {
  sortByKeys,
  stepOrders,
  type Candidate,
  type StepOrder,
} from "./stepOrders.js";

export class ByAgeOrder implements StepOrder {
  sort(candidates: readonly Candidate[]): readonly Candidate[] {
    return sortByKeys(candidates, ({ job, step }) => [
      job.terms.priority,
      job.accepted.acceptedAt,
      step.number,
    ]);
  }
}

stepOrders.register({ name: "byAge", create: () => new ByAgeOrder() });
