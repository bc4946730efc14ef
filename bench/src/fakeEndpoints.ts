/** Fake endpoints with slots and a queue on simulated time, behind the picker's interface. */

import type {
  AvailabilityZone,
  HostId,
  Incarnation,
  Random,
} from "@rackspan/common";
import type { EndpointView } from "@rackspan/routing";

export interface FakeEndpointOptions {
  readonly index: number;
  readonly zone: AvailabilityZone;
  readonly slots: number;
  readonly maxQueued: number;
  readonly meanMs: number;
  readonly random: Random;
}

export type FakeOutcome = "ok" | "failed" | "refused";

interface Waiting {
  readonly done: (outcome: FakeOutcome) => void;
}

/** Runs simulated events in order of time; a binary heap is fast enough at these sizes. */
export class EventQueue {
  private readonly heap: { readonly at: number; readonly run: () => void }[] =
    [];
  now = 0;

  at(time: number, run: () => void): void {
    const { heap } = this;
    heap.push({ at: time, run });
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if ((heap[parent] as Item).at <= (heap[child] as Item).at) break;
      swap(heap, parent, child);
      child = parent;
    }
  }

  /** Runs all events that are due by `end`. */
  runUntil(end: number): void {
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.removeFirst();
      this.now = next.at;
      next.run();
    }
    this.now = end;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop() as Item;
    if (heap.length === 0) return;
    heap[0] = last;
    let parent = 0;
    for (;;) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (
          child < heap.length &&
          (heap[child] as Item).at < (heap[least] as Item).at
        )
          least = child;
      }
      if (least === parent) return;
      swap(heap, parent, least);
      parent = least;
    }
  }
}

type Item = { readonly at: number; readonly run: () => void };

const swap = (heap: Item[], a: number, b: number): void => {
  const held = heap[a] as Item;
  heap[a] = heap[b] as Item;
  heap[b] = held;
};

export class FakeEndpoint {
  readonly host: HostId;
  /** Multiplies the service time of each request, to simulate interference by noisy tasks. */
  slowdown = 1;
  /** Whether each request fails at once, as at a black-hole endpoint. */
  failing = false;
  served = 0;
  private busy = 0;
  private readonly waiting: Waiting[] = [];

  constructor(
    private readonly events: EventQueue,
    readonly options: FakeEndpointOptions,
  ) {
    this.host = `host-${options.index}` as HostId;
  }

  get busySlots(): number {
    return this.busy;
  }

  request(done: (outcome: FakeOutcome) => void): void {
    const { slots, maxQueued } = this.options;
    if (this.failing) return done("failed");
    if (this.busy < slots) return this.serve(done);
    if (this.waiting.length >= maxQueued) return done("refused");
    this.waiting.push({ done });
  }

  private serve(done: (outcome: FakeOutcome) => void): void {
    this.busy += 1;
    this.served += 1;
    const ms =
      this.options.meanMs * this.slowdown * drawHeavyTail(this.options.random);
    this.events.at(this.events.now + ms, () => {
      this.busy -= 1;
      done("ok");
      const next = this.waiting.shift();
      if (next) this.serve(next.done);
    });
  }
}

/** Draws a factor with mean 1; one request in fifty takes eight times as long. */
const drawHeavyTail = (random: Random): number => {
  const long = random.next() < 0.02 ? 8 : 1;
  return (long * (0.5 + random.next())) / 1.14;
};

/** One entry's view of one endpoint. */
export class FakeView implements EndpointView {
  readonly host: HostId;
  readonly incarnation = "run" as Incarnation;
  readonly address = { host: "127.0.0.1", port: 1 };
  readonly availabilityZone: AvailabilityZone;
  readonly slots: number;
  inFlight = 0;
  busySlots = 0;
  busySlotsReportedAt = 0;
  latencyMs = 0;

  constructor(readonly endpoint: FakeEndpoint) {
    this.host = endpoint.host;
    this.availabilityZone = endpoint.options.zone;
    this.slots = endpoint.options.slots;
  }
}
