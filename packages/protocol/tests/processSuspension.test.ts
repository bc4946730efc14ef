/** What calls make of a standstill of their own process while the peer goes on. */

import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { Worker } from "node:worker_threads";
import { expect } from "earl";
import {
  ConfirmedHttpClient,
  HttpClient,
  type ConfirmedCall,
  type HttpCall,
} from "@rackspan/protocol";

const TIMEOUT_MS = 500;
const SUSPENSION_MS = 2 * TIMEOUT_MS;
const ANSWER_LIMIT_MS = 30_000;
const LONG_TIMEOUT_MS = 30_000;

const CALL: HttpCall = { method: "GET", path: "/", timeoutMs: TIMEOUT_MS };

const LONG_CALL: HttpCall = { ...CALL, timeoutMs: LONG_TIMEOUT_MS };

const createSharedInt = (): Int32Array =>
  new Int32Array(new SharedArrayBuffer(4));

const blockThread = (): void =>
  void Atomics.wait(createSharedInt(), 0, 0, SUSPENSION_MS);

const startServer = async (t: TestContext) => {
  const answered = createSharedInt();
  const thread = new Worker(new URL("./answeringThread.js", import.meta.url), {
    workerData: answered,
  });
  t.after(() => thread.terminate());
  const [address] = (await once(thread, "message")) as [string];
  /** Stands still until that answer has lain in the socket past its time. */
  const blockUntilOverdue = (answer: number): void => {
    Atomics.wait(answered, 0, answer - 1, ANSWER_LIMIT_MS);
    blockThread();
  };
  return { baseUrl: `http://${address}`, blockUntilOverdue };
};

test("an answer that came while the process stood still is not lost", async (t) => {
  const { baseUrl, blockUntilOverdue } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  await client.call(LONG_CALL);
  const late = client.call(CALL);
  // The call is sent by then, and no socket has been read since.
  setImmediate(() => blockUntilOverdue(2));
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call whose process stood still while it connected is sent", async (t) => {
  const { baseUrl } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  const late = client.call(CALL);
  blockThread();
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call that stood still behind another one gets its connection", async (t) => {
  const { baseUrl, blockUntilOverdue } = await startServer(t);
  const client = new ConfirmedHttpClient({ baseUrl, maxSockets: 1 });
  const call: ConfirmedCall = {
    ...CALL,
    peer: "the only one",
    confirmPeer: async (sendProbe) => void (await sendProbe(LONG_CALL)),
  };
  const longCall = { ...call, ...LONG_CALL };
  await client.call(longCall);
  const calls = [client.call(longCall), client.call(call)];
  setImmediate(() => blockUntilOverdue(3));
  const answers = await Promise.all(calls);
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
});
