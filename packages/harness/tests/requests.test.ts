import { after, before, test } from "node:test";
import { connect } from "node:net";
import { expect } from "earl";
import { Caller, describeSite, Site, waitUntil } from "@rackspan/harness";
import { writeDeclarations } from "./writeDeclarations.js";

const site = new Site({
  description: describeSite({ workers: 3, entries: 2 }),
  entrySettings: { limits: { headersTimeoutMs: 300, maxHeaderBytes: 8_192 } },
});
const caller = new Caller();

const DECLARATIONS = [
  {
    kind: "service",
    name: "bays",
    replicas: 3,
    resources: { processors: 1, memoryMiB: 64 },
    program: { name: "endpoint" },
    routes: [
      {
        prefix: "/bays",
        class: "query",
        repeatable: true,
        maxBodyBytes: 200_000,
      },
      {
        prefix: "/settle",
        class: "batch",
        repeatable: false,
        maxBodyBytes: 1_000,
      },
      { prefix: "/halls", class: "watch", repeatable: true },
      {
        prefix: "/upload",
        class: "batch",
        repeatable: true,
        maxBodyBytes: 64 * 1024 * 1024,
      },
    ],
  },
];

before(async () => {
  await site.start();
  await site.operator.runOrThrow(
    "apply",
    writeDeclarations(DECLARATIONS),
    "--wait",
  );
  await waitUntil("three endpoints are in service", () =>
    [...site.entries.values()].every(
      ({ sides, fold }) =>
        fold.config.services().length === 1 &&
        fold.config
          .services()
          .every(({ name }) => sides.serving(name).length === 3),
    ),
  );
});

after(async () => {
  caller.close();
  await site.close();
});

const url = (path: string, entry = 0): string => `${site.urls[entry]}${path}`;

/** Sends raw bytes; @returns everything received until the entry closes the connection. */
const sendRaw = (text: string, { end = false } = {}): Promise<string> =>
  new Promise((resolve, reject) => {
    const { hostname, port } = new URL(url("/"));
    const socket = connect(Number(port), hostname, () => {
      socket.write(text);
      if (end) socket.end();
    });
    let received = "";
    socket.setTimeout(10_000, () => socket.destroy(new Error("no answer")));
    socket.on("data", (chunk) => (received += chunk.toString("latin1")));
    socket.on("error", reject);
    socket.on("close", () => resolve(received));
  });

const entryIsHealthy = async (): Promise<void> => {
  expect((await caller.call(url("/bays/healthy"))).status).toEqual(200);
};

test("an answer carries the same request id as the endpoint received", async () => {
  const { status, headers, body } = await caller.call(url("/bays/1"));
  expect(status).toEqual(200);
  expect(JSON.parse(body).request).toEqual(headers["rackspan-request-id"]);
  const [run] = site.platform.requests.runs.slice(-1);
  expect(run?.attempt).toEqual("1");
});

test("bodies, chunks and trailers are forwarded completely in both directions", async () => {
  const body = Buffer.alloc(150_000, "ab");
  const echoed = await caller.call(url("/bays/echo?echo"), {
    method: "POST",
    body,
  });
  expect(echoed.body.length).toEqual(150_000);
  expect(echoed.trailers["x-bytes"]).toEqual("150000");
  const chunked = await sendRaw(
    "POST /bays/e?echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
  );
  expect(chunked).toEqual(
    expect.includes("3\r\nabc\r\n2\r\nde\r\n0\r\nx-bytes: 5\r\n\r\n"),
  );
});

test("a truncated answer is never presented as complete", async () => {
  const broken = caller.call(url("/bays/1?bytes=50000&break=10000"));
  await expect(broken).toBeRejected();
  await entryIsHealthy();
});

test("outcome headers from endpoints and attempt headers from callers are dropped", async () => {
  const { headers } = await caller.call(url("/bays/1?status=503"), {
    headers: { "rackspan-outcome": "not-run", "rackspan-attempt": "7" },
  });
  expect(headers["rackspan-outcome"]).toEqual(undefined);
  expect(site.platform.requests.runs.at(-1)?.attempt).toEqual("1");
});

