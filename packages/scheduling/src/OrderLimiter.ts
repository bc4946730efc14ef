/**
 * Limits how many start orders to one host are open at once, so that a host that many
 * tasks wait for after a takeover answers each of them within the order timeout.
 */

import type { Monotonic } from "@rackspan/common";
import type { HostState } from "@rackspan/jobs";
import type { HostEntry } from "./engineTypes.js";

/**
 * Maximum number of open start orders per host. A side that carries out orders one after
 * the other then has 225 ms for each within the order timeout of 1,800 ms.
 */
export const MAX_OPEN_ORDERS = 8;

/**
 * Maximum time for which a lasting task waits for the answers of a host with that many
 * open orders, milliseconds.
 */
const ANSWER_WAIT_MS = 300;

export class OrderLimiter {
  private readonly openOrders = new Map<HostState, number>();
  /** Since when hosts have had the maximum number of open orders. */
  private readonly fullSince = new Map<HostState, Monotonic>();
  private now: Monotonic = -Infinity;
  private isHolding = false;

  /** Starts a scheduling cycle. */
  startCycle(entries: Iterable<HostEntry>, now: Monotonic): void {
    this.now = now;
    this.openOrders.clear();
    this.isHolding = false;
    for (const { hostState } of entries) {
      let open = 0;
      for (const { phase } of hostState.runs.values()) {
        if (phase === "unsent" || phase === "starting") open += 1;
      }
      this.openOrders.set(hostState, open);
    }
    for (const host of this.fullSince.keys())
      if (!this.isFull(host)) this.fullSince.delete(host);
  }

  recordOrder(host: HostState): void {
    this.openOrders.set(host, this.countOf(host) + 1);
    if (this.isFull(host) && !this.fullSince.has(host))
      this.fullSince.set(host, this.now);
  }

  /** Whether no other order may be sent to the host now. */
  isFull(host: HostState): boolean {
    return this.countOf(host) >= MAX_OPEN_ORDERS;
  }

  /** Returns the hosts to which another order may be sent. */
  select(hosts: readonly HostState[]): readonly HostState[] {
    const open = hosts.filter((host) => !this.isFull(host));
    if (open.length < hosts.length) this.isHolding = true;
    return open;
  }

  /** Returns the hosts that take another order now, or for whose answers a task may wait. */
  selectAwaited(hosts: readonly HostState[]): readonly HostState[] {
    return hosts.filter((host) => {
      const fullSince = this.fullSince.get(host) ?? this.now;
      return !this.isFull(host) || this.now - fullSince < ANSWER_WAIT_MS;
    });
  }

  /** Whether the last cycle left out a host, so that an answer may allow further starts. */
  get isHoldingBack(): boolean {
    return this.isHolding;
  }

  private countOf(host: HostState): number {
    return this.openOrders.get(host) ?? 0;
  }
}
