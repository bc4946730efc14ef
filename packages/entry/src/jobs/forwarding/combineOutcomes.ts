/**
 * The answer to a request that this entry attempted itself and also passed on. Both
 * write the same record under the same key, so the request was carried out if either
 * says so, and may be refused only if both say that it was not.
 */

import type { JobRequestOutcome, JobStateOutcome } from "../JobService.js";

export type AnyOutcome = JobRequestOutcome | JobStateOutcome;

/**
 * Whether no other entry can answer better: the request was carried out, or never can be. A
 * state query was carried out once the state is known.
 */
export const isAnswered = ({ kind }: AnyOutcome): boolean =>
  kind === "accepted" ||
  kind === "known" ||
  kind === "no-such-job" ||
  kind === "rejected";

export const combineOutcomes = <L extends AnyOutcome, F extends AnyOutcome>(
  local: L,
  forwarded: F | undefined,
): L | F => {
  if (forwarded === undefined || isAnswered(local)) return local;
  if (isAnswered(forwarded)) return forwarded;
  return local.kind === "unknown" ? local : forwarded;
};
