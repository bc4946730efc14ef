/**
 * Order of the steps that waited for a takeover: lasting tasks first, as their users have
 * been without them, then by priority, started steps before new ones, so that their jobs
 * end while they are of use. Otherwise the given order is kept.
 */

import type { StepRun } from "@rackspan/jobs";
import { sortByKeys, type Candidate } from "./stepOrders.js";

export const sortForTakeover = (
  candidates: readonly Candidate[],
): readonly Candidate[] =>
  sortByKeys(candidates, ({ job, step }) => [
    step.spec.lasting ? 0 : 1,
    job.terms.priority,
    isStarted(step) ? 0 : 1,
  ]);

const isStarted = ({ tasks, waiting }: StepRun): boolean =>
  waiting.size < tasks.length;
