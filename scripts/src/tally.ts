/** Counts what became of requests, by the reason that each refusal names. */

import type { CallAnswer } from "@rackspan/harness";

export class Tally {
  sent = 0;
  answered = 0;
  /** Connections that broke before the whole answer was here. */
  broken = 0;
  private readonly refusals = new Map<string, number>();

  note({ headers }: CallAnswer): void {
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
