/**
 * Deregistration of workers. A side may stop only after the leader has confirmed it: then
 * the next leader does not wait for the host.
 */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type WorkerInstance } from "@rackspan/common";
import { EngineHarness } from "./engineHarness.js";

const deregister = async (h: EngineHarness): Promise<boolean> => {
  const host = await h.addHost("host-1");
  return h.engine.handleWorkerGone(host.host, host.instance);
};

test("a deregistration is confirmed once the host is removed from the stored roster", async () => {
  const h = new EngineHarness();
  expect(await deregister(h)).toEqual(true);
  expect(h.roster.recordedInstance(brand("host-1"))).toEqual(undefined);
});

test("a deregistration is not confirmed by a leader whose writes the store refuses", async () => {
  const h = new EngineHarness();
  h.roster.isStoreAvailable = false;
  expect(await deregister(h)).toEqual(false);
});

test("a deregistration is not confirmed by a leader that may not decide any more", async () => {
  const h = new EngineHarness();
  const host = await h.addHost("host-1");
  h.isLeader = false;
  expect(await h.engine.handleWorkerGone(host.host, host.instance)).toEqual(
    false,
  );
});

test("the deregistration of an incarnation that is not the host's current one has no effect", async () => {
  const h = new EngineHarness();
  const host = await h.addHost("host-1");
  const previous = brand<WorkerInstance>("host-1-before");
  expect(await h.engine.handleWorkerGone(host.host, previous)).toEqual(true);
  expect(h.roster.recordedInstance(host.host)).toEqual(host.instance);
});
