/**
 * Calls must reach the intended process only, even after another one
 * has taken over its address.
 */

import { createServer, type Server } from "node:http";
import { test, type TestContext } from "node:test";
import { expect } from "earl";
import { processLoopbackAddress } from "@rackspan/common";
import {
  addressOf,
  closeServer,
  ConfirmedHttpClient,
  ConnectError,
  listenOn,
  LostAnswerError,
  type ConfirmedCall,
} from "@rackspan/protocol";

/** Time-out of calls that get no answer. */
const TIMEOUT_MS = 300;
/** Time-out of calls that get an answer, however busy the machine is. */
const LONG_TIMEOUT_MS = 30_000;

const ADDRESS = processLoopbackAddress(1);

class OtherPeerError extends Error {}

/** A process that returns its name when asked, and counts all other calls. */
class NamedProcess {
  probes = 0;
  calls = 0;
  answers = true;
  private readonly server: Server;

  constructor(name: string) {
    this.server = createServer((req, res) => {
      if (req.url === "/name") this.probes += 1;
      else this.calls += 1;
      if (this.answers) res.end(name);
    });
  }

  async listen(port = 0): Promise<number> {
    await listenOn(this.server, { address: ADDRESS, port });
    return Number(addressOf(this.server).split(":")[1]);
  }

  cutAll(): void {
    this.server.closeAllConnections();
  }

  close(): Promise<void> {
    return closeServer(this.server);
  }
}

const callFor = (peer: string, timeoutMs = LONG_TIMEOUT_MS): ConfirmedCall => ({
  method: "POST",
  path: "/act",
  body: "{}",
  timeoutMs,
  peer,
  confirmPeer: async (sendProbe) => {
    const { body } = await sendProbe({
      method: "GET",
      path: "/name",
      timeoutMs,
    });
    if (body.toString("utf8") !== peer) throw new OtherPeerError();
  },
});

const startBoth = async (t: TestContext, maxSockets = 2) => {
  const first = new NamedProcess("first");
  const second = new NamedProcess("second");
  const port = await first.listen();
  const baseUrl = `http://${ADDRESS}:${port}`;
  const client = new ConfirmedHttpClient({ baseUrl, maxSockets });
  t.after(() => Promise.allSettled([first.close(), second.close()]));
  const replace = async (): Promise<void> => {
    await first.close();
    await second.listen(port);
  };
  return { client, first, second, replace };
};

test("a connection is confirmed once and then reused for later calls", async (t) => {
  const { client, first } = await startBoth(t);
  for (let at = 0; at < 5; at += 1) await client.call(callFor("first"));
  expect([first.probes, first.calls]).toEqual([1, 5]);
});

test("a call does not reach the process that has replaced the intended one", async (t) => {
  const { client, second, replace } = await startBoth(t);
  await client.call(callFor("first"));
  await replace();
  // The first call may use the connection that has just been closed.
  await expect(client.call(callFor("first"))).toBeRejected();
  await expect(client.call(callFor("first"))).toBeRejectedWith(OtherPeerError);
  expect([second.probes > 0, second.calls]).toEqual([true, 0]);
  await client.call(callFor("second"));
  expect(second.calls).toEqual(1);
});

test("a new connection is confirmed after the previous one was closed", async (t) => {
  const { client, first } = await startBoth(t);
  await client.call(callFor("first"));
  first.cutAll();
  await client
    .call(callFor("first"))
    .catch(() => client.call(callFor("first")));
  expect(first.probes).toEqual(2);
});

test("a call whose connection cannot be confirmed in time was not sent", async (t) => {
  const { client, first } = await startBoth(t);
  first.answers = false;
  await expect(client.call(callFor("first", TIMEOUT_MS))).toBeRejectedWith(
    ConnectError,
  );
  expect(first.calls).toEqual(0);
});

test("a call without an answer may have taken effect, and one without a free connection has not", async (t) => {
  const { client, first } = await startBoth(t, 1);
  await client.call(callFor("first"));
  first.answers = false;
  const outcomes = await Promise.allSettled([
    client.call(callFor("first", TIMEOUT_MS)),
    client.call(callFor("first", TIMEOUT_MS / 3)),
  ]);
  const reasons = outcomes.map(
    (outcome) => outcome.status === "rejected" && (outcome.reason as unknown),
  );
  expect(reasons[0]).toBeA(LostAnswerError);
  expect(reasons[1]).toBeA(ConnectError);
  expect(first.calls).toEqual(2);
});
