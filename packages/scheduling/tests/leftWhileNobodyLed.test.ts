/**
 * What users saw: lasting tasks that were moved off a leaving worker did not run
 * for 18 s although there was room, and hardly any work of before the change of
 * leader was started.
 *
 * Order of events: the leader is lost; a worker says that it leaves, and ends,
 * before the next one leads. The next leader takes over with that host in its
 * roster, hears from its side that the worker is gone, and from all other hosts
 * what they run.
 *
 * Cause: the host never reports any more, so the gate of the take-over waits until
 * the longest lease that it might hold is over. Nor does it leave the roster, so
 * that the take-over after it waits as long again.
 *
 * Evidence: the log of a played day, the same in five of five plays. The worker
 * went 0.55 s before the next leader; that leader's gate was closed for the 12.4 s
 * of its term, and that of the one after it for 12.85 s, until the leases of a host
 * were over that had been gone for 26 s.
 */

import { test } from "node:test";
import { expect } from "earl";
import { EngineHarness, LEASE_MS, TTL_MS } from "./engineHarness.js";

/** Long enough for a start; a fifth of the time until all leases are over. */
const SOON_MS = (TTL_MS + LEASE_MS) / 5;

test("a worker that left while nobody led holds up no starts", async () => {
  const former = new EngineHarness();
  const { clock } = former;
  const leaving = await former.addHost("h1");
  const staying = await former.addHost("h2");
  leaving.draining = true;
  await former.run(200);
  const job = former.submit("j", [{}]);
  former.leads = false;
  former.engine.stop();
  const roster = [leaving.host, staying.host];
  const next = new EngineHarness({ epoch: 2, roster, clock });
  next.engine.addJob(job, undefined);
  next.engine.attach(leaving.host, leaving);
  next.engine.noteWorkerGone(leaving.host, leaving.instance);
  next.engine.attach(staying.host, staying);
  await next.run(SOON_MS, [staying]);
  expect(staying.starts.length).toEqual(1);
});
