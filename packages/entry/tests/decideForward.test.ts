/** When a request is passed on, and to which entry. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type EntryId } from "@rackspan/common";
import {
  combineOutcomes,
  decideForward,
  FORWARD,
  type ForwardInputs,
  type JobRequestOutcome,
  type Peer,
} from "@rackspan/entry";

const NOW = 100_000;

const peerOf = (name: string, changes: Partial<Peer> = {}): Peer => ({
  entry: brand<EntryId>(name),
  address: name,
  ready: true,
  heardAt: NOW - 500,
  avoidUntil: -Infinity,
  ...changes,
});

const decide = (changes: Partial<ForwardInputs> = {}) =>
  decideForward({
    now: NOW,
    failingSince: NOW - 500,
    deadline: NOW + 3_000,
    kind: "submit",
    inFlight: 0,
    stateQueriesInFlight: 0,
    peers: [peerOf("a"), peerOf("b")],
    tried: new Set(),
    rotation: 0,
    ...changes,
  });

const reasonOf = (changes: Partial<ForwardInputs>): string => {
  const decision = decide(changes);
  return decision.kind === "not-forwarded" ? decision.reason : decision.kind;
};

// Otherwise one refused call of a healthy store would double the load on the others.
test("nothing is passed on before the outage is confirmed", () => {
  expect(reasonOf({ failingSince: undefined })).toEqual("store-reachable");
  expect(reasonOf({ failingSince: NOW - 99 })).toEqual("store-reachable");
  expect(reasonOf({ failingSince: NOW - 100 })).toEqual("forward");
});

test("no call lasts longer than the caller waits or than 3 s after the outage began", () => {
  const timeoutOf = (changes: Partial<ForwardInputs>) => {
    const decision = decide(changes);
    return decision.kind === "forward" ? decision.timeoutMs : undefined;
  };
  expect(timeoutOf({})).toEqual(2_500);
  expect(timeoutOf({ deadline: NOW + 1_000 })).toEqual(880);
  expect(timeoutOf({ failingSince: NOW - 2_700 })).toEqual(300);
  expect(reasonOf({ deadline: NOW + 319 })).toEqual("deadline");
  expect(reasonOf({ failingSince: NOW - 2_801 })).toEqual("outage-too-long");
});

test("64 requests are passed on at the same time, half of which may be state queries", () => {
  expect(reasonOf({ inFlight: 63 })).toEqual("forward");
  expect(reasonOf({ inFlight: 64 })).toEqual("in-flight");
  const queries = { kind: "state", stateQueriesInFlight: 32 } as const;
  expect(reasonOf({ ...queries, inFlight: 32 })).toEqual("in-flight");
  expect(reasonOf({ ...queries, kind: "cancel", inFlight: 32 })).toEqual(
    "forward",
  );
});

test("requests are spread over the entries that are ready and were heard of lately", () => {
  const peers = [
    peerOf("not-ready", { ready: false }),
    peerOf("gone", { heardAt: NOW - FORWARD.maxPeerAgeMs - 1 }),
    peerOf("avoided", { avoidUntil: NOW + 1 }),
    peerOf("tried"),
    peerOf("a"),
    peerOf("b"),
  ];
  const tried = new Set([brand<EntryId>("tried")]);
  const chosen = [0, 1, 2].map((rotation) => {
    const decision = decide({ peers, tried, rotation });
    return decision.kind === "forward" ? decision.peer.address : "none";
  });
  expect(chosen).toEqual(["a", "b", "a"]);
  expect(reasonOf({ peers: peers.slice(0, 4), tried })).toEqual("no-peer");
});

// A caller that is refused considers the job as not accepted, and may submit another one.
test("a request is refused only if neither attempt can have been carried out", () => {
  const refused: JobRequestOutcome = {
    kind: "refused",
    cause: "unavailable",
    reason: "",
    retryAfterMs: 0,
  };
  const unknown: JobRequestOutcome = { kind: "unknown", reason: "" };
  const accepted: JobRequestOutcome = { kind: "accepted" };
  const kindOf = (a: JobRequestOutcome, b?: JobRequestOutcome) =>
    combineOutcomes(a, b).kind;
  expect(kindOf(refused, undefined)).toEqual("refused");
  expect(kindOf(refused, refused)).toEqual("refused");
  expect(kindOf(unknown, refused)).toEqual("unknown");
  expect(kindOf(refused, unknown)).toEqual("unknown");
  expect(kindOf(unknown, accepted)).toEqual("accepted");
  expect(kindOf(accepted, unknown)).toEqual("accepted");
});
