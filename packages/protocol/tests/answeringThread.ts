/**
 * A server on its own thread, so that it also answers while the
 * test's event loop is blocked.
 */

import { createServer } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { addressOf, listenOn } from "@rackspan/protocol";

const answered = workerData as Int32Array;

const server = createServer((_req, res) => {
  res.end("answered", () => {
    Atomics.add(answered, 0, 1);
    Atomics.notify(answered, 0);
  });
});
await listenOn(server, { address: "127.0.0.1", port: 0 });
parentPort?.postMessage(addressOf(server));
