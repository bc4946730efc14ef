/** A worker that left while there was no leader does not delay starts after the next takeover. */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, LEASE_MS, LEADERSHIP_TTL_MS } from "./engineHarness.js";

/** Long enough for a start; a fifth of the time until all leases have expired. */
const SOON_MS = (LEADERSHIP_TTL_MS + LEASE_MS) / 5;

test("a worker that left while there was no leader does not delay starts", async () => {
  const previous = new EngineHarness();
  const { clock } = previous;
  const leaving = await previous.addHost("h1");
  const staying = await previous.addHost("h2");
  leaving.draining = true;
  await previous.run(200);
  const job = previous.submit("j", [{}]);
  previous.isLeader = false;
  previous.engine.stop();
  const roster = [leaving.host, staying.host];
  const next = new EngineHarness({ epoch: 2, roster, clock });
  next.engine.addJob(job, undefined);
  next.engine.attach(leaving.host, leaving);
  next.engine.handleWorkerGone(leaving.host, leaving.instance);
  next.engine.attach(staying.host, staying);
  await next.run(SOON_MS, [staying]);
  expect(staying.starts.length).toEqual(1);
});
