/** No lease is granted by a leader that may not decide, or to a host outside the roster. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness } from "./engineHarness.js";

test("a leader that may not decide grants no lease", async () => {
  const harness = new EngineHarness();
  const host = await harness.addHost("h1");
  await harness.run(100);
  expect(harness.reportOf(host).leaseUntil).not.toEqual(undefined);
  await harness.clock.advance(100);
  harness.isLeader = false;
  expect(harness.reportOf(host).leaseUntil).toEqual(undefined);
});

test("a host whose roster entry is not persisted gets no lease and no task", async () => {
  const harness = new EngineHarness();
  harness.roster.isStoreAvailable = false;
  const host = await harness.addHost("h1");
  harness.submit("j", [{}]);
  await harness.run(500);
  expect(harness.reportOf(host).leaseUntil).toEqual(undefined);
  expect(host.starts.length).toEqual(0);
});
