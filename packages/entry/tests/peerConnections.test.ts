/** Calls between entries over real sockets, on the port that also serves sides. */

import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { test } from "node:test";
import { expect } from "earl";
import {
  brand,
  ManualClock,
  processLoopbackAddress,
  silentLogger,
  SystemClock,
  type EntryId,
  type ListenAddress,
} from "@rackspan/common";
import {
  PeerConnections,
  SideServer,
  type PeerHandlers,
  type PeerOutcome,
} from "@rackspan/entry";
import {
  addressOf,
  ConnectError,
  LostAnswerError,
  RemoteError,
} from "@rackspan/protocol";
import { QUEUE_KEY, specOf } from "./createForwardingSite.js";

const ADDRESS = processLoopbackAddress(2);
const TIMEOUT_MS = 2_000;
const clock = new SystemClock();

const ANNOUNCEMENT = {
  entry: brand<EntryId>("entry-1"),
  address: "10.0.0.1:1",
  ready: true,
};

const CANCEL = {
  request: { kind: "cancel", queue: QUEUE_KEY, job: specOf(7).id },
  remainingMs: 1_000,
} as const;

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, ADDRESS);
  await once(server, "listening");
  const port = Number(addressOf(server).split(":")[1]);
  server.close();
  await once(server, "close");
  return port;
};

const openServer = async (handlers?: PeerHandlers) => {
  const listen: ListenAddress = { address: ADDRESS, port: await freePort() };
  const server = new SideServer({
    listen,
    activeTerm: () => undefined,
    peerHandlers: handlers && (() => handlers),
    clock,
    logger: silentLogger,
  });
  await server.start();
  return { server, address: `${listen.address}:${listen.port}` };
};

const handlersOf = (
  forward: () => Promise<PeerOutcome> | PeerOutcome,
): PeerHandlers => ({
  announce: () => ({ ready: true, peers: [] }),
  forward,
});

const createConnections = () =>
  new PeerConnections({ clock, logger: silentLogger });

const failureOf = (call: Promise<unknown>): Promise<unknown> =>
  call.then(
    () => undefined,
    (err: unknown) => err,
  );

test("entries announce themselves and pass requests on over one connection", async () => {
  const handlers = handlersOf(() => ({ kind: "accepted" }));
  const { server, address } = await openServer(handlers);
  const peers = createConnections();
  const answer = await peers.call(
    address,
    "announce",
    ANNOUNCEMENT,
    TIMEOUT_MS,
  );
  expect(answer).toEqual({ ready: true, peers: [] });
  const outcome = await peers.call(address, "forward", CANCEL, TIMEOUT_MS);
  expect(outcome).toEqual({ kind: "accepted" });
  peers.stop();
  await server.stop();
});

// Only such a failure lets the entry say that the request was not carried out.
test("a call to a port on which nothing listens was certainly not sent", async () => {
  const peers = createConnections();
  const address = `${ADDRESS}:${await freePort()}`;
  const call = peers.call(address, "forward", CANCEL, TIMEOUT_MS);
  expect((await failureOf(call)) instanceof ConnectError).toEqual(true);
});

test("the answer is lost if the other entry ends while it carries out the call", async () => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => socket.destroy());
  }).listen(0, ADDRESS);
  await once(server, "listening");
  const peers = createConnections();
  const call = peers.call(addressOf(server), "forward", CANCEL, TIMEOUT_MS);
  expect((await failureOf(call)) instanceof LostAnswerError).toEqual(true);
  // The next call opens a new connection.
  const next = peers.call(addressOf(server), "forward", CANCEL, TIMEOUT_MS);
  expect((await failureOf(next)) instanceof LostAnswerError).toEqual(true);
  expect(sockets.length).toEqual(2);
  peers.stop();
  server.close();
});

test("a request whose entry is silent is lost after its time", async () => {
  const handlers = handlersOf(() => new Promise(() => undefined));
  const { server, address } = await openServer(handlers);
  const peers = createConnections();
  const startedAt = clock.monotonic();
  const call = peers.call(address, "forward", CANCEL, 200);
  expect((await failureOf(call)) instanceof LostAnswerError).toEqual(true);
  expect(clock.monotonic() - startedAt >= 190).toEqual(true);
  peers.stop();
  await server.stop();
});

