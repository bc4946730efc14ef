/** What happens to a request whose attempt was not answered. */

import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  Metrics,
  silentLogger,
  type AvailabilityZone,
  type HostId,
  type Incarnation,
  type RequestId,
  type ServiceName,
} from "@rackspan/common";
import {
  AttemptLoop,
  Cancellation,
  EndpointState,
  type AttemptPeer,
} from "@rackspan/entry";
import { AttemptFailedError, type SideStatus } from "@rackspan/protocol";
import { OutlierEjector, RetryBudget } from "@rackspan/routing";

const ADDRESS = { host: "127.0.0.1", port: 1 };
const HOSTS = ["h1", "h2"].map((name) => brand<HostId>(name));

const endpointOf = (host: HostId, incarnation: string): EndpointState =>
  new EndpointState(
    {
      host,
      incarnation: brand<Incarnation>(`${host} ${incarnation}`),
      availabilityZone: brand<AvailabilityZone>("a"),
      slots: 8,
    } as SideStatus,
    ADDRESS,
  );

// A restarted side would correctly deny an attempt that was sent to its previous
// incarnation, and the request could run twice.
test("the fence names the incarnation of the side that the attempt was sent to", async () => {
  const clock = new ManualClock();
  const endpoints = new Map(
    HOSTS.map((host) => [host, endpointOf(host, "first run")]),
  );
  const peerOf = (host: HostId): AttemptPeer => ({
    record: { host } as AttemptPeer["record"],
    get endpoint() {
      return endpoints.get(host);
    },
    // A side has a record of its own requests only.
    fenceRequest: async ({ incarnation }) =>
      incarnation === endpoints.get(host)?.incarnation ? "no" : "unknown",
  });
  let sent = 0;
  const loop = new AttemptLoop({
    sides: { serving: () => HOSTS.map(peerOf), get: peerOf },
    sendAttempt: () => {
      sent += 1;
      for (const host of HOSTS) {
        endpoints.set(host, endpointOf(host, "second run"));
      }
      const answer = Promise.reject(
        new AttemptFailedError(true, ADDRESS, "cut off"),
      );
      answer.catch(() => undefined);
      return { response: answer, cancel: () => undefined };
    },
    picker: { pick: ([first]) => first as EndpointState },
    ejector: new OutlierEjector({
      clock,
      failuresToEject: 99,
      ejectMs: 1,
      maxEjectMs: 1,
      maxEjectedShare: 0,
    }),
    budget: new RetryBudget({ ratio: 1, burst: 10 }),
    clock,
    metrics: new Metrics(),
    logger: silentLogger,
    maxAttempts: 3,
  });
  const request = {
    id: brand<RequestId>("r1"),
    service: brand<ServiceName>("tally"),
    class: "short",
    repeatable: false,
    method: "POST",
    path: "/",
    rawHeaders: [],
    body: Buffer.from("once"),
    deadline: clock.monotonic() + 1_000,
  } as const;
  const result = await loop.run(request as never, new Cancellation());
  expect(sent).toEqual(1);
  expect(result.kind === "refused" && result.problem.outcome).toEqual(
    "unknown",
  );
});