const REFUSALS: readonly (readonly [
  string,
  string,
  Parameters<Caller["call"]>[1],
  number,
  string,
])[] = [
  ["an unknown path", "/nothing", {}, 404, "unknown-service"],
  [
    "a timeout that is not a number",
    "/bays/1",
    { headers: { "rackspan-timeout-ms": "soon" } },
    400,
    "bad-request",
  ],
  [
    "no time left",
    "/bays/1",
    { headers: { "rackspan-timeout-ms": "0" } },
    504,
    "deadline",
  ],
  [
    "a bad key",
    "/settle/1",
    { method: "POST", headers: { "idempotency-key": "a b" } },
    400,
    "bad-request",
  ],
  [
    "a body over the limit",
    "/settle/1",
    { method: "POST", body: "x".repeat(1_001) },
    413,
    "body-too-large",
  ],
];

for (const [what, path, options, status, reason] of REFUSALS) {
  test(`${what} is refused as not run, with a problem body`, async () => {
    const runs = site.platform.requests.runs.length;
    const answer = await caller.call(url(path), options);
    expect(answer.status).toEqual(status);
    expect(answer.headers["rackspan-outcome"]).toEqual("not-run");
    expect(answer.headers["rackspan-reason"]).toEqual(reason);
    expect(answer.headers["content-type"]).toEqual("application/problem+json");
    expect(JSON.parse(answer.body)).toLooseEqual(
      expect.subset({ status, title: reason, outcome: "not-run" }),
    );
    expect(site.platform.requests.runs.length).toEqual(runs);
  });
}

const RAW_FAULTS: readonly (readonly [string, string, string])[] = [
  ["bytes that are not HTTP", "\x16\x03\x01 hello\r\n\r\n", " 400 "],
  [
    "two content lengths",
    "POST /bays HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
    " 400 ",
  ],
  [
    "a content length with chunked encoding",
    "POST /bays HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    " 400 ",
  ],
  [
    "headers over the limit",
    `GET /bays HTTP/1.1\r\nhost: x\r\nbig: ${"x".repeat(9_000)}\r\n\r\n`,
    " 431 ",
  ],
  ["an incomplete head", "GET /bays HTTP/1.1\r\nhost: x\r\n", " 408 "],
  [
    "an incomplete body",
    "POST /bays HTTP/1.1\r\nhost: x\r\nrackspan-timeout-ms: 200\r\ncontent-length: 10\r\n\r\nabc",
    " 408 ",
  ],
  [
    "a chunked body over the limit",
    `POST /settle HTTP/1.1\r\nhost: x\r\nidempotency-key: raw-1\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n${"x".repeat(2_000)}\r\n0\r\n\r\n`,
    " 413 ",
  ],
];

for (const [what, text, status] of RAW_FAULTS) {
  test(`${what} is refused as not run, and the entry stays healthy`, async () => {
    const answer = await sendRaw(text);
    expect(answer.split("\r\n")[0]).toEqual(expect.includes(status));
    expect(answer.toLowerCase()).toEqual(
      expect.includes("rackspan-outcome: not-run"),
    );
    await entryIsHealthy();
  });
}

test("a request whose caller half-closes during the body is not run", async () => {
  const runs = site.platform.requests.runs.length;
  await sendRaw(
    "POST /settle HTTP/1.1\r\nhost: x\r\nidempotency-key: half\r\ncontent-length: 10\r\n\r\nabc",
    { end: true },
  );
  expect(site.platform.requests.runs.length).toEqual(runs);
  await entryIsHealthy();
});

test("a request that may have run gets the outcome unknown at its deadline", async () => {
  const answer = await caller.call(url("/settle/1?delayMs=3000"), {
    method: "POST",
    headers: { "rackspan-timeout-ms": "150" },
  });
  expect(answer.status).toEqual(504);
  expect(answer.headers["rackspan-outcome"]).toEqual("unknown");
});