// The requests would be unknown to their callers, although they do not need the leader.
test("requests in flight survive that the other entry loses the lead", async () => {
  let finish: (outcome: PeerOutcome) => void = () => undefined;
  let arrived = (): void => undefined;
  const hasArrived = new Promise<void>((resolve) => (arrived = resolve));
  const handlers = handlersOf(() => {
    arrived();
    return new Promise((resolve) => (finish = resolve));
  });
  const { server, address } = await openServer(handlers);
  const peers = createConnections();
  const call = peers.call(address, "forward", CANCEL, TIMEOUT_MS);
  await hasArrived;
  server.disconnectAll("group-changed");
  finish({ kind: "accepted" });
  const answer = await call.catch(() => "lost");
  peers.stop();
  await server.stop();
  expect(answer).toEqual({ kind: "accepted" });
});

test("an entry whose settings are off carries nothing out, and says so", async () => {
  const { server, address } = await openServer();
  const peers = createConnections();
  const err = await failureOf(
    peers.call(address, "forward", CANCEL, TIMEOUT_MS),
  );
  expect(err instanceof RemoteError && err.remoteKind).toEqual(
    "not-serving-peers",
  );
  peers.stop();
  await server.stop();
});

/** A server that never answers, and the sockets of the connections to it. */
const openSilentServer = async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.resume();
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  }).listen(0, ADDRESS);
  await once(server, "listening");
  return { server, sockets, address: addressOf(server) };
};

// They would keep the process of a stopping entry running until their idle time-out.
test("connections over which an answer was lost are closed by stop()", async () => {
  const { server, sockets, address } = await openSilentServer();
  const peers = createConnections();
  for (let n = 0; n < 3; n += 1)
    await failureOf(peers.call(address, "forward", CANCEL, 100));
  const before = sockets.size;
  peers.stop();
  await delay(300);
  const after = sockets.size;
  for (const socket of sockets) socket.destroy();
  server.close();
  expect([before, after]).toEqual([3, 0]);
});

test("no connection is opened once stopped", async () => {
  const { server, sockets, address } = await openSilentServer();
  let opened = 0;
  server.on("connection", () => (opened += 1));
  const peers = createConnections();
  peers.stop();
  const err = await failureOf(peers.call(address, "forward", CANCEL, 100));
  await delay(50);
  for (const socket of sockets) socket.destroy();
  server.close();
  // Nothing was sent, so the request may be refused.
  expect(err instanceof ConnectError).toEqual(true);
  expect(opened).toEqual(0);
});

// Otherwise the other entry would still be writing when the caller has been answered.
test("the remaining time of a request does not contain that of connecting", async () => {
  const received: number[] = [];
  const handlers: PeerHandlers = {
    announce: () => ({ ready: true, peers: [] }),
    forward: ({ remainingMs }) => {
      received.push(remainingMs);
      return { kind: "accepted" };
    },
  };
  const { server, address } = await openServer(handlers);
  const manual = new ManualClock();
  const peers = new PeerConnections({ clock: manual, logger: silentLogger });
  const call = peers.call(
    address,
    "forward",
    (remainingMs) => ({ ...CANCEL, remainingMs }),
    1_000,
  );
  // The connection is opened while this time passes.
  manual.freeze(250);
  await call;
  peers.stop();
  await server.stop();
  expect(received).toEqual([750]);
});

// A call over a connection that the other end is closing would be lost.
test("an idle connection is closed by the calling entry first", async () => {
  const { server, sockets, address } = await openSilentServer();
  const peers = createConnections();
  await failureOf(peers.call(address, "forward", CANCEL, 100));
  const [socket] = sockets;
  const timedOut = delay(3_700).then(() => "open");
  const closed = socket && once(socket, "close").then(() => "closed");
  const result = await Promise.race([closed, timedOut]);
  peers.stop();
  for (const each of sockets) each.destroy();
  server.close();
  expect(result).toEqual("closed");
});
