/** State of the permits of one step: its tickets, and the workers that may not run it. */

import type { Monotonic, WorkerInstance } from "@rackspan/common";
import type { PermitResponse } from "@rackspan/ports";

/** A ticket that expires sooner than this is not used for a start, milliseconds. */
const TICKET_MARGIN_MS = 150;

interface Ticket {
  readonly ticket: string;
  readonly validUntil: Monotonic;
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
  /** Whether a request is queued or in progress. */
  isRequesting = false;
  /** No request is sent before this time. */
  pausedUntil: Monotonic = -Infinity;
  private readonly tickets = new Map<WorkerInstance, Ticket>();
  /** Worker incarnations that may not run the step; a refusal never changes. */
  private readonly refused = new Set<WorkerInstance>();

  /** Returns the worker's ticket if it is valid for long enough. */
  ticketFor(instance: WorkerInstance, now: Monotonic): string | undefined {
    const cached = this.tickets.get(instance);
    if (!cached || now + TICKET_MARGIN_MS >= cached.validUntil)
      return undefined;
    return cached.ticket;
  }

  /** Whether the worker has no usable ticket and the service may still issue one. */
  needsTicket(instance: WorkerInstance, now: Monotonic): boolean {
    if (this.refused.has(instance)) return false;
    return this.ticketFor(instance, now) === undefined;
  }

  stateOf(instance: WorkerInstance, now: Monotonic): PermitState {
    if (this.refused.has(instance)) return "refused";
    if (this.ticketFor(instance, now) !== undefined) return "permitted";
    return this.tickets.has(instance) ? "no-ticket" : "undecided";
  }

  discardTicket(instance: WorkerInstance): void {
    this.tickets.delete(instance);
  }

  /**
   * Applies a response. Workers that were named in the request and are missing in the
   * response are refused.
   *
   * @param requestedAt when the request was sent; the validity of tickets is counted from
   *   then, so that it is never overestimated
   */
  applyResponse(
    requested: readonly WorkerInstance[],
    { permits, validMs }: PermitResponse,
    requestedAt: Monotonic,
  ): void {
    const tickets = new Map(
      permits.map(({ instance, ticket }) => [instance, ticket]),
    );
    const validUntil = requestedAt + validMs;
    for (const instance of requested) {
      const ticket = tickets.get(instance);
      if (ticket === undefined) this.refused.add(instance);
      else this.tickets.set(instance, { ticket, validUntil });
    }
  }
}
