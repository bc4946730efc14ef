/** Whether a side may stop: a leader has noted that its worker is over, and the next one will not wait. */

import { test } from "node:test";
import { expect } from "earl";
import { brand, type WorkerInstance } from "@rackspan/common";
import { EngineHarness } from "./engineHarness.js";

const deregister = async (h: EngineHarness): Promise<boolean> => {
  const host = await h.addHost("host-1");
  return h.engine.handleWorkerGone(host.host, host.instance);
};

test("the end of a worker is noted once the store's roster names its host no more", async () => {
  const h = new EngineHarness();
  expect(await deregister(h)).toEqual(true);
  expect(h.roster.recordedInstance(brand("host-1"))).toEqual(undefined);
});

test("the end of a worker is not noted by a leader whose writes the store refuses", async () => {
  const h = new EngineHarness();
  h.roster.isStoreAvailable = false;
  expect(await deregister(h)).toEqual(false);
});

test("the end of a worker is not noted by a leader that may decide nothing any more", async () => {
  const h = new EngineHarness();
  const host = await h.addHost("host-1");
  h.isLeader = false;
  expect(await h.engine.handleWorkerGone(host.host, host.instance)).toEqual(
    false,
  );
});

test("the end of a life that is not the host's leaves the host as it is", async () => {
  const h = new EngineHarness();
  const host = await h.addHost("host-1");
  const previous = brand<WorkerInstance>("host-1-before");
  expect(await h.engine.handleWorkerGone(host.host, previous)).toEqual(true);
  expect(h.roster.recordedInstance(host.host)).toEqual(host.instance);
});
