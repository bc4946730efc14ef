/**
 * A permit service on the test's clock. Like the platform's it processes one request after
 * the other, and its tickets are valid for a limited time from when they are issued.
 */

import { sleep, type Clock, type WorkerInstance } from "@rackspan/common";
import {
  PermitsUnavailableError,
  type PermitRequest,
  type PermitResponse,
  type PermitService,
} from "@rackspan/ports";
import type { StartTaskCall } from "@rackspan/protocol";

export interface PermitTimes {
  /** Milliseconds for a request, and for each worker that it names. */
  readonly decideMs: number;
  readonly eachMs: number;
  /** Validity of tickets, milliseconds. */
  readonly validMs: number;
  /** Time that each request takes longer than that, milliseconds. */
  readonly lateMs?: number;
  /** Number of first requests that are refused at once. */
  readonly refusals?: number;
}

interface Ticket {
  readonly step: string;
  readonly instance: WorkerInstance;
  readonly until: number;
}

export class TimedPermits implements PermitService {
  readonly requests: PermitRequest[] = [];
  /** Number of starts with a ticket that was not valid. */
  badTickets = 0;
  isFailing = false;
  /** Whether the service permits the worker to run the step. */
  permits: (step: string, instance: WorkerInstance) => boolean = () => true;
  private previous: Promise<void> = Promise.resolve();
  private readonly tickets = new Map<string, Ticket>();

  constructor(
    private readonly clock: Clock,
    private readonly times: PermitTimes,
  ) {}

  async requestPermits(req: PermitRequest): Promise<PermitResponse> {
    this.requests.push(req);
    const { refusals = 0, validMs } = this.times;
    if (this.isFailing || this.requests.length <= refusals)
      throw new PermitsUnavailableError("status 429");
    const processed = this.previous.then(() =>
      sleep(this.clock, this.processingMs(req)),
    );
    // A request that its sender gives up is processed all the same.
    this.previous = processed;
    const timedOut = sleep(this.clock, req.timeoutMs).then(() => {
      throw new PermitsUnavailableError("no answer in time");
    });
    timedOut.catch(() => undefined);
    await Promise.race([processed, timedOut]);
    const { step } = req;
    const good = req.instances.filter((each) => this.permits(step, each));
    const permits = good.map((instance) => {
      const ticket = `ticket-${this.tickets.size}`;
      const until = this.clock.monotonic() + validMs;
      this.tickets.set(ticket, { step, instance, until });
      return { instance, ticket };
    });
    return { permits, validMs };
  }

  /** Whether a worker accepts the ticket of a start. */
  accepts({ ticket, task, instance }: StartTaskCall): boolean {
    const issued = this.tickets.get(ticket ?? "");
    const isGood =
      issued !== undefined &&
      issued.instance === instance &&
      task.startsWith(`${issued.step}.`) &&
      this.clock.monotonic() < issued.until;
    if (!isGood) this.badTickets += 1;
    return isGood;
  }

  private processingMs({ instances }: PermitRequest): number {
    const { decideMs, eachMs, lateMs = 0 } = this.times;
    return decideMs + eachMs * instances.length + lateMs;
  }
}
