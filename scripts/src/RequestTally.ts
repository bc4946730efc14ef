/** Counts the outcomes of requests; refusals are counted by reason. */

import type { CallAnswer } from "@rackspan/harness";

export class RequestTally {
  sent = 0;
  answered = 0;
  /** Requests whose connection broke before the answer was complete. */
  broken = 0;
  private readonly refusals = new Map<string, number>();

  record({ headers }: CallAnswer): void {
    const outcome = headers["rackspan-outcome"];
    if (outcome === undefined) {
      this.answered += 1;
      return;
    }
    const reason = `${String(headers["rackspan-reason"])} (${String(outcome)})`;
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  get refused(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.refusals);
  }
}
