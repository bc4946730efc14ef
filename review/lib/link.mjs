/** A machine's link to the store: all bytes that it receives from there share its rate. */

import { connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";

const BYTES_PER_MS_AT_1_MBPS = 125;
const PART_BYTES = 4_096;

export class Link {
  freeAt = 0;
  sockets = new Set();
  server = createServer((socket) => this.accept(socket));

  /** @param target `IP:PORT` of the store */
  constructor(target, mbps) {
    this.target = target;
    this.bytesPerMs = mbps * BYTES_PER_MS_AT_1_MBPS;
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, host, () =>
        resolve(`${host}:${this.server.address().port}`),
      );
    });
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(client) {
    const [host, port] = this.target.split(":");
    const store = connect(Number(port), host);
    for (const [socket, other] of [
      [client, store],
      [store, client],
    ]) {
      this.sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("close", () => {
        this.sockets.delete(socket);
        other.destroy();
      });
    }
    client.pipe(store);
    store.on("data", async (chunk) => {
      store.pause();
      await this.pass(chunk, client);
      store.resume();
    });
  }

  async pass(chunk, client) {
    for (let at = 0; at < chunk.length; at += PART_BYTES) {
      const part = chunk.subarray(at, at + PART_BYTES);
      const now = performance.now();
      this.freeAt = Math.max(this.freeAt, now) + part.length / this.bytesPerMs;
      if (this.freeAt > now + 1) await sleep(this.freeAt - now);
      if (client.destroyed) return;
      client.write(part);
    }
  }
}
