/**
 * Calls must survive a suspension of their own process while the peer continues to run.
 */

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
  /**
   * Blocks this thread until the given answer has been in the socket for
   * longer than the time-out.
   */
  const blockUntilOverdue = (answer: number): void => {
    Atomics.wait(answered, 0, answer - 1, ANSWER_LIMIT_MS);
    blockThread();
  };
  return { baseUrl: `http://${address}`, blockUntilOverdue };
};

test("an answer that arrived while the process was suspended is not lost", async (t) => {
  const { baseUrl, blockUntilOverdue } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  await client.call(LONG_CALL);
  const late = client.call(CALL);
  // The call has been sent by then, and no socket has been read since.
  setImmediate(() => blockUntilOverdue(2));
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call is sent although the process was suspended while connecting", async (t) => {
  const { baseUrl } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  const late = client.call(CALL);
  blockThread();
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call that waited behind another one during a suspension gets its connection", async (t) => {
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