test("a keyed request runs once; a repeat at any entry gets the recorded answer", async () => {
  const send = (entry: number, body = "42") =>
    caller.call(url("/settle/2", entry), {
      method: "POST",
      body,
      headers: { "idempotency-key": "k-2" },
    });
  const first = await send(0);
  expect(first.status).toEqual(200);
  const [, other] = [...site.entries.values()];
  const [service] = other?.fold.config.services() ?? [];
  await waitUntil("the outcome is known", () =>
    [...site.entries.values()].every(
      ({ fold }) =>
        service &&
        fold.requests.get({ service: service.name, key: "k-2" })?.answer !==
          undefined,
    ),
  );
  const second = await send(1);
  expect([second.status, second.body]).toEqual([first.status, first.body]);
  expect(second.headers["rackspan-replayed"]).toEqual("true");
  expect((await send(1, "43")).status).toEqual(422);
  expect(site.platform.requests.runCountOfKey("k-2")).toEqual(1);
});

test("of concurrent requests with one key at two entries, one runs and the other gets 409", async () => {
  const send = (entry: number) =>
    caller.call(url("/settle/3?delayMs=100", entry), {
      method: "POST",
      body: "1",
      headers: { "idempotency-key": "k-3" },
    });
  const answers = await Promise.all([send(0), send(1)]);
  const statuses = answers.map(({ status }) => status).sort();
  expect(statuses).toEqual([200, 409]);
  expect(site.platform.requests.runCountOfKey("k-3")).toEqual(1);
});

test("while the log is down, unkeyed requests are served and keyed ones refused as not run", async () => {
  site.platform.log.server.faults.mode = "down";
  try {
    expect((await caller.call(url("/bays/1"))).status).toEqual(200);
    const refused = await caller.call(url("/settle/4"), {
      method: "POST",
      body: "1",
      headers: { "idempotency-key": "k-4", "rackspan-timeout-ms": "300" },
    });
    expect(refused.headers["rackspan-reason"]).toEqual("log-unavailable");
    expect(refused.headers["rackspan-outcome"]).toEqual("not-run");
    expect(site.platform.requests.runCountOfKey("k-4")).toEqual(0);
  } finally {
    site.platform.log.server.faults.reset();
  }
});

test("an endpoint that does not read the body applies backpressure to the caller", async () => {
  const chunk = Buffer.alloc(256 * 1024);
  const total = 60 * 1024 * 1024;
  const { hostname, port } = new URL(url("/"));
  const socket = connect(Number(port), hostname);
  socket.on("error", () => undefined);
  socket.write(
    `POST /upload?stall HTTP/1.1\r\nhost: x\r\ncontent-length: ${total}\r\n\r\n`,
  );
  let passed = 0;
  const send = (): void => {
    if (passed >= total) return;
    socket.write(chunk, () => {
      passed += chunk.length;
      send();
    });
  };
  send();
  let before = -1;
  while (passed !== before && passed < total) {
    before = passed;
    await new Promise((resolve) => setTimeout(resolve, 1_000));
  }
  // The bytes that passed are in the buffers of three connections.
  expect(passed < total).toEqual(true);
  socket.destroy();
  await entryIsHealthy();
});

test("upgraded connections forward bytes in both directions", async () => {
  const { hostname, port } = new URL(url("/"));
  const received = await new Promise<string>((resolve, reject) => {
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.write(
      "GET /halls/1 HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: feed\r\n\r\n",
    );
    socket.on("data", (chunk) => {
      const switched = text === "";
      text += chunk.toString();
      if (switched) socket.write("ping-7");
      if (text.endsWith("ping-7")) socket.destroy();
    });
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
  });
  expect(received).toEqual(expect.includes("101 Switching Protocols"));
  expect(received).toEqual(expect.includes("ping-7"));
  const refused = await sendRaw(
    "GET /bays/1 HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: feed\r\n\r\n",
  );
  expect(refused).toEqual(expect.includes("upgrade-refused"));
});
