/**
 * A TCP proxy on loopback that injects faults: delayed bytes (delivered even after
 * their sender has timed out), silence, resets, and connections closed on one side.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import { splitAddress, type Random } from "@rackspan/common";
import { addressOf, listenOn } from "@rackspan/protocol";
import { DelayedPipe } from "./DelayedPipe.js";

/** How long a connection stays open after one of its ends has closed, milliseconds. */
const LINGER_MS = 500;

/** The share of chunks that are delayed, and the bounds of the delay. */
export interface HoldDistribution {
  readonly share: number;
  readonly minMs: number;
  readonly maxMs: number;
}

export const NO_HOLDS: HoldDistribution = { share: 0, minMs: 0, maxMs: 0 };

/** How new connections are handled while there is no target. */
export type NoTargetBehavior = "silent" | "reset";

interface ProxiedConnection {
  readonly callerSocket: Socket;
  readonly targetSocket: Socket;
  readonly pipes: readonly DelayedPipe[];
}

export class FaultyProxy {
  /** Address of the worker, `IP:PORT`; undefined while no worker is reachable. */
  target: string | undefined;
  noTargetBehavior: NoTargetBehavior = "reset";
  /** Delays of bytes that callers send. */
  callHolds: HoldDistribution = NO_HOLDS;
  /** Delays of bytes that callers receive. */
  answerHolds: HoldDistribution = NO_HOLDS;
  private readonly server: Server;
  private readonly connections = new Set<ProxiedConnection>();
  private readonly unansweredSockets = new Set<Socket>();

  constructor(private readonly random: Random) {
    this.server = createServer((callerSocket) => this.accept(callerSocket));
  }

  /** @returns `IP:PORT` */
  async listen(): Promise<string> {
    await listenOn(this.server, { address: "127.0.0.1", port: 0 });
    return addressOf(this.server);
  }

  async close(): Promise<void> {
    const closed = once(this.server, "close");
    this.server.close();
    this.resetAll();
    await closed;
  }

  /** Resets all open connections at both ends. */
  resetAll(): void {
    for (const { callerSocket, targetSocket } of this.connections) {
      reset(callerSocket);
      reset(targetSocket);
    }
    for (const callerSocket of this.unansweredSockets) reset(callerSocket);
  }

  /** Discards all further bytes on open connections, which stay open at both ends. */
  stopForwardingAll(): void {
    for (const { pipes } of this.connections) {
      for (const pipe of pipes) pipe.isDiscarding = true;
    }
  }

  /** Closes the target's end of all connections; the caller's end stays open and silent. */
  halfCloseAll(): void {
    for (const { targetSocket, pipes } of this.connections) {
      for (const pipe of pipes) pipe.isDiscarding = true;
      targetSocket.end();
    }
  }

  private accept(callerSocket: Socket): void {
    callerSocket.on("error", ignore);
    const { target } = this;
    if (target !== undefined) {
      this.connectToTarget(callerSocket, target);
      return;
    }
    if (this.noTargetBehavior === "reset") {
      reset(callerSocket);
      return;
    }
    this.unansweredSockets.add(callerSocket);
    callerSocket.resume();
    callerSocket.on("close", () => this.unansweredSockets.delete(callerSocket));
  }

  private connectToTarget(callerSocket: Socket, target: string): void {
    const { address, port } = splitAddress(target);
    const targetSocket = connect({ host: address, port });
    targetSocket.on("error", ignore);
    callerSocket.setNoDelay(true);
    targetSocket.setNoDelay(true);
    const callPipe = new DelayedPipe(callerSocket, {
      drawHoldMs: () => this.drawHoldMs(this.callHolds),
      send: (chunk) => void targetSocket.write(chunk),
      onDrained: () => endSoon(targetSocket),
    });
    const answerPipe = new DelayedPipe(targetSocket, {
      drawHoldMs: () => this.drawHoldMs(this.answerHolds),
      send: (chunk) => void callerSocket.write(chunk),
      // While bytes are discarded, the caller's connection stays open until it is reset,
      // even if the target has closed.
      onDrained: () => {
        if (!answerPipe.isDiscarding) endSoon(callerSocket);
      },
    });
    const connection: ProxiedConnection = {
      callerSocket,
      targetSocket,
      pipes: [callPipe, answerPipe],
    };
    this.connections.add(connection);
    const removeIfClosed = (): void => {
      if (callerSocket.destroyed && targetSocket.destroyed)
        this.connections.delete(connection);
    };
    callerSocket.on("close", removeIfClosed);
    targetSocket.on("close", removeIfClosed);
  }

  private drawHoldMs({ share, minMs, maxMs }: HoldDistribution): number {
    if (this.random.next() >= share) return 0;
    return minMs + this.random.next() * (maxMs - minMs);
  }
}

const ignore = (): void => undefined;

/** Destroys a socket that is already ending or still connecting: resetting it would leak its handle. */
const reset = (socket: Socket): void => {
  if (socket.writableEnded || socket.connecting) socket.destroy();
  else socket.resetAndDestroy();
};

const endSoon = (socket: Socket): void => {
  setTimeout(() => socket.destroy(), LINGER_MS).unref();
};
