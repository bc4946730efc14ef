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
const STANDSTILL_MS = 2 * TIMEOUT_MS;
const ANSWER_LIMIT_MS = 30_000;
const PATIENT_MS = 30_000;

const CALL: HttpCall = { method: "GET", path: "/", timeoutMs: TIMEOUT_MS };

const PATIENT_CALL: HttpCall = { ...CALL, timeoutMs: PATIENT_MS };

const createWord = (): Int32Array => new Int32Array(new SharedArrayBuffer(4));

const standStill = (): void =>
  void Atomics.wait(createWord(), 0, 0, STANDSTILL_MS);

const startServer = async (t: TestContext) => {
  const answered = createWord();
  const thread = new Worker(new URL("./answeringThread.js", import.meta.url), {
    workerData: answered,
  });
  t.after(() => thread.terminate());
  const [address] = (await once(thread, "message")) as [string];
  /** Stands still until that answer has lain in the socket past its time. */
  const standStillPast = (answer: number): void => {
    Atomics.wait(answered, 0, answer - 1, ANSWER_LIMIT_MS);
    standStill();
  };
  return { baseUrl: `http://${address}`, standStillPast };
};

test("an answer that came while the process stood still is not lost", async (t) => {
  const { baseUrl, standStillPast } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  await client.call(PATIENT_CALL);
  const late = client.call(CALL);
  // The call is sent by then, and no socket has been read since.
  setImmediate(() => standStillPast(2));
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call whose process stood still while it connected is sent", async (t) => {
  const { baseUrl } = await startServer(t);
  const client = new HttpClient({ baseUrl });
  t.after(() => client.close());
  const late = client.call(CALL);
  standStill();
  expect((await late).body.toString("utf8")).toEqual("answered");
});

test("a call that stood still behind another one gets its connection", async (t) => {
  const { baseUrl, standStillPast } = await startServer(t);
  const client = new ConfirmedHttpClient({ baseUrl, maxSockets: 1 });
  const call: ConfirmedCall = {
    ...CALL,
    peer: "the only one",
    confirmPeer: async (ask) => void (await ask(PATIENT_CALL)),
  };
  const patient = { ...call, ...PATIENT_CALL };
  await client.call(patient);
  const calls = [client.call(patient), client.call(call)];
  setImmediate(() => standStillPast(3));
  const answers = await Promise.all(calls);
  expect(answers.map(({ status }) => status)).toEqual([200, 200]);
});
