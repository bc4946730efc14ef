/** What the permit service has decided for one step, and the tickets that it issued. */

import type { Monotonic, WorkerInstance } from "@rackspan/common";
import type { PermitResponse } from "@rackspan/ports";

/** A ticket that expires sooner than this is not used for a start, milliseconds. */
const TICKET_MARGIN_MS = 150;
/** The margin is no longer than this share of the validity, so that short tickets are usable. */
const MAX_MARGIN_SHARE = 0.25;

interface Ticket {
  readonly ticket: string;
  readonly usableUntil: Monotonic;
}

/**
 * What is known of a worker and the step:
 * - `undecided`: the service was not asked, or has not answered yet;
 * - `refused`: the worker may not run the step;
 * - `no-ticket`: it may, but its ticket has expired or was refused;
 * - `permitted`: it may, and its ticket is valid.
 */
export type PermitState = "undecided" | "refused" | "no-ticket" | "permitted";

export class StepPermits {
  /** Worker incarnations that may run the step, with their last tickets. */
  private readonly tickets = new Map<WorkerInstance, Ticket | undefined>();
  /** Worker incarnations that may not run the step; a decision never changes. */
  private readonly refused = new Set<WorkerInstance>();

  /** Returns the worker's ticket if it is valid for long enough. */
  ticketFor(instance: WorkerInstance, now: Monotonic): string | undefined {
    const last = this.tickets.get(instance);
    if (!last || now >= last.usableUntil) return undefined;
    return last.ticket;
  }

  stateOf(instance: WorkerInstance, now: Monotonic): PermitState {
    if (this.refused.has(instance)) return "refused";
    if (!this.tickets.has(instance)) return "undecided";
    return this.ticketFor(instance, now) === undefined
      ? "no-ticket"
      : "permitted";
  }

  /** Drops a ticket that the worker refused; the worker may still run the step. */
  discardTicket(instance: WorkerInstance): void {
    if (this.tickets.has(instance)) this.tickets.set(instance, undefined);
  }

  /**
   * Applies a response. Workers that were named in the request and are missing in the
   * response are refused.
   *
   * @param receivedAt when the response arrived; tickets are valid from when they were
   *   issued, and a worker that finds one expired refuses it
   */
  applyResponse(
    requested: readonly WorkerInstance[],
    { permits, validMs }: PermitResponse,
    receivedAt: Monotonic,
  ): void {
    const issued = new Map(
      permits.map(({ instance, ticket }) => [instance, ticket]),
    );
    const marginMs = Math.min(TICKET_MARGIN_MS, MAX_MARGIN_SHARE * validMs);
    const usableUntil = receivedAt + validMs - marginMs;
    for (const instance of requested) {
      const ticket = issued.get(instance);
      if (ticket === undefined) this.refuse(instance);
      else this.tickets.set(instance, { ticket, usableUntil });
    }
  }

  private refuse(instance: WorkerInstance): void {
    this.tickets.delete(instance);
    this.refused.add(instance);
  }
}
