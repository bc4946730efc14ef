/** A TCP proxy that passes on a limited number of bytes in each direction and interval. */

import { connect, createServer, type Socket } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { addressOf } from "@rackspan/protocol";

const INTERVAL_MS = 20;

export class ThrottledLink {
  private isCut = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer((client) => this.accept(client));

  /**
   * @param target `IP:PORT`
   * @param bytesPerInterval rate in bytes per 20 ms
   */
  constructor(
    private readonly target: string,
    private readonly bytesPerInterval: number,
  ) {}

  /** @returns `IP:PORT` of the proxy */
  async listen(): Promise<string> {
    this.server.listen(0, "127.0.0.1");
    await once(this.server, "listening");
    return addressOf(this.server);
  }

  /** From now on nothing is passed on, and all connections stay open. */
  cut(): void {
    this.isCut = true;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(client: Socket): void {
    const [host, port] = this.target.split(":");
    const server = connect(Number(port), host);
    for (const socket of [client, server]) {
      this.sockets.add(socket);
      socket.on("error", () => socket.destroy());
    }
    client.on("close", () => server.destroy());
    server.on("close", () => client.destroy());
    this.pass(client, server).catch(() => client.destroy());
    this.pass(server, client).catch(() => client.destroy());
  }

  private async pass(from: Socket, to: Socket): Promise<void> {
    for await (const chunk of from as AsyncIterable<Buffer>) {
      for (let at = 0; at < chunk.length; at += this.bytesPerInterval) {
        await sleep(INTERVAL_MS);
        if (this.isCut) await new Promise(() => undefined);
        if (to.destroyed) return;
        to.write(chunk.subarray(at, at + this.bytesPerInterval));
      }
    }
    to.end();
  }
}
