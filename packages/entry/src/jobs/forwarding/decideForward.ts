/**
 * Decides whether an entry whose store calls fail passes a request on, and to which
 * entry. Pure; responds to a store that turns this entry away, not to load.
 */

import type { EntryId, Monotonic } from "@rackspan/common";
import { JOB_SERVICE } from "../JobService.js";
import type { Peer } from "./PeerDirectory.js";

export const FORWARD = {
  /**
   * Store calls must have failed for this long, milliseconds. The first refusal is
   * followed by another attempt after 100 ms (STORE_RETRY.retryMs), so that a single
   * refused or lost call passes nothing on.
   */
  confirmMs: 100,
  /**
   * Nothing is passed on later than this after the first failed call, milliseconds: the
   * platform's balancer sends callers to other entries by then (two readiness checks,
   * one per second, missed).
   */
  outageMs: 3_000,
  /** Requests that are passed on at the same time. */
  maxInFlight: 64,
  /** Share of them that may be state queries, so that these leave room for submissions. */
  maxStateQueries: 32,
  /**
   * Minimum timeout of a call, milliseconds: the other entry answers 120 ms before
   * its time is over (JOB_SERVICE.responseMarginMs), and a write takes some 10 ms.
   */
  minTimeoutMs: 200,
  /** The response is sent this long before the caller stops waiting for it. */
  responseMarginMs: JOB_SERVICE.responseMarginMs,
  /** Entries that are tried for one request, one after the other. */
  maxAttempts: 3,
  /**
   * An entry that was not heard of for longer may be gone, milliseconds: entries
   * announce themselves every second, a lost leader is replaced within 3 s, and requests
   * are passed on for 3 s.
   */
  maxPeerAgeMs: 8_000,
} as const;

export type ForwardedKind = "submit" | "cancel" | "state";

export interface ForwardInputs {
  readonly now: Monotonic;
  /** When the first of the failing store calls failed; undefined if calls are answered. */
  readonly failingSince: Monotonic | undefined;
  /** When the caller stops waiting. */
  readonly deadline: Monotonic;
  readonly kind: ForwardedKind;
  readonly inFlight: number;
  readonly stateQueriesInFlight: number;
  readonly peers: readonly Peer[];
  /** Entries that were tried for this request. */
  readonly tried: ReadonlySet<EntryId>;
  /** Increases with each request, so that requests are spread over the entries. */
  readonly rotation: number;
}

export type NotForwardedReason =
  | "store-reachable"
  | "outage-too-long"
  | "deadline"
  | "in-flight"
  | "attempts"
  | "no-peer";

export type ForwardDecision =
  | {
      readonly kind: "forward";
      readonly peer: Peer;
      readonly timeoutMs: number;
    }
  | { readonly kind: "not-forwarded"; readonly reason: NotForwardedReason };

/** Whether store calls have failed for long enough to count as cut off. */
export const isCutOff = (
  failingSince: Monotonic | undefined,
  now: Monotonic,
): boolean =>
  failingSince !== undefined && now - failingSince >= FORWARD.confirmMs;

const notForwarded = (reason: NotForwardedReason): ForwardDecision => ({
  kind: "not-forwarded",
  reason,
});

export const decideForward = (inputs: ForwardInputs): ForwardDecision => {
  const { now, failingSince, deadline, tried } = inputs;
  if (failingSince === undefined || !isCutOff(failingSince, now))
    return notForwarded("store-reachable");
  const outageLeftMs = failingSince + FORWARD.outageMs - now;
  if (outageLeftMs < FORWARD.minTimeoutMs)
    return notForwarded("outage-too-long");
  const callerLeftMs = deadline - FORWARD.responseMarginMs - now;
  if (callerLeftMs < FORWARD.minTimeoutMs) return notForwarded("deadline");
  if (isFull(inputs)) return notForwarded("in-flight");
  if (tried.size >= FORWARD.maxAttempts) return notForwarded("attempts");
  const peer = choosePeer(inputs);
  if (!peer) return notForwarded("no-peer");
  const timeoutMs = Math.min(outageLeftMs, callerLeftMs);
  return { kind: "forward", peer, timeoutMs };
};

const isFull = ({
  kind,
  inFlight,
  stateQueriesInFlight,
}: ForwardInputs): boolean => {
  if (inFlight >= FORWARD.maxInFlight) return true;
  return kind === "state" && stateQueriesInFlight >= FORWARD.maxStateQueries;
};

const choosePeer = ({
  now,
  peers,
  tried,
  rotation,
}: ForwardInputs): Peer | undefined => {
  const usable = peers.filter(
    ({ entry, ready, heardAt, avoidUntil }) =>
      ready &&
      !tried.has(entry) &&
      avoidUntil <= now &&
      now - heardAt <= FORWARD.maxPeerAgeMs,
  );
  return usable[rotation % usable.length];
};
