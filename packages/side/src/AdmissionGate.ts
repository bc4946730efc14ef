/**
 * Limits the requests and watches on this host by slots and connections. The limits hold
 * across all entries. A request waits for a slot only as long as its deadline allows.
 */

import PQueue from "p-queue";
import type { Clock } from "@rackspan/common";
import { REASON, type Reason } from "@rackspan/protocol";

export interface AdmissionGateOptions {
  readonly clock: Clock;
  readonly slots: number;
  readonly connections: number;
  readonly maxQueued: number;
}

/** Permission to use a connection, with or without a slot. Only the first release has an effect. */
export interface Permit {
  release(): void;
}

export type Admission =
  | { readonly admitted: true; readonly permit: Permit }
  | { readonly admitted: false; readonly reason: Reason };

const refused = (reason: Reason): Admission => ({ admitted: false, reason });

export class AdmissionGate {
  private readonly queue: PQueue;
  private openCount = 0;
  private expiredCount = 0;

  constructor(private readonly options: AdmissionGateOptions) {
    this.queue = new PQueue({ concurrency: options.slots });
  }

  get busySlots(): number {
    return this.queue.pending;
  }

  /** Requests that wait for a slot; expired ones are still in the queue but are not counted. */
  get queued(): number {
    return this.queue.size - this.expiredCount;
  }

  get openConnections(): number {
    return this.openCount;
  }

  /** Acquires a connection and a slot. */
  async admitRequest(timeoutMs: number): Promise<Admission> {
    const { connections, slots, maxQueued } = this.options;
    if (this.openCount >= connections) return refused(REASON.CONNECTIONS_BUSY);
    const mustWait = this.busySlots >= slots;
    if (mustWait && this.queued >= maxQueued) return refused(REASON.SLOTS_BUSY);
    this.openCount += 1;
    const permit = await this.waitForSlot(timeoutMs);
    if (permit) return { admitted: true, permit };
    this.openCount -= 1;
    return refused(REASON.DEADLINE);
  }

  /** Acquires a connection only, since a watch is idle most of the time. */
  admitWatch(): Admission {
    if (this.openCount >= this.options.connections)
      return refused(REASON.CONNECTIONS_BUSY);
    this.openCount += 1;
    return {
      admitted: true,
      permit: createPermit(() => (this.openCount -= 1)),
    };
  }

  private waitForSlot(timeoutMs: number): Promise<Permit | undefined> {
    return new Promise((resolve) => {
      let isExpired = false;
      const timer = this.options.clock.after(timeoutMs, () => {
        isExpired = true;
        this.expiredCount += 1;
        resolve(undefined);
      });
      void this.queue.add(() => {
        timer.cancel();
        if (isExpired) {
          this.expiredCount -= 1;
          return Promise.resolve();
        }
        return new Promise<void>((freeSlot) => {
          resolve(
            createPermit(() => {
              this.openCount -= 1;
              freeSlot();
            }),
          );
        });
      });
    });
  }
}

const createPermit = (release: () => void): Permit => {
  let released = false;
  return {
    release: () => {
      if (released) return;
      released = true;
      release();
    },
  };
};
