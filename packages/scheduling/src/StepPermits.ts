/** What is known of the permits of one step: its tickets, and who may not run it. */

import type { Monotonic, WorkerInstance } from "@rackspan/common";
import type { PermitResponse } from "@rackspan/ports";

/** A ticket that holds for less than this is not used for a start; milliseconds. */
const TICKET_MARGIN_MS = 150;

interface Ticket {
  readonly ticket: string;
  readonly validUntil: Monotonic;
}

export class StepPermits {
  /** Whether a request is queued or on its way. */
  isRequesting = false;
  /** Not asked again before. */
  pausedUntil: Monotonic = -Infinity;
  private readonly tickets = new Map<WorkerInstance, Ticket>();
  /** Lives of workers that may not run the step; that never changes. */
  private readonly refused = new Set<WorkerInstance>();

  /** The ticket for the worker, if one holds for long enough. */
  ticketFor(instance: WorkerInstance, now: Monotonic): string | undefined {
    const known = this.tickets.get(instance);
    if (!known || now + TICKET_MARGIN_MS >= known.validUntil) return undefined;
    return known.ticket;
  }

  /** Whether the service may yet give a ticket that is not at hand. */
  needsTicket(instance: WorkerInstance, now: Monotonic): boolean {
    if (this.refused.has(instance)) return false;
    return this.ticketFor(instance, now) === undefined;
  }

  discardTicket(instance: WorkerInstance): void {
    this.tickets.delete(instance);
  }

  /**
   * Takes an answer; workers that were asked for and are left out are refused.
   *
   * @param askedAt tickets count from then: they cannot be valid for longer
   */
  applyAnswer(
    asked: readonly WorkerInstance[],
    { permits, validMs }: PermitResponse,
    askedAt: Monotonic,
  ): void {
    const tickets = new Map(
      permits.map(({ instance, ticket }) => [instance, ticket]),
    );
    const validUntil = askedAt + validMs;
    for (const instance of asked) {
      const ticket = tickets.get(instance);
      if (ticket === undefined) this.refused.add(instance);
      else this.tickets.set(instance, { ticket, validUntil });
    }
  }
}
