/** Messages that take longer than a time-out on their way, over a link that is only slow. */

import {
  createServer as createHttpServer,
  type RequestListener,
} from "node:http";
import { connect, createServer, type Server } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { expect } from "earl";
import { z } from "zod";
import { silentLogger, SystemClock } from "@rackspan/common";
import {
  addressOf,
  HttpClient,
  JsonRpcConnection,
  LostAnswerError,
  type Handlers,
} from "@rackspan/protocol";
import { ThrottledLink } from "@rackspan/standins";

const TIMEOUT_MS = 400;
/** Takes three time-outs at the rate below. */
const LARGE_BYTES = 240_000;
const BYTES_PER_INTERVAL = 4_000;
/** Room for a busy machine; far below the time that the large message takes. */
const LATE_MS = 300;

const listen = async (t: TestContext, server: Server): Promise<string> => {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  return addressOf(server);
};

const httpOverSlowLink = async (t: TestContext, answer: RequestListener) => {
  const server = createHttpServer(answer);
  const target = await listen(t, server);
  const link = new ThrottledLink(target, BYTES_PER_INTERVAL);
  const address = await link.listen();
  t.after(() => link.close());
  const http = new HttpClient({ baseUrl: `http://${address}` });
  t.after(() => {
    http.close();
    server.closeAllConnections();
  });
  return { http, link };
};

// The answer was given up after the time-out and requested again from its first byte.
test("an answer that takes longer than the time-out is received while it gets on", async (t) => {
  const { http } = await httpOverSlowLink(t, (_req, res) =>
    res.end("x".repeat(LARGE_BYTES)),
  );
  const startedAt = performance.now();
  const call = { method: "GET", path: "/", timeoutMs: TIMEOUT_MS } as const;
  const { body } = await http.call(call);
  expect(body.length).toEqual(LARGE_BYTES);
  expect(performance.now() - startedAt > 2 * TIMEOUT_MS).toEqual(true);
});

test("a request that takes longer than the time-out is sent while it gets on", async (t) => {
  const pauseMs = 100;
  const bytesPerPause = 4_000_000;
  const server = createHttpServer(async (req, res) => {
    let bytes = 0;
    let pausedAt = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes - pausedAt < bytesPerPause) continue;
      pausedAt = bytes;
      await sleep(pauseMs);
    }
    res.end(String(bytes));
  });
  const http = new HttpClient({
    baseUrl: `http://${await listen(t, server)}`,
  });
  t.after(() => http.close());
  // Many times what the operating system takes at once.
  const body = Buffer.alloc(96_000_000);
  const startedAt = performance.now();
  const answer = await http.call({
    method: "POST",
    path: "/",
    body,
    timeoutMs: 2 * TIMEOUT_MS,
  });
  expect(answer.body.toString()).toEqual(String(body.length));
  expect(performance.now() - startedAt > 4 * TIMEOUT_MS).toEqual(true);
});

test("an answer that stops half-way is given up one time-out after its last byte", async (t) => {
  const { http, link } = await httpOverSlowLink(t, (_req, res) =>
    res.end("x".repeat(LARGE_BYTES)),
  );
  const received: number[] = [];
  const call = http.call({
    method: "GET",
    path: "/",
    timeoutMs: TIMEOUT_MS,
    onProgress: () => {
      received.push(performance.now());
      if (received.length === 10) link.cut();
    },
  });
  await expect(call).toBeRejectedWith(LostAnswerError, "silent for");
  const silentMs = performance.now() - (received.at(-1) ?? 0);
  expect(silentMs < TIMEOUT_MS + LATE_MS).toEqual(true);
});

test("a peer that sends nothing is given up after the time-out", async (t) => {
  const { http } = await httpOverSlowLink(t, () => undefined);
  const startedAt = performance.now();
  const call = { method: "GET", path: "/", timeoutMs: TIMEOUT_MS } as const;
  await expect(http.call(call)).toBeRejectedWith(LostAnswerError);
  expect(performance.now() - startedAt < TIMEOUT_MS + LATE_MS).toEqual(true);
});

const METHODS = {
  echo: {
    params: z.object({ text: z.string() }),
    result: z.object({ text: z.string() }),
  },
  ignore: { params: z.object({}), result: z.object({}) },
};

const rpcOverSlowLink = async (t: TestContext) => {
  const handlers: Handlers<typeof METHODS> = {
    echo: ({ text }) => ({ text }),
    ignore: () => new Promise(() => undefined),
  };
  const shared = {
    servedMethods: METHODS,
    calledMethods: METHODS,
    handlers,
    idleTimeoutMs: 30_000,
    clock: new SystemClock(),
    logger: silentLogger,
  };
  const server = createServer(
    (socket) => void new JsonRpcConnection({ socket, ...shared }),
  );
  const target = await listen(t, server);
  const link = new ThrottledLink(target, BYTES_PER_INTERVAL);
  const address = await link.listen();
  t.after(() => link.close());
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  await once(socket, "connect");
  const connection = new JsonRpcConnection({ socket, ...shared });
  t.after(() => connection.close("the test is over"));
  return { connection, link };
};

// A side's report of many runs was never answered in time on a weak link.
test("a large answer between two processes is received while it gets on", async (t) => {
  const { connection } = await rpcOverSlowLink(t);
  const small = connection.call("echo", { text: "small" }, TIMEOUT_MS);
  expect(await small).toEqual({ text: "small" });
  const text = "x".repeat(LARGE_BYTES);
  // The request is on its way for three of them, in the buffers of the link.
  const answer = await connection.call("echo", { text }, 4 * TIMEOUT_MS);
  expect(answer.text.length).toEqual(LARGE_BYTES);
});

test("a call that is not answered is given up after the time-out beside small messages", async (t) => {
  const { connection } = await rpcOverSlowLink(t);
  const ping = (): void => {
    // The last one is under way when the test closes the connection.
    connection
      .call("echo", { text: "ping" }, TIMEOUT_MS)
      .catch(() => undefined);
  };
  const pings = setInterval(ping, 50);
  t.after(() => clearInterval(pings));
  const startedAt = performance.now();
  const call = connection.call("ignore", {}, TIMEOUT_MS);
  await expect(call).toBeRejectedWith(LostAnswerError);
  expect(performance.now() - startedAt < TIMEOUT_MS + LATE_MS).toEqual(true);
});
